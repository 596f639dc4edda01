/**
 * A queue that orders work by strict priority and, within a priority, by start-time fair queueing (Goyal, Vin and Cheng,
 * 1996) over workspaces, in units of engine time. The unused share of a workspace goes to the others, and an idle workspace
 * accumulates no credit. Work that exceeds its time limit in the queue is returned as expired, so that it is rejected early
 * instead of answered late.
 */
import type {Clock} from '@hickorytrack/clock';

export type QueuedWork<T> = {
	workspace: string;
	/** Lower numbers are served first. */
	priority: number;
	/** Weight relative to the other workspaces of the same priority. */
	share: number;
	/** Expected engine time in milliseconds. */
	costMs: number;
	/** Maximum time in the queue, in milliseconds. */
	queueMs: number;
	item: T;
	/** Goes before the other work of its workspace that waits, in the place of the first of these. */
	isFirst?: boolean;
};

type QueueEntry<T> = {
	startTag: number;
	expiresAt: number;
} & QueuedWork<T>;

type WorkspaceQueue<T> = {
	finishTag: number;
	share: number;
	entries: Array<QueueEntry<T>>;
};

/**
 * Inserts an entry behind those that go first as well. The entries keep their start tags in order, so that the place of the
 * workspace among the others stays as it was.
 */
function insertFirst<T>(entries: Array<QueueEntry<T>>, entry: QueueEntry<T>): void {
	const tags = [...entries.map(({startTag}) => startTag), entry.startTag];
	const position = entries.findIndex(({isFirst}) => !isFirst);
	entries.splice(position === -1 ? entries.length : position, 0, entry);
	for (const [index, each] of entries.entries()) {
		each.startTag = tags[index]!;
	}
}

/** The queues of all workspaces of one priority, and their virtual time. */
class PriorityClass<T> {
	readonly queues = new Map<string, WorkspaceQueue<T>>();
	virtualTime = 0;
	readonly burstMs: number;

	constructor(burstMs: number) {
		this.burstMs = burstMs;
	}

	push(entry: QueueEntry<T>): void {
		const queue = this.#getOrCreateQueue(entry.workspace, entry.share);
		entry.startTag = Math.max(this.virtualTime - (this.burstMs / entry.share), queue.finishTag);
		queue.finishTag = entry.startTag + (entry.costMs / entry.share);
		if (entry.isFirst) {
			insertFirst(queue.entries, entry);
		} else {
			queue.entries.push(entry);
		}
	}

	peek(): QueueEntry<T> | undefined {
		let best: QueueEntry<T> | undefined;
		for (const queue of this.queues.values()) {
			const head = queue.entries[0];
			if (head && (!best || head.startTag < best.startTag)) {
				best = head;
			}
		}

		return best;
	}

	dequeue(entry: QueueEntry<T>): void {
		this.virtualTime = Math.max(this.virtualTime, entry.startTag);
		this.remove(entry);
	}

	remove(entry: QueueEntry<T>): void {
		const queue = this.queues.get(entry.workspace)!;
		queue.entries.splice(queue.entries.indexOf(entry), 1);
		this.#removeIdleQueues();
	}

	/** Adds the difference between the actual and the expected cost to the finish tag of the workspace. */
	adjustCost(workspace: string, differenceMs: number): void {
		const queue = this.queues.get(workspace);
		if (queue) {
			queue.finishTag += differenceMs / queue.share;
		}
	}

	/** Returns the start tag that new work of the workspace would be given. */
	computeStartTag(workspace: string, share: number): number {
		return Math.max(this.virtualTime - (this.burstMs / share), this.queues.get(workspace)?.finishTag ?? Number.NEGATIVE_INFINITY);
	}

	/** Returns the total cost of the entries that are served no later than the given start tag. */
	computeCostUntil(startTag: number): number {
		let sum = 0;
		for (const queue of this.queues.values()) {
			for (const entry of queue.entries) {
				if (entry.startTag > startTag) {
					break;
				}

				sum += entry.costMs;
			}
		}

		return sum;
	}

	#getOrCreateQueue(workspace: string, share: number): WorkspaceQueue<T> {
		let queue = this.queues.get(workspace);
		if (!queue) {
			queue = {finishTag: Number.NEGATIVE_INFINITY, share, entries: []};
			this.queues.set(workspace, queue);
		}

		queue.share = share;
		return queue;
	}

	/** Removes empty queues whose finish tag can no longer affect a start tag. */
	#removeIdleQueues(): void {
		for (const [workspace, queue] of this.queues) {
			if (queue.entries.length === 0 && queue.finishTag <= this.virtualTime - (this.burstMs / queue.share)) {
				this.queues.delete(workspace);
			}
		}
	}
}

export type FairQueueOptions = {
	clock: Clock;
	/** Maximum number of queued entries over all workspaces. */
	maximumLength: number;
	/**
	 * Engine time in milliseconds by which a workspace that used less than its share may be served ahead of the others.
	 * Without a burst, a workspace just under its share waits as long as if it ran alone on an engine with only its share
	 * of the speed.
	 */
	burstMs?: number;
};

export class FairQueue<T> {
	readonly #clock: Clock;
	readonly #maximumLength: number;
	readonly #burstMs: number;
	readonly #classes = new Map<number, PriorityClass<T>>();
	#length = 0;
	#costMs = 0;

