/**
 * The planner in use. A change of a role is ordered only when the goodput it gains over a horizon is worth more than its
 * price: the engine seconds it removes, times the deployment's weight on changes. The horizon is the time that the
 * present mix has lasted, since a mix that has just changed may change back, and the price contains the way back; from
 * this follow dwell and hysteresis without settings of their own. The gain is counted at the pessimistic end of the forecast.
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
/** Shift of the prefill share of the whole demand that counts as another mix. */
const mixShift = 0.12;
const shortestHorizonSeconds = 5;
const longestHorizonSeconds = 3600;
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
		prefill: demand.reduce((sum, one) => sum + one.prefill, 0),
		decode: demand.reduce((sum, one) => sum + one.decode, 0),
	};
}

/** Returns the demand as it would be if the classes traded places: the largest load goes to the class with the smallest. */
export function computeSwappedDemand(demand: readonly ClassDemand[]): ClassDemand[] {
	const bySize = [...demand].sort((a, b) => (a.prefill + a.decode) - (b.prefill + b.decode));
	return bySize.map((one, index) => {
		const other = bySize[bySize.length - 1 - index]!;
		const factor = (other.prefill + other.decode) / Math.max(Number.EPSILON, one.prefill + one.decode);
		return {...one, prefill: one.prefill * factor, decode: one.decode * factor};
	});
}

export class PricePlanner implements RolePlanner {
	readonly name = 'price';
	readonly #speeds: RoleSpeeds;
	#mixShare: number | undefined;
	#mixSince = 0;

	constructor(speeds: RoleSpeeds = defaultRoleSpeeds) {
		this.#speeds = speeds;
	}

	plan(input: PlannerInput): RoleDecision {
		const horizonSeconds = this.#trackMix(input);
		const servedNow = estimateServedFraction(countRoles(input.endpoints), input.demand, this.#speeds);
		if (input.endpoints.some(endpoint => endpoint.isBusy)) {
			return {servedNow, considered: [], reason: 'a change is under way'};
		}

		const considered = this.#consider(input, {servedNow, horizonSeconds});
		const best = considered.filter(one => one.gain > one.price).sort((a, b) => (b.gain - b.price) - (a.gain - a.price))[0];
		if (!best) {
			return {servedNow, considered, reason: servedNow >= 1 ? 'the present roles serve the whole demand' : 'no change is worth its price'};
		}

		return {
			change: {endpoint: best.endpoint, role: best.to}, servedNow, considered, reason: `gains ${best.gain.toFixed(1)} engine seconds for ${best.price.toFixed(1)}`,
		};
	}

	/** Returns how long the present mix has lasted, in seconds. */
	#trackMix(input: PlannerInput): number {
		const {prefill, decode} = computeTotalDemand(input.demand);
		const share = prefill / Math.max(Number.EPSILON, prefill + decode);
		if (this.#mixShare === undefined || Math.abs(share - this.#mixShare) > mixShift) {
			this.#mixShare = share;
			this.#mixSince = input.at;
		}

		const lasted = (input.at - this.#mixSince) / msPerSecond;
		return Math.min(longestHorizonSeconds, Math.max(shortestHorizonSeconds, lasted));
	}

	#consider(input: PlannerInput, opts: {servedNow: number; horizonSeconds: number}): ConsideredChange[] {
		const {prefill, decode} = computeTotalDemand(input.demand);
		const uncertainty = input.demand.reduce((sum, one) => sum + one.uncertainty, 0);
		// What is certain to be missing: the demand less its scatter.
		const certainDemand = Math.max(0, prefill + decode - uncertainty);
		const considered: ConsideredChange[] = [];
		for (const {endpoint, from, to, count} of listRoleMoves(input.endpoints)) {
			const after = applyRoleMove(input.endpoints, {from, to, count});
			const servedAfter = estimateServedFraction(countRoles(after), input.demand, this.#speeds);
			const gainedFraction = Math.min(1, servedAfter) - Math.min(1, opts.servedNow);
			const gain = gainedFraction * certainDemand * Math.max(0, opts.horizonSeconds - (count * input.changeSeconds));
			considered.push({
				endpoint, from, to, count, gain, price: (count * this.#computePrice(input, endpoint, opts.servedNow)) + this.#priceWayBack(input, after, count) + this.#priceWayThere(input, {from, to, count}, opts.servedNow),
			});
		}

		return considered;
	}

	/** The goodput lost while only a part of the move is done: a lone engine in a role of its own serves less than before. */
	#priceWayThere(input: PlannerInput, move: Omit<RoleMove, 'endpoint'>, servedNow: number): number {
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

	/** The goodput lost until the roles are changed back, if the classes trade places as they are known to do. */
	#priceWayBack(input: PlannerInput, after: readonly PlannedEndpoint[], count: number): number {
		const mirrored = computeSwappedDemand(input.demand);
		const {prefill, decode} = computeTotalDemand(mirrored);
		const before = Math.min(1, estimateServedFraction(countRoles(input.endpoints), mirrored, this.#speeds));
		const then = Math.min(1, estimateServedFraction(countRoles(after), mirrored, this.#speeds));
		// The roles come back one after the other, so half of the loss is lost on the way.
		return Math.max(0, before - then) * (prefill + decode) * count * input.changeSeconds / 2;
	}

	/** The goodput lost while the engine is away, and the weight on top of the engine seconds themselves. */
	#computePrice(input: PlannerInput, endpoint: string, servedNow: number): number {
		const {prefill, decode} = computeTotalDemand(input.demand);
		const without = estimateServedFraction(countRoles(input.endpoints.filter(one => one.endpoint !== endpoint)), input.demand, this.#speeds);
		const lost = (Math.min(1, servedNow) - Math.min(1, without)) * (prefill + decode) * input.changeSeconds;
		return lost + (input.changeWeight * input.changeSeconds);
	}
}

export type RoleMove = {
	/** The first endpoint to change. */
	endpoint: string;
	from: EngineRole;
	to: EngineRole;
	/** Endpoints that change in the end, one after the other. */
	count: number;
};

/** Lists the moves of one or more endpoints from one role to another; endpoints with the same role are alike. */
export function listRoleMoves(endpoints: readonly PlannedEndpoint[]): RoleMove[] {
	const free = endpoints.filter(one => !one.isPinned && !one.isBusy);
	const moves: RoleMove[] = [];
	for (const from of targetRoles) {
		const group = free.filter(one => one.role === from);
		for (const to of targetRoles.filter(role => role !== from && group[0]?.roles.includes(role))) {
			moves.push(...group.map((one, index) => ({
				endpoint: group[0]!.endpoint, from, to, count: index + 1,
			})));
		}
	}

	return moves;
}

/** Returns the endpoints as they would be after a move. */
export function applyRoleMove(endpoints: readonly PlannedEndpoint[], move: Omit<RoleMove, 'endpoint'>): PlannedEndpoint[] {
	let left = move.count;
	return endpoints.map(one => {
		if (left > 0 && one.role === move.from && !one.isPinned && !one.isBusy) {
			left--;
			return {...one, role: move.to};
		}

		return one;
	});
}
