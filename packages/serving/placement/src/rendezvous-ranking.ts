/**
 * Ranks endpoints for a prompt prefix by rendezvous hashing. The ranking is the same at every entry, so that entries
 * without shared state fill the prefix caches of the same few endpoints instead of all of them.
 */
import {createHash} from 'node:crypto';

const maximumCachedRankings = 2000;

export class RendezvousRanking {
	readonly #ranks = new Map<string, ReadonlyMap<string, number>>();

	/** Returns the rank of each endpoint for a block, starting at 0. */
	computeRanks(block: string, endpoints: readonly string[]): ReadonlyMap<string, number> {
		const key = `${block} ${endpoints.length}`;
		const cached = this.#ranks.get(key);
		if (cached && endpoints.every(endpoint => cached.has(endpoint))) {
			return cached;
		}

		const ranked = endpoints
			.map(endpoint => ({endpoint, weight: createHash('sha1').update(`${block} ${endpoint}`).digest('hex')}))
			.sort((a, b) => (a.weight < b.weight ? 1 : -1));
		const ranks = new Map(ranked.map((entry, rank) => [entry.endpoint, rank]));
		this.#ranks.set(key, ranks);
		if (this.#ranks.size > maximumCachedRankings) {
			this.#ranks.delete(this.#ranks.keys().next().value!);
		}

		return ranks;
	}
}
