/**
 * A budget that ties retries to recent successes, so that retries can't multiply an outage: each success earns a part of
 * a retry, and a small reserve refills with time for quiet hours.
 */
import type {Clock} from '@hickorytrack/clock';

export type RetryBudgetOptions = {
	/** Retries earned by one success. */
	ratio: number;
	/** Retries that can be held. */
	maximum: number;
	/** Retries earned in a second without any success. */
	minimumRetriesPerSecond: number;
};

export const defaultRetryBudget: RetryBudgetOptions = {ratio: 0.2, maximum: 100, minimumRetriesPerSecond: 2};

const msPerSecond = 1000;

export class RetryBudget {
	readonly #clock: Clock;
	readonly #opts: RetryBudgetOptions;
	#held: number;
	#updatedAt: number;

	constructor(clock: Clock, opts: RetryBudgetOptions = defaultRetryBudget) {
		this.#clock = clock;
		this.#opts = opts;
		this.#held = opts.maximum / 10;
		this.#updatedAt = clock.monotonic();
	}

	recordSuccess(): void {
		this.#earn(this.#opts.ratio);
	}

	/** Takes one retry; false when the budget is spent. */
	acquire(): boolean {
		const now = this.#clock.monotonic();
		this.#earn((now - this.#updatedAt) / msPerSecond * this.#opts.minimumRetriesPerSecond);
		this.#updatedAt = now;
		if (this.#held < 1) {
			return false;
		}

		this.#held--;
		return true;
	}

	#earn(amount: number): void {
		this.#held = Math.min(this.#opts.maximum, this.#held + amount);
	}
}
