/**
 * This instance's share of the retries that all instances together may make. Within any window, the arrivals at a service
 * beyond the first of each request may not exceed a ratio of the requests plus a fixed allowance. The ratio applies to
 * each instance's own requests; the allowance is divided by the number of instances.
 */
import type {Clock} from '@hickorytrack/clock';

export type RetryBudgetOptions = {
	clock: Clock;
	/** Retries allowed for one request. */
	ratio: number;
	/** Further retries that all instances share in a window. */
	allowance: number;
	windowMs: number;
	countInstances: () => number;
};

type Window = {
	requests: number[];
	retries: number[];
};

/** Part of the bound that is used; the rest is for what instances don't know of one another. */
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

	/** Counts an arrival beyond the first that can't be taken back, such as a call that a server rejected. */
	recordRetry(service: string): void {
		this.#getWindow(service).retries.push(this.#opts.clock.monotonic());
	}

	canRetry(service: string): boolean {
		const {ratio, allowance, countInstances} = this.#opts;
		const window = this.#getWindow(service);
		const allowed = usedFraction * ((ratio * window.requests.length) + (allowance / Math.max(1, countInstances())));
		return window.retries.length + 1 <= allowed;
	}

	/** Takes one retry; false when this instance's share of the window is used up. */
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
