/**
 * Replicates the leader's log. For each other member, one task sends records or a snapshot and waits for the reply
 * before it sends the next message, and a second task sends heartbeats. The tasks end when this member no longer leads
 * the term in which they were started, on `stop`, and when their member is removed or its address changes.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {LogRecord, SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberMessage, MemberReply, MemberTransport} from './member-messages.js';
import type {MemberInfo} from './member-set.js';
import type {LogTiming, MemberState} from './member-state.js';
import {SnapshotTransfer} from './snapshot-parts.js';

/** Replication state of one member, as known to the leader. */
type Progress = {
	member: MemberInfo;
	nextIndex: number;
	/** Highest index up to which the member is known to have synced the leader's records to disk. */
	matchIndex: number;
	/** Monotonic time at which the latest message whose reply confirmed this leader was sent. */
	confirmedAt: number;
	/** ID of the data folder in the member's last reply. */
	folder?: string;
	/** The member takes a snapshot in parts. */
	takesParts: boolean;
	/** The snapshot on its way to the member. */
	transfer?: SnapshotTransfer;
	/** The next record waits until this member has synced it. */
	isHeldBack: boolean;
	wake: () => void;
};

export type ReplicatorOptions = {
	clock: Clock;
	transport: MemberTransport;
	timing: LogTiming;
	tasks: BackgroundTasks;
	/** Called after each reply to an append or a snapshot in the current term, because the commit index may advance. */
	onProgress: () => void;
	/** Called when a member replies with a higher term. */
	onHigherTerm: (term: number) => void;
};

export class Replicator {
	readonly #state: MemberState;
	readonly #opts: ReplicatorOptions;
	readonly #term: number;
	readonly #progress = new Map<string, Progress>();
	readonly #abortController = new AbortController();
	readonly #payloadBytes = new WeakMap<LogRecord, number>();
	#sentIndex = 0;

	constructor(state: MemberState, opts: ReplicatorOptions) {
		this.#state = state;
		this.#opts = opts;
		this.#term = state.term;
		this.updateMembers();
	}

