import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {Random} from '@hickorytrack/random';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient, type EndpointClientError, type OutboundRequest} from '../src/endpoint-client.js';
import {unlimitedGrant} from '../src/send-grant.js';

const clock = new SystemClock();
/** Larger than the socket buffers, so that a part of the body waits in this process. */
const largeBodyBytes = 3_000_000;

type Arrival = {path: string; bodyBytes: number; bodyLength: number; socket: Socket};

function createAnswer({path}: Arrival, {status = '200 OK', header = ''} = {}): string {
	return `HTTP/1.1 ${status}\r\nX-Id: ${path}\r\n${header}Content-Length: 2\r\n\r\nok`;
}

/** Handles a request when its head has arrived, and again when its body is complete. */
type RequestListener = (arrival: Arrival) => void;

/** A server that reads requests byte by byte and records each head that arrives, whether its body follows or not. */
class RecordingServer {
	readonly arrivals: Arrival[] = [];
	onHead: RequestListener = () => {/* No response before the body. */};
	onBody: RequestListener = () => {/* No response. */};
	readonly #server: Server;

	constructor() {
		this.#server = createServer(socket => {
			this.#read(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	async stop(): Promise<void> {
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	count(path: string): number {
		return this.arrivals.filter(arrival => arrival.path === path).length;
	}

	#read(socket: Socket): void {
		let unread: Buffer = Buffer.alloc(0);
		let current: Arrival | undefined;
		socket.on('error', () => {
			// The tests reset connections on purpose.
		});
		socket.on('data', chunk => {
			unread = Buffer.concat([unread, chunk]);
			while (unread.length > 0) {
				if (current) {
					const bytes = Math.min(unread.length, current.bodyLength - current.bodyBytes);
					current.bodyBytes += bytes;
					unread = unread.subarray(bytes);
				} else {
					const headLength = unread.indexOf('\r\n\r\n');
					if (headLength === -1) {
						return;
					}

					const head = unread.toString('latin1', 0, headLength);
					unread = unread.subarray(headLength + 4);
					current = {
						path: head.split(' ')[1]!, bodyBytes: 0, bodyLength: Number(/content-length: (\d+)/.exec(head)?.[1] ?? 0), socket,
					};
					this.arrivals.push(current);
					this.onHead(current);
				}

				if (current.bodyBytes === current.bodyLength) {
					this.onBody(current);
					current = undefined;
				}
			}
		});
	}
}

type Outcome = {status?: number; error?: EndpointClientError};

