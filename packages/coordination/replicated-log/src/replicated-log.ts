/**
 * A replicated log of commands based on the Raft algorithm (Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm", 2014), with pre-vote, learners, snapshots, membership changes one at a time by joint consensus, and a
 * leader that steps down by its own clock when it loses contact with a quorum.
 *
 * A command is acknowledged only when a quorum has synced it and the local state machine has applied it. Errors carry
 * `applied`: `no` means that the command has not been and will not be applied, `unknown` that it may have been or may
 * still be applied.
 */
import {setMaxListeners} from 'node:events';
import {err, ok, type Result} from 'neverthrow';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
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
	defaultLogTiming, MemberState, ReplicatedLogError, type ElectionRound, type LogTiming, type MemberRole, type Revocation,
} from './member-state.js';
import {Replicator} from './replicator.js';

/** The state machine to which committed commands are applied. It must be deterministic: the same commands in the same order result in the same state. */
export type StateMachine = {
	apply(command: unknown, index: number): unknown;
	createSnapshot(): unknown;
	restoreSnapshot(state: unknown): void;
};

export type ReplicatedLogOptions = {
	id: string;
	/** Members of a new log; empty for a member that joins an existing log. */
	initialMembers: readonly MemberInfo[];
	storage: LogStorage;
	transport: MemberTransport;
	stateMachine: StateMachine;
	clock: Clock;
	random: Random;
	timing?: Partial<LogTiming>;
	steps?: StepPoints;
	/** Without it, errors of tasks are printed as warnings. */
	tasks?: BackgroundTasks;
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
	lastElection?: Omit<ElectionRound, 'votes'> & {votes: Record<string, string>};
};

type Waiter = {
	term: number;
	resolve: (result: Result<unknown, ReplicatedLogError>) => void;
};

const defaultProposeTimeoutMs = 5000;
const barrierPollMs = 5;

export class ReplicatedLog {
	readonly #opts: ReplicatedLogOptions;
	readonly #timing: LogTiming;
	readonly #steps: StepPoints;
	readonly #tasks: BackgroundTasks;
	readonly #abortController = new AbortController();
	readonly #waiters = new Map<number, Waiter>();
	#state: MemberState | undefined;
	#follower: Follower | undefined;
	#replicator: Replicator | undefined;
	#appliedIndex = 0;
	#isWriting = false;
	#isSnapshotting = false;
	/** Why the storage of this leader has taken no record since. */
	#refusal: LogStorageError | undefined;
	#firstIndexOfTerm = 0;
	#leadingSince = Number.NEGATIVE_INFINITY;
	/** Monotonic time at which the storage was open. */
	#startedAt = 0;

