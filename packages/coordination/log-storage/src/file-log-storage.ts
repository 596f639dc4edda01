/**
 * Storage of a replicated log in one data folder: `log` with the records, `snapshot`, `vote` and `folder`. Whole files
 * are replaced by writing a new one, syncing it, renaming it and syncing the folder.
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
	LogStorageError, type LogRecord, type LogStorage, type OpenedLog, type SnapshotRecord, type VoteState,
} from './log-storage.js';
import {
	decodeLog, encodeHeader, encodeRecord, formatVersion, headerBytes,
} from './record-codec.js';

/** Stands between the storage and the disk, so that tests can make a write or a sync fail. */
export type DiskFaultInjector = {
	check(operation: 'write' | 'sync'): void;
};

export type FileLogStorageOptions = {
	faultInjector?: DiskFaultInjector;
	/** Keeps other processes out of the folder. Off where the machine offers no named sockets and starts one process for each folder. */
	isLocked?: boolean;
};

type CheckedFile = {
	format: number;
	checksum: number;
	text: string;
};

const isFull = (error: unknown): boolean => error instanceof Error && 'code' in error && (error.code === 'ENOSPC' || error.code === 'EDQUOT');
const isMissing = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === 'ENOENT';

export class FileLogStorage implements LogStorage {
	readonly #folder: string;
	readonly #faultInjector: DiskFaultInjector | undefined;
	readonly #isLocked: boolean;
	#lock: FolderLock | undefined;
	#log: FileHandle | undefined;
	/** Offset of each record by its index minus `#firstIndex`. */
	#offsets: number[] = [];
	#firstIndex = 1;
	#size = 0;

	constructor(folder: string, opts: FileLogStorageOptions = {}) {
		this.#folder = folder;
		this.#faultInjector = opts.faultInjector;
		this.#isLocked = opts.isLocked ?? true;
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
		return this.#attempt(async () => this.#replaceFile('vote', JSON.stringify(vote)));
	}

	async append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		const frames = records.map(record => encodeRecord(record));
		const start = this.#size;
		const result = await this.#attempt(async () => {
			this.#faultInjector?.check('write');
			await this.#log!.write(Buffer.concat(frames), undefined, undefined, start);
			this.#faultInjector?.check('sync');
			await this.#log!.datasync();
		});
		if (result.isErr()) {
			await this.#attempt(async () => this.#log!.truncate(start));
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

		return this.#attempt(async () => {
			await this.#log!.truncate(offset);
			await this.#log!.datasync();
			this.#offsets.length = position;
			this.#size = offset;
		});
	}

	async saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#attempt(async () => {
			await this.#replaceFile('snapshot', JSON.stringify(snapshot));
			await this.#rewriteLog(remaining);
		});
	}

	async discard(): Promise<Result<void, LogStorageError>> {
		return this.#attempt(async () => {
			// The identity goes first: without it the other files belong to nobody.
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
		const folder = await this.#readChecked('folder') ?? await this.#createFolderId();
		const vote = await this.#readChecked('vote');
		const snapshot = await this.#readChecked('snapshot');
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
			if (isMissing(error)) {
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
		const fresh = await open(`${file}.new`, 'w+');
		const frames = records.map(record => encodeRecord(record));
		this.#faultInjector?.check('write');
		await fresh.write(Buffer.concat([encodeHeader(), ...frames]), undefined, undefined, 0);
		await fresh.sync();
		await rename(`${file}.new`, file);
		await this.#syncFolder();
		await this.#log?.close();
		this.#log = fresh;
		this.#offsets = [];
		this.#firstIndex = records[0]?.index ?? 1;
		this.#size = headerBytes;
		for (const frame of frames) {
			this.#offsets.push(this.#size);
			this.#size += frame.length;
		}
	}

	async #readChecked(name: string): Promise<string | undefined> {
		const file = path.join(this.#folder, name);
		let content: string;
		try {
			content = await readFile(file, 'utf8');
		} catch (error) {
			if (isMissing(error)) {
				return undefined;
			}

			throw error;
		}

		return this.#parseChecked(file, content);
	}

	#parseChecked(file: string, content: string): string {
		let parsed: CheckedFile;
		try {
			parsed = JSON.parse(content) as CheckedFile;
		} catch (error) {
			throw new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', `${file} can't be read`, {cause: error, hint: 'Move the data folder away and let this member rejoin from its peers.'});
		}

		if (parsed.format !== formatVersion) {
			throw new LogStorageError('ERR_HICKORYTRACK_FORMAT_VERSION', `${file} has format version ${parsed.format}, this release reads version ${formatVersion}`);
		}

		if (crc32(parsed.text) !== parsed.checksum) {
			throw new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', `${file} does not match its checksum`, {hint: 'Move the data folder away and let this member rejoin from its peers.'});
		}

		return parsed.text;
	}

	async #replaceFile(name: string, text: string): Promise<void> {
		const file = path.join(this.#folder, name);
		const content: CheckedFile = {format: formatVersion, checksum: crc32(text), text};
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

	async #attempt(write: () => Promise<void>): Promise<Result<void, LogStorageError>> {
		try {
			await write();
			return ok(undefined);
		} catch (error) {
			return err(this.#convertError(error));
		}
	}

	#convertError(error: unknown): LogStorageError {
		if (isFull(error)) {
			return new LogStorageError('ERR_HICKORYTRACK_DISK_FULL', `The disk of ${this.#folder} is full`, {cause: error, hint: 'Free space on the disk; the member goes on by itself.'});
		}

		return new LogStorageError('ERR_HICKORYTRACK_DISK_FAILED', `The disk of ${this.#folder} failed: ${describeError(error)}`, {cause: error, hint: 'Check the disk, then restart this member.'});
	}
}
