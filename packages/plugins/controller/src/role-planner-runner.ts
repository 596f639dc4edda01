/**
 * Runs the role planner on the leader. A decision becomes an ordinary planned change: it is fenced, drained and visible
 * to operators, and it is cancelled, if it still can be, when the planner no longer needs it. A new leader plans again
 * from the committed state. An open change in the log marks its endpoint as busy, so two plans never run at once.
 */
import {GreedyPlanner} from '@hickorytrack/role-planner/baseline-planners';
import {DemandModel, type ClassDemand} from '@hickorytrack/role-planner/demand-model';
import {PricePlanner} from '@hickorytrack/role-planner/price-planner';
import type {PlannerInput, RoleDecision, RolePlanner} from '@hickorytrack/role-planner';
import {isCancellable} from '@hickorytrack/control-state/planned-change';
import type {EndpointRecord, PlannedChange} from '@hickorytrack/types/control';
import type {ControllerCore} from './controller-core.js';
import type {FleetMonitor} from './fleet-monitor.js';

const planIntervalMs = 2000;
const msPerSecond = 1000;
/** Assumed duration of a role change until one has finished. */
const defaultChangeSeconds = 6;
const maximumDecisions = 200;
const requester = 'planner';

export type LoggedDecision = {
	/** Wall time in milliseconds. */
	at: number;
	planner: string;
	models: string;
	input: PlannerInput;
	decision: RoleDecision;
};

export class RolePlannerRunner {
	readonly #core: ControllerCore;
	readonly #fleet: FleetMonitor;
	readonly #recentDecisions: LoggedDecision[] = [];
	#planners = new Map<string, RolePlanner>();
	#demand = new DemandModel();
	#term = 0;
	#changeCount = 0;

	constructor(core: ControllerCore, fleet: FleetMonitor) {
		this.#core = core;
		this.#fleet = fleet;
	}

	start(): void {
		void this.#run();
	}

	/** Returns the most recent decisions with their inputs, for `role explain` and `role replay`. */
	listDecisions(): LoggedDecision[] {
		return [...this.#recentDecisions];
	}

	get demand(): ClassDemand[] {
		return this.#demand.forecast(0);
	}

	async #run(): Promise<void> {
		const {clock} = this.#core.context;
		while (!this.#core.stopped.signal.aborted) {
			await clock.sleep(planIntervalMs, this.#core.stopped.signal);
			if (this.#core.log.isLeader) {
				this.#resetOnNewTerm();
				this.#demand.addReports(this.#fleet.listReports(), clock.monotonic());
				await this.#planAll(String(this.#core.state.readSetting('roles.planner').value));
			}
		}
	}

	/** Discards the planners and the demand model of an earlier term, which are too old to plan with. */
	#resetOnNewTerm(): void {
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
		this.#recordDecision({
			at: this.#core.context.clock.now(), planner: name, models, input, decision,
		});
		await (decision.change ? this.#startChange(decision.change) : this.#cancelUnneededChange(planner, input));
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
			demand: this.#demand.forecast(this.#computeChangeSeconds() * msPerSecond).filter(demand => names.has(demand.model)),
			changeSeconds: this.#computeChangeSeconds(),
			changeWeight: Number(state.readSetting('roles.changeWeight').value),
		};
	}

	/** Returns the mean duration of the role changes that have finished, in seconds. */
	#computeChangeSeconds(): number {
		const ended = [...this.#core.state.changes.values()].filter(change => change.kind === 'set-role' && change.step === 'finished');
		const seconds = ended.map(change => (change.updatedAt - change.startedAt) / msPerSecond);
		return seconds.length === 0 ? defaultChangeSeconds : seconds.reduce((sum, value) => sum + value, 0) / seconds.length;
	}

	async #startChange(change: {endpoint: string; role: 'mixed' | 'prefill' | 'decode'}): Promise<void> {
		this.#changeCount++;
		await this.#core.proposeAsLeader({
			kind: 'start-change', changeId: `${requester}-${this.#core.log.term}-${this.#changeCount}`, changeKind: 'set-role', endpoint: change.endpoint,
			order: {kind: 'set-role', role: change.role}, requestedBy: requester, at: 0,
		});
	}

	/** Cancels the planner's own change when the planner would not start a change now if that one had not begun. */
	async #cancelUnneededChange(rolePlanner: RolePlanner, input: PlannerInput): Promise<void> {
		const ownChange = this.#core.state.listOpenChanges().find(change => change.requestedBy === requester && isCancellable(change));
		if (ownChange && !this.#isStillNeeded(rolePlanner, input, ownChange)) {
			await this.#core.proposeAsLeader({kind: 'cancel-change', changeId: ownChange.id, at: 0});
		}
	}

	#isStillNeeded(rolePlanner: RolePlanner, input: PlannerInput, ownChange: PlannedChange): boolean {
		const endpoints = input.endpoints.map(candidate => (candidate.endpoint === ownChange.endpoint ? {...candidate, isBusy: false} : candidate));
		return rolePlanner.plan({...input, endpoints}).change !== undefined;
	}

	#recordDecision(entry: LoggedDecision): void {
		const isNewReason = this.#recentDecisions.at(-1)?.decision.reason !== entry.decision.reason;
		if (isNewReason || entry.decision.change !== undefined) {
			this.#core.context.events.emit('roleDecision', {
				planner: entry.planner, models: entry.models, change: entry.decision.change, reason: entry.decision.reason, served: entry.decision.servedNow,
			});
		}

		this.#recentDecisions.push(entry);
		if (this.#recentDecisions.length > maximumDecisions) {
			this.#recentDecisions.shift();
		}
	}
}
