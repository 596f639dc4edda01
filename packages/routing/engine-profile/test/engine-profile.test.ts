import {expect} from 'chai';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {ServerSpeeds} from '@hickorytrack/expected-work/server-speeds';
import {Random} from '@hickorytrack/random';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EngineProfile} from '../src/engine-profile.js';

const createServer = (id: string, stage: 'prefill' | 'decode' = 'prefill'): KnownServer => ({
	id, startedAt: 0, sequence: 1, service: 'm', address: `10.0.0.1:${id}` as SocketAddress, availabilityZone: 'z', slots: 8, state: 'ready', coldMs: 0, stage, heardAt: 0, order: 1,
});

describe('engine profile', () => {
	it('says that it knows nothing before the first sample', () => {
		const profile = new EngineProfile();
		expect(profile.isKnown('m')).to.equal(false);
		expect(profile.estimateMs(createServer('a'), 9000)).to.equal(0);
	});

	// Factors of servers whose ids change with each start were kept for good.
	it('keeps no factor of a server that is no longer known', () => {
		const profile = new EngineProfile();
		const [average, slow] = [createServer('a'), createServer('b')];
		for (let count = 0; count < 50; count++) {
			profile.record(average, {tokens: 1000 + (100 * count), elapsedMs: 20 + count, isIdle: true});
		}

		for (let count = 0; count < 5; count++) {
			profile.record(slow, {tokens: 2000, elapsedMs: 100, isIdle: true});
		}

		expect(profile.estimateMs(slow, 2000)).to.be.greaterThan(profile.estimateMs(average, 2000));
		profile.remove('b');
		profile.remove('a');
		expect(profile.estimateMs(slow, 2000)).to.equal(profile.estimateMs(average, 2000));
	});

	// Guards against an assumed speed: engines between 10 and 500 tokens/ms were served as if all had 200.
	for (const tokensPerMs of [10, 48.2, 236, 500]) {
		it(`predicts a prefill at ${tokensPerMs} tokens/ms after three samples, with queues of any length`, () => {
			const profile = new EngineProfile();
			const server = createServer('a');
			for (const tokens of [9000, 24_000, 3000]) {
				profile.record(server, {tokens, elapsedMs: 5 + (tokens / tokensPerMs), isIdle: true});
			}

			for (const tokens of [500, 12_000, 60_000]) {
				const actualMs = 5 + (tokens / tokensPerMs);
				expect(profile.estimateMs(server, tokens)).to.be.within(actualMs * 0.8, actualMs * 1.2);
			}
		});
	}

	it('estimates a decode server from prefill servers until it has samples of its own', () => {
		const profile = new EngineProfile();
		profile.record(createServer('a'), {tokens: 1000, elapsedMs: 20, isIdle: true});
		const decodeServer = createServer('b', 'decode');
		expect(profile.estimateMs(decodeServer, 1000)).to.be.closeTo(40, 1);
		profile.record(decodeServer, {tokens: 1000, elapsedMs: 60, isIdle: true});
		expect(profile.estimateMs(decodeServer, 1000)).to.be.closeTo(60, 6);
	});

	it('tells a slow server from the others and forgets it when it restarts', () => {
		const profile = new EngineProfile();
		const random = new Random(3);
		const servers = ['a', 'b', 'c'].map(id => createServer(id));
		for (let i = 0; i < 300; i++) {
			const server = servers[i % 3]!;
			const tokens = 1000 + (random.next() * 20_000);
			profile.record(server, {tokens, elapsedMs: (tokens / 50) * (server.id === 'c' ? 2 : 1), isIdle: true});
		}

		const slowMs = profile.estimateMs(servers[2]!, 9000);
		expect(slowMs / profile.estimateMs(servers[0]!, 9000)).to.be.within(1.8, 2.2);
		expect(profile.estimateMs({...servers[2]!, startedAt: 5}, 9000)).to.be.lessThan(slowMs * 0.8);
	});

	it('ignores a server that freezes for a second and follows a lasting change', () => {
		const profile = new EngineProfile();
		const servers = Array.from({length: 10}, (_, index) => createServer(`s${index}`));
		const recordAll = (msPerToken: number, rounds: number) => {
			for (let round = 0; round < rounds; round++) {
				for (const server of servers) {
					const tokens = 4000 + (round % 5 * 2000);
					profile.record(server, {tokens, elapsedMs: tokens * msPerToken, isIdle: true});
				}
			}
		};

		recordAll(0.02, 20);
		profile.record(servers[0]!, {tokens: 9000, elapsedMs: 3000, isIdle: true});
		expect(profile.estimateMs(servers[1]!, 9000)).to.be.within(170, 200);
		recordAll(0.06, 60);
		expect(profile.estimateMs(servers[1]!, 9000)).to.be.within(480, 600);
	});

	// Punctual prompts wait behind work that this instance does not know of, most of all while the servers are overloaded.
	it('is not slowed down by samples of busy servers', () => {
		const profile = new EngineProfile();
		const random = new Random(4);
		const server = createServer('a');
		for (let i = 0; i < 400; i++) {
			const tokens = 2000 + (random.next() * 20_000);
			const isIdle = i % 10 === 0;
			profile.record(server, {tokens, elapsedMs: (tokens / 200) + (isIdle ? random.next() * 5 : random.next() * 300), isIdle});
		}

		expect(profile.estimateMs(server, 10_000)).to.be.within(48, 75);
	});

	it('ignores samples without tokens or time', () => {
		const profile = new EngineProfile();
		profile.record(createServer('a'), {tokens: 0, elapsedMs: 20, isIdle: true});
		profile.record(createServer('a'), {tokens: Number.NaN, elapsedMs: 20, isIdle: true});
		expect(profile.isKnown('m')).to.equal(false);
	});

	// A phase of 600 ms at 2.5 times the time was over before a factor that moves by a tenth with each idle sample followed it.
	it('follows slow phases and forgets them within a second where servers have them', async () => {
		const clock = new ManualClock();
		const profile = new EngineProfile({clock, speeds: new ServerSpeeds(clock)});
		const servers = Array.from({length: 6}, (_, index) => createServer(`s${index}`));
		const random = new Random(1);
		const runPhase = async (slow: KnownServer | undefined) => {
			for (let round = 0; round < 30; round++) {
				await clock.advance(20);
				for (const server of servers) {
					const tokens = random.nextBetween(1000, 9000);
					profile.record(server, {tokens, elapsedMs: (2 + (tokens / 500)) * (server === slow ? 2.5 : 1) * random.nextBetween(0.9, 1.1), isIdle: true});
				}
			}
		};

		await runPhase(undefined);
		const before = profile.estimateMs(servers[0]!, 5000);
		for (let phase = 0; phase < 6; phase++) {
			await runPhase(servers[phase]);
			await runPhase(undefined);
		}

		await runPhase(servers[0]);
		expect(profile.estimateMs(servers[0]!, 5000)).to.be.within(before * 2, before * 3);
		expect(profile.estimateMs(servers[1]!, 5000)).to.be.within(before * 0.8, before * 1.25);
		await clock.advance(1000);
		expect(profile.estimateMs(servers[0]!, 5000)).to.be.below(before * 1.4);
		// A prefill that is overdue shows the phase before any has ended.
		profile.beginPrefill(servers[2]!, 5000);
		await clock.advance(before * 3);
		expect(profile.estimateMs(servers[2]!, 5000)).to.be.above(profile.estimateMs(servers[3]!, 5000) * 1.5);
	});

	// The prompts of a thin link wait for it at times, and all servers to which they were sent passed for slow meanwhile.
	it('counts the wait for the own link as no slowness of a server', async () => {
		const clock = new ManualClock();
		const speeds = new ServerSpeeds(clock);
		const profile = new EngineProfile({clock, speeds});
		const servers = Array.from({length: 4}, (_, index) => createServer(`s${index}`));
		for (let count = 0; count < 600; count++) {
			await clock.advance(5);
			profile.record(servers[count % 4]!, {tokens: 5000, elapsedMs: count % 4 === 0 ? 40 : 20, isIdle: true});
		}

		expect(speeds.isUneven('m/prefill')).to.equal(true);
		await clock.advance(2000);
		const before = profile.estimateMs(servers[1]!, 5000);
		const running = profile.beginPrefill(servers[1]!, 5000, {ownMs: 100});
		await clock.advance(100 + before);
		expect(profile.estimateMs(servers[1]!, 5000)).to.be.closeTo(before, before * 0.1);
		running.end({isSample: true});
		// What the server itself is late by shows all the same.
		profile.beginPrefill(servers[1]!, 5000, {ownMs: 100});
		await clock.advance(100 + (before * 3));
		expect(profile.estimateMs(servers[1]!, 5000)).to.be.above(before * 1.3);
	});
});
