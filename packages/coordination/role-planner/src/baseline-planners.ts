/** Baseline planners. They stay in the tree as the yardsticks of the planner in use. */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import {defaultRoleSpeeds, estimateServedFraction, type RoleSpeeds} from './capacity-estimate.js';
import {
	countRoles, listRoleMoves, applyRoleMove, computeTotalDemand,
} from './price-planner.js';
import type {PlannerInput, RoleDecision, RolePlanner} from './role-planner.js';

/** Leaves every engine as it is. */
export class StaticPlanner implements RolePlanner {
	readonly name: string;

	constructor(name: 'static-mixed' | 'static-split') {
		this.name = name;
	}

	plan(input: PlannerInput): RoleDecision {
		return {servedNow: estimateServedFraction(countRoles(input.endpoints), input.demand), considered: [], reason: 'roles are static'};
	}
}

/** Moves one engine whenever the prefill part of the engines is off the prefill part of the demand by a threshold. */
export class GreedyPlanner implements RolePlanner {
	readonly name = 'greedy';
	readonly #speeds: RoleSpeeds;

	constructor(speeds: RoleSpeeds = defaultRoleSpeeds) {
		this.#speeds = speeds;
	}

	plan(input: PlannerInput): RoleDecision {
		const servedNow = estimateServedFraction(countRoles(input.endpoints), input.demand, this.#speeds);
		const {prefill, decode} = computeTotalDemand(input.demand);
		const free = input.endpoints.filter(one => !one.isPinned && !one.isBusy);
		if (free.length < input.endpoints.length || prefill + decode === 0) {
			return {servedNow, considered: [], reason: 'a change is under way or nothing is known'};
		}

		const best = this.#findBest(input, servedNow);
		return best
			? {
				change: best, servedNow, considered: [], reason: 'serves more at this moment',
			}
			: {servedNow, considered: [], reason: 'nothing serves more'};
	}

	#findBest(input: PlannerInput, servedNow: number): {endpoint: string; role: EngineRole} | undefined {
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
