/**
 * One member of the core: it keeps the replicated route configuration on its disk and, while it leads, acknowledges
 * changes, confirms reads and looks after the set of members. A member whose disk was lost, and a machine that replaces
 * another, join as learners and vote only once they hold the whole log.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';
import {HickorytrackError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import type {LogStorage, LogStorageError} from '@hickorytrack/log-storage';
import type {Mesh} from '@hickorytrack/mesh';
import type {Random} from '@hickorytrack/random';
import {ReplicatedLog} from '@hickorytrack/replicated-log';
import type {MemberMessage, MemberReply} from '@hickorytrack/replicated-log/member-messages';
import type {MemberInfo} from '@hickorytrack/replicated-log/member-set';
import {
	RouteStore, storeOutcomes, type StoredConfiguration, type StoreOutcome,
} from './route-store.js';

/** The role under which members of the core present themselves to other instances. */
export const coreRole = 'core';

export type CoreMemberOptions = {
	mesh: Mesh;
	storage: LogStorage;
	clock: Clock;
	random: Random;
	events: EventLog;
	/** Members whose loss at one moment must be borne; at genesis nothing is acknowledged before there are 2n + 1. */
	toleratedLosses: number;
	/** True when the whole system starts for the first time, with empty disks. */
	isFirstStart: boolean;
	/** Addresses that all members were given at the first start, in the same order. */
	seeds: readonly string[];
	onStored: (stored: StoredConfiguration) => void;
};

/** Bound of one proposal; callers repeat what has no answer, so it stays below their own second. */
const proposeTimeoutMs = 900;
const readTimeoutMs = 700;
const keepIntervalMs = 150;
const diskRetryMs = 500;
/** A voter that is silent for so long yields its place when another machine stands ready for it. */
const silentVoterMs = 2500;
/** A learner that is silent for so long is dropped. */
const silentLearnerMs = 10_000;
/** Time after the start at which a founder is chosen among the known members when no seed is one. */
const seedlessFounderMs = 2500;
/** After a stop of all members nobody leads; the first wait only has to cover the links' opening. */
const firstElectionMinMs = 120;
const firstElectionMaxMs = 400;
const snapshotRecords = 64; // A record holds a whole configuration, up to some hundred kilobytes.

export class CoreMemberError extends HickorytrackError {}

export class CoreMember {
	readonly store: RouteStore;
	readonly #opts: CoreMemberOptions;
	readonly #startedAt: number;
	readonly #ended = new AbortController();
	/** Members of the core that asked to be admitted, by address, with the identity of their data folder. */
	readonly #applicants = new Map<string, {folder: string; askedAt: number}>();
	#log: ReplicatedLog | undefined;
	#folder = '';
	#unannounced: StoredConfiguration | undefined;
	#wasLeader = false;
	#ledSince = Number.POSITIVE_INFINITY;
	#isJoining = false;
	#hasLostDisk = false;

