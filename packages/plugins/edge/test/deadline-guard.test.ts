import {once} from 'node:events';
import {
	createServer, get, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {requestOutcomes, type CallerRequest, type RequestResult} from '../src/front/caller-request.js';
import {DeadlineGuard} from '../src/front/deadline-guard.js';

const deadlineMs = 1000;
const allowanceMs = 350;

describe('deadline guard', () => {
	let clock: ManualClock;
	let server: Server;
	let events: Array<{name: string; fields: Record<string, unknown>}>;
	let result: RequestResult | undefined;
	let attemptSignal: AbortSignal;

	const advance = async (ms: number) => {
		await clock.advance(ms);
		// The guard goes on in microtasks.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	};

	/** Sends a request whose forwarder does with the response what `forward` does, and resolves when the edge has it. */
	const start = async (forward: (response: ServerResponse) => Promise<RequestResult>): Promise<{answer: Promise<IncomingMessage>; caller: AbortController}> => {
		const guard = new DeadlineGuard({
			clock, metrics: new MetricsRegistry(), eventLog: {
				emit(name, fields) {
					events.push({name, fields});
				},
			},
		});
		const caller = new AbortController();
		server = createServer((_incoming, response) => {
			void guard.run({
				metadata: {requestId: 'q'}, route: {name: 'r'}, deadlineAt: clock.monotonic() + deadlineMs, response, signal: caller.signal,
			} as unknown as CallerRequest, async ({signal}) => {
				attemptSignal = signal;
				return forward(response);
			}).then(ended => {
				result = ended;
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const received = once(server, 'request');
		const call = get(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
		const answer = once(call, 'response').then(([response]) => response as IncomingMessage);
		await received;
		return {answer, caller};
	};

	const runForever = async () => new Promise<never>(() => {/* An attempt that never settles. */});

	beforeEach(() => {
		clock = new ManualClock();
		events = [];
		result = undefined;
	});

	afterEach(() => {
		server.closeAllConnections();
		server.close();
	});

	// An attempt that did not settle left its caller without an answer or an end for ever.
	it('answers a request whose attempts never settle, and cancels them', async () => {
		const {answer} = await start(runForever);
		await advance(deadlineMs);
		await advance(allowanceMs - 1);
		expect(attemptSignal.aborted).to.equal(false);
		await advance(1);
		expect((await answer).statusCode).to.equal(504);
		expect(attemptSignal.aborted).to.equal(true);
		expect(result?.outcome).to.equal(requestOutcomes.timedOut);
		expect(events.map(({name}) => name)).to.deep.equal(['requestOverrun']);
		expect(events[0]!.fields).to.include({request: 'q', isBegun: false, lateMs: allowanceMs});
	});

	it('breaks off a stream that has begun and whose attempts never settle', async () => {
		const {answer} = await start(async response => {
			response.writeHead(200);
			response.write('id: 1\ndata: x\n\n');
			return runForever();
		});
		const received = await answer;
		received.resume();
		const ended = once(received, 'error');
		await advance(deadlineMs);
		await advance(allowanceMs);
		await advance(100);
		await ended;
		expect(received.complete).to.equal(false);
		expect(result?.outcome).to.equal(requestOutcomes.cut);
		expect(events[0]!.fields).to.include({isBegun: true});
	});

	it('leaves a request alone that ends within the allowance', async () => {
		let finish: (() => void) | undefined;
		await start(async response => new Promise(resolve => {
			finish = () => {
				response.end();
				resolve({outcome: requestOutcomes.timedOut, servers: ['s']});
			};
		}));
		await advance(deadlineMs);
		await advance(allowanceMs - 1);
		finish!();
		await advance(0);
		expect(result).to.deep.equal({outcome: requestOutcomes.timedOut, servers: ['s']});
		await advance(allowanceMs);
		expect(events).to.deep.equal([]);
	});

	it('passes on that the caller has left', async () => {
		const {caller} = await start(runForever);
		caller.abort('cut');
		expect(attemptSignal.aborted).to.equal(true);
		expect(attemptSignal.reason).to.equal('cut');
	});
});
