/** Traces of arrivals: Cuenca's long common prompts, Maraval's short ones, and their mixes, drawn from a seed. */
import type {Random} from '@hickorytrack/random';
import type {Arrival} from './simulated-run.js';

const msPerSecond = 1000;
const ordinances = 12;

export type RequestShape = {
	workspace: string;
	model: string;
	promptTokens: number;
	prefixTokens: number;
	/** Different shared beginnings. */
	prefixCount: number;
	outputTokens: number;
	priority?: number;
	share?: number;
	queueMs?: number;
};

export const cuencaShape: RequestShape = {
	workspace: 'cuenca', model: 'ordinance', promptTokens: 3700, prefixTokens: 3584, prefixCount: ordinances, outputTokens: 100, share: 4, queueMs: 2000,
};

export const maravalShape: RequestShape = {
	workspace: 'maraval', model: 'drafting', promptTokens: 120, prefixTokens: 0, prefixCount: 1, outputTokens: 60, share: 4, queueMs: 2000,
};

/** Draws arrivals with a rate, in requests a second, that may change over time. */
export function createArrivals(shape: RequestShape, opts: {random: Random; durationMs: number; getRate: (ms: number) => number; maximumRate: number}): Arrival[] {
	const arrivals: Arrival[] = [];
	let at = 0;
	for (;;) {
		at += opts.random.nextExponential(msPerSecond / opts.maximumRate);
		if (at >= opts.durationMs) {
			return arrivals;
		}

		if (opts.random.next() < opts.getRate(at) / opts.maximumRate) {
			arrivals.push({
				workspace: shape.workspace, model: shape.model, priority: shape.priority ?? 1, share: shape.share ?? 1, queueMs: shape.queueMs ?? 2000, arrivedAt: at,
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
