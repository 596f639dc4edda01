/**
 * A limit on concurrency that follows measured latency: it grows by one step while work under it keeps its target and is
 * cut by a fraction when it does not, at most once per observation window.
 */
import type {Clock} from '@hickorytrack/clock';

export interface AdaptiveLimitOptions {
	clock: Clock;
	minimum: number;
	maximum: number;
	/** Window in milliseconds over which latencies are judged. */
	windowMs: number;
}

const decrease = 0.85;
const lateFraction = 0.05;

export class AdaptiveLimit {
	readonly #opts: AdaptiveLimitOptions;
	#limit: number;
	#observed = 0;
	#late = 0;
	#windowStart: number;

	constructor(opts: AdaptiveLimitOptions) {
		this.#opts = opts;
		this.#limit = opts.maximum;
		this.#windowStart = opts.clock.monotonic();
	}

	get value(): number {
		return Math.floor(this.#limit);
	}

	/** Notes one latency and its target, both in milliseconds. */
	observe(latencyMs: number, targetMs: number): void {
		this.#observed++;
		this.#late += latencyMs > targetMs ? 1 : 0;
		if (this.#opts.clock.monotonic() - this.#windowStart >= this.#opts.windowMs) {
			this.#adjust();
		}
	}

	#adjust(): void {
		const isLate = this.#late > this.#observed * lateFraction;
		const next = isLate ? this.#limit * decrease : this.#limit + 1;
		this.#limit = Math.min(this.#opts.maximum, Math.max(this.#opts.minimum, next));
		this.#observed = 0;
		this.#late = 0;
		this.#windowStart = this.#opts.clock.monotonic();
	}
}
