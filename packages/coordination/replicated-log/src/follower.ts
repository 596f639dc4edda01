/**
 * The receiving side of a member: votes, heartbeats, records and snapshots from the others. Messages that change the log
 * are handled one at a time; heartbeats and pre-votes don't wait for them.
 */
import {Mutex} from 'async-mutex';
import type {Clock} from '@hickorytrack/clock';
import type {LogRecord, SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberMessage, MemberReply} from './member-messages.js';
import {ReplicatedLogError, type LogTiming, type MemberState} from './member-state.js';

export type FollowerOptions = {
	clock: Clock;
	timing: LogTiming;
	/** Tells whether this member leads. */
	isLeading: () => boolean;
	/** Stops leading, if it did. */
	stepDown: () => void;
	commitUpTo: (index: number) => void;
	/** Called when the records from this index on were replaced. */
	onTruncate: (index: number) => void;
	/** Puts the state machine at an installed snapshot. */
	restore: (snapshot: SnapshotRecord) => Promise<void>;
};

export class Follower {
	readonly #state: MemberState;
	readonly #opts: FollowerOptions;
	readonly #inOrder = new Mutex();

	constructor(state: MemberState, opts: FollowerOptions) {
		this.#state = state;
		this.#opts = opts;
	}

	async handle(message: MemberMessage): Promise<MemberReply> {
		const state = this.#state;
		switch (message.kind) {
			case 'pre-vote': {
				return {
					kind: 'vote', folder: state.folder, term: state.term, granted: this.#wouldVote(message),
				};
			}

			case 'heartbeat': {
				return this.#noteHeartbeat(message);
			}

			case 'vote': {
				return this.#inOrder.runExclusive(async () => ({
					kind: 'vote', folder: state.folder, granted: await this.#vote(message), term: state.term,
				}));
			}

			case 'append': {
				return this.#inOrder.runExclusive(async () => this.#append(message));
			}

			case 'snapshot': {
				return this.#inOrder.runExclusive(async () => this.#installSnapshot(message));
			}
		}
	}

	/** Answers without waiting for the disk or for other messages; an unknown term is left to the next append. */
	#noteHeartbeat(message: MemberMessage & {kind: 'heartbeat'}): MemberReply {
		const state = this.#state;
		const accepted = message.term === state.term && state.role === 'follower' && (state.leader ?? message.from) === message.from;
		if (accepted) {
			state.recordLeaderContact(message.from, message.quorumAgeMs);
		}

		return {
			kind: 'heartbeat', folder: state.folder, term: state.term, accepted,
		};
	}

	#wouldVote(message: MemberMessage & {kind: 'pre-vote' | 'vote'}): boolean {
		const state = this.#state;
		const hearsLeader = this.#opts.isLeading() || this.#opts.clock.monotonic() - state.lastHeardAt < this.#opts.timing.electionMinMs;
		const isUpToDate = message.lastTerm > state.window.lastTerm
			|| (message.lastTerm === state.window.lastTerm && message.lastIndex >= state.window.lastIndex);
		return !hearsLeader && isUpToDate && message.term >= state.term && state.members.isSameFolder(message.from, message.folder);
	}

	async #vote(message: MemberMessage & {kind: 'vote'}): Promise<boolean> {
		const state = this.#state;
		if (message.term < state.term || !this.#wouldVote(message)) {
			return false;
		}

		this.#opts.stepDown();
		const isGiven = await state.grantVote(message.term, message.from);
		if (isGiven) {
			state.lastHeardAt = this.#opts.clock.monotonic();
		}

		return isGiven;
	}

	async #append(message: MemberMessage & {kind: 'append'}): Promise<MemberReply> {
		const state = this.#state;
		if (!await this.#followLeader(message.from, message.term, message.quorumAgeMs)) {
			return this.#replyToAppend(false);
		}

		const previousTerm = state.window.readTerm(message.previousIndex);
		if (message.previousIndex > state.window.lastIndex || (previousTerm !== undefined && previousTerm !== message.previousTerm)) {
			return this.#replyToAppend(false, Math.min(state.window.lastIndex, message.previousIndex - 1));
		}

		const fresh = message.records.filter(record => record.index > state.window.baseIndex && state.window.readTerm(record.index) !== record.term);
		const first = fresh[0];
		if (first && first.index <= state.window.lastIndex && !await this.#dropConflict(first)) {
			return this.#replyToAppend(false);
		}

		const missing = fresh.filter(record => record.index > state.window.lastIndex);
		state.appendInMemory(missing);
		if (!await state.saveRecords()) {
			return this.#replyToAppend(true);
		}

		if (state.term === message.term) {
			this.#opts.commitUpTo(Math.min(message.commitIndex, message.previousIndex + message.records.length));
		}

		return this.#replyToAppend(true);
	}

	async #dropConflict(first: LogRecord): Promise<boolean> {
		if (first.index <= this.#state.commitIndex) {
			throw new ReplicatedLogError('ERR_HICKORYTRACK_LOG_DIVERGED', `The leader contradicts the committed record ${first.index}`, {applied: 'no'});
		}

		const isDropped = await this.#state.truncateFrom(first.index);
		if (isDropped) {
			this.#opts.onTruncate(first.index);
		}

		return isDropped;
	}

	async #installSnapshot(message: MemberMessage & {kind: 'snapshot'}): Promise<MemberReply> {
		const state = this.#state;
		if (!await this.#followLeader(message.from, message.term, 0)) {
			return this.#replyToAppend(false);
		}

		const {snapshot} = message;
		if (snapshot.index <= state.commitIndex) {
			return this.#replyToAppend(true);
		}

		if (!await state.installSnapshot(snapshot)) {
			return this.#replyToAppend(false);
		}

		await this.#opts.restore(snapshot);
		return this.#replyToAppend(true);
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

	#replyToAppend(accepted: boolean, lastIndex?: number): MemberReply {
		const state = this.#state;
		return {
			kind: 'append', folder: state.folder, term: state.term, accepted, lastIndex: lastIndex ?? state.window.lastIndex, durableIndex: state.durableIndex, diskFault: state.diskFault,
		};
	}
}