describe('requests of the endpoint client', () => {
	let server: RecordingServer;
	let client: EndpointClient;

	beforeEach(async () => {
		server = new RecordingServer();
		await server.start();
		client = new EndpointClient({clock, connectTimeoutMs: 500});
	});

	afterEach(() => {
		client.close();
		void server.stop();
	});

	const send = (path: string, opts: Partial<OutboundRequest> = {}, address = server.address) => {
		let cancel = () => {/* Replaced below, unless the request has failed. */};
		const outcome = new Promise<Outcome>(resolve => {
			let status: number | undefined;
			const sent = client.send(address as SocketAddress, {
				method: 'POST', path, headers: ['host', 'a.example'], callKind: 'test', grant: unlimitedGrant, identity: {expectedId: path, readId: head => head.headers['x-id']?.toString()}, needsVerifiedConnection: false, connectionLimit: 4, ...opts,
			}, {
				onHead(head) {
					status = head.status;
				},
				onData() {
					// Only the status matters.
				},
				onEnd() {
					resolve({status});
				},
				onFailure(error) {
					resolve({status, error});
				},
			});
			cancel = () => {
				sent.cancel();
			};
		});
		return {outcome, cancel};
	};

	/** Waits until all that was written before has arrived. */
	const settle = async () => clock.sleep(30);

	// Guards against a refusal to the caller, or a second run elsewhere, of a request whose bytes are on their way.
	for (const isReused of [false, true]) {
		it(`reports a cancelled request as not written only if it never arrives, on a ${isReused ? 'reused' : 'new'} connection`, async () => {
			server.onBody = arrival => {
				if (arrival.path.startsWith('/first')) {
					arrival.socket.write(createAnswer(arrival));
				}
			};

			const unwritten: string[] = [];
			for (let turns = 0; turns < 12; turns++) {
				if (isReused) {
					await send(`/first-${turns}`).outcome;
				}

				const path = `/cancelled-${turns}`;
				const {outcome, cancel} = send(path, {body: Buffer.alloc(100)});
				for (let turn = 0; turn < turns; turn++) {
					await waitForTurn();
				}

				cancel();
				const {error} = await outcome;
				expect(error?.isCancelled).to.equal(true);
				if (!error!.isWritten) {
					unwritten.push(path);
				}
			}

			await settle();
			expect(unwritten).not.to.have.length(0);
			expect(unwritten.map(path => server.count(path))).to.deep.equal(unwritten.map(() => 0));
			expect(server.arrivals.filter(({path}) => path.startsWith('/cancelled'))).not.to.have.length(0);
		});
	}

	// Guards against a run after the caller was told that there is none: the library may hold a request back until it has connected.
	it('never sends a request later that it has reported as not written because the connection could not be opened', async () => {
		const port = Number(server.address.split(':')[1]);
		const {address} = server;
		await server.stop();
		const {error} = await send('/lost', {}, address).outcome;
		expect(error?.isWritten).to.equal(false);
		server = new RecordingServer();
		server.onBody = arrival => {
			arrival.socket.write(createAnswer(arrival));
		};

		await server.start(port);
		expect(await send('/next').outcome).to.deep.equal({status: 200});
		await settle();
		expect(server.arrivals.map(({path}) => path)).to.deep.equal(['/next']);
	});

	it('sends the rest of a long body before the next request when the server answers early', async () => {
		server.onHead = arrival => {
			arrival.socket.write(createAnswer(arrival));
		};

		const body = Buffer.alloc(largeBodyBytes);
		expect(await send('/early', {body}).outcome).to.deep.equal({status: 200});
		expect(await send('/second', {body: Buffer.alloc(10)}).outcome).to.deep.equal({status: 200});
		await settle();
		expect(server.arrivals.map(({path, bodyBytes}) => [path, bodyBytes])).to.deep.equal([['/early', largeBodyBytes], ['/second', 10]]);
	});

	it('does not send a request again after the server has closed or reset its connection', async () => {
		let count = 0;
		server.onHead = ({socket}) => {
			count++;
			if (count % 2 === 0) {
				socket.resetAndDestroy();
			} else {
				socket.destroy();
			}
		};

		for (const body of [undefined, Buffer.alloc(10), Buffer.alloc(largeBodyBytes)]) {
			for (const method of ['GET', 'POST']) {
				for (const ending of ['closed', 'reset']) {
					const path = `/${ending}-${method}-${body?.length ?? 0}`;
					const {error} = await send(path, {method, body}).outcome;
					expect(error?.isWritten, path).to.equal(true);
					await settle();
					expect(server.count(path), path).to.equal(1);
				}
			}
		}
	});

	it('does not forward an informational response as the final one, and fails on a continue that it has not asked for', async () => {
		server.onHead = arrival => {
			const informational = arrival.path === '/continue' ? 'HTTP/1.1 100 Continue' : 'HTTP/1.1 103 Early Hints\r\nX-Any: 1';
			arrival.socket.write(`${informational}\r\n\r\n${createAnswer(arrival)}`);
		};

		expect(await send('/hints').outcome).to.deep.equal({status: 200});
		const {error} = await send('/continue').outcome;
		expect(error?.isWritten).to.equal(true);
		await settle();
		expect(server.count('/continue')).to.equal(1);
	});

	// Guards against a caller that gets the answer of a server in trouble as an answer: the protocol knows statuses from 100 to 599.
	for (const status of ['000', '099', '600', '999']) {
		it(`fails an answer with the status ${status}`, async () => {
			server.onBody = arrival => {
				arrival.socket.write(createAnswer(arrival, {status: `${status} Trouble`}));
			};

			const {status: received, error} = await send('/trouble').outcome;
			expect(received).to.equal(undefined);
			expect(error?.isWritten).to.equal(true);
			await settle();
			expect(server.count('/trouble')).to.equal(1);
		});
	}

	// Guards against a part of an answer that looks complete: the server gives up the upload, and with it its answer.
	for (const ending of ['close', 'reset'] as const) {
		it(`fails an answer without a length that a ${ending} ends while the upload is being written`, async () => {
			server.onHead = ({path, socket}) => {
				socket.pause();
				socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${path}\r\n\r\npart`, () => {
					if (ending === 'close') {
						socket.end();
					} else {
						void clock.sleep(10).then(() => socket.resetAndDestroy());
					}
				});
			};

			// Beyond what the socket buffers of both sides can take while the server does not read.
			const {error} = await send('/upload', {body: Buffer.alloc(8 * largeBodyBytes)}).outcome;
			expect(error?.isWritten).to.equal(true);
		});
	}

	it('reports a request whose headers can\'t be written as not written', async () => {
		for (const headers of [['expect', '100-continue'], ['transfer-encoding', 'chunked'], ['a', 'b\r\nc']]) {
			const {error} = await send('/invalid', {headers}).outcome;
			expect(error?.isWritten).to.equal(false);
		}

		await settle();
		expect(server.arrivals).to.have.length(0);
	});

	// Each answer is drawn at random: early ones, refusals, resets, silence, closes while a connection is idle, and late ones.
	for (const hasLateAnswers of [false, true]) {
		it(`lets each request arrive at most once, and never one that it reports as not written, ${hasLateAnswers ? 'with' : 'without'} late answers`, async () => {
			const random = new Random(11);
			const runLater = (act: () => void) => {
				void clock.sleep(random.nextInteger(6)).then(act);
			};

			const write = (arrival: Arrival, opts: {status?: string; header?: string} = {}) => arrival.socket.write(createAnswer(arrival, opts));
			const listeners: RequestListener[] = [
				write,
				write,
				arrival => write(arrival, {status: '503 Full'}),
				arrival => write(arrival, {header: 'Keep-Alive: timeout=1\r\n'}),
				arrival => arrival.socket.end(createAnswer(arrival, {header: 'Connection: close\r\n'})),
				arrival => arrival.socket.end(createAnswer(arrival)),
				arrival => {
					write(arrival);
					runLater(() => arrival.socket.destroy());
				},
				arrival => {
					write(arrival);
					runLater(() => arrival.socket.resetAndDestroy());
				},
				arrival => arrival.socket.write(createAnswer(arrival).slice(0, random.nextInteger(50)), () => arrival.socket.resetAndDestroy()),
				({socket}) => socket.resetAndDestroy(),
				({socket}) => socket.destroy(),
				() => {/* Silence. */},
			];
			if (hasLateAnswers) {
				listeners.push(arrival => {
					write(arrival);
					write(arrival, {status: '503 Full'});
				}, arrival => {
					write(arrival);
					runLater(() => write(arrival, {status: '503 Full'}));
				});
			}

			const early = new Set<Arrival>();
			server.onHead = arrival => {
				if (random.next() < 0.2) {
					early.add(arrival);
					random.select(listeners)(arrival);
				}
			};

			server.onBody = arrival => {
				if (!early.has(arrival)) {
					random.select(listeners)(arrival);
				}
			};

			const unwritten: string[] = [];
			const runCaller = async (caller: number) => {
				for (let count = 0; count < 60; count++) {
					const path = `/${caller}-${count}`;
					const {outcome, cancel} = send(path, {
						method: random.select(['GET', 'POST']), body: Buffer.alloc(random.select([0, 10, 10, 300_000])), needsVerifiedConnection: random.next() < 0.5,
					});
					const waitMs = random.next() < 0.3 ? random.nextInteger(3) : 40;
					void waitForTurn().then(async () => clock.sleep(waitMs)).then(cancel);
					const {error} = await outcome;
					if (error && !error.isWritten) {
						unwritten.push(path);
					}

					await clock.sleep(random.nextInteger(8));
				}
			};

			await Promise.all(Array.from({length: 8}, async (_, caller) => runCaller(caller)));
			await settle();
			const counts = server.arrivals.map(({path}) => server.count(path));
			expect(counts).not.to.have.length(0);
			expect(counts.filter(count => count > 1)).to.have.length(0);
			expect(unwritten).not.to.have.length(0);
			expect(unwritten.filter(path => server.count(path) > 0)).to.have.length(0);
		});
	}
});
