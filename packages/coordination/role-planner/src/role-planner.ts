/**
 * The interface of role planners: their input, their decision and its reason. Planners read no clock and start no
 * operations.
 */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import type {ClassDemand} from './demand-model.js';

export type PlannedEndpoint = {
	endpoint: string;
	role: EngineRole;
	/** Roles that the engine offers. */
	roles: EngineRole[];
	/** Whether an operator has pinned the role. */
	isPinned: boolean;
	/** Whether a planned change is in progress at the endpoint, or the endpoint is not serving. */
	isBusy: boolean;
};

export type PlannerInput = {
	/** Monotonic time in milliseconds. */
	at: number;
	endpoints: PlannedEndpoint[];
	demand: ClassDemand[];
	/**
	 * Seconds for which a role change makes an engine unavailable, including the drain and the refilling of its KV
	 * cache.
	 */
	changeSeconds: number;
	/** Weight of a change relative to goodput; 1 counts only the capacity that the change removes. */
	changeWeight: number;
};

export type ConsideredChange = {
	endpoint: string;
	from: EngineRole;
	to: EngineRole;
	/** Number of endpoints that the whole move changes. */
	count: number;
	/** Gain over the horizon and price (the cost of the change), both in engine seconds of goodput. */
	gain: number;
	price: number;
};

export type RoleDecision = {
	/**
	 * At most one endpoint changes at a time, even if the move has several, so that the next decision includes the
	 * effect.
	 */
	change?: {endpoint: string; role: EngineRole};
	servedNow: number;
	considered: ConsideredChange[];
	reason: string;
};

export type RolePlanner = {
	readonly name: string;
	plan(input: PlannerInput): RoleDecision;
};
