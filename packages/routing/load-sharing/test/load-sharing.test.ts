import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {
	LoadEntry, LoadShare, PeerMember, SpeedNote, StoredPrompt,
} from '@hickorytrack/types/peer-methods';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {fitShare} from '../src/fit-share.js';
import {LoadSharing, shareIntervalMs, type SharePeer} from '../src/load-sharing.js';

const zones = ['north', 'south'];
const maxDirectInstances = 9;
const server: KnownServer = {
	id: 'server', startedAt: 0, sequence: 1, service: 'm', address: '10.1.0.1:1' as SocketAddress, availabilityZone: 'north', slots: 8, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
};

class Instance {
	readonly member: PeerMember;
	readonly loadTracker: LoadTracker;
	readonly cacheIndex = new PrefixCacheIndex({getKvCapacity: () => 100_000});
	readonly stored: StoredPrompt[] = [];
	readonly speeds: SpeedNote[] = [];
	unsentSpeeds: SpeedNote[] = [];
	readonly sharing: LoadSharing;
	readonly events: EventLog;
	isAlive = true;

	constructor(fleet: Fleet, index: number, {isRelay, leafIntervalMs}: {isRelay: boolean; leafIntervalMs?: number}) {
		this.events = new EventLog({clock: fleet.clock});
		this.member = {
			instance: `edge-${index}`, availabilityZone: zones[index % zones.length]!, roles: isRelay ? ['edge', 'core'] : ['edge'], address: `10.0.0.${index}:1`, incarnation: 'a',
		};
		this.loadTracker = new LoadTracker(fleet.clock);
		this.sharing = new LoadSharing({
			clock: fleet.clock, loadTracker: this.loadTracker, cacheIndex: this.cacheIndex, member: this.member, relayRole: 'core', leafIntervalMs, listPeers: () => fleet.listPeers(this), usesRelays: () => fleet.instances.length > maxDirectInstances, events: this.events, onStored: stored => {
				this.stored.push(...stored);
			}, drainSpeeds: maxNotes => this.unsentSpeeds.splice(0, maxNotes), onSpeeds: speeds => {
				this.speeds.push(...speeds);
			},
		});
	}
}

/** Instances connected by links without delay. Counts the messages and the bytes sent by each instance. */
class Fleet {
	readonly clock = new ManualClock();
	readonly instances: Instance[];
	messages = 0;
	/** Messages by sender and receiver. */
	readonly sent = new Map<string, number>();
	readonly bytesSent = new Map<string, number>();
	readonly #peers = new Map<string, SharePeer>();

	constructor(count: number, relays: number, leafIntervalMs?: number) {
		this.instances = Array.from({length: count}, (_, index) => new Instance(this, index, {isRelay: index < relays, leafIntervalMs}));
	}

