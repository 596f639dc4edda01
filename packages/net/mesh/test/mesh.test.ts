import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import {peerFeatures} from '@hickorytrack/types/peer-methods';
import {Mesh} from '../src/mesh.js';
import {PeerNetwork} from './peer-network.js';

const hubRole = 'core';

class Fleet {
	readonly clock = new ManualClock();
	readonly network = new PeerNetwork(this.clock);
	readonly meshes: Mesh[] = [];

	/** The first members are hubs. The seeds are members at the end, which are leaves in a large fleet. */
	constructor(count: number, hubs: number) {
		for (let index = 0; index < count; index++) {
			this.add(index, index < hubs, [`m${count - 1}`, `m${count - 2}`]);
		}
	}

	get leaves(): Mesh[] {
		return this.meshes.filter(mesh => !mesh.peers.member.roles.includes(hubRole));
	}

	add(index: number, isHub: boolean, seeds: readonly string[], features: string[] = [peerFeatures.hubs]): Mesh {
		const address = `m${index}`;
		const mesh = new Mesh({
			peers: this.network.createNode({
				instance: address, roles: isHub ? ['edge', hubRole] : ['edge'], availabilityZone: 'z', address, incarnation: 'a', features,
			}), clock: this.clock, events: new EventLog({clock: this.clock}), seeds, linkedRoles: ['edge'], hubRole,
		});
		this.meshes.push(mesh);
		mesh.start();
		return mesh;
	}

	countConnections(mesh: Mesh): number {
		return this.network.nodes.get(mesh.address)!.connections.size;
	}
}

describe('mesh', () => {
	it('links all instances of a small fleet with each other', async () => {
		const fleet = new Fleet(6, 3);
		await fleet.clock.advance(2000);
		for (const mesh of fleet.meshes) {
			expect(mesh.usesHubs).to.equal(false);
			expect(mesh.listConnections()).to.have.length(5);
			expect(mesh.memberCount).to.equal(6);
		}
	});

	// Many small machines: 70 instances linked with each other took most of the processor time of their machines.
	for (const count of [20, 70]) {
		it(`links each of ${count} instances with the hubs only`, async () => {
			const hubs = 5;
			const fleet = new Fleet(count, hubs);
			await fleet.clock.advance(8000);
			for (const leaf of fleet.leaves) {
				expect(leaf.usesHubs).to.equal(true);
				expect(leaf.listConnections()).to.have.length(hubs);
				expect(fleet.countConnections(leaf)).to.equal(hubs);
				expect(leaf.memberCount).to.equal(count);
			}

			for (const hub of fleet.meshes.slice(0, hubs)) {
				expect(hub.listConnections()).to.have.length(count - 1);
			}
		});
	}

	it('sends as many messages per leaf in a fleet of 60 as in one of 20', async () => {
		const rates = await Promise.all([20, 60].map(async count => {
			const fleet = new Fleet(count, 5);
			await fleet.clock.advance(8000);
			fleet.network.messages = 0;
			await fleet.clock.advance(10_000);
			return fleet.network.messages / count;
		}));
		expect(rates[1]).to.be.closeTo(rates[0]!, 1);
	});

	it('runs the listeners at both ends of a new connection between a leaf and a hub', async () => {
		const fleet = new Fleet(20, 3);
		await fleet.clock.advance(8000);
		const ends: string[] = [];
		const leaf = fleet.add(20, false, ['m5']);
		for (const mesh of fleet.meshes) {
			mesh.onConnected(connection => {
				ends.push(`${mesh.address} ${connection.remote.address}`);
			});
		}

		await fleet.clock.advance(5000);
		for (const hub of ['m0', 'm1', 'm2']) {
			expect(ends).to.include(`${leaf.address} ${hub}`);
			expect(ends).to.include(`${hub} ${leaf.address}`);
		}
	});

	it('finds a hub that replaces a lost one and forgets the lost one', async () => {
		const fleet = new Fleet(20, 3);
		await fleet.clock.advance(8000);
		fleet.network.nodes.get('m0')!.setUp(false);
		const replacement = fleet.add(20, true, ['m6', 'm7']);
		await fleet.clock.advance(5000);
		for (const leaf of fleet.leaves) {
			expect(leaf.findConnection(replacement.address)?.remote.address).to.equal(replacement.address);
			expect(leaf.usesHubs).to.equal(true);
		}

		await fleet.clock.advance(60_000);
		for (const leaf of fleet.leaves) {
			expect(leaf.findMember('m0')).to.equal(undefined);
			expect(leaf.memberCount).to.equal(20);
		}
	});

	// A rolling release: a hub of the older version forwards no reports.
	it('stays a full mesh while a hub lacks the feature, and uses hubs once it is gone', async () => {
		const fleet = new Fleet(12, 2);
		const old = fleet.add(12, true, ['m5'], []);
		await fleet.clock.advance(8000);
		for (const mesh of fleet.meshes) {
			expect(mesh.usesHubs).to.equal(false);
			expect(mesh.listConnections()).to.have.length(12);
		}

		old.stop();
		fleet.network.nodes.get(old.address)!.setUp(false);
		await fleet.clock.advance(40_000);
		for (const leaf of fleet.leaves) {
			expect(leaf.usesHubs).to.equal(true);
			expect(leaf.listConnections()).to.have.length(2);
		}
	});

	// Guards against instances that are cut off, know few others and divide shared limits by their number.
	it('lets the shares of all instances add up to no more than the whole while some are cut off', async () => {
		const fleet = new Fleet(20, 3);
		await fleet.clock.advance(8000);
		const cutOff = fleet.leaves.slice(0, 6);
		for (const {address} of cutOff) {
			fleet.network.nodes.get(address)!.setUp(false);
		}

		for (let second = 0; second < 60; second++) {
			await fleet.clock.advance(1000);
			const shares = fleet.meshes.map(mesh => 1 / mesh.highestMemberCount);
			expect(shares.reduce((sum, share) => sum + share, 0)).to.be.at.most(1.000_001);
		}

		await fleet.clock.advance(200_000);
		expect(fleet.meshes[0]!.highestMemberCount).to.equal(14);
	});

	it('links to the hubs again when all of them restart at once', async () => {
		const fleet = new Fleet(20, 3);
		await fleet.clock.advance(8000);
		for (const address of ['m0', 'm1', 'm2']) {
			fleet.network.nodes.get(address)!.setUp(false);
		}

		await fleet.clock.advance(1500);
		for (const address of ['m0', 'm1', 'm2']) {
			fleet.network.nodes.get(address)!.setUp(true);
		}

		await fleet.clock.advance(3000);
		for (const leaf of fleet.leaves) {
			expect(leaf.listConnections()).to.have.length(3);
			expect(leaf.memberCount).to.equal(20);
		}
	});
});
