/**
 * Counts the requests for which retries are granted. A retry made now falls into every window that begins up to a window's
 * length ago. The budget of each of these is computed from the requests in it, in the one before it or in the one half a
 * window before it, whichever has most; a retry must be within the budget of all of them.
 */
import type {Clock} from '@hickorytrack/clock';

const bucketsPerWindow = 20;
const bucketCount = bucketsPerWindow * 2;

export class RequestHistory {
	readonly #clock: Clock;
	readonly #bucketMs: number;
	/** Requests per bucket of time; the last one is the current bucket. */
	#buckets: number[] = Array.from({length: bucketCount}, () => 0);
	#currentBucket: number;

	constructor(clock: Clock, windowMs: number) {
		this.#clock = clock;
		this.#bucketMs = windowMs / bucketsPerWindow;
		this.#currentBucket = this.#findCurrentBucket();
	}

	record(): void {
		this.#removeExpired();
		this.#buckets[bucketCount - 1]!++;
	}

	/** True if no request counts in any window that a retry may still fall into. */
	get isEmpty(): boolean {
		this.#removeExpired();
		return this.#buckets.every(requests => requests === 0);
	}

	/** Returns the requests that count for the window, among all that include the current time, for which the fewest count. */
	count(): number {
		this.#removeExpired();
		let fewest = Number.POSITIVE_INFINITY;
		for (let start = bucketsPerWindow; start < bucketCount; start++) {
			const most = Math.max(this.#countFrom(start), this.#countFrom(start - (bucketsPerWindow / 2)), this.#countFrom(start - bucketsPerWindow));
			fewest = Math.min(fewest, most);
		}

		return fewest;
	}

	/** Counts the requests of the window that begins with this bucket. */
	#countFrom(start: number): number {
		let sum = 0;
		for (let index = start; index < Math.min(bucketCount, start + bucketsPerWindow); index++) {
			sum += this.#buckets[index]!;
		}

		return sum;
	}

	#findCurrentBucket(): number {
		return Math.floor(this.#clock.monotonic() / this.#bucketMs);
	}

	#removeExpired(): void {
		const current = this.#findCurrentBucket();
		const expired = Math.min(bucketCount, current - this.#currentBucket);
		this.#currentBucket = current;
		if (expired > 0) {
			this.#buckets = [...this.#buckets.slice(expired), ...Array.from({length: expired}, () => 0)];
		}
	}
}
