/**
 * Selects a server for services without prompt placement: the one with the least work in flight per slot, with penalties
 * for recent failures and for another zone.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Random} from '@hickorytrack/random';
import type {LoadTracker} from './load-tracker.js';

export type LeastLoadPlacementOptions = {
	loadTracker: LoadTracker;
	random: Random;
	/** Returns the fraction of the server's recent requests that failed, from 0 to 1. */
	getFailureRate: (server: KnownServer) => number;
};

/** A failure rate of 1 adds the load of the server this many times to its score. */
const failurePenalty = 6;
const otherZonePenalty = 0.15; // Traffic between zones is billed; at equal load a server in the same zone is preferred.

export class LeastLoadPlacement {
	readonly #opts: LeastLoadPlacementOptions;

	constructor(opts: LeastLoadPlacementOptions) {
		this.#opts = opts;
	}

	select(servers: readonly KnownServer[], opts: {excluded: ReadonlySet<string>; availabilityZone: string}): KnownServer | undefined {
		let best: KnownServer | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (const server of servers) {
			const score = this.#computeScore(server, opts.availabilityZone);
			if (!opts.excluded.has(server.id) && score < bestScore) {
				best = server;
				bestScore = score;
			}
		}

		return best;
	}

	#computeScore(server: KnownServer, availabilityZone: string): number {
		const {loadTracker, random, getFailureRate} = this.#opts;
		const load = (loadTracker.getLoad(server.id).requests + 1) / Math.max(1, server.slots);
		const zonePenalty = server.availabilityZone === availabilityZone ? 0 : otherZonePenalty;
		return ((load + zonePenalty) * (1 + (failurePenalty * getFailureRate(server)))) + (random.next() * 0.01);
	}
}
