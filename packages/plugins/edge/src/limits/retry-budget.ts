/**
 * This instance's share of the retry budget of all instances. In any time window, the retries at a service (the arrivals
 * after the first one of each request) may not exceed a ratio of the requests plus a fixed allowance. The ratio applies
 * to each instance's own requests; the allowance is divided by the number of instances.
 *
 * A retry is reserved before anything is awaited for it, so that requests that wait together can't all pass the same check.
 * It is recorded when the call is sent, or released when it isn't needed.
 */
import type {Clock} from '@hickorytrack/clock';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {RateLimitedEventLog} from '../front/rate-limited-event-log.js';
import {RequestHistory} from './request-history.js';

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
	/** No earlier process of this instance can have made retries. */
	isFirstStart: boolean;
	/** The highest number of instances that may share the allowance in this window. */
	countInstances: () => number;
	eventLog: Pick<RateLimitedEventLog, 'emit'>;
	metrics: Pick<MetricsRegistry, 'count'>;
};

/** What this instance's share of a service's budget holds, for logs and metrics. */
export type RetryBudgetState = {
	requests: number;
	retries: number;
	/** Retries that are reserved and not made yet. */
	reserved: number;
	/** Retries that this instance may make in a window. */
	share: number;
	instances: number;
};

export type RetryOptions = {
	kind: RetryKind;
	requestId?: string;
	/** The call counts as a retry only if it fails. Such calls may also use a part of the margin. */
	isConditional?: boolean;
};

type Window = {
	requests: RequestHistory;
	retries: number[];
	reserved: number;
	/** The part of the reserved retries that is conditional. */
	conditional: number;
	lowReportedAt: number;
};

/**
 * Fraction of the share for retries. The rest is a margin: the window of a service is that of the arrivals, while an instance
 * knows when it sent them.
 */
const usedFraction = 0.8;
/** Fraction of the share for retries and conditional ones together; few of the conditional ones become retries. */
const conditionalFraction = 0.95;
/** The use of the budget is reported from this fraction on. */
const lowFraction = 0.8;

/** A reserved retry. */
export class RetryPermit {
	readonly #opts: {onRecord: () => void; onRelease: (isRecorded: boolean) => void};
	#state: 'reserved' | 'recorded' | 'released' = 'reserved';

	constructor(opts: {onRecord: () => void; onRelease: (isRecorded: boolean) => void}) {
		this.#opts = opts;
	}

	/** Counts the retry as made now. */
	record(): void {
		if (this.#state === 'reserved') {
			this.#state = 'recorded';
			this.#opts.onRecord();
		}
	}

	/** Returns the retry to the budget, because no server has received the call or because it does not count. */
	release(): void {
		if (this.#state !== 'released') {
			const isRecorded = this.#state === 'recorded';
			this.#state = 'released';
			this.#opts.onRelease(isRecorded);
		}
	}
}

export class RetryBudget {
	readonly #opts: RetryBudgetOptions;
	readonly #services = new Map<string, Window>();
	/** Until then, the retries of an earlier process of this instance may still count. */
	readonly #allowanceFrom: number;

	constructor(opts: RetryBudgetOptions) {
		this.#opts = opts;
		this.#allowanceFrom = opts.isFirstStart ? Number.NEGATIVE_INFINITY : opts.clock.monotonic() + opts.windowMs;
	}

	recordRequest(service: string): void {
		this.#getWindow(service).requests.record();
	}

	/** Reserves one retry. Returns undefined when this instance's share of the window is used up or reserved. */
	acquire(service: string, {kind, requestId, isConditional = false}: RetryOptions): RetryPermit | undefined {
		const window = this.#getWindow(service);
		const {share, retries, reserved} = this.describe(service);
		const unconditional = retries + reserved - window.conditional;
		const isDenied = retries + reserved + 1 > share * conditionalFraction || (!isConditional && unconditional + 1 > share * usedFraction);
		if (isDenied) {
			this.#opts.metrics.count('retries_denied_total', {service, kind});
			this.#opts.eventLog.emit('retryDenied', {request: requestId, kind, ...this.#format(service)});
			return undefined;
		}

		const conditional = isConditional ? 1 : 0;
		window.reserved++;
		window.conditional += conditional;
		const cancelReservation = () => {
			window.reserved--;
			window.conditional -= conditional;
		};

		let recordedAt = 0;
		return new RetryPermit({
			onRecord: () => {
				cancelReservation();
				recordedAt = this.#opts.clock.monotonic();
				window.retries.push(recordedAt);
				this.#opts.metrics.count('retries_total', {service, kind});
				this.#reportIfLow(service, window);
			},
			onRelease(isRecorded) {
				if (isRecorded) {
					removeTime(window.retries, recordedAt);
				} else {
					cancelReservation();
				}
			},
		});
	}

	describe(service: string): RetryBudgetState {
		const {ratio, allowance, countInstances, clock} = this.#opts;
		const {requests: history, retries, reserved} = this.#getWindow(service);
		const requests = history.count();
		const instances = Math.max(1, countInstances());
		const usableAllowance = clock.monotonic() < this.#allowanceFrom ? 0 : allowance / instances;
		return {
			requests, retries: retries.length, reserved, share: (ratio * requests) + usableAllowance, instances,
		};
	}

	/** Number of retries that may still be reserved. */
	countLeft(service: string): number {
		const {share, retries, reserved} = this.describe(service);
		return Math.max(0, Math.floor((share * usedFraction) - retries - reserved));
	}

	#format(service: string): Record<string, string | number> {
		const {share, ...state} = this.describe(service);
		return {service, ...state, share: Math.floor(share)};
	}

	#reportIfLow(service: string, window: Window): void {
		const {clock, windowMs, eventLog} = this.#opts;
		const now = clock.monotonic();
		if (window.retries.length >= this.describe(service).share * usedFraction * lowFraction && now - window.lowReportedAt >= windowMs) {
			window.lowReportedAt = now;
			eventLog.emit('retryBudgetLow', this.#format(service));
		}
	}

	/** Number of services with a window. */
	get services(): number {
		return this.#services.size;
	}

	/** Configurations may name other services each time. A window that holds nothing is the same as a new one. */
	#removeUnused(): void {
		const from = this.#opts.clock.monotonic() - this.#opts.windowMs;
		for (const [service, {requests, retries, reserved, lowReportedAt}] of this.#services) {
			removeBefore(retries, from);
			if (reserved === 0 && retries.length === 0 && lowReportedAt < from && requests.isEmpty) {
				this.#services.delete(service);
			}
		}
	}

	#getWindow(service: string): Window {
		let window = this.#services.get(service);
		if (!window) {
			this.#removeUnused();
			window = {
				requests: new RequestHistory(this.#opts.clock, this.#opts.windowMs), retries: [], reserved: 0, conditional: 0, lowReportedAt: Number.NEGATIVE_INFINITY,
			};
			this.#services.set(service, window);
		}

		removeBefore(window.retries, this.#opts.clock.monotonic() - this.#opts.windowMs);
		return window;
	}
}

function removeBefore(times: number[], from: number): void {
	const firstKept = times.findIndex(time => time >= from);
	times.splice(0, firstKept === -1 ? times.length : firstKept);
}

/** The time may have left the window already. */
function removeTime(times: number[], time: number): void {
	const index = times.lastIndexOf(time);
	if (index !== -1) {
		times.splice(index, 1);
	}
}
