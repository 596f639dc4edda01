/**
 * State of the core about usage: which windows are decided with which totals, and which of them were accepted. It is a part of
 * the replicated state machine. Windows are decided in ascending order, and the first record for a window holds: a record for a
 * window that is not above the highest decided one changes nothing, so that no window is decided twice, even after it was
 * forgotten.
 *
 * It also keeps totals of windows that are not decided yet, of senders that may be gone when the next leader asks: the leader
 * itself and instances that it has lost.
 */
import {Fields} from '@hickorytrack/fields';
import type {SenderTotals, WindowTotals, WorkspaceCount} from '@hickorytrack/types/peer-methods';
import {parseDecided, parseSenders, parseUsageCommand} from './parse-usage-command.js';
import {WindowCounts} from './window-counts.js';

export type DecidedWindow = {window: number; counts: WorkspaceCount[]; isAccepted: boolean};

export type UsageCommand = {
	kind: 'usage-windows';
	/** The first window that is reported. Only the first such record has an effect. */
	begin?: number;
	totals?: SenderTotals[];
	decided?: WindowTotals;
	/** A decided window that the infrastructure has accepted. */
	accepted?: number;
};

/** An accepted window is forgotten when so many later ones exist. */
const keptWindows = 24;
/** The oldest windows that were not accepted are dropped beyond this number, which is an hour of windows of 5 s. */
const maxWaitingWindows = 720;

/** Tells whether a command of the replicated log is one of this state. */
export function isUsageCommand(command: unknown): command is UsageCommand {
	return (command as Partial<UsageCommand> | null | undefined)?.kind === 'usage-windows';
}

export class UsageStore {
	/** Highest window that was decided, or that precedes the first one; undefined before usage is reported. */
	#decidedTo: number | undefined;
	/** By window, ascending. */
	readonly #windows = new Map<number, DecidedWindow>();
	/** Totals of windows that are not decided, by sender. */
	readonly #totals = new Map<string, WindowCounts>();
	/** Highest decided window that was dropped because the infrastructure did not accept it. */
	#droppedTo: number | undefined;

	get decidedTo(): number | undefined {
		return this.#decidedTo;
	}

	get droppedTo(): number | undefined {
		return this.#droppedTo;
	}

	get waitingCount(): number {
		return this.#listWaiting().length;
	}

	/** Returns the oldest decided window that was not accepted. */
	findWaiting(): DecidedWindow | undefined {
		return this.#listWaiting()[0];
	}

	find(window: number): DecidedWindow | undefined {
		return this.#windows.get(window);
	}

	findTotals(sender: string): WindowCounts | undefined {
		return this.#totals.get(sender);
	}

	listSenders(): string[] {
		return [...this.#totals.keys()];
	}

	/** Throws a `FieldError`, and changes nothing, if the command can't be used. */
	apply(command: unknown): void {
		const {begin, totals, decided, accepted} = parseUsageCommand(command);
		if (begin !== undefined) {
			this.#decidedTo ??= begin - 1;
		}

		if (this.#decidedTo === undefined) {
			return;
		}

		this.#mergeTotals(totals ?? []);
		if (decided && decided[0] > this.#decidedTo) {
			this.#decide(decided);
		}

		const window = this.#windows.get(accepted ?? -1);
		if (window) {
			window.isAccepted = true;
		}

		this.#forget();
	}

	createSnapshot(): unknown {
		return {
			decidedTo: this.#decidedTo, droppedTo: this.#droppedTo, windows: [...this.#windows.values()], totals: [...this.#totals].map(([sender, counts]) => [sender, counts.list()] satisfies SenderTotals),
		};
	}

	/** Throws a `FieldError`, and changes nothing, if the snapshot can't be used. */
	restoreSnapshot(state: unknown): void {
		const fields = new Fields(state, {name: 'the usage'});
		const range = {min: -1, max: Number.MAX_SAFE_INTEGER, isInteger: true};
		const decidedTo = fields.readOptionalNumber('decidedTo', range);
		const droppedTo = fields.readOptionalNumber('droppedTo', range);
		const windows = parseDecided(fields.readList('windows'));
		const totals = parseSenders(fields.readList('totals'));
		this.#windows.clear();
		this.#totals.clear();
		for (const window of windows.sort((a, b) => a.window - b.window)) {
			this.#windows.set(window.window, window);
		}

		// A window that is kept was decided, whatever the rest of the snapshot says.
		const highest = [...this.#windows.keys()].at(-1);
		this.#decidedTo = highest === undefined ? decidedTo : Math.max(highest, decidedTo ?? highest);
		this.#droppedTo = droppedTo;
		if (this.#decidedTo !== undefined) {
			this.#mergeTotals(totals);
		}
	}

	#mergeTotals(totals: readonly SenderTotals[]): void {
		for (const [sender, windows] of totals) {
			const counts = this.#totals.get(sender) ?? new WindowCounts();
			counts.merge(windows, window => window > this.#decidedTo!);
			if (!counts.isEmpty) {
				this.#totals.set(sender, counts);
			}
		}
	}

	#decide([window, counts]: WindowTotals): void {
		this.#decidedTo = window;
		this.#windows.set(window, {window, counts, isAccepted: false});
		for (const [sender, totals] of this.#totals) {
			totals.discardTo(window);
			if (totals.isEmpty) {
				this.#totals.delete(sender);
			}
		}
	}

	#forget(): void {
		let later = this.#windows.size;
		for (const {window, isAccepted} of this.#windows.values()) {
			later--;
			if (isAccepted && later >= keptWindows) {
				this.#windows.delete(window);
			}
		}

		const waiting = this.#listWaiting();
		for (const {window} of waiting.slice(0, Math.max(0, waiting.length - maxWaitingWindows))) {
			this.#windows.delete(window);
			this.#droppedTo = window;
		}
	}

	#listWaiting(): DecidedWindow[] {
		return [...this.#windows.values()].filter(({isAccepted}) => !isAccepted);
	}
}