	/** Starts the tasks of new members and of members with a changed address; the tasks of removed members end. */
	updateMembers(): void {
		for (const member of this.#state.members.members) {
			const existing = this.#progress.get(member.id);
			if (member.id === this.#state.id) {
				continue;
			}

			if (existing?.member.address === member.address) {
				existing.member = member;
				continue;
			}

			const progress: Progress = {
				member, nextIndex: this.#state.window.lastIndex + 1, matchIndex: 0, confirmedAt: Number.NEGATIVE_INFINITY, takesParts: false, isHeldBack: false, wake() {
					// Does nothing until the task sleeps for the first time.
				},
			};
			this.#progress.set(member.id, progress);
			const {tasks, clock} = this.#opts;
			const {signal} = this.#abortController;
			tasks.startUntil(signal, {task: 'replication', clock}, async () => this.#replicate(progress));
			tasks.startUntil(signal, {task: 'leader-heartbeats', clock}, async () => this.#sendHeartbeats(progress));
		}

		for (const id of this.#progress.keys()) {
			if (!this.#state.members.find(id)) {
				this.#progress.delete(id);
			}
		}
	}

	/** Wakes the replication tasks, so that they send new records, or an empty append whose reply shows that the member still follows this leader. */
	wake(): void {
		for (const progress of this.#progress.values()) {
			progress.wake();
		}
	}

	/** Wakes the replication tasks whose next record has waited until it was synced here. */
	wakeHeldBack(): void {
		for (const progress of this.#progress.values()) {
			if (progress.isHeldBack) {
				progress.wake();
			}
		}
	}

	/** Index of the last record that any member may have got from this leader. */
	get sentIndex(): number {
		return this.#sentIndex;
	}

	stop(): void {
		this.#abortController.abort();
		this.wake();
	}

	/** Returns the highest index that a quorum has synced to disk. */
	computeQuorumIndex(): number {
		return this.#computeQuorumValue(id => id === this.#state.id ? this.#state.durableIndex : this.#getCountedMatchIndex(id));
	}

	/** Returns the latest monotonic time at which a quorum is known to have followed this leader. */
	computeQuorumContactTime(): number {
		return this.#computeQuorumValue(id => {
			if (id === this.#state.id) {
				return this.#opts.clock.monotonic();
			}

			return this.#isCounted(id) ? this.#progress.get(id)!.confirmedAt : Number.NEGATIVE_INFINITY;
		});
	}

	/** Returns the time in milliseconds since the last contact with a quorum. */
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

	/** Returns the time in milliseconds since the latest message that the member answered was sent. */
	computeContactAge(id: string): number {
		return id === this.#state.id ? 0 : this.#opts.clock.monotonic() - (this.#progress.get(id)?.confirmedAt ?? Number.NEGATIVE_INFINITY);
	}

	#computeQuorumValue(getValue: (id: string) => number): number {
		return this.#state.members.computeQuorumValue({getValue, hasLostDisk: id => this.#state.hasLostDisk(id)});
	}

	/** A member that replies from another data folder does not count. */
	#isCounted(id: string): boolean {
		const progress = this.#progress.get(id);
		return progress?.folder !== undefined && this.#state.members.isSameFolder(id, progress.folder);
	}

	#getCountedMatchIndex(id: string): number {
		return this.#isCounted(id) ? this.#progress.get(id)!.matchIndex : 0;
	}

	async #replicate(progress: Progress): Promise<void> {
		while (this.#isActive(progress)) {
			const sentAt = this.#opts.clock.monotonic();
			const message = this.#createMessage(progress);
			const reply = await this.#call(progress, message);
			if (!this.#isActive(progress)) {
				return;
			}

			if (reply?.kind === 'append') {
				this.#handleAppendReply(progress, {message, reply, sentAt});
			}

			// A part that the member has left out is sent again after a while.
			const isStalled = message.kind === 'snapshot-part' && progress.transfer !== undefined && progress.transfer.heldBytes <= message.part.offset;
			const isBehind = reply?.kind === 'append' && !reply.diskFault && !isStalled && this.#canSend(progress.nextIndex);
			if (!isBehind) {
				await this.#sleep(progress);
			}
		}
	}

	/** Sends heartbeats at a fixed interval, without waiting for replies. */
	async #sendHeartbeats(progress: Progress): Promise<void> {
		while (this.#isActive(progress)) {
			this.#opts.tasks.start('leader-heartbeat', async () => this.#sendHeartbeat(progress));
			await this.#opts.clock.sleep(this.#opts.timing.heartbeatMs, this.#abortController.signal);
		}
	}

	async #sendHeartbeat(progress: Progress): Promise<void> {
		const sentAt = this.#opts.clock.monotonic();
		const reply = await this.#call(progress, {
			kind: 'heartbeat', from: this.#state.id, term: this.#term, quorumAgeMs: this.computeQuorumAge(),
		});
		if (!reply || !this.#isActive(progress)) {
			return;
		}

		if (reply.term > this.#term) {
			this.#opts.onHigherTerm(reply.term);
		} else if (reply.kind === 'heartbeat' && reply.accepted) {
			this.#recordFolder(progress, reply.folder);
			progress.takesParts = reply.takesParts === true;
			progress.confirmedAt = Math.max(progress.confirmedAt, sentAt);
		}
	}

	#recordFolder(progress: Progress, folder: string): void {
		this.#state.recordFolder(progress.member.id, folder);
		if (progress.folder !== folder) {
			progress.folder = folder;
			progress.matchIndex = 0;
		}
	}

	#isActive(progress: Progress): boolean {
		return !this.#abortController.signal.aborted && !this.#state.stopped && this.#state.role === 'leader' && this.#state.term === this.#term
			&& this.#progress.get(progress.member.id) === progress;
	}

	async #call(progress: Progress, message: MemberMessage): Promise<MemberReply | undefined> {
		try {
			return await this.#opts.transport.call(progress.member, message, this.#opts.timing.electionMinMs);
		} catch {
			return undefined;
		}
	}

	#createMessage(progress: Progress): MemberMessage {
		const {window, snapshot} = this.#state;
		const previousIndex = progress.nextIndex - 1;
		const previousTerm = window.readTerm(previousIndex);
		if (previousTerm === undefined && snapshot) {
			return this.#createSnapshotMessage(progress, snapshot);
		}

		progress.transfer = undefined;

		return {
			kind: 'append',
			from: this.#state.id,
			term: this.#term,
			previousIndex,
			previousTerm: previousTerm ?? 0,
			records: this.#selectBatch(progress),
			commitIndex: this.#state.commitIndex,
			quorumAgeMs: this.computeQuorumAge(),
		};
	}

	#createSnapshotMessage(progress: Progress, snapshot: SnapshotRecord): MemberMessage {
		const sender = {from: this.#state.id, term: this.#term};
		if (!progress.takesParts) {
			return {kind: 'snapshot', ...sender, snapshot};
		}

		progress.transfer ??= new SnapshotTransfer(snapshot);
		return {kind: 'snapshot-part', ...sender, part: progress.transfer.createPart(this.#opts.timing.partBytes)};
	}

	/** Selects the next records of a member that go into one message: all that may be sent, bounded in number and bytes, and at least one. */
	#selectBatch(progress: Progress): LogRecord[] {
		const {batchRecords, batchBytes} = this.#opts.timing;
		const all = this.#state.window.slice(progress.nextIndex, batchRecords);
		const heldBack = all.findIndex(({index}) => !this.#canSend(index));
		progress.isHeldBack = heldBack !== -1;
		const records = progress.isHeldBack ? all.slice(0, heldBack) : all;
		let bytes = 0;
		const end = records.findIndex(record => {
			bytes += this.#countPayloadBytes(record);
			return bytes > batchBytes;
		});
		const batch = end === -1 ? records : records.slice(0, Math.max(1, end));
		this.#sentIndex = Math.max(this.#sentIndex, batch.at(-1)?.index ?? 0);
		return batch;
	}

	/** Returns false for a large record that this member has not synced: it may still have to refuse it. A snapshot replaces records that are gone. */
	#canSend(index: number): boolean {
		const record = this.#state.window.read(index);
		return index <= this.#state.window.baseIndex || (record !== undefined && (index <= this.#state.keptIndex || this.#countPayloadBytes(record) <= this.#opts.timing.unsyncedBytes));
	}

	#countPayloadBytes(record: LogRecord): number {
		const bytes = this.#payloadBytes.get(record) ?? JSON.stringify(record.payload)?.length ?? 0;
		this.#payloadBytes.set(record, bytes);
		return bytes;
	}

	#handleAppendReply(progress: Progress, exchange: {message: MemberMessage; reply: MemberReply & {kind: 'append'}; sentAt: number}): void {
		const {message, reply, sentAt} = exchange;
		if (reply.term > this.#term) {
			this.#opts.onHigherTerm(reply.term);
			return;
		}

		this.#recordFolder(progress, reply.folder);
		progress.confirmedAt = Math.max(progress.confirmedAt, sentAt);
		progress.takesParts = reply.takesParts === true;
		if (message.kind === 'snapshot-part' && (reply.heldBytes !== undefined || !reply.accepted)) {
			progress.transfer!.heldBytes = reply.heldBytes ?? progress.transfer!.heldBytes;
			return;
		}

		progress.transfer = undefined;
		if (reply.accepted) {
			const coveredIndex = message.kind === 'append' ? message.previousIndex + message.records.length : progress.nextIndex;
			progress.matchIndex = Math.max(progress.matchIndex, message.kind === 'append' ? Math.min(reply.durableIndex, coveredIndex) : reply.durableIndex);
			// A member may have removed records that its storage refused.
			progress.nextIndex = (message.kind === 'append' ? Math.min(coveredIndex, reply.lastIndex) : reply.lastIndex) + 1;
		} else {
			progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, reply.lastIndex + 1));
		}

		this.#opts.onProgress();
	}

	async #sleep(progress: Progress): Promise<void> {
		await new Promise<void>(resolve => {
			const cancelTimer = this.#opts.clock.startTimer(this.#opts.timing.heartbeatMs, resolve);
			progress.wake = () => {
				cancelTimer();
				resolve();
			};
		});
	}
}
