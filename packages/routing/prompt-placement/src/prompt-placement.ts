/**
 * Selects the servers that prefill the prompt of a request and decode its answer. Prompts are long and share their first
 * parts, prefill is the bottleneck, and a transfer of KV cache takes far less time than prefill. So the memory of all
 * servers is used as one KV cache: a prefill server fetches the cached prefix from another server, prefills the rest and
 * hands the whole KV cache over. While the prefill servers have a queue, a decode server with spare capacity prefills
 * the prompt itself. When no server would answer within the latency objective, the request is refused at once. A short
 * prompt waits for a slot instead, because waiting costs no prefill and its caller waits for long.
 *
 * Most decode servers are home servers: each keeps the hot (most used) shared parts that are assigned to it. The others
 * are scratch servers and take the prompts whose parts would evict hot ones.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {EngineProfile} from '@hickorytrack/engine-profile';
import {RendezvousRanking} from '@hickorytrack/placement/rendezvous-ranking';
import type {Random} from '@hickorytrack/random';
import {DecodeSlots} from './decode-slots.js';
import type {LoadTracker} from './load-tracker.js';
import type {PartUsage} from './part-usage.js';
import type {PrefixCacheIndex} from './prefix-cache-index.js';
import {listSharedParts, type Prompt} from './prompt.js';

export const placementKinds = {handOver: 'hand-over', direct: 'direct', refuse: 'refuse'} as const;

type AcceptedPlacement = {
	decodeServer: KnownServer;
	/** Another server that has more of the prompt cached. */
	kvSource?: KnownServer;
	prefillTokens: number;
	/** Predicted time to the first event, in milliseconds. */
	predictedMs: number;
};

export type Placement =
	/** One server prefills the prompt and hands its KV cache over to another one, which decodes the answer. */
	| ({kind: 'hand-over'; prefillServer: KnownServer} & AcceptedPlacement)
	/** A decode server prefills the prompt itself. */
	| ({kind: 'direct'} & AcceptedPlacement)
	/** No server would answer in time. */
	| {kind: 'refuse'; retryAfterMs: number; reason: string};

export type PlacementOptions = {
	random: Random;
	loadTracker: LoadTracker;
	cacheIndex: PrefixCacheIndex;
	usage: PartUsage;
	profile: EngineProfile;
	/** Returns the KV cache capacity of a server of the service, in tokens. */
	getKvCapacity: (service: string) => number;
	/** Tells whether a server limits the requests that it takes; what it takes is used first. */
	isLimited?: (server: KnownServer) => boolean;
};

export type PlacementRequest = {
	prompt: Prompt;
	servers: readonly KnownServer[];
	/** Servers that take no request at the moment. They keep their roles, so that those of the others don't change. */
	closed?: readonly KnownServer[];
	/** Objective for the time to the first event, in milliseconds; a later answer loses part of its value. */
	objectiveMs: number;
	/** Zone of this instance. */
	availabilityZone: string;
	/** Time for which the caller waits for the first event, in milliseconds. */
	maxWaitMs: number;
	/** Ids of servers on which this request has failed. */
	excluded: ReadonlySet<string>;
	/** Time that the request spends at this instance, whose link and processor are weak; in milliseconds. */
	ownCost?: OwnCost;
};

export type OwnCost = {
	/** Wait for the link and the processor alone. */
	waitMs: number;
	/** With one call that carries the prompt. */
	directMs: number;
	/** With two calls, one after another, that both carry the prompt. */
	handOverMs: number;
};

const noOwnCost: OwnCost = {waitMs: 0, directMs: 0, handOverMs: 0};

