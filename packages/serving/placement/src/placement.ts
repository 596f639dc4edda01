/**
 * Chooses an endpoint for a request. All costs are expressed in milliseconds: the expected time to first token, which
 * includes the reported queue and the entry's own work that the load report does not include yet; the delay caused by
 * the other requests in the batch; the engine time that the prefill of uncached tokens takes from other requests; the
 * latency to another availability zone; and the rank of the endpoint for the prompt prefix. Among candidates with
 * similar costs the choice is random, so that many entries with the same stale load reports do not all choose the same
 * endpoint.
 */
import type {EndpointLoad, EndpointSpeed, EngineRole} from '@hickorytrack/types/endpoint';
import {estimateFirstTokenMs} from '@hickorytrack/fair-queue/first-token-estimate';
import type {Random} from '@hickorytrack/random';
import type {CacheView} from './cache-view.js';
import {RendezvousRanking} from './rendezvous-ranking.js';

export type PlacementRequest = {
	promptTokens: number;
	maxTokens: number;
	blocks: readonly string[];
	availabilityZone: string;
};

export type PlacementCandidate = {
	endpoint: string;
	availabilityZone: string;
	speed: EndpointSpeed;
	capacity: number;
	role: EngineRole;
	/** Last load report; undefined until the first report arrives. */
	load?: EndpointLoad;
	/** Age of the report in milliseconds. */
	loadAgeMs: number;
	/** Work that this entry has sent and that the report does not include. */
	unreported: {requests: number; prefillTokens: number; decodeTokens: number};
	cache: CacheView;
};

