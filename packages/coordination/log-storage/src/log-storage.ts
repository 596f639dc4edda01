/**
 * Storage interface of a replicated log. A write is acknowledged only once it is synced to disk.
 *
 * Errors: `ERR_HICKORYTRACK_DISK_FULL` leaves the storage as it was before the write; `ERR_HICKORYTRACK_LOG_CORRUPT` and
 * `ERR_HICKORYTRACK_FORMAT_VERSION` come from `open` only; any other write error is `ERR_HICKORYTRACK_DISK_FAILED`.
 */
import type {Result} from 'neverthrow';
import {HickorytrackError} from '@hickorytrack/errors';

export class LogStorageError extends HickorytrackError {}

export const recordKinds = {command: 'command', noop: 'noop', members: 'members'} as const;
export type RecordKind = typeof recordKinds[keyof typeof recordKinds];

export type LogRecord = {
	index: number;
	term: number;
	kind: RecordKind;
	payload: unknown;
};

export type VoteState = {
	term: number;
	votedFor?: string;
};

export type SnapshotRecord = {
	/** Index of the last record that the snapshot covers. */
	index: number;
	term: number;
	members: unknown;
	state: unknown;
};

export type OpenedLog = {
	/** ID of the data folder, generated when it is first opened. A folder that is recreated after a loss gets a new ID. */
	folder: string;
	vote: VoteState;
	snapshot?: SnapshotRecord;
	records: LogRecord[];
};

/** Sizes of what is stored, in bytes. */
export type StoredSizes = {
	records: number;
	/** 0 without a snapshot. */
	snapshot: number;
};

export type LogStorage = {
	/** Sizes after the last write; valid once the storage is open. */
	readonly sizes: StoredSizes;
	/** True if records of a failed append may be read again at the next `open`. */
	readonly mayKeepFailedAppend: boolean;
	open(): Promise<Result<OpenedLog, LogStorageError>>;
	saveVote(vote: VoteState): Promise<Result<void, LogStorageError>>;
	append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>>;
	/** Removes the record with this index and all later ones. */
	truncateFrom(index: number): Promise<Result<void, LogStorageError>>;
	/** Saves the snapshot, then replaces the log's records by `remaining`. */
	saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>>;
	/** Deletes all stored data, so that the next `open` creates a new folder ID. Used when the log is corrupt and has to be restored from peers. */
	discard(): Promise<Result<void, LogStorageError>>;
	close(): Promise<void>;
};
