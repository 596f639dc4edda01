/**
 * A limit on concurrency that follows measured latency: it grows by one step while work under it keeps its target and is
 * cut by a fraction when it does not, at most once per observation window.
 */
import type {Clock} from '@hickorytrack/clock';

export type AdaptiveLimitOptions = {
	clock: Clock;
	minimum: number;
	maximum: number;
	/** Window in milliseconds over which latencies are judged. */
	windowMs: number;
};

const decrease = 0.85;
const increase = 1.1;
const lateFraction = 0.05;
/** Fewer observations than this say nothing. */
const leastObservations = 8;

export class AdaptiveLimit {
	readonly #opts: AdaptiveLimitOptions;
	#limit: number;
	#observed = 0;
	#late = 0;
	#highest = 0;
	#windowStart: number;

	constructor(opts: AdaptiveLimitOptions) {
		this.#opts = opts;
		this.#limit = opts.maximum;
		this.#windowStart = opts.clock.monotonic();
	}

	get maximum(): number {
		return this.#opts.maximum;
	}

	get value(): number {
		return Math.floor(this.#limit);
	}

	/** Notes one latency with its target, both in milliseconds, and the concurrency at which it was seen. */
	observe(latencyMs: number, opts: {targetMs: number; concurrency: number}): void {
		this.#observed++;
		this.#late += latencyMs > opts.targetMs ? 1 : 0;
		this.#highest = Math.max(this.#highest, opts.concurrency);
		const isDue = this.#opts.clock.monotonic() - this.#windowStart >= this.#opts.windowMs;
		if (isDue && this.#observed >= leastObservations) {
			this.#adjust();
		}
	}

	/** Cuts from the concurrency that was really reached, because a limit that was not reached is no cause of lateness. */
	#adjust(): void {
		const isLate = this.#late > this.#observed * lateFraction;
		const next = isLate ? Math.min(this.#limit, this.#highest) * decrease : (this.#limit * increase) + 1;
		this.#limit = Math.min(this.#opts.maximum, Math.max(this.#opts.minimum, next));
		this.#observed = 0;
		this.#late = 0;
		this.#highest = 0;
		this.#windowStart = this.#opts.clock.monotonic();
	}
}
