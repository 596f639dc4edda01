/**
 * Handles the messages that a member receives from the others: vote requests, heartbeats, records and snapshots. Messages
 * that change the vote or the log are handled one at a time; heartbeats and pre-votes do not wait for them.
 */
import {Mutex} from 'async-mutex';
import type {Clock} from '@hickorytrack/clock';
import type {LogRecord, SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberMessage, MemberReply} from './member-messages.js';
import {ReplicatedLogError, type LogTiming, type MemberState} from './member-state.js';
import {SnapshotAssembly} from './snapshot-parts.js';

export type FollowerOptions = {
	clock: Clock;
	timing: LogTiming;
	/** Returns whether this member is the leader. */
	isLeading: () => boolean;
	/** Gives up leadership; does nothing when this member is not the leader. */
	stepDown: () => void;
	commitUpTo: (index: number) => void;
	/** Called after the records from this index on have been removed because they conflict with the leader's log. */
	onTruncate: (index: number) => void;
	/** Restores the state machine from a snapshot that has been installed. */
	restore: (snapshot: SnapshotRecord) => Promise<void>;
};

type AppendReply = MemberReply & {kind: 'append'};

export class Follower {
	readonly #state: MemberState;
	readonly #opts: FollowerOptions;
	readonly #logMutex = new Mutex();
	readonly #assembly = new SnapshotAssembly();

	constructor(state: MemberState, opts: FollowerOptions) {
		this.#state = state;
		this.#opts = opts;
	}

