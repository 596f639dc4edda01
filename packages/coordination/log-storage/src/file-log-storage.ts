/**
 * Stores a replicated log in one data folder with four files: `log` holds the records, `snapshot` the latest snapshot,
 * `vote` the term and vote, and `folder` the folder's ID. A file is replaced atomically: the new content is written to a
 * temporary file and synced, the file is renamed, and the folder is synced.
 */
import {randomUUID} from 'node:crypto';
import {
	mkdir, open, readFile, rename, rm, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {describeError} from '@hickorytrack/errors';
import {acquireFolderLock, type FolderLock} from './folder-lock.js';
import {
	LogStorageError, type LogRecord, type LogStorage, type OpenedLog, type SnapshotRecord, type StoredSizes, type VoteState,
} from './log-storage.js';
import {
	decodeLog, encodeHeader, encodeRecord, formatVersion, headerBytes,
} from './record-codec.js';

/** Called before each write, sync and change of a file's length; tests throw from it to simulate a failing disk. */
export type DiskFaultInjector = {
	check(operation: 'write' | 'sync' | 'truncate'): void;
	/** Returns how many of the bytes of one write still fit on the disk. */
	countWritable?(bytes: number): number;
};

export type FileLogStorageOptions = {
	faultInjector?: DiskFaultInjector;
	/** Whether to lock the folder against other processes. Set to false on hosts without abstract Unix sockets that run a single process per folder. */
	isLocked?: boolean;
};

type ChecksummedFile = {
	format: number;
	checksum: number;
	text: string;
};

const isDiskFullError = (error: unknown): boolean => error instanceof Error && 'code' in error && (error.code === 'ENOSPC' || error.code === 'EDQUOT');
const isFileMissingError = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === 'ENOENT';

export class FileLogStorage implements LogStorage {
	readonly #folder: string;
	readonly #faultInjector: DiskFaultInjector | undefined;
	readonly #isLocked: boolean;
	#lock: FolderLock | undefined;
	#log: FileHandle | undefined;
	/** Byte offset of each record in the log file; the record with index `i` is at position `i - #firstIndex`. */
	#offsets: number[] = [];
	#firstIndex = 1;
	#size = 0;
	#snapshotBytes = 0;
	/** A failed append may have left bytes behind the last record. */
	#hasPartialRecord = false;
	/** The log has been replaced, and a loss of power may still bring the file before back. */
	#isReplacementPending = false;

	constructor(folder: string, opts: FileLogStorageOptions = {}) {
		this.#folder = folder;
		this.#faultInjector = opts.faultInjector;
		this.#isLocked = opts.isLocked ?? true;
	}

	get sizes(): StoredSizes {
		return {records: this.#size, snapshot: this.#snapshotBytes};
	}

	get mayKeepFailedAppend(): boolean {
		return this.#hasPartialRecord;
	}

	async open(): Promise<Result<OpenedLog, LogStorageError>> {
		try {
			await mkdir(this.#folder, {recursive: true});
			const locked = this.#isLocked ? await this.#acquireLock() : ok(undefined);
			if (locked.isErr()) {
				return err(locked.error);
			}

			const opened = await this.#readAll();
			if (opened.isErr()) {
				await this.close();
			}

			return opened;
		} catch (error) {
			await this.close();
			return err(error instanceof LogStorageError ? error : this.#convertError(error));
		}
	}

	async saveVote(vote: VoteState): Promise<Result<void, LogStorageError>> {
		return this.#runWrite(async () => this.#replaceFile('vote', JSON.stringify(vote)));
	}

	async append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		const frames = records.map(record => encodeRecord(record));
		const start = this.#size;
		const result = await this.#runWrite(async () => {
			await this.#confirmReplacement();
			await this.#removePartialRecord();
			this.#hasPartialRecord = true;
			await this.#writeAll(this.#log!, Buffer.concat(frames), start);
			this.#faultInjector?.check('sync');
			await this.#log!.datasync();
			this.#hasPartialRecord = false;
		});
		if (result.isErr()) {
			await this.#runWrite(async () => this.#removePartialRecord());
			return result;
		}

		if (this.#offsets.length === 0 && records.length > 0) {
			this.#firstIndex = records[0]!.index;
		}

		for (const frame of frames) {
			this.#offsets.push(this.#size);
			this.#size += frame.length;
		}

		return result;
	}

	async truncateFrom(index: number): Promise<Result<void, LogStorageError>> {
		const position = index - this.#firstIndex;
		const offset = this.#offsets[position];
		if (offset === undefined) {
			return ok(undefined);
		}

		return this.#runWrite(async () => {
			this.#faultInjector?.check('truncate');
			await this.#log!.truncate(offset);
			await this.#log!.datasync();
			this.#offsets.length = position;
			this.#size = offset;
		});
	}

	async saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#runWrite(async () => {
			const text = JSON.stringify(snapshot);
			await this.#replaceFile('snapshot', text);
			this.#snapshotBytes = Buffer.byteLength(text);
			await this.#rewriteLog(remaining);
		});
	}

	async discard(): Promise<Result<void, LogStorageError>> {
		return this.#runWrite(async () => {
			// The folder ID is removed first: without it, files left by an interrupted removal belong to no member.
			for (const name of ['folder', 'vote', 'snapshot', 'log']) {
				await rm(path.join(this.#folder, name), {force: true});
			}

			await this.#syncFolder();
		});
	}

	async close(): Promise<void> {
		await this.#log?.close();
		this.#log = undefined;
		await this.#lock?.release();
		this.#lock = undefined;
	}

	async #acquireLock(): Promise<Result<void, LogStorageError>> {
		const lock = await acquireFolderLock(this.#folder);
		if (lock.isErr()) {
			return err(lock.error);
		}

		this.#lock = lock.value;
		return ok(undefined);
	}

	async #readAll(): Promise<Result<OpenedLog, LogStorageError>> {
		const folder = await this.#readChecksummedFile('folder') ?? await this.#createFolderId();
		const vote = await this.#readChecksummedFile('vote');
		const snapshot = await this.#readChecksummedFile('snapshot');
		this.#snapshotBytes = Buffer.byteLength(snapshot ?? '');
		const records = await this.#openLog();
		if (records.isErr()) {
			return err(records.error);
		}

		const parsed = snapshot === undefined ? undefined : JSON.parse(snapshot) as SnapshotRecord;
		return ok({
			folder,
			vote: vote === undefined ? {term: 0} : JSON.parse(vote) as VoteState,
			snapshot: parsed,
			records: records.value.filter(record => record.index > (parsed?.index ?? 0)),
		});
	}

	async #createFolderId(): Promise<string> {
		const id = randomUUID();
		await this.#replaceFile('folder', id);
		return id;
	}

	async #openLog(): Promise<Result<LogRecord[], LogStorageError>> {
		const file = path.join(this.#folder, 'log');
		const bytes = await readFile(file).catch((error: unknown) => {
			if (isFileMissingError(error)) {
				return Buffer.alloc(0);
			}

			throw error;
		});
		const decoded = decodeLog(bytes, file);
		if (decoded.isErr()) {
			return err(decoded.error);
		}

		if (decoded.value.validBytes === 0) {
			await this.#rewriteLog([]);
			return ok([]);
		}

		this.#log = await open(file, 'r+');
		await this.#log.truncate(decoded.value.validBytes);
		await this.#log.datasync();
		this.#offsets = decoded.value.offsets;
		this.#firstIndex = decoded.value.records[0]?.index ?? 1;
		this.#size = decoded.value.validBytes;
		return ok(decoded.value.records);
	}

	async #rewriteLog(records: readonly LogRecord[]): Promise<void> {
		const file = path.join(this.#folder, 'log');
		const newLog = await open(`${file}.new`, 'w+');
		const frames = records.map(record => encodeRecord(record));
		try {
			await this.#writeAll(newLog, Buffer.concat([encodeHeader(), ...frames]), 0);
			await newLog.sync();
			await rename(`${file}.new`, file);
		} catch (error) {
			await newLog.close();
			throw error;
		}

		await this.#log?.close();
		this.#log = newLog;
		this.#isReplacementPending = true;
		this.#hasPartialRecord = false;
		this.#offsets = [];
		this.#firstIndex = records[0]?.index ?? 1;
		this.#size = headerBytes;
		for (const frame of frames) {
			this.#offsets.push(this.#size);
			this.#size += frame.length;
		}

		await this.#confirmReplacement();
	}

	async #confirmReplacement(): Promise<void> {
		if (this.#isReplacementPending) {
			await this.#syncFolder();
			this.#isReplacementPending = false;
		}
	}

	/** Removes what a failed append has left, so that a shorter record does not leave a part of it behind. */
	async #removePartialRecord(): Promise<void> {
		if (this.#hasPartialRecord) {
			this.#faultInjector?.check('truncate');
			await this.#log!.truncate(this.#size);
			await this.#log!.datasync();
			this.#hasPartialRecord = false;
		}
	}

	/** Writes all bytes. A disk that runs full takes a part of one write, and refuses the next one. */
	async #writeAll(file: FileHandle, bytes: Buffer, position: number): Promise<void> {
		let written = 0;
		while (written < bytes.length) {
			this.#faultInjector?.check('write');
			const rest = bytes.length - written;
			const {bytesWritten} = await file.write(bytes, written, this.#faultInjector?.countWritable?.(rest) ?? rest, position + written);
			written += bytesWritten;
		}
	}

	async #readChecksummedFile(name: string): Promise<string | undefined> {
		const file = path.join(this.#folder, name);
		let content: string;
		try {
			content = await readFile(file, 'utf8');
		} catch (error) {
			if (isFileMissingError(error)) {
				return undefined;
			}

			throw error;
		}

		return this.#parseChecksummedFile(file, content);
	}

	#parseChecksummedFile(file: string, content: string): string {
		let parsed: ChecksummedFile;
		try {
			parsed = JSON.parse(content) as ChecksummedFile;
		} catch (error) {
			throw new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', `${file} is not valid JSON`, {cause: error, hint: 'Move the data folder away and restart this member so that it rejoins its peers.'});
		}

		if (parsed.format !== formatVersion) {
			throw new LogStorageError('ERR_HICKORYTRACK_FORMAT_VERSION', `${file} has format version ${parsed.format}, but this release supports version ${formatVersion}`);
		}

		if (crc32(parsed.text) !== parsed.checksum) {
			throw new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', `${file} does not match its checksum`, {hint: 'Move the data folder away and restart this member so that it rejoins its peers.'});
		}

		return parsed.text;
	}

	async #replaceFile(name: string, text: string): Promise<void> {
		const file = path.join(this.#folder, name);
		const content: ChecksummedFile = {format: formatVersion, checksum: crc32(text), text};
		const handle = await open(`${file}.new`, 'w');
		try {
			this.#faultInjector?.check('write');
			await handle.writeFile(JSON.stringify(content));
			this.#faultInjector?.check('sync');
			await handle.sync();
		} finally {
			await handle.close();
		}

		await rename(`${file}.new`, file);
		await this.#syncFolder();
	}

	async #syncFolder(): Promise<void> {
		const handle = await open(this.#folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}

	async #runWrite(write: () => Promise<void>): Promise<Result<void, LogStorageError>> {
		try {
			await write();
			return ok(undefined);
		} catch (error) {
			return err(this.#convertError(error));
		}
	}

	#convertError(error: unknown): LogStorageError {
		if (isDiskFullError(error)) {
			return new LogStorageError('ERR_HICKORYTRACK_DISK_FULL', `No space left on the disk that holds ${this.#folder}`, {cause: error, hint: 'Free space on the disk; the member resumes without a restart.'});
		}

		return new LogStorageError('ERR_HICKORYTRACK_DISK_FAILED', `Disk operation in ${this.#folder} failed: ${describeError(error)}`, {cause: error, hint: 'Check the disk, then restart this member.'});
	}
}
