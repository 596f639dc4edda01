/**
 * Order of work among workspaces: strict priority first, then start-time fair queueing (Goyal, Vin and Cheng, 1996) in units
 * of engine time. A workspace's unused share goes to the others; a workspace that was idle does not collect credit. Work that
 * has waited longer than its bound is given back as expired, so that it is refused early instead of answered late.
 */
import type {Clock} from '@hickorytrack/clock';

export type QueuedWork<T> = {
	workspace: string;
	/** A lower number goes first. */
	priority: number;
	/** Weight among workspaces of one priority. */
	share: number;
	/** Expected engine time in milliseconds. */
	costMs: number;
	/** Longest time in queue, in milliseconds. */
	queueMs: number;
	item: T;
};

type Entry<T> = {
	start: number;
	expiresAt: number;
} & QueuedWork<T>;

type WorkspaceLine<T> = {
	finish: number;
	share: number;
	entries: Array<Entry<T>>;
};

/** The workspaces of one priority with their virtual time. */
class PriorityClass<T> {
	readonly lines = new Map<string, WorkspaceLine<T>>();
	virtualTime = 0;
	readonly burstMs: number;

	constructor(burstMs: number) {
		this.burstMs = burstMs;
	}

	push(entry: Entry<T>): void {
		const line = this.#openLine(entry.workspace, entry.share);
		entry.start = Math.max(this.virtualTime - (this.burstMs / entry.share), line.finish);
		line.finish = entry.start + (entry.costMs / entry.share);
		line.entries.push(entry);
	}

	peek(): Entry<T> | undefined {
		let best: Entry<T> | undefined;
		for (const line of this.lines.values()) {
			const head = line.entries[0];
			if (head && (!best || head.start < best.start)) {
				best = head;
			}
		}

		return best;
	}

	take(entry: Entry<T>): void {
		this.virtualTime = Math.max(this.virtualTime, entry.start);
		this.remove(entry);
	}

	remove(entry: Entry<T>): void {
		const line = this.lines.get(entry.workspace)!;
		line.entries.splice(line.entries.indexOf(entry), 1);
		this.#forgetIdleLines();
	}

	/** Charges or refunds the difference between expected and real cost. */
	charge(workspace: string, differenceMs: number): void {
		const line = this.lines.get(workspace);
		if (line) {
			line.finish += differenceMs / line.share;
		}
	}

	/** Returns the start tag that new work of the workspace would get. */
	findStart(workspace: string, share: number): number {
		return Math.max(this.virtualTime - (this.burstMs / share), this.lines.get(workspace)?.finish ?? Number.NEGATIVE_INFINITY);
	}

	/** Sums up the cost of the entries whose turn comes before a start tag. */
	sumCostBefore(start: number): number {
		let sum = 0;
		for (const line of this.lines.values()) {
			for (const entry of line.entries) {
				if (entry.start > start) {
					break;
				}

				sum += entry.costMs;
			}
		}

		return sum;
	}

	#openLine(workspace: string, share: number): WorkspaceLine<T> {
		let line = this.lines.get(workspace);
		if (!line) {
			line = {finish: Number.NEGATIVE_INFINITY, share, entries: []};
			this.lines.set(workspace, line);
		}

		line.share = share;
		return line;
	}

	/** An idle line whose finish tag lies in the past holds no information. */
	#forgetIdleLines(): void {
		for (const [workspace, line] of this.lines) {
			if (line.entries.length === 0 && line.finish <= this.virtualTime - (this.burstMs / line.share)) {
				this.lines.delete(workspace);
			}
		}
	}
}

