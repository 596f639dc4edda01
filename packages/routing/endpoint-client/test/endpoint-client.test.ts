import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient, type ResponseHead, type EndpointClientError} from '../src/endpoint-client.js';
import {unlimitedGrant} from '../src/send-grant.js';

type ReceivedResponse = {head?: ResponseHead; body: string; error?: EndpointClientError};

/** Starts a server that passes each chunk it reads, with its socket, to `onRequest`. */
async function startServer(onRequest: (socket: Socket, text: string) => void): Promise<{server: Server; address: string}> {
	const server = createServer(socket => {
		socket.on('data', chunk => {
			onRequest(socket, chunk.toString());
		});
		socket.on('error', () => {
			// The tests reset connections on purpose.
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
}

describe('endpoint client', () => {
	let client: EndpointClient;
	let server: Server | undefined;
	let count = 0;

	beforeEach(() => {
		client = new EndpointClient({clock: new SystemClock(), connectTimeoutMs: 500});
	});

	afterEach(() => {
		client.close();
		server?.close();
	});

	const send = async (address: string, opts: {needsVerifiedConnection?: boolean; connectionLimit?: number} = {}) => new Promise<ReceivedResponse>(resolve => {
		const response: ReceivedResponse = {body: ''};
		count++;
		const id = String(count);
		client.send(address as SocketAddress, {
			callKind: 'run', method: 'GET', grant: unlimitedGrant, path: '/a', headers: ['host', 'a.example'], needsVerifiedConnection: false, connectionLimit: 4, identity: {expectedId: id, readId: () => id}, ...opts,
		}, {
			onHead(head) {
				response.head = head;
			},
			onData(chunk) {
				response.body += chunk.toString();
			},
			onEnd() {
				resolve(response);
			},
			onFailure(error) {
				resolve({...response, error});
			},
		});
	});

	it('treats a body without a length as incomplete when a reset ended it', async () => {
		const started = await startServer(socket => {
			socket.write('HTTP/1.1 200 OK\r\nX-Any: s\r\n\r\nhalf', () => {
				setTimeout(() => socket.resetAndDestroy(), 20);
			});
		});
		server = started.server;
		const response = await send(started.address);
		expect(response.error?.isWritten).to.equal(true);
	});

	// Node.js reports a reset that arrives together with data as an orderly close.
	it('treats a body without a length as incomplete when a reset followed its last bytes at once', async () => {
		const started = await startServer(socket => {
			socket.write('HTTP/1.1 200 OK\r\nX-Any: s\r\n\r\nhalf');
			socket.resetAndDestroy();
		});
		server = started.server;
		for (let i = 0; i < 20; i++) {
			const response = await send(started.address);
			expect(response.error?.isWritten).to.equal(true);
		}
	});

	// The HTTP client threw out of the event loop when a connection ended while its reader was paused, which ended the process.
	for (const [name, head, encode] of [
		['a body without a length', '', (text: string) => text],
		['chunks', 'Connection: close\r\nTransfer-Encoding: chunked\r\n', (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`],
	] as const) {
		for (const end of ['reset', 'close', 'close and cancel', 'cancel'] as const) {
			it(`survives the ${end} of ${name} while its reader is paused`, async () => {
				const started = await startServer(socket => {
					socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${encode('x'.repeat(100_000))}`, () => {
						setTimeout(() => {
							if (end === 'reset') {
								socket.resetAndDestroy();
							} else if (end.startsWith('close')) {
								socket.end();
							}
						}, 20);
					});
				});
				server = started.server;
				let bodyBytes = 0;
				const outcome = await new Promise(resolve => {
					const sent = client.send(started.address as SocketAddress, {
						callKind: 'run', method: 'GET', grant: unlimitedGrant, path: '/a', headers: ['host', 'a.example'], needsVerifiedConnection: false, connectionLimit: 4, identity: {expectedId: '1', readId: () => '1'},
					}, {
						onHead() {/* The test looks at the end only. */},
						onData(chunk) {
							bodyBytes += chunk.length;
							sent.pause();
							setTimeout(() => {
								if (end.endsWith('cancel')) {
									sent.cancel();
								} else {
									sent.resume();
								}
							}, 50);
						},
						onEnd() {
							resolve('ended');
						},
						onFailure() {
							resolve('failed');
						},
					});
				});
				const isWhole = end === 'close' && head === '';
				expect(outcome).to.equal(isWhole ? 'ended' : 'failed');
				expect(bodyBytes === 100_000).to.equal(end === 'close');
			});
		}
	}

	it('treats a body without a length as complete when the server closed the connection after it', async () => {
		const started = await startServer(socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		});
		server = started.server;
		const response = await send(started.address);
		expect(response.error).to.equal(undefined);
		expect(response.body).to.equal('whole');
	});

	it('reports that nothing was written when no connection could be opened', async () => {
		const started = await startServer(() => {
			// The server sends no response.
		});
		await new Promise(resolve => {
			started.server.close(resolve);
		});
		const response = await send(started.address);
		expect(response.error?.isWritten).to.equal(false);
	});

	it('reports that the request may have run when a reused connection fails', async () => {
		let count = 0;
		const started = await startServer(socket => {
			count++;
			if (count === 1) {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
			} else {
				socket.resetAndDestroy();
			}
		});
		server = started.server;
		expect((await send(started.address)).body).to.equal('ok');
		expect((await send(started.address)).error?.isWritten).to.equal(true);
	});

	// Some servers drop idle connections without closing them and reset them at the next request.
	it('tells a connection lost while idle from a failing server, and no longer reuses connections that were idle for as long', async () => {
		const used = new Set<Socket>();
		const started = await startServer(socket => {
			if (used.has(socket)) {
				socket.resetAndDestroy();
				return;
			}

			used.add(socket);
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		});
		server = started.server;
		const clock = new ManualClock();
		client = new EndpointClient({clock, connectTimeoutMs: 500});
		expect((await send(started.address)).body).to.equal('ok');
		await clock.advance(400);
		const lost = await send(started.address);
		expect(lost.error).to.include({isStale: true, isWritten: true});
		expect((await send(started.address)).body).to.equal('ok');
		await clock.advance(250);
		expect((await send(started.address)).body).to.equal('ok');
		expect(used.size).to.equal(3);
		await clock.advance(10);
		const broken = await send(started.address);
		expect(broken.error).to.include({isStale: false, isWritten: true});
	});

	it('does not mistake a server that is gone for one that dropped an idle connection', async () => {
		const sockets: Socket[] = [];
		const started = await startServer(socket => {
			sockets.push(socket);
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		});
		server = started.server;
		const clock = new ManualClock();
		client = new EndpointClient({clock, connectTimeoutMs: 500});
		expect((await send(started.address)).body).to.equal('ok');
		const isClosed = new Promise(resolve => {
			sockets[0]!.once('close', resolve);
		});
		server.close();
		sockets[0]!.destroy();
		await isClosed;
		await clock.advance(400);
		const refused = await send(started.address);
		expect(refused.error).to.include({isStale: false, isWritten: false});
	});

	it('ignores bytes that follow a complete response', async () => {
		const started = await startServer((socket, text) => {
			const [, path] = text.split(' ');
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${path!.length}\r\n\r\n${path}`);
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra');
			}, 5);
		});
		server = started.server;
		expect((await send(started.address)).body).to.equal('/a');
		await new Promise(resolve => {
			setTimeout(resolve, 30);
		});
		const second = await send(started.address);
		expect(second.body).to.equal('/a');
	});

	it('fails immediately when all connections are busy', async () => {
		const sockets: Socket[] = [];
		const started = await startServer(socket => {
			sockets.push(socket);
		});
		server = started.server;
		void send(started.address, {connectionLimit: 1});
		const response = await send(started.address, {connectionLimit: 1});
		expect(response.error?.code).to.equal('ERR_HICKORYTRACK_CONNECTIONS_BUSY');
		expect(response.error?.isWritten).to.equal(false);
		expect(Buffer.byteLength(response.body)).to.equal(0);
	});

	// Guards against an exception while a connection is opened that failed a request whose handler and grant heard nothing of it.
	for (const address of ['300.1.1.1:80', '127.0.0.1:99999', 'not an address']) {
		it(`fails a request as not written, and releases its grant once, if no connection can be opened: ${address}`, async () => {
			let releases = 0;
			let errors = 0;
			const grant = {
				recordUse() {/* Nothing is written. */}, release() {
					releases++;
				},
			};
			const sent = client.send(address as SocketAddress, {
				callKind: 'run', method: 'GET', grant, path: '/a', headers: [], needsVerifiedConnection: false, connectionLimit: 4,
			}, {
				onHead() {/* There is no answer. */}, onData() {/* There is no answer. */}, onEnd() {/* There is no answer. */}, onFailure(error) {
					errors++;
					expect(error).to.include({isWritten: false, isBusy: false, isCancelled: false});
				},
			});
			sent.cancel();
			await new Promise(setImmediate);
			expect({releases, errors, isWritten: sent.isWritten}).to.deep.equal({releases: 1, errors: 1, isWritten: false});
			expect(client.countBusy(address as SocketAddress)).to.equal(0);
		});
	}

	// Guards against taking a request that the HTTP client refuses to write, such as one with a line break in a header, for a written one.
	it('fails a request that can\'t be dispatched as not written, and releases its grant once', async () => {
		let releases = 0;
		const {server: started, address} = await startServer(() => {/* Nothing arrives. */});
		server = started;
		const error = await new Promise<EndpointClientError>(resolve => {
			client.send(address as SocketAddress, {
				callKind: 'run', method: 'GET', path: '/a', headers: ['x-a', 'a\r\nb'], needsVerifiedConnection: false, connectionLimit: 4, grant: {
					recordUse() {/* Nothing is written. */}, release() {
						releases++;
					},
				},
			}, {
				onHead() {/* There is no answer. */}, onData() {/* There is no answer. */}, onEnd() {/* There is no answer. */}, onFailure: resolve,
			});
		});
		expect(error.isWritten).to.equal(false);
		expect(releases).to.equal(1);
		expect(client.countBusy(address as SocketAddress)).to.equal(0);
	});
});
