/** Measures the work an endpoint did, in engine seconds of prefill and decode, for the role planner. */
import type {Clock} from '@hickorytrack/clock';
import type {EndpointSpeed} from '@hickorytrack/types/endpoint';
import type {DemandReport} from '@hickorytrack/types/peer-methods';
import type {Job} from './job.js';

type ModelDemand = {
	prefillSeconds: number;
	decodeSeconds: number;
};

export class DemandMeter {
	readonly #clock: Clock;
	readonly #models = new Map<string, ModelDemand>();
	#since: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#since = clock.monotonic();
	}

	note(job: Job, usage: {cachedTokens: number; outputTokens: number; speed: EndpointSpeed | undefined}): void {
		const {work} = job.submission;
		if (work.kind !== 'generation' || !usage.speed) {
			return;
		}

		const demand = this.#models.get(work.model) ?? {prefillSeconds: 0, decodeSeconds: 0};
		demand.prefillSeconds += Math.max(0, work.promptTokens - usage.cachedTokens) / usage.speed.prefillTokensPerSecond;
		demand.decodeSeconds += usage.outputTokens / usage.speed.decodeTokensPerSecond;
		this.#models.set(work.model, demand);
	}

	/** Returns the demand since the last call. */
	collect(endpoint: string): DemandReport[] {
		const now = this.#clock.monotonic();
		const intervalMs = now - this.#since;
		const reports = [...this.#models].map(([model, demand]) => ({
			endpoint, model, ...demand, intervalMs,
		}));
		this.#models.clear();
		this.#since = now;
		return reports;
	}
}
