/**
 * The demand on the fleet by class of work (a model), in engine seconds of a mixed engine a second, for prefill and for
 * decode. Each class has a fast and a slow average; the fast one is the level, the difference is the trend, and the
 * scatter around the fast one is the uncertainty. Reports that are late or missing leave the averages as they are.
 */
import type {DemandReport} from '@hickorytrack/types/peer-methods';

export type ClassDemand = {
	model: string;
	prefill: number;
	decode: number;
	/** Prefill of one request, in seconds of a mixed engine. */
	requestPrefillSeconds: number;
	/** Standard deviation of prefill plus decode around the level. */
	uncertainty: number;
};

export type DemandModelOptions = {
	/** Time constants in milliseconds. */
	fastMs: number;
	slowMs: number;
	/** A class without reports for this long is forgotten. */
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
	seenAt: number;
};

export class DemandModel {
	readonly #opts: DemandModelOptions;
	readonly #classes = new Map<string, ClassState>();
	#updatedAt: number | undefined;

	constructor(opts: Partial<DemandModelOptions> = {}) {
		this.#opts = {...defaultDemandModel, ...opts};
	}

	/** Takes the reports of one interval. `at` is monotonic time in milliseconds. */
	addReports(reports: readonly DemandReport[], at: number): void {
		const elapsedMs = at - (this.#updatedAt ?? at);
		this.#updatedAt = at;
		const rates = new Map<string, ClassRate>();
		for (const report of reports.filter(one => one.intervalMs > 0)) {
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
			if (at - state.seenAt > this.#opts.classExpiryMs) {
				this.#classes.delete(model);
			}
		}
	}

	/** Returns the demand expected `aheadMs` from now. */
	forecast(aheadMs: number): ClassDemand[] {
		const {fastMs, slowMs} = this.#opts;
		const lead = Math.min(1, aheadMs / (slowMs - fastMs));
		return [...this.#classes].map(([model, state]) => ({
			model,
			prefill: Math.max(0, state.fastPrefill + ((state.fastPrefill - state.slowPrefill) * lead)),
			decode: Math.max(0, state.fastDecode + ((state.fastDecode - state.slowDecode) * lead)),
			requestPrefillSeconds: state.requestPrefillSeconds,
			uncertainty: Math.sqrt(state.variance),
		}));
	}

	#update(model: string, rate: ClassRate, time: {at: number; elapsedMs: number}): void {
		const state = this.#classes.get(model);
		if (!state) {
			this.#classes.set(model, {
				fastPrefill: rate.prefill, fastDecode: rate.decode, slowPrefill: rate.prefill, slowDecode: rate.decode, variance: 0, requestPrefillSeconds: rate.prefill / Math.max(Number.EPSILON, rate.requests), seenAt: time.at,
			});
			return;
		}

		const fast = 1 - Math.exp(-time.elapsedMs / this.#opts.fastMs);
		const slow = 1 - Math.exp(-time.elapsedMs / this.#opts.slowMs);
		const error = rate.prefill + rate.decode - state.fastPrefill - state.fastDecode;
		state.variance += ((error * error) - state.variance) * slow;
		state.fastPrefill += (rate.prefill - state.fastPrefill) * fast;
		state.fastDecode += (rate.decode - state.fastDecode) * fast;
		state.slowPrefill += (rate.prefill - state.slowPrefill) * slow;
		state.slowDecode += (rate.decode - state.slowDecode) * slow;
		if (rate.requests > 0) {
			state.requestPrefillSeconds += ((rate.prefill / rate.requests) - state.requestPrefillSeconds) * fast;
		}

		state.seenAt = time.at;
	}
}
