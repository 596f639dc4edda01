/**
 * A rate as a schedule of times, one for each request (generic cell rate algorithm). A request that comes before its time may
 * reserve it and wait. Time that passes without requests is credit for later ones, up to a bound; a new schedule has none,
 * because its owner can't know what an earlier one has allowed.
 */
import type {Clock} from '@hickorytrack/clock';

const msPerSecond = 1000;
/**
 * Requests may come later than their times by up to this much without a loss of rate. Within 4 s, 4.5 s worth of the rate
 * and one request may be sent.
 */
const creditMs = 500;
/** The first request of a schedule waits for its interval, at most for this time. */
const maxFirstDelayMs = 500;

export type Reservation = {
	isGranted: boolean;
	/** Time until the request may be sent, in milliseconds; if it was not granted, until one could be sent. */
	delayMs: number;
};

export class SendSchedule {
	readonly #clock: Clock;
	#intervalMs: number;
	/** Monotonic time of the next request if requests keep to their times. */
	#nextAt: number;

	constructor(clock: Clock, perSecond: number) {
		this.#clock = clock;
		this.#intervalMs = msPerSecond / perSecond;
		this.#nextAt = clock.monotonic() + Math.min(this.#intervalMs, maxFirstDelayMs) + creditMs;
	}

	/** Changes the rate. Requests that are ahead of their times stay ahead by as many. */
	setRate(perSecond: number): void {
		const intervalMs = msPerSecond / perSecond;
		if (intervalMs !== this.#intervalMs) {
			const now = this.#clock.monotonic();
			const aheadMs = Math.max(0, this.#nextAt - creditMs - now);
			const creditLeftMs = this.#nextAt - now - aheadMs;
			this.#nextAt = now + creditLeftMs + (aheadMs / this.#intervalMs * intervalMs);
			this.#intervalMs = intervalMs;
		}
	}

	/** Time until a request may be sent without a wait, in milliseconds. */
	get delayMs(): number {
		return Math.max(0, this.#nextAt - creditMs - this.#clock.monotonic());
	}

	/** Reserves the time of one request if it is at most `maxDelayMs` away. */
	acquire(maxDelayMs: number): Reservation {
		const {delayMs} = this;
		if (delayMs > maxDelayMs) {
			return {isGranted: false, delayMs};
		}

		this.#nextAt = Math.max(this.#clock.monotonic(), this.#nextAt) + this.#intervalMs;
		return {isGranted: true, delayMs};
	}
}
