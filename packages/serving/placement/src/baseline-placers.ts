/** Baseline placers, which the expected-time placer is benchmarked against. */
import type {Random} from '@hickorytrack/random';
import type {PlacementCandidate, PlacementRequest, Placer} from './placement.js';

export class RoundRobinPlacer implements Placer {
	readonly name = 'round-robin';
	#next = 0;

	rank(_request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
		const start = this.#next++ % Math.max(1, candidates.length);
		return [...candidates.slice(start), ...candidates.slice(0, start)];
	}
}

export class LeastLoadedPlacer implements Placer {
	readonly name = 'least-loaded-by-report';
	readonly #random: Random;

	constructor(random: Random) {
		this.#random = random;
	}

	rank(_request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
		return candidates
			.map(candidate => ({candidate, load: (candidate.load?.running ?? 0) + (candidate.load?.queued ?? 0), tieBreaker: this.#random.next()}))
			.sort((a, b) => (a.load - b.load) || (a.tieBreaker - b.tieBreaker))
			.map(ranked => ranked.candidate);
	}
}

export class PrefixHashPlacer implements Placer {
	readonly name = 'prefix-hash';

	rank(request: PlacementRequest, candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
		const key = request.blocks.at(0) ?? String(request.promptTokens);
		const start = Number.parseInt(key.slice(0, 8), 16) % Math.max(1, candidates.length);
		return [...candidates.slice(start), ...candidates.slice(0, start)];
	}
}
