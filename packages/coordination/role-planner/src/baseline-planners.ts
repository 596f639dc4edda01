/** Baseline planners, which the price-based planner is benchmarked against. */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import {defaultRoleSpeeds, estimateServedFraction, type RoleSpeeds} from './capacity-estimate.js';
import {
	countRoles, listRoleMoves, applyRoleMove, computeTotalDemand,
} from './price-planner.js';
import type {PlannerInput, RoleDecision, RolePlanner} from './role-planner.js';

/** Never changes a role. */
export class StaticPlanner implements RolePlanner {
	readonly name: string;

	constructor(name: 'static-mixed' | 'static-split') {
		this.name = name;
	}

	plan(input: PlannerInput): RoleDecision {
		return {servedNow: estimateServedFraction(countRoles(input.endpoints), input.demand), considered: [], reason: 'roles are static'};
	}
}

/** Changes the role of one engine whenever the change would serve over 1 % more of the current demand. */
export class GreedyPlanner implements RolePlanner {
	readonly name = 'greedy';
	readonly #speeds: RoleSpeeds;

	constructor(speeds: RoleSpeeds = defaultRoleSpeeds) {
		this.#speeds = speeds;
	}

	plan(input: PlannerInput): RoleDecision {
		const servedNow = estimateServedFraction(countRoles(input.endpoints), input.demand, this.#speeds);
		const {prefill, decode} = computeTotalDemand(input.demand);
		const changeable = input.endpoints.filter(endpoint => !endpoint.isPinned && !endpoint.isBusy);
		if (changeable.length < input.endpoints.length || prefill + decode === 0) {
			return {servedNow, considered: [], reason: 'an endpoint is busy or pinned, or no demand is known'};
		}

		const best = this.#findBestMove(input, servedNow);
		return best
			? {
				change: best, servedNow, considered: [], reason: 'serves more of the current demand',
			}
			: {servedNow, considered: [], reason: 'no role change serves more of the current demand'};
	}

	#findBestMove(input: PlannerInput, servedNow: number): {endpoint: string; role: EngineRole} | undefined {
		let best: {endpoint: string; role: EngineRole; served: number} | undefined;
		for (const move of listRoleMoves(input.endpoints)) {
			const served = estimateServedFraction(countRoles(applyRoleMove(input.endpoints, move)), input.demand, this.#speeds);
			if (served > servedNow * 1.01 && (!best || served > best.served)) {
				best = {endpoint: move.endpoint, role: move.to, served};
			}
		}

		return best && {endpoint: best.endpoint, role: best.role};
	}
}
