import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import {OwnResources} from '@hickorytrack/own-resources';
import type {CapacityEntry, PeerMember} from '@hickorytrack/types/peer-methods';
import {CapacitySharing, type CapacityPeer} from '../src/sharing/capacity-sharing.js';

const relayRole = 'hub';

type Node = {
	remote: PeerMember;
	sharing: CapacitySharing;
	isServing: boolean;
	isCut: boolean;
	sent: CapacityEntry[];
};

/** Instances as in a mesh with hubs: leaves see the hubs only, and have the first one as their relay. */
class Fleet {
	readonly clock = new ManualClock();
	readonly nodes: Node[] = [];

	add(instance: string, {roles = [], processorShare = 0.2, usedCore = 0}: {roles?: string[]; processorShare?: number; usedCore?: number} = {}): Node {
		const {clock, nodes} = this;
		const remote = {
			instance, roles, availabilityZone: 'z', address: instance, incarnation: instance, features: [],
		};
		const isHub = roles.includes(relayRole);
		const isRelayOf = (other: Node) => nodes.find(({remote}) => remote.roles.includes(relayRole)) === node && !other.remote.roles.includes(relayRole);
		const connect = (other: Node): CapacityPeer => this.#connect(node, other);
		const listOthers = () => nodes.filter(other => other !== node && (isHub || other.remote.roles.includes(relayRole)));
		const connections = new Map<Node, CapacityPeer>();
		const find = (other: Node) => {
			const connection = connections.get(other) ?? connect(other);
			connections.set(other, connection);
			return connection;
		};

		const sharing = new CapacitySharing({
			clock, events: new EventLog({clock}), resources: new OwnResources({
				clock, linkMbps: 7, processorShare, readUsedMs: () => clock.monotonic() * usedCore,
			}), member: remote, relayRole, listPeers: () => listOthers().map(other => find(other)), listLeaves: () => listOthers().filter(other => isRelayOf(other)).map(other => find(other)), isServing: () => node.isServing,
		});
		const node: Node = {
			remote, sharing, isServing: true, isCut: false, sent: [],
		};
		nodes.push(node);
		return node;
	}

	/** Lets time pass, in which each instance shares every second. */
	async run(seconds: number): Promise<void> {
		for (let second = 0; second < seconds; second++) {
			for (const {sharing} of this.nodes) {
				sharing.share();
			}

			await this.clock.advance(1000);
		}
	}

	listReady(): string[] {
		return this.nodes.filter(({sharing}) => !sharing.isOutside).map(({remote}) => remote.instance);
	}

	#connect(from: Node, to: Node): CapacityPeer {
		return {
			remote: to.remote,
			notify(_method, note) {
				from.sent.push(...note.instances);
				if (!from.isCut && !to.isCut) {
					to.sharing.handleNote(note, {remote: from.remote, notify: () => undefined});
				}
			},
		};
	}
}

describe('capacity sharing', () => {
	let fleet: Fleet;
	beforeEach(() => {
		fleet = new Fleet();
	});

	const addHubs = (usedCore = 0) => ['h1', 'h2'].map(instance => fleet.add(instance, {roles: [relayRole], processorShare: 0.9, usedCore}));
	const addLeaves = (usedCore = 0) => ['w1', 'w2', 'w3', 'w4', 'w5'].map(instance => fleet.add(instance, {usedCore}));

	it('makes the weak instances that the zone does not need report not ready, after the damping', async () => {
		addHubs();
		addLeaves();
		await fleet.run(4);
		expect(fleet.listReady()).to.have.length(7);
		await fleet.run(4);
		expect(fleet.listReady()).to.deep.equal(['h1', 'h2', 'w1', 'w2']);
	});

	// A hub that stops or dies takes half of the zone's processors with it.
	it('makes weak instances ready again at once when a stronger one stops, and soon after one is cut off', async () => {
		const [hub] = addHubs();
		const leaves = addLeaves(0.16);
		await fleet.run(12);
		expect(fleet.listReady()).to.deep.equal(['h1', 'h2', 'w1', 'w2']);
		hub!.isServing = false;
		hub!.sharing.share();
		expect(fleet.listReady()).to.deep.equal(['h1', 'h2', 'w1', 'w2', 'w3']);
		hub!.isServing = true;
		await fleet.run(8);
		expect(fleet.listReady()).to.deep.equal(['h1', 'h2', 'w1', 'w2']);
		leaves[4]!.isCut = true;
		await fleet.run(5);
		expect(fleet.listReady()).to.deep.equal(['h1', 'h2', 'w1', 'w2', 'w5']);
	});

	// An instance that was cut off from the others would refuse the callers of its side of the cut.
	it('leaves an instance ready that hears nothing', async () => {
		const leaf = fleet.add('w1');
		await fleet.run(20);
		expect(leaf.sharing.isOutside).to.equal(false);
	});

	// Half of the instances of a zone would have been out of use though none is stronger than another.
	it('leaves all instances ready where all of them are weak', async () => {
		for (const instance of ['h1', 'h2']) {
			fleet.add(instance, {roles: [relayRole], processorShare: 0.6});
		}

		fleet.add('w1', {processorShare: 0.6});
		await fleet.run(20);
		expect(fleet.listReady()).to.have.length(3);
	});

	it('sends nothing where no instance has a weak processor', async () => {
		const hubs = [...addHubs(), fleet.add('s1', {processorShare: 0.9})];
		await fleet.run(10);
		expect(hubs.flatMap(({sent}) => sent)).to.deep.equal([]);
	});
});
