/**
 * Keeps to the rate of requests that an engine names. The agent is the only one that sends to its engine, so it needs no
 * grants of others.
 */
import type {Clock} from '@hickorytrack/clock';
import {SendSchedule} from '@hickorytrack/shared-rate/send-schedule';

const msPerSecond = 1000;
/** An engine that names a lower rate, or none at all, still gets a request now and then. */
const minPerSecond = 0.25;

export class StartPace {
	readonly #clock: Clock;
	#schedule: SendSchedule | undefined;
	#perSecond = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sets the rate in requests per second; undefined for an engine that names none. */
	setRate(perSecond: number | undefined): void {
		if (perSecond === undefined) {
			this.#schedule = undefined;
			return;
		}

		this.#perSecond = Math.max(minPerSecond, perSecond);
		this.#schedule ??= new SendSchedule(this.#clock, this.#perSecond);
		this.#schedule.setRate(this.#perSecond);
	}

	/** Returns whether a request may start now; if so, it counts. */
	acquire(): boolean {
		return this.#schedule?.acquire(0).isGranted ?? true;
	}

	/** Estimates how long a request waits behind those that are queued, in milliseconds. */
	estimateWaitMs(queued: number): number {
		return this.#schedule ? (this.#schedule.delayMs + (queued * msPerSecond / this.#perSecond)) : 0;
	}
}
