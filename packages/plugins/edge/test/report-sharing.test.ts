import {err, ok} from 'neverthrow';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EndpointRegistry, type ServerReport} from '@hickorytrack/endpoint-registry';
import {HickorytrackError} from '@hickorytrack/errors';
import {peerFeatures, type PeerMember} from '@hickorytrack/types/peer-methods';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {ReportSharing, type ReportPeer} from '../src/sharing/report-sharing.js';

const report: ServerReport = {
	id: 'server', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0,
};

/** Two hubs with two leaves each. Every leaf is connected to both hubs and uses one of them as its relay. */
class Fleet {
	readonly clock = new ManualClock();
	readonly registries = new Map<string, EndpointRegistry>();
	readonly sharings = new Map<string, ReportSharing>();
	readonly unconfirmed: string[] = [];
	readonly leaving: string[] = [];
	readonly down = new Set<string>();
	/** Instances of an older version, which do not understand repeats. */
	readonly old = new Set<string>();
	messages = 0;

	constructor() {
		const leavesByHub: Record<string, string[]> = {hub1: ['leaf1', 'leaf2'], hub2: ['leaf3', 'leaf4']};
		for (const name of ['hub1', 'hub2', 'leaf1', 'leaf2', 'leaf3', 'leaf4']) {
			const registry = new EndpointRegistry({clock: this.clock, reportTimeoutMs: 5000});
			this.registries.set(name, registry);
			this.sharings.set(name, new ReportSharing({
				clock: this.clock,
				registry,
				listPeers: () => ['hub1', 'hub2'].filter(hub => hub !== name).map(hub => this.#createPeer(name, hub)),
				listLeaves: () => (leavesByHub[name] ?? []).map(leaf => this.#createPeer(name, leaf)),
				onLeaving: ({id, startedAt}, {remote}) => {
					this.leaving.push(`${name} ${id}/${startedAt} from ${remote.instance}`);
				},
				onUnconfirmed: (server, missing) => {
					this.unconfirmed.push(`${name} ${server} ${missing}`);
				},
			}));
		}
	}

	async report(at: string, change: Partial<ServerReport>): Promise<void> {
		const next = {...report, ...change};
		const registry = this.registries.get(at)!;
		const previous = registry.find(next.id);
		registry.recordReport(next);
		await this.sharings.get(at)!.send(next, previous);
	}

	/** The server says in an answer to this instance that it leaves. */
	async answerLeaving(at: string, startedAt = report.startedAt): Promise<void> {
		const left = this.registries.get(at)!.recordLeaving({id: report.id, startedAt});
		if (left) {
			await this.sharings.get(at)!.send(left, undefined);
		}
	}

	/** Exchanges what two instances know when a connection between them opens. */
	async connect(from: string, to: string): Promise<void> {
		await this.sharings.get(to)!.handleNote(this.registries.get(from)!.list(), this.#createPeer(to, from));
		await this.sharings.get(from)!.handleNote(this.registries.get(to)!.list(), this.#createPeer(from, to));
	}

	listUsing(): string[] {
		return [...this.registries].filter(([, registry]) => registry.listUsable('s').length > 0).map(([name]) => name);
	}

	listKnowing(predicate: (server: ServerReport) => boolean): string[] {
		return [...this.registries].filter(([, registry]) => {
			const server = registry.find('server');
			return server !== undefined && predicate(server);
		}).map(([name]) => name);
	}

	#createPeer(from: string, to: string): ReportPeer {
		const dispatch = async (method: string, params: unknown) => {
			if (this.down.has(to)) {
				return err(new HickorytrackError('ERR_HICKORYTRACK_PEER_TIMEOUT', 'down'));
			}

			this.messages++;
			const sharing = this.sharings.get(to)!;
			const back = this.#createPeer(to, from);
			const {reports, repeats, servers} = structuredClone(params) as {reports: ServerReport[]; repeats: Array<[string, number, number]>; servers: string[]};
			switch (method) {
				case 'registry.note': {
					return ok(await sharing.handleNote(reports, back));
				}

				case 'registry.repeat': {
					expect(this.old.has(to)).to.equal(false);
					await sharing.handleRepeats(repeats, back);
					return ok(undefined);
				}

				default: {
					return ok({reports: sharing.listReports(servers)});
				}
			}
		};

		return {
			remote: {address: to, instance: to, features: this.old.has(to) ? undefined : [peerFeatures.reportRepeats]} as unknown as PeerMember,
			notify(method: string, params: unknown) {
				void dispatch(method, params);
			},
			request: dispatch,
		} as unknown as ReportPeer;
	}
}

const allNames = ['hub1', 'hub2', 'leaf1', 'leaf2', 'leaf3', 'leaf4'];

describe('report sharing', () => {
	let fleet: Fleet;

	beforeEach(async () => {
		fleet = new Fleet();
		await fleet.report('leaf1', {});
		await fleet.clock.advance(1);
	});

	it('tells every instance of a server that reports to a leaf', () => {
		expect(fleet.listKnowing(server => server.state === 'ready')).to.deep.equal(allNames);
	});

	// Promise: no request is sent to a server after the acknowledgement that it leaves.
	it('resolves for a leaving server when every instance knows', async () => {
		await fleet.report('leaf1', {sequence: 2, state: 'draining'});
		expect(fleet.listKnowing(server => server.state === 'draining')).to.deep.equal(allNames);
		expect(fleet.unconfirmed).to.deep.equal([]);
		await fleet.report('hub2', {sequence: 3, state: 'left'});
		expect(fleet.listKnowing(server => server.state === 'left')).to.deep.equal(allNames);
	});

	describe('of a server that says in an answer that it leaves', () => {
		it('tells every instance, which each say once who told them', async () => {
			await fleet.answerLeaving('leaf1');
			await fleet.answerLeaving('leaf1');
			expect(fleet.listUsing()).to.deep.equal([]);
			expect(fleet.leaving.map(line => line.split(' from ')[0])).to.have.members(['hub1', 'hub2', 'leaf2', 'leaf3', 'leaf4'].map(name => `${name} server/1000`));
			expect(fleet.unconfirmed).to.deep.equal([]);
		});

		// A report that was sent later, or reached an instance that had not heard the news, made the server usable again.
		it('is not undone by a later report or by an instance that has not heard it', async () => {
			fleet.down.add('leaf4');
			await fleet.answerLeaving('leaf1');
			fleet.down.delete('leaf4');
			expect(fleet.listUsing()).to.deep.equal(['leaf4']);
			for (const [sequence, at] of ['leaf4', 'leaf1', 'hub1', 'hub2'].entries()) {
				await fleet.report(at, {sequence: sequence + 2});
				await fleet.clock.advance(1);
				for (const sharing of fleet.sharings.values()) {
					sharing.sendRepeats();
				}
			}

			await fleet.clock.advance(1);
			expect(fleet.listUsing()).to.deep.equal(['leaf4']);
			await fleet.connect('leaf4', 'hub2');
			expect(fleet.listUsing()).to.deep.equal([]);
		});

		it('survives the loss of every other instance and reaches them afterwards', async () => {
			for (const name of allNames) {
				fleet.down.add(name);
			}

			await fleet.answerLeaving('leaf1');
			expect(fleet.listUsing()).to.deep.equal(['hub1', 'hub2', 'leaf2', 'leaf3', 'leaf4']);
			fleet.down.clear();
			await fleet.connect('hub1', 'leaf1');
			expect(fleet.listUsing()).to.deep.equal(['hub2', 'leaf3', 'leaf4']);
			await fleet.connect('hub1', 'hub2');
			expect(fleet.listUsing()).to.deep.equal([]);
		});

		// Promise: no request is sent to a server after the acknowledgement that it leaves, also where the news was not heard.
		it('still tells every instance that it drains before its report is acknowledged', async () => {
			fleet.down.add('hub2');
			await fleet.answerLeaving('leaf1');
			fleet.down.delete('hub2');
			expect(fleet.listUsing()).to.deep.equal(['hub2', 'leaf3', 'leaf4']);
			await fleet.report('hub1', {sequence: 2, state: 'draining'});
			expect(fleet.listUsing()).to.deep.equal([]);
		});

		it('is used everywhere with its next start', async () => {
			await fleet.answerLeaving('leaf1');
			await fleet.report('leaf3', {startedAt: 2000});
			await fleet.answerLeaving('leaf2');
			await fleet.clock.advance(1);
			expect(fleet.listUsing()).to.deep.equal(allNames);
		});
	});

	it('says how many instances have not confirmed', async () => {
		fleet.down.add('leaf3');
		await fleet.report('leaf1', {sequence: 2, state: 'draining'});
		expect(fleet.unconfirmed).to.deep.equal(['hub2 server 1']);
	});

	it('sends repeated reports to the leaves in one message per interval', async () => {
		fleet.messages = 0;
		for (let sequence = 2; sequence < 12; sequence++) {
			await fleet.report('leaf1', {sequence});
		}

		await fleet.clock.advance(1);
		expect(fleet.messages).to.equal(20); // To the two hubs.
		for (const sharing of fleet.sharings.values()) {
			sharing.sendRepeats();
		}

		await fleet.clock.advance(1);
		expect(fleet.messages).to.equal(24);
		expect(fleet.listKnowing(server => server.sequence === 11)).to.deep.equal(allNames);
	});

	// A rolling release: without full reports, an instance of the old version would take its servers for silent.
	it('sends full reports to instances of an older version', async () => {
		fleet.old.add('hub2');
		fleet.old.add('leaf2');
		await fleet.report('leaf1', {sequence: 2});
		await fleet.clock.advance(1);
		for (const sharing of fleet.sharings.values()) {
			sharing.sendRepeats();
		}

		await fleet.clock.advance(1);
		expect(fleet.listKnowing(server => server.sequence === 2)).to.include.members(['hub1', 'hub2', 'leaf1', 'leaf2']);
	});

	it('fetches the report that a repeat refers to when it was missed', async () => {
		fleet.down.add('leaf4');
		await fleet.report('leaf1', {sequence: 1, startedAt: 2000, stage: 'decode'});
		await fleet.clock.advance(1);
		fleet.down.delete('leaf4');
		await fleet.report('leaf1', {sequence: 2, startedAt: 2000, stage: 'decode'});
		await fleet.clock.advance(1);
		for (const sharing of fleet.sharings.values()) {
			sharing.sendRepeats();
		}

		await fleet.clock.advance(1);
		expect(fleet.listKnowing(server => server.stage === 'decode')).to.deep.equal(allNames);
	});
});
