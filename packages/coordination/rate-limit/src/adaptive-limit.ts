/**
 * A concurrency limit that adapts to measured latency: it is raised while requests meet their latency target and lowered
 * by a factor while they do not, at most once per observation window.
 */
import type {Clock} from '@hickorytrack/clock';

export type AdaptiveLimitOptions = {
	clock: Clock;
	minimum: number;
	maximum: number;
	/** Observation window in milliseconds. */
	windowMs: number;
};

const decreaseFactor = 0.85;
const increaseFactor = 1.1;
const maximumLateFraction = 0.05;
/** The limit is not adjusted from fewer observations. */
const minimumObservations = 8;

export class AdaptiveLimit {
	readonly #opts: AdaptiveLimitOptions;
	#limit: number;
	#observationCount = 0;
	#lateCount = 0;
	#highestConcurrency = 0;
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

	/** Records one latency and its target, both in milliseconds, and the concurrency at which it was measured. */
	observe(latencyMs: number, opts: {targetMs: number; concurrency: number}): void {
		this.#observationCount++;
		this.#lateCount += latencyMs > opts.targetMs ? 1 : 0;
		this.#highestConcurrency = Math.max(this.#highestConcurrency, opts.concurrency);
		const isDue = this.#opts.clock.monotonic() - this.#windowStart >= this.#opts.windowMs;
		if (isDue && this.#observationCount >= minimumObservations) {
			this.#adjust();
		}
	}

	/**
	 * Raises the limit, or lowers it from the highest concurrency reached: a limit that was not reached cannot have
	 * made requests late.
	 */
	#adjust(): void {
		const isLate = this.#lateCount > this.#observationCount * maximumLateFraction;
		const next = isLate ? Math.min(this.#limit, this.#highestConcurrency) * decreaseFactor : (this.#limit * increaseFactor) + 1;
		this.#limit = Math.min(this.#opts.maximum, Math.max(this.#opts.minimum, next));
		this.#observationCount = 0;
		this.#lateCount = 0;
		this.#highestConcurrency = 0;
		this.#windowStart = this.#opts.clock.monotonic();
	}
}
