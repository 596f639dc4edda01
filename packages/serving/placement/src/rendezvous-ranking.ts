/**
 * Ranks endpoints for a prompt prefix by rendezvous hashing. Any two endpoints have the same order at every entry, so
 * that entries without shared state fill the prefix caches of the same few endpoints instead of all of them.
 */
import {createHash} from 'node:crypto';

const maximumCachedRankings = 2000;

export class RendezvousRanking {
	readonly #ranks = new Map<string, ReadonlyMap<string, number>>();

	/** Returns the rank of each endpoint for a prefix; the preferred endpoint has rank 0. */
	computeRanks(prefixKey: string, endpoints: readonly string[]): ReadonlyMap<string, number> {
		const key = `${prefixKey} ${endpoints.length}`;
		const cached = this.#ranks.get(key);
		if (cached && endpoints.every(endpoint => cached.has(endpoint))) {
			return cached;
		}

		const ranked = endpoints
			.map(endpoint => ({endpoint, hash: createHash('sha1').update(`${prefixKey} ${endpoint}`).digest('hex')}))
			.sort((a, b) => (a.hash < b.hash ? 1 : -1));
		const ranks = new Map(ranked.map((entry, rank) => [entry.endpoint, rank]));
		this.#ranks.set(key, ranks);
		if (this.#ranks.size > maximumCachedRankings) {
			this.#ranks.delete(this.#ranks.keys().next().value!);
		}

		return ranks;
	}
}
