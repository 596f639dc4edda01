/**
 * The choice of an endpoint for a request. Every consideration is priced in one unit, the expected milliseconds to the
 * first token: the queue that is reported, the entry's own work that the report can't show yet, the prefill that the
 * prefix cache does not spare, and the way to the availability zone. Among near-equals the choice is random, so that
 * many entries with the same old view don't all run to one endpoint.
 */
import type {EndpointLoad, EndpointSpeed, EngineRole} from '@hickorytrack/types/endpoint';
import type {Random} from '@hickorytrack/random';
import type {CacheView} from './cache-view.js';

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
	nearFraction?: number;
	nearMs?: number;
};

const msPerSecond = 1000;
const defaultNearFraction = 0.1;
const defaultNearMs = 10;

export type TimeEstimate = {
	queueMs: number;
	prefillMs: number;
	zoneMs: number;
	totalMs: number;
};

export class ExpectedTimePlacer implements Placer {
	readonly name = 'expected-time';
	readonly #opts: ExpectedTimePlacerOptions;

	constructor(opts: ExpectedTimePlacerOptions) {
		this.#opts = opts;
	}

	rank(request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
		const priced = candidates
			.map(candidate => ({candidate, price: this.estimate(request, candidate).totalMs}))
			.sort((a, b) => a.price - b.price);
		if (priced.length === 0) {
			return [];
		}

		const bound = (priced[0]!.price * (1 + (this.#opts.nearFraction ?? defaultNearFraction))) + (this.#opts.nearMs ?? defaultNearMs);
		const near = priced.findIndex(entry => entry.price > bound);
		const count = near === -1 ? priced.length : near;
		const chosen = this.#opts.random.nextInteger(count);
		const [first] = priced.splice(chosen, 1);
		return [first!, ...priced].map(entry => entry.candidate);
	}

	estimate(request: PlacementRequest, candidate: PlacementCandidate): TimeEstimate {
		const {speed, load, unreported} = candidate;
		const hit = candidate.cache.computeHitFraction(request.blocks);
		const pendingPrefill = (load?.pendingPrefillTokens ?? 0) + unreported.prefillTokens;
		const pendingDecode = (load?.pendingDecodeTokens ?? 0) + unreported.decodeTokens;
		const requests = (load?.running ?? 0) + (load?.queued ?? 0) + unreported.requests;
		const excess = Math.max(0, requests + 1 - (load?.slots ?? candidate.capacity));
		// Work beyond the capacity waits until running work ends, at the pace of the whole engine.
		const slotMs = excess > 0 && requests > 0 ? excess / requests * pendingDecode / speed.decodeTokensPerSecond * msPerSecond : 0;
		const queueMs = (pendingPrefill / speed.prefillTokensPerSecond * msPerSecond) + slotMs;
		const prefillMs = request.promptTokens * (1 - hit) / speed.prefillTokensPerSecond * msPerSecond;
		const zoneMs = candidate.availabilityZone === request.availabilityZone ? 0 : this.#opts.crossZoneMs;
		return {
			queueMs, prefillMs, zoneMs, totalMs: queueMs + prefillMs + zoneMs,
		};
	}
}
