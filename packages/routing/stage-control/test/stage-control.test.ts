import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EndpointRegistry, type KnownServer, type ServerStage} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import {
	orderOutcomes, StageControl, type OrderOutcome, type ServerStageStatus, type StageClient, type StageOrder,
} from '../src/stage-control.js';
import type {StageChange, StagePlanner} from '../src/stage-planner.js';

class FakeClient implements StageClient {
	readonly orders: Array<StageOrder & {server: string}> = [];
	outcome: OrderOutcome = orderOutcomes.accepted;
	condition: ServerStageStatus | undefined = {stage: 'decode', sequence: 7, isBusy: false};

	async readStatus(): Promise<ServerStageStatus | undefined> {
		return this.condition;
	}

	async sendOrder(server: KnownServer, order: StageOrder): Promise<OrderOutcome> {
		this.orders.push({server: server.id, ...order});
		return this.outcome;
	}
}

/** Wants every generating server that is free to read. */
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
	let ledForMs: number | undefined;
	let term: number | undefined;
	let announced: Array<{server: string; stage: ServerStage}>;
	let sequence: number;

	const report = (id: string, stage: ServerStage) => {
		sequence++;
		registry.recordReport({
			id, startedAt: 0, sequence, service: 'm', address: `10.0.0.1:${id.slice(1)}`, availabilityZone: 'z', slots: 64, state: 'ready', coldMs: 0, stage,
		});
	};

	const step = async (count = 1) => {
		for (let i = 0; i < count; i++) {
			await clock.advance(100);
			await control.runOnce();
		}
	};

	beforeEach(() => {
		clock = new ManualClock();
		registry = new EndpointRegistry({clock, reportTimeoutMs: 60_000});
		client = new FakeClient();
		ledForMs = 60_000;
		term = 4;
		announced = [];
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
				get ledForMs() {
					return ledForMs;
				},
				confirm: async () => term,
			},
			listServices: () => ['m'],
			readLoad: () => ({streams: 0, promptTokens: 0}),
			broadcastPendingStage(server, stage) {
				announced.push({server: server.id, stage});
			},
		});
		report('s1', 'decode');
		report('s2', 'decode');
	});

	it('orders one change at a time, under the term and bound to the server\'s report', async () => {
		await step(3);
		expect(client.orders).to.deep.equal([{
			server: 's1', stage: 'prefill', holder: 'edge-1', fencingToken: 4, expectedSequence: 7,
		}]);
		expect(registry.listUsable('m').map(server => server.id)).to.deep.equal(['s2']);
		report('s1', 'prefill');
		expect(registry.listUsable('m')).to.have.length(2);
		await step();
		expect(client.orders.map(order => order.server)).to.deep.equal(['s1', 's2']);
	});

	it('gives no order while it does not lead, or has not led for longer than a lease', async () => {
		ledForMs = undefined;
		await step(3);
		ledForMs = 3500;
		await step(3);
		expect(client.orders).to.have.length(0);
	});

	it('gives no order that no majority confirms', async () => {
		term = undefined;
		await step(3);
		expect(client.orders).to.have.length(0);
		expect(announced).to.have.length(0);
	});

	it('falls silent for its term when another leader has given an order', async () => {
		client.outcome = orderOutcomes.overtaken;
		await step(100);
		expect(client.orders).to.have.length(1);
		expect(registry.listUsable('m')).to.have.length(2);
		term = 5;
		await step();
		expect(client.orders).to.have.length(2);
	});

	it('waits for an order without an answer, which may still be carried out', async () => {
		client.outcome = orderOutcomes.unknown;
		await step(100);
		expect(client.orders).to.have.length(1);
		await step(30);
		expect(client.orders).to.have.length(2);
	});

	it('leaves a server alone for a while that is busy, can not be read or has changed since', async () => {
		client.condition = undefined;
		await step(2);
		expect(client.orders).to.have.length(0);
		client.condition = {stage: 'decode', sequence: 7, isBusy: true};
		await step(40);
		expect(client.orders).to.have.length(0);
		client.condition = {stage: 'decode', sequence: 8, isBusy: false};
		client.outcome = orderOutcomes.conflict;
		await step(40);
		const perServer = client.orders.filter(order => order.server === 's1').length;
		expect(perServer).to.be.within(1, 2);
	});

	it('knows the changes that a former leader began', async () => {
		registry.setPendingStage('s1', {startedAt: 0, stage: 'prefill'});
		await step(3);
		expect(client.orders).to.have.length(0);
		report('s1', 'prefill');
		await step();
		expect(client.orders.map(order => order.server)).to.deep.equal(['s2']);
	});

	it('forgets a change when its server has started again', async () => {
		await step();
		registry.recordReport({
			id: 's1', startedAt: 9, sequence: 1, service: 'm', address: '10.0.0.1:1', availabilityZone: 'z', slots: 64, state: 'ready', coldMs: 0, stage: 'decode',
		});
		expect(registry.listUsable('m')).to.have.length(2);
		await step();
		expect(client.orders.map(order => order.server)).to.deep.equal(['s1', 's1']);
	});
});
