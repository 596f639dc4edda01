/**
 * Estimates the time to first token of a request at one engine from the work ahead of it. Agents use the estimate for
 * admission and entries use it for placement, so that both apply the same definition of meeting the target.
 */
import type {EndpointSpeed} from '@hickorytrack/types/endpoint';

const msPerSecond = 1000;
/**
 * Order of magnitude of the time that a request occupies a slot. Divided by the number of slots, it is the wait for a
 * free slot.
 */
const typicalSlotOccupancyMs = 1500;
/** Fraction of an engine's time that goes to prefill while the engine is also decoding. */
const prefillTimeFractionWhileDecoding = 0.5;

export type FirstTokenEstimateInput = {
	speed: EndpointSpeed;
	/** Engine time of the queued work that is served first, in milliseconds. */
	costAheadMs: number;
	/** Number of running requests, and the maximum number. */
	running: number;
	slots: number;
	/** Prefill tokens of running requests that have not produced a token yet. */
	runningPrefillTokens: number;
	/** Prefill tokens of the request that are not in the KV cache. */
	ownPrefillTokens: number;
};

/** Returns the expected time to the first token in milliseconds. */
export function estimateFirstTokenMs(input: FirstTokenEstimateInput): number {
	const {speed, costAheadMs, running, slots, runningPrefillTokens, ownPrefillTokens} = input;
	const queueMs = running >= slots ? costAheadMs + (typicalSlotOccupancyMs / slots) : 0;
	const rate = speed.prefillTokensPerSecond * (running > 0 ? prefillTimeFractionWhileDecoding : 1);
	return queueMs + ((runningPrefillTokens + ownPrefillTokens) / rate * msPerSecond);
}

/** Factor applied to the estimate before it is compared with the target, to allow for its error. */
const safetyFactor = 1.1;

/** Tells whether a request is expected to meet its target for the time to first token. */
export function canMeetFirstTokenTarget(input: FirstTokenEstimateInput, budgetMs: number): boolean {
	return estimateFirstTokenMs(input) * safetyFactor <= budgetMs;
}
