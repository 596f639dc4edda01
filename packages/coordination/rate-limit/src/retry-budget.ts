/**
 * A budget that limits retries in proportion to successes, so that retries do not amplify an outage. Each success adds a
 * fraction of a retry, and a small number of retries is added over time for periods of low traffic.
 */
import type {Clock} from '@hickorytrack/clock';

export type RetryBudgetOptions = {
	/** Retries added by one success. */
	ratio: number;
	/** Maximum number of available retries. */
	maximum: number;
	/** Retries added per second regardless of successes. */
	minimumRetriesPerSecond: number;
};

export const defaultRetryBudget: RetryBudgetOptions = {ratio: 0.2, maximum: 100, minimumRetriesPerSecond: 2};

const msPerSecond = 1000;

export class RetryBudget {
	readonly #clock: Clock;
	readonly #opts: RetryBudgetOptions;
	#available: number;
	#updatedAt: number;

	constructor(clock: Clock, opts: RetryBudgetOptions = defaultRetryBudget) {
		this.#clock = clock;
		this.#opts = opts;
		this.#available = opts.maximum / 10;
		this.#updatedAt = clock.monotonic();
	}

	recordSuccess(): void {
		this.#addRetries(this.#opts.ratio);
	}

	/** Acquires one retry; returns false if the budget is exhausted. */
	acquire(): boolean {
		const now = this.#clock.monotonic();
		this.#addRetries((now - this.#updatedAt) / msPerSecond * this.#opts.minimumRetriesPerSecond);
		this.#updatedAt = now;
		if (this.#available < 1) {
			return false;
		}

		this.#available--;
		return true;
	}

	#addRetries(amount: number): void {
		this.#available = Math.min(this.#opts.maximum, this.#available + amount);
	}
}
