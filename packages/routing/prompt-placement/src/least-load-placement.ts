/** The choice among the servers of a plain service: least work in flight for its slots, weighted by recent failures. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Random} from '@hickorytrack/random';
import type {LoadTracker} from './load-tracker.js';

export type LeastLoadPlacementOptions = {
	loadTracker: LoadTracker;
	random: Random;
	/** Share of the server's recent requests that failed, from 0 to 1. */
	getFailureRate: (server: KnownServer) => number;
};

/** A server that fails all its requests counts as loaded as one with this many times the work. */
const failureWeight = 6;
const otherZoneWeight = 0.15; // Bytes between zones are priced; a near server is taken among equals.

export class LeastLoadPlacement {
	readonly #opts: LeastLoadPlacementOptions;

	constructor(opts: LeastLoadPlacementOptions) {
		this.#opts = opts;
	}

	select(servers: readonly KnownServer[], opts: {excluded: ReadonlySet<string>; availabilityZone: string}): KnownServer | undefined {
		let best: KnownServer | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (const server of servers) {
			const score = this.#score(server, opts.availabilityZone);
			if (!opts.excluded.has(server.id) && score < bestScore) {
				best = server;
				bestScore = score;
			}
		}

		return best;
	}

	#score(server: KnownServer, availabilityZone: string): number {
		const {loadTracker: board, random, getFailureRate: readFailureShare} = this.#opts;
		const load = (board.getLoad(server.id).requests + 1) / Math.max(1, server.slots);
		const distance = server.availabilityZone === availabilityZone ? 0 : otherZoneWeight;
		return ((load + distance) * (1 + (failureWeight * readFailureShare(server)))) + (random.next() * 0.01);
	}
}
