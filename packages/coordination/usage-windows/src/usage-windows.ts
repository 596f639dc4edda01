/**
 * The leader's part of usage: it collects the totals of all instances, adds them up, and has the sums of each window decided by
 * the replicated log, the oldest window first. What it has collected holds for its term; a new leader gets all totals from
 * the instances that run, and those of the others from the log.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {
	SenderTotals, UsageReply, UsageReport, WorkspaceCount,
} from '@hickorytrack/types/peer-methods';
import type {UsageCounter} from './usage-counter.js';
import type {UsageCommand, UsageStore} from './usage-store.js';
import {WindowCounts} from './window-counts.js';

export type UsageWindowsOptions = {
	clock: Clock;
	events: Pick<EventLog, 'emit'>;
	windowMs: number;
	/** Time after the end of a window at which its report is due, in milliseconds. */
	dueMs: number;
	/** The totals of this instance. */
	counter: UsageCounter;
	store: UsageStore;
	/** The term in which this instance leads, if all members of the core know the records of usage; otherwise undefined. */
	getTerm: () => number | undefined;
	/** Lists the other instances that are connected and send reports. */
	listSenders: () => readonly string[];
	/** Appends a command to the replicated log; resolves with false without a confirmation. */
	propose: (command: UsageCommand) => Promise<boolean>;
};

type Collected = {counts: WindowCounts; until: number; heardAt: number};

const intervalMs = 100;
/** Earliest and latest time after the end of a window at which it is decided, in milliseconds. */
const earliestMs = 1000;
const latestMs = 5000;
/** The latest decision is made at this part of the time until the report is due, so that the call and its retries have the rest. */
const decisionPart = 0.5;
/** Windows that ended earlier and were not decided are dropped. */
const maxAgeMs = 60_000;
/** Interval at which the leader stores its own totals and those of lost instances. An instance that is killed loses the counts of at most this time. */
const saveIntervalMs = 1000;
/** Totals in one record; further ones follow in the next. */
const maxSavedCounts = 4000;
/** Totals of windows this far ahead are of an instance whose clock is wrong. */
const maxWindowsAhead = 12;

export class UsageWindows {
	readonly #opts: UsageWindowsOptions;
	readonly #collected = new Map<string, Collected>();
	#led: {term: number; since: number} | undefined;
	#savedAt = Number.NEGATIVE_INFINITY;
	#reportedDrop: number | undefined;

