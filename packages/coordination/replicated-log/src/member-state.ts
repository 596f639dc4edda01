/**
 * The state that the tasks of one member share: term and vote, the log in memory and on disk, the member set, the known
 * leader and the time of its last message. One lock serialises all writes to the storage.
 */
import {Mutex} from 'async-mutex';
import type {Clock} from '@hickorytrack/clock';
import {HickorytrackError} from '@hickorytrack/errors';
import type {
	LogRecord, LogStorage, LogStorageError, OpenedLog, SnapshotRecord, VoteState,
} from '@hickorytrack/log-storage';
import {MemberSet, type MemberInfo} from './member-set.js';
import {RecordWindow} from './record-window.js';

export class ReplicatedLogError extends HickorytrackError {
	/** `no`: the command has not been and will not be applied. `unknown`: it may have been, or may still be, applied. */
	readonly applied: 'no' | 'unknown';
	/** The last known leader. */
	readonly leader?: string;

	constructor(code: HickorytrackError['code'], message: string, opts: {applied: 'no' | 'unknown'; leader?: string; cause?: unknown; hint?: string}) {
		super(code, message, opts);
		this.applied = opts.applied;
		this.leader = opts.leader;
	}
}

export type LogTiming = {
	heartbeatMs: number;
	/** Bounds of the random election timeout: a follower that hears no leader for that long starts an election. */
	electionMinMs: number;
	electionMaxMs: number;
	/** Bounds of the first election timeout after the start. They may be shorter: pre-vote keeps a member from starting an election while others hear a leader. */
	firstElectionMinMs: number;
	firstElectionMaxMs: number;
	/** Number of applied records since the last snapshot at which a new one is taken. */
	snapshotRecords: number;
	/** A snapshot is also taken once the records since the last one are larger than that by this many bytes. */
	snapshotBytes: number;
	/** Maximum number of records in one append message. */
	batchRecords: number;
	/** An append message with more than one record has at most this many bytes of payload. */
	batchBytes: number;
	/** A snapshot is sent in parts of this many bytes. */
	partBytes: number;
	/** A larger record reaches other members only once the leader has synced it, so that the leader can still refuse it. */
	unsyncedBytes: number;
};

export const defaultLogTiming: LogTiming = {
	heartbeatMs: 100, electionMinMs: 600, electionMaxMs: 1200, firstElectionMinMs: 600, firstElectionMaxMs: 1200, snapshotRecords: 5000, snapshotBytes: 1024 * 1024, batchRecords: 500, batchBytes: 1024 * 1024, partBytes: 128 * 1024, unsyncedBytes: 64 * 1024,
};

export const memberRoles = {follower: 'follower', candidate: 'candidate', leader: 'leader'} as const;
export type MemberRole = typeof memberRoles[keyof typeof memberRoles];

/** What a candidate knows of the vote of another member. `lostDisk`: it answers from another data folder than the one in the member set. */
export const voteOutcomes = {
	noAnswer: 'no-answer', granted: 'granted', refused: 'refused', lostDisk: 'lost-disk',
} as const;
export type VoteOutcome = typeof voteOutcomes[keyof typeof voteOutcomes];

/** A round of votes that this member has asked for. */
export type ElectionRound = {
	kind: 'pre-vote' | 'vote';
	term: number;
	/** By the ID of the other voter. */
	votes: ReadonlyMap<string, VoteOutcome>;
};

/** Why records were removed from memory. `mayRemain`: they may be read again at the next start. */
export type Revocation = {error: LogStorageError; mayRemain: boolean};

/** What becomes of records that the storage refuses. */
export type RefusalHandler = {
	/** Returns the index of the first record that may be removed from memory; undefined if none may. */
	findRevocable?: () => number | undefined;
	onRevoked?: (revocation: Revocation) => void;
	/** Called if all records stay in memory. */
	onRefused?: (error: LogStorageError) => void;
};

/** Quorum age reported while no leader has been heard. */
const noContactAgeMs = Number.MAX_SAFE_INTEGER;

export class MemberState {
	readonly id: string;
	readonly folder: string;
	readonly window: RecordWindow;
	role: MemberRole = 'follower';
	leader: string | undefined;
	commitIndex: number;
	durableIndex: number;
	/** The last write to the storage failed. */
	diskFault = false;
	stopped = false;
	snapshot: SnapshotRecord | undefined;
	/** The last round of votes of this member that was decided. */
	lastElection: ElectionRound | undefined;
	/** Monotonic time of the last message from the leader of the current term, or of the last vote granted. */
	lastHeardAt = Number.NEGATIVE_INFINITY;
	readonly #storage: LogStorage;
	readonly #clock: Clock;
	readonly #lock = new Mutex();
	#vote: VoteState;
	#leaderQuorumAgeMs = noContactAgeMs;
	#members: MemberSet;
	readonly #initialMembers: MemberSet;
	readonly #listeners = new Set<() => void>();
	/** The data folder from which each member has last answered. */
	readonly #answeredFolders = new Map<string, string>();

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

