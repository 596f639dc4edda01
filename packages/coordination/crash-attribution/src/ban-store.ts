/**
 * State of the core about what crashes servers: the traits that are banned, with the crashes that led to each ban. It is a part
 * of the replicated state machine, so that a ban outlives the end of all processes. Nothing is written while nothing is banned.
 */
import {parseBanCommand, parseBanRecords} from './parse-ban-command.js';
import type {SuspectTrait} from './run-traits.js';

export type BanRecord = {
	trait: string;
	/** The trait, and others that explain the same crashes. */
	suspects: SuspectTrait[];
	/** The last crashes with their wall time in milliseconds, oldest first. */
	crashes: Array<[id: string, at: number]>;
	/** Wall time of the last trial in milliseconds. */
	triedAt?: number;
	failedTrials: number;
};

export type BanCommand = {
	kind: 'crash-bans';
	/** Wall time of the proposal in milliseconds. */
	at: number;
	put: BanRecord[];
	/** Traits whose ban has ended. */
	removed: string[];
};

/** As long as an instance remembers crashes that support a ban. */
const lifetimeMs = 86_400_000;
/** The oldest bans are dropped first. */
const maxBans = 200;

/** Tells whether a command of the replicated log is one of this state. */
export function isBanCommand(command: unknown): command is BanCommand {
	return (command as Partial<BanCommand> | null | undefined)?.kind === 'crash-bans';
}

export class BanStore {
	readonly #records = new Map<string, BanRecord>();
	readonly #onStored: (records: readonly BanRecord[]) => void;

	/** `onStored` is called with the records that were stored or restored. */
	constructor(onStored: (records: readonly BanRecord[]) => void) {
		this.#onStored = onStored;
	}

	/** Throws a `FieldError`, and changes nothing, if the command can't be used. */
	apply(command: unknown): void {
		const {at, put, removed} = parseBanCommand(command);
		for (const trait of removed) {
			this.#records.delete(trait);
		}

		for (const record of put) {
			this.#records.delete(record.trait);
			this.#records.set(record.trait, record);
		}

		for (const [trait, {crashes}] of this.#records) {
			if (this.#records.size > maxBans || at - (crashes.at(-1)?.[1] ?? 0) > lifetimeMs) {
				this.#records.delete(trait);
			}
		}

		this.#onStored(put);
	}

	list(): BanRecord[] {
		return [...this.#records.values()];
	}

	/** Tells whether the record says as much as the one that is stored. */
	has(record: BanRecord): boolean {
		const stored = this.#records.get(record.trait);
		return stored !== undefined && encodeRecord(stored) === encodeRecord(record);
	}

	createSnapshot(): unknown {
		return this.list();
	}

	restoreSnapshot(state: unknown): void {
		this.#records.clear();
		for (const record of parseBanRecords(state)) {
			this.#records.set(record.trait, record);
		}

		this.#onStored(this.list());
	}
}

/** Times are read from clocks of several machines and differ a little. */
function encodeRecord({suspects, crashes, failedTrials}: BanRecord): string {
	return JSON.stringify([suspects.map(([trait]) => trait).sort(), crashes.map(([id]) => id), failedTrials]);
}