	constructor(opts: FairQueueOptions) {
		this.#clock = opts.clock;
		this.#maximumLength = opts.maximumLength;
		this.#burstMs = opts.burstMs ?? 0;
	}

	get length(): number {
		return this.#length;
	}

	/** Expected engine time of all queued work, in milliseconds. */
	get costMs(): number {
		return this.#costMs;
	}

	/** Returns the number of queued entries of the workspace. */
	countQueued(workspace: string): number {
		let count = 0;
		for (const priorityClass of this.#classes.values()) {
			count += priorityClass.queues.get(workspace)?.entries.length ?? 0;
		}

		return count;
	}

	/**
	 * Adds work to the queue; returns false if the queue is full. If `onEvicted` is given, a full queue still accepts work of
	 * a workspace that holds fewer entries per share than the largest holder, by evicting the newest entry of that holder.
	 * Entries of a more urgent priority than the new work are not evicted.
	 */
	push(work: QueuedWork<T>, opts: {onEvicted?: (item: T) => void} = {}): boolean {
		if (this.#length >= this.#maximumLength && !this.#evictFor(work, opts.onEvicted)) {
			return false;
		}

		const entry: QueueEntry<T> = {...work, startTag: 0, expiresAt: this.#clock.monotonic() + work.queueMs};
		this.#getOrCreateClass(work.priority).push(entry);
		this.#length++;
		this.#costMs += work.costMs;
		return true;
	}

	/** Removes and returns the next work in order, or `undefined` if the queue is empty. */
	pop(): QueuedWork<T> | undefined {
		for (const priority of [...this.#classes.keys()].sort((a, b) => a - b)) {
			const priorityClass = this.#classes.get(priority)!;
			const entry = priorityClass.peek();
			if (entry) {
				priorityClass.dequeue(entry);
				this.#subtractFromTotals(entry);
				return entry;
			}
		}

		return undefined;
	}

	/**
	 * Returns the engine time, in milliseconds, of the queued work that would be served before new work of this
	 * workspace.
	 */
	estimateCostAhead(work: Pick<QueuedWork<T>, 'workspace' | 'priority' | 'share'>): number {
		let costMs = 0;
		for (const [priority, priorityClass] of this.#classes) {
			if (priority < work.priority) {
				costMs += priorityClass.computeCostUntil(Number.POSITIVE_INFINITY);
			} else if (priority === work.priority) {
				costMs += priorityClass.computeCostUntil(priorityClass.computeStartTag(work.workspace, work.share));
			}
		}

		return costMs;
	}

	/** Removes and returns all work whose time limit in the queue has passed. */
	removeExpired(): Array<QueuedWork<T>> {
		const now = this.#clock.monotonic();
		return this.#removeEntries(entry => entry.expiresAt <= now);
	}

	/** Removes and returns the work whose items match the predicate. */
	removeWhere(predicate: (item: T) => boolean): Array<QueuedWork<T>> {
		return this.#removeEntries(entry => predicate(entry.item));
	}

	/** Replaces the expected cost of finished work by the actual cost in the account of its workspace. */
	applyActualCost(work: QueuedWork<T>, actualCostMs: number): void {
		this.#classes.get(work.priority)?.adjustCost(work.workspace, actualCostMs - work.costMs);
	}

	#getOrCreateClass(priority: number): PriorityClass<T> {
		let priorityClass = this.#classes.get(priority);
		if (!priorityClass) {
			priorityClass = new PriorityClass(this.#burstMs);
			this.#classes.set(priority, priorityClass);
		}

		return priorityClass;
	}

	#removeEntries(predicate: (entry: QueueEntry<T>) => boolean): Array<QueuedWork<T>> {
		const removed: Array<QueueEntry<T>> = [];
		for (const priorityClass of this.#classes.values()) {
			const found = [...priorityClass.queues.values()].flatMap(queue => queue.entries.filter(entry => predicate(entry)));
			for (const entry of found) {
				priorityClass.remove(entry);
				priorityClass.adjustCost(entry.workspace, -entry.costMs);
				this.#subtractFromTotals(entry);
			}

			removed.push(...found);
		}

		return removed;
	}

	#evictFor(work: QueuedWork<T>, onEvicted: ((item: T) => void) | undefined): boolean {
		let victim: QueueEntry<T> | undefined;
		let largestHolding = 0;
		for (const priorityClass of this.#classes.values()) {
			for (const queue of priorityClass.queues.values()) {
				const last = queue.entries.at(-1);
				const holding = queue.entries.length / queue.share;
				if (last && last.priority >= work.priority && holding > largestHolding) {
					victim = last;
					largestHolding = holding;
				}
			}
		}

		if (!victim || !onEvicted || victim.workspace === work.workspace || (this.countQueued(work.workspace) + 1) / work.share >= largestHolding) {
			return false;
		}

		const evicted = victim;
		for (const removed of this.#removeEntries(entry => entry === evicted)) {
			onEvicted(removed.item);
		}

		return true;
	}

	#subtractFromTotals(entry: QueueEntry<T>): void {
		this.#length--;
		this.#costMs -= entry.costMs;
	}
}