	constructor(opts: ReplicatedLogOptions) {
		// Each pending read barrier listens to this signal, so the listener limit is disabled.
		setMaxListeners(0, this.#abortController.signal);
		this.#opts = opts;
		this.#timing = {...defaultLogTiming, ...opts.timing};
		this.#steps = opts.steps ?? noStepPoints;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
	}

	get id(): string {
		return this.#opts.id;
	}

	/** ID of the data folder that holds this member's votes and acknowledged records. */
	get folder(): string {
		return this.#state?.folder ?? '';
	}

	get isLeader(): boolean {
		return this.#checkLeadership();
	}

	get leader(): string | undefined {
		if (!this.#state) {
			return undefined;
		}

		return this.#checkLeadership() ? this.id : this.#state.leader;
	}

	get term(): number {
		return this.#state?.term ?? 0;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Opens the storage and starts the background tasks. */
	async start(): Promise<Result<void, LogStorageError>> {
		const opened = await this.#opts.storage.open();
		if (opened.isErr()) {
			return err(opened.error);
		}

		const state = new MemberState(this.id, opened.value, {storage: this.#opts.storage, clock: this.#opts.clock, initialMembers: this.#opts.initialMembers});
		this.#state = state;
		this.#startedAt = this.#opts.clock.monotonic();
		this.#follower = new Follower(state, {
			clock: this.#opts.clock,
			timing: this.#timing,
			isLeading: () => this.#checkLeadership(),
			stepDown: () => {
				if (this.#replicator) {
					this.#stepDown();
				}
			},
			commitUpTo: index => {
				this.#commitUpTo(index);
			},
			onTruncate: index => {
				this.#failWaitersFrom(index);
			},
			restore: async snapshot => {
				this.#opts.stateMachine.restoreSnapshot(snapshot.state);
				this.#appliedIndex = snapshot.index;
				state.commitIndex = snapshot.index;
				await this.#steps.onStep('snapshot.installed', this.id);
			},
		});
		if (state.snapshot) {
			this.#opts.stateMachine.restoreSnapshot(state.snapshot.state);
			this.#appliedIndex = state.snapshot.index;
		}

		const elector = new Elector(state, {
			...this.#opts, timing: this.#timing, steps: this.#steps, tasks: this.#tasks, signal: this.#abortController.signal, onElected: () => {
				this.#startLeading();
			},
		});
		const {signal} = this.#abortController;
		const {clock} = this.#opts;
		this.#tasks.startUntil(signal, {task: 'elections', clock}, async () => elector.run());
		this.#tasks.startUntil(signal, {task: 'leadership', clock}, async () => this.#watchLeadership());
		return ok(undefined);
	}

	async stop(): Promise<void> {
		if (this.#state) {
			this.#state.stopped = true;
		}

		this.#abortController.abort();
		this.#stepDown();
		await this.#state?.close();
	}

	/** Appends a command to the log and returns the state machine's result; fails on a member that is not the leader. */
	async propose(command: unknown, opts: {timeoutMs?: number} = {}): Promise<Result<unknown, ReplicatedLogError>> {
		if (!this.#checkLeadership()) {
			return err(this.#createNotLeaderError());
		}

		return this.#proposeRecord('command', command, opts.timeoutMs);
	}

	/** Waits until this member has applied every command acknowledged before the call, and returns the applied index; fails on a member that is not the leader. */
	async readBarrier(opts: {timeoutMs?: number} = {}): Promise<Result<number, ReplicatedLogError>> {
		const {clock} = this.#opts;
		if (!this.#checkLeadership()) {
			return err(this.#createNotLeaderError());
		}

		const requestedAt = clock.monotonic();
		const {term} = this;
		const deadline = requestedAt + (opts.timeoutMs ?? defaultProposeTimeoutMs);
		const index = Math.max(this.#state!.commitIndex, this.#firstIndexOfTerm);
		this.#replicator!.wake();
		while (clock.monotonic() < deadline) {
			if (!this.#checkLeadership() || this.term !== term) {
				return err(this.#createNotLeaderError());
			}

			if (this.#appliedIndex >= index && this.#replicator!.computeQuorumContactTime() >= requestedAt) {
				return ok(this.#appliedIndex);
			}

			await clock.sleep(barrierPollMs, this.#abortController.signal);
		}

		return err(new ReplicatedLogError('ERR_HICKORYTRACK_LOG_TIMEOUT', 'No majority confirmed the leader before the read timed out', {applied: 'no'}));
	}

	/** Adds a non-voting member that receives the log. */
	async addLearner(member: Omit<MemberInfo, 'voter'>): Promise<Result<void, ReplicatedLogError>> {
		return this.#changeMembers(set => set.replace({...member, voter: false}));
	}

	/** Makes a learner a voter; fails unless the learner has synced every committed record. */
	async promoteLearner(id: string): Promise<Result<void, ReplicatedLogError>> {
		if (!this.#checkLeadership()) {
			return err(this.#createNotLeaderError());
		}

		const lag = this.#state!.commitIndex - this.#replicator!.findMatchIndex(id);
		const folder = this.#replicator!.findFolder(id);
		const member = this.#state!.members.find(id);
		if (!member || folder === undefined || lag > 0) {
			return err(this.#createMembersRefusedError(`${id} is not a learner with a complete log; it lacks ${lag} records`));
		}

		return this.#changeMembers(set => set.replace({...member, voter: true, folder}));
	}

	/** Makes a voter a learner, for example after the loss of its disk. */
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
			lastElection: state?.lastElection && {...state.lastElection, votes: Object.fromEntries(state.lastElection.votes)},
		};
	}

	/** Returns the index up to which a member has synced the log, its contact age and its data folder. Only the leader has this information. */
	getMemberProgress(id: string): {matchIndex: number; contactAgeMs: number; folder?: string} {
		return {
			matchIndex: this.#replicator?.findMatchIndex(id) ?? 0,
			contactAgeMs: this.#replicator?.computeContactAge(id) ?? Number.POSITIVE_INFINITY,
			folder: this.#replicator?.findFolder(id),
		};
	}

	/** Returns the time in milliseconds since a majority was last known to be in contact with this member's leader. */
	computeQuorumAge(): number {
		if (this.#checkLeadership()) {
			return this.#replicator!.computeQuorumAge();
		}

		return this.#state?.computeQuorumAge() ?? Number.MAX_SAFE_INTEGER;
	}

	/** Returns the time in milliseconds since the last message from a leader, or since the start of this member; 0 on the leader. */
	computeLeaderContactAge(): number {
		return this.#checkLeadership() || !this.#state ? 0 : this.#opts.clock.monotonic() - Math.max(this.#startedAt, this.#state.lastHeardAt);
	}

	/** Handles a message from another member. */
	async handle(message: MemberMessage): Promise<MemberReply> {
		const state = this.#state;
		if (!state || state.stopped || !this.#follower) {
			throw new ReplicatedLogError('ERR_HICKORYTRACK_LOG_STOPPED', 'The replicated log is not running on this member', {applied: 'no'});
		}

		return this.#follower.handle(message);
	}

	/** Returns whether this member is the leader. Steps down when the leader has had no contact with a majority for the minimum election timeout. */
	#checkLeadership(): boolean {
		const state = this.#state;
		if (!state || state.stopped || state.role !== 'leader' || !this.#replicator) {
			return false;
		}

		const quorumAge = this.#replicator.computeQuorumAge();
		if (quorumAge <= this.#timing.electionMinMs || this.#opts.clock.monotonic() - this.#leadingSince <= this.#timing.electionMinMs) {
			return true;
		}

		this.#stepDown();
		return false;
	}

	/** A member that can't begin to lead steps down, so that another one is elected. */
	#startLeading(): void {
		try {
			this.#beginToLead();
		} catch (error) {
			this.#stepDown();
			throw error;
		}
	}

	#beginToLead(): void {
		const state = this.#state!;
		state.role = 'leader';
		state.leader = this.id;
		this.#leadingSince = this.#opts.clock.monotonic();
		this.#refusal = undefined;
		this.#replicator = new Replicator(state, {
			clock: this.#opts.clock,
			transport: this.#opts.transport,
			timing: this.#timing,
			tasks: this.#tasks,
			onProgress: () => {
				this.#commitAsLeader();
			},
			onHigherTerm: term => {
				this.#stepDown();
				this.#tasks.start('update-term', async () => state.updateTerm(term));
			},
		});
		this.#firstIndexOfTerm = state.window.lastIndex + 1;
		// The members of a new log are not on any disk yet, and without them no member leads after a restart.
		this.#tasks.start('first-record', async () => state.hasStoredMembers ? this.#proposeRecord('noop', undefined) : this.#proposeRecord('members', state.members.members));
		this.#tasks.start('election-won', async () => this.#steps.onStep('election.won', this.id));
	}

	#stepDown(): void {
		const state = this.#state;
		this.#replicator?.stop();
		this.#replicator = undefined;
		this.#refusal = undefined;
		if (state?.role === 'leader') {
			state.role = 'follower';
			state.leader = undefined;
		}

		this.#failWaitersFrom(0);
		state?.emitChange();
	}

	async #watchLeadership(): Promise<void> {
		while (!this.#abortController.signal.aborted) {
			await this.#opts.clock.sleep(this.#timing.heartbeatMs, this.#abortController.signal);
			if (this.#checkLeadership()) {
				// Records whose writing has failed by an error would otherwise wait for the next ones.
				this.#tasks.start('write-records', async () => this.#writePending());
				await this.#completeChange();
				await this.#recordFolders();
			}
		}
	}

