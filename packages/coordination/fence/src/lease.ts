/**
 * A lease whose holder checks expiry against its own monotonic clock, so that a holder that was paused or partitioned
 * sees the lease as expired at its next check. `maximumClockDrift` covers the difference between the rates of two clocks.
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

	/**
	 * Renews the lease from a confirmation that is `ageMs` milliseconds old. A confirmation older than the last one is
	 * ignored.
	 */
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

/** Returns the time in milliseconds after which no order of the predecessor can still be written. */
export function computeSuccessorWaitMs(opts: SuccessorWaitOptions): number {
	return Math.ceil((opts.leaseMs + opts.orderTimeLimitMs) * (1 + maximumClockDrift));
}
