/**
 * The default planner. It orders a role change only if the goodput gained over a horizon exceeds the price: the engine
 * seconds that the change removes, times the configured cost weight of a change. The horizon is the time for which the
 * current workload mix has lasted, because a mix that has just changed may change back, and the price includes the cost
 * of the reverse change. Together they have the effect of a minimum dwell time and hysteresis without separate settings.
 * The gain is computed for the lower bound of the forecast demand.
 */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import {
	defaultRoleSpeeds, estimateServedFraction, type RoleCounts, type RoleSpeeds,
} from './capacity-estimate.js';
import type {ClassDemand} from './demand-model.js';
import type {
	ConsideredChange, PlannedEndpoint, PlannerInput, RoleDecision, RolePlanner,
} from './role-planner.js';

const msPerSecond = 1000;
/** Change of the prefill fraction of the total demand from which on the mix counts as a different one. */
const mixChangeThreshold = 0.12;
const minimumHorizonSeconds = 5;
const maximumHorizonSeconds = 3600;
const targetRoles: EngineRole[] = ['mixed', 'prefill', 'decode'];

export function countRoles(endpoints: readonly PlannedEndpoint[]): RoleCounts {
	const counts: RoleCounts = {mixed: 0, prefill: 0, decode: 0};
	for (const endpoint of endpoints) {
		counts[endpoint.role]++;
	}

	return counts;
}

export function computeTotalDemand(demand: readonly ClassDemand[]): {prefill: number; decode: number} {
	return {
		prefill: demand.reduce((sum, classDemand) => sum + classDemand.prefill, 0),
		decode: demand.reduce((sum, classDemand) => sum + classDemand.decode, 0),
	};
}

/**
 * Returns the demand with the loads of the classes swapped: the class with the smallest load gets the largest load,
 * and so on.
 */
export function computeSwappedDemand(demand: readonly ClassDemand[]): ClassDemand[] {
	const sorted = [...demand].sort((a, b) => (a.prefill + a.decode) - (b.prefill + b.decode));
	return sorted.map((classDemand, index) => {
		const counterpart = sorted[sorted.length - 1 - index]!;
		const factor = (counterpart.prefill + counterpart.decode) / Math.max(Number.EPSILON, classDemand.prefill + classDemand.decode);
		return {...classDemand, prefill: classDemand.prefill * factor, decode: classDemand.decode * factor};
	});
}

export class PricePlanner implements RolePlanner {
	readonly name = 'price';
	readonly #speeds: RoleSpeeds;
	#mixPrefillFraction: number | undefined;
	#mixSince = 0;

	constructor(speeds: RoleSpeeds = defaultRoleSpeeds) {
		this.#speeds = speeds;
	}

