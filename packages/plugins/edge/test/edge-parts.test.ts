import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import {answerFramings} from '@hickorytrack/http-answer/answer-framing';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import {connectionEnds} from '@hickorytrack/http-answer/connection-watch';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {RateLimitedEventLog} from '../src/front/rate-limited-event-log.js';
import {EventRelay} from '../src/streams/event-relay.js';
import {RetryBudget, retryKinds} from '../src/limits/retry-budget.js';
import {ServerHealth} from '../src/calls/server-health.js';
import {SilenceDetector} from '../src/streams/silence-detector.js';

const server: KnownServer = {
	id: 'a', startedAt: 1, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
};

describe('retry budget', () => {
	const create = (clock: ManualClock, instances: number, isFirstStart = true) => new RetryBudget({
		clock, ratio: 0.2, allowance: 64, windowMs: 10_000, isFirstStart, countInstances: () => instances, eventLog: new RateLimitedEventLog(clock, new EventLog({clock})), metrics: new MetricsRegistry(),
	});
	const retry = {kind: retryKinds.run};

	// Guards against a retry storm: during an outage, every request fails at every instance.
	it('keeps the retries of all instances within the budget of a window', async () => {
		const clock = new ManualClock();
		const instances = Array.from({length: 8}, () => create(clock, 8));
		let retries = 0;
		let requests = 0;
		for (let second = 0; second < 10; second++) {
			for (const budget of instances) {
				for (let i = 0; i < 5; i++) {
					budget.recordRequest('s');
					requests++;
					const permit = budget.acquire('s', retry);
					permit?.record();
					retries += permit ? 1 : 0;
				}
			}

			await clock.advance(999);
		}

		expect(retries).to.be.greaterThan(0);
		expect(retries).to.be.at.most((0.2 * requests) + 64);
	});

	// Guards against requests that wait together and pass the same check, and against retries that are lost when none was made.
	it('counts reserved retries until they are released, and recorded ones until the end of the window', async () => {
		const clock = new ManualClock();
		const budget = create(clock, 8);
		const acquireAll = () => {
			const permits = [];
			for (let permit = budget.acquire('s', retry); permit; permit = budget.acquire('s', retry)) {
				permits.push(permit);
			}

			return permits;
		};

		const [unused, unwritten, open, ...sent] = acquireAll();
		expect(sent).to.have.length(3);
		unused!.release();
		unused!.release();
		unwritten!.record();
		unwritten!.release();
		for (const permit of sent) {
			permit.record();
		}

		expect(acquireAll()).to.have.length(2);
		await clock.advance(10_001);
		expect(acquireAll()).to.have.length(3);
		open!.release();
		expect(acquireAll()).to.have.length(1);
	});

	// Guards against retries of the process before that still count in the window.
	it('gets no part of the allowance in the first window after a restart', async () => {
		const clock = new ManualClock();
		const budget = create(clock, 1, false);
		expect(budget.acquire('s', retry)).to.equal(undefined);
		for (let i = 0; i < 10; i++) {
			budget.recordRequest('s');
		}

		budget.acquire('s', retry)!.record();
		expect(budget.acquire('s', retry)).to.equal(undefined);
		await clock.advance(10_001);
		expect(budget.acquire('s', retry)).not.to.equal(undefined);
	});
});

describe('silence detector', () => {
	// Guards against prompts that are prefilled twice because their queue was longer than predicted.
	it('waits for a server that answers others, and gives up on one that answers nobody', async () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const create = () => new SilenceDetector(health, {server, predictedMs: 100, startedAt: clock.monotonic()});
		const alive = create();
		await clock.advance(alive.intervalMs!);
		health.recordSignOfLife(server);
		expect(alive.isLost(clock.monotonic(), 5000)).to.equal(false);
		const silent = create();
		await clock.advance(silent.intervalMs! + 1);
		expect(silent.isLost(clock.monotonic(), 5000)).to.equal(true);
	});

	it('gives up after several intervals although the server answers others, unless no time is left for another one', async () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const detector = new SilenceDetector(health, {server, predictedMs: 100, startedAt: 0});
		const checkAfterInterval = async (remainingMs: number) => {
			await clock.advance(detector.intervalMs!);
			health.recordSignOfLife(server);
			return detector.isLost(clock.monotonic(), remainingMs);
		};

		expect(await checkAfterInterval(5000)).to.equal(false);
		expect(await checkAfterInterval(5000)).to.equal(false);
		expect(await checkAfterInterval(5000)).to.equal(false);
		expect(await checkAfterInterval(50)).to.equal(false);
		expect(await checkAfterInterval(5000)).to.equal(true);
	});

	it('cancels nothing without a prediction', () => {
		expect(new SilenceDetector(new ServerHealth(new ManualClock()), {server, predictedMs: undefined, startedAt: 0}).intervalMs).to.equal(undefined);
	});
});