/** A prompt that a decode server prefills within this fraction of the objective is not handed over. */
const maxShortPrefillFraction = 0.03;
/** Fraction of the objective within which the first event must be predicted; the rest is a margin for prediction errors. */
const plannedObjectiveFraction = 0.85;
/** A long prompt predicted to be late is still accepted while its queue is below this fraction of the objective. */
const maxLateQueueFraction = 0.25;
/** A short prompt waits for a slot up to this fraction of the time for which its caller waits. */
const maxSlotWaitFraction = 0.5;
/** Retry delay of a refused caller, as a multiple of the objective; an earlier retry would meet the same queue. */
const retryAfterObjectives = 2.5;
/** Average age of the known load; in this time the server has prefilled a part of its queue. */
const loadAgeMs = 25;
/** Predictions that differ by less than this fraction of the objective count as close. */
const closePredictionFraction = 0.05;
/**
 * The load of the servers is known a little late. If all instances chose the shortest queue meanwhile, they would choose the
 * same one, so each chooses at random among queues that are longer by up to this part of the prompt's own prefill, and
 * among these the servers of its own zone, because traffic between zones is billed.
 */
const blindPrefillFraction = 0.5;
/** One of this many decode servers is a scratch server. */
const decodeServersPerScratchServer = 4;
/** Fraction of the home servers' KV cache for hot parts; the rest is for running requests and parts that are not hot. */
const hotPartsFraction = 0.7;
/** Streams fill a server up to this fraction of its slots before they are sent to the next one. */
const maxPackedSlotFraction = 0.8;
/** A server whose prefill queue is longer than this fraction of the objective gets no streams while another one has free capacity. */
const maxStreamQueueFraction = 0.2;
/** A decode server with more streams than this prefills no long prompts while another server can. */
const maxStreamsBesidePrefill = 2;
/** A server that takes this many times as long as the mean one gets no streams while another one has free capacity. */
const maxStreamSlowness = 1.5;
/** A fetch that saves fewer tokens costs more than it saves. */
const minFetchTokens = 64;

/** Roles of the decode servers, of those that take no request too. */
type DecodeLayout = {homeServers: readonly KnownServer[]; scratchServers: readonly KnownServer[]};

type PrefillPlan = {
	server: KnownServer;
	kvSource?: KnownServer;
	prefillTokens: number;
	/** Estimated wait until the server starts to prefill this prompt, that at this instance included, in milliseconds. */
	queueMs: number;
	/** Estimated time in which the server prefills this prompt alone, in milliseconds. */
	prefillMs: number;
	predictedMs: number;
};

export class PromptPlacement {
	readonly #opts: PlacementOptions;
	readonly #homeRanking = new RendezvousRanking();
	readonly #slots: DecodeSlots;

	constructor(opts: PlacementOptions) {
		this.#opts = opts;
		this.#slots = new DecodeSlots(opts);
	}

	plan(asked: PlacementRequest): Placement {
		const request = this.#excludeFull(asked);
		const usable = request.servers.filter(server => !request.excluded.has(server.id));
		const decodeServers = usable.filter(server => server.stage !== 'prefill');
		if (decodeServers.length === 0 && asked.servers.some(server => server.stage !== 'prefill' && !asked.excluded.has(server.id))) {
			return {kind: 'refuse', retryAfterMs: request.objectiveMs, reason: 'no generating server has memory for the prompt'};
		}

		if (decodeServers.length === 0) {
			return {kind: 'refuse', retryAfterMs: request.objectiveMs, reason: request.closed?.length ? 'no generating server takes a request at the moment' : 'no generating server is known'};
		}

		if (this.#isShort(request, decodeServers[0]!)) {
			return this.#planShort(request, decodeServers);
		}

		return this.#planLong(request, {decodeServers, prefillServers: usable.filter(server => server.stage === 'prefill')});
	}

	/** Treats the servers whose memory does not hold the request beside those in flight as closed. */
	#excludeFull(request: PlacementRequest): PlacementRequest {
		const {servers, prompt, closed = []} = request;
		const full = servers.filter(server => !this.#hasMemory(server, prompt));
		return full.length === 0 ? request : {...request, servers: servers.filter(server => !full.includes(server)), closed: [...closed, ...full]};
	}

