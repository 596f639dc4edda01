/** Random traces of arrivals, reproducible by seed: Cuenca's long prompts with shared prefixes, Maraval's short prompts, and mixes of both. */
import type {Random} from '@hickorytrack/random';
import type {Arrival} from './simulated-run.js';

const msPerSecond = 1000;
const ordinanceCount = 12;

export type RequestShape = {
	workspace: string;
	model: string;
	promptTokens: number;
	prefixTokens: number;
	/** Number of different shared prefixes. */
	prefixCount: number;
	outputTokens: number;
	priority?: number;
	share?: number;
	queueMs?: number;
};

export const cuencaShape: RequestShape = {
	workspace: 'cuenca', model: 'ordinance', promptTokens: 3700, prefixTokens: 3584, prefixCount: ordinanceCount, outputTokens: 100, share: 4, queueMs: 2000,
};

export const maravalShape: RequestShape = {
	workspace: 'maraval', model: 'drafting', promptTokens: 120, prefixTokens: 0, prefixCount: 1, outputTokens: 60, share: 4, queueMs: 2000,
};

/** Creates Poisson arrivals by thinning. The rate, in requests per second, may change over time up to `maximumRate`. */
export function createArrivals(shape: RequestShape, opts: {random: Random; durationMs: number; getRate: (ms: number) => number; maximumRate: number}): Arrival[] {
	const arrivals: Arrival[] = [];
	let arrivedAt = 0;
	for (;;) {
		arrivedAt += opts.random.nextExponential(msPerSecond / opts.maximumRate);
		if (arrivedAt >= opts.durationMs) {
			return arrivals;
		}

		if (opts.random.next() < opts.getRate(arrivedAt) / opts.maximumRate) {
			arrivals.push({
				workspace: shape.workspace, model: shape.model, priority: shape.priority ?? 1, share: shape.share ?? 1, queueMs: shape.queueMs ?? 2000, arrivedAt,
				promptTokens: Math.max(shape.prefixTokens + 1, Math.round(shape.promptTokens * opts.random.nextBetween(0.97, 1.06))),
				prefixId: `${shape.workspace}-${opts.random.nextInteger(shape.prefixCount)}`, prefixTokens: shape.prefixTokens,
				outputTokens: Math.max(2, Math.round(shape.outputTokens * opts.random.nextBetween(0.6, 1.4))),
			});
		}
	}
}

export function mergeArrivals(...lists: ReadonlyArray<readonly Arrival[]>): Arrival[] {
	return lists.flat().sort((a, b) => a.arrivedAt - b.arrivedAt);
}