	constructor(opts: CoreMemberOptions) {
		this.#opts = opts;
		this.#startedAt = opts.clock.monotonic();
		this.store = new RouteStore(stored => {
			this.#announceStored(stored);
		});
		const {mesh} = opts;
		mesh.peers.handle('log.message', async ({payload}) => ({payload: await this.#handleMessage(payload as MemberMessage)}));
		mesh.peers.handle('core.join', ({address, folder}) => {
			this.#applicants.set(address, {folder, askedAt: opts.clock.monotonic()});
			return {leader: this.leader};
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

	/** Time for which this member has led without a break, in milliseconds; undefined while it does not lead. */
	get leadershipAgeMs(): number | undefined {
		return this.isLeader && this.#wasLeader ? this.#opts.clock.monotonic() - this.#ledSince : undefined;
	}

	/** Returns the term once a majority has confirmed that this member leads; undefined when it may not. */
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
	 * Opens the log and takes part in the core. A disk that fails is tried again until it works; a log that is corrupt is
	 * dropped, and this member joins again as one whose disk was lost.
	 */
	async run(): Promise<void> {
		const {clock, events, storage} = this.#opts;
		while (!this.#ended.signal.aborted) {
			const opened = await this.#openLog([]);
			if (opened.isOk()) {
				await this.#keepMembers();
				return;
			}

			const {code, message} = opened.error;
			events.emit('diskFault', {code, message});
			if (code === 'ERR_HICKORYTRACK_LOG_CORRUPT') {
				await storage.discard();
				this.#hasLostDisk = true;
			}

			await clock.sleep(diskRetryMs, this.#ended.signal);
		}
	}

	async stop(): Promise<void> {
		this.#ended.abort();
		await this.#log?.stop();
	}

	/** Stores a configuration; an error means that it may or may not come into force. */
	async put(stored: StoredConfiguration): Promise<Result<StoreOutcome, CoreMemberError>> {
		const log = this.#log;
		if (!log?.isLeader || !this.#isFormed()) {
			return err(this.#createUnavailableError());
		}

		// A document that is held is acknowledged only by a leader that is sure to hold the newest state.
		const confirmed = await log.readBarrier({timeoutMs: readTimeoutMs});
		if (confirmed.isErr()) {
			return err(this.#createUnavailableError(confirmed.error));
		}

		const judged = this.store.getOutcome(stored);
		if (judged !== storeOutcomes.stored) {
			return ok(judged);
		}

		const proposed = await log.propose(stored, {timeoutMs: proposeTimeoutMs});
		return proposed.map(outcome => outcome as StoreOutcome).mapErr(error => this.#createUnavailableError(error));
	}

	/** Returns the newest acknowledged configuration, confirmed by a majority. */
	async read(): Promise<Result<StoredConfiguration | undefined, CoreMemberError>> {
		const log = this.#log;
		if (!log?.isLeader || !this.#isFormed()) {
			return err(this.#createUnavailableError());
		}

		const confirmed = await log.readBarrier({timeoutMs: readTimeoutMs});
		return confirmed.map(() => this.store.current).mapErr(error => this.#createUnavailableError(error));
	}

	dump(): unknown {
		return {status: this.#log?.getStatus(), version: this.store.current?.version, applicants: [...this.#applicants.keys()]};
	}

	/** After a start, many records are applied in one turn; only the newest configuration matters. */
	#announceStored(stored: StoredConfiguration): void {
		const isWaiting = this.#unannounced !== undefined;
		this.#unannounced = stored;
		if (!isWaiting) {
			queueMicrotask(() => {
				this.#opts.onStored(this.#unannounced!);
				this.#unannounced = undefined;
			});
		}
	}

	async #openLog(initialMembers: MemberInfo[]): Promise<Result<void, LogStorageError>> {
		const {clock, random, storage, mesh} = this.#opts;
		const log = new ReplicatedLog({
			id: mesh.address, initialMembers, storage, clock, random, stateMachine: this.store, timing: {snapshotRecords, firstElectionMinMs, firstElectionMaxMs}, transport: {
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
			throw new CoreMemberError('ERR_HICKORYTRACK_MEMBER_UNREACHABLE', `No reply from ${to.id}`);
		}

		return reply.value.payload as MemberReply;
	}

	async #handleMessage(message: MemberMessage): Promise<MemberReply> {
		if (!this.#log) {
			throw new CoreMemberError('ERR_HICKORYTRACK_LOG_STOPPED', 'The log of this member is not open yet');
		}

		return this.#log.handle(message);
	}

	/** At genesis one disk is not enough to acknowledge anything on. */
	#isFormed(): boolean {
		const voters = this.#log!.getStatus().members.filter(member => member.voter).length;
		return this.store.current !== undefined || voters >= (2 * this.#opts.toleratedLosses) + 1;
	}

	async #keepMembers(): Promise<void> {
		const {clock} = this.#opts;
		while (!this.#ended.signal.aborted) {
			const log = this.#log!;
			if (log.isLeader !== this.#wasLeader) {
				this.#wasLeader = log.isLeader;
				this.#ledSince = log.isLeader ? clock.monotonic() : Number.POSITIVE_INFINITY;
				this.#opts.events.emit(this.#wasLeader ? 'leaderElected' : 'leadLost', {term: log.term});
			}

			if (log.isLeader) {
				await this.#changeOneMember();
			} else if (this.#mayFound()) {
				await this.#found();
			} else if (!this.#isVoter()) {
				this.#askToJoin();
			}

			await clock.sleep(keepIntervalMs, this.#ended.signal);
		}
	}

	#isVoter(): boolean {
		const own = this.#log!.getStatus().members.find(member => member.id === this.#opts.mesh.address);
		return own !== undefined && own.voter && (own.folder === undefined || own.folder === this.#folder);
	}

	/** Exactly one machine begins the log: the first seed that is a member of the core. */
	#mayFound(): boolean {
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

		const lowest = mesh.listMembers(coreRole).map(member => member.address).sort()[0];
		return clock.monotonic() - this.#startedAt > seedlessFounderMs && (lowest === undefined || mesh.address < lowest);
	}

	async #found(): Promise<void> {
		const {mesh, events} = this.#opts;
		await this.#log!.stop();
		const opened = await this.#openLog([{id: mesh.address, address: mesh.address, voter: true}]);
		events.emit('coreFounded', {address: mesh.address, ok: opened.isOk()});
	}

	#askToJoin(): void {
		const {mesh} = this.#opts;
		for (const member of mesh.listMembers(coreRole)) {
			void mesh.findConnection(member.address)?.request('core.join', {address: mesh.address, folder: this.#folder}).then(reply => {
				this.#isJoining ||= reply.isOk() && reply.value.leader !== undefined;
			});
		}
	}

	/** Carries out the first change of members that is due; the log takes one at a time. */
	async #changeOneMember(): Promise<void> {
		const log = this.#log!;
		const {members} = log.getStatus();
		const silent = this.#findSilent(members);
		if (silent !== undefined) {
			this.#note('removed', silent, await log.removeMember(silent));
			return;
		}

		for (const [address, {folder, askedAt}] of this.#applicants) {
			const isOld = this.#opts.clock.monotonic() - askedAt > silentVoterMs;
			const member = members.find(candidate => candidate.id === address);
			if (isOld || (member?.voter && member.folder === folder)) {
				this.#applicants.delete(address);
				continue;
			}

			if (!member) {
				this.#note('added as learner', address, await log.addLearner({id: address, address}));
				return;
			}

			if (member.voter && member.folder !== undefined && member.folder !== folder) {
				this.#note('lost its vote with its disk', address, await log.demoteMember(address));
				return;
			}

			if (!member.voter && log.getMemberProgress(address).folder === folder) {
				this.#note('votes', address, await log.promoteLearner(address));
			}
		}
	}

	#findSilent(members: readonly MemberInfo[]): string | undefined {
		const log = this.#log!;
		const age = (member: MemberInfo) => log.getMemberProgress(member.id).contactAgeMs;
		const others = members.filter(member => member.id !== this.#opts.mesh.address).sort((a, b) => age(b) - age(a));
		const voters = members.filter(member => member.voter).length;
		const learner = others.find(member => !member.voter && age(member) > silentLearnerMs && this.#hasLedFor(silentLearnerMs));
		const hasSpare = voters > (2 * this.#opts.toleratedLosses) + 1
			|| others.some(member => !member.voter && age(member) < keepIntervalMs * 2 && log.getMemberProgress(member.id).matchIndex >= log.getStatus().commitIndex);
		const voter = hasSpare ? others.find(member => member.voter && age(member) > silentVoterMs && this.#hasLedFor(silentVoterMs)) : undefined;
		return voter?.id ?? learner?.id;
	}

	/** A new leader has not heard of the others yet. */
	#hasLedFor(ms: number): boolean {
		return this.#opts.clock.monotonic() - this.#ledSince > ms;
	}

	#note(change: string, address: string, result: Result<void, HickorytrackError>): void {
		if (result.isOk()) {
			this.#opts.events.emit('coreMemberChanged', {change, address});
		} else {
			this.#opts.events.emit('coreMemberRefused', {change, address, message: result.error.message});
		}
	}

	#createUnavailableError(cause?: unknown): CoreMemberError {
		return new CoreMemberError('ERR_HICKORYTRACK_CORE_UNAVAILABLE', 'No majority of the core confirmed the configuration', {cause, hint: 'Send the same change again.'});
	}
}
