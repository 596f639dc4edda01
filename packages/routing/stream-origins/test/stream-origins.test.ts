import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {StreamOriginView, StreamOriginWrite} from '@hickorytrack/types/peer-methods';
import {OriginCore} from '../src/origin-core.js';
import {OriginStore, unknownVersion, type OriginCommand} from '../src/origin-store.js';
import type {BegunStream} from '../src/origin-writer.js';
import type {OpenStream, OriginServer} from '../src/open-stream.js';
import {StreamOrigins} from '../src/stream-origins.js';
import {VersionRetirement} from '../src/version-retirement.js';

const service = 'model';
const lifetimeMs = 10_000;
const server = (id: string, version?: string, startedAt = 1): OriginServer => ({
	id, startedAt, service, version,
});

/** A core of one member, whose state outlives the instances. */
class TestCore {
	readonly clock = new ManualClock();
	readonly commands: OriginCommand[] = [];
	/** The newest start of each server that all instances know. */
	readonly servers = new Map<string, OriginServer>();
	isReachable = true;
	/** Time until an instance has the confirmation of a write. */
	writeMs = 0;
	store = new OriginStore();
	readonly #instances: StreamOrigins[] = [];
	#core = this.#createCore();

	/** Starts an instance that knows nothing. */
	startInstance(): StreamOrigins {
		const instance: StreamOrigins = new StreamOrigins({
			clock: this.clock, hasVersion: () => true, findServer: id => this.servers.get(id), leader: {
				isSupported: true, write: async write => this.#write(write), findOrigin: async (services, stream) => this.isReachable ? this.#core.findOrigin(services, stream) : undefined, recall: async stream => this.#recall(stream, instance),
			},
		});
		this.#instances.push(instance);
		return instance;
	}

	/** Ends all instances at once. The core goes on from its snapshot, as after a start from its disk. */
	killAll(): void {
		for (const instance of this.#instances.splice(0)) {
			instance.stop();
		}

		const snapshot = structuredClone(this.store.createSnapshot());
		this.store = new OriginStore();
		this.store.restoreSnapshot(snapshot);
		this.#core = this.#createCore();
	}

	async #write(write: StreamOriginWrite): Promise<StreamOriginView | undefined> {
		const view = this.isReachable ? await this.#core.write(write) : undefined;
		await this.clock.sleep(this.writeMs);
		return view;
	}

	#recall(stream: string, asking: StreamOrigins): BegunStream | undefined {
		return this.#instances.filter(instance => instance !== asking).map(instance => instance.recall(stream)).find(origin => origin !== undefined);
	}

	#createCore(): OriginCore {
		return new OriginCore({
			clock: this.clock, store: this.store, propose: async command => {
				this.commands.push(command);
				this.store.apply(command);
				return true;
			}, confirm: async () => true,
		});
	}
}