	/** Records the folder ID of each voter in the member set, so that a recreated folder is not counted in place of a lost one. */
	async #recordFolders(): Promise<void> {
		const {members} = this.#state!;
		const unrecorded = members.voters.find(member => member.folder === undefined && this.#replicator?.findFolder(member.id) !== undefined);
		if (unrecorded && !members.isChanging && !this.#hasPendingMemberChange()) {
			const folder = this.#replicator!.findFolder(unrecorded.id);
			await this.#proposeRecord('members', members.replace({...unrecorded, folder}).members);
		}
	}

	/** Completes a change of the voters once its first record is committed, also one that an earlier leader has begun. */
	async #completeChange(): Promise<Result<void, ReplicatedLogError>> {
		const {members} = this.#state!;
		if (!members.isChanging || this.#hasPendingMemberChange()) {
			return ok(undefined);
		}

		const completed = await this.#proposeRecord('members', members.completeChange().members);
		this.#replicator?.updateMembers();
		return completed.map(() => undefined);
	}

	async #proposeRecord(kind: RecordKind, payload: unknown, timeoutMs = defaultProposeTimeoutMs): Promise<Result<unknown, ReplicatedLogError>> {
		const state = this.#state!;
		if (this.#refusal) {
			return err(this.#createRefusedError(this.#refusal, 'no'));
		}

		const record: LogRecord = {
			index: state.window.lastIndex + 1, term: state.term, kind, payload,
		};
		const outcome = new Promise<Result<unknown, ReplicatedLogError>>(resolve => {
			this.#waiters.set(record.index, {term: record.term, resolve});
		});
		state.appendInMemory([record]);
		if (kind === 'members') {
			this.#replicator?.updateMembers();
		}

		this.#replicator?.wake();
		this.#tasks.start('write-records', async () => this.#writePending());
		const result = await waitWithTimeout(outcome, timeoutMs, this.#opts.clock);
		return result ?? err(new ReplicatedLogError('ERR_HICKORYTRACK_LOG_TIMEOUT', 'The command was not acknowledged before the timeout', {applied: 'unknown', hint: 'Retry the command with the same change id.'}));
	}

	/** Syncs records that are only in memory; commands that arrive during a sync are batched into the next one. */
	async #writePending(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		try {
			while (this.#state!.role === 'leader' && this.#state!.durableIndex < this.#state!.window.lastIndex) {
				let isRefused = false;
				const isSaved = await this.#state!.saveRecords({
					findRevocable: () => this.#findRevocable(),
					onRevoked: revocation => {
						this.#handleRevocation(revocation);
					},
					onRefused: error => {
						isRefused = true;
						this.#refusal = this.#replicator && error;
					},
				});
				if (isRefused) {
					this.#stepDownIfOthersCanWrite(this.#state!.commitIndex);
					return;
				}

				if (!isSaved) {
					continue;
				}

				this.#refusal = undefined;
				this.#replicator?.wakeHeldBack();
				await this.#steps.onStep('control.synced-on-leader', this.id);
				this.#commitAsLeader();
			}
		} finally {
			this.#isWriting = false;
		}
	}

	/** A leader can revoke the records behind the first one of its term that no other member can have got. */
	#findRevocable(): number | undefined {
		if (!this.#replicator) {
			return undefined;
		}

		const {window, keptIndex} = this.#state!;
		const index = Math.max(keptIndex, this.#replicator.sentIndex, this.#firstIndexOfTerm) + 1;
		return window.slice(index, Number.MAX_SAFE_INTEGER).some(({kind}) => kind !== 'noop') ? index : undefined;
	}

	/** Goes on leading without the revoked records. A small one shows whether the storage takes anything. */
	#handleRevocation({error, mayRemain}: Revocation): void {
		const state = this.#state!;
		const index = state.window.lastIndex + 1;
		this.#replicator!.updateMembers();
		this.#failWaitersFrom(index, this.#createRefusedError(error, mayRemain ? 'unknown' : 'no'));
		state.appendInMemory([{
			index, term: state.term, kind: 'noop', payload: undefined,
		}]);
		this.#replicator!.wake();
	}

	/**
	 * A leader whose storage takes nothing makes way once the others have stored a record without it. As long as they can't,
	 * nobody else could be elected, and it goes on answering reads.
	 */
	#stepDownIfOthersCanWrite(quorumIndex: number): boolean {
		const canOthersWrite = this.#refusal !== undefined && quorumIndex > this.#state!.durableIndex;
		if (canOthersWrite) {
			this.#stepDown();
		}

		return canOthersWrite;
	}

	#commitAsLeader(): void {
		const state = this.#state!;
		if (!this.#replicator || state.role !== 'leader') {
			return;
		}

		const index = this.#replicator.computeQuorumIndex();
		if (index > state.commitIndex && state.window.readTerm(index) === state.term && !this.#stepDownIfOthersCanWrite(index)) {
			this.#commitUpTo(index);
			// A leader whose removal is committed has stepped down.
			this.#replicator?.wake();
		}
	}

	#commitUpTo(index: number): void {
		const state = this.#state!;
		if (index <= state.commitIndex) {
			return;
		}

		state.commitIndex = Math.min(index, state.window.lastIndex);
		while (this.#appliedIndex < state.commitIndex) {
			const record = state.window.read(this.#appliedIndex + 1)!;
			const value = record.kind === 'command' ? this.#opts.stateMachine.apply(record.payload, record.index) : undefined;
			this.#appliedIndex = record.index;
			this.#resolveWaiter(record, value);
		}

		this.#stepDownIfRemoved();
		state.emitChange();
		this.#tasks.start('save-snapshot', async () => this.#saveSnapshotIfDue());
	}

	#resolveWaiter(record: LogRecord, value: unknown): void {
		const waiter = this.#waiters.get(record.index);
		if (!waiter) {
			return;
		}

		this.#waiters.delete(record.index);
		waiter.resolve(waiter.term === record.term ? ok(value) : err(this.#createLeadershipLostError('no')));
	}

	#failWaitersFrom(index: number, error = this.#createLeadershipLostError('unknown')): void {
		for (const [recordIndex, waiter] of this.#waiters) {
			if (recordIndex >= index) {
				this.#waiters.delete(recordIndex);
				waiter.resolve(err(error));
			}
		}
	}

	#stepDownIfRemoved(): void {
		const state = this.#state!;
		if (state.role === 'leader' && !state.members.isVoter(this.id) && !this.#hasPendingMemberChange()) {
			this.#stepDown();
		}
	}

	async #saveSnapshotIfDue(): Promise<void> {
		const state = this.#state!;
		if (this.#isSnapshotting || state.stopped || !this.#isSnapshotDue()) {
			return;
		}

		this.#isSnapshotting = true;
		try {
			const index = this.#appliedIndex;
			await state.saveSnapshot({
				index, term: state.window.readTerm(index)!, members: this.#findMembersAt(index), state: this.#opts.stateMachine.createSnapshot(),
			});
		} finally {
			this.#isSnapshotting = false;
		}
	}

	/** The records stay below a small multiple of the state, so that they fit on a disk beside it and reach a member that is behind soon. */
	#isSnapshotDue(): boolean {
		const state = this.#state!;
		const appliedRecords = this.#appliedIndex - state.window.baseIndex;
		return appliedRecords >= this.#timing.snapshotRecords || (appliedRecords > 0 && state.countBytesBeyondSnapshot() > this.#timing.snapshotBytes);
	}

	#findMembersAt(index: number): MemberInfo[] {
		const record = this.#state!.window.findLast(candidate => candidate.kind === 'members' && candidate.index <= index);
		return (record?.payload ?? this.#state!.snapshot?.members ?? this.#opts.initialMembers) as MemberInfo[];
	}

	#hasPendingMemberChange(): boolean {
		const state = this.#state!;
		return state.window.findLast(record => record.kind === 'members' && record.index > state.commitIndex) !== undefined;
	}

	async #changeMembers(change: (set: MemberSet) => MemberSet): Promise<Result<void, ReplicatedLogError>> {
		if (!this.#checkLeadership()) {
			return err(this.#createNotLeaderError());
		}

		if (this.#hasPendingMemberChange() || this.#state!.members.isChanging || this.#state!.commitIndex < this.#firstIndexOfTerm) {
			return err(this.#createMembersRefusedError('A membership change is still in progress, or the leader has not committed a record in its term yet'));
		}

		const next = this.#state!.members.beginChange(change(this.#state!.members));
		const alive = next.voters.filter(member => this.#isAlive(member)).map(member => member.id);
		if (!next.hasQuorum(id => alive.includes(id), id => this.#state!.hasLostDisk(id))) {
			return err(this.#createMembersRefusedError(`Only ${alive.length} of the ${next.voters.length} voters before and after the change are alive`));
		}

		const begun = await this.#proposeRecord('members', next.members);
		this.#replicator?.updateMembers();
		await this.#steps.onStep('member.added', this.id);
		if (begun.isErr()) {
			return err(begun.error);
		}

		return this.#checkLeadership() ? this.#completeChange() : err(this.#createLeadershipLostError('unknown'));
	}

	#isAlive(member: MemberInfo): boolean {
		const folder = this.#replicator!.findFolder(member.id);
		const isSameFolder = folder !== undefined && (member.folder === undefined || member.folder === folder);
		return member.id === this.id || (isSameFolder && this.#replicator!.computeContactAge(member.id) <= this.#timing.electionMaxMs);
	}

	#createMembersRefusedError(message: string): ReplicatedLogError {
		return new ReplicatedLogError('ERR_HICKORYTRACK_MEMBERS_REFUSED', message, {applied: 'no', hint: 'Wait until the members are alive and have caught up with the log, then retry.'});
	}

	#createRefusedError(error: LogStorageError, applied: 'no' | 'unknown'): ReplicatedLogError {
		return new ReplicatedLogError(error.code, 'The storage of the leader refused the command', {applied, cause: error, hint: 'Free space on the disk of the leader, or send less, and retry.'});
	}

	#createNotLeaderError(): ReplicatedLogError {
		return new ReplicatedLogError('ERR_HICKORYTRACK_NOT_LEADER', `${this.id} is not the leader`, {applied: 'no', leader: this.#state?.leader, hint: 'Send the request to the leader.'});
	}

	#createLeadershipLostError(applied: 'no' | 'unknown'): ReplicatedLogError {
		return new ReplicatedLogError('ERR_HICKORYTRACK_LEADERSHIP_LOST', `${this.id} lost leadership before the command was acknowledged`, {applied, hint: 'Retry the command with the same change id.'});
	}
}
