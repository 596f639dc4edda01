/** A token bucket whose rate and burst can be changed at run time. */
import type {Clock} from '@hickorytrack/clock';

const msPerSecond = 1000;

export class TokenBucket {
	readonly #clock: Clock;
	#rate: number;
	#burst: number;
	#tokens: number;
	#refilledAt: number;

	/**
	 * @param rate Tokens per second.
	 * @param burst Maximum number of tokens in the bucket.
	 */
	constructor(clock: Clock, rate: number, burst: number) {
		this.#clock = clock;
		this.#rate = rate;
		this.#burst = burst;
		this.#tokens = burst;
		this.#refilledAt = clock.monotonic();
	}

	setLimits(rate: number, burst: number): void {
		this.#refill();
		this.#rate = rate;
		this.#burst = burst;
		this.#tokens = Math.min(this.#tokens, burst);
	}

	/** Acquires one token and returns 0, or returns the milliseconds until a token is available. */
	acquire(): number {
		this.#refill();
		if (this.#tokens >= 1) {
			this.#tokens--;
			return 0;
		}

		return this.#rate > 0 ? Math.ceil((1 - this.#tokens) / this.#rate * msPerSecond) : Number.POSITIVE_INFINITY;
	}

	#refill(): void {
		const now = this.#clock.monotonic();
		const added = (now - this.#refilledAt) / msPerSecond * this.#rate;
		this.#tokens = Math.min(Math.max(1, this.#burst), this.#tokens + added);
		this.#refilledAt = now;
	}
}
