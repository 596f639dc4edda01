/**
 * Selects a server for services without prompt placement: the one with the least work in flight per slot, with penalties
 * for recent failures and for another zone. Where the servers of the service have proved to be uneven, it is the one that is
 * expected to complete the request first. What a server reports as its slots counts only as far as the others make it
 * likely: it can't count for more than all others together, where each of these counts for the median one at most.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {ExpectedWork} from '@hickorytrack/expected-work';
import type {Random} from '@hickorytrack/random';
import type {LoadTracker} from './load-tracker.js';

export type LeastLoadPlacementOptions = {
	loadTracker: LoadTracker;
	random: Random;
	/** Returns the fraction of the server's recent requests that failed, from 0 to 1. */
	getFailureRate: (server: KnownServer) => number;
	/** Without it, all servers count as even. */
	expectedWork?: Pick<ExpectedWork, 'isUneven' | 'getMeanMs' | 'estimateCompletionMs'>;
};

export type LeastLoadRequest = {
	excluded: ReadonlySet<string>;
	availabilityZone: string;
	/** Expected work of the request, in milliseconds at a server of mean speed; by default that of the mean request. */
	workMs?: number;
};

/** A failure rate of 1 adds the load of the server this many times to its score. */
const failurePenalty = 6;
const otherZonePenalty = 0.15; // Traffic between zones is billed; at equal load a server in the same zone is preferred.

export class LeastLoadPlacement {
	readonly #opts: LeastLoadPlacementOptions;

	constructor(opts: LeastLoadPlacementOptions) {
		this.#opts = opts;
	}

	select(servers: readonly KnownServer[], opts: LeastLoadRequest): KnownServer | undefined {
		const getSlots = createSlotBound(servers);
		const service = servers[0]?.service ?? '';
		const meanMs = this.#opts.expectedWork?.isUneven(service) ? this.#opts.expectedWork.getMeanMs(service) : 0;
		const work = {...opts, meanMs};
		let best: KnownServer | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (const server of servers) {
			const score = meanMs > 0 ? this.#computeCompletionScore(server, getSlots(server), work) : this.#computeScore(server, getSlots(server), opts.availabilityZone);
			if (!opts.excluded.has(server.id) && score < bestScore) {
				best = server;
				bestScore = score;
			}
		}

		return best;
	}

	#computeScore(server: KnownServer, slots: number, availabilityZone: string): number {
		const {loadTracker, random, getFailureRate} = this.#opts;
		const load = (loadTracker.getLoad(server.id).requests + 1) / Math.max(1, slots);
		const zonePenalty = server.availabilityZone === availabilityZone ? 0 : otherZonePenalty;
		return ((load + zonePenalty) * (1 + (failurePenalty * getFailureRate(server)))) + (random.next() * 0.01);
	}

	/** The same score as `#computeScore`, as a multiple of the mean work of the service. */
	#computeCompletionScore(server: KnownServer, slots: number, {meanMs, workMs = meanMs, availabilityZone}: LeastLoadRequest & {meanMs: number}): number {
		const {loadTracker, random, getFailureRate, expectedWork} = this.#opts;
		const load = expectedWork!.estimateCompletionMs(server, {remote: loadTracker.getRemoteLoad(server.id), workMs: workMs || meanMs, slots}) / meanMs;
		const zonePenalty = server.availabilityZone === availabilityZone ? 0 : otherZonePenalty;
		return ((load + zonePenalty) * (1 + (failurePenalty * getFailureRate(server)))) + (random.next() * 0.01);
	}
}

/** Returns the slots that a server counts for. A fleet in which no server is much larger than most others counts as it reports. */
function createSlotBound(servers: readonly KnownServer[]): (server: KnownServer) => number {
	const all = servers.map(({slots}) => slots);
	const others = servers.length - 1;
	if (others < 1 || Math.max(...all) <= Math.min(...all) * others) {
		return ({slots}) => slots;
	}

	const sorted = all.sort((a, b) => a - b);
	// Of two servers, only the other one tells.
	const median = others === 1 ? sorted[0]! : sorted[Math.floor(sorted.length / 2)]!;
	const total = sorted.reduce((sum, slots) => sum + Math.min(slots, median), 0);
	return ({slots}) => Math.min(slots, total - Math.min(slots, median));
}
