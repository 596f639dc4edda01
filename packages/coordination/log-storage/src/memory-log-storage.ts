/** In-memory storage for tests and for embedders that need no durability. `full` and `capacityBytes` make writes fail. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {
	LogStorageError, type LogRecord, type LogStorage, type OpenedLog, type SnapshotRecord, type StoredSizes, type VoteState,
} from './log-storage.js';

export class MemoryLogStorage implements LogStorage {
	/** While true, every write fails with `ERR_HICKORYTRACK_DISK_FULL`. */
	full = false;
	/** A write after which the records and the snapshot would be larger fails with `ERR_HICKORYTRACK_DISK_FULL`. */
	capacityBytes = Number.POSITIVE_INFINITY;
	readonly mayKeepFailedAppend = false;
	readonly #folder: string;
	#vote: VoteState = {term: 0};
	#snapshot: SnapshotRecord | undefined;
	#records: LogRecord[] = [];
	#recordBytes = 0;
	#snapshotBytes = 0;
	#discardCount = 0;

	constructor(folder = 'memory') {
		this.#folder = folder;
	}

	get sizes(): StoredSizes {
		return {records: this.#recordBytes, snapshot: this.#snapshotBytes};
	}

	async open(): Promise<Result<OpenedLog, LogStorageError>> {
		return ok({
			folder: this.#discardCount === 0 ? this.#folder : `${this.#folder}/${this.#discardCount}`, vote: {...this.#vote}, snapshot: structuredClone(this.#snapshot), records: structuredClone(this.#records),
		});
	}

	async saveVote(vote: VoteState): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#vote = {...vote};
		});
	}

	async append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		const bytes = countBytes(records);
		return this.#write(() => {
			this.#records.push(...structuredClone(records));
			this.#recordBytes += bytes;
		}, this.#recordBytes + this.#snapshotBytes + bytes);
	}

	async truncateFrom(index: number): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#records = this.#records.filter(record => record.index < index);
			this.#recordBytes = countBytes(this.#records);
		});
	}

	async saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		const snapshotBytes = countBytes(snapshot);
		const recordBytes = countBytes(remaining);
		return this.#write(() => {
			this.#snapshot = structuredClone(snapshot);
			this.#records = structuredClone([...remaining]);
			this.#snapshotBytes = snapshotBytes;
			this.#recordBytes = recordBytes;
		}, snapshotBytes + recordBytes);
	}

	async discard(): Promise<Result<void, LogStorageError>> {
		return this.#write(() => {
			this.#vote = {term: 0};
			this.#snapshot = undefined;
			this.#records = [];
			this.#recordBytes = 0;
			this.#snapshotBytes = 0;
			this.#discardCount++;
		});
	}

	async close(): Promise<void> {
		// There is no file to close.
	}

	#write(change: () => void, bytesAfter = 0): Result<void, LogStorageError> {
		if (this.full || bytesAfter > this.capacityBytes) {
			return err(new LogStorageError('ERR_HICKORYTRACK_DISK_FULL', 'The storage is full'));
		}

		change();
		return ok(undefined);
	}
}

function countBytes(value: unknown): number {
	return Buffer.byteLength(JSON.stringify(value));
}
