/**
 * The operator methods of the controllers. Reads run on the leader after a read barrier, so that every acknowledged
 * write is visible to later reads; each read returns the revision it shows. A follower forwards the call to the leader.
 */
import type {CommandOutcome, ControlCommand} from '@hickorytrack/types/control';
import type {OperatorReply} from '@hickorytrack/types/peer-methods';
import type {OperatorCaller, OperatorMethod} from '@hickorytrack/kernel/plugin';
import {settingRules} from '@hickorytrack/control-state/setting-rules';
import {z} from 'zod';
import {checkContract} from '@hickorytrack/contract-schema';
import type {ControllerCore} from './controller-core.js';
import type {FleetMonitor} from './fleet-monitor.js';
import type {RolePlannerRunner} from './role-planner-runner.js';

const forwardTimeoutMs = 8000;
const maximumHops = 3;
const aliveTimeoutMs = 3000;
const promotionTimeoutMs = 30_000;
const promotionPollIntervalMs = 100;

const schemas = {
	none: z.object({}).loose(),
	workspace: z.object({workspace: z.string().min(1)}),
	putContract: z.object({
		changeId: z.string().min(1), expectedVersion: z.number().int().min(0), workspace: z.string().min(1), contract: z.unknown().optional(),
	}),
	putSetting: z.object({
		changeId: z.string().min(1), expectedVersion: z.number().int().min(0), name: z.string(), value: z.union([z.string(), z.number(), z.boolean()]),
	}),
	endpoint: z.object({endpoint: z.string().min(1)}),
	startChange: z.object({changeId: z.string().min(1), endpoint: z.string().min(1), kind: z.enum(['drain', 'withdraw', 'replace', 'restore'])}),
	setRole: z.object({changeId: z.string().min(1), endpoint: z.string().min(1), role: z.enum(['mixed', 'prefill', 'decode'])}),
	load: z.object({
		changeId: z.string().min(1), endpoint: z.string().min(1), model: z.string().optional(), version: z.string().optional(), adapter: z.string().optional(),
	}),
	pin: z.object({changeId: z.string().min(1), endpoint: z.string().min(1), pinned: z.boolean()}),
	change: z.object({changeId: z.string().min(1)}),
	fingerprint: z.object({changeId: z.string().min(1), fingerprint: z.string().min(1)}),
	revision: z.object({revision: z.number().int().min(0)}),
	controller: z.object({id: z.string().min(1), address: z.string().optional()}),
};

type Handler<T> = (params: T, caller: OperatorCaller) => Promise<OperatorReply> | OperatorReply;

const createResult = (result: unknown): OperatorReply => ({ok: true, result});
const createError = (code: string, message: string, hint?: string): OperatorReply => ({
	ok: false, code, message, hint,
});

export type OperatorApiOptions = {
	fleet: FleetMonitor;
	roles: RolePlannerRunner;
};

/** Adds the methods of the controllers to the operator interface of this process. */
export function registerOperatorApi(core: ControllerCore, opts: OperatorApiOptions): void {
	const api = new OperatorApi(core, opts);
	api.register();
}

class OperatorApi {
	readonly #core: ControllerCore;
	readonly #fleet: FleetMonitor;
	readonly #roles: RolePlannerRunner;

	constructor(core: ControllerCore, opts: OperatorApiOptions) {
		this.#core = core;
		this.#fleet = opts.fleet;
		this.#roles = opts.roles;
	}

	register(): void {
		this.#addContractMethods();
		this.#addEndpointMethods();
		this.#addOtherMethods();
		this.#addControllerMethods();
	}