	constructor(opts: UsageWindowsOptions) {
		this.#opts = opts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(intervalMs, signal);
			await this.update();
		}
	}

	/** Takes a report of an instance. Without a term in the answer, this instance does not lead. */
	collect({sender, base, until, windows}: UsageReport): UsageReply {
		const term = this.#updateTerm();
		const {decidedTo} = this.#opts.store;
		if (term !== undefined && (base === undefined || base === term)) {
			this.#record(sender, {until}).merge(windows, window => this.#isOpen(window));
		}

		return {term, decidedTo};
	}

	/** Decides what is due, while this instance leads. */
	async update(): Promise<void> {
		const {counter, store, propose} = this.#opts;
		const term = this.#updateTerm();
		const {decidedTo} = store;
		if (decidedTo !== undefined) {
			counter.recordDecided(decidedTo);
			this.#discardTo(decidedTo);
		}

		if (term === undefined) {
			return;
		}

		if (decidedTo === undefined) {
			if (counter.firstWindow !== undefined) {
				await propose({kind: 'usage-windows', begin: counter.firstWindow});
			}

			return;
		}

		this.#reportDropped();
		this.#record(counter.sender, {until: this.#opts.clock.now()}).merge(counter.counts.list(), window => this.#isOpen(window));
		await this.#save();
		if (this.#updateTerm() === term) {
			await this.#decideOldest(decidedTo);
		}
	}

	/** Stores what is not stored yet, before this instance stops. */
	async finish(): Promise<void> {
		this.#savedAt = Number.NEGATIVE_INFINITY;
		await this.update();
	}

	#updateTerm(): number | undefined {
		const term = this.#opts.getTerm();
		// A leader that for a moment must not write records goes on in the same term, in which instances send it changes alone.
		if (term !== undefined && this.#led?.term !== term) {
			this.#led = {term, since: this.#opts.clock.monotonic()};
			this.#collected.clear();
			this.#reportedDrop = this.#opts.store.droppedTo;
		}

		return term;
	}

	#record(sender: string, {until}: {until: number}): WindowCounts {
		const {counts} = this.#collected.get(sender) ?? {counts: new WindowCounts()};
		this.#collected.set(sender, {counts, until, heardAt: this.#opts.clock.monotonic()});
		return counts;
	}

	#isOpen(window: number): boolean {
		const {clock, windowMs, store} = this.#opts;
		return window > (store.decidedTo ?? -1) && window <= (clock.now() / windowMs) + maxWindowsAhead;
	}

	/** Discards the totals up to this window, and instances that have gone. */
	#discardTo(window: number): void {
		const now = this.#opts.clock.monotonic();
		for (const [sender, {counts, heardAt}] of this.#collected) {
			counts.discardTo(window);
			if (counts.isEmpty && now - heardAt >= latestMs) {
				this.#collected.delete(sender);
			}
		}
	}

	/** Stores the totals that would be lost with this instance. */
	async #save(): Promise<void> {
		const {clock, store, listSenders, propose} = this.#opts;
		if (clock.monotonic() - this.#savedAt < saveIntervalMs) {
			return;
		}

		this.#savedAt = clock.monotonic();
		const connected = new Set(listSenders());
		const totals: SenderTotals[] = [];
		let left = maxSavedCounts;
		for (const [sender, {counts}] of this.#collected) {
			const changed = connected.has(sender) ? [] : counts.list(store.findTotals(sender), left);
			left -= changed.reduce((sum, [, each]) => sum + each.length, 0);
			if (changed.length > 0) {
				totals.push([sender, changed]);
			}
		}

		if (totals.length > 0) {
			await propose({kind: 'usage-windows', totals});
		}
	}

	async #decideOldest(decidedTo: number): Promise<void> {
		const {clock, windowMs, dueMs, store, events, propose} = this.#opts;
		const now = clock.now();
		const window = Math.max(decidedTo + 1, Math.ceil((now - maxAgeMs) / windowMs) - 1);
		const end = (window + 1) * windowMs;
		const waitMs = Math.min(latestMs, dueMs * decisionPart);
		// A new leader has heard no instance yet, and makes no call in this time.
		const isCollected = clock.monotonic() - this.#led!.since >= latestMs;
		if (!isCollected || now < end + Math.min(earliestMs, waitMs)) {
			return;
		}

		const missing = this.#listMissing(end);
		if (missing.length > 0 && now < end + waitMs) {
			return;
		}

		// The wall clock of this instance may have been set ahead; a window that is decided too early has lost its requests.
		const others = this.#listRecent().filter(([sender]) => sender !== this.#opts.counter.sender);
		if (others.length > 0 && others.every(([, {until}]) => until < end)) {
			return;
		}

		const counts = this.#sum(window);
		await propose({kind: 'usage-windows', decided: [window, counts]});
		if ((store.decidedTo ?? -1) < window) {
			return;
		}

		if (window > decidedTo + 1) {
			events.emit('usageWindowsDropped', {from: decidedTo + 1, to: window - 1, reason: 'not decided in time'});
		}

		events.emit('usageDecided', {
			window, requests: counts.reduce((sum, [, count]) => sum + count, 0), workspaces: counts.length, senders: this.#collected.size, missing,
		});
	}

	/** Lists the instances that are connected, or were heard of late, and have not reported past the time. */
	#listMissing(end: number): string[] {
		const recent = this.#listRecent().map(([sender]) => sender);
		return [...new Set([...this.#opts.listSenders(), ...recent])].filter(sender => (this.#collected.get(sender)?.until ?? 0) < end);
	}

	#listRecent(): Array<[sender: string, collected: Collected]> {
		const now = this.#opts.clock.monotonic();
		return [...this.#collected].filter(([, {heardAt}]) => now - heardAt < latestMs);
	}

	/** Adds up the totals of all senders, each of them as high as it is known here or in the log. */
	#sum(window: number): WorkspaceCount[] {
		const {store} = this.#opts;
		const sums = new WindowCounts();
		for (const sender of new Set([...this.#collected.keys(), ...store.listSenders()])) {
			const totals = new WindowCounts();
			totals.merge([[window, store.findTotals(sender)?.listWindow(window) ?? []], [window, this.#collected.get(sender)?.counts.listWindow(window) ?? []]]);
			for (const [workspace, count] of totals.listWindow(window)) {
				sums.add(window, workspace, count);
			}
		}

		return sums.listWindow(window);
	}

	#reportDropped(): void {
		const {droppedTo} = this.#opts.store;
		if (droppedTo !== undefined && droppedTo !== this.#reportedDrop) {
			this.#opts.events.emit('usageWindowsDropped', {to: droppedTo, reason: 'not accepted in time'});
		}

		this.#reportedDrop = droppedTo;
	}
}
