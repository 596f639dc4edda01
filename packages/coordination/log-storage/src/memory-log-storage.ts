/** Storage in memory, for tests and for embedders that need no durability. It can be told to fail. */
import {err, ok, type Result} from 'neverthrow';
import {
	LogStorageError, type LogRecord, type LogStorage, type OpenedLog, type SnapshotRecord, type VoteState,
} from './log-storage.js';

export class MemoryLogStorage implements LogStorage {
	/** While true, every write fails as on a full disk. */
	full = false;
	readonly #folder: string;
	#vote: VoteState = {term: 0};
	#snapshot: SnapshotRecord | undefined;
	#records: LogRecord[] = [];
	#discards = 0;

	constructor(folder = 'memory') {
		this.#folder = folder;
	}

	async open(): Promise<Result<OpenedLog, LogStorageError>> {
		return ok({
			folder: this.#discards === 0 ? this.#folder : `${this.#folder}/${this.#discards}`, vote: {...this.#vote}, snapshot: structuredClone(this.#snapshot), records: structuredClone(this.#records),
		});
	}

	async saveVote(vote: VoteState): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#vote = {...vote};
		});
	}

	async append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#records.push(...structuredClone(records));
		});
	}

	async truncateFrom(index: number): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#records = this.#records.filter(record => record.index < index);
		});
	}

	async saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#snapshot = structuredClone(snapshot);
			this.#records = structuredClone([...remaining]);
		});
	}

	async discard(): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#vote = {term: 0};
			this.#snapshot = undefined;
			this.#records = [];
			this.#discards++;
		});
	}

	async close(): Promise<void> {
		// Nothing is held open.
	}

	#write(change: () => void): Result<void, LogStorageError> {
		if (this.full) {
			return err(new LogStorageError('ERR_HICKORYTRACK_DISK_FULL', 'The storage is full'));
		}

		change();
		return ok(undefined);
	}
}