	/** False while the members are known only from the options of a new log. */
	get hasStoredMembers(): boolean {
		return this.#members !== this.#initialMembers;
	}

	/** Records the data folder from which a member answers. */
	recordFolder(id: string, folder: string): void {
		this.#answeredFolders.set(id, folder);
	}

	/** Returns whether a member answers from another data folder than the one in the member set. */
	hasLostDisk(id: string): boolean {
		const folder = this.#answeredFolders.get(id);
		return folder !== undefined && !this.#members.isSameFolder(id, folder);
	}

	/** Returns the time in milliseconds since a majority was last known to be in contact with the leader that this member follows. */
	computeQuorumAge(): number {
		return this.leader === undefined ? noContactAgeMs : this.#leaderQuorumAgeMs + (this.#clock.monotonic() - this.lastHeardAt);
	}

	recordLeaderContact(leader: string, quorumAgeMs: number): void {
		this.leader = leader;
		this.lastHeardAt = this.#clock.monotonic();
		this.#leaderQuorumAgeMs = quorumAgeMs;
	}

	/** Registers a listener that is called when the commit index advances or this member steps down. */
	onChange(listener: () => void): void {
		this.#listeners.add(listener);
	}

	emitChange(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	/** Saves a higher term and clears the vote and the leader of the previous one; returns false when it can't be saved. */
	async updateTerm(term: number): Promise<boolean> {
		return term <= this.term || this.#saveVote({term});
	}

	/** Saves the vote of the given term; returns false when another candidate already has it, when the term is outdated or when the vote can't be saved. */
	async grantVote(term: number, candidate: string): Promise<boolean> {
		if (term < this.term || (term === this.term && this.votedFor !== undefined && this.votedFor !== candidate)) {
			return false;
		}

		return this.#saveVote({term, votedFor: candidate});
	}

	/** Index of the last record that this member has to keep: it is synced here, or committed. */
	get keptIndex(): number {
		return Math.max(this.durableIndex, this.commitIndex);
	}

	/**
	 * Writes and syncs all records that are only in memory; returns true when the whole log is synced. If the storage refuses
	 * them, those from `findRevocable` on are removed from memory, and `onRevoked` is called before anything else is appended.
	 */
	async saveRecords({findRevocable, onRevoked, onRefused}: RefusalHandler = {}): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const records = this.window.slice(this.durableIndex + 1, Number.MAX_SAFE_INTEGER);
			if (records.length === 0) {
				return true;
			}

			const result = await this.#storage.append(records);
			this.diskFault = result.isErr();
			if (result.isOk()) {
				this.durableIndex = records.at(-1)!.index;
				return true;
			}

			const {error} = result;
			const index = findRevocable?.();
			if (index === undefined) {
				onRefused?.(error);
			} else {
				this.#removeUnsynced(index);
				onRevoked?.({error, mayRemain: this.#storage.mayKeepFailedAppend});
			}

			return false;
		});
	}

	/** Removes the records that are only in memory, as after a restart. */
	async removeUnsynced(): Promise<void> {
		await this.#lock.runExclusive(() => {
			this.#removeUnsynced();
		});
	}

	#removeUnsynced(index = 0): void {
		this.window.truncateFrom(Math.max(index, this.keptIndex + 1));
		this.updateMembers();
	}

	/** Removes the record with this index and all later ones, in memory and on disk. */
	async truncateFrom(index: number): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const result = await this.#storage.truncateFrom(index);
			this.diskFault = result.isErr();
			if (result.isErr()) {
				return false;
			}

			this.window.truncateFrom(index);
			this.durableIndex = Math.min(this.durableIndex, index - 1);
			this.updateMembers();
			return true;
		});
	}

	/** Saves a snapshot of the state machine and removes the records that it covers. */
	async saveSnapshot(snapshot: SnapshotRecord): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const remaining = this.window.slice(snapshot.index + 1, Math.max(0, this.durableIndex - snapshot.index));
			const result = await this.#storage.saveSnapshot(snapshot, remaining);
			this.diskFault = result.isErr();
			if (result.isErr()) {
				return false;
			}

			this.snapshot = snapshot;
			this.durableIndex = Math.max(this.durableIndex, snapshot.index);
			this.window.compact(snapshot.index, snapshot.term);
			return true;
		});
	}

	/** Replaces the whole log by a snapshot from the leader. */
	async installSnapshot(snapshot: SnapshotRecord): Promise<boolean> {
		return this.#lock.runExclusive(async () => {
			const result = await this.#storage.saveSnapshot(snapshot, []);
			this.diskFault = result.isErr();
			if (result.isErr()) {
				return false;
			}

			this.snapshot = snapshot;
			this.window.reset(snapshot.index, snapshot.term);
			this.durableIndex = snapshot.index;
			this.updateMembers();
			return true;
		});
	}

	/** Switches to the latest member set in the log, committed or not. */
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

	/** Returns by how many bytes the stored records exceed the snapshot before them. */
	countBytesBeyondSnapshot(): number {
		const {records, snapshot} = this.#storage.sizes;
		return records - snapshot;
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
			this.diskFault = result.isErr();
			if (result.isErr()) {
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
