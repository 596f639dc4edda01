/**
 * The state that the tasks of one member share: term and vote, the log in memory and on disk, the member set and what is
 * known of the leader. All writes to the storage go through one lock, in order.
 */
import {Mutex} from 'async-mutex';
import type {Clock} from '@hickorytrack/clock';
import {HickorytrackError} from '@hickorytrack/errors';
import type {
	LogRecord, LogStorage, OpenedLog, SnapshotRecord, VoteState,
} from '@hickorytrack/log-storage';
import {MemberSet, type MemberInfo} from './member-set.js';
import {RecordWindow} from './record-window.js';

export class ReplicatedLogError extends HickorytrackError {
	/** Tells whether the command can have been, or may still be, applied. */
	readonly applied: 'no' | 'unknown';
	/** The member that is believed to lead. */
	readonly leader?: string;

	constructor(code: HickorytrackError['code'], message: string, opts: {applied: 'no' | 'unknown'; leader?: string; cause?: unknown; hint?: string}) {
		super(code, message, opts);
		this.applied = opts.applied;
		this.leader = opts.leader;
	}
}

export type LogTiming = {
	heartbeatMs: number;
	/** A follower that hears nothing for a random time between these bounds starts an election. */
	electionMinMs: number;
	electionMaxMs: number;
	/** Bounds of the first such wait after the start; pre-vote keeps a member from standing against a leader that others hear. */
	firstElectionMinMs: number;
	firstElectionMaxMs: number;
	/** Records behind the snapshot after which a new one is taken. */
	snapshotRecords: number;
	/** Records in one message. */
	batchRecords: number;
};

export const defaultLogTiming: LogTiming = {
	heartbeatMs: 100, electionMinMs: 600, electionMaxMs: 1200, firstElectionMinMs: 600, firstElectionMaxMs: 1200, snapshotRecords: 5000, batchRecords: 500,
};

export const memberRoles = {follower: 'follower', candidate: 'candidate', leader: 'leader'} as const;
export type MemberRole = typeof memberRoles[keyof typeof memberRoles];

/** Age given to contact that never was. */
const neverMs = Number.MAX_SAFE_INTEGER;

export class MemberState {
	readonly id: string;
	readonly folder: string;
	readonly window: RecordWindow;
	role: MemberRole = 'follower';
	leader: string | undefined;
	commitIndex: number;
	durableIndex: number;
	diskFault = false;
	stopped = false;
	snapshot: SnapshotRecord | undefined;
	/** Monotonic time of the last message from the leader of the current term. */
	lastHeardAt = Number.NEGATIVE_INFINITY;
	readonly #storage: LogStorage;
	readonly #clock: Clock;
	readonly #lock = new Mutex();
	#vote: VoteState;
	#quorumAgeAtLeader = neverMs;
	#members: MemberSet;
	readonly #initialMembers: MemberSet;
	readonly #listeners = new Set<() => void>();

	constructor(id: string, opened: OpenedLog, opts: {storage: LogStorage; clock: Clock; initialMembers: readonly MemberInfo[]}) {
		this.id = id;
		this.folder = opened.folder;
		this.#storage = opts.storage;
		this.#clock = opts.clock;
		this.#vote = opened.vote;
		this.snapshot = opened.snapshot;
		this.window = new RecordWindow(opened.snapshot?.index ?? 0, opened.snapshot?.term ?? 0, opened.records);
		this.durableIndex = this.window.lastIndex;
		this.commitIndex = this.window.baseIndex;
		this.#initialMembers = new MemberSet(opts.initialMembers);
		this.#members = this.#initialMembers;
		this.updateMembers();
	}

	get term(): number {
		return this.#vote.term;
	}

	get votedFor(): string | undefined {
		return this.#vote.votedFor;
	}

	get members(): MemberSet {
		return this.#members;
	}

	/** Age in milliseconds of the last evidence that a majority stands behind the leader this member follows. */
	computeQuorumAge(): number {
		return this.leader === undefined ? neverMs : this.#quorumAgeAtLeader + (this.#clock.monotonic() - this.lastHeardAt);
	}

