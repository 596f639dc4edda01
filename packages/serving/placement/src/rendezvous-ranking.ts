/**
 * The order in which endpoints are home to a prompt prefix, by rendezvous hashing: the same at every entry, so that
 * entries that know nothing of one another warm the same few caches instead of all of them.
 */
import {createHash} from 'node:crypto';

const maximumRemembered = 2000;

export class RendezvousRanking {
	readonly #ranks = new Map<string, ReadonlyMap<string, number>>();

	/** Returns the rank of each endpoint for a block, from 0. */
	computeRanks(block: string, endpoints: readonly string[]): ReadonlyMap<string, number> {
		const key = `${block} ${endpoints.length}`;
		const held = this.#ranks.get(key);
		if (held && endpoints.every(endpoint => held.has(endpoint))) {
			return held;
		}

		const ranked = endpoints
			.map(endpoint => ({endpoint, weight: createHash('sha1').update(`${block} ${endpoint}`).digest('hex')}))
			.sort((a, b) => (a.weight < b.weight ? 1 : -1));
		const ranks = new Map(ranked.map((one, rank) => [one.endpoint, rank]));
		this.#ranks.set(key, ranks);
		if (this.#ranks.size > maximumRemembered) {
			this.#ranks.delete(this.#ranks.keys().next().value!);
		}

		return ranks;
	}
}