	plan(input: PlannerInput): RoleDecision {
		const horizonSeconds = this.#updateHorizon(input);
		const servedNow = estimateServedFraction(countRoles(input.endpoints), input.demand, this.#speeds);
		if (input.endpoints.some(endpoint => endpoint.isBusy)) {
			return {servedNow, considered: [], reason: 'a role change is in progress'};
		}

		const considered = this.#evaluateMoves(input, {servedNow, horizonSeconds});
		const best = considered.filter(change => change.gain > change.price).sort((a, b) => (b.gain - b.price) - (a.gain - a.price))[0];
		if (!best) {
			return {servedNow, considered, reason: servedNow >= 1 ? 'the current roles serve the whole demand' : 'no role change gains more than its price'};
		}

		return {
			change: {endpoint: best.endpoint, role: best.to}, servedNow, considered, reason: `gains ${best.gain.toFixed(1)} engine seconds at a price of ${best.price.toFixed(1)}`,
		};
	}

	/**
	 * Detects changes of the workload mix and returns the planning horizon in seconds: the time for which the mix has
	 * lasted, within bounds.
	 */
	#updateHorizon(input: PlannerInput): number {
		const {prefill, decode} = computeTotalDemand(input.demand);
		const prefillFraction = prefill / Math.max(Number.EPSILON, prefill + decode);
		if (this.#mixPrefillFraction === undefined || Math.abs(prefillFraction - this.#mixPrefillFraction) > mixChangeThreshold) {
			this.#mixPrefillFraction = prefillFraction;
			this.#mixSince = input.at;
		}

		const lasted = (input.at - this.#mixSince) / msPerSecond;
		return Math.min(maximumHorizonSeconds, Math.max(minimumHorizonSeconds, lasted));
	}

	#evaluateMoves(input: PlannerInput, opts: {servedNow: number; horizonSeconds: number}): ConsideredChange[] {
		const {prefill, decode} = computeTotalDemand(input.demand);
		const uncertainty = input.demand.reduce((sum, classDemand) => sum + classDemand.uncertainty, 0);
		// Lower bound of the demand: the forecast minus its standard deviation.
		const lowerBoundDemand = Math.max(0, prefill + decode - uncertainty);
		const considered: ConsideredChange[] = [];
		for (const {endpoint, from, to, count} of listRoleMoves(input.endpoints)) {
			const after = applyRoleMove(input.endpoints, {from, to, count});
			const servedAfter = estimateServedFraction(countRoles(after), input.demand, this.#speeds);
			const gainedFraction = Math.min(1, servedAfter) - Math.min(1, opts.servedNow);
			const gain = gainedFraction * lowerBoundDemand * Math.max(0, opts.horizonSeconds - (count * input.changeSeconds));
			considered.push({
				endpoint, from, to, count, gain, price: (count * this.#computeChangePrice(input, endpoint, opts.servedNow)) + this.#computeReversalPrice(input, after, count) + this.#computeTransitionPrice(input, {from, to, count}, opts.servedNow),
			});
		}

		return considered;
	}

	/**
	 * Returns the goodput lost while a move of several endpoints is incomplete: a single engine in a new role serves
	 * less than before.
	 */
	#computeTransitionPrice(input: PlannerInput, move: Omit<RoleMove, 'endpoint'>, servedNow: number): number {
		if (move.count === 1) {
			return 0;
		}

		const {prefill, decode} = computeTotalDemand(input.demand);
		let lost = 0;
		for (let count = 1; count < move.count; count++) {
			const served = estimateServedFraction(countRoles(applyRoleMove(input.endpoints, {...move, count})), input.demand, this.#speeds);
			lost += Math.max(0, Math.min(1, servedNow) - Math.min(1, served)) * (prefill + decode) * input.changeSeconds;
		}

		return lost;
	}

	/**
	 * Returns the goodput lost until the roles are changed back if the loads of the classes swap, as they do in
	 * practice.
	 */
	#computeReversalPrice(input: PlannerInput, after: readonly PlannedEndpoint[], count: number): number {
		const swapped = computeSwappedDemand(input.demand);
		const {prefill, decode} = computeTotalDemand(swapped);
		const before = Math.min(1, estimateServedFraction(countRoles(input.endpoints), swapped, this.#speeds));
		const afterwards = Math.min(1, estimateServedFraction(countRoles(after), swapped, this.#speeds));
		// The roles are changed back one after the other, so on average half of the loss applies during the change.
		return Math.max(0, before - afterwards) * (prefill + decode) * count * input.changeSeconds / 2;
	}

	/**
	 * Returns the goodput lost while the engine is unavailable, plus the weighted engine seconds of the change itself.
	 */
	#computeChangePrice(input: PlannerInput, endpoint: string, servedNow: number): number {
		const {prefill, decode} = computeTotalDemand(input.demand);
		const without = estimateServedFraction(countRoles(input.endpoints.filter(planned => planned.endpoint !== endpoint)), input.demand, this.#speeds);
		const lost = (Math.min(1, servedNow) - Math.min(1, without)) * (prefill + decode) * input.changeSeconds;
		return lost + (input.changeWeight * input.changeSeconds);
	}
}

export type RoleMove = {
	/** The first endpoint to change. */
	endpoint: string;
	from: EngineRole;
	to: EngineRole;
	/** Number of endpoints that change, one after the other. */
	count: number;
};

/**
 * Lists the moves of one or more endpoints from one role to another. Endpoints with the same role are interchangeable.
 */
export function listRoleMoves(endpoints: readonly PlannedEndpoint[]): RoleMove[] {
	const changeable = endpoints.filter(planned => !planned.isPinned && !planned.isBusy);
	const moves: RoleMove[] = [];
	for (const from of targetRoles) {
		const group = changeable.filter(planned => planned.role === from);
		for (const to of targetRoles.filter(role => role !== from && group[0]?.roles.includes(role))) {
			moves.push(...group.map((_planned, index) => ({
				endpoint: group[0]!.endpoint, from, to, count: index + 1,
			})));
		}
	}

	return moves;
}

/** Returns the endpoints as they would be after a move. */
export function applyRoleMove(endpoints: readonly PlannedEndpoint[], move: Omit<RoleMove, 'endpoint'>): PlannedEndpoint[] {
	let remaining = move.count;
	return endpoints.map(planned => {
		if (remaining > 0 && planned.role === move.from && !planned.isPinned && !planned.isBusy) {
			remaining--;
			return {...planned, role: move.to};
		}

		return planned;
	});
}
