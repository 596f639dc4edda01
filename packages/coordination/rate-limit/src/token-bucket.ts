/** A token bucket whose rate can change while it runs. */
import type {Clock} from '@hickorytrack/clock';

const msPerSecond = 1000;

export class TokenBucket {
	readonly #clock: Clock;
	#rate: number;
	#burst: number;
	#tokens: number;
	#refilledAt: number;

	/** @param rate tokens a second; @param burst tokens that can be held. */
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

	/** Takes one token; returns 0, or the milliseconds until one will be there. */
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
		const gained = (now - this.#refilledAt) / msPerSecond * this.#rate;
		this.#tokens = Math.min(Math.max(1, this.#burst), this.#tokens + gained);
		this.#refilledAt = now;
	}
}
