import {createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {err} from 'neverthrow';
import {LogStorageError} from '@hickorytrack/log-storage';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import {RouteStore} from '../src/route-store.js';
import {
	createDocument, putUntilAnswered, readUntilAnswered, startInstance, waitFor, type CoreInstance,
} from './core-instances.js';

async function findPorts(count: number): Promise<string[]> {
	const servers = Array.from({length: count}, () => createServer());
	await Promise.all(servers.map(async server => new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	})));
	const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return addresses;
}

describe('route store', () => {
	it('keeps the highest version and never installs an older one', () => {
		const versions: number[] = [];
		const store = new RouteStore(stored => versions.push(stored.version));
		expect(store.apply(createDocument(5))).to.equal('stored');
		expect(store.apply(createDocument(3))).to.equal('overtaken');
		expect(store.apply(createDocument(5))).to.equal('same');
		expect(store.apply(createDocument(5, 'b'))).to.equal('conflict');
		expect(store.apply(createDocument(9))).to.equal('stored');
		const copy = new RouteStore(stored => versions.push(stored.version));
		copy.restoreSnapshot(store.createSnapshot());
		expect(copy.current?.version).to.equal(9);
		expect(versions).to.deep.equal([5, 9, 9]);
	});
});

/** Storage whose log is corrupt until it is discarded. */
class CorruptUntilDiscarded extends MemoryLogStorage {
	isDiscarded = false;

	override async open() {
		return this.isDiscarded ? super.open() : err(new LogStorageError('ERR_HICKORYTRACK_LOG_CORRUPT', 'broken'));
	}

	override async discard() {
		this.isDiscarded = true;
		return super.discard();
	}
}

const documentBytes = 400_000; // Half of it is the text, and half the digest.
/** Beside configurations: what the log may grow by before a snapshot is taken, and one for the document and its digest. */
const logMarginBytes = 1024 * 1024;

