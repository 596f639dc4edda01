import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {ServerHealth} from '../src/calls/server-health.js';

const createServer = (id: string): KnownServer => ({
	id, startedAt: 1, sequence: 1, service: 's', address: `10.0.0.1:${id}` as SocketAddress, availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
});
const answer = {
	address: '10.0.0.1:80', callKind: 'run', expectedId: 'b', receivedId: 'a', status: 200, isJoined: false,
};

describe('health of servers', () => {
	// Entries of servers whose ids change with each start were kept for good.
	it('keeps nothing of a server that is no longer known', () => {
		const health = new ServerHealth(new ManualClock());
		const server = createServer('1');
		health.recordFailure(server);
		expect(health.getFailureRate(server)).to.be.greaterThan(0);
		health.remove('1');
		expect(health.getFailureRate(server)).to.equal(0);
	});

	// One late answer took a server out of service: streams until its next report, other requests for up to 5 s.
	it('keeps using a server that answers twice, but not one that answers with another id on a new connection', () => {
		const health = new ServerHealth(new ManualClock());
		const servers = [createServer('1'), createServer('2')];
		health.recordForeignAnswer(servers[0]!, {...answer, exchanges: 3});
		expect(health.selectHealthy(servers)).to.deep.equal(servers);
		health.recordForeignAnswer(servers[0]!, {...answer, exchanges: 0});
		expect(health.selectHealthy(servers)).to.deep.equal([servers[1]]);
	});

	// While the only server that generates was silent, every other request was refused because no such server was known.
	it('keeps using silent servers if no other one generates, and avoids them otherwise', () => {
		const health = new ServerHealth(new ManualClock());
		const [first, second] = [createServer('1'), createServer('2')];
		const prefillServer: KnownServer = {...createServer('3'), stage: 'prefill'};
		health.recordSilent(first);
		expect(health.selectHealthy([first, second, prefillServer])).to.deep.equal([second, prefillServer]);
		expect(health.selectHealthy([first, prefillServer])).to.have.members([first, prefillServer]);
		health.recordSilent(prefillServer);
		expect(health.selectHealthy([first, second, prefillServer])).to.deep.equal([second]);
		expect(health.selectHealthy([first, prefillServer])).to.deep.equal([first]);
		expect(health.selectHealthy([prefillServer])).to.deep.equal([prefillServer]);
		expect(health.getFailureRate(first)).to.equal(0);
	});

	it('uses a silent server again once it reports or answers', () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const servers = [createServer('1'), createServer('2')];
		health.recordSilent(servers[0]!);
		expect(health.selectHealthy([{...servers[0]!, heardAt: clock.monotonic() + 1}, servers[1]!])).to.have.length(2);
		health.recordSuccess(servers[0]!);
		expect(health.selectHealthy(servers)).to.deep.equal(servers);
	});

	// Guards against a herd of requests at a server that refuses every connection, and that each of its reports let in again.
	for (const stage of [undefined, 'decode', 'prefill'] as const) {
		it(`lets one request at a time try a server that failed, after a delay that grows, whatever its reports say: ${stage ?? 'plain'}`, async () => {
			const clock = new ManualClock();
			const health = new ServerHealth(clock);
			const [failing, sound] = [{...createServer('1'), stage}, createServer('2')];
			const isOpen = () => health.selectHealthy([{...failing, heardAt: clock.monotonic()}, sound]).length === 2;
			const delays: number[] = [];
			for (let trial = 0; trial < 6; trial++) {
				health.recordUnresponsive(failing);
				let delayMs = 0;
				while (!isOpen()) {
					await clock.advance(100);
					delayMs += 100;
				}

				delays.push(delayMs);
				health.recordSending(failing);
				expect(isOpen()).to.equal(false);
			}

			expect(delays).to.deep.equal([400, 800, 1600, 3200, 5000, 5000]);
			health.recordSending(sound);
			health.recordAnswer(failing);
			expect(isOpen()).to.equal(true);
			health.recordSending(failing);
			expect(isOpen()).to.equal(true);
		});
	}

	// Guards against a server that is kept out for good, because the only request that tried it never ended.
	it('lets another request try a server when the one before has not ended after the delay', async () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const [failing, sound] = [createServer('1'), createServer('2')];
		health.recordBrokenResponse(failing);
		await clock.advance(400);
		health.recordSending(failing);
		expect(health.selectHealthy([failing, sound])).to.deep.equal([sound]);
		await clock.advance(400);
		expect(health.selectHealthy([failing, sound])).to.deep.equal([failing, sound]);
	});
});
