/**
 * Measures the demand on an endpoint for the role planner. Work is counted when it is accepted, by its prompt tokens and the
 * average output of earlier requests for its model, in seconds of engine time on a mixed engine.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EndpointSpeed} from '@hickorytrack/types/endpoint';
import type {DemandReport} from '@hickorytrack/types/peer-methods';
import type {GenerationWork} from '@hickorytrack/types/work';

const defaultOutputTokens = 64;
const smoothingFactor = 0.05;

type ModelDemand = {
	prefillSeconds: number;
	decodeSeconds: number;
	requests: number;
};

export class DemandMeter {
	readonly #clock: Clock;
	readonly #models = new Map<string, ModelDemand>();
	readonly #averageOutputTokens = new Map<string, number>();
	#since: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#since = clock.monotonic();
	}

	/** Adds accepted work to the demand; `speed` is that of a mixed engine. */
	recordAccepted(work: GenerationWork, speed: EndpointSpeed): void {
		const demand = this.#models.get(work.model) ?? {prefillSeconds: 0, decodeSeconds: 0, requests: 0};
		demand.prefillSeconds += Math.max(0, work.promptTokens - work.expectedCachedTokens) / speed.prefillTokensPerSecond;
		demand.decodeSeconds += Math.min(work.maxTokens, this.#averageOutputTokens.get(work.model) ?? defaultOutputTokens) / speed.decodeTokensPerSecond;
		demand.requests++;
		this.#models.set(work.model, demand);
	}

	/** Updates the moving average of the output tokens per request of a model. */
	recordOutput(model: string, tokens: number): void {
		const average = this.#averageOutputTokens.get(model) ?? defaultOutputTokens;
		this.#averageOutputTokens.set(model, average + ((tokens - average) * smoothingFactor));
	}

	/** Returns the demand since the last call and resets it. */
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