export type Placer = {
	readonly name: string;
	/** Returns the candidates in the order in which they should be tried. The first one is the chosen endpoint. */
	rank(request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[];
};

export type ExpectedTimePlacerOptions = {
	random: Random;
	/** Round-trip time to another availability zone, in milliseconds. */
	crossZoneMs: number;
	/** Candidates whose cost exceeds the lowest one by no more than this fraction plus `toleranceMs` count as equal. */
	toleranceFraction?: number;
	toleranceMs?: number;
};

const msPerSecond = 1000;
const defaultToleranceFraction = 0.1;
const defaultToleranceMs = 10;
/**
 * Time constant of the decay of a report's weight relative to the average of all reports: at this age it has lost
 * about two thirds.
 */
const loadReportDecayMs = 800;
/** Delay caused by a full batch. */
const fullBatchDelayMs = 40;
const batchDelayExponent = 2;
/** Weight of the engine time taken from other requests relative to the request's own waiting time. */
const cacheMissWeight = 2;
/** Cost of each rank in the rendezvous ranking, as a fraction of the prefill time of the whole prompt. */
const rankWeight = 0.25;

export type TimeEstimate = {
	/** Expected time to first token at the endpoint. */
	expectedMs: number;
	batchDelayMs: number;
	cacheMissMs: number;
	crossZoneMs: number;
	totalMs: number;
};

export class ExpectedTimePlacer implements Placer {
	readonly name = 'expected-time';
	readonly #opts: ExpectedTimePlacerOptions;
	readonly #ranking = new RendezvousRanking();

	constructor(opts: ExpectedTimePlacerOptions) {
		this.#opts = opts;
	}

	rank(request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
		const average = computeAverageLoad(candidates);
		const firstBlock = request.blocks[0];
		const ranks = firstBlock === undefined ? undefined : this.#ranking.computeRanks(firstBlock, candidates.map(candidate => candidate.endpoint));
		const sorted = candidates
			.map(candidate => ({
				candidate,
				costMs: this.estimate(request, candidate, average).totalMs + this.#computeRankCostMs(request, candidate, ranks?.get(candidate.endpoint) ?? 0),
			}))
			.sort((a, b) => a.costMs - b.costMs);
		if (sorted.length === 0) {
			return [];
		}

		const boundMs = (sorted[0]!.costMs * (1 + (this.#opts.toleranceFraction ?? defaultToleranceFraction))) + (this.#opts.toleranceMs ?? defaultToleranceMs);
		const firstOutside = sorted.findIndex(entry => entry.costMs > boundMs);
		const count = firstOutside === -1 ? sorted.length : firstOutside;
		const chosenIndex = this.#opts.random.nextInteger(count);
		const [first] = sorted.splice(chosenIndex, 1);
		return [first!, ...sorted].map(entry => entry.candidate);
	}

	/**
	 * Returns the cost of the rank of an endpoint for the prefix: choosing endpoints further down the ranking spreads
	 * the prefix over more caches.
	 */
	#computeRankCostMs(request: PlacementRequest, candidate: PlacementCandidate, rank: number): number {
		return rank * rankWeight * request.promptTokens / candidate.speed.prefillTokensPerSecond * msPerSecond;
	}

	estimate(request: PlacementRequest, candidate: PlacementCandidate, average?: AverageLoad): TimeEstimate {
		const {load, unreported} = candidate;
		const hitFraction = candidate.cache.computeHitFraction(request.blocks);
		const reported = {
			requests: (load?.running ?? 0) + (load?.queued ?? 0), prefillTokens: load?.pendingPrefillTokens ?? 0, decodeTokens: load?.pendingDecodeTokens ?? 0,
		};
		const estimated = average ? computeWeightedLoad(reported, average, Math.exp(-candidate.loadAgeMs / loadReportDecayMs)) : reported;
		const requests = estimated.requests + unreported.requests;
		const slots = Math.max(1, load?.slots ?? candidate.capacity);
		const excess = Math.max(0, requests + 1 - slots);
		const decodeMs = (estimated.decodeTokens + unreported.decodeTokens) / candidate.speed.decodeTokensPerSecond * msPerSecond;
		const expectedMs = estimateFirstTokenMs({
			speed: candidate.speed,
			costAheadMs: excess > 0 ? excess / Math.max(1, requests) * decodeMs : 0,
			running: Math.min(slots, requests),
			slots,
			runningPrefillTokens: estimated.prefillTokens + unreported.prefillTokens,
			ownPrefillTokens: request.promptTokens * (1 - hitFraction),
		});
		// A fuller batch slows all its requests slightly, long before all slots are occupied.
		const batchDelayMs = fullBatchDelayMs * ((Math.min(slots, requests) / slots) ** batchDelayExponent);
		const crossZoneMs = candidate.availabilityZone === request.availabilityZone ? 0 : this.#opts.crossZoneMs;
		// Prefill that an endpoint with a cached prefix would avoid takes engine time from the other requests.
		const cacheMissMs = cacheMissWeight * request.promptTokens * (1 - hitFraction) / candidate.speed.prefillTokensPerSecond * msPerSecond;
		return {
			expectedMs, batchDelayMs, cacheMissMs, crossZoneMs, totalMs: expectedMs + batchDelayMs + cacheMissMs + crossZoneMs,
		};
	}
}

type AverageLoad = {
	requests: number;
	prefillTokens: number;
	decodeTokens: number;
};

/** Returns the average of the load reports of all candidates, which the estimate approaches as a report ages. */
function computeAverageLoad(candidates: readonly PlacementCandidate[]): AverageLoad {
	const count = Math.max(1, candidates.length);
	const computeAverage = (read: (load: EndpointLoad) => number) => candidates.reduce((total, candidate) => total + (candidate.load ? read(candidate.load) : 0), 0) / count;
	return {requests: computeAverage(load => load.running + load.queued), prefillTokens: computeAverage(load => load.pendingPrefillTokens), decodeTokens: computeAverage(load => load.pendingDecodeTokens)};
}

function computeWeightedLoad(reported: AverageLoad, average: AverageLoad, weight: number): AverageLoad {
	const computeWeightedAverage = (a: number, b: number) => (a * weight) + (b * (1 - weight));
	return {
		requests: computeWeightedAverage(reported.requests, average.requests), prefillTokens: computeWeightedAverage(reported.prefillTokens, average.prefillTokens), decodeTokens: computeWeightedAverage(reported.decodeTokens, average.decodeTokens),
	};
}
