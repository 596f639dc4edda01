/**
 * The leader's side of replication: one task per member, written straight down, that sends records or a snapshot, waits
 * for the reply and goes on. It ends when the member stops leading the term it began with.
 */
import type {Clock} from '@hickorytrack/clock';
import type {MemberMessage, MemberReply, MemberTransport} from './member-messages.js';
import type {MemberInfo} from './member-set.js';
import type {LogTiming, MemberState} from './member-state.js';

/** What the leader knows of one member. */
type Progress = {
	member: MemberInfo;
	nextIndex: number;
	matchIndex: number;
	/** Monotonic time at which the last message was sent that the member answered. */
	confirmedAt: number;
	/** Folder the member answered from. */
	folder?: string;
	wake: () => void;
};

export type ReplicatorOptions = {
	clock: Clock;
	transport: MemberTransport;
	timing: LogTiming;
	/** Called when a member has confirmed more, so that the commit index can move. */
	onProgress: () => void;
	/** Called when a member answers with a higher term. */
	onHigherTerm: (term: number) => void;
};

export class Replicator {
	readonly #state: MemberState;
	readonly #opts: ReplicatorOptions;
	readonly #term: number;
	readonly #progress = new Map<string, Progress>();
	readonly #stopped = new AbortController();

	constructor(state: MemberState, opts: ReplicatorOptions) {
		this.#state = state;
		this.#opts = opts;
		this.#term = state.term;
		this.updateMembers();
	}

	/** Starts a task for each member that has none, and lets those of removed members end. */
	updateMembers(): void {
		for (const member of this.#state.members.members) {
			const known = this.#progress.get(member.id);
			if (member.id === this.#state.id) {
				continue;
			}

			if (known?.member.address === member.address) {
				known.member = member;
				continue;
			}

			const progress: Progress = {
				member, nextIndex: this.#state.window.lastIndex + 1, matchIndex: 0, confirmedAt: Number.NEGATIVE_INFINITY, wake() {
					// Replaced while the task sleeps.
				},
			};
			this.#progress.set(member.id, progress);
			void this.#replicate(progress);
			void this.#beat(progress);
		}

