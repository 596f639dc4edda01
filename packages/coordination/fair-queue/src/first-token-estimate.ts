/**
 * The expected time to the first token of a request at one engine, from what waits before it. Agents admit by it and
 * entries place by it, so that both mean the same by "in time".
 */
import type {EndpointSpeed} from '@hickorytrack/types/endpoint';

const msPerSecond = 1000;
/** Time that a request holds a slot, by order of magnitude; divided by the slots it is the wait for the next one. */
const typicalResidenceMs = 1500;
/** Part of a busy engine's time that prefill gets beside decoding. */
const prefillPartBesideDecode = 0.5;

export type FirstTokenEstimateInput = {
	speed: EndpointSpeed;
	/** Engine time of the work that goes first, in milliseconds. */
	costAheadMs: number;
	/** Requests that run now, and how many may. */
	running: number;
	slots: number;
	/** Prefill tokens of running requests that have no token yet. */
	runningPrefillTokens: number;
	/** Prefill tokens of the request itself that are not in the cache. */
	ownPrefillTokens: number;
};

/** Returns the expected time to the first token in milliseconds. */
export function estimateFirstTokenMs(situation: FirstTokenEstimateInput): number {
	const {speed, costAheadMs, running, slots, runningPrefillTokens, ownPrefillTokens} = situation;
	const queueMs = running >= slots ? costAheadMs + (typicalResidenceMs / slots) : 0;
	const rate = speed.prefillTokensPerSecond * (running > 0 ? prefillPartBesideDecode : 1);
	return queueMs + ((runningPrefillTokens + ownPrefillTokens) / rate * msPerSecond);
}

/** Part by which the estimate must stay under the target, because it is one. */
const safetyMargin = 1.1;

/** Tells whether a request can be expected to keep its target for the first token. */
export function canMeetFirstTokenTarget(situation: FirstTokenEstimateInput, budgetMs: number): boolean {
	return estimateFirstTokenMs(situation) * safetyMargin <= budgetMs;
}