	#addContractMethods(): void {
		const {state} = this.#core;
		this.#addMethod('contract.list', schemas.none, () => createResult({revision: state.items.revision, contracts: state.listContracts()}));
		this.#addMethod('contract.get', schemas.workspace, ({workspace}) => {
			const found = state.readContract(workspace);
			return found ? createResult({revision: state.items.revision, ...found}) : createError('ERR_HICKORYTRACK_NOT_FOUND', `There is no contract for workspace ${workspace}`, 'See hickorytrack contract list.');
		});
		this.#addMethod('contract.history', schemas.workspace, ({workspace}) => createResult({revision: state.items.revision, versions: state.readHistory(workspace)}));
		this.#addMethod('contract.put', schemas.putContract, async params => {
			const contract = params.contract === undefined ? undefined : checkContract(params.contract);
			if (contract?.isErr()) {
				return createError(contract.error.code, contract.error.issues.map(issue => `${issue.path}: ${issue.message}`).join('; '), 'Nothing was changed.');
			}

			return this.#propose({kind: 'put-contract', ...params, contract: contract?.isOk() ? contract.value : undefined});
		});
	}

	#addEndpointMethods(): void {
		const {state} = this.#core;
		const describeEndpoint = (endpoint: string) => {
			const record = state.endpoints.get(endpoint)!;
			const lastSeenAgeMs = this.#fleet.computeLastSeenAge(record.agent);
			return {
				...record, directive: state.readDirective(endpoint), isAlive: lastSeenAgeMs < aliveTimeoutMs, change: state.listOpenChanges().find(change => change.endpoint === endpoint),
			};
		};

		this.#addMethod('endpoint.list', schemas.none, () => createResult({revision: state.items.revision, endpoints: [...state.endpoints.keys()].map(endpoint => describeEndpoint(endpoint))}));
		this.#addMethod('endpoint.get', schemas.endpoint, ({endpoint}) => state.endpoints.has(endpoint)
			? createResult({revision: state.items.revision, ...describeEndpoint(endpoint)})
			: createError('ERR_HICKORYTRACK_NOT_FOUND', `There is no endpoint ${endpoint}`, 'See hickorytrack endpoint list.'));
		this.#addMethod('change.start', schemas.startChange, async ({changeId, endpoint, kind}, caller) =>
			this.#propose({
				kind: 'start-change', changeId, endpoint, changeKind: kind, requestedBy: caller.operator, at: 0,
			}));
		this.#addMethod('role.set', schemas.setRole, async ({changeId, endpoint, role}, caller) =>
			this.#propose({
				kind: 'start-change', changeId, endpoint, changeKind: 'set-role', order: {kind: 'set-role', role}, requestedBy: caller.operator, at: 0,
			}));
		this.#addMethod('role.explain', schemas.none, () => createResult({demand: this.#roles.demand, decisions: this.#roles.listDecisions()}));
		this.#addMethod('role.pin', schemas.pin, async params => this.#propose({kind: 'pin-role', ...params}));
		this.#addMethod('endpoint.load', schemas.load, async ({changeId, endpoint, model, version, adapter}, caller) => {
			const order = adapter === undefined ? {kind: 'load-model' as const, model: model ?? '', version: version ?? 'latest'} : {kind: 'load-adapter' as const, adapter};
			return this.#propose({
				kind: 'start-change', changeId, endpoint, changeKind: order.kind, order, requestedBy: caller.operator, at: 0,
			});
		});
	}

	#addOtherMethods(): void {
		const {state} = this.#core;
		this.#addMethod('change.list', schemas.none, () => createResult({revision: state.items.revision, changes: [...state.changes.values()]}));
		this.#addMethod('change.get', schemas.change, ({changeId}) => state.changes.has(changeId)
			? createResult(state.changes.get(changeId))
			: createError('ERR_HICKORYTRACK_NOT_FOUND', `There is no change ${changeId}`, 'See hickorytrack change list.'));
		this.#addMethod('change.cancel', schemas.change, async ({changeId}) => this.#propose({kind: 'cancel-change', changeId, at: 0}));
		this.#addMethod('config.list', schemas.none, () => createResult({revision: state.items.revision, settings: settingRules.map(rule => ({...rule, ...state.readSetting(rule.name)}))}));
		this.#addMethod('config.set', schemas.putSetting, async params => this.#propose({kind: 'put-setting', ...params}));
		this.#addMethod('quarantine.list', schemas.none, () => createResult({revision: state.items.revision, entries: state.quarantine.list()}));
		this.#addMethod('quarantine.lift', schemas.fingerprint, async params => this.#propose({kind: 'lift-quarantine', ...params}));
		this.#addMethod('force.get', schemas.revision, ({revision}) => {
			const missing = this.#fleet.listSubscribers().filter(view => view.revision < revision).map(view => view.member.instance);
			return createResult({
				revision, subscribers: this.#fleet.listSubscribers().length, missing, isInForce: missing.length === 0,
			});
		});
		this.#addMethod('status.get', schemas.none, () => createResult({
			revision: state.items.revision,
			leader: this.#core.log.id,
			log: this.#core.log.getStatus(),
			subscribers: this.#fleet.listSubscribers().map(view => ({...view.member, revision: view.revision})),
			endpoints: state.endpoints.size,
			contracts: state.listContracts().length,
			claims: state.claims.size,
			openChanges: state.listOpenChanges(),
			quarantine: state.quarantine.list().length,
		}));
	}

	#addControllerMethods(): void {
		const {log} = this.#core;
		this.#addMethod('controller.list', schemas.none, () => createResult({
			leader: log.id,
			members: log.getStatus().members.map(member => ({...member, ...log.getMemberProgress(member.id)})),
		}));
		this.#addMethod('controller.add', schemas.controller, async ({id, address}) => {
			const added = await log.addLearner({id, address: address ?? ''});
			return added.isErr() ? createError(added.error.code, added.error.message, added.error.hint) : this.#promote(id);
		});
		this.#addMethod('controller.remove', schemas.controller, async ({id}) => {
			const removed = await log.removeMember(id);
			return removed.isErr() ? createError(removed.error.code, removed.error.message, removed.error.hint) : createResult({removed: id});
		});
		this.#addMethod('controller.replace', schemas.controller, async ({id}) => {
			const demoted = await log.demoteMember(id);
			return demoted.isErr() ? createError(demoted.error.code, demoted.error.message, demoted.error.hint) : this.#promote(id);
		});
	}

	/** Waits until a learner has replicated the whole log, then promotes it to a voter. */
	async #promote(id: string): Promise<OperatorReply> {
		const {clock} = this.#core.context;
		const deadline = clock.monotonic() + promotionTimeoutMs;
		let message = '';
		while (clock.monotonic() < deadline && !this.#core.stopped.signal.aborted) {
			const promoted = await this.#core.log.promoteLearner(id);
			if (promoted.isOk()) {
				return createResult({promoted: id});
			}

			message = promoted.error.message;
			await clock.sleep(promotionPollIntervalMs, this.#core.stopped.signal);
		}

		return createError('ERR_HICKORYTRACK_MEMBERS_REFUSED', `${id} is a learner but was not promoted to a voter: ${message}`, 'Start the controller, then run the command again.');
	}

	#addMethod<T>(name: string, schema: z.ZodType<T>, handler: Handler<T>): void {
		const handleCall: OperatorMethod = async (params, caller) => {
			if (!this.#core.log.isLeader) {
				return this.#forward(name, params, caller);
			}

			const parsed = schema.safeParse(params);
			if (!parsed.success) {
				return createError('ERR_HICKORYTRACK_BAD_PARAMS', z.prettifyError(parsed.error), 'See docs/interfaces/operators.md.');
			}

			const barrier = await this.#core.readBarrier();
			return barrier.isErr() ? createError(barrier.error.code, barrier.error.message, 'Try again.') : handler(parsed.data, caller);
		};

		this.#core.context.addOperatorMethod(name, handleCall);
	}

	async #forward(name: string, params: unknown, caller: OperatorCaller): Promise<OperatorReply> {
		const connection = this.#core.findLeaderConnection();
		if (!connection || caller.hops >= maximumHops) {
			return createError('ERR_HICKORYTRACK_NO_LEADER', 'The controllers have no leader', 'Try again; if the error persists, restore a majority of the controllers.');
		}

		const reply = await connection.request('operator.call', {method: name, params, hops: caller.hops + 1}, {timeoutMs: forwardTimeoutMs});
		return reply.isOk() ? reply.value : createError(reply.error.code, reply.error.message, 'Retry the command with the same change id.');
	}

	async #propose(command: ControlCommand): Promise<OperatorReply> {
		const reply = await this.#core.propose(command);
		if (reply.kind === 'unavailable') {
			const hint = reply.applied === 'no' ? 'Nothing was changed; try again.' : 'The change may still be applied; retry the command with the same change id.';
			return createError('ERR_HICKORYTRACK_NOT_ACKNOWLEDGED', reply.message, hint);
		}

		await this.#core.context.steps.onStep('control.answered', this.#core.context.settings.instance);
		return this.#convertOutcome(reply.outcome);
	}

	#convertOutcome(outcome: CommandOutcome): OperatorReply {
		if (outcome.ok) {
			return createResult({revision: outcome.revision, value: outcome.value});
		}

		const codes = {
			conflict: 'ERR_HICKORYTRACK_CONFLICT', 'not-found': 'ERR_HICKORYTRACK_NOT_FOUND', refused: 'ERR_HICKORYTRACK_REFUSED', 'reused-change-id': 'ERR_HICKORYTRACK_REUSED_CHANGE_ID', invalid: 'ERR_HICKORYTRACK_INVALID',
		} as const;
		return createError(codes[outcome.code], outcome.message, outcome.code === 'conflict' ? 'Read the current version, then decide whether to send the change again.' : undefined);
	}
}