// A caller names the attempt that began its stream, and no instance may remember it.
describe('StreamOrigins', () => {
	let core: TestCore;
	let instance: StreamOrigins;

	beforeEach(() => {
		core = new TestCore();
		instance = core.startInstance();
	});

	const wait = async (ms = 200) => core.clock.advance(ms);

	const admit = async (...versions: string[]) => {
		for (const version of versions) {
			instance.isAdmitted(server('any', version));
		}

		await wait();
	};

	const open = (stream: string | undefined, at = instance) => at.open({
		stream, service, services: [service], lifetimeMs,
	});

	/** Begins a stream at a server, as far as its first event. */
	const begin = async (stream: string | undefined, begunAt: OriginServer): Promise<OpenStream> => {
		const opened = open(stream);
		expect(await opened.prepare(begunAt)).to.equal(true);
		opened.settle(begunAt);
		return opened;
	};

	const find = async (stream: string | undefined, at = core.startInstance(), services = [service]) => {
		const found = at.findOrigin(stream, services);
		await wait();
		return found;
	};

	it('lets streams begin only at versions that the core has admitted', async () => {
		core.isReachable = false;
		expect(instance.isAdmitted(server('s1', 'v1'))).to.equal(false);
		await wait(1000);
		expect(instance.isAdmitted(server('s1', 'v1'))).to.equal(false);
		core.isReachable = true;
		await wait();
		expect(instance.isAdmitted(server('s1', 'v1'))).to.equal(true);
		expect(instance.isAdmitted(server('s2', 'v2'))).to.equal(false);
	});

	// An edge that was cut off from the core sent a stream to a second server of a version whose record had not been confirmed; the core held the first version for its origin.
	it('sends a stream to no server of a second version before the record of it is confirmed', async () => {
		await admit('v1', 'v2');
		const opened = open('a1');
		expect(await opened.prepare(server('s1', 'v1'))).to.equal(true);
		await wait();
		core.isReachable = false;
		const prepare = async (id: string) => opened.prepare(server(id, 'v2'));
		const answers = [prepare('s2'), prepare('s3')];
		await wait(600);
		answers.push(prepare('s4'));
		await wait(600);
		expect(await Promise.all(answers)).to.deep.equal([false, false, false]);
		expect(opened.prepare(server('s5', 'v1'))).to.equal(true);
		core.isReachable = true;
		const later = prepare('s2');
		await wait();
		expect(await later).to.equal(true);
		expect(await find('a1')).to.deep.equal({ground: 'ambiguous'});
	});

	it('stores nothing for streams while a service has one version, and still knows it after the end of all instances', async () => {
		await admit('v1');
		const commands = core.commands.length;
		for (let index = 0; index < 100; index++) {
			(await begin(`a${index}`, server('s1', 'v1'))).close({isComplete: index % 2 === 0});
		}

		await wait(5000);
		expect(core.commands.length).to.equal(commands);
		core.killAll();
		expect(await find('a1')).to.deep.equal({ground: 'only-version', service, version: 'v1'});
	});

	it('knows the version of each stream after the end of all instances while a service has several', async () => {
		await admit('v1', 'v2');
		await begin('a1', server('s1', 'v1'));
		await begin('a2', server('s2', 'v2'));
		await wait();
		core.killAll();
		expect(await find('a1')).to.deep.equal({ground: 'record', service, version: 'v1'});
		expect(await find('a2')).to.deep.equal({ground: 'record', service, version: 'v2'});
		expect(await find('a3')).to.deep.equal({ground: 'no-record'});
		expect(await find(undefined)).to.deep.equal({ground: 'no-record'});
		expect(await find('a'.repeat(10_000))).to.deep.equal({ground: 'no-record'});
		expect(await find('a1', core.startInstance(), ['other'])).to.deep.equal({ground: 'ambiguous'});
	});

	it('records the streams of the only version, open and broken off, when another version comes', async () => {
		await admit('v1');
		await begin('open', server('s1', 'v1'));
		(await begin('broken-off', server('s1', 'v1'))).close({isComplete: false});
		(await begin('whole', server('s1', 'v1'))).close({isComplete: true});
		await admit('v2');
		core.killAll();
		expect(await find('open')).to.include({ground: 'record', version: 'v1'});
		expect(await find('broken-off')).to.include({ground: 'record', version: 'v1'});
		expect(await find('whole')).to.include({ground: 'no-record'});
	});

	it('asks the other instances for a stream whose record has not reached the core', async () => {
		await admit('v1', 'v2');
		core.isReachable = false;
		await begin('a1', server('s1', 'v1'));
		expect(await find('a1')).to.deep.equal({ground: 'instance', service, version: 'v1'});
		expect(await find('a2')).to.deep.equal({ground: 'unconfirmed'});
	});

	// Until its record is stored, a stream is lost with its instance.
	it('records a stream without waiting for the confirmation of an earlier record', async () => {
		await admit('v1', 'v2');
		core.writeMs = 100;
		await begin('a1', server('s1', 'v1'));
		await wait(20);
		await begin('a2', server('s2', 'v2'));
		await wait(20);
		expect(core.store.streamCount).to.equal(2);
	});

	// The record would name the first version if the second one were sent the stream before it is stored.
	it('sends a stream to a server of a second version only once both are recorded', async () => {
		await admit('v1', 'v2');
		const stream = open('a1');
		await stream.prepare(server('s1', 'v1'));
		await wait();
		core.isReachable = false;
		const denied = stream.prepare(server('s2', 'v2'));
		await wait(1000);
		expect(await denied).to.equal(false);
		core.isReachable = true;
		await wait();
		core.killAll();
		expect(await find('a1')).to.deep.equal({ground: 'ambiguous'});
	});

	it('knows the version that delivered the first event of a stream that was sent to two', async () => {
		await admit('v1', 'v2');
		const stream = open('a1');
		await stream.prepare(server('s1', 'v1'));
		const allowed = stream.prepare(server('s2', 'v2'));
		await wait();
		expect(await allowed).to.equal(true);
		stream.settle(server('s2', 'v2'));
		await wait();
		core.killAll();
		expect(await find('a1')).to.deep.equal({ground: 'record', service, version: 'v2'});
	});

	it('disowns the streams that may have gone to a later start of their server with another version', async () => {
		await admit('v1', 'v2');
		const now = core.clock.now();
		await begin('a1', server('s1', 'v1', now - 10_000));
		await begin('a2', server('s2', 'v1', now - 10_000));
		await begin('a3', server('s3', 'v1', now - 10_000));
		instance.handleStart(server('s1', 'v2', now));
		instance.handleStart(server('s2', 'v1', now));
		instance.handleStart(server('s3', 'v2', now + 1000));
		await wait();
		expect(await find('a1')).to.deep.equal({ground: 'ambiguous'});
		expect(await find('a2')).to.include({version: 'v1'});
		expect(await find('a3')).to.include({version: 'v1'});
	});

	// A release restarts many servers. Streams that one of them had refused were unknown, whichever server had begun them.
	it('keeps the version of a stream that another server than the restarted one begins', async () => {
		await admit('v1', 'v2');
		const now = core.clock.now();
		const stopped = server('s1', 'v1', now - 10_000);
		const restarted = server('s1', 'v2', now);
		const streams = await Promise.all(['a1', 'a2', 'a3'].map(async id => {
			const stream = open(id);
			await stream.prepare(stopped);
			return stream;
		})) as [OpenStream, OpenStream, OpenStream];
		const beginAt = async (stream: OpenStream, begunAt: OriginServer) => {
			const prepared = stream.prepare(begunAt);
			await wait();
			expect(await prepared).to.equal(true);
			stream.settle(begunAt);
		};

		await beginAt(streams[0], server('s2', 'v1'));
		instance.handleStart(restarted);
		await beginAt(streams[1], server('s2', 'v1'));
		await beginAt(streams[2], restarted);
		await wait();
		for (const at of [instance, core.startInstance()]) {
			expect(await find('a1', at)).to.include({version: 'v1'});
			expect(await find('a2', at)).to.include({version: 'v1'});
			expect(await find('a3', at)).to.include({version: 'v2'});
		}
	});

	it('disowns a stream without an event that may have gone to a later start of its server, unless another server begins it', async () => {
		await admit('v1', 'v2');
		const stream = open('a1');
		const stopped = server('s1', 'v1', 0);
		await stream.prepare(stopped);
		instance.handleStart(server('s1', 'v2', core.clock.now()));
		await wait();
		expect(await find('a1')).to.deep.equal({ground: 'ambiguous'});
		stream.settle(stopped);
		await wait();
		expect(await find('a1')).to.deep.equal({ground: 'ambiguous'});
		expect(await find('a1', instance)).to.deep.equal({ground: 'ambiguous'});
	});

	// The instance that began the stream was out of step and left the version of the start before in the core.
	it('takes a recorded stream for unknown if the instance that is asked knows a later start that may have begun it', async () => {
		await admit('v1', 'v2');
		const now = core.clock.now();
		for (const [id, version, startedAt] of [['replaced', 'v2', now - 100], ['same-version', 'v1', now - 100], ['later', 'v2', now + 60_000]] as const) {
			await begin(id, server(id, 'v1', now - 10_000));
			core.servers.set(id, server(id, version, startedAt));
		}

		await wait();
		expect(await find('replaced')).to.deep.equal({ground: 'ambiguous'});
		expect(await find('same-version')).to.include({ground: 'record', version: 'v1'});
		expect(await find('later')).to.include({ground: 'record', version: 'v1'});
	});

	// Until the core had stored that the version is unknown, its record still named the earlier one.
	it('refuses a stream that it has disowned before the core knows it', async () => {
		await admit('v1', 'v2');
		await begin('a1', server('s1', 'v1', 0));
		await wait();
		core.isReachable = false;
		instance.handleStart(server('s1', 'v2', core.clock.now()));
		await wait(10);
		core.isReachable = true;
		expect(await find('a1', instance)).to.deep.equal({ground: 'ambiguous'});
	});

	it('does not go on at another service with a stream that it has begun, after its route was moved', async () => {
		await admit('v1');
		instance.isAdmitted({...server('s2', 'v1'), service: 'other'});
		await wait();
		(await begin('a1', server('s1', 'v1'))).close({isComplete: false});
		expect(await find('a1', instance, ['other'])).to.deep.equal({ground: 'ambiguous'});
	});

	it('takes a version that is not known for none, also if no other one is there', async () => {
		await admit(unknownVersion);
		await begin('a1', server('s1'));
		expect(await find('a1')).to.deep.equal({ground: 'no-record'});
		await admit('v1');
		expect(await find('a1')).to.deep.equal({ground: 'ambiguous'});
	});

	it('forgets records that have expired', async () => {
		await admit('v1', 'v2');
		await begin('a1', server('s1', 'v1'));
		await wait(lifetimeMs + 1000);
		expect(await find('a1')).to.deep.equal({ground: 'no-record'});
		await begin('a2', server('s1', 'v1'));
		await wait();
		expect(core.store.streamCount).to.equal(1);
	});

	it('drops the oldest records beyond the bound', () => {
		const streams = Array.from({length: 50_010}, (_, index): [string, string, string[], string[], number] => [`a${index}`, service, ['v1'], [], lifetimeMs]);
		core.store.apply({
			kind: 'stream-origins', at: 0, admitted: [], retired: [], streams,
		});
		expect(core.store.streamCount).to.equal(50_000);
		expect(core.store.describe([service], {stream: 'a9', now: 1}).stream).to.equal(undefined);
		expect(core.store.describe([service], {stream: 'a10', now: 1}).stream).not.to.equal(undefined);
	});
});

