import {
	appendFile, mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {FileLogStorage, type DiskFaultInjector} from '../src/file-log-storage.js';
import type {LogRecord, OpenedLog} from '../src/log-storage.js';

const createRecord = (index: number): LogRecord => ({
	index, term: 1, kind: 'command', payload: {text: `change ${index}`},
});

describe('file log storage', () => {
	let folder: string;
	const openStorages: FileLogStorage[] = [];

	const openStorage = async (faultInjector?: DiskFaultInjector): Promise<[FileLogStorage, OpenedLog]> => {
		const storage = new FileLogStorage(folder, {faultInjector});
		const result = await storage.open();
		openStorages.push(storage);
		return [storage, result._unsafeUnwrap()];
	};

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-log-'));
	});

	afterEach(async () => {
		for (const storage of openStorages.splice(0)) {
			await storage.close();
		}

		await rm(folder, {recursive: true});
	});

	it('returns acknowledged records and the vote after reopening', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1), createRecord(2)]);
		await storage.saveVote({term: 3, votedFor: 'b'});
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.records.map(record => record.index)).to.deep.equal([1, 2]);
		expect(reopened.vote).to.deep.equal({term: 3, votedFor: 'b'});
	});

	it('truncates an incomplete record at the end and appends after it', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1)]);
		await storage.close();
		await appendFile(path.join(folder, 'log'), '\0\0\0\u0040torn');
		const [secondStorage, reopened] = await openStorage();
		expect(reopened.records).to.have.length(1);
		await secondStorage.append([createRecord(2)]);
		await secondStorage.close();
		const [, reopenedAgain] = await openStorage();
		expect(reopenedAgain.records.map(record => record.index)).to.deep.equal([1, 2]);
	});

	it('rejects a log with a corrupt record in the middle', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1), createRecord(2), createRecord(3)]);
		await storage.close();
		const file = path.join(folder, 'log');
		const bytes = await readFile(file);
		bytes[bytes.indexOf('change 2')] = 0x58;
		await writeFile(file, bytes);
		const result = await new FileLogStorage(folder).open();
		expect(result._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_LOG_CORRUPT');
	});

	it('rejects an unknown format version', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1)]);
		await storage.close();
		const file = path.join(folder, 'log');
		const bytes = await readFile(file);
		bytes.writeUInt32BE(9, 4);
		await writeFile(file, bytes);
		const result = await new FileLogStorage(folder).open();
		expect(result._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_FORMAT_VERSION');
	});

	it('refuses to open a folder that is already locked', async () => {
		await openStorage();
		const result = await new FileLogStorage(folder).open();
		expect(result._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_FOLDER_LOCKED');
	});

	it('leaves the log unchanged when the disk is full, and appends again once there is space', async () => {
		let full = false;
		const [storage] = await openStorage({
			check() {
				if (full) {
					throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
				}
			},
		});
		await storage.append([createRecord(1)]);
		full = true;
		const refused = await storage.append([createRecord(2)]);
		expect(refused._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_DISK_FULL');
		full = false;
		expect((await storage.append([createRecord(2)])).isOk()).to.equal(true);
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.records.map(record => record.index)).to.deep.equal([1, 2]);
	});

	// A disk that ran full in the middle of a write took a part of the record, which was acknowledged and lost at the next start.
	it('acknowledges no record of which a part was written', async () => {
		let room = Number.POSITIVE_INFINITY;
		const [storage] = await openStorage({
			check() {
				if (room <= 0) {
					throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
				}
			},
			countWritable(bytes) {
				const writable = Math.min(bytes, room);
				room -= writable;
				return writable;
			},
		});
		await storage.append([createRecord(1)]);
		room = 20;
		expect((await storage.append([createRecord(2)]))._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_DISK_FULL');
		room = Number.POSITIVE_INFINITY;
		expect((await storage.append([createRecord(2), createRecord(3)])).isOk()).to.equal(true);
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.records.map(record => record.index)).to.deep.equal([1, 2, 3]);
	});

	// What a failed append had left stood behind the next, shorter record, so that the whole log counted as corrupt.
	it('leaves nothing of a failed append behind a shorter record', async () => {
		const failing = new Set<string>();
		const [storage] = await openStorage({
			check(operation) {
				if (failing.has(operation)) {
					throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
				}
			},
		});
		await storage.append([createRecord(1)]);
		failing.add('sync').add('truncate');
		expect((await storage.append([createRecord(2), createRecord(3), createRecord(4)])).isErr()).to.equal(true);
		failing.clear();
		expect((await storage.append([createRecord(2)])).isOk()).to.equal(true);
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.records.map(record => record.index)).to.deep.equal([1, 2]);
	});

	// A command was answered as not stored, and would have been read again after a restart.
	it('tells whether records of a failed append may be read again', async () => {
		const failing = new Set<string>();
		const [storage] = await openStorage({
			check(operation) {
				if (failing.has(operation)) {
					throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
				}
			},
		});
		const appendWhileFailing = async (...operations: string[]) => {
			for (const operation of operations) {
				failing.add(operation);
			}

			expect((await storage.append([createRecord(1)])).isErr()).to.equal(true);
			failing.clear();
			return storage.mayKeepFailedAppend;
		};

		expect(await appendWhileFailing('sync')).to.equal(false);
		expect(await appendWhileFailing('sync', 'truncate')).to.equal(true);
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.records.map(record => record.index)).to.deep.equal([1]);
	});

	// Each snapshot that failed on a full disk left a file open, until the process had none left.
	it('leaves no file open when a snapshot fails', async () => {
		let writes = 0;
		let isFull = false;
		const [storage] = await openStorage({
			check(operation) {
				writes += operation === 'write' ? 1 : 0;
				// The snapshot is written, the log behind it is not.
				if (isFull && writes % 2 === 0) {
					throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
				}
			},
		});
		await storage.append([createRecord(1), createRecord(2)]);
		const countOpen = async () => (await readdir('/proc/self/fd')).length;
		const openBefore = await countOpen();
		isFull = true;
		for (let i = 0; i < 5; i++) {
			writes = 0;
			expect((await storage.saveSnapshot({
				index: 1, term: 1, members: [], state: {sum: 1},
			}, [createRecord(2)])).isErr()).to.equal(true);
		}

		expect(await countOpen()).to.equal(openBefore);
		isFull = false;
		expect((await storage.append([createRecord(3)])).isOk()).to.equal(true);
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.records.map(record => record.index)).to.deep.equal([2, 3]);
	});

	it('keeps the snapshot and the records after it', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1), createRecord(2), createRecord(3)]);
		await storage.saveSnapshot({
			index: 2, term: 1, members: [], state: {sum: 2},
		}, [createRecord(3)]);
		await storage.truncateFrom(3);
		await storage.append([{...createRecord(3), term: 2}]);
		await storage.close();
		const [, reopened] = await openStorage();
		expect(reopened.snapshot?.index).to.equal(2);
		expect(reopened.records).to.deep.equal([{...createRecord(3), term: 2}]);
	});
});