describe('core of the route configuration', () => {
	let instances: CoreInstance[];
	let addresses: string[];
	let seeds: string[];
	let starts = 0;

	const start = async (address: string, opts: {isFirstStart?: boolean; storage?: MemoryLogStorage | undefined} = {}) => {
		starts++;
		const storage = 'storage' in opts ? opts.storage : new MemoryLogStorage(`folder-${starts}`);
		const instance = await startInstance(address, {
			seeds, isFirstStart: opts.isFirstStart ?? false, storage, seed: starts,
		});
		instances.push(instance);
		return instance;
	};

	const stop = async (instance: CoreInstance) => {
		instances.splice(instances.indexOf(instance), 1);
		await instance.stop();
	};

	const listVoters = (instance: CoreInstance) => ((instance.core!.dump() as {status?: {members: Array<{id: string; voter: boolean}>}}).status?.members ?? []).filter(member => member.voter).map(member => member.id);
	const countVoters = (instance: CoreInstance) => listVoters(instance).length;

	beforeEach(async () => {
		instances = [];
		addresses = await findPorts(5);
		seeds = addresses.slice(0, 3);
	});

	afterEach(async () => {
		await Promise.all(instances.map(async instance => instance.stop()));
	});

	const startMembers = async () => Promise.all(seeds.map(async seed => start(seed, {isFirstStart: true})));

	it('bootstraps from its seeds and installs on an instance without a disk', async () => {
		const edge = await start(addresses[4]!, {storage: undefined});
		const [first] = await startMembers();
		expect(await putUntilAnswered(edge, createDocument(7))).to.equal('stored');
		expect(await putUntilAnswered(first!, createDocument(7))).to.equal('same');
		expect(await putUntilAnswered(first!, createDocument(7, 'other'))).to.equal('conflict');
		expect(await putUntilAnswered(edge, createDocument(4))).to.equal('overtaken');
		await waitFor(() => edge.installed.includes(7) || undefined);
		expect(await readUntilAnswered(edge)).to.equal(7);
	});

	it('acknowledges nothing on the single disk of the bootstrapping member', async () => {
		const bootstrapper = await start(seeds[0]!, {isFirstStart: true});
		await waitFor(() => bootstrapper.core!.isLeader || undefined);
		expect((await bootstrapper.follower.put(createDocument(1))).isErr()).to.equal(true);
		expect((await bootstrapper.follower.read()).isErr()).to.equal(true);
	});

	// Guards against a lost acknowledged change: one of the two disks that have it is wiped, the other member is stopped, and
	// the wiped member and the one that missed the change would form a majority without it.
	it('keeps acknowledged changes when a disk is wiped and all other members stop', async () => {
		const members = await startMembers();
		await putUntilAnswered(members[0]!, createDocument(1));
		const behind = members.find(member => !member.core!.isLeader)!;
		await waitFor(() => countVoters(behind) === 3 || undefined);
		await stop(behind);
		const rest = members.filter(member => member !== behind);
		await putUntilAnswered(rest[0]!, createDocument(2));
		const [wiped, intact] = rest;
		await stop(wiped!);
		await stop(intact!);
		const restartedWiped = await start(wiped!.address);
		const restartedBehind = await start(behind.address, {storage: behind.storage});
		// The wiped member has no vote, so it and the member that missed the change have no majority.
		expect((await restartedBehind.follower.read()).isErr()).to.equal(true);
		expect((await restartedWiped.follower.read()).isErr()).to.equal(true);
		await start(intact!.address, {storage: intact!.storage});
		expect(await readUntilAnswered(restartedBehind)).to.equal(2);
		await waitFor(() => countVoters(restartedWiped) === 3 || undefined);
	});

	it('admits a replacement for a lost member and stays available when another member is lost', async () => {
		const members = await startMembers();
		await putUntilAnswered(members[0]!, createDocument(1));
		const lost = members[2]!;
		await waitFor(() => countVoters(lost) === 3 || undefined);
		await stop(lost);
		const successor = await start(addresses[3]!);
		const expected = [seeds[0]!, seeds[1]!, successor.address].sort();
		await waitFor(() => [successor, members[0]!].every(member => listVoters(member).sort().join(' ') === expected.join(' ')) || undefined);
		await stop(members[1]!);
		expect(await putUntilAnswered(successor, createDocument(2))).to.equal('stored');
		expect(await readUntilAnswered(members[0]!)).to.equal(2);
	});

	// Guards against a log of whole configurations that fills the disks of the members: each of them kept 64.
	it('keeps a small multiple of its configuration, however often that has changed', async () => {
		const members = await startMembers();
		const text = 'x'.repeat(documentBytes / 2);
		for (let version = 1; version <= 20; version++) {
			expect(await putUntilAnswered(members[0]!, createDocument(version, text))).to.equal('stored');
			for (const {storage} of members) {
				expect(storage!.sizes.records).to.be.at.most((3 * documentBytes) + logMarginBytes);
				expect(storage!.sizes.snapshot).to.be.at.most(documentBytes + logMarginBytes);
			}
		}

		expect(await readUntilAnswered(members[1]!)).to.equal(20);
	});

	it('rejoins, first as a learner, when its log is corrupt', async () => {
		const members = await startMembers();
		await putUntilAnswered(members[0]!, createDocument(1));
		const [, corrupted] = members;
		await waitFor(() => countVoters(corrupted!) === 3 || undefined);
		await stop(corrupted!);
		const storage = new CorruptUntilDiscarded('corrupt');
		const restarted = await start(corrupted!.address, {storage});
		await waitFor(() => (storage.isDiscarded && countVoters(restarted) === 3 && restarted.installed.includes(1)) || undefined);
		expect(await putUntilAnswered(restarted, createDocument(2))).to.equal('stored');
	});

	it('keeps the configuration when all members stop and confirms no read before a majority is back', async () => {
		const members = await startMembers();
		await putUntilAnswered(members[0]!, createDocument(3));
		await Promise.all(members.map(async member => stop(member)));
		const first = await start(seeds[0]!, {storage: members[0]!.storage});
		expect((await first.follower.read()).isErr()).to.equal(true);
		expect(first.follower.isConfirmed).to.equal(false);
		await start(seeds[1]!, {storage: members[1]!.storage});
		expect(await readUntilAnswered(first)).to.equal(3);
		await waitFor(() => first.follower.isConfirmed || undefined);
	});
});