// A version that is retired too early makes the remaining one look like the only one that can have begun a stream.
describe('VersionRetirement', () => {
	it('retires a version once no stream of it can be taken up, and never the last one', async () => {
		const clock = new ManualClock();
		const store = new OriginStore();
		store.apply({
			kind: 'stream-origins', at: 0, admitted: [[service, 'v1'], [service, 'v2']], retired: [], streams: [],
		});
		const heard = new Set(['v1', 'v2']);
		const state: {leadershipAgeMs?: number; isComplete: boolean; lifetimeMs: number} = {isComplete: true, lifetimeMs};
		const retirement = new VersionRetirement({
			clock, store, hasVersion: (_, version) => heard.has(version), getLifetimeMs: () => state.lifetimeMs, getLeadershipAgeMs: () => state.leadershipAgeMs, isComplete: () => state.isComplete, core: {
				async retire(retired) {
					store.apply({
						kind: 'stream-origins', at: 0, admitted: [], retired, streams: [],
					});
					return true;
				},
			},
		});
		const run = async (ms: number) => {
			for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1000) {
				await retirement.retireGone();
				await clock.advance(1000);
			}
		};

		heard.delete('v1');
		await run(2 * lifetimeMs);
		expect(store.hasVersion(service, 'v1'), 'this instance does not lead').to.equal(true);
		state.leadershipAgeMs = 0;
		await run(1000);
		state.lifetimeMs = lifetimeMs / 10;
		await run(lifetimeMs / 2);
		expect(store.hasVersion(service, 'v1'), 'streams have begun under a longer timeout').to.equal(true);
		await run((lifetimeMs / 2) - 1000);
		expect(store.hasVersion(service, 'v1'), 'the leader has heard of nothing for less than the lifetime').to.equal(true);
		state.isComplete = false;
		await run(2 * lifetimeMs);
		expect(store.hasVersion(service, 'v1'), 'an instance is missing').to.equal(true);
		state.isComplete = true;
		await run(1000);
		expect(store.hasVersion(service, 'v1')).to.equal(false);
		heard.clear();
		await run(3 * lifetimeMs);
		expect(store.hasVersion(service, 'v2')).to.equal(true);
	});
});