	/** A server that holds more tokens than its memory crashes. Shared parts count for each request, so that the estimate is not too low. */
	#hasMemory(server: KnownServer, prompt: Prompt): boolean {
		const capacity = this.#opts.getKvCapacity(server.service);
		return capacity <= 0 || this.#opts.loadTracker.estimateMemoryTokens(server.id) + countMemoryTokens(prompt, server) <= capacity;
	}

	/** Returns the time until the server has prefilled the prompts already sent to it, in milliseconds. */
	#estimateQueueMs(server: KnownServer): number {
		const queueMs = this.#opts.loadTracker.getLoad(server.id).promptTokens * this.#opts.profile.getMsPerToken(server);
		return Math.max(0, queueMs - loadAgeMs);
	}

	/** Until the speed of the servers is known, every prompt counts as long. */
	#isShort({prompt, objectiveMs}: PlacementRequest, decodeServer: KnownServer): boolean {
		const {profile} = this.#opts;
		return profile.isKnown(decodeServer.service) && prompt.tokens * profile.getMsPerToken(decodeServer) < objectiveMs * maxShortPrefillFraction;
	}

	#planShort(request: PlacementRequest, decodeServers: readonly KnownServer[]): Placement {
		const {profile} = this.#opts;
		const {objectiveMs, maxWaitMs, ownCost = noOwnCost} = request;
		const prefillTokens = request.prompt.tokens;
		const predictMs = (server: KnownServer) => ownCost.directMs + this.#estimateQueueMs(server) + this.#slots.estimateWaitMs(server) + profile.estimateMs(server, prefillTokens);
		const decodeServer = this.#selectForStream(request, decodeServers) ?? this.#selectLeast(decodeServers, server => predictMs(server));
		const predictedMs = predictMs(decodeServer);
		if (predictedMs > Math.max(objectiveMs, maxWaitMs * maxSlotWaitFraction)) {
			return {kind: 'refuse', retryAfterMs: Math.max(objectiveMs, predictedMs - objectiveMs), reason: `every generating server is full; the first event is ${Math.round(predictedMs)} ms away`};
		}

		return {
			kind: 'direct', decodeServer, prefillTokens, predictedMs,
		};
	}

	/**
	 * Selects the first server with free capacity, in an order that is the same on every instance. Streams are packed on few
	 * servers, so that the others can prefill long prompts without stalling a stream.
	 */
	#selectForStream(request: PlacementRequest, decodeServers: readonly KnownServer[]): KnownServer | undefined {
		const {objectiveMs} = request;
		const {scratchServers, homeServers} = createLayout(request);
		const open = [...scratchServers, ...homeServers].filter(server => decodeServers.includes(server));
		const limited = open.filter(server => this.#opts.isLimited?.(server));
		const canTake = (server: KnownServer) => this.#slots.getLoadFraction(server) < maxPackedSlotFraction && this.#estimateQueueMs(server) < objectiveMs * maxStreamQueueFraction;
		const ordered = [...limited, ...open];
		return ordered.find(server => canTake(server) && this.#opts.profile.getUnevenFactor(server) < maxStreamSlowness) ?? ordered.find(server => canTake(server));
	}

	#planLong(request: PlacementRequest, {decodeServers, prefillServers}: {decodeServers: readonly KnownServer[]; prefillServers: readonly KnownServer[]}): Placement {
		const {prompt, objectiveMs, ownCost} = request;
		const {usage, loadTracker, profile, cacheIndex} = this.#opts;
		usage.record(listSharedParts(prompt));
		const {homeServers, scratchServers} = createLayout(request);
		const homeServer = this.#findHome(prompt, homeServers);
		const isHot = this.#isHot(prompt, homeServers);
		const longestMatch = cacheIndex.findLongestMatch(listSharedParts(prompt), [...homeServers, ...prefillServers, ...scratchServers]);
		const freeDecodeServers = decodeServers.filter(server => this.#slots.hasFreeSlot(server));
		const calmDecodeServers = freeDecodeServers.filter(server => loadTracker.getLoad(server.id).streams <= maxStreamsBesidePrefill);
		const preferred = [...prefillServers, ...calmDecodeServers];
		// With no other choice, streams wait for a prompt rather than that its request is refused.
		const plans = (preferred.length > 0 ? preferred : freeDecodeServers).map(server => this.#planPrefill(server, {
			prompt, longestMatch, objectiveMs, ownCost, isPreferred: server.stage === 'prefill' || scratchServers.includes(server) || (isHot && server === homeServer) || this.#opts.isLimited?.(server) === true,
		}));
		const best = this.#selectPlan(plans, request.availabilityZone);
		const isLate = best !== undefined && profile.isKnown(best.server.service) && best.predictedMs > objectiveMs * plannedObjectiveFraction;
		if (!best || (isLate && best.queueMs > objectiveMs * maxLateQueueFraction)) {
			const shortestMs = best?.predictedMs ?? objectiveMs;
			return {kind: 'refuse', retryAfterMs: Math.max(objectiveMs * retryAfterObjectives, shortestMs - objectiveMs), reason: `the first event is ${Math.round(shortestMs)} ms away`};
		}

		const {server, queueMs: _queueMs, prefillMs: _prefillMs, ...accepted} = best;
		return server.stage === 'prefill'
			? {
				kind: 'hand-over', prefillServer: server, decodeServer: this.selectDecodeServer(request, decodeServers)!, ...accepted,
			}
			: {kind: 'direct', decodeServer: server, ...accepted};
	}

	/**
	 * Selects the server that decodes the answer after a hand-over: the home server of a hot prefix that it lacks, otherwise
	 * one with a free slot, scratch servers first because the KV cache of the prompt evicts others there.
	 */
	selectDecodeServer({prompt, objectiveMs, excluded, availabilityZone, closed}: Pick<PlacementRequest, 'prompt' | 'objectiveMs' | 'excluded' | 'availabilityZone' | 'closed'>, servers: readonly KnownServer[]): KnownServer | undefined {
		const decodeServers = servers.filter(server => server.stage !== 'prefill' && !excluded.has(server.id) && this.#hasMemory(server, prompt));
		if (decodeServers.length === 0) {
			return undefined;
		}

		const {homeServers, scratchServers} = createLayout({servers, closed, excluded});
		const homeServer = this.#findHome(prompt, homeServers);
		const shared = listSharedParts(prompt);
		const isMissingAtHome = this.#opts.cacheIndex.countCachedTokens(homeServer, shared) < countTokens(shared);
		if (isMissingAtHome && decodeServers.includes(homeServer) && this.#slots.hasFreeSlot(homeServer) && this.#isHot(prompt, homeServers)) {
			return homeServer;
		}

		const evictionPenaltyMs = objectiveMs * closePredictionFraction;
		const preferred = new Set([...scratchServers, ...decodeServers.filter(server => this.#opts.isLimited?.(server))]);
		return this.#selectLeast(decodeServers, server => this.#slots.estimateWaitMs(server) + this.#estimateSlownessMs(server, prompt) + (evictionPenaltyMs * (this.#slots.getLoadFraction(server) + (preferred.has(server) ? 0 : 1))), {tolerance: evictionPenaltyMs / 2, isPreferred: server => server.availabilityZone === availabilityZone});
	}

	/** Time by which the first event comes later than from a server of mean speed; 0 where the servers have not proved to be uneven. */
	#estimateSlownessMs(server: KnownServer, prompt: Prompt): number {
		const {profile} = this.#opts;
		const factor = profile.getUnevenFactor(server);
		return factor === 1 ? 0 : profile.estimateHandOverMs(server.service, prompt.tokens) * (factor - 1);
	}

	/** Before the first measurement, the plan with the shortest queue is selected. */
	#selectPlan(plans: readonly PrefillPlan[], availabilityZone: string): PrefillPlan | undefined {
		const {profile, loadTracker} = this.#opts;
		if (plans.length === 0) {
			return undefined;
		}

		if (!profile.isKnown(plans[0]!.server.service)) {
			return this.#selectLeast(plans, plan => loadTracker.getLoad(plan.server.id).promptTokens + plan.prefillTokens);
		}

		const blindMs = Math.min(...plans.map(plan => plan.prefillMs)) * blindPrefillFraction;
		return this.#selectLeast(plans, plan => plan.predictedMs, {tolerance: blindMs, isPreferred: ({server}) => server.availabilityZone === availabilityZone});
	}

	#planPrefill(server: KnownServer, {prompt, longestMatch, objectiveMs, isPreferred, ownCost = noOwnCost}: {prompt: Prompt; longestMatch?: {server: KnownServer; tokens: number}; objectiveMs: number; isPreferred: boolean; ownCost?: OwnCost}): PrefillPlan {
		const {profile} = this.#opts;
		const cachedTokens = this.#opts.cacheIndex.countCachedTokens(server, listSharedParts(prompt));
		const isFetched = longestMatch !== undefined && longestMatch.server.id !== server.id && longestMatch.tokens - cachedTokens >= minFetchTokens;
		const prefillTokens = Math.max(1, prompt.tokens - (isFetched ? longestMatch.tokens : cachedTokens));
		// Prefill on a home server evicts hot parts, so another server is preferred when the predictions are close.
		const evictionPenaltyMs = isPreferred ? 0 : objectiveMs * closePredictionFraction;
		const handOverMs = server.stage === 'prefill' ? profile.estimateHandOverMs(server.service, prompt.tokens) : 0;
		const ownMs = server.stage === 'prefill' ? ownCost.handOverMs : ownCost.directMs;
		const queueMs = this.#estimateQueueMs(server);
		const prefillMs = profile.estimateMs(server, prefillTokens);
		return {
			server,
			kvSource: isFetched ? longestMatch.server : undefined,
			prefillTokens,
			queueMs: queueMs + ownCost.waitMs,
			prefillMs,
			predictedMs: queueMs + prefillMs + handOverMs + ownMs + evictionPenaltyMs,
		};
	}

	#isHot(prompt: Prompt, homeServers: readonly KnownServer[]): boolean {
		const last = listSharedParts(prompt).at(-1);
		const budget = homeServers.reduce((sum, server) => sum + this.#opts.getKvCapacity(server.service), 0) * hotPartsFraction;
		return last !== undefined && this.#opts.usage.isHot(last, budget);
	}

	/** Returns the home server of the shared prefix; every instance computes the same one without communication. */
	#findHome(prompt: Prompt, homeServers: readonly KnownServer[]): KnownServer {
		const shared = listSharedParts(prompt).map(part => part.id).join('/');
		const ranks = this.#homeRanking.computeRanks(shared, homeServers.map(server => server.id));
		return homeServers.find(server => ranks.get(server.id) === 0) ?? homeServers[0]!;
	}

	/**
	 * Selects at random among the candidates within 2 % or the tolerance of the lowest value, preferred ones first, so that
	 * instances don't all select the same one.
	 */
	#selectLeast<T>(candidates: readonly T[], valueOf: (candidate: T) => number, {tolerance = 0, isPreferred}: {tolerance?: number; isPreferred?: (candidate: T) => boolean} = {}): T {
		const valued = candidates.map(candidate => ({candidate, value: valueOf(candidate)}));
		const least = Math.min(...valued.map(({value}) => value));
		const nearEqual = valued.filter(({value}) => value <= least + Math.max(tolerance, Math.abs(least) * 0.02)).map(({candidate}) => candidate);
		const preferred = isPreferred ? nearEqual.filter(candidate => isPreferred(candidate)) : [];
		return this.#opts.random.select(preferred.length > 0 ? preferred : nearEqual);
	}
}

/** Splits the decode servers into home and scratch servers; the result is the same on every instance. */
function createLayout({servers, closed = [], excluded}: Pick<PlacementRequest, 'servers' | 'closed' | 'excluded'>): DecodeLayout {
	const decodeServers = [...servers, ...closed].filter(server => server.stage !== 'prefill' && !excluded.has(server.id));
	const sorted = decodeServers.sort((a, b) => (a.id < b.id ? -1 : 1));
	const count = Math.max(1, Math.round(sorted.length / decodeServersPerScratchServer));
	return {scratchServers: sorted.slice(0, count), homeServers: sorted.length > count ? sorted.slice(count) : sorted};
}

function countTokens(parts: ReadonlyArray<{tokens: number}>): number {
	return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/** Tokens that a request holds at a server: a prefill server keeps the prompt until its KV cache is fetched. */
export function countMemoryTokens({tokens, maxOutputTokens}: Prompt, {stage}: Pick<KnownServer, 'stage'>): number {
	return stage === 'prefill' ? tokens : tokens + maxOutputTokens;
}
