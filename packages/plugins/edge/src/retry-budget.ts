/**
 * This instance's share of the retry budget of all instances. In any time window, the retries at a service (the attempts
 * after the first one of each request) may not exceed a ratio of the requests plus a fixed allowance. The ratio applies
 * to each instance's own requests; the allowance is divided by the number of instances.
 */
import type {Clock} from '@hickorytrack/clock';

export type RetryBudgetOptions = {
	clock: Clock;
	/** Retries allowed per request. */
	ratio: number;
	/** Additional retries per window, shared by all instances. */
	allowance: number;
	windowMs: number;
	countInstances: () => number;
};

type Window = {
	requests: number[];
	retries: number[];
};

/** Fraction of the budget that is used; the rest is a margin, because the instances do not know the retries of each other. */
const usedFraction = 0.8;

export class RetryBudget {
	readonly #opts: RetryBudgetOptions;
	readonly #services = new Map<string, Window>();

	constructor(opts: RetryBudgetOptions) {
		this.#opts = opts;
	}

	recordRequest(service: string): void {
		this.#getWindow(service).requests.push(this.#opts.clock.monotonic());
	}

	/** Counts a retry without a check of the budget, such as a call that a server has already rejected. */
	recordRetry(service: string): void {
		this.#getWindow(service).retries.push(this.#opts.clock.monotonic());
	}

	canRetry(service: string): boolean {
		const {ratio, allowance, countInstances} = this.#opts;
		const window = this.#getWindow(service);
		const allowed = usedFraction * ((ratio * window.requests.length) + (allowance / Math.max(1, countInstances())));
		return window.retries.length + 1 <= allowed;
	}

	/** Acquires one retry. Returns false when this instance's share of the window is used up. */
	acquire(service: string): boolean {
		const isAllowed = this.canRetry(service);
		if (isAllowed) {
			this.recordRetry(service);
		}

		return isAllowed;
	}

	#getWindow(service: string): Window {
		let window = this.#services.get(service);
		if (!window) {
			window = {requests: [], retries: []};
			this.#services.set(service, window);
		}

		const windowStart = this.#opts.clock.monotonic() - this.#opts.windowMs;
		removeBefore(window.requests, windowStart);
		removeBefore(window.retries, windowStart);
		return window;
	}
}

function removeBefore(times: number[], from: number): void {
	const firstKept = times.findIndex(time => time >= from);
	times.splice(0, firstKept === -1 ? times.length : firstKept);
}
