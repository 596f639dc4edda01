/**
 * Where the prompt of a request is read and its answer generated. Pattern: prompts are long, share their first parts, and
 * reading them is the bottleneck, while moving what was read costs next to nothing. So the memory of all servers is used
 * as one cache. A reading server fetches what another one holds, reads the rest and hands everything over; when the
 * readers' queue grows, a generating server with time to spare reads the prompt itself; when no server would answer in
 * time, the request is refused at once. Some generating servers are the homes of the shared parts that last; the others
 * take over the prompts that would displace them.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {HomeOrder} from '@hickorytrack/placement/home-order';
import type {Random} from '@hickorytrack/random';
import type {PrefixCacheIndex} from './prefix-cache-index.js';
import type {LoadTracker} from './load-tracker.js';
import type {PartUsage} from './part-usage.js';
import {listSharedParts, type Prompt} from './prompt.js';
import {PrefillRate} from './prefill-rate.js';

export const placementKinds = {handOver: 'hand-over', direct: 'direct', refuse: 'refuse'} as const;

export type Placement =
	/** One server reads the prompt, another one takes it over and generates the answer. */
	| {kind: 'hand-over'; prefillServer: KnownServer; decodeServer: KnownServer; kvSource?: KnownServer; prefillTokens: number; predictedMs: number}
	/** A generating server reads the prompt itself. */
	| {kind: 'direct'; decodeServer: KnownServer; kvSource?: KnownServer; prefillTokens: number; predictedMs: number}
	/** No server would answer in time. */
	| {kind: 'refuse'; retryAfterMs: number; reason: string};

export type PlacementOptions = {
	random: Random;
	loadTracker: LoadTracker;
	cacheIndex: PrefixCacheIndex;
	usage: PartUsage;
	/** Tokens that fit into the memory of a server of the service. */
	getKvCapacity: (service: string) => number;
};

export type PlacementRequest = {
	prompt: Prompt;
	servers: readonly KnownServer[];
	/** Time to the first event within which the answer earns its full value, in milliseconds. */
	objectiveMs: number;
	/** Servers that failed this request before. */
	excluded: ReadonlySet<string>;
};

/** Shorter prompts are read by the generating server; a hand-over would cost more than it spares. */
const shortPromptTokens = 700;
/** Share of the objective in which the first event is predicted to arrive; the rest is for what the prediction misses. */
const usedObjectiveShare = 0.85;
/** A prompt that will come late is served all the same while the queue before it is below this share of the objective. */
const lateQueueShare = 0.25;
/** A refused caller is asked to come back after so many objectives; sooner it would meet the same queue. */
const returnObjectives = 2.5;
/** What is known of a queue is so old on average; a server reads on in the meantime. */
const knownAgeMs = 25;
/** Time of a hand-over and of the first step beside reading, in milliseconds. */
const overheadMs = 12;
/** A generating server reads prompts at this share of a reading server's speed. */
const generatorReadShare = 0.5;
/** Of so many generating servers one takes over the prompts that pass through. */
const generatorsPerTransit = 4;
/** Share of the homes' memory given to lasting parts; the rest is for running requests and what passes through. */
const lastingShare = 0.7;
/** Streams fill a server up to this share of its slots before the next one gets any. */
const packedShare = 0.8;
/** A server with a longer queue of prompts to read is no place for a stream. */
const calmQueueMs = 40;
/** Long answers beside which a server reads no long prompts. */
const streamsBesideReading = 2;
/** Tokens of a fetch that are worth its cost. */
const worthFetchingTokens = 64;

type ReadPlan = {
	server: KnownServer;
	kvSource?: KnownServer;
	prefillTokens: number;
	/** Time until the server begins to read this prompt. */
	queueMs: number;
	predictedMs: number;
};

export class PromptPlacement {
	readonly prefillRate = new PrefillRate();
	readonly #opts: PlacementOptions;
	readonly #homeOrder = new HomeOrder();

	constructor(opts: PlacementOptions) {
		this.#opts = opts;
	}

	plan(request: PlacementRequest): Placement {
		const usable = request.servers.filter(server => !request.excluded.has(server.id));
		const generators = usable.filter(server => server.stage !== 'prefill');
		if (generators.length === 0) {
			return {kind: 'refuse', retryAfterMs: request.objectiveMs, reason: 'no generating server is known'};
		}

		if (request.prompt.tokens < shortPromptTokens) {
			return this.#placeShort(request, generators);
		}

		return this.#placeLong(request, {generators, readers: usable.filter(server => server.stage === 'prefill')});
	}

	/** Time until the server has read what it was sent, in milliseconds. */
	estimateQueueMs(server: KnownServer): number {
		const queueMs = this.#opts.loadTracker.getLoad(server.id).promptTokens / this.#readSpeed(server);
		return Math.max(0, queueMs - knownAgeMs);
	}

	#placeShort(request: PlacementRequest, generators: readonly KnownServer[]): Placement {
		const {loadTracker: board} = this.#opts;
		const generator = this.#pickForStream(generators);
		const readTokens = request.prompt.tokens;
		const predictedMs = this.estimateQueueMs(generator) + (readTokens / this.#readSpeed(generator));
		if (board.getLoad(generator.id).requests >= generator.slots || predictedMs > request.objectiveMs) {
			return {kind: 'refuse', retryAfterMs: predictedMs, reason: `every generating server is full; the first event is ${Math.round(predictedMs)} ms away`};
		}

		return {
			kind: 'direct', decodeServer: generator, prefillTokens: readTokens, predictedMs,
		};
	}