describe('server health', () => {
	it('excludes a server with a broken response for a while, unless none would remain', async () => {
		const clock = new ManualClock();
		const health = new ServerHealth(clock);
		const other = {...server, id: 'b'};
		health.recordBrokenResponse(server);
		expect(health.selectHealthy([server, other])).to.deep.equal([other]);
		expect(health.selectHealthy([server])).to.deep.equal([server]);
		await clock.advance(500);
		expect(health.selectHealthy([server, other])).to.have.length(2);
	});

	it('excludes an unresponsive server until it reports again', async () => {
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
	const create = ({isResumable = true, isChunked = true} = {}) => {
		const written: string[] = [];
		const response = {
			headersSent: false,
			destroyed: false,
			chunkedEncoding: isChunked,
			write(bytes: Buffer) {
				written.push(bytes.toString());
				return true;
			},
			end(bytes?: Buffer) {
				written.push(`${bytes?.toString() ?? ''}<end>`);
			},
			removeHeader() {/* The head is not part of these tests. */},
			writeHead() {/* The head is not part of these tests. */},
			flushHeaders() {/* The head is not part of these tests. */},
			destroy() {
				written.push('<cut>');
			},
		};
		return {written, relay: new EventRelay(response as unknown as ServerResponse, {clock: new ManualClock(), isResumable})};
	};

	const answer: ReceivedAnswer = {
		framing: answerFramings.chunks, verdict: answerVerdicts.whole, bodyBytes: 30, heldBytes: 0, connectionEnd: connectionEnds.open,
	};

	it('keeps the id of the last event', () => {
		const {written, relay} = create();
		relay.write(Buffer.from('id: 1\ndata: a\n\n'));
		expect(relay.lastEventId).to.equal('1');
		relay.write(Buffer.from('id: 2\ndata: b\n\nid: 3\ndata: c\n\n'));
		expect(relay.lastEventId).to.equal('3');
		expect(relay.finish(answer)).to.equal(true);
		expect(written.join('')).to.equal('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n<end>');
	});

	// A resumable stream that went on at a second server without a length can be asked for once more.
	it('ends no resumable stream whose first server had delimited its answer and whose last one has not', () => {
		const {written, relay} = create();
		relay.open({status: 200, headers: {'transfer-encoding': 'chunked'}});
		expect(relay.finish({...answer, framing: answerFramings.connection, verdict: answerVerdicts.unknown})).to.equal(false);
		expect(relay.finish({...answer, verdict: answerVerdicts.brokenOff})).to.equal(false);
		expect(written).to.deep.equal([]);
	});

	// Nobody may be asked for more of a stream that must not run twice, so that a sound end would be lost.
	it('ends a stream that must not run twice with an answer that only its connection delimits', () => {
		const {written, relay} = create({isResumable: false});
		relay.open({status: 200, headers: {'transfer-encoding': 'chunked'}});
		relay.write(Buffer.from('id: 1\ndata: a\n\n'));
		const unknown = {...answer, framing: answerFramings.connection, verdict: answerVerdicts.unknown};
		expect(relay.finish({...unknown, bodyBytes: 0})).to.equal(false);
		expect(relay.finish({...answer, verdict: answerVerdicts.brokenOff})).to.equal(false);
		expect(relay.finish(unknown)).to.equal(true);
		expect(written).to.deep.equal(['id: 1\ndata: a\n\n', '<end>']);
	});

	it('ends a stream without a length as one', () => {
		const {written, relay} = create({isChunked: false});
		relay.open({status: 200, headers: {}});
		expect(relay.finish({...answer, framing: answerFramings.connection, verdict: answerVerdicts.unknown})).to.equal(true);
		expect(written).to.deep.equal(['<end>']);
	});

	// The end of the edge's process, which closes its connections in order, looked like the end of the stream.
	it('holds back the terminator of the last event of a response without chunks', () => {
		for (const lineEnd of ['\n', '\r\n']) {
			const {written, relay} = create({isChunked: false});
			relay.open({status: 200, headers: {}});
			const event = (id: number) => `id: ${id}${lineEnd}data: a${lineEnd}${lineEnd}`;
			for (const events of [event(1), event(2) + event(3)]) {
				relay.write(Buffer.from(events));
				expect(written.join('')).not.to.match(/(?:\n\n|\r\n\r\n?)$/);
			}

			expect(written.join('')).to.equal((event(1) + event(2) + event(3)).slice(0, -2));
			expect(relay.lastEventId?.trim()).to.equal('3');
			expect(relay.finish({...answer, framing: answerFramings.connection, verdict: answerVerdicts.unknown})).to.equal(true);
			expect(written.join('')).to.equal(`${event(1)}${event(2)}${event(3)}<end>`);
		}
	});
});

describe('rate-limited event log', () => {
	it('limits the rate and counts dropped lines', async () => {
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
