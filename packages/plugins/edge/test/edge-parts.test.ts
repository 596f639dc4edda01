import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import {RateLimitedEventLog} from '../src/rate-limited-event-log.js';
import {EventRelay} from '../src/event-relay.js';
import {PoisonRequestTracker} from '../src/poison-request-tracker.js';
import {RetryBudget} from '../src/retry-budget.js';
import {ServerHealth} from '../src/server-health.js';

const server: KnownServer = {
	id: 'a', startedAt: 1, sequence: 1, service: 's', address: '10.0.0.1:80', availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
};

describe('retry shares', () => {
	const create = (clock: ManualClock, instances: number) => new RetryBudget({
		clock, ratio: 0.2, allowance: 64, windowMs: 10_000, countInstances: () => instances,
	});

	// Pattern: an outage in which every request fails at every instance.
	it('keeps all instances together within the bound of every window', async () => {
		const clock = new ManualClock();
		const instances = Array.from({length: 8}, () => create(clock, 8));
		let retries = 0;
		let requests = 0;
		for (let second = 0; second < 10; second++) {
			for (const shares of instances) {
				for (let i = 0; i < 5; i++) {
					shares.recordRequest('s');
					requests++;
					retries += shares.acquire('s') ? 1 : 0;
				}
			}

			await clock.advance(999);
		}

		expect(retries).to.be.greaterThan(0);
		expect(retries).to.be.at.most((0.2 * requests) + 64);
	});

	it('counts rejected arrivals and forgets what left the window', async () => {
		const clock = new ManualClock();
		const shares = create(clock, 64);
		shares.recordRetry('s');
		expect(shares.acquire('s')).to.equal(false);
		await clock.advance(10_001);
		for (let i = 0; i < 10; i++) {
			shares.recordRequest('s');
		}

		expect(shares.acquire('s')).to.equal(true);
	});
});

describe('poison watch', () => {
	it('blocks a request that was running in two crashes, once each', () => {
		const watch = new PoisonRequestTracker(new ManualClock());
		watch.recordCrash('f', 'server/1');
		watch.recordCrash('f', 'server/1');
		expect(watch.isBlocked('f')).to.equal(false);
		watch.recordCrash('f', 'server/2');
		expect(watch.isBlocked('f')).to.equal(true);
	});

	it('clears a request that was answered, and forgets after a while', async () => {
		const clock = new ManualClock();
		const watch = new PoisonRequestTracker(clock);
		watch.recordCrash('f', '1');
		watch.recordSuccess('f');
		watch.recordCrash('f', '2');
		expect(watch.isBlocked('f')).to.equal(false);
		watch.recordCrash('f', '3');
		await clock.advance(60_001);
		expect(watch.isBlocked('f')).to.equal(false);
	});
});

describe('server health', () => {
	it('leaves out a server that broke off, for longer each time, unless none would remain', async () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const other = {...server, id: 'b'};
		health.recordBrokenResponse(server);
		expect(health.selectHealthy([server, other])).to.deep.equal([other]);
		expect(health.selectHealthy([server])).to.deep.equal([server]);
		await clock.advance(500);
		expect(health.selectHealthy([server, other])).to.have.length(2);
	});

	it('leaves out a silent server until it reports again', async () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const other = {...server, id: 'b'};
		health.recordUnresponsive(server);
		await clock.advance(20_000);
		expect(health.selectHealthy([server, other])).to.deep.equal([other]);
		expect(health.selectHealthy([{...server, heardAt: clock.monotonic()}, other])).to.have.length(2);
	});
});

describe('event relay', () => {
	const create = () => {
		const written: string[] = [];
		const response = {
			headersSent: true,
			destroyed: false,
			write(bytes: Buffer) {
				written.push(bytes.toString());
				return true;
			},
			end(bytes?: Buffer) {
				written.push(`${bytes?.toString() ?? ''}<end>`);
			},
			destroy() {
				written.push('<cut>');
			},
		};
		return {written, relay: new EventRelay(response as unknown as ServerResponse)};
	};

	it('passes on whole events only and knows the last one', () => {
		const {written, relay} = create();
		relay.write(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
		expect(written).to.deep.equal(['id: 1\ndata: a\n\n']);
		expect(relay.lastEventId).to.equal('1');
		relay.write(Buffer.from('ta: b\n\n'));
		expect(written.join('')).to.equal('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
		expect(relay.lastEventId).to.equal('2');
	});

	it('drops half an event of a broken server before another one goes on', () => {
		const {written, relay} = create();
		relay.write(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
		relay.clearPartialEvent();
		relay.write(Buffer.from('id: 2\ndata: b\n\n'));
		relay.finish();
		expect(written.join('')).to.equal('id: 1\ndata: a\n\nid: 2\ndata: b\n\n<end>');
	});
});

describe('decision log', () => {
	it('bounds the volume and counts what it left out', async () => {
		const clock = new ManualClock();
		const events = new EventLog({clock});
		const log = new RateLimitedEventLog(clock, events);
		for (let i = 0; i < 500; i++) {
			log.emit('forwardRefused', {request: String(i)});
		}

		const lines = events.listSince(0);
		expect(lines.length).to.be.lessThan(200);
		expect(log.droppedTotal).to.equal(500 - lines.length);
		await clock.advance(1000);
		log.emit('forwardRefused', {request: 'next'});
		expect(events.listSince(0).at(-1)!.fields.linesDropped).to.equal(500 - lines.length);
	});
});
