/**
 * Index of the prompt parts that each server is estimated to hold in its KV cache. Every instance tells the others which
 * prompts were prefilled on which server, and each replays them with the LRU eviction that the servers use. The estimate
 * may be wrong; a part that turns out to be missing is prefilled again.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {PrefillTiming, StoredPrompt} from '@hickorytrack/types/peer-methods';
import type {PromptPart} from './prompt.js';

export type PrefixCacheIndexOptions = {
	/** Returns the KV cache capacity of a server of the service, in tokens. */
	getKvCapacity: (service: string) => number;
};

/** Fraction of a server's KV cache that is assumed to hold prefixes; running requests use the rest. */
const prefixCacheFraction = 0.85;
/** Prompts buffered for the next message to the other instances; further ones are not sent. */
const maxUnsentPrompts = 400;

export class PrefixCacheIndex {
	readonly #opts: PrefixCacheIndexOptions;
	readonly #cacheModels = new Map<string, LruCacheModel>();
	#unsent: StoredPrompt[] = [];

	constructor(opts: PrefixCacheIndexOptions) {
		this.#opts = opts;
	}

	/** Records that a server has prefilled a prompt or received its KV cache. The timing is for the other instances. */
	recordPrompt(server: KnownServer, parts: readonly PromptPart[], timing?: PrefillTiming): void {
		this.#getCacheModel(server).add(parts);
		if (this.#unsent.length < maxUnsentPrompts) {
			this.#unsent.push({server: server.id, parts: [...parts], ...(timing && {timing})});
		}
	}

	/** Adds the prompts that another instance has recorded; those of unknown servers are ignored. */
	mergeRemotePrompts(stored: readonly StoredPrompt[], findServer: (id: string) => KnownServer | undefined): void {
		for (const {server: id, parts} of stored) {
			const server = findServer(id);
			if (server) {
				this.#getCacheModel(server).add(parts);
			}
		}
	}

	/** Returns the prompts recorded here since the last call, to be sent to the other instances. */
	drainUnsent(): StoredPrompt[] {
		const unsent = this.#unsent;
		this.#unsent = [];
		return unsent;
	}

	/** Discards the estimate for a server that is no longer known. */
	remove(id: string): void {
		this.#cacheModels.delete(id);
	}

	/** Returns the number of leading prompt tokens that the server has cached. */
	countCachedTokens(server: KnownServer, parts: readonly PromptPart[]): number {
		return this.#getCacheModel(server).countCachedTokens(parts);
	}

	/** Returns the server with the longest cached prefix of the prompt; undefined when no server has any of it. */
	findLongestMatch(parts: readonly PromptPart[], servers: readonly KnownServer[]): {server: KnownServer; tokens: number} | undefined {
		let best: {server: KnownServer; tokens: number} | undefined;
		for (const server of servers) {
			const tokens = this.countCachedTokens(server, parts);
			if (tokens > (best?.tokens ?? 0)) {
				best = {server, tokens};
			}
		}

		return best;
	}

	#getCacheModel(server: KnownServer): LruCacheModel {
		let cacheModel = this.#cacheModels.get(server.id);
		if (cacheModel?.startedAt !== server.startedAt) {
			cacheModel = new LruCacheModel(server.startedAt, this.#opts.getKvCapacity(server.service) * prefixCacheFraction);
			this.#cacheModels.set(server.id, cacheModel);
		}

		return cacheModel;
	}
}

/** Engines cache whole blocks of tokens, so a part takes at least one, whatever size its caller states. */
const blockTokens = 16;

class LruCacheModel {
	readonly startedAt: number;
	readonly #capacity: number;
	/** Tokens by part id, least recently used first. */
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	constructor(startedAt: number, capacity: number) {
		this.startedAt = startedAt;
		this.#capacity = capacity;
	}

	add(parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			this.#tokens += tokens - (this.#parts.get(id) ?? 0);
			this.#parts.delete(id);
			this.#parts.set(id, tokens);
		}

		for (const [id, tokens] of this.#parts) {
			if (this.#tokens <= this.#capacity && this.#parts.size * blockTokens <= this.#capacity) {
				return;
			}

			this.#parts.delete(id);
			this.#tokens -= tokens;
		}
	}

	countCachedTokens(parts: readonly PromptPart[]): number {
		let cachedTokens = 0;
		for (const {id, tokens} of parts) {
			if (!this.#parts.has(id)) {
				return cachedTokens;
			}

			cachedTokens += tokens;
		}

		return cachedTokens;
	}
}
