/**
 * A model of what each server's prompt cache holds. Every instance tells the others which prompts it had read where, and
 * each replays these as the servers do: least recently used parts yield first. The model may be wrong; a part that is not
 * there after all is read again.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {StoredPrompt} from '@hickorytrack/types/peer-methods';
import type {PromptPart} from './prompt.js';

export type PrefixCacheIndexOptions = {
	/** Tokens that fit into the memory of a server of the service. */
	getKvCapacity: (service: string) => number;
};

/** Share of a server's memory that is taken as cache; running requests use the rest. */
const cacheShare = 0.85;
/** Prompts that are kept for the next message to the other instances. */
const maxUnsent = 400;

export class PrefixCacheIndex {
	readonly #opts: PrefixCacheIndexOptions;
	readonly #mirrors = new Map<string, CacheMirror>();
	#unsent: StoredPrompt[] = [];

	constructor(opts: PrefixCacheIndexOptions) {
		this.#opts = opts;
	}

	/** Notes that a server has read or taken over a prompt. */
	recordPrompt(server: KnownServer, parts: readonly PromptPart[]): void {
		this.#findMirror(server).store(parts);
		if (this.#unsent.length < maxUnsent) {
			this.#unsent.push({server: server.id, parts: [...parts]});
		}
	}

	/** Takes what another instance has noted. */
	mergeRemotePrompts(stored: readonly StoredPrompt[], findServer: (id: string) => KnownServer | undefined): void {
		for (const {server: id, parts} of stored) {
			const server = findServer(id);
			if (server) {
				this.#findMirror(server).store(parts);
			}
		}
	}

	/** Returns what was noted here since the last call, for the other instances. */
	drainUnsent(): StoredPrompt[] {
		const unsent = this.#unsent;
		this.#unsent = [];
		return unsent;
	}

	/** Tokens of the prompt's beginning that the server holds. */
	countCachedTokens(server: KnownServer, parts: readonly PromptPart[]): number {
		return this.#findMirror(server).countHeld(parts);
	}

	/** Returns the server that holds most of the prompt's beginning. */
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

	#findMirror(server: KnownServer): CacheMirror {
		let mirror = this.#mirrors.get(server.id);
		if (mirror?.startedAt !== server.startedAt) {
			mirror = new CacheMirror(server.startedAt, this.#opts.getKvCapacity(server.service) * cacheShare);
			this.#mirrors.set(server.id, mirror);
		}

		return mirror;
	}
}

class CacheMirror {
	readonly startedAt: number;
	readonly #capacity: number;
	/** Tokens by part, least recently used first. */
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	constructor(startedAt: number, capacity: number) {
		this.startedAt = startedAt;
		this.#capacity = capacity;
	}

	store(parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			this.#tokens += tokens - (this.#parts.get(id) ?? 0);
			this.#parts.delete(id);
			this.#parts.set(id, tokens);
		}

		for (const [id, tokens] of this.#parts) {
			if (this.#tokens <= this.#capacity) {
				return;
			}

			this.#parts.delete(id);
			this.#tokens -= tokens;
		}
	}

	countHeld(parts: readonly PromptPart[]): number {
		let held = 0;
		for (const {id, tokens} of parts) {
			if (!this.#parts.has(id)) {
				return held;
			}

			held += tokens;
		}

		return held;
	}
}
