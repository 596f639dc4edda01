/**
 * The connection of an entry or an agent to the controllers. One task maintains a subscription to one controller and
 * fails over to another one when the connection closes or the controller loses contact with its quorum; another task
 * watches the lease.
 *
 * Staleness: the items are valid while the last quorum contact is younger than the lease. When it is older, every
 * controller is probed. If a majority of them responds (or refuses the connection, which shows that it is not running)
 * and none has a leader with a quorum, no change can be committed anywhere, so the process may continue with its items.
 */
import {err, ok, type Result} from 'neverthrow';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import {HickorytrackError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import {Lease} from '@hickorytrack/fence/lease';
import {ItemStore} from '@hickorytrack/item-store';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {PeerNode} from '@hickorytrack/peer-link/peer-node';
import {computeBackoff, type Random} from '@hickorytrack/random';
import type {ClaimReadResult} from '@hickorytrack/types/claim';
import type {
	CommandOutcome, ControlCommand, ControlItem, EndpointRegistration, EpochGrant, ItemPage,
} from '@hickorytrack/types/control';
import type {
	DemandReport, LeaseRenewal, OperatorReply, WorkspaceDemand, WorkspaceShare,
} from '@hickorytrack/types/peer-methods';

export class ControlError extends HickorytrackError {
	/** Whether the command may have been applied. */
	readonly applied: 'no' | 'unknown';

	constructor(code: HickorytrackError['code'], message: string, opts: {applied: 'no' | 'unknown'; cause?: unknown}) {
		super(code, message, {cause: opts.cause, hint: 'Check that a majority of the controllers is running and reachable.'});
		this.applied = opts.applied;
	}
}

export type ControlClientOptions = {
	peers: PeerNode;
	clock: Clock;
	random: Random;
	events: EventLog;
	/** Addresses of the controllers. */
	controllers: readonly string[];
	/** Prefixes of the item keys that this process needs. */
	topics: string[];
	leaseMs: number;
};

/** Returns what a role reports with each lease reply: its demand and load since the previous reply. */
export type DemandSource = () => {demands: WorkspaceDemand[]; reports: DemandReport[]};
export type ItemListener = (items: readonly ControlItem[]) => void;
export type ShareListener = (shares: readonly WorkspaceShare[]) => void;

const retryBaseMs = 50;
const retryCapMs = 1000;
const commandTimeoutMs = 4000;
const statusTimeoutMs = 500;

export class ControlClient {
	readonly items = new ItemStore();
	readonly lease: Lease;
	readonly #opts: ControlClientOptions;
	readonly #demandSources: DemandSource[] = [];
	readonly #itemListeners: ItemListener[] = [];
	readonly #shareListeners: ShareListener[] = [];
	readonly #subscriptionListeners: Array<() => void> = [];
	readonly #abortController = new AbortController();
	readonly #noLeaderLease: Lease;
	#current: PeerConnection | undefined;
	#hasSubscribed = false;
	#wasFresh = false;
	#isEveryControllerUnreachable = false;
	#term = 0;

	constructor(opts: ControlClientOptions) {
		this.#opts = opts;
		this.lease = new Lease(opts.clock, opts.leaseMs);
		this.#noLeaderLease = new Lease(opts.clock, opts.leaseMs);
		this.#registerHandlers();
	}

	/** Tells whether the items are fresh enough to accept new work. */
	get isFresh(): boolean {
		if (!this.#hasSubscribed) {
			return false;
		}

		const canServeWithoutControllers = this.#isEveryControllerUnreachable && this.readSetting('lease.whenAllSilent') === 'serve';
		return this.lease.isHeld || this.#noLeaderLease.isHeld || canServeWithoutControllers;
	}

	get revision(): number {
		return this.items.revision;
	}

	get controller(): string | undefined {
		return this.#current?.isOpen ? this.#current.remote.instance : undefined;
	}

	get term(): number {
		return this.#term;
	}

	addDemandSource(source: DemandSource): void {
		this.#demandSources.push(source);
	}

	onItems(listener: ItemListener): void {
		this.#itemListeners.push(listener);
	}

	onShares(listener: ShareListener): void {
		this.#shareListeners.push(listener);
	}

	/** Registers a function that runs after each new subscription. */
	onSubscribed(listener: () => void): void {
		this.#subscriptionListeners.push(listener);
	}

	start(): void {
		void this.#runSubscription();
		void this.#watchLease();
	}

	stop(): void {
		this.#abortController.abort();
		this.#current?.close();
	}

	readSetting(name: string): string | number | boolean | undefined {
		const value = this.items.read(`setting/${name}`)?.value;
		return value?.kind === 'setting' ? value.value : undefined;
	}

	/** Merges items from a controller, or from another entry or agent with a higher revision. */
	merge(page: ItemPage): void {
		const changed = this.items.merge(page);
		if (changed.length > 0) {
			for (const listener of this.#itemListeners) {
				listener(changed);
			}

			this.#opts.events.emit('itemsApplied', {revision: this.items.revision, count: changed.length});
		}
	}

	/** Proposes a command. Retries while the command was certainly not applied, or whenever it is idempotent. */
	async propose(command: ControlCommand, opts: {timeoutMs?: number; isIdempotent?: boolean} = {}): Promise<Result<CommandOutcome, ControlError>> {
		const {clock} = this.#opts;
		const deadline = clock.monotonic() + (opts.timeoutMs ?? commandTimeoutMs);
		let applied: 'no' | 'unknown' = 'no';
		for (let attempt = 0; clock.monotonic() < deadline && !this.#abortController.signal.aborted; attempt++) {
			const connection = this.#current;
			if (connection?.isOpen) {
				const reply = await connection.request('control.propose', {command}, {timeoutMs: Math.max(1, deadline - clock.monotonic())});
				if (reply.isOk() && reply.value.kind === 'outcome') {
					return ok(reply.value.outcome);
				}

				const mayBeApplied = reply.isOk() ? reply.value.kind === 'unavailable' && reply.value.applied === 'unknown' : reply.error.sent;
				applied = mayBeApplied ? 'unknown' : applied;
				if (applied === 'unknown' && !opts.isIdempotent) {
					break;
				}
			}

			await clock.sleep(computeBackoff(attempt, {baseMs: retryBaseMs, capMs: retryCapMs / 2, random: this.#opts.random}), this.#abortController.signal);
		}

		return err(new ControlError('ERR_HICKORYTRACK_CONTROL_UNAVAILABLE', 'The controllers did not acknowledge the command before the timeout', {applied}));
	}

	/** Reads the current state of a claim from the controllers. */
	async readClaim(workspace: string, key: string): Promise<ClaimReadResult> {
		const reply = await this.#current?.request('control.read-claim', {workspace, key}, {timeoutMs: commandTimeoutMs});
		return reply?.isOk() ? reply.value : {kind: 'unknown'};
	}

	/** Registers an endpoint and returns its epoch. */
	async register(record: EndpointRegistration): Promise<Result<EpochGrant, ControlError>> {
		const reply = await this.#current?.request('agent.register', {record}, {timeoutMs: commandTimeoutMs});
		return reply?.isOk()
			? ok(reply.value)
			: err(new ControlError('ERR_HICKORYTRACK_CONTROL_UNAVAILABLE', 'No controller acknowledged the registration of the endpoint', {applied: 'unknown'}));
	}

	/** Forwards an operator's call to the controller. */
	async forwardOperatorCall(method: string, params: unknown, hops: number): Promise<OperatorReply> {
		const reply = await this.#current?.request('operator.call', {method, params, hops: hops + 1}, {timeoutMs: 10_000});
		return reply?.isOk()
			? reply.value
			: {
				ok: false, code: 'ERR_HICKORYTRACK_CONTROL_UNAVAILABLE', message: 'No controller can be reached', hint: 'Try another instance.',
			};
	}

	dump(): unknown {
		return {
			controller: this.controller, revision: this.revision, isFresh: this.isFresh, leaseRemainingMs: Math.round(this.lease.computeRemainingMs()), items: this.items.size,
		};
	}

	#registerHandlers(): void {
		const {peers} = this.#opts;
		peers.handle('control.items', ({page}, connection) => {
			if (connection === this.#current) {
				this.merge(page);
			}
		});
		peers.handle('control.lease', (renewal, connection) => {
			if (connection === this.#current) {
				this.#handleLeaseRenewal(connection, renewal);
			}

			const collected = this.#demandSources.map(source => source());
			return {revision: this.revision, demands: collected.flatMap(report => report.demands), reports: collected.flatMap(report => report.reports)};
		});
		peers.handle('control.shares', ({shares}) => {
			for (const listener of this.#shareListeners) {
				listener(shares);
			}
		});
		peers.handle('items.fetch', ({revision}) => this.items.listSince(revision));
	}

	#handleLeaseRenewal(connection: PeerConnection, renewal: LeaseRenewal): void {
		this.lease.renew(renewal.quorumAgeMs);
		this.#term = Math.max(this.#term, renewal.term);
		this.merge(renewal.page);
		// After half a lease without quorum contact the controller is probably partitioned; fail over to another one.
		if (renewal.quorumAgeMs > this.#opts.leaseMs / 2) {
			connection.close();
		}
	}

	async #runSubscription(): Promise<void> {
		const {controllers, random, clock} = this.#opts;
		let index = random.nextInteger(controllers.length);
		let failures = 0;
		while (!this.#abortController.signal.aborted) {
			const connection = await this.#subscribe(controllers[index % controllers.length]!);
			if (connection) {
				failures = 0;
				await connection.closed;
			}

			index++;
			failures++;
			await clock.sleep(computeBackoff(Math.floor(failures / controllers.length), {baseMs: retryBaseMs, capMs: retryCapMs, random}), this.#abortController.signal);
		}
	}

	async #subscribe(address: string): Promise<PeerConnection | undefined> {
		const {peers, events, topics} = this.#opts;
		const opened = await peers.connect(address);
		if (opened.isErr()) {
			return undefined;
		}

		const connection = opened.value;
		this.#current = connection;
		const reply = await connection.request('control.subscribe', {member: peers.member, revision: this.revision, topics});
		if (reply.isErr() || this.#abortController.signal.aborted) {
			connection.close();
			return undefined;
		}

		this.merge(reply.value.page);
		this.#hasSubscribed = true;
		events.emit('controllerChosen', {controller: connection.remote.instance, revision: this.revision});
		for (const listener of this.#subscriptionListeners) {
			listener();
		}

		return connection;
	}

	async #watchLease(): Promise<void> {
		const {clock, events, leaseMs} = this.#opts;
		while (!this.#abortController.signal.aborted) {
			await clock.sleep(leaseMs / 10, this.#abortController.signal);
			if (!this.lease.isHeld && this.#hasSubscribed && !this.#abortController.signal.aborted) {
				await this.#probeControllers();
			}

			if (this.isFresh !== this.#wasFresh) {
				this.#wasFresh = this.isFresh;
				events.emit(this.isFresh ? 'leaseHeld' : 'leaseLost', {revision: this.revision});
			}
		}
	}

	/** Determines whether the controllers have no leader or this process is partitioned from them. */
	async #probeControllers(): Promise<void> {
		const {controllers, events} = this.#opts;
		const results = await Promise.all(controllers.map(async address => this.#probeController(address)));
		const hasResponse = results.some(result => result !== 'unreachable');
		this.#isEveryControllerUnreachable = !hasResponse;
		const noLeaderCount = results.filter(result => result === 'no-leader' || result === 'refused').length;
		const hasLeader = results.includes('leader');
		if (!hasLeader && noLeaderCount > controllers.length / 2) {
			if (!this.#noLeaderLease.isHeld) {
				events.emit('leaderMissing', {revision: this.revision});
			}

			this.#noLeaderLease.renew(0);
		}
	}

	async #probeController(address: string): Promise<'leader' | 'no-leader' | 'refused' | 'unreachable'> {
		const opened = await waitWithTimeout(this.#opts.peers.connect(address), statusTimeoutMs, this.#opts.clock);
		if (!opened) {
			return 'unreachable';
		}

		if (opened.isErr()) {
			return opened.error.code === 'ERR_HICKORYTRACK_PEER_REFUSED' ? 'refused' : 'unreachable';
		}

		const status = await opened.value.request('control.status', {}, {timeoutMs: statusTimeoutMs});
		opened.value.close();
		if (status.isErr()) {
			return 'unreachable';
		}

		return status.value.leader !== undefined && status.value.quorumAgeMs < this.#opts.leaseMs ? 'leader' : 'no-leader';
	}
}
