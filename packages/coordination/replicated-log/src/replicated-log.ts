/**
 * A log of commands that a majority of its members agrees on, after the Raft algorithm (Ongaro and Ousterhout, "In Search
 * of an Understandable Consensus Algorithm", 2014), with pre-vote, a leader that steps down by its own clock, learners,
 * one change of members at a time, and snapshots.
 *
 * A command is acknowledged only when a majority has synced it and the local state machine has applied it. Errors carry
 * `applied`: `no` means that the command has no effect now or later, `unknown` that it may have one.
 */
import {setMaxListeners} from 'node:events';
import {err, ok, type Result} from 'neverthrow';
import {waitAtMost, type Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {noStepPoints, type StepPoints} from '@hickorytrack/step-points';
import type {
	LogRecord, LogStorage, LogStorageError, RecordKind,
} from '@hickorytrack/log-storage';
import {Elector} from './elector.js';
import {Follower} from './follower.js';
import type {MemberMessage, MemberReply, MemberTransport} from './member-messages.js';
import {type MemberSet, type MemberInfo} from './member-set.js';
import {
	defaultLogTiming, MemberState, ReplicatedLogError, type LogTiming, type MemberRole,
} from './member-state.js';
import {Replicator} from './replicator.js';

/** What the log drives. It must be deterministic: the same commands in the same order give the same state. */
export type StateMachine = {
	apply(command: unknown, index: number): unknown;
	takeSnapshot(): unknown;
	restoreSnapshot(state: unknown): void;
};

export type ReplicatedLogOptions = {
	id: string;
	/** Members of a new log; none for a member that joins an existing one. */
	initialMembers: readonly MemberInfo[];
	storage: LogStorage;
	transport: MemberTransport;
	stateMachine: StateMachine;
	clock: Clock;
	random: Random;
	timing?: Partial<LogTiming>;
	steps?: StepPoints;
};

export type LogStatus = {
	id: string;
	role: MemberRole;
	term: number;
	leader?: string;
	lastIndex: number;
	commitIndex: number;
	appliedIndex: number;
	snapshotIndex: number;
	quorumAgeMs: number;
	diskFault: boolean;
	members: MemberInfo[];
};

type Waiter = {
	term: number;
	settle: (result: Result<unknown, ReplicatedLogError>) => void;
};

const defaultProposeTimeoutMs = 5000;
const barrierPollMs = 5;

export class ReplicatedLog {
	readonly #opts: ReplicatedLogOptions;
	readonly #timing: LogTiming;
	readonly #steps: StepPoints;
	readonly #ended = new AbortController();
	readonly #waiters = new Map<number, Waiter>();
	#state: MemberState | undefined;
	#follower: Follower | undefined;
	#replicator: Replicator | undefined;
	#appliedIndex = 0;
	#isWriting = false;
	#isSnapshotting = false;
	#firstIndexOfTerm = 0;
	#ruleStartedAt = Number.NEGATIVE_INFINITY;

	constructor(opts: ReplicatedLogOptions) {
		// Every read barrier sleeps on this signal.
		setMaxListeners(0, this.#ended.signal);
		this.#opts = opts;
		this.#timing = {...defaultLogTiming, ...opts.timing};
		this.#steps = opts.steps ?? noStepPoints;
	}

	get id(): string {
		return this.#opts.id;
	}

	/** Identity of the data folder that this member's promises stand on. */
	get folder(): string {
		return this.#state?.folder ?? '';
	}

	get isLeader(): boolean {
		return this.#checkRule();
	}

	get leader(): string | undefined {
		if (!this.#state) {
			return undefined;
		}

		return this.#checkRule() ? this.id : this.#state.leader;
	}

	get term(): number {
		return this.#state?.term ?? 0;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Opens the storage and starts the tasks. */
	async start(): Promise<Result<void, LogStorageError>> {
		const opened = await this.#opts.storage.open();
		if (opened.isErr()) {
			return err(opened.error);
		}

		const state = new MemberState(this.id, opened.value, {storage: this.#opts.storage, clock: this.#opts.clock, initialMembers: this.#opts.initialMembers});
		this.#state = state;
		this.#follower = new Follower(state, {
			clock: this.#opts.clock,
			timing: this.#timing,
			isLeading: () => this.#checkRule(),
			stepDown: () => {
				if (this.#replicator) {
					this.#endRule();
				}
			},
			commitUpTo: index => {
				this.#advanceCommit(index);
			},
			onTruncate: index => {
				this.#failWaitersFrom(index);
			},
			restore: async snapshot => {
				this.#opts.stateMachine.restoreSnapshot(snapshot.state);
				this.#appliedIndex = snapshot.index;
				state.commitIndex = snapshot.index;
				await this.#steps.reach('snapshot.installed', this.id);
			},
		});
		if (state.snapshot) {
			this.#opts.stateMachine.restoreSnapshot(state.snapshot.state);
			this.#appliedIndex = state.snapshot.index;
		}

		const elector = new Elector(state, {
			...this.#opts, timing: this.#timing, steps: this.#steps, signal: this.#ended.signal, onElected: () => {
				this.#startRule();
			},
		});
		void elector.run();
		void this.#watchRule();
		return ok(undefined);
	}

	async stop(): Promise<void> {
		if (this.#state) {
			this.#state.stopped = true;
		}

		this.#ended.abort();
		this.#endRule();
		await this.#state?.close();
	}

	/** Proposes a command at the leader and returns what the state machine answered. */
	async propose(command: unknown, opts: {timeoutMs?: number} = {}): Promise<Result<unknown, ReplicatedLogError>> {
		if (!this.#checkRule()) {
			return err(this.#createNotLeaderError());
		}

		return this.#proposeRecord('command', command, opts.timeoutMs);
	}

	/** Waits until this member has applied everything that was acknowledged before the call; only the leader can tell. */
	async readBarrier(opts: {timeoutMs?: number} = {}): Promise<Result<number, ReplicatedLogError>> {
		const {clock} = this.#opts;
		if (!this.#checkRule()) {
			return err(this.#createNotLeaderError());
		}

		const askedAt = clock.monotonic();
		const {term} = this;
		const until = askedAt + (opts.timeoutMs ?? defaultProposeTimeoutMs);
		const index = Math.max(this.#state!.commitIndex, this.#firstIndexOfTerm);
		this.#replicator!.wake();
		while (clock.monotonic() < until) {
			if (!this.#checkRule() || this.term !== term) {
				return err(this.#createNotLeaderError());
			}

			if (this.#appliedIndex >= index && this.#replicator!.computeQuorumContactTime() >= askedAt) {
				return ok(this.#appliedIndex);
			}

			await clock.sleep(barrierPollMs, this.#ended.signal);
		}

		return err(new ReplicatedLogError('ERR_HICKORYTRACK_LOG_TIMEOUT', 'A majority did not confirm the leader in time', {applied: 'no'}));
	}

	/** Adds a member that receives the log but does not vote. */
	async addLearner(member: Omit<MemberInfo, 'voter'>): Promise<Result<void, ReplicatedLogError>> {
		return this.#changeMembers(set => set.replace({...member, voter: false}));
	}

	/** Makes a learner a voter, once it holds the whole log on its disk. */
	async promoteLearner(id: string): Promise<Result<void, ReplicatedLogError>> {
		if (!this.#checkRule()) {
			return err(this.#createNotLeaderError());
		}

		const lag = this.#state!.commitIndex - this.#replicator!.findMatchIndex(id);
		const folder = this.#replicator!.findFolder(id);
		const member = this.#state!.members.find(id);
		if (!member || folder === undefined || lag > 0) {
			return err(this.#refuseMembers(`${id} is not a learner that holds the whole log; it misses ${lag} records`));
		}

		return this.#changeMembers(set => set.replace({...member, voter: true, folder}));
	}

	/** Takes the vote from a member, for example one whose disk was lost. It stays as a learner. */
	async demoteMember(id: string): Promise<Result<void, ReplicatedLogError>> {
		return this.#changeMembers(set => {
			const member = set.find(id);
			return member ? set.replace({id: member.id, address: member.address, voter: false}) : set;
		});
	}

	async removeMember(id: string): Promise<Result<void, ReplicatedLogError>> {
		return this.#changeMembers(set => set.remove(id));
	}

	getStatus(): LogStatus {
		const state = this.#state;
		return {
			id: this.id,
			role: state?.role ?? 'follower',
			term: this.term,
			leader: this.leader,
			lastIndex: state?.window.lastIndex ?? 0,
			commitIndex: state?.commitIndex ?? 0,
			appliedIndex: this.#appliedIndex,
			snapshotIndex: state?.window.baseIndex ?? 0,
			quorumAgeMs: this.computeQuorumAge(),
			diskFault: state?.diskFault ?? false,
			members: [...state?.members.members ?? []],
		};
	}

	/** Returns how far a member's synced log reaches and when it last answered; only the leader knows. */
	getMemberProgress(id: string): {matchIndex: number; contactAgeMs: number; folder?: string} {
		return {
			matchIndex: this.#replicator?.findMatchIndex(id) ?? 0,
			contactAgeMs: this.#replicator?.computeContactAge(id) ?? Number.POSITIVE_INFINITY,
			folder: this.#replicator?.findFolder(id),
		};
	}

	/** Age in milliseconds of the last evidence that a majority of the members is in touch with this one's leader. */
	computeQuorumAge(): number {
		if (this.#checkRule()) {
			return this.#replicator!.computeQuorumAge();
		}

		return this.#state?.computeQuorumAge() ?? Number.MAX_SAFE_INTEGER;
	}

	/** Handles a message from another member. */
	async handle(message: MemberMessage): Promise<MemberReply> {
		const state = this.#state;
		if (!state || state.stopped || !this.#follower) {
			throw new ReplicatedLogError('ERR_HICKORYTRACK_LOG_STOPPED', 'This member is not running', {applied: 'no'});
		}

		return this.#follower.handle(message);
	}

	/** Tells whether this member may rule now; a leader that lost its majority finds out here, by its own clock. */
	#checkRule(): boolean {
		const state = this.#state;
		if (!state || state.stopped || state.role !== 'leader' || !this.#replicator) {
			return false;
		}

		const silence = this.#replicator.computeQuorumAge();
		if (silence <= this.#timing.electionMinMs || this.#opts.clock.monotonic() - this.#ruleStartedAt <= this.#timing.electionMinMs) {
			return true;
		}

		this.#endRule();
		return false;
	}

	#startRule(): void {
		const state = this.#state!;
		state.role = 'leader';
		state.leader = this.id;
		this.#ruleStartedAt = this.#opts.clock.monotonic();
		this.#replicator = new Replicator(state, {
			clock: this.#opts.clock,
			transport: this.#opts.transport,
			timing: this.#timing,
			onProgress: () => {
				this.#commitAsLeader();
			},
			onHigherTerm: term => {
				this.#endRule();
				void state.updateTerm(term);
			},
		});
		this.#firstIndexOfTerm = state.window.lastIndex + 1;
		void this.#proposeRecord('noop', undefined);
		void this.#steps.reach('election.won', this.id);
	}

	#endRule(): void {
		const state = this.#state;
		this.#replicator?.stop();
		this.#replicator = undefined;
		if (state?.role === 'leader') {
			state.role = 'follower';
			state.leader = undefined;
		}

		this.#failWaitersFrom(0);
		state?.emitChange();
	}

	async #watchRule(): Promise<void> {
		while (!this.#ended.signal.aborted) {
			await this.#opts.clock.sleep(this.#timing.heartbeatMs, this.#ended.signal);
			if (this.#checkRule()) {
				await this.#recordFolders();
			}
		}
	}

	/** Writes the folder of each voter into the member set, so that a folder made anew can't stand in for a lost one. */
	async #recordFolders(): Promise<void> {
		const {members} = this.#state!;
		const unknown = members.voters.find(member => member.folder === undefined && this.#replicator!.findFolder(member.id) !== undefined);
		if (unknown && !this.#hasOpenMemberChange()) {
			const folder = this.#replicator!.findFolder(unknown.id);
			await this.#proposeRecord('members', members.replace({...unknown, folder}).members);
		}
	}

	async #proposeRecord(kind: RecordKind, payload: unknown, timeoutMs = defaultProposeTimeoutMs): Promise<Result<unknown, ReplicatedLogError>> {
		const state = this.#state!;
		const record: LogRecord = {
			index: state.window.lastIndex + 1, term: state.term, kind, payload,
		};
		const outcome = new Promise<Result<unknown, ReplicatedLogError>>(resolve => {
			this.#waiters.set(record.index, {term: record.term, settle: resolve});
		});
		state.appendInMemory([record]);
		if (kind === 'members') {
			this.#replicator?.updateMembers();
		}

		this.#replicator?.wake();
		void this.#writePending();
		const result = await waitAtMost(outcome, timeoutMs, this.#opts.clock);
		return result ?? err(new ReplicatedLogError('ERR_HICKORYTRACK_LOG_TIMEOUT', 'The command was not acknowledged in time', {applied: 'unknown', hint: 'Send it again under the same change id.'}));
	}

	/** Syncs what is only in memory; commands that arrive during a sync go together into the next one. */
	async #writePending(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		try {
			while (this.#state!.role === 'leader' && this.#state!.durableIndex < this.#state!.window.lastIndex) {
				if (!await this.#state!.saveRecords()) {
					this.#endRule();
					return;
				}

				await this.#steps.reach('control.synced-on-leader', this.id);
				this.#commitAsLeader();
			}
		} finally {
			this.#isWriting = false;
		}
	}

	#commitAsLeader(): void {
		const state = this.#state!;
		if (!this.#replicator || state.role !== 'leader') {
			return;
		}

		const index = this.#replicator.computeMajorityIndex();
		if (index > state.commitIndex && state.window.readTerm(index) === state.term) {
			this.#advanceCommit(index);
			this.#replicator.wake();
		}
	}

	#advanceCommit(index: number): void {
		const state = this.#state!;
		if (index <= state.commitIndex) {
			return;
		}

		state.commitIndex = Math.min(index, state.window.lastIndex);
		while (this.#appliedIndex < state.commitIndex) {
			const record = state.window.read(this.#appliedIndex + 1)!;
			const value = record.kind === 'command' ? this.#opts.stateMachine.apply(record.payload, record.index) : undefined;
			this.#appliedIndex = record.index;
			this.#settleWaiter(record, value);
		}

		this.#stepDownIfRemoved();
		state.emitChange();
		void this.#takeSnapshotIfDue();
	}

	#settleWaiter(record: LogRecord, value: unknown): void {
		const waiter = this.#waiters.get(record.index);
		if (!waiter) {
			return;
		}

		this.#waiters.delete(record.index);
		waiter.settle(waiter.term === record.term ? ok(value) : err(this.#createLostError('no')));
	}

	#failWaitersFrom(index: number): void {
		for (const [at, waiter] of this.#waiters) {
			if (at >= index) {
				this.#waiters.delete(at);
				waiter.settle(err(this.#createLostError('unknown')));
			}
		}
	}

	#stepDownIfRemoved(): void {
		const state = this.#state!;
		if (state.role === 'leader' && !state.members.isVoter(this.id) && !this.#hasOpenMemberChange()) {
			this.#endRule();
		}
	}

	async #takeSnapshotIfDue(): Promise<void> {
		const state = this.#state!;
		if (this.#isSnapshotting || this.#appliedIndex - state.window.baseIndex < this.#timing.snapshotRecords || state.stopped) {
			return;
		}

		this.#isSnapshotting = true;
		try {
			const index = this.#appliedIndex;
			await state.saveSnapshot({
				index, term: state.window.readTerm(index)!, members: this.#findMembersAt(index), state: this.#opts.stateMachine.takeSnapshot(),
			});
		} finally {
			this.#isSnapshotting = false;
		}
	}

	#findMembersAt(index: number): MemberInfo[] {
		const record = this.#state!.window.findLast(candidate => candidate.kind === 'members' && candidate.index <= index);
		return (record?.payload ?? this.#state!.snapshot?.members ?? this.#opts.initialMembers) as MemberInfo[];
	}

	#hasOpenMemberChange(): boolean {
		const state = this.#state!;
		return state.window.findLast(record => record.kind === 'members' && record.index > state.commitIndex) !== undefined;
	}

	async #changeMembers(change: (set: MemberSet) => MemberSet): Promise<Result<void, ReplicatedLogError>> {
		if (!this.#checkRule()) {
			return err(this.#createNotLeaderError());
		}

		if (this.#hasOpenMemberChange() || this.#state!.commitIndex < this.#firstIndexOfTerm) {
			return err(this.#refuseMembers('Another change of members is not finished'));
		}

		const next = change(this.#state!.members);
		const alive = next.voters.filter(member => this.#isAlive(member)).length;
		if (next.voters.length === 0 || alive < next.majority) {
			return err(this.#refuseMembers(`Only ${alive} of the ${next.voters.length} voters that would result are alive`));
		}

		const result = await this.#proposeRecord('members', next.members);
		this.#replicator?.updateMembers();
		await this.#steps.reach('member.added', this.id);
		return result.map(() => undefined);
	}

	#isAlive(member: MemberInfo): boolean {
		const folder = this.#replicator!.findFolder(member.id);
		const isSameFolder = folder !== undefined && (member.folder === undefined || member.folder === folder);
		return member.id === this.id || (isSameFolder && this.#replicator!.computeContactAge(member.id) <= this.#timing.electionMaxMs);
	}

	#refuseMembers(message: string): ReplicatedLogError {
		return new ReplicatedLogError('ERR_HICKORYTRACK_MEMBERS_REFUSED', message, {applied: 'no', hint: 'Wait until the members are alive and hold the log, then try again.'});
	}

	#createNotLeaderError(): ReplicatedLogError {
		return new ReplicatedLogError('ERR_HICKORYTRACK_NOT_LEADER', `${this.id} does not lead`, {applied: 'no', leader: this.#state?.leader, hint: 'Ask the leader.'});
	}

	#createLostError(applied: 'no' | 'unknown'): ReplicatedLogError {
		return new ReplicatedLogError('ERR_HICKORYTRACK_LEADERSHIP_LOST', `${this.id} stopped leading before the command was acknowledged`, {applied, hint: 'Send it again under the same change id.'});
	}
}
