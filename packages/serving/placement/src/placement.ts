/**
 * The choice of an endpoint for a request. Every consideration is priced in one unit, the expected milliseconds to the
 * first token: the queue that is reported, the entry's own work that the report can't show yet, the prefill that the
 * prefix cache does not spare, and the way to the availability zone. Among near-equals the choice is random, so that
 * many entries with the same old view don't all run to one endpoint.
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
	/** Last load report; missing until the first one. */
	load?: EndpointLoad;
	/** Age of the report in milliseconds. */
	loadAgeMs: number;
	/** Work that this entry sent and the report does not contain. */
	unreported: {requests: number; prefillTokens: number; decodeTokens: number};
	cache: CacheView;
};

export type Placer = {
	readonly name: string;
	/** Returns the candidates in the order in which they should be tried; the first is the choice. */
	rank(request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[];
};

export type ExpectedTimePlacerOptions = {
	random: Random;
	/** Time to reach another availability zone and return, in milliseconds. */
	crossZoneMs: number;
	/** Candidates within this fraction and these milliseconds of the best one count as equal. */
	toleranceFraction?: number;
	toleranceMs?: number;
};

const msPerSecond = 1000;
const defaultNearFraction = 0.1;
const defaultNearMs = 10;
/** Age at which a report has lost two thirds of its weight against the average of all. */
const trustedAgeMs = 800;
const fullBatchMs = 40;
const crowdingPower = 2;
/** Weight of the time that a request takes from others against the time it waits itself. */
const othersWeight = 2;
/** Part of a whole prefill that each place further from home costs. */
const homeWeight = 0.25;

export type TimeEstimate = {
	/** Expected time to the first token at the endpoint. */
	expectedMs: number;
	batchDelayMs: number;
	cacheMissMs: number;
	crossZoneMs: number;
	totalMs: number;
};

export class ExpectedTimePlacer implements Placer {
	readonly name = 'expected-time';
	readonly #opts: ExpectedTimePlacerOptions;
	readonly #homes = new RendezvousRanking();

	constructor(opts: ExpectedTimePlacerOptions) {
		this.#opts = opts;
	}

	rank(request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
		const average = averageLoads(candidates);
		const firstBlock = request.blocks[0];
		const ranks = firstBlock === undefined ? undefined : this.#homes.computeRanks(firstBlock, candidates.map(candidate => candidate.endpoint));
		const priced = candidates
			.map(candidate => ({
				candidate,
				price: this.estimate(request, candidate, average).totalMs + this.#priceDistance(request, candidate, ranks?.get(candidate.endpoint) ?? 0),
			}))
			.sort((a, b) => a.price - b.price);
		if (priced.length === 0) {
			return [];
		}

		const bound = (priced[0]!.price * (1 + (this.#opts.toleranceFraction ?? defaultNearFraction))) + (this.#opts.toleranceMs ?? defaultNearMs);
		const near = priced.findIndex(entry => entry.price > bound);
		const count = near === -1 ? priced.length : near;
		const chosen = this.#opts.random.nextInteger(count);
		const [first] = priced.splice(chosen, 1);
		return [first!, ...priced].map(entry => entry.candidate);
	}

	/** The further an endpoint stands in the order of homes, the more its use costs the caches of the fleet. */
	#priceDistance(request: PlacementRequest, candidate: PlacementCandidate, rank: number): number {
		return rank * homeWeight * request.promptTokens / candidate.speed.prefillTokensPerSecond * msPerSecond;
	}

	estimate(request: PlacementRequest, candidate: PlacementCandidate, average?: AverageLoad): TimeEstimate {
		const {load, unreported} = candidate;
		const hit = candidate.cache.computeHitFraction(request.blocks);
		const reported = {
			requests: (load?.running ?? 0) + (load?.queued ?? 0), prefillTokens: load?.pendingPrefillTokens ?? 0, decodeTokens: load?.pendingDecodeTokens ?? 0,
		};
		const seen = average ? blendLoads(reported, average, Math.exp(-candidate.loadAgeMs / trustedAgeMs)) : reported;
		const requests = seen.requests + unreported.requests;
		const slots = Math.max(1, load?.slots ?? candidate.capacity);
		const excess = Math.max(0, requests + 1 - slots);
		const decodeMs = (seen.decodeTokens + unreported.decodeTokens) / candidate.speed.decodeTokensPerSecond * msPerSecond;
		const expectedMs = estimateFirstTokenMs({
			speed: candidate.speed,
			costAheadMs: excess > 0 ? excess / Math.max(1, requests) * decodeMs : 0,
			running: Math.min(slots, requests),
			slots,
			runningPrefillTokens: seen.prefillTokens + unreported.prefillTokens,
			ownPrefillTokens: request.promptTokens * (1 - hit),
		});
		// A fuller batch slows everyone in it a little, long before the slots run out.
		const crowdingMs = fullBatchMs * ((Math.min(slots, requests) / slots) ** crowdingPower);
		const zoneMs = candidate.availabilityZone === request.availabilityZone ? 0 : this.#opts.crossZoneMs;
		// Prefill that a warm endpoint would have spared is time taken from everyone else's requests.
		const missMs = othersWeight * request.promptTokens * (1 - hit) / candidate.speed.prefillTokensPerSecond * msPerSecond;
		return {
			expectedMs, batchDelayMs: crowdingMs, cacheMissMs: missMs, crossZoneMs: zoneMs, totalMs: expectedMs + crowdingMs + missMs + zoneMs,
		};
	}
}

type AverageLoad = {
	requests: number;
	prefillTokens: number;
	decodeTokens: number;
};

/** Averages the reports of all candidates: what an old report drifts towards. */
function averageLoads(candidates: readonly PlacementCandidate[]): AverageLoad {
	const count = Math.max(1, candidates.length);
	const sum = (read: (load: EndpointLoad) => number) => candidates.reduce((total, one) => total + (one.load ? read(one.load) : 0), 0) / count;
	return {requests: sum(load => load.running + load.queued), prefillTokens: sum(load => load.pendingPrefillTokens), decodeTokens: sum(load => load.pendingDecodeTokens)};
}

function blendLoads(reported: AverageLoad, average: AverageLoad, trust: number): AverageLoad {
	const blend = (a: number, b: number) => (a * trust) + (b * (1 - trust));
	return {
		requests: blend(reported.requests, average.requests), prefillTokens: blend(reported.prefillTokens, average.prefillTokens), decodeTokens: blend(reported.decodeTokens, average.decodeTokens),
	};
}
