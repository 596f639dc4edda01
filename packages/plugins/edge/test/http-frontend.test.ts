import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {ByteAccount} from '@hickorytrack/byte-account';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {breakOff} from '@hickorytrack/lingering-close/break-off';
import {Random} from '@hickorytrack/random';
import {RouteTable} from '@hickorytrack/route-table';
import {requestKinds} from '@hickorytrack/route-table/route-types';
import {dropReasons, type CallerRequest} from '../src/front/caller-request.js';
import type {DroppedRequest, FailedRequest, RejectedRequest} from '../src/front/frontend-reports.js';
import {KeyCheck} from '../src/front/key-check.js';
import {HttpFrontend} from '../src/front/http-frontend.js';
import type {RequestCodec} from '../src/request-codec.js';

const clock = new SystemClock();
const headerTimeoutMs = 50;
const routes = new RouteTable({
	version: 1, services: [{name: 's', healthPath: '/healthz', maxConnections: 8}], limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs, idleTimeoutMs: 5000,
	}, routes: [{
		name: 'r', host: 'a', pathPrefix: '/', kind: requestKinds.nonIdempotent, timeoutMs: 10_000, objectiveMs: 100, priority: 0, targets: [{service: 's', weight: 1}], maxServers: 1, usesPromptCache: false, isResumable: false,
	}],
});
const codec = {
	decodeRequestHeaders: (headers: readonly string[]) => ({headers: [...headers]}),
	encodeRetryAfter: () => ({}),
} as unknown as RequestCodec;
// No configuration here has workspaces.
const keyCheck = new KeyCheck({codec, isStrict: false, lease: {isValid: false, confirmVersion: async () => false}});

async function findPort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

