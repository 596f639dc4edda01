/** How slow a sound server is: its answers to `GET /api/report`, the tokens of some of its runs, most of all the first, and pauses between two events. */
import type {Random} from '@hickorytrack/random';

export const slowFaults = {report: 'slow-report', token: 'slow-token', pause: 'pause'} as const;

const minReportMs = 20;
const maxReportMs = 400;
const maxFirstTokenMs = 800;
/** Fraction of the runs that are slow, at a server that is slow in this. */
const slowRunFraction = 0.5;
const maxSlowEventMs = 200;
/** Fraction of the runs that fall silent once, long enough for another server to be asked. */
const pausedFraction = 0.12;
const minPauseMs = 800;
const maxPauseMs = 1500;

export type RunPace = {
	/** Time until the head and the first event. */
	firstTokenMs: number;
	/** The longest time from one event to the next; undefined for the usual one. */
	maxEventMs?: number;
	/** It sends nothing for this long, behind this fraction of its events. */
	pause?: {ms: number; afterFraction: number};
};

export class ServerSlowness {
	readonly #random: Random;
	/** The longest times of this server; 0 if it is not slow. */
	readonly #reportMs: number;
	readonly #firstTokenMs: number;
	readonly #hasPauses: boolean;

	constructor(random: Random, faults: ReadonlySet<string>) {
		this.#random = random;
		this.#reportMs = faults.has(slowFaults.report) ? random.nextBetween(minReportMs, maxReportMs) : 0;
		this.#hasPauses = faults.has(slowFaults.pause);
		this.#firstTokenMs = faults.has(slowFaults.token) ? random.nextBetween(0, maxFirstTokenMs) : 0;
	}

	/** Draws the time until a report is answered. */
	createReportMs(): number {
		return this.#reportMs === 0 ? 0 : this.#random.nextBetween(minReportMs, this.#reportMs);
	}

	createRunPace(): RunPace {
		const isSlow = this.#firstTokenMs > 0 && this.#random.next() < slowRunFraction;
		const pace = isSlow ? {firstTokenMs: this.#random.nextBetween(0, this.#firstTokenMs), maxEventMs: maxSlowEventMs} : {firstTokenMs: 0};
		return {...pace, pause: this.#createPause()};
	}

	#createPause(): RunPace['pause'] {
		const isPaused = this.#hasPauses && this.#random.next() < pausedFraction;
		return isPaused ? {ms: this.#random.nextBetween(minPauseMs, maxPauseMs), afterFraction: this.#random.next()} : undefined;
	}
}
