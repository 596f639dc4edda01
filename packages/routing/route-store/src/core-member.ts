/**
 * A member of the core, the group that replicates the route configuration. It keeps the log on its disk and, while it
 * leads, acknowledges changes, confirms reads and manages the membership. A member that lost its disk, or a machine that
 * replaces another one, joins as a learner and votes only once it has the whole log.
 */
import {err, ok, type Result} from 'neverthrow';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import {BanStore, type BanCommand, type BanRecord} from '@hickorytrack/crash-attribution/ban-store';
import {HickorytrackError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import type {LogStorage, LogStorageError} from '@hickorytrack/log-storage';
import type {Mesh} from '@hickorytrack/mesh';
import type {Random} from '@hickorytrack/random';
import {ReplicatedLog} from '@hickorytrack/replicated-log';
import type {MemberMessage, MemberReply} from '@hickorytrack/replicated-log/member-messages';
import type {MemberInfo} from '@hickorytrack/replicated-log/member-set';
import {parseMemberMessage, parseMemberReply} from '@hickorytrack/replicated-log/parse-member-message';
import {OriginCore} from '@hickorytrack/stream-origins/origin-core';
import {OriginStore} from '@hickorytrack/stream-origins/origin-store';
import {UsageStore, type UsageCommand} from '@hickorytrack/usage-windows/usage-store';
import {CoreMembership} from './core-membership.js';
import {CoreState} from './core-state.js';
import {
	RouteStore, storeOutcomes, type StoredConfiguration, type StoreOutcome,
} from './route-store.js';

/** Role that members of the core advertise to other instances. */
export const coreRole = 'core';

export type CoreMemberOptions = {
	mesh: Mesh;
	storage: LogStorage;
	clock: Clock;
	random: Random;
	events: EventLog;
	/** Number n of simultaneous failures to tolerate; the first configuration is acknowledged only with 2n + 1 voters. */
	toleratedLosses: number;
	/** True when the whole system starts for the first time, with empty disks; only then may a member bootstrap the log. */
	isFirstStart: boolean;
	/** Addresses configured on all members at the first start, in the same order. */
	seeds: readonly string[];
	onStored: (stored: StoredConfiguration) => void;
	/** Called with bans that the log of this member holds. */
	onBans: (records: readonly BanRecord[]) => void;
	/** Without it, errors of tasks and listeners are printed as warnings. */
	tasks?: BackgroundTasks;
};

/** Timeout of one proposal. Callers retry after their own timeout of 1 s, so it is shorter. */
const proposeTimeoutMs = 900;
const readTimeoutMs = 700;
const membershipIntervalMs = 150;
const diskRetryMs = 500;
/** A member that has heard no leader for this time asks whether it is still a voter; longer than most elections take. */
const leaderContactTimeoutMs = 1500;
/** A voter that has heard no leader for this time reports why none is elected; several elections fit into it. */
const leaderlessReportMs = 3000;
/** Delay after the start before the member with the lowest address bootstraps the log if no seed belongs to the core. */
const seedlessBootstrapDelayMs = 2500;
/** After a restart of all members there is no leader; the first election only has to wait until connections are open. */
const firstElectionMinMs = 120;
const firstElectionMaxMs = 400;
const snapshotRecords = 64; // Each record holds a whole configuration of up to a few hundred kilobytes.

export class CoreMemberError extends HickorytrackError {}

export class CoreMember {
	readonly store: RouteStore;
	readonly originStore = new OriginStore();
	readonly origins: OriginCore;
	readonly banStore: BanStore;
	readonly usageStore = new UsageStore();
	readonly #opts: CoreMemberOptions;
	readonly #tasks: BackgroundTasks;
	readonly #reportNewest: () => void;
	readonly #startedAt: number;
	readonly #abortController = new AbortController();
	readonly #membership: CoreMembership;
	#log: ReplicatedLog | undefined;
	#folder = '';
	#pendingReport: StoredConfiguration | undefined;
	#wasLeader = false;
	#leaderSince = Number.POSITIVE_INFINITY;
	#isJoining = false;
	#isRemoved = false;
	#isLeaving = false;
	#hasLostDisk = false;
	/** The votes that were last reported, while no leader is heard. */
	#reportedVotes: string | undefined;

	constructor(opts: CoreMemberOptions) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
		this.#reportNewest = this.#tasks.createListener('configuration-stored', () => {
			const stored = this.#pendingReport!;
			this.#pendingReport = undefined;
			opts.onStored(stored);
		});
		this.#startedAt = opts.clock.monotonic();
		this.store = new RouteStore(stored => {
			this.#reportStored(stored);
		});
		this.banStore = new BanStore(this.#tasks.createListener('bans-stored', opts.onBans));
		this.origins = new OriginCore({
			clock: opts.clock, store: this.originStore, propose: async command => {
				const proposed = await this.#log?.propose(command, {timeoutMs: proposeTimeoutMs});
				return proposed?.isOk() ?? false;
			}, confirm: async () => this.store.current !== undefined && await this.confirmLeadership() !== undefined,
		});
		const {mesh} = opts;
		mesh.peers.handle('log.message', async ({payload}) => ({payload: await this.#handleMessage(parseMemberMessage(payload))}));
		this.#membership = new CoreMembership({
			address: mesh.address, clock: opts.clock, events: opts.events, toleratedLosses: opts.toleratedLosses, getLeadershipAgeMs: () => this.leadershipAgeMs ?? 0,
		});
		mesh.peers.handle('core.join', ({address, folder}) => {
			this.#membership.requestJoin(address, folder);
			return {leader: this.leader, isVoter: this.isLeader ? this.#isVoterAt(address, folder) : undefined};
		});
		mesh.peers.handle('core.leave', ({address}) => {
			this.#membership.requestLeave(address);
		});
	}

	get isLeader(): boolean {
		return this.#log?.isLeader ?? false;
	}

	get leader(): string | undefined {
		return this.#log?.leader;
	}

	get term(): number {
		return this.#log?.term ?? 0;
	}

	/** False for a learner, and for a member that the leader has removed, even if its own log lists it as a voter. */
	get isVoter(): boolean {
		return this.#log !== undefined && !this.#isRemoved && this.#isListed();
	}

	/** Lists the addresses of the voters by the log of this member. */
	listVoters(): string[] {
		return (this.#log?.getStatus().members ?? []).filter(({voter}) => voter).map(({address}) => address);
	}

	/** Time since this member became the leader, in milliseconds; undefined while it does not lead. */
	get leadershipAgeMs(): number | undefined {
		return this.isLeader && this.#wasLeader ? this.#opts.clock.monotonic() - this.#leaderSince : undefined;
	}

	/** Returns the term once a majority has confirmed this member as the leader; undefined if it is not confirmed. */
	async confirmLeadership(): Promise<number | undefined> {
		const log = this.#log;
		if (!log?.isLeader) {
			return undefined;
		}

		const {term} = log;
		const confirmed = await log.readBarrier({timeoutMs: readTimeoutMs});
		return confirmed.isOk() && log.isLeader && log.term === term ? term : undefined;
	}

	/**
	 * Opens the log and takes part in the core. A disk fault is retried until the log opens. A corrupt log is discarded, and
	 * the member rejoins like one that lost its disk.
	 */
	async run(): Promise<void> {
		const {clock, events, storage} = this.#opts;
		while (!this.#abortController.signal.aborted) {
			// The log is open already if the membership has failed and is run again.
			const result = this.#log ? ok(undefined) : await this.#openLog([]);
			if (result.isOk()) {
				await this.#runMembership();
				return;
			}

			const {code, message} = result.error;
			events.emit('diskFault', {code, message});
			if (code === 'ERR_HICKORYTRACK_LOG_CORRUPT') {
				await storage.discard();
				this.#hasLostDisk = true;
			}

			await clock.sleep(diskRetryMs, this.#abortController.signal);
		}
	}

	/**
	 * Asks the leader to remove this member, which is about to stop and may be replaced, as soon as the core has more voters than
	 * it needs. A leader removes itself and steps down. Until the stop the member doesn't ask to join again.
	 */
	releaseVote(): void {
		this.#isLeaving = true;
	}

	async stop(): Promise<void> {
		this.#abortController.abort();
		await this.#log?.stop();
	}

	/** Stores a configuration; after an error it may or may not take effect. */
	async put(stored: StoredConfiguration): Promise<Result<StoreOutcome, CoreMemberError>> {
		const log = this.#log;
		if (!log?.isLeader || !this.#isBootstrapped()) {
			return err(this.#createUnavailableError());
		}

		// The barrier ensures that this member still leads and has the newest state before it answers from that state.
		const confirmed = await log.readBarrier({timeoutMs: readTimeoutMs});
		if (confirmed.isErr()) {
			return err(this.#createUnavailableError(confirmed.error));
		}

		const expectedOutcome = this.store.getOutcome(stored);
		if (expectedOutcome !== storeOutcomes.stored) {
			return ok(expectedOutcome);
		}

		const proposed = await log.propose(stored, {timeoutMs: proposeTimeoutMs});
		return proposed.map(outcome => outcome as StoreOutcome).mapErr(error => this.#createUnavailableError(error));
	}

	/** Stores a change of the bans; resolves with false without a confirmation by a majority. */
	async putBans(command: BanCommand): Promise<boolean> {
		const proposed = await this.#log?.propose(command, {timeoutMs: proposeTimeoutMs});
		return proposed?.isOk() ?? false;
	}

	/** Stores a change of the usage; resolves with false without a confirmation by a majority. */
	async putUsage(command: UsageCommand): Promise<boolean> {
		const proposed = await this.#log?.propose(command, {timeoutMs: proposeTimeoutMs});
		return proposed?.isOk() ?? false;
	}

	/** Returns the newest acknowledged configuration, confirmed by a majority. */
	async read(): Promise<Result<StoredConfiguration | undefined, CoreMemberError>> {
		const log = this.#log;
		if (!log?.isLeader || !this.#isBootstrapped()) {
			return err(this.#createUnavailableError());
		}

		const confirmed = await log.readBarrier({timeoutMs: readTimeoutMs});
		return confirmed.map(() => this.store.current).mapErr(error => this.#createUnavailableError(error));
	}

	dump(): unknown {
		return {
			status: this.#log?.getStatus(), isVoter: this.isVoter, isRemoved: this.#isRemoved, version: this.store.current?.version, streamOrigins: this.originStore.streamCount, versions: this.originStore.listVersions(), bans: this.banStore.list().map(({trait}) => trait), usage: {decidedTo: this.usageStore.decidedTo, waiting: this.usageStore.waitingCount}, applicants: this.#membership.listApplicants(),
		};
	}

	/** Reports only the newest of the configurations that are applied in one turn of the event loop. Many are applied at a start. */
	#reportStored(stored: StoredConfiguration): void {
		const isScheduled = this.#pendingReport !== undefined;
		this.#pendingReport = stored;
		if (!isScheduled) {
			queueMicrotask(this.#reportNewest);
		}
	}

	async #openLog(initialMembers: MemberInfo[]): Promise<Result<void, LogStorageError>> {
		const {clock, random, storage, mesh} = this.#opts;
		const log = new ReplicatedLog({
			id: mesh.address, initialMembers, storage, clock, random, tasks: this.#tasks, stateMachine: new CoreState(this.store, {origins: this.originStore, bans: this.banStore, usage: this.usageStore}), timing: {snapshotRecords, firstElectionMinMs, firstElectionMaxMs}, transport: {
				call: async (to, message, timeoutMs) => this.#callMember(to, message, timeoutMs),
			},
		});
		const started = await log.start();
		if (started.isOk()) {
			this.#log = log;
			this.#folder = log.folder;
		}

		return started;
	}

	async #callMember(to: MemberInfo, message: MemberMessage, timeoutMs: number): Promise<MemberReply> {
		const connection = this.#opts.mesh.findConnection(to.address);
		const reply = await connection?.request('log.message', {payload: message}, {timeoutMs});
		if (!reply?.isOk()) {
			throw new CoreMemberError('ERR_HICKORYTRACK_MEMBER_UNREACHABLE', `No reply from core member ${to.id}`);
		}

		return parseMemberReply(reply.value.payload);
	}

	async #handleMessage(message: MemberMessage): Promise<MemberReply> {
		if (!this.#log) {
			throw new CoreMemberError('ERR_HICKORYTRACK_LOG_STOPPED', 'The replicated log of this core member is not open yet');
		}

		return this.#log.handle(message);
	}

	/** The first configuration is acknowledged only with all 2n + 1 voters, so that it is never on one disk alone. */
	#isBootstrapped(): boolean {
		const voters = this.#log!.getStatus().members.filter(member => member.voter).length;
		return this.store.current !== undefined || voters >= (2 * this.#opts.toleratedLosses) + 1;
	}

	async #runMembership(): Promise<void> {
		const {clock} = this.#opts;
		while (!this.#abortController.signal.aborted) {
			const log = this.#log!;
			if (log.isLeader !== this.#wasLeader) {
				this.#wasLeader = log.isLeader;
				this.#leaderSince = log.isLeader ? clock.monotonic() : Number.POSITIVE_INFINITY;
				this.#opts.events.emit(this.#wasLeader ? 'leaderElected' : 'leadLost', {term: log.term});
			}

			if (log.isLeader) {
				this.#setRemoved(false);
				if (this.#isLeaving) {
					this.#membership.requestLeave(this.#opts.mesh.address);
				}

				await this.#membership.update(log, membershipIntervalMs);
			} else if (this.#isLeaving) {
				this.#requestLeave();
			} else if (this.#canBootstrap()) {
				await this.#bootstrap();
			} else if (!this.#isListed() || !this.#hasLeaderContact()) {
				// A removed member gets no messages any more, so its own log may still list it as a voter.
				this.#requestJoin();
			} else {
				this.#setRemoved(false);
			}

			this.#reportElections();
			await clock.sleep(membershipIntervalMs, this.#abortController.signal);
		}
	}

	/** Reports the answers to requests for votes while no leader is elected: at first, and when they have changed. */
	#reportElections(): void {
		if (this.#isLeaving || !this.#isListed() || this.#log!.computeLeaderContactAge() <= leaderlessReportMs) {
			this.#reportedVotes = undefined;
			return;
		}

		const {members, lastElection} = this.#log!.getStatus();
		const votes = JSON.stringify(lastElection?.votes);
		if (lastElection && votes !== this.#reportedVotes) {
			this.#reportedVotes = votes;
			this.#opts.events.emit('coreWithoutLeader', {...lastElection, voters: members.filter(member => member.voter).length});
		}
	}

	#isVoterAt(address: string, folder: string): boolean {
		return this.#log!.getStatus().members.some(member => member.id === address && member.voter && (member.folder === undefined || member.folder === folder));
	}

	/** Tells whether this member is a voter by its own log. */
	#isListed(): boolean {
		return this.#isVoterAt(this.#opts.mesh.address, this.#folder);
	}

	#hasLeaderContact(): boolean {
		return this.#log!.computeLeaderContactAge() <= leaderContactTimeoutMs;
	}

	#setRemoved(isRemoved: boolean): void {
		if (this.#isRemoved !== isRemoved) {
			this.#isRemoved = isRemoved;
			this.#opts.events.emit(isRemoved ? 'coreMembershipLost' : 'coreMembershipRestored', {address: this.#opts.mesh.address, term: this.term});
		}
	}

	/** Returns whether this member creates the log. Exactly one member may: the first seed that belongs to the core. */
	#canBootstrap(): boolean {
		const {isFirstStart, seeds, mesh, clock} = this.#opts;
		if (!isFirstStart || this.#hasLostDisk || this.#isJoining || this.#log!.getStatus().members.length > 0) {
			return false;
		}

		for (const seed of seeds) {
			if (seed === mesh.address) {
				return true;
			}

			const member = mesh.findMember(seed);
			if (!member || member.roles.includes(coreRole)) {
				return false;
			}
		}

		const lowestAddress = mesh.listMembers(coreRole).map(member => member.address).sort()[0];
		return clock.monotonic() - this.#startedAt > seedlessBootstrapDelayMs && (lowestAddress === undefined || mesh.address < lowestAddress);
	}

	async #bootstrap(): Promise<void> {
		const {mesh, events} = this.#opts;
		await this.#log!.stop();
		const opened = await this.#openLog([{id: mesh.address, address: mesh.address, voter: true}]);
		events.emit('coreFounded', {address: mesh.address, ok: opened.isOk()});
	}

	#requestJoin(): void {
		const {mesh} = this.#opts;
		for (const member of mesh.listMembers(coreRole)) {
			this.#tasks.start('core-join', async () => {
				const reply = await mesh.findConnection(member.address)?.request('core.join', {address: mesh.address, folder: this.#folder});
				if (reply?.isOk()) {
					this.#handleJoinReply(reply.value);
				}
			});
		}
	}

	#requestLeave(): void {
		const {mesh} = this.#opts;
		for (const member of mesh.listMembers(coreRole)) {
			this.#tasks.start('core-leave', async () => {
				await mesh.findConnection(member.address)?.request('core.leave', {address: mesh.address});
			});
		}
	}

	#handleJoinReply({leader, isVoter}: {leader?: string; isVoter?: boolean}): void {
		this.#isJoining ||= leader !== undefined;
		if (isVoter === false && this.#isListed() && !this.#hasLeaderContact()) {
			this.#setRemoved(true);
		}
	}

	#createUnavailableError(cause?: unknown): CoreMemberError {
		return new CoreMemberError('ERR_HICKORYTRACK_CORE_UNAVAILABLE', 'No majority of the core confirmed the configuration', {cause, hint: 'Retry the same change.'});
	}
}
