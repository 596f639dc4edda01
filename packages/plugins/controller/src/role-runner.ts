/**
 * Runs the role planner at the leader. A decision becomes a planned change like any other: fenced, drained, visible, and
 * cancelled while that is possible when the planner no longer wants it. After a change of leader the plan is made anew
 * from the state in force; since a change in the log makes its endpoint busy, there are never two plans at once.
 */
import {GreedyPlanner} from '@hickorytrack/role-planner/baseline-planners';
import {DemandModel, type ClassDemand} from '@hickorytrack/role-planner/demand-model';
import {PricePlanner} from '@hickorytrack/role-planner/price-planner';
import type {PlannerInput, RoleDecision, RolePlanner} from '@hickorytrack/role-planner';
import {isCancellable} from '@hickorytrack/control-state/planned-change';
import type {EndpointRecord, PlannedChange} from '@hickorytrack/types/control';
import type {ControllerCore} from './controller-core.js';
import type {FleetView} from './fleet-view.js';

const planMs = 2000;
const msPerSecond = 1000;
/** Taken until role changes have been seen. */
const firstChangeSeconds = 6;
const keptDecisions = 200;
const planner = 'planner';

export type LoggedDecision = {
	/** Wall time in milliseconds. */
	at: number;
	planner: string;
	models: string;
	input: PlannerInput;
	decision: RoleDecision;
};

export class RoleRunner {
	readonly #core: ControllerCore;
	readonly #fleet: FleetView;
	readonly #log: LoggedDecision[] = [];
	#planners = new Map<string, RolePlanner>();
	#demand = new DemandModel();
	#term = 0;
	#decisions = 0;

	constructor(core: ControllerCore, fleet: FleetView) {
		this.#core = core;
		this.#fleet = fleet;
	}

	start(): void {
		void this.#run();
	}

	/** Returns the newest decisions with all that they saw, for `role explain` and `role replay`. */
	listDecisions(): LoggedDecision[] {
		return [...this.#log];
	}

	get demand(): ClassDemand[] {
		return this.#demand.forecast(0);
	}

	async #run(): Promise<void> {
		const {clock} = this.#core.context;
		while (!this.#core.stopped.signal.aborted) {
			await clock.sleep(planMs, this.#core.stopped.signal);
			if (this.#core.log.isLeader) {
				this.#forgetOldRule();
				this.#demand.addReports(this.#fleet.listReports(), clock.monotonic());
				await this.#planAll(String(this.#core.state.readSetting('roles.planner').value));
			}
		}
	}

	/** What this member knew from an earlier time as leader is too old to plan on. */
	#forgetOldRule(): void {
		if (this.#core.log.term !== this.#term) {
			this.#term = this.#core.log.term;
			this.#planners = new Map();
			this.#demand = new DemandModel();
		}
	}

	/** Plans each group of endpoints that serve the same models. */
	async #planAll(name: string): Promise<void> {
		if (name === 'off') {
			return;
		}

		const groups = new Map<string, EndpointRecord[]>();
		for (const record of this.#core.state.endpoints.values()) {
			if (record.announcement.kind === 'model') {
				const models = [...record.announcement.names].sort().join(',');
				groups.set(models, [...groups.get(models) ?? [], record]);
			}
		}

		for (const [models, records] of groups) {
			await this.#plan(name, models, records);
		}
	}

	async #plan(name: string, models: string, records: readonly EndpointRecord[]): Promise<void> {
		const key = `${name} ${models}`;
		const planner = this.#planners.get(key) ?? (name === 'greedy' ? new GreedyPlanner() : new PricePlanner());
		this.#planners.set(key, planner);
		const input = this.#createInput(records);
		if (input.demand.length === 0) {
			return;
		}

		const decision = planner.plan(input);
		this.#note({
			at: this.#core.context.clock.now(), planner: name, models, input, decision,
		});
		await (decision.change ? this.#order(decision.change) : this.#cancelUnwanted(planner, input));
	}

	#createInput(records: readonly EndpointRecord[]): PlannerInput {
		const {state, context} = this.#core;
		const changing = state.listOpenChanges().map(change => change.endpoint);
		const notServing = records.map(record => record.announcement.endpoint).filter(endpoint => state.readDirective(endpoint).phase !== 'serving');
		const busy = new Set([...changing, ...notServing]);
		const names = new Set(records.flatMap(record => record.announcement.names));
		return {
			at: context.clock.monotonic(),
			endpoints: records.map(({announcement}) => {
				const directive = state.readDirective(announcement.endpoint);
				return {
					endpoint: announcement.endpoint, role: announcement.role, roles: announcement.roles, isPinned: directive.pinned, isBusy: busy.has(announcement.endpoint),
				};
			}),
			demand: this.#demand.forecast(this.#computeChangeSeconds() * msPerSecond).filter(one => names.has(one.model)),
			changeSeconds: this.#computeChangeSeconds(),
			changeWeight: Number(state.readSetting('roles.changeWeight').value),
		};
	}

	/** The mean duration of the role changes that have ended. */
	#computeChangeSeconds(): number {
		const ended = [...this.#core.state.changes.values()].filter(change => change.kind === 'set-role' && change.step === 'finished');
		const seconds = ended.map(change => (change.updatedAt - change.startedAt) / msPerSecond);
		return seconds.length === 0 ? firstChangeSeconds : seconds.reduce((sum, one) => sum + one, 0) / seconds.length;
	}

	async #order(change: {endpoint: string; role: 'mixed' | 'prefill' | 'decode'}): Promise<void> {
		this.#decisions++;
		await this.#core.proposeAsLeader({
			kind: 'start-change', changeId: `${planner}-${this.#core.log.term}-${this.#decisions}`, changeKind: 'set-role', endpoint: change.endpoint,
			order: {kind: 'set-role', role: change.role}, requestedBy: planner, at: 0,
		});
	}

	/** Cancels its own change when, as if it had not begun, no change would be ordered now. */
	async #cancelUnwanted(rolePlanner: RolePlanner, input: PlannerInput): Promise<void> {
		const own = this.#core.state.listOpenChanges().find(change => change.requestedBy === planner && isCancellable(change));
		if (own && !this.#isStillWanted(rolePlanner, input, own)) {
			await this.#core.proposeAsLeader({kind: 'cancel-change', changeId: own.id, at: 0});
		}
	}

	#isStillWanted(rolePlanner: RolePlanner, input: PlannerInput, own: PlannedChange): boolean {
		const endpoints = input.endpoints.map(one => (one.endpoint === own.endpoint ? {...one, isBusy: false} : one));
		return rolePlanner.plan({...input, endpoints}).change !== undefined;
	}

	#note(entry: LoggedDecision): void {
		const isNews = this.#log.at(-1)?.decision.reason !== entry.decision.reason;
		if (isNews || entry.decision.change !== undefined) {
			this.#core.context.events.emit('roleDecision', {
				planner: entry.planner, models: entry.models, change: entry.decision.change, reason: entry.decision.reason, served: entry.decision.servedNow,
			});
		}

		this.#log.push(entry);
		if (this.#log.length > keptDecisions) {
			this.#log.shift();
		}
	}
}