describe('HTTP frontend', () => {
	let frontend: HttpFrontend;
	let forwarded: CallerRequest[];
	let rejected: RejectedRequest[];
	let dropped: DroppedRequest[];
	let failed: FailedRequest[];
	let socket: Socket;
	let received: string;
	let forward: (request: CallerRequest) => Promise<void>;
	let decodeRequestHeaders: RequestCodec['decodeRequestHeaders'];

	const waitFor = async (isReached: () => boolean) => {
		while (!isReached()) {
			await clock.sleep(5);
		}
	};

	const request = 'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi';

	beforeEach(async () => {
		forwarded = [];
		rejected = [];
		dropped = [];
		failed = [];
		received = '';
		forward = async callerRequest => {
			forwarded.push(callerRequest);
		};

		decodeRequestHeaders = codec.decodeRequestHeaders;
		frontend = new HttpFrontend({
			tasks: new BackgroundTasks(),
			clock, random: new Random(1), codec: {...codec, decodeRequestHeaders: headers => decodeRequestHeaders(headers)}, account: new ByteAccount(1_000_000), keyCheck, notReadyRetryAfterMs: 100, drainAcceptMs: 2500, getRoutes: () => routes, async forward(callerRequest) {
				return forward(callerRequest);
			}, onRejected(rejectedRequest) {
				rejected.push(rejectedRequest);
			}, onDropped(droppedRequest) {
				dropped.push(droppedRequest);
			}, onFailed(failedRequest) {
				failed.push(failedRequest);
			}, onCut() {
				// Tests of the closes are with the closes.
			},
		});
		const port = await findPort();
		await frontend.listen('127.0.0.1', port);
		frontend.applyLimits(routes.configuration.limits);
		socket = connect(port, '127.0.0.1');
		socket.on('data', chunk => {
			received += String(chunk);
		});
		socket.on('error', () => {
			// The frontend may reset the connection.
		});
		await waitFor(() => !socket.connecting);
	});

	afterEach(() => {
		socket.destroy();
		frontend.close();
	});

	// Requests were sent on after their callers had left: at an edge that was behind, the end of the connection had arrived
	// together with the request, and was read after it.
	it('forwards no request whose connection had ended when it was read', async () => {
		socket.end(request);
		await waitFor(() => rejected.length === 1);
		expect(rejected[0]).to.include({reason: 'connection-ended'});
		expect(forwarded).to.have.length(0);
	});

	// Guards against a status for unreadable bytes that a caller takes for the answer to its request before them, which runs.
	for (const {bytes, status, name} of [
		{bytes: 'POST /y HTTP/1.1\r\nHost: a\r\n', status: 408, name: 'a head that does not arrive in time'},
		{bytes: 'no request\r\n\r\n', status: 400, name: 'bytes that are no request'},
		{bytes: `POST /y HTTP/1.1\r\nA: ${'a'.repeat(70_000)}\r\n`, status: 431, name: 'a head that is too large'},
	]) {
		it(`answers the request that is running, and not ${status}, when ${name} follow${name.startsWith('bytes') ? '' : 's'} on its connection`, async () => {
			socket.write(request);
			await waitFor(() => forwarded.length === 1);
			socket.write(bytes);
			await waitFor(() => rejected.length === 1 || socket.destroyed);
			forwarded[0]!.response.writeHead(200, {'content-length': '4'}).end('done');
			await waitFor(() => socket.destroyed);
			expect(received).to.match(/^HTTP\/1.1 200 OK\r\n[^]*\r\n\r\ndone$/);
			expect(forwarded).to.have.length(1);
			expect(rejected[0]).to.include({reason: 'unreadable', status});
		});

		it(`answers ${status} to ${name} when no request is running on the connection`, async () => {
			socket.write(bytes);
			await waitFor(() => socket.destroyed);
			expect(received).to.match(new RegExp(`^HTTP/1.1 ${status} `));
			expect(rejected[0]).to.include({reason: 'unreadable', status});
		});
	}

	// The error of the parser came before the request had been read, in the same segment.
	it('answers the request and not 400 when bytes that are no request arrive together with it', async () => {
		socket.write(`${request}no request\r\n\r\n`);
		await waitFor(() => forwarded.length === 1);
		expect(forwarded[0]!.signal.aborted).to.equal(false);
		forwarded[0]!.response.writeHead(200, {'content-length': '4'}).end('done');
		await waitFor(() => socket.destroyed);
		expect(received).to.match(/^HTTP\/1.1 200 OK\r\n[^]*\r\n\r\ndone$/);
		expect(rejected[0]).to.include({reason: 'unreadable', status: 400});
	});

	it('completes the stream that is running when bytes that are no request follow on its connection', async () => {
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		const {response} = forwarded[0]!;
		response.writeHead(200);
		response.write('first ');
		await waitFor(() => received.includes('first'));
		socket.write('no request\r\n\r\n');
		await waitFor(() => rejected.length === 1 || socket.destroyed);
		response.end('last');
		await waitFor(() => socket.destroyed);
		expect(received).to.contain('last\r\n0\r\n\r\n');
	});

	it('does not forward a request that completes after its head was late', async () => {
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		socket.write('POST /y HTTP/1.1\r\nHost: a\r\n');
		await waitFor(() => rejected.length === 1 || socket.destroyed);
		socket.write('\r\n');
		await clock.sleep(20);
		forwarded[0]!.response.writeHead(200, {'content-length': '4'}).end('done');
		await waitFor(() => socket.destroyed);
		expect(forwarded).to.have.length(1);
		await waitFor(() => dropped.length === 1);
		expect(dropped[0]).to.include({path: '/y', reason: 'limit', isForwarded: false});
	});

	it('closes the connection when the body of a request can\'t be read', async () => {
		socket.write('POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n');
		await waitFor(() => socket.destroyed);
		expect(forwarded).to.have.length(0);
		expect(received).to.match(/^HTTP\/1.1 400 /);
	});

	// Guards against a part of a body that is read as a request of its own.
	it('answers a request that it does not forward only after its whole body', async () => {
		socket.write('POST /x HTTP/1.1\r\nHost: none\r\nContent-Length: 60\r\n\r\n');
		await clock.sleep(20);
		expect(received).to.equal('');
		socket.write('POST /y HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'.padEnd(60));
		await waitFor(() => received.includes('no-route'));
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		expect(forwarded[0]!.path).to.equal('/x');
		expect(received.match(/HTTP\/1.1 /g)).to.have.length(1);
	});

	// Guards against a drain that waits for a request without a caller, and against work for that caller.
	it('ends all requests of a connection that its caller closes', async () => {
		socket.write(request.repeat(20));
		await waitFor(() => forwarded.length === 1 && frontend.openRequests === 20);
		socket.destroy();
		await waitFor(() => forwarded[0]!.signal.aborted);
		await clock.sleep(20);
		expect(forwarded).to.have.length(1);
		expect(rejected.map(({reason}) => reason)).to.deep.equal(Array.from({length: 19}, () => 'connection-ended'));
		expect(frontend.openRequests).to.equal(0);
		expect(dropped).to.have.length(0);
		expect(Object.values(dropReasons)).not.to.include(forwarded[0]!.signal.reason);
	});

	// The log could not tell a caller that left from a connection that was ended here.
	describe('names why a request that was read has no complete answer', () => {
		for (const {name, reason, end} of [
			{
				name: 'its answer was broken off', reason: 'cut', end(request: CallerRequest) {
					request.response.writeHead(200).write('first ');
					request.response.destroy();
				},
			},
			{
				name: 'its connection was destroyed before the answer', reason: 'error', end(request: CallerRequest) {
					request.response.destroy();
				},
			},
			{
				name: 'the process exits', reason: 'exit', end() {
					frontend.recordExit();
				},
			},
		]) {
			it(name, async () => {
				socket.write(request);
				await waitFor(() => forwarded.length === 1);
				end(forwarded[0]!);
				await waitFor(() => dropped.length === 1);
				expect(dropped[0]).to.include({path: '/x', reason, isForwarded: true});
				// The exit reports the request while its connection is still open.
				expect(forwarded[0]!.signal.aborted ? forwarded[0]!.signal.reason : 'exit').to.equal(reason);
				socket.destroy();
				await waitFor(() => frontend.openRequests === 0 && forwarded[0]!.signal.aborted);
				expect(dropped).to.have.length(1);
			});
		}

		// It was passed on before that answer, and lost with the connection.
		it('the answer before it ended the connection, and it was not passed on', async () => {
			socket.write(request.repeat(2));
			await waitFor(() => forwarded.length === 1 && frontend.openRequests === 2);
			forwarded[0]!.response.writeHead(200, {connection: 'close', 'content-length': '4'}).end('done');
			await waitFor(() => dropped.length === 1 && rejected.length === 1);
			expect(dropped[0]).to.include({reason: 'earlier-answer', isForwarded: false});
			expect(forwarded).to.have.length(1);
		});
	});

	// Its server got a request for which no time was left.
	it('refuses a request whose time has passed behind an earlier one of its connection', async () => {
		decodeRequestHeaders = headers => ({...codec.decodeRequestHeaders(headers), waitMs: 50});
		socket.write(request.repeat(2));
		await waitFor(() => forwarded.length === 1 && frontend.openRequests === 2);
		await clock.sleep(60);
		forwarded[0]!.response.end('done');
		await waitFor(() => received.includes(' 503 ') || forwarded.length === 2);
		expect(forwarded).to.have.length(1);
		expect(rejected.map(({reason}) => reason)).to.deep.equal(['deadline-passed']);
		expect(received).to.include('deadline-passed');
	});

	// LOST: the reset for a broken answer took the whole answer before it along, which its caller had not read yet.
	for (const framing of ['chunks', 'connection']) {
		it(`loses no answer that is not read yet when one behind it is broken off: ${framing}`, async () => {
			const size = 1_000_000;
			socket.pause();
			socket.write(request.repeat(2));
			await waitFor(() => forwarded.length === 1);
			forwarded[0]!.response.writeHead(200, {'content-length': String(size)}).end(Buffer.alloc(size, 'a'));
			await waitFor(() => forwarded.length === 2);
			const {response} = forwarded[1]!;
			if (framing === 'connection') {
				response.removeHeader('transfer-encoding');
				response.setHeader('connection', 'close');
			}

			response.writeHead(200).write('begun');
			await clock.sleep(20);
			breakOff(response, clock);
			await clock.sleep(50);
			// Unread input makes the system reset a connection that is closed.
			socket.write(request);
			await clock.sleep(150);
			socket.resume();
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
			expect(received.split('a'.repeat(size))).to.have.length(2);
			expect(received).to.match(framing === 'chunks' ? /5\r\nbegun\r\n$/ : /begun$/);
		});
	}

	it('passes on by what the request is routed', async () => {
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		expect(forwarded[0]!.routing).to.deep.equal({version: 1, timeoutMs: 10_000, timeoutBy: 'route'});
	});

	// Guards against a request that is read and passed on while the process only waits for its exit.
	it('refuses a request that is read after the front end has been closed', async () => {
		socket.write(request.slice(0, 10));
		await clock.sleep(20);
		frontend.close();
		socket.write(request.slice(10));
		await waitFor(() => socket.destroyed);
		expect(received).to.match(/^HTTP\/1.1 503 /);
		expect(forwarded).to.have.length(0);
		expect(rejected[0]).to.include({reason: 'stopping'});
	});

	// An exception on the way ended the process, with all its requests.
	for (const {name, fail} of [
		{
			name: 'forwarding', fail() {
				forward = async () => {
					throw new Error('unexpected');
				};
			},
		},
		{
			name: 'forwarding after the head of its answer', fail() {
				forward = async ({response}) => {
					response.writeHead(200).flushHeaders();
					throw new Error('unexpected');
				};
			},
		},
		{
			name: 'reading its headers', fail() {
				decodeRequestHeaders = () => {
					throw new Error('unexpected');
				};
			},
		},
	]) {
		it(`ends a request whose ${name} throws, and serves others`, async () => {
			const port = socket.remotePort!;
			fail();
			socket.write(request);
			await waitFor(() => received.includes('\r\n\r\n') || socket.destroyed);
			if (received.startsWith('HTTP/1.1 200')) {
				await waitFor(() => socket.destroyed);
				expect(received).not.to.contain('\r\n0\r\n\r\n');
			} else {
				expect(received).to.match(/^HTTP\/1.1 502 /);
			}

			await waitFor(() => frontend.openRequests === 0);
			expect(failed).to.have.length(1);
			expect(failed[0]).to.include({path: '/x'});
			expect(String(failed[0]!.error)).to.equal('Error: unexpected');
			decodeRequestHeaders = codec.decodeRequestHeaders;
			forward = async callerRequest => {
				forwarded.push(callerRequest);
			};

			const other = connect(port, '127.0.0.1');
			other.write(request);
			await waitFor(() => forwarded.length === 1);
			other.destroy();
		});
	}

	// The end of the sending side can't be told from the end of the connection before something is written.
	it('takes a caller that ends its sending side for one that has left', async () => {
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		socket.end();
		await waitFor(() => forwarded[0]!.signal.aborted && frontend.openRequests === 0);
		expect(dropped).to.have.length(0);
	});

	it('closes a connection after the idle limit', async () => {
		frontend.applyLimits({headerTimeoutMs, idleTimeoutMs: 0});
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		forwarded[0]!.response.writeHead(200, {'content-length': '4'}).end('done');
		await waitFor(() => socket.destroyed);
		expect(received).to.match(/done$/);
		expect(dropped).to.have.length(0);
	});

	it('closes a connection after the idle limit when the server itself has answered its request', async () => {
		frontend.applyLimits({headerTimeoutMs, idleTimeoutMs: 0});
		socket.write(request.replace('Content-Length', 'Expect: more\r\nContent-Length'));
		await waitFor(() => socket.destroyed);
		expect(received).to.match(/^HTTP\/1.1 417 /);
	});

	// A process that does not run for a while finds the timer and the bytes of a request at once.
	it('reads a request that arrived before the idle timeout, also when it runs only afterwards', async () => {
		frontend.applyLimits({headerTimeoutMs, idleTimeoutMs: 0});
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		forwarded[0]!.response.writeHead(200, {'content-length': '4'}).end('done');
		await waitFor(() => received.includes('done'));
		socket.write(request);
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 3000);
		await waitFor(() => forwarded.length === 2 || socket.destroyed);
		expect(forwarded).to.have.length(2);
	});

	// Guards against work for a request whose connection ends before its answer.
	it('does not pass on a request behind a response that has said that the connection closes', async () => {
		frontend.startDrain();
		socket.write(request);
		await waitFor(() => forwarded.length === 1);
		const {response} = forwarded[0]!;
		response.writeHead(200);
		response.write('first ');
		await waitFor(() => received.includes('first'));
		socket.write(request.replace('/x', '/y'));
		await waitFor(() => frontend.openRequests === 2);
		response.end('last');
		await waitFor(() => socket.destroyed && dropped.length === 1);
		expect(received).to.match(/connection: close/i).and.to.contain('last\r\n0\r\n\r\n');
		expect(forwarded).to.have.length(1);
		expect(dropped[0]).to.include({path: '/y', reason: 'earlier-answer', isForwarded: false});
	});

	it('answers each request that is sent before the last response has begun while the front end drains', async () => {
		frontend.startDrain();
		socket.write(request.repeat(2));
		await waitFor(() => forwarded.length === 1 && frontend.openRequests === 2);
		forwarded[0]!.response.writeHead(200, {'content-length': '5'}).end('first');
		await waitFor(() => received.includes('first') && forwarded.length === 2);
		expect(received).not.to.match(/connection: close/i);
		socket.write(request);
		await waitFor(() => frontend.openRequests === 2 || socket.destroyed);
		forwarded[1]!.response.writeHead(200, {'content-length': '6'}).end('second');
		await waitFor(() => forwarded.length === 3 || socket.destroyed);
		forwarded[2]?.response.writeHead(200, {'content-length': '5'}).end('third');
		await waitFor(() => socket.destroyed);
		expect(received).to.match(/first[^]*second[^]*connection: close[^]*third$/i);
	});

	it('answers a request behind one whose body is too large', async () => {
		socket.write(`POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n${'x'.repeat(2000)}${request}`);
		await waitFor(() => forwarded.length === 1 || socket.destroyed);
		forwarded[0]?.response.writeHead(200, {'content-length': '4'}).end('done');
		await waitFor(() => received.endsWith('done') || socket.destroyed);
		expect(received).to.match(/^HTTP\/1.1 413 [^]*HTTP\/1.1 200 OK/);
	});

	// Callers kept their connections to an instance that the load balancer no longer used.
	it('answers as before outside the ready set, lets the connection close, and counts the bytes of the answer', async () => {
		let isOutside = false;
		let sentBytes = 0;
		const weak = new HttpFrontend({
			tasks: new BackgroundTasks(), clock, random: new Random(1), codec, account: new ByteAccount(1_000_000), keyCheck, notReadyRetryAfterMs: 100, drainAcceptMs: 2500, getRoutes: () => routes, async forward({response}) {
				response.write('a'.repeat(1000));
				response.end(Buffer.alloc(500));
			}, onRejected: () => undefined, onDropped: () => undefined, onFailed: () => undefined, onCut: () => undefined, isOutsideReadySet: () => isOutside, onSent(bytes) {
				sentBytes += bytes;
			},
		});
		const port = await findPort();
		await weak.listen('127.0.0.1', port);
		let answer = '';
		const caller = connect(port, '127.0.0.1').on('data', chunk => {
			answer += String(chunk);
		});
		const call = async () => {
			answer = '';
			caller.write('GET /x HTTP/1.1\r\nHost: a\r\n\r\n');
			await waitFor(() => answer.endsWith('0\r\n\r\n'));
			return [answer.slice(0, 15), /connection: [a-z-]+/i.exec(answer)![0].toLowerCase()];
		};

		try {
			expect(await call()).to.deep.equal(['HTTP/1.1 200 OK', 'connection: keep-alive']);
			expect(sentBytes).to.be.within(1500, 2000);
			isOutside = true;
			expect(await call()).to.deep.equal(['HTTP/1.1 200 OK', 'connection: close']);
		} finally {
			caller.destroy();
			weak.close();
		}
	});

	it('refuses a request that arrives late in the drain, and does not forward it', async () => {
		const clock = new ManualClock();
		const draining = new HttpFrontend({
			tasks: new BackgroundTasks(), clock, random: new Random(1), codec, account: new ByteAccount(1_000_000), keyCheck, notReadyRetryAfterMs: 100, drainAcceptMs: 2500, getRoutes: () => routes, async forward(callerRequest) {
				forwarded.push(callerRequest);
			}, onRejected(rejectedRequest) {
				rejected.push(rejectedRequest);
			}, onDropped(droppedRequest) {
				dropped.push(droppedRequest);
			}, onFailed(failedRequest) {
				failed.push(failedRequest);
			}, onCut() {
				// Tests of the closes are with the closes.
			},
		});
		const port = await findPort();
		await draining.listen('127.0.0.1', port);
		draining.startDrain();
		await clock.advance(2600);
		const late = connect(port, '127.0.0.1');
		late.on('data', chunk => {
			received += String(chunk);
		});
		late.write(request);
		await waitFor(() => late.destroyed);
		expect(received).to.match(/^HTTP\/1.1 503 /);
		expect(received).to.match(/\r\nconnection: close\r\n/i);
		expect(forwarded).to.have.length(0);
		expect(rejected[0]).to.include({reason: 'stopping'});
		draining.close();
	});
});