	listPeers(from: Instance): SharePeer[] {
		return this.instances.filter(to => to !== from).map(to => this.#createPeer(from, to));
	}

	async runRounds(rounds: number): Promise<void> {
		for (let round = 0; round < rounds; round++) {
			await this.clock.advance(shareIntervalMs);
			for (const instance of this.instances) {
				if (instance.isAlive) {
					instance.sharing.sendShares();
				}
			}
		}
	}

	#createPeer(from: Instance, to: Instance): SharePeer {
		const key = `${from.member.instance} ${to.member.instance}`;
		const existing = this.#peers.get(key);
		if (existing) {
			return existing;
		}

		const peer: SharePeer = {
			remote: to.member, isOpen: true, notify: (_method, share: LoadShare) => {
				const text = JSON.stringify(share);
				this.messages++;
				this.sent.set(key, (this.sent.get(key) ?? 0) + 1);
				this.bytesSent.set(from.member.instance, (this.bytesSent.get(from.member.instance) ?? 0) + text.length);
				if (to.isAlive) {
					to.sharing.handleShare(JSON.parse(text) as LoadShare, this.#createPeer(to, from));
				}
			},
		};
		this.#peers.set(key, peer);
		return peer;
	}
}

describe('load sharing', () => {
	for (const count of [4, 40]) {
		it(`sends each of ${count} instances the load that all others have in flight`, async () => {
			const fleet = new Fleet(count, 3);
			for (const instance of fleet.instances) {
				instance.loadTracker.add('server', 10);
			}

			await fleet.runRounds(5);
			for (const {loadTracker} of fleet.instances) {
				expect(loadTracker.getLoad('server')).to.deep.equal({promptTokens: 10 * count, requests: count, streams: 0});
			}
		});

		it(`sends stored prompts once to each of ${count} instances`, async () => {
			const fleet = new Fleet(count, 3);
			await fleet.runRounds(2);
			fleet.instances[3]!.cacheIndex.recordPrompt(server, [{id: 'part', tokens: 9}]);
			fleet.instances[3]!.loadTracker.add('server', 10);
			await fleet.runRounds(5);
			for (const instance of fleet.instances) {
				expect(instance.stored).to.have.length(instance === fleet.instances[3] ? 0 : 1);
			}
		});
	}

	// Many small machines with slow links, each of which receives a few requests a second.
	it('sends one message per round from a leaf, regardless of the number of instances', async () => {
		const fleet = new Fleet(40, 3);
		await fleet.runRounds(5);
		fleet.messages = 0;
		for (const instance of fleet.instances) {
			instance.loadTracker.add('server', 10);
		}

		await fleet.runRounds(1);
		const relays = 3;
		const leaves = 37;
		expect(fleet.messages).to.be.at.most((leaves * 2) + (relays * (relays - 1)));
	});

	it('sends as many bytes from a leaf among 40 instances as among 20', async () => {
		const bytes = await Promise.all([20, 40].map(async count => {
			const fleet = new Fleet(count, 3);
			const leaf = fleet.instances[count - 1]!;
			leaf.loadTracker.add('server', 10);
			await fleet.runRounds(100);
			return fleet.bytesSent.get(leaf.member.instance);
		}));
		expect(bytes[0]).to.be.greaterThan(0);
		expect(bytes[1]).to.equal(bytes[0]);
	});

	// A leaf with a few requests a second wakes up for these only.
	it('sends a change at once, further ones after an interval, and nothing while idle', async () => {
		const fleet = new Fleet(3, 0);
		const abortController = new AbortController();
		const [sender] = fleet.instances;
		sender!.sharing.run(abortController.signal);
		await fleet.clock.advance(1000);
		fleet.messages = 0;
		sender!.loadTracker.add('server', 10);
		await fleet.clock.advance(1);
		expect(fleet.messages).to.equal(2);
		sender!.loadTracker.add('server', 10);
		sender!.loadTracker.add('server', 10);
		await fleet.clock.advance(shareIntervalMs / 2);
		expect(fleet.messages).to.equal(2);
		await fleet.clock.advance(shareIntervalMs);
		expect(fleet.messages).to.equal(4);
		expect(fleet.instances[1]!.loadTracker.getLoad('server').requests).to.equal(3);
		await fleet.clock.advance(300);
		expect(fleet.messages).to.equal(4);
		abortController.abort();
		await fleet.clock.advance(2000);
		expect(fleet.messages).to.equal(4);
	});

	it('sends as many messages a second from a relay with 60 leaves as from one with 10', async () => {
		const rates = await Promise.all([11, 61].map(async count => {
			const fleet = new Fleet(count, 1);
			const abortController = new AbortController();
			for (const {sharing} of fleet.instances) {
				sharing.run(abortController.signal);
			}

			await fleet.clock.advance(2000);
			const relay = fleet.instances[0]!;
			fleet.bytesSent.clear();
			fleet.messages = 0;
			for (let round = 0; round < 100; round++) {
				relay.loadTracker.add('server', 1);
				await fleet.clock.advance(10);
			}

			abortController.abort();
			const leafMessages = (count - 1) * 3; // Refreshes of the leaves.
			return fleet.messages - leafMessages;
		}));
		expect(rates[0]).to.be.within(200, 600);
		expect(rates[1]).to.be.within(200, 600);
	});

	// A weak leaf among 22 instances got 50 shares a second and sent 28.
	it('exchanges shares with a weak leaf at the interval that it asks for, and leaves nothing out', async () => {
		const fleet = new Fleet(20, 3, 60);
		const leaf = fleet.instances[19]!;
		const {signal} = new AbortController();
		for (const {sharing} of fleet.instances) {
			sharing.run(signal);
		}

		await fleet.clock.advance(2000);
		fleet.sent.clear();
		for (let time = 0; time < 1000; time += 10) {
			fleet.instances[0]!.loadTracker.add('server', 1);
			leaf.loadTracker.add('server', 1);
			fleet.instances[(time / 10) % 19]!.cacheIndex.recordPrompt(server, [{id: `part-${time}`, tokens: 9}]);
			await fleet.clock.advance(10);
		}

		const relay = leaf.sharing.relay!;
		for (const key of [`${relay} edge-19`, `edge-19 ${relay}`]) {
			expect(fleet.sent.get(key)).to.be.within(12, 17);
		}

		await fleet.clock.advance(500);
		expect(leaf.loadTracker.getLoad('server').requests).to.equal(200);
		expect(new Set(leaf.stored.map(({parts}) => parts[0]!.id)).size).to.equal(100);
		expect(leaf.stored).to.have.length(100);
	});

	it('emits one event when no relay is available', async () => {
		const fleet = new Fleet(12, 0);
		await fleet.runRounds(200);
		expect(fleet.instances[0]!.events.listSince(0)).to.have.length(0);
		const withRelay = new Fleet(12, 1);
		await withRelay.runRounds(5);
		const leaf = withRelay.instances[5]!;
		withRelay.instances[0]!.member.roles.splice(1);
		await withRelay.runRounds(200);
		expect(leaf.events.listSince(0).map(event => event.fields.relay)).to.deep.equal(['edge-0', undefined]);
	});

	it('switches to another relay when its own stops sending, and counts no instance twice afterwards', async () => {
		const fleet = new Fleet(20, 2);
		for (const instance of fleet.instances) {
			instance.loadTracker.add('server', 10);
		}

		await fleet.runRounds(5);
		const [lost, kept] = fleet.instances;
		lost!.isAlive = false;
		await fleet.runRounds(200);
		for (const {sharing, loadTracker, isAlive} of fleet.instances.slice(2)) {
			expect(isAlive && sharing.relay).to.equal(kept!.member.instance);
			expect(loadTracker.getLoad('server').requests).to.equal(19);
		}
	});

	it('sends load directly again when few instances are left', async () => {
		const fleet = new Fleet(12, 3);
		for (const instance of fleet.instances) {
			instance.loadTracker.add('server', 10);
		}

		await fleet.runRounds(5);
		fleet.instances.splice(5);
		await fleet.runRounds(100);
		for (const {sharing, loadTracker} of fleet.instances) {
			expect(sharing.relay).to.equal(undefined);
			expect(loadTracker.getLoad('server').requests).to.equal(5);
		}
	});

	for (const count of [4, 30]) {
		it(`tells all ${count} instances once of measured speeds`, async () => {
			const fleet = new Fleet(count, 3);
			await fleet.runRounds(30);
			fleet.instances.at(-1)!.unsentSpeeds = [['server', 3, 40]];
			for (const {loadTracker} of fleet.instances) {
				for (let index = 0; index < 15; index++) {
					loadTracker.add(`server-${index}`, 0, {workMs: 30});
				}
			}

			await fleet.runRounds(30);
			expect(fleet.instances.slice(0, -1).map(({speeds}) => speeds)).to.deep.equal(Array.from({length: count - 1}, () => [['server', 3, 40]]));
		});
	}

	// Links of small instances are slow, and load shares are the most frequent messages.
	it('lengthens no share by more than a tenth', () => {
		for (const count of [0, 1, 5, 30]) {
			const servers = Array.from({length: count}, (_, index): LoadEntry => [`server-${index}`, 0, 3, 0, 10 + index]);
			const speeds = servers.map(([id]): SpeedNote => [id, 12, -25]);
			const share: LoadShare = {
				instance: 'edge-1', scope: 'own', servers, stored: [], speeds,
			};
			const measure = (params: LoadShare) => JSON.stringify({jsonrpc: '2.0', method: 'load.share', params}).length;
			const plain = {...share, servers: servers.map(([id, ...rest]): LoadEntry => [id, rest[0], rest[1], rest[2]]), speeds: undefined};
			expect(measure(fitShare(share))).to.be.at.most(measure(plain) * 1.1);
		}
	});
});
