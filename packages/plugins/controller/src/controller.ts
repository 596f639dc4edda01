/** The controller plug-in: stores the control state, sends it to subscribers and executes planned changes. */
import {err, ok, type Result} from 'neverthrow';
import {ControlState} from '@hickorytrack/control-state';
import {HickorytrackError} from '@hickorytrack/errors';
import {computeSuccessorWaitMs} from '@hickorytrack/fence/lease';
import type {Plugin, PluginRegistry, ProcessContext} from '@hickorytrack/kernel/plugin';
import {FileLogStorage} from '@hickorytrack/log-storage/file-log-storage';
import {ReplicatedLog} from '@hickorytrack/replicated-log';
import type {MemberMessage} from '@hickorytrack/replicated-log/member-messages';
import type {ClaimReadResult} from '@hickorytrack/types/claim';
import type {EndpointRegistration, EpochGrant} from '@hickorytrack/types/control';
import {ChangeRunner} from './change-runner.js';
import {ControllerCore} from './controller-core.js';
import {FleetMonitor} from './fleet-monitor.js';
import {PeerMemberTransport} from './member-transport.js';
import {registerOperatorApi} from './operator-api.js';
import {RolePlannerRunner} from './role-planner-runner.js';
import {SubscriptionManager} from './subscription-manager.js';

const expiryIntervalMs = 5000;
const watchIntervalMs = 100;
/** An endpoint whose agent no controller has seen for this long is removed. */
const endpointRetentionMs = 60_000;
/** Maximum time from an agent's lease check to the last byte of an order. */
export const orderTimeLimitMs = 1000;

export class ControllerPlugin implements Plugin {
	readonly #context: ProcessContext;
	readonly #core: ControllerCore;
	readonly #subscriptions: SubscriptionManager;
	readonly #fleet: FleetMonitor;
	readonly #changes: ChangeRunner;
	readonly #roles: RolePlannerRunner;

