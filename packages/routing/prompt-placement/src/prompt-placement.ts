/**
 * Where the prompt of a request is read and its answer generated. Pattern: prompts are long, share their first parts, and
 * reading them is the bottleneck, while moving what was read costs next to nothing. So the memory of all servers is used
 * as one cache: each shared beginning has a home among the generating servers; a reading server fetches from there what
 * the home keeps, reads the rest and hands everything over. When the readers' queue grows, a generating server with time
 * to spare reads the prompt itself; when both would answer too late, the request is refused at once.
 */
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {HomeOrder} from '@hickorytrack/placement/home-order';
import type {Random} from '@hickorytrack/random';
import type {LoadBoard} from './load-board.js';
import {ReadRate} from './read-rate.js';

export type PromptPart = {
	id: string;
	tokens: number;
};

export type Prompt = {
	/** In order; the last one belongs to the request or its session alone. */
	parts: readonly PromptPart[];
	tokens: number;
	maxOutputTokens: number;
};

export const placementKinds = {handOver: 'hand-over', direct: 'direct', refuse: 'refuse'} as const;

export type Placement =
	/** One server reads the prompt, another one takes it over and generates the answer. */
	| {kind: 'hand-over'; reader: KnownServer; generator: KnownServer; fetchFrom?: KnownServer; readTokens: number}
	/** A generating server reads the prompt itself. */
	| {kind: 'direct'; generator: KnownServer; fetchFrom?: KnownServer; readTokens: number}
	/** No server would answer in time. */
	| {kind: 'refuse'; retryAfterMs: number; reason: string};

export type PlacementOptions = {
	clock: Clock;
	random: Random;
	board: LoadBoard;
};

export type PlacementRequest = {
	prompt: Prompt;
	servers: readonly KnownServer[];
	/** Time to the first event within which the answer earns its full value, in milliseconds. */
	objectiveMs: number;
	/** Servers that failed this request before. */
	excluded: ReadonlySet<string>;
	availabilityZone: string;
};

/** Shorter prompts are read by the generating server; a hand-over would cost more than it spares. */
const shortPromptTokens = 700;
/** Share of the objective that the queue of a server may take up; the rest is for reading, hand-over and the network. */
const queueShare = 0.75;
/** Chance that a home still keeps a shared part behind the first one; the first parts are few and always in use. */
const sharedPartKept = 0.5;
/** A generating server reads prompts at this share of a reading server's speed. */
const generatorReadShare = 0.5;
/** Parts from the beginning of a prompt that decide its home. */
const homeParts = 2;
const maxRequestsPerSlot = 1;

export class PromptPlacement {
	readonly #opts: PlacementOptions;
	readonly readRate = new ReadRate();
	readonly #homes = new HomeOrder();

	constructor(opts: PlacementOptions) {
		this.#opts = opts;
	}

	place(request: PlacementRequest): Placement {
		const usable = request.servers.filter(server => !request.excluded.has(server.id));
		const generators = usable.filter(server => server.stage !== 'prefill');
		const readers = usable.filter(server => server.stage === 'prefill');
		if (generators.length === 0) {
			return {kind: 'refuse', retryAfterMs: request.objectiveMs, reason: 'no generating server is known'};
		}

		if (request.prompt.tokens < shortPromptTokens) {
			return this.#placeShort(request, generators);
		}

		return this.#placeLong(request, {generators, readers});
	}

	/** Time until the server has read what it was sent, in milliseconds. */
	predictQueueMs(server: KnownServer): number {
		const {promptTokens} = this.#opts.board.read(server.id);
		return promptTokens / this.#readSpeed(server);
	}

	#placeShort(request: PlacementRequest, generators: readonly KnownServer[]): Placement {
		const generator = this.#pickLeast(generators, server => (this.#opts.board.read(server.id).requests / server.slots) + (this.predictQueueMs(server) / request.objectiveMs));
		const {requests} = this.#opts.board.read(generator.id);
		const queueMs = this.predictQueueMs(generator);
		if (requests > generator.slots * maxRequestsPerSlot || queueMs > request.objectiveMs) {
			return {kind: 'refuse', retryAfterMs: queueMs, reason: `every generating server is full: ${requests} requests, ${Math.round(queueMs)} ms to read`};
		}

		return {kind: 'direct', generator, readTokens: request.prompt.tokens};
	}

	#placeLong(request: PlacementRequest, {generators, readers}: {generators: readonly KnownServer[]; readers: readonly KnownServer[]}): Placement {
		const {prompt, objectiveMs} = request;
		const home = this.#findHome(prompt, generators);
		const readTokens = estimateReadTokens(prompt);
		const limitMs = objectiveMs * queueShare;
		const reader = readers.length > 0 ? this.#pickLeast(readers, server => this.predictQueueMs(server)) : undefined;
		const readerQueueMs = reader ? this.predictQueueMs(reader) : Number.POSITIVE_INFINITY;
		if (reader && readerQueueMs <= limitMs) {
			return {
				kind: 'hand-over', reader, generator: home, fetchFrom: home, readTokens,
			};
		}

		const spare = this.#pickLeast(generators, server => this.predictQueueMs(server) + (server === home ? 0 : 1));
		const spareQueueMs = this.predictQueueMs(spare);
		if (spareQueueMs <= limitMs && this.#opts.board.read(spare.id).requests < spare.slots * maxRequestsPerSlot) {
			return {
				kind: 'direct', generator: spare, fetchFrom: spare === home ? undefined : home, readTokens,
			};
		}

		const shortestMs = Math.min(readerQueueMs, spareQueueMs);
		return {kind: 'refuse', retryAfterMs: Math.max(0, shortestMs - limitMs), reason: `the shortest queue takes ${Math.round(shortestMs)} ms`};
	}

	/** Returns the server that keeps the shared beginning of a prompt; all instances agree without speaking. */
	#findHome(prompt: Prompt, servers: readonly KnownServer[]): KnownServer {
		const shared = prompt.parts.slice(0, Math.max(1, prompt.parts.length - 1)).slice(0, homeParts).map(part => part.id).join('/');
		const ranks = this.#homes.findRanks(shared, servers.map(server => server.id));
		return servers.find(server => ranks.get(server.id) === 0) ?? servers[0]!;
	}

	#readSpeed(server: KnownServer): number {
		return this.readRate.tokensPerMs * (server.stage === 'prefill' ? 1 : generatorReadShare);
	}

	/** Picks the server with the least value; near-equals are drawn by lot, so that instances don't move in step. */
	#pickLeast(servers: readonly KnownServer[], valueOf: (server: KnownServer) => number): KnownServer {
		const valued = servers.map(server => ({server, value: valueOf(server)}));
		const least = Math.min(...valued.map(({value}) => value));
		const close = valued.filter(({value}) => value <= least + (Math.abs(least) * 0.02));
		return this.#opts.random.pick(close).server;
	}
}

/** Tokens of a prompt that a reader will have to read after it has fetched what the home keeps. */
export function estimateReadTokens(prompt: Prompt): number {
	let tokens = 0;
	for (const [position, part] of prompt.parts.entries()) {
		const isLast = position === prompt.parts.length - 1;
		const shareToRead = isLast ? 1 : (position === 0 ? 0 : 1 - sharedPartKept);
		tokens += part.tokens * shareToRead;
	}

	return Math.max(1, tokens);
}
