/**
 * Counts the requests that an instance has had run, by window and workspace, and creates its reports to the leader of the core.
 * A report holds the totals that have changed since the leader of the same term took the last one; a new leader gets all of
 * them. A total replaces an earlier one, so that a report that is sent twice counts once.
 */
import type {Clock} from '@hickorytrack/clock';
import type {UsageReport, UsageReply} from '@hickorytrack/types/peer-methods';
import {WindowCounts} from './window-counts.js';

export type UsageCounterOptions = {
	clock: Clock;
	windowMs: number;
	/** Identifies this start of the instance. */
	sender: string;
};

/** Totals are kept for this time after the end of their window, as no window is decided later. */
const retentionMs = 90_000;

export class UsageCounter {
	readonly #opts: UsageCounterOptions;
	readonly #counts = new WindowCounts();
	/** What the leader of the term has confirmed. */
	#confirmed = new WindowCounts();
	#term: number | undefined;
	#decidedTo = -1;
	#firstWindow: number | undefined;

	constructor(opts: UsageCounterOptions) {
		this.#opts = opts;
	}

	/** The window in which workspaces were first known to this instance; undefined while there are none. */
	get firstWindow(): number | undefined {
		return this.#firstWindow;
	}

	get sender(): string {
		return this.#opts.sender;
	}

	get counts(): WindowCounts {
		return this.#counts;
	}

	/** Call this when a configuration with workspaces is in force. */
	begin(): void {
		this.#firstWindow ??= this.#getWindow();
	}

	/** Counts a request in the present window. If the wall clock is behind so far that this one is decided, it counts in the next. */
	count(workspace: string): void {
		this.begin();
		this.#counts.add(Math.max(this.#getWindow(), this.#decidedTo + 1), workspace, 1);
	}

	/** Time until the present window ends, in milliseconds. */
	get windowEndsInMs(): number {
		return ((this.#getWindow() + 1) * this.#opts.windowMs) - this.#opts.clock.now();
	}

	/** Creates a report of what has changed; undefined while there are no workspaces. */
	createReport(): UsageReport | undefined {
		if (this.#firstWindow === undefined) {
			return undefined;
		}

		const {clock, windowMs, sender} = this.#opts;
		this.#discardTo(Math.floor((clock.now() - retentionMs) / windowMs) - 1);
		return {
			sender, base: this.#term, until: clock.now(), windows: this.#counts.list(this.#term === undefined ? undefined : this.#confirmed),
		};
	}

	/** Records the answer to a report. Returns whether another one is due at once, because a new leader needs all totals. */
	handleReply(report: UsageReport, {term, decidedTo}: UsageReply): boolean {
		if (decidedTo !== undefined) {
			this.recordDecided(decidedTo);
		}

		if (term === undefined) {
			return false;
		}

		if (report.base !== undefined && report.base !== term) {
			this.#term = undefined;
			return true;
		}

		if (report.base === undefined) {
			this.#confirmed = new WindowCounts();
		}

		this.#term = term;
		this.#confirmed.merge(report.windows, window => window > this.#decidedTo);
		return false;
	}

	/** Call this when all windows up to this one are decided. */
	recordDecided(window: number): void {
		this.#decidedTo = Math.max(this.#decidedTo, window);
		this.#discardTo(window);
	}

	#discardTo(window: number): void {
		this.#counts.discardTo(window);
		this.#confirmed.discardTo(window);
	}

	#getWindow(): number {
		return Math.floor(this.#opts.clock.now() / this.#opts.windowMs);
	}
}
