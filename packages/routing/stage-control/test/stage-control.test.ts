import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EndpointRegistry, type KnownServer, type ServerStage} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {
	orderOutcomes, StageControl, type OrderOutcome, type ServerStageStatus, type StageClient, type StageOrder,
} from '../src/stage-control.js';
import type {StageChange, StagePlanner} from '../src/stage-planner.js';

class FakeClient implements StageClient {
	readonly orders: Array<StageOrder & {server: string}> = [];
	outcome: OrderOutcome = orderOutcomes.accepted;
	status: ServerStageStatus | undefined = {stage: 'decode', sequence: 7, isBusy: false};

	async readStatus(_server: KnownServer): Promise<ServerStageStatus | undefined> {
		return this.status;
	}

	async sendOrder(server: KnownServer, order: StageOrder): Promise<OrderOutcome> {
		this.orders.push({server: server.id, ...order});
		return this.outcome;
	}
}

/** Plans to change every decode server that is not changing yet to prefill. */
class EagerPlanner implements StagePlanner {
	plan({servers}: {servers: ReadonlyArray<{id: string; stage: ServerStage; isChanging: boolean}>}): StageChange | undefined {
		const next = servers.find(server => server.stage === 'decode' && !server.isChanging);
		return next && {server: next.id, stage: 'prefill', reason: 'test'};
	}
}

describe('stage control', () => {
	let clock: ManualClock;
	let registry: EndpointRegistry;
	let client: FakeClient;
	let control: StageControl;
	let leadershipAgeMs: number | undefined;
	let term: number | undefined;
	let broadcasts: Array<{server: string; stage: ServerStage}>;
	let sequence: number;

	const report = (id: string, stage: ServerStage) => {
		sequence++;
		registry.recordReport({
			id, startedAt: 0, sequence, service: 'm', address: `10.0.0.1:${id.slice(1)}` as SocketAddress, availabilityZone: 'z', slots: 64, state: 'ready', coldMs: 0, stage,
		});
	};

	const runRounds = async (count = 1) => {
		for (let i = 0; i < count; i++) {
			await clock.advance(100);
			await control.runOnce();
		}
	};

	beforeEach(() => {
		clock = new ManualClock();
		registry = new EndpointRegistry({clock, reportTimeoutMs: 60_000});
		client = new FakeClient();
		leadershipAgeMs = 60_000;
		term = 4;
		broadcasts = [];
		sequence = 0;
		control = new StageControl({
			clock,
			registry,
			client,
			events: new EventLog({clock}),
			planner: new EagerPlanner(),
			holder: 'edge-1',
			leaseMs: 3000,
			leadership: {
				get leadershipAgeMs() {
					return leadershipAgeMs;
				},
				confirm: async () => term,
			},
			listServices: () => ['m'],
			readLoad: () => ({streams: 0, promptTokens: 0}),
			broadcastPendingStage(server, stage) {
				broadcasts.push({server: server.id, stage});
			},
		});
		report('s1', 'decode');
		report('s2', 'decode');
	});

	it('sends one order at a time, with the term as fencing token and the sequence of the server\'s status', async () => {
		await runRounds(3);
		expect(client.orders).to.deep.equal([{
			server: 's1', stage: 'prefill', holder: 'edge-1', fencingToken: 4, expectedSequence: 7,
		}]);
		expect(registry.listUsable('m').map(server => server.id)).to.deep.equal(['s2']);
		report('s1', 'prefill');
		expect(registry.listUsable('m')).to.have.length(2);
		await runRounds();
		expect(client.orders.map(order => order.server)).to.deep.equal(['s1', 's2']);
	});

	it('sends no order while it does not lead, or has not led for longer than a lease', async () => {
		leadershipAgeMs = undefined;
		await runRounds(3);
		leadershipAgeMs = 3500;
		await runRounds(3);
		expect(client.orders).to.have.length(0);
	});

	// The order went to a server that said so in the answer with its status, or while a majority confirmed the leadership.
	it('sends no order to a server that leaves after it was selected', async () => {
		client.readStatus = async server => {
			registry.recordLeaving(server);
			return client.status;
		};

		await runRounds(3);
		expect(client.orders).to.have.length(0);
		expect(broadcasts).to.have.length(0);
	});

	it('sends no order without confirmation by a majority', async () => {
		term = undefined;
		await runRounds(3);
		expect(client.orders).to.have.length(0);
		expect(broadcasts).to.have.length(0);
	});

	it('sends no further order in its term when another leader has sent one', async () => {
		client.outcome = orderOutcomes.overtaken;
		await runRounds(100);
		expect(client.orders).to.have.length(1);
		expect(registry.listUsable('m')).to.have.length(2);
		term = 5;
		await runRounds();
		expect(client.orders).to.have.length(2);
	});

	it('waits after an order without a response, which may still be carried out', async () => {
		client.outcome = orderOutcomes.unknown;
		await runRounds(100);
		expect(client.orders).to.have.length(1);
		await runRounds(30);
		expect(client.orders).to.have.length(2);
	});

	it('backs off from a server that is busy, does not return its status or has changed since', async () => {
		client.status = undefined;
		await runRounds(2);
		expect(client.orders).to.have.length(0);
		client.status = {stage: 'decode', sequence: 7, isBusy: true};
		await runRounds(40);
		expect(client.orders).to.have.length(0);
		client.status = {stage: 'decode', sequence: 8, isBusy: false};
		client.outcome = orderOutcomes.conflict;
		await runRounds(40);
		const perServer = client.orders.filter(order => order.server === 's1').length;
		expect(perServer).to.be.within(1, 2);
	});

	it('knows the changes that a former leader started', async () => {
		registry.setPendingStage('s1', {startedAt: 0, stage: 'prefill'});
		await runRounds(3);
		expect(client.orders).to.have.length(0);
		report('s1', 'prefill');
		await runRounds();
		expect(client.orders.map(order => order.server)).to.deep.equal(['s2']);
	});

	it('drops a pending change when its server has restarted', async () => {
		await runRounds();
		registry.recordReport({
			id: 's1', startedAt: 9, sequence: 1, service: 'm', address: '10.0.0.1:1' as SocketAddress, availabilityZone: 'z', slots: 64, state: 'ready', coldMs: 0, stage: 'decode',
		});
		expect(registry.listUsable('m')).to.have.length(2);
		await runRounds();
		expect(client.orders.map(order => order.server)).to.deep.equal(['s1', 's1']);
	});
});