	recordLeaderContact(leader: string, quorumAgeMs: number): void {
		this.leader = leader;
		this.lastHeardAt = this.#clock.monotonic();
		this.#quorumAgeAtLeader = quorumAgeMs;
	}

	/** Registers a function that runs whenever the state that tasks wait for has changed. */
	onChange(listener: () => void): void {
		this.#listeners.add(listener);
	}

	emitChange(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	/** Moves to a higher term and forgets the leader of the old one. */
	async updateTerm(term: number): Promise<boolean> {
		return term <= this.term || this.#saveVote({term});
	}

	/** Gives this term's vote; false when it is given already or can't be saved. */
	async grantVote(term: number, candidate: string): Promise<boolean> {
		if (term < this.term || (term === this.term && this.votedFor !== undefined && this.votedFor !== candidate)) {
			return false;
		}

		return this.#saveVote({term, votedFor: candidate});
	}

	/** Writes every record that is only in memory; true once all are synced. */
	async saveRecords(): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const records = this.window.slice(this.durableIndex + 1, Number.MAX_SAFE_INTEGER);
			if (records.length === 0) {
				return !this.diskFault;
			}

			const result = await this.#storage.append(records);
			this.diskFault = result.isErr();
			if (result.isOk()) {
				this.durableIndex = records.at(-1)!.index;
			}

			return result.isOk();
		});
	}

	/** Removes the record with this index and all behind it, in memory and on disk. */
	async truncateFrom(index: number): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const result = await this.#storage.truncateFrom(index);
			if (result.isErr()) {
				this.diskFault = true;
				return false;
			}

			this.window.truncateFrom(index);
			this.durableIndex = Math.min(this.durableIndex, index - 1);
			this.updateMembers();
			return true;
		});
	}

	/** Saves a snapshot of the state machine and drops the records that it covers. */
	async saveSnapshot(snapshot: SnapshotRecord): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const remaining = this.window.slice(snapshot.index + 1, Math.max(0, this.durableIndex - snapshot.index));
			const result = await this.#storage.saveSnapshot(snapshot, remaining);
			if (result.isErr()) {
				this.diskFault = true;
				return false;
			}

			this.snapshot = snapshot;
			this.durableIndex = Math.max(this.durableIndex, snapshot.index);
			this.window.compact(snapshot.index, snapshot.term);
			return true;
		});
	}

	/** Replaces the log by a snapshot from the leader. */
	async installSnapshot(snapshot: SnapshotRecord): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const result = await this.#storage.saveSnapshot(snapshot, []);
			if (result.isErr()) {
				this.diskFault = true;
				return false;
			}

			this.snapshot = snapshot;
			this.window.reset(snapshot.index, snapshot.term);
			this.durableIndex = snapshot.index;
			this.updateMembers();
			return true;
		});
	}

	/** Takes the newest member set in the log, committed or not. */
	updateMembers(): void {
		const record = this.window.findLast(candidate => candidate.kind === 'members');
		const members = (record?.payload ?? this.snapshot?.members) as MemberInfo[] | undefined;
		this.#members = members ? new MemberSet(members) : this.#initialMembers;
	}

	appendInMemory(records: readonly LogRecord[]): void {
		this.window.append(records);
		if (records.some(record => record.kind === 'members')) {
			this.updateMembers();
		}
	}

	async close(): Promise<void> {
		await this.#lock.runExclusive(async () => this.#storage.close());
	}

	async #saveVote(vote: VoteState): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			if (vote.term < this.term) {
				return false;
			}

			const isRepeated = vote.term === this.term && this.votedFor !== undefined;
			if (isRepeated) {
				return vote.votedFor === undefined || vote.votedFor === this.votedFor;
			}

			const result = await this.#storage.saveVote(vote);
			if (result.isErr()) {
				this.diskFault = true;
				return false;
			}

			if (vote.term > this.term) {
				this.role = 'follower';
				this.leader = undefined;
			}

			this.#vote = vote;
			return true;
		});
	}
}
