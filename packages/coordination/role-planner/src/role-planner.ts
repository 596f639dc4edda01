/** The interface of role planners: what they see, what they decide, and why. Planners keep no clock and start nothing. */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import type {ClassDemand} from './demand-model.js';

export type PlannedEndpoint = {
	endpoint: string;
	role: EngineRole;
	/** Roles that the engine offers. */
	roles: EngineRole[];
	/** An operator pinned the role. */
	isPinned: boolean;
	/** Under a planned change, or not serving. */
	isBusy: boolean;
};

export type PlannerInput = {
	/** Monotonic time in milliseconds. */
	at: number;
	endpoints: PlannedEndpoint[];
	demand: ClassDemand[];
	/** Seconds that a role change takes an engine away, with drain and the refilling of its cache. */
	changeSeconds: number;
	/** Weight of one change against goodput; 1 counts only the capacity it removes. */
	changeWeight: number;
};

export type ConsideredChange = {
	endpoint: string;
	from: EngineRole;
	to: EngineRole;
	/** Endpoints that the move takes in the end. */
	count: number;
	/** Gain over the horizon and price, both in engine seconds of goodput. */
	gain: number;
	price: number;
};

export type RoleDecision = {
	/** At most one change at a time, also of a move of several; the next decision sees its effect. */
	change?: {endpoint: string; role: EngineRole};
	servedNow: number;
	considered: ConsideredChange[];
	reason: string;
};

export type RolePlanner = {
	readonly name: string;
	plan(input: PlannerInput): RoleDecision;
};
