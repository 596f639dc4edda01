/** Starts instances in one process, connected over loopback, with or without a core member; they can be stopped and restarted. */
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {EventLog} from '@hickorytrack/events';
import {type MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import {Mesh} from '@hickorytrack/mesh';
import {defaultPeerTiming} from '@hickorytrack/peer-link/peer-connection';
import {parseAddress, PeerNode} from '@hickorytrack/peer-link/peer-node';
import {Random} from '@hickorytrack/random';
import {ConfigurationFollower} from '../src/configuration-follower.js';
import {CoreMember, coreRole} from '../src/core-member.js';
import type {StoredConfiguration} from '../src/route-store.js';

export type CoreInstance = {
	address: string;
	storage?: MemoryLogStorage;
	mesh: Mesh;
	core?: CoreMember;
	follower: ConfigurationFollower;
	installed: number[];
	stop(): Promise<void>;
};

const clock = new SystemClock();
const linkedRole = 'edge';

export async function startInstance(address: string, opts: {seeds: string[]; isFirstStart: boolean; storage?: MemoryLogStorage; seed: number}): Promise<CoreInstance> {
	const random = new Random(opts.seed);
	const events = new EventLog({clock});
	const peers = new PeerNode({
		clock, random, timing: {...defaultPeerTiming, heartbeatMs: 100, silenceMs: 600}, keys: ['test-key'], member: {
			instance: address, roles: opts.storage ? [linkedRole, coreRole] : [linkedRole], availabilityZone: 'z', address, incarnation: `${address}/${opts.seed}`,
		},
	});
	const mesh = new Mesh({
		peers, clock, events, seeds: opts.seeds, linkedRoles: [linkedRole],
	});
	const installed: number[] = [];
	const follower = new ConfigurationFollower({
		mesh, clock, events, install(stored) {
			installed.push(stored.version);
		},
	});
	const core = opts.storage && new CoreMember({
		mesh, storage: opts.storage, clock, random, events, toleratedLosses: 1, isFirstStart: opts.isFirstStart, seeds: opts.seeds, onBans() {/* No server crashes here. */}, onStored(stored) {
			follower.update(stored);
		},
	});
	const listening = await peers.listen(parseAddress(address));
	if (listening.isErr()) {
		throw listening.error;
	}

	mesh.start();
	void core?.run();
	follower.start(core);
	return {
		address, storage: opts.storage, mesh, core, follower, installed, async stop() {
			follower.stop();
			await core?.stop();
			mesh.stop();
			await peers.stop();
		},
	};
}

/** Polls until the probe returns a value; the timeout only ends a test that has failed. */
export async function waitFor<T>(probe: () => Promise<T | undefined> | T | undefined, timeoutMs = 30_000): Promise<T> {
	const until = clock.monotonic() + timeoutMs;
	while (clock.monotonic() < until) {
		const value = await probe();
		if (value !== undefined) {
			return value;
		}

		await clock.sleep(20);
	}

	throw new Error('condition not met before the timeout');
}

export const createDocument = (version: number, text = 'a'): StoredConfiguration => ({version, digest: `${version}/${text}`, document: {version, text}});

/** Puts a document and retries, as an operator does, until the outcome is known. */
export async function putUntilAnswered(instance: CoreInstance, stored: StoredConfiguration): Promise<string> {
	return waitFor(async () => {
		const outcome = await instance.follower.put(stored);
		return outcome.isOk() ? outcome.value : undefined;
	});
}

export async function readUntilAnswered(instance: CoreInstance): Promise<number> {
	return waitFor(async () => {
		const result = await instance.follower.read();
		return result.isOk() ? result.value?.version ?? 0 : undefined;
	});
}