	/**
	 * Picks the first server with room, in an order that all instances share: streams are packed on few servers, so that
	 * the others can read long prompts without making any stream pause.
	 */
	#pickForStream(generators: readonly KnownServer[]): KnownServer {
		const {loadTracker: board} = this.#opts;
		const {transits, homes} = divideGenerators(generators);
		const packed = [...transits, ...homes].find(server => board.getLoad(server.id).requests < server.slots * packedShare && this.estimateQueueMs(server) < calmQueueMs);
		return packed ?? this.#pickLeast(generators, server => board.getLoad(server.id).requests);
	}

	#placeLong(request: PlacementRequest, {generators, readers}: {generators: readonly KnownServer[]; readers: readonly KnownServer[]}): Placement {
		const {prompt, objectiveMs} = request;
		const {usage, loadTracker: board} = this.#opts;
		usage.record(listSharedParts(prompt));
		const {homes, transits} = divideGenerators(generators);
		const home = this.#findHome(prompt, homes);
		const isLasting = this.#isLasting(prompt, homes);
		const holder = this.#opts.cacheIndex.findLongestMatch(listSharedParts(prompt), [...homes, ...readers, ...transits]);
		const free = generators.filter(server => board.getLoad(server.id).requests < server.slots && board.getLoad(server.id).streams <= streamsBesideReading);
		const plans = [...readers, ...free].map(server => this.#planRead(server, {prompt, holder, isPreferred: server.stage === 'prefill' || transits.includes(server) || (isLasting && server === home)}));
		const best = plans.length > 0 ? this.#pickLeast(plans, plan => plan.predictedMs) : undefined;
		const limitMs = objectiveMs * usedObjectiveShare;
		if (!best || (best.predictedMs > limitMs && best.queueMs > objectiveMs * lateQueueShare)) {
			const shortestMs = best?.predictedMs ?? objectiveMs;
			return {kind: 'refuse', retryAfterMs: Math.max(objectiveMs * returnObjectives, shortestMs - limitMs), reason: `the first event is ${Math.round(shortestMs)} ms away`};
		}

		const {server, queueMs: _, ...rest} = best;
		if (server.stage !== 'prefill') {
			return {kind: 'direct', decodeServer: server, ...rest};
		}

		const isMissingAtHome = this.#opts.cacheIndex.countCachedTokens(home, listSharedParts(prompt)) < countTokens(listSharedParts(prompt));
		const generator = isLasting && isMissingAtHome ? home : this.#pickLeast(transits, transit => board.getLoad(transit.id).requests);
		return {
			kind: 'hand-over', prefillServer: server, decodeServer: generator, ...rest,
		};
	}

	#planRead(server: KnownServer, {prompt, holder, isPreferred}: {prompt: Prompt; holder?: {server: KnownServer; tokens: number}; isPreferred: boolean}): ReadPlan {
		const own = this.#opts.cacheIndex.countCachedTokens(server, listSharedParts(prompt));
		const isFetchWorth = holder !== undefined && holder.server.id !== server.id && holder.tokens - own >= worthFetchingTokens;
		const readTokens = Math.max(1, prompt.tokens - (isFetchWorth ? holder.tokens : own));
		// Reading at a home displaces what lasts there, so another server is preferred among near-equals.
		const displacementMs = isPreferred ? 0 : overheadMs;
		const queueMs = this.estimateQueueMs(server);
		return {
			server,
			kvSource: isFetchWorth ? holder.server : undefined,
			prefillTokens: readTokens,
			queueMs,
			predictedMs: queueMs + (readTokens / this.#readSpeed(server)) + overheadMs + displacementMs,
		};
	}

	#isLasting(prompt: Prompt, homes: readonly KnownServer[]): boolean {
		const last = listSharedParts(prompt).at(-1);
		const budget = homes.reduce((sum, server) => sum + this.#opts.getKvCapacity(server.service), 0) * lastingShare;
		return last !== undefined && this.#opts.usage.isHot(last, budget);
	}

	/** Returns the server that keeps the shared beginning of a prompt; all instances agree without speaking. */
	#findHome(prompt: Prompt, homes: readonly KnownServer[]): KnownServer {
		const shared = listSharedParts(prompt).map(part => part.id).join('/');
		const ranks = this.#homeOrder.findRanks(shared, homes.map(server => server.id));
		return homes.find(server => ranks.get(server.id) === 0) ?? homes[0]!;
	}

	#readSpeed(server: KnownServer): number {
		return this.prefillRate.tokensPerMs * (server.stage === 'prefill' ? 1 : generatorReadShare);
	}

	/** Picks the least valued; near-equals are drawn by lot, so that instances don't move in step. */
	#pickLeast<T>(candidates: readonly T[], valueOf: (candidate: T) => number): T {
		const valued = candidates.map(candidate => ({candidate, value: valueOf(candidate)}));
		const least = Math.min(...valued.map(({value}) => value));
		const close = valued.filter(({value}) => value <= least + (Math.abs(least) * 0.02));
		return this.#opts.random.pick(close).candidate;
	}
}

/** Divides the generating servers, the same way at every instance. */
function divideGenerators(generators: readonly KnownServer[]): {homes: readonly KnownServer[]; transits: readonly KnownServer[]} {
	const sorted = [...generators].sort((a, b) => (a.id < b.id ? -1 : 1));
	const count = Math.max(1, Math.round(sorted.length / generatorsPerTransit));
	return {transits: sorted.slice(0, count), homes: sorted.length > count ? sorted.slice(count) : sorted};
}

function countTokens(parts: ReadonlyArray<{tokens: number}>): number {
	return parts.reduce((sum, part) => sum + part.tokens, 0);
}
