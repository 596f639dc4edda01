/**
 * Learns the work of requests, in milliseconds at a server of mean speed, from coarse to fine: of the service, the route, the
 * declared sizes and the subject. An estimate with few samples stays close to the coarser one.
 */

/** What is known of a request before it runs. */
export type WorkKind = {
	service: string;
	route: string;
	/** Declared output tokens. */
	outputTokens?: number;
	/** Prompt tokens that no server is known to hold. */
	promptTokens?: number;
	/** The last part of the prompt that other requests share. */
	subject?: string;
};

type Mean = {samples: number; ms: number};

/** A coarser estimate counts as this many samples of the finer one. */
const shrinkageSamples = 3;
/** Weight of a new sample in an estimate with many samples. */
const minSampleWeight = 0.02;
/** Number of kept estimates; the one that was recorded least recently is removed first. */
const maxEstimates = 2000;
/** A sample counts at most for this many times the estimate and its inverse, so that one stall does not change it much. */
const outlierFactor = 20;

export class WorkEstimates {
	readonly #means = new Map<string, Mean>();

	/** Estimates the work of a request; 0 before the first sample of its service. */
	estimateMs(kind: WorkKind): number {
		let estimate = 0;
		for (const key of formatKeys(kind)) {
			const mean = this.#means.get(key);
			if (mean) {
				estimate = ((mean.samples * mean.ms) + (shrinkageSamples * (estimate || mean.ms))) / (mean.samples + shrinkageSamples);
			}
		}

		return estimate;
	}

	/** Mean work of the requests of a service; 0 before the first sample. */
	getMeanMs(service: string): number {
		return this.#means.get(service)?.ms ?? 0;
	}

	countSamples(service: string): number {
		return this.#means.get(service)?.samples ?? 0;
	}

	record(kind: WorkKind, workMs: number): void {
		const estimate = this.estimateMs(kind) || workMs;
		const bounded = Math.min(estimate * outlierFactor, Math.max(estimate / outlierFactor, workMs));
		for (const key of formatKeys(kind)) {
			const mean = this.#means.get(key) ?? {samples: 0, ms: 0};
			mean.samples++;
			mean.ms += (bounded - mean.ms) * Math.max(1 / mean.samples, minSampleWeight);
			this.#means.delete(key);
			this.#means.set(key, mean);
		}

		for (const key of this.#means.keys()) {
			if (this.#means.size <= maxEstimates) {
				break;
			}

			this.#means.delete(key);
		}
	}
}

/** From the coarsest to the finest. Sizes are grouped by powers of two. */
function formatKeys({service, route, outputTokens, promptTokens, subject}: WorkKind): string[] {
	const keys = [service, `${service} ${route}`];
	if (outputTokens !== undefined || promptTokens !== undefined) {
		keys.push(`${service} ${route} ${formatSize(outputTokens)} ${formatSize(promptTokens)}`);
	}

	if (subject !== undefined) {
		keys.push(`${keys.at(-1)!} ${subject}`);
	}

	return keys;
}

function formatSize(tokens: number | undefined): string {
	return tokens === undefined ? '-' : `${Math.ceil(Math.log2(Math.max(1, tokens)))}`;
}