	constructor(context: ProcessContext) {
		this.#context = context;
		const {settings} = context;
		const state = new ControlState();
		const transport = new PeerMemberTransport(context.peers);
		const log = new ReplicatedLog({
			id: settings.instance,
			initialMembers: settings.join ? [] : settings.controllers.map(({id, address}) => ({id, address, voter: true})),
			storage: new FileLogStorage(settings.data!),
			transport,
			stateMachine: {
				apply: (command, index) => {
					const outcome = state.apply(command, index);
					this.#subscriptions.schedulePush();
					return outcome;
				},
				createSnapshot: () => state.createSnapshot(),
				restoreSnapshot: snapshot => {
					state.restoreSnapshot(snapshot);
					this.#subscriptions.schedulePush();
				},
			},
			clock: context.clock,
			random: context.random,
			timing: {
				electionMinMs: settings.electionMs, electionMaxMs: settings.electionMs * 2, heartbeatMs: Math.max(10, settings.electionMs / 6), snapshotRecords: settings.snapshotRecords,
			},
			steps: context.steps,
		});
		this.#core = new ControllerCore({
			context, log, state, transport,
		});
		this.#subscriptions = new SubscriptionManager(this.#core);
		this.#fleet = new FleetMonitor(this.#core, this.#subscriptions);
		this.#changes = new ChangeRunner(this.#core);
		this.#roles = new RolePlannerRunner(this.#core, this.#fleet);
		this.#registerHandlers();
		registerOperatorApi(this.#core, {fleet: this.#fleet, roles: this.#roles});
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		const started = await this.#core.log.start();
		if (started.isErr()) {
			return err(started.error);
		}

		this.#fleet.start();
		this.#changes.start();
		this.#roles.start();
		void this.#runExpiry();
		void this.#watchLeadership();
		return ok(undefined);
	}

	async drain(): Promise<void> {
		// Every acknowledged change is already stored on a majority, so nothing is left to drain.
	}

	async stop(): Promise<void> {
		this.#core.stopped.abort();
		this.#core.transport.stop();
		await this.#core.log.stop();
	}

	dump(): unknown {
		const {state, log} = this.#core;
		return {
			log: log.getStatus(),
			revision: state.items.revision,
			subscribers: this.#subscriptions.list().map(view => ({instance: view.member.instance, revision: view.revision})),
			endpoints: [...state.endpoints.values()],
			claims: state.claims.size,
			changes: state.listOpenChanges(),
			quarantine: state.quarantine.list(),
		};
	}

	listOpenWork(): string[] {
		return this.#core.log.isLeader ? this.#core.state.listOpenChanges().map(change => `change ${change.id} at ${change.step}`) : [];
	}

	#registerHandlers(): void {
		const {peers, settings} = this.#context;
		peers.handle('log.message', async ({payload}) => ({payload: await this.#core.log.handle(payload as MemberMessage)}));
		peers.handle('control.propose', async ({command, forwarded}) => this.#core.propose(command, {forwarded}));
		peers.handle('control.status', () => ({
			instance: settings.instance, leader: this.#core.log.leader, term: this.#core.log.term, quorumAgeMs: this.#core.log.computeQuorumAge(), revision: this.#core.state.items.revision,
		}));
		peers.handle('control.read-claim', async params => this.#readClaim(params));
		peers.handle('agent.register', async ({record}) => this.#registerEndpoint(record));
	}

	/** Reads a claim on the leader after a read barrier, so that every acknowledged write is visible. */
	async #readClaim(params: {workspace: string; key: string; forwarded?: boolean}): Promise<ClaimReadResult> {
		if (this.#core.log.isLeader) {
			const barrier = await this.#core.readBarrier();
			if (barrier.isErr()) {
				return {kind: 'unknown'};
			}

			const claim = this.#core.state.claims.read(params.workspace, params.key);
			return claim ? {kind: 'found', claim} : {kind: 'none'};
		}

		const connection = params.forwarded ? undefined : this.#core.findLeaderConnection();
		const reply = await connection?.request('control.read-claim', {...params, forwarded: true});
		return reply?.isOk() ? reply.value : {kind: 'unknown'};
	}

	async #registerEndpoint(record: EndpointRegistration): Promise<EpochGrant> {
		const reply = await this.#core.propose({kind: 'grant-epoch', record});
		if (reply.kind === 'unavailable' || !reply.outcome.ok) {
			throw new HickorytrackError('ERR_HICKORYTRACK_NOT_ACKNOWLEDGED', 'The controllers did not acknowledge the epoch of the endpoint');
		}

		const {epoch, succeeds} = reply.outcome.value as {epoch: number; succeeds: boolean};
		const waitMs = succeeds ? computeSuccessorWaitMs({leaseMs: this.#context.settings.leaseMs, orderTimeLimitMs}) : 0;
		return {
			endpoint: record.announcement.endpoint, epoch, term: this.#core.log.term, waitMs,
		};
	}

	/** On the leader, removes expired claims and quarantine entries, and endpoints whose agent is gone. */
	async #runExpiry(): Promise<void> {
		const {clock, events} = this.#context;
		while (!this.#core.stopped.signal.aborted) {
			await clock.sleep(expiryIntervalMs, this.#core.stopped.signal);
			if (!this.#core.log.isLeader) {
				continue;
			}

			if (this.#hasExpired()) {
				await this.#core.proposeAsLeader({kind: 'expire', at: 0});
			}

			for (const record of this.#core.state.endpoints.values()) {
				this.#fleet.startTracking(record.agent);
				if (this.#fleet.computeLastSeenAge(record.agent) > endpointRetentionMs) {
					const {endpoint} = record.announcement;
					await this.#core.proposeAsLeader({kind: 'forget-endpoint', endpoint, agentIncarnation: record.agentIncarnation});
					events.emit('endpointForgotten', {endpoint});
				}
			}
		}
	}

	#hasExpired(): boolean {
		const now = this.#context.clock.now();
		const {quarantine, claims} = this.#core.state;
		return quarantine.list().some(entry => entry.until <= now) || claims.hasExpired(now);
	}

	async #watchLeadership(): Promise<void> {
		const {clock, events} = this.#context;
		let wasLeader = false;
		let hadDiskFault = false;
		while (!this.#core.stopped.signal.aborted) {
			const {isLeader, term} = this.#core.log;
			const {diskFault} = this.#core.log.getStatus();
			if (isLeader !== wasLeader) {
				events.emit(isLeader ? 'leaderElected' : 'leadLost', {term});
			}

			if (diskFault && !hadDiskFault) {
				events.emit('diskFault', {data: this.#context.settings.data});
			}

			wasLeader = isLeader;
			hadDiskFault = diskFault;
			await clock.sleep(watchIntervalMs, this.#core.stopped.signal);
		}
	}
}

/** Registers the controller role. */
export function registerController(registry: PluginRegistry): void {
	registry.registerRole({role: 'controller', startOrder: 1, create: context => new ControllerPlugin(context)});
}
