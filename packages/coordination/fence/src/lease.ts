/**
 * A lease that its holder measures by its own monotonic clock, so that a holder that was paused or cut off finds it
 * expired the moment it looks. The allowance covers the difference between the rates of two clocks.
 */
import type {Clock} from '@hickorytrack/clock';

/** Fraction by which two clocks may differ in rate. */
export const maximumClockDrift = 0.01;

export class Lease {
	readonly #clock: Clock;
	readonly #durationMs: number;
	#renewedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, durationMs: number) {
		this.#clock = clock;
		this.#durationMs = durationMs;
	}

	/** Renews the lease from evidence that is `ageMs` milliseconds old. Older evidence than known changes nothing. */
	renew(ageMs: number): void {
		this.#renewedAt = Math.max(this.#renewedAt, this.#clock.monotonic() - ageMs);
	}

	computeRemainingMs(): number {
		return Math.max(0, this.#renewedAt + this.#durationMs - this.#clock.monotonic());
	}

	get isHeld(): boolean {
		return this.computeRemainingMs() > 0;
	}
}

export type SuccessorWaitOptions = {
	leaseMs: number;
	orderTimeLimitMs: number;
};

/** Returns how long a successor waits until no order of its predecessor can still be written, in milliseconds. */
export function computeSuccessorWaitMs(opts: SuccessorWaitOptions): number {
	return Math.ceil((opts.leaseMs + opts.orderTimeLimitMs) * (1 + maximumClockDrift));
}
