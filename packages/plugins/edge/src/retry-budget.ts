/**
 * This instance's share of the retry budget of all instances. In any time window, the retries at a service (the attempts
 * after the first one of each request) may not exceed a ratio of the requests plus a fixed allowance. The ratio applies
 * to each instance's own requests; the allowance is divided by the number of instances.
 */
import type {Clock} from '@hickorytrack/clock';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {RateLimitedEventLog} from './rate-limited-event-log.js';

/** Calls to servers that count against the budget. */
export const retryKinds = {
	/** Another server runs the request. */
	run: 'run',
	/** A call for a prefill that was rejected, or a further one. */
	prefill: 'prefill',
	/** A stream resumes at its backup server. */
	resume: 'resume',
} as const;
export type RetryKind = typeof retryKinds[keyof typeof retryKinds];

export type RetryBudgetOptions = {
	clock: Clock;
	/** Retries allowed per request. */
	ratio: number;
	/** Additional retries per window, shared by all instances. */
	allowance: number;
	windowMs: number;
	countInstances: () => number;
	eventLog: Pick<RateLimitedEventLog, 'emit'>;
	metrics: Pick<MetricsRegistry, 'count'>;
};

/** What this instance's share of a service's budget holds, for logs and metrics. */
export type RetryBudgetState = {
	requests: number;
	retries: number;
	allowed: number;
	instances: number;
};

type Window = {
	requests: number[];
	retries: number[];
	lowReportedAt: number;
};

/** Fraction of the budget that is used; the rest is a margin, because the instances do not know the retries of each other. */
const usedFraction = 0.8;
/** The use of the budget is reported from this fraction on. */
const lowFraction = 0.8;

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
	recordRetry(service: string, kind: RetryKind): void {
		const window = this.#getWindow(service);
		window.retries.push(this.#opts.clock.monotonic());
		this.#opts.metrics.count('retries_total', {service, kind});
		this.#reportIfLow(service, window);
	}

	/** Records the state of the budget when it does not allow the retry. */
	canRetry(service: string, retry: {kind: RetryKind; requestId?: string}): boolean {
		const {retries, allowed} = this.describe(service);
		const isAllowed = retries + 1 <= allowed;
		if (!isAllowed) {
			this.#opts.metrics.count('retries_denied_total', {service, kind: retry.kind});
			this.#opts.eventLog.emit('retryDenied', {request: retry.requestId, kind: retry.kind, ...this.#format(service)});
		}

		return isAllowed;
	}

	/** Acquires one retry. Returns false when this instance's share of the window is used up. */
	acquire(service: string, retry: {kind: RetryKind; requestId?: string}): boolean {
		const isAllowed = this.canRetry(service, retry);
		if (isAllowed) {
			this.recordRetry(service, retry.kind);
		}

		return isAllowed;
	}

	describe(service: string): RetryBudgetState {
		const {ratio, allowance, countInstances} = this.#opts;
		const {requests, retries} = this.#getWindow(service);
		const instances = Math.max(1, countInstances());
		return {
			requests: requests.length, retries: retries.length, allowed: usedFraction * ((ratio * requests.length) + (allowance / instances)), instances,
		};
	}

	#format(service: string): Record<string, string | number> {
		const {allowed, ...state} = this.describe(service);
		return {service, ...state, allowed: Math.floor(allowed)};
	}

	#reportIfLow(service: string, window: Window): void {
		const {clock, windowMs, eventLog} = this.#opts;
		const now = clock.monotonic();
		if (window.retries.length >= this.describe(service).allowed * lowFraction && now - window.lowReportedAt >= windowMs) {
			window.lowReportedAt = now;
			eventLog.emit('retryBudgetLow', this.#format(service));
		}
	}

	#getWindow(service: string): Window {
		let window = this.#services.get(service);
		if (!window) {
			window = {requests: [], retries: [], lowReportedAt: Number.NEGATIVE_INFINITY};
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
