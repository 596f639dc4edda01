/**
 * Estimates the demand on the fleet for each class of work (one class per model), for prefill and for decode, in engine
 * seconds of a mixed engine (one that runs prefill and decode) per second. Each class has a fast and a slow moving
 * average: the fast average is the level, their difference is the trend, and the standard deviation around the fast
 * average is the uncertainty. Late or missing reports leave the averages unchanged.
 */
import type {DemandReport} from '@hickorytrack/types/peer-methods';

export type ClassDemand = {
	model: string;
	prefill: number;
	decode: number;
	/** Prefill time of one request on a mixed engine, in seconds. */
	requestPrefillSeconds: number;
	/** Standard deviation of the sum of prefill and decode around the level. */
	uncertainty: number;
};

export type DemandModelOptions = {
	/** Time constants of the fast and the slow moving average, in milliseconds. */
	fastMs: number;
	slowMs: number;
	/** A class without reports for this time is removed, in milliseconds. */
	classExpiryMs: number;
};

export const defaultDemandModel: DemandModelOptions = {fastMs: 8000, slowMs: 40_000, classExpiryMs: 300_000};

type ClassRate = {
	prefill: number;
	decode: number;
	requests: number;
};

type ClassState = {
	fastPrefill: number;
	fastDecode: number;
	slowPrefill: number;
	slowDecode: number;
	variance: number;
	requestPrefillSeconds: number;
	lastReportAt: number;
};

export class DemandModel {
	readonly #opts: DemandModelOptions;
	readonly #classes = new Map<string, ClassState>();
	#updatedAt: number | undefined;

	constructor(opts: Partial<DemandModelOptions> = {}) {
		this.#opts = {...defaultDemandModel, ...opts};
	}

	/** Adds the reports of one interval. `at` is monotonic time in milliseconds. */
	addReports(reports: readonly DemandReport[], at: number): void {
		const elapsedMs = at - (this.#updatedAt ?? at);
		this.#updatedAt = at;
		const rates = new Map<string, ClassRate>();
		for (const report of reports.filter(candidate => candidate.intervalMs > 0)) {
			const rate = rates.get(report.model) ?? {prefill: 0, decode: 0, requests: 0};
			rate.prefill += report.prefillSeconds / report.intervalMs * 1000;
			rate.decode += report.decodeSeconds / report.intervalMs * 1000;
			rate.requests += report.requests / report.intervalMs * 1000;
			rates.set(report.model, rate);
		}

		for (const [model, rate] of rates) {
			this.#update(model, rate, {at, elapsedMs});
		}

		for (const [model, state] of this.#classes) {
			if (at - state.lastReportAt > this.#opts.classExpiryMs) {
				this.#classes.delete(model);
			}
		}
	}

	/** Returns the demand expected in `aheadMs` milliseconds. */
	forecast(aheadMs: number): ClassDemand[] {
		const {fastMs, slowMs} = this.#opts;
		const trendFactor = Math.min(1, aheadMs / (slowMs - fastMs));
		return [...this.#classes].map(([model, state]) => ({
			model,
			prefill: Math.max(0, state.fastPrefill + ((state.fastPrefill - state.slowPrefill) * trendFactor)),
			decode: Math.max(0, state.fastDecode + ((state.fastDecode - state.slowDecode) * trendFactor)),
			requestPrefillSeconds: state.requestPrefillSeconds,
			uncertainty: Math.sqrt(state.variance),
		}));
	}

	#update(model: string, rate: ClassRate, time: {at: number; elapsedMs: number}): void {
		const state = this.#classes.get(model);
		if (!state) {
			this.#classes.set(model, {
				fastPrefill: rate.prefill, fastDecode: rate.decode, slowPrefill: rate.prefill, slowDecode: rate.decode, variance: 0, requestPrefillSeconds: rate.prefill / Math.max(Number.EPSILON, rate.requests), lastReportAt: time.at,
			});
			return;
		}

		const fastWeight = 1 - Math.exp(-time.elapsedMs / this.#opts.fastMs);
		const slowWeight = 1 - Math.exp(-time.elapsedMs / this.#opts.slowMs);
		const error = rate.prefill + rate.decode - state.fastPrefill - state.fastDecode;
		state.variance += ((error * error) - state.variance) * slowWeight;
		state.fastPrefill += (rate.prefill - state.fastPrefill) * fastWeight;
		state.fastDecode += (rate.decode - state.fastDecode) * fastWeight;
		state.slowPrefill += (rate.prefill - state.slowPrefill) * slowWeight;
		state.slowDecode += (rate.decode - state.slowDecode) * slowWeight;
		if (rate.requests > 0) {
			state.requestPrefillSeconds += ((rate.prefill / rate.requests) - state.requestPrefillSeconds) * fastWeight;
		}

		state.lastReportAt = time.at;
	}
}