export type FairQueueOptions = {
	clock: Clock;
	/** Entries that may wait at once, over all workspaces. */
	maximumLength: number;
	/**
	 * Engine time in milliseconds by which a workspace that used less than its share may go ahead of the others. Without it a
	 * workspace just under its share waits as long as if it had the engine to its share alone.
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

	/** Expected engine time of all that waits, in milliseconds. */
	get costMs(): number {
		return this.#costMs;
	}

	/** Returns how many entries of the workspace wait. */
	countQueued(workspace: string): number {
		let count = 0;
		for (const priorityClass of this.#classes.values()) {
			count += priorityClass.lines.get(workspace)?.entries.length ?? 0;
		}

		return count;
	}

	/**
	 * Adds work; false when the queue is full. A full queue still takes work of a workspace that holds less than its part of
	 * it, by giving back the newest entry of the workspace that holds most through `displaced`.
	 */
	push(work: QueuedWork<T>, opts: {onEvicted?: (item: T) => void} = {}): boolean {
		if (this.#length >= this.#maximumLength && !this.#displace(work, opts.onEvicted)) {
			return false;
		}

		const entry: Entry<T> = {...work, start: 0, expiresAt: this.#clock.monotonic() + work.queueMs};
		this.#openClass(work.priority).push(entry);
		this.#length++;
		this.#costMs += work.costMs;
		return true;
	}

	/** Takes the next work in order, or `undefined` when nothing waits. */
	pop(): QueuedWork<T> | undefined {
		for (const priority of [...this.#classes.keys()].sort((a, b) => a - b)) {
			const priorityClass = this.#classes.get(priority)!;
			const entry = priorityClass.peek();
			if (entry) {
				priorityClass.take(entry);
				this.#forget(entry);
				return entry;
			}
		}

		return undefined;
	}

	/** Returns the engine time, in milliseconds, of the work that would go before new work of this workspace. */
	estimateCostAhead(work: Pick<QueuedWork<T>, 'workspace' | 'priority' | 'share'>): number {
		let ahead = 0;
		for (const [priority, priorityClass] of this.#classes) {
			if (priority < work.priority) {
				ahead += priorityClass.sumCostBefore(Number.POSITIVE_INFINITY);
			} else if (priority === work.priority) {
				ahead += priorityClass.sumCostBefore(priorityClass.findStart(work.workspace, work.share));
			}
		}

		return ahead;
	}

	/** Removes and returns all work that has waited longer than its bound. */
	removeExpired(): Array<QueuedWork<T>> {
		const now = this.#clock.monotonic();
		return this.#removeEntries(entry => entry.expiresAt <= now);
	}

	/** Removes and returns the work for which the predicate holds. */
	removeWhere(predicate: (item: T) => boolean): Array<QueuedWork<T>> {
		return this.#removeEntries(entry => predicate(entry.item));
	}

	/** Corrects a workspace's account once the real cost is known. */
	applyActualCost(work: QueuedWork<T>, realCostMs: number): void {
		this.#classes.get(work.priority)?.charge(work.workspace, realCostMs - work.costMs);
	}

	#openClass(priority: number): PriorityClass<T> {
		let priorityClass = this.#classes.get(priority);
		if (!priorityClass) {
			priorityClass = new PriorityClass(this.#burstMs);
			this.#classes.set(priority, priorityClass);
		}

		return priorityClass;
	}

	#removeEntries(predicate: (entry: Entry<T>) => boolean): Array<QueuedWork<T>> {
		const removed: Array<Entry<T>> = [];
		for (const priorityClass of this.#classes.values()) {
			const found = [...priorityClass.lines.values()].flatMap(line => line.entries.filter(entry => predicate(entry)));
			for (const entry of found) {
				priorityClass.remove(entry);
				priorityClass.charge(entry.workspace, -entry.costMs);
				this.#forget(entry);
			}

			removed.push(...found);
		}

		return removed;
	}

	#displace(work: QueuedWork<T>, onDisplaced: ((item: T) => void) | undefined): boolean {
		let largest: Entry<T> | undefined;
		let largestHeld = 0;
		for (const priorityClass of this.#classes.values()) {
			for (const line of priorityClass.lines.values()) {
				const last = line.entries.at(-1);
				const held = line.entries.length / line.share;
				if (last && last.priority >= work.priority && held > largestHeld) {
					largest = last;
					largestHeld = held;
				}
			}
		}

		if (!largest || !onDisplaced || largest.workspace === work.workspace || (this.countQueued(work.workspace) + 1) / work.share >= largestHeld) {
			return false;
		}

		const victim = largest;
		for (const removed of this.#removeEntries(entry => entry === victim)) {
			onDisplaced(removed.item);
		}

		return true;
	}

	#forget(entry: Entry<T>): void {
		this.#length--;
		this.#costMs -= entry.costMs;
	}
}