		for (const id of this.#progress.keys()) {
			if (!this.#state.members.find(id)) {
				this.#progress.delete(id);
			}
		}
	}

	/** Wakes every task, because there are new records or a confirmation is wanted. */
	wake(): void {
		for (const progress of this.#progress.values()) {
			progress.wake();
		}
	}

	stop(): void {
		this.#stopped.abort();
		this.wake();
	}

	/** Returns the index that a majority holds on its disks. */
	computeMajorityIndex(): number {
		return this.#state.members.computeMajorityValue(id => id === this.#state.id ? this.#state.durableIndex : this.#countedMatch(id));
	}

	/** Returns the monotonic time up to which a majority is known to have followed this leader. */
	computeQuorumContactTime(): number {
		return this.#state.members.computeMajorityValue(id => {
			if (id === this.#state.id) {
				return this.#opts.clock.monotonic();
			}

			return this.#isCounted(id) ? this.#progress.get(id)!.confirmedAt : Number.NEGATIVE_INFINITY;
		});
	}

	/** Age in milliseconds of the last contact with a majority. */
	computeQuorumAge(): number {
		const age = this.#opts.clock.monotonic() - this.computeQuorumContactTime();
		return Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, age));
	}

	findFolder(id: string): string | undefined {
		return id === this.#state.id ? this.#state.folder : this.#progress.get(id)?.folder;
	}

	findMatchIndex(id: string): number {
		return id === this.#state.id ? this.#state.durableIndex : this.#progress.get(id)?.matchIndex ?? 0;
	}

	/** Returns how long ago the member answered, in milliseconds. */
	computeContactAge(id: string): number {
		return id === this.#state.id ? 0 : this.#opts.clock.monotonic() - (this.#progress.get(id)?.confirmedAt ?? Number.NEGATIVE_INFINITY);
	}

	#isCounted(id: string): boolean {
		const progress = this.#progress.get(id);
		return progress?.folder !== undefined && this.#state.members.isSameFolder(id, progress.folder);
	}

	#countedMatch(id: string): number {
		return this.#isCounted(id) ? this.#progress.get(id)!.matchIndex : 0;
	}

	async #replicate(progress: Progress): Promise<void> {
		while (this.#isWanted(progress)) {
			const sentAt = this.#opts.clock.monotonic();
			const message = this.#composeMessage(progress);
			const reply = await this.#call(progress, message);
			if (!this.#isWanted(progress)) {
				return;
			}

			if (reply?.kind === 'append') {
				this.#noteReply(progress, {message, reply, sentAt});
			}

			const isBehind = reply?.kind === 'append' && !reply.diskFault && progress.nextIndex <= this.#state.window.lastIndex;
			if (!isBehind) {
				await this.#sleep(progress);
			}
		}
	}

	/** Sends heartbeats at their interval, whether the ones before were answered or not. */
	async #beat(progress: Progress): Promise<void> {
		while (this.#isWanted(progress)) {
			void this.#sendHeartbeat(progress);
			await this.#opts.clock.sleep(this.#opts.timing.heartbeatMs, this.#stopped.signal);
		}
	}

	async #sendHeartbeat(progress: Progress): Promise<void> {
		const sentAt = this.#opts.clock.monotonic();
		const reply = await this.#call(progress, {
			kind: 'heartbeat', from: this.#state.id, term: this.#term, quorumAgeMs: this.computeQuorumAge(),
		});
		if (!reply || !this.#isWanted(progress)) {
			return;
		}

		if (reply.term > this.#term) {
			this.#opts.onHigherTerm(reply.term);
		} else if (reply.kind === 'heartbeat' && reply.accepted) {
			this.#noteFolder(progress, reply.folder);
			progress.confirmedAt = Math.max(progress.confirmedAt, sentAt);
		}
	}

	#noteFolder(progress: Progress, folder: string): void {
		if (progress.folder !== folder) {
			progress.folder = folder;
			progress.matchIndex = 0;
		}
	}

	#isWanted(progress: Progress): boolean {
		return !this.#stopped.signal.aborted && !this.#state.stopped && this.#state.role === 'leader' && this.#state.term === this.#term
			&& this.#progress.get(progress.member.id) === progress;
	}

	async #call(progress: Progress, message: MemberMessage): Promise<MemberReply | undefined> {
		try {
			return await this.#opts.transport.call(progress.member, message, this.#opts.timing.electionMinMs);
		} catch {
			return undefined;
		}
	}

	#composeMessage(progress: Progress): MemberMessage {
		const {window, snapshot} = this.#state;
		const previousIndex = progress.nextIndex - 1;
		const previousTerm = window.readTerm(previousIndex);
		if (previousTerm === undefined && snapshot) {
			return {
				kind: 'snapshot', from: this.#state.id, term: this.#term, snapshot,
			};
		}

		return {
			kind: 'append',
			from: this.#state.id,
			term: this.#term,
			previousIndex,
			previousTerm: previousTerm ?? 0,
			records: window.slice(progress.nextIndex, this.#opts.timing.batchRecords),
			commitIndex: this.#state.commitIndex,
			quorumAgeMs: this.computeQuorumAge(),
		};
	}

	#noteReply(progress: Progress, exchange: {message: MemberMessage; reply: MemberReply & {kind: 'append'}; sentAt: number}): void {
		const {message, reply, sentAt} = exchange;
		if (reply.term > this.#term) {
			this.#opts.onHigherTerm(reply.term);
			return;
		}

		this.#noteFolder(progress, reply.folder);
		progress.confirmedAt = Math.max(progress.confirmedAt, sentAt);
		if (reply.accepted) {
			const covered = message.kind === 'append' ? message.previousIndex + message.records.length : progress.nextIndex;
			progress.matchIndex = Math.max(progress.matchIndex, message.kind === 'append' ? Math.min(reply.durableIndex, covered) : reply.durableIndex);
			progress.nextIndex = message.kind === 'append' ? covered + 1 : reply.lastIndex + 1;
		} else {
			progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, reply.lastIndex + 1));
		}

		this.#opts.onProgress();
	}

	async #sleep(progress: Progress): Promise<void> {
		const woken = new AbortController();
		progress.wake = () => {
			woken.abort();
		};

		await this.#opts.clock.sleep(this.#opts.timing.heartbeatMs, woken.signal);
	}
}
