import {
	appendFile, mkdtemp, readFile, rm, writeFile,
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
	const opened: FileLogStorage[] = [];

	const openStorage = async (faultInjector?: DiskFaultInjector): Promise<[FileLogStorage, OpenedLog]> => {
		const storage = new FileLogStorage(folder, {faultInjector});
		const result = await storage.open();
		opened.push(storage);
		return [storage, result._unsafeUnwrap()];
	};

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-log-'));
	});

	afterEach(async () => {
		for (const storage of opened.splice(0)) {
			await storage.close();
		}

		await rm(folder, {recursive: true});
	});

	it('gives back what it acknowledged', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1), createRecord(2)]);
		await storage.saveVote({term: 3, votedFor: 'b'});
		await storage.close();
		const [, again] = await openStorage();
		expect(again.records.map(record => record.index)).to.deep.equal([1, 2]);
		expect(again.vote).to.deep.equal({term: 3, votedFor: 'b'});
	});

	it('cuts a torn tail and appends behind it', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1)]);
		await storage.close();
		await appendFile(path.join(folder, 'log'), '\0\0\0\u0040torn');
		const [second, again] = await openStorage();
		expect(again.records).to.have.length(1);
		await second.append([createRecord(2)]);
		await second.close();
		const [, third] = await openStorage();
		expect(third.records.map(record => record.index)).to.deep.equal([1, 2]);
	});

	it('refuses a log with a broken record in the middle', async () => {
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

	it('refuses an unknown format version', async () => {
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

	it('refuses a second process on the same folder', async () => {
		await openStorage();
		const result = await new FileLogStorage(folder).open();
		expect(result._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_FOLDER_LOCKED');
	});

	it('leaves the log as it was when the disk is full, and goes on when it is not', async () => {
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
		const [, again] = await openStorage();
		expect(again.records.map(record => record.index)).to.deep.equal([1, 2]);
	});

	it('keeps the snapshot and what came behind it', async () => {
		const [storage] = await openStorage();
		await storage.append([createRecord(1), createRecord(2), createRecord(3)]);
		await storage.saveSnapshot({
			index: 2, term: 1, members: [], state: {sum: 2},
		}, [createRecord(3)]);
		await storage.truncateFrom(3);
		await storage.append([{...createRecord(3), term: 2}]);
		await storage.close();
		const [, again] = await openStorage();
		expect(again.snapshot?.index).to.equal(2);
		expect(again.records).to.deep.equal([{...createRecord(3), term: 2}]);
	});
});
