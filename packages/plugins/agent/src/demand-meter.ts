/**
 * Measures the demand on an endpoint for the role planner: work is counted when it is accepted, by its prompt and by the
 * output that requests of its model have had, in seconds of a mixed engine.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EndpointSpeed} from '@hickorytrack/types/endpoint';
import type {DemandReport} from '@hickorytrack/types/peer-methods';
import type {GenerationWork} from '@hickorytrack/types/work';

const firstOutputGuess = 64;
const learningRate = 0.05;

type ModelDemand = {
	prefillSeconds: number;
	decodeSeconds: number;
	requests: number;
};

export class DemandMeter {
	readonly #clock: Clock;
	readonly #models = new Map<string, ModelDemand>();
	readonly #outputTokens = new Map<string, number>();
	#since: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#since = clock.monotonic();
	}

	/** Counts accepted work; `speed` is that of a mixed engine. */
	recordAccepted(work: GenerationWork, speed: EndpointSpeed): void {
		const demand = this.#models.get(work.model) ?? {prefillSeconds: 0, decodeSeconds: 0, requests: 0};
		demand.prefillSeconds += Math.max(0, work.promptTokens - work.expectedCachedTokens) / speed.prefillTokensPerSecond;
		demand.decodeSeconds += Math.min(work.maxTokens, this.#outputTokens.get(work.model) ?? firstOutputGuess) / speed.decodeTokensPerSecond;
		demand.requests++;
		this.#models.set(work.model, demand);
	}

	/** Learns how long the answers of a model are. */
	recordOutput(model: string, tokens: number): void {
		const known = this.#outputTokens.get(model) ?? firstOutputGuess;
		this.#outputTokens.set(model, known + ((tokens - known) * learningRate));
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