	async handle(message: MemberMessage): Promise<MemberReply> {
		const state = this.#state;
		switch (message.kind) {
			case 'pre-vote': {
				return {
					kind: 'vote', folder: state.folder, term: state.term, granted: this.#canVoteFor(message),
				};
			}

			case 'heartbeat': {
				return this.#handleHeartbeat(message);
			}

			case 'vote': {
				return this.#logMutex.runExclusive(async () => ({
					kind: 'vote', folder: state.folder, granted: await this.#handleVote(message), term: state.term,
				}));
			}

			case 'append': {
				return this.#logMutex.runExclusive(async () => this.#handleAppend(message));
			}

			case 'snapshot': {
				return this.#logMutex.runExclusive(async () => this.#handleSnapshot(message));
			}

			case 'snapshot-part': {
				return this.#logMutex.runExclusive(async () => this.#handlePart(message));
			}
		}
	}

	/** Replies without waiting for the disk or for other messages. A heartbeat with a newer term is rejected; the next append updates the term. */
	#handleHeartbeat(message: MemberMessage & {kind: 'heartbeat'}): MemberReply {
		const state = this.#state;
		const accepted = message.term === state.term && state.role === 'follower' && (state.leader ?? message.from) === message.from;
		if (accepted) {
			state.recordLeaderContact(message.from, message.quorumAgeMs);
		}

		return {
			kind: 'heartbeat', folder: state.folder, term: state.term, accepted, takesParts: true,
		};
	}

	#canVoteFor(message: MemberMessage & {kind: 'pre-vote' | 'vote'}): boolean {
		const state = this.#state;
		const isLeaderActive = this.#opts.isLeading() || this.#opts.clock.monotonic() - state.lastHeardAt < this.#opts.timing.electionMinMs;
		const lastTerm = state.window.readTerm(state.keptIndex)!;
		const isUpToDate = message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= state.keptIndex);
		return !isLeaderActive && isUpToDate && message.term >= state.term && state.members.isSameFolder(message.from, message.folder);
	}

	async #handleVote(message: MemberMessage & {kind: 'vote'}): Promise<boolean> {
		const state = this.#state;
		if (message.term < state.term || !this.#canVoteFor(message)) {
			return false;
		}

		this.#opts.stepDown();
		const isGranted = await state.grantVote(message.term, message.from);
		if (isGranted) {
			state.lastHeardAt = this.#opts.clock.monotonic();
		}

		return isGranted;
	}

	async #handleAppend(message: MemberMessage & {kind: 'append'}): Promise<MemberReply> {
		const state = this.#state;
		if (!await this.#followLeader(message.from, message.term, message.quorumAgeMs)) {
			return this.#createAppendReply(false);
		}

		const previousTerm = state.window.readTerm(message.previousIndex);
		if (message.previousIndex > state.window.lastIndex || (previousTerm !== undefined && previousTerm !== message.previousTerm)) {
			return this.#createAppendReply(false, Math.min(state.window.lastIndex, message.previousIndex - 1));
		}

		// The log goes on from here without a snapshot.
		this.#assembly.clear();
		const newRecords = message.records.filter(record => record.index > state.window.baseIndex && state.window.readTerm(record.index) !== record.term);
		const first = newRecords[0];
		if (first && first.index <= state.window.lastIndex && !await this.#truncateConflict(first)) {
			return this.#createAppendReply(false);
		}

		const recordsToAppend = newRecords.filter(record => record.index > state.window.lastIndex);
		state.appendInMemory(recordsToAppend);
		if (!await state.saveRecords()) {
			return this.#createAppendReply(true);
		}

		if (state.term === message.term) {
			this.#opts.commitUpTo(Math.min(message.commitIndex, message.previousIndex + message.records.length));
		}

		return this.#createAppendReply(true);
	}

	async #truncateConflict(first: LogRecord): Promise<boolean> {
		if (first.index <= this.#state.commitIndex) {
			throw new ReplicatedLogError('ERR_HICKORYTRACK_LOG_DIVERGED', `The leader sent a record that conflicts with committed record ${first.index}`, {applied: 'no'});
		}

		const isTruncated = await this.#state.truncateFrom(first.index);
		if (isTruncated) {
			this.#opts.onTruncate(first.index);
		}

		return isTruncated;
	}

	async #handleSnapshot(message: MemberMessage & {kind: 'snapshot'}): Promise<MemberReply> {
		const state = this.#state;
		if (!await this.#followLeader(message.from, message.term, 0)) {
			return this.#createAppendReply(false);
		}

		return this.#install(message.snapshot);
	}

	/** The parts stay until the whole is on the disk, so that it is not sent again for each refused write. */
	async #handlePart(message: MemberMessage & {kind: 'snapshot-part'}): Promise<MemberReply> {
		const state = this.#state;
		if (!await this.#followLeader(message.from, message.term, 0)) {
			return this.#createAppendReply(false);
		}

		if (message.part.index <= state.commitIndex) {
			this.#assembly.clear();
			return this.#createAppendReply(true);
		}

		const snapshot = this.#assembly.add(message.part);
		if (!snapshot) {
			return {...this.#createAppendReply(true), heldBytes: this.#assembly.heldBytes};
		}

		const reply = await this.#install(snapshot);
		if (reply.accepted) {
			this.#assembly.clear();
		}

		return reply;
	}

	async #install(snapshot: SnapshotRecord): Promise<AppendReply> {
		const state = this.#state;
		if (snapshot.index <= state.commitIndex) {
			return this.#createAppendReply(true);
		}

		if (!await state.installSnapshot(snapshot)) {
			return this.#createAppendReply(false);
		}

		await this.#opts.restore(snapshot);
		return this.#createAppendReply(true);
	}

	async #followLeader(leader: string, term: number, quorumAgeMs: number): Promise<boolean> {
		const state = this.#state;
		if (term < state.term) {
			return false;
		}

		if (term > state.term && !await state.updateTerm(term)) {
			return false;
		}

		this.#opts.stepDown();

		state.role = 'follower';
		state.recordLeaderContact(leader, quorumAgeMs);
		return true;
	}

	#createAppendReply(accepted: boolean, lastIndex?: number): AppendReply {
		const state = this.#state;
		return {
			kind: 'append', folder: state.folder, term: state.term, accepted, lastIndex: lastIndex ?? state.window.lastIndex, durableIndex: state.durableIndex, diskFault: state.diskFault, takesParts: true,
		};
	}
}
