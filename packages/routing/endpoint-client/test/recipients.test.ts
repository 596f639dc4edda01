import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient} from '../src/endpoint-client.js';
import type {Recipient} from '../src/server-connections.js';
import {unlimitedGrant} from '../src/send-grant.js';

const createAnswer = (head: string, body = '') => `HTTP/1.1 ${head}\r\nX-Leaves: 1\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

describe('recipients of requests', () => {
	const clock = new SystemClock();
	let client: EndpointClient;
	let server: Server;
	let address: string;
	let answer: (socket: Socket) => void;
	let sockets: Socket[];
	let heads: string[];

	beforeEach(async () => {
		sockets = [];
		heads = [];
		client = new EndpointClient({
			clock, connectTimeoutMs: 500, onAnswer(recipient, head) {
				heads.push(`${recipient.id}/${recipient.startedAt} ${head.status} ${String(head.headers['x-leaves'])}`);
			},
		});
		server = createServer(socket => {
			sockets.push(socket);
			socket.on('data', chunk => {
				if (chunk.includes('HTTP/1.1')) {
					answer(socket);
				}
			});
			socket.on('error', () => {
				// The tests reset connections on purpose.
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	let count = 0;
	const send = async (recipient: Recipient | undefined, opts: {readId?: () => string; body?: Buffer} = {}) => new Promise<string>(resolve => {
		count++;
		const id = String(count);
		client.send(address as SocketAddress, {
			callKind: 'run', method: 'POST', grant: unlimitedGrant, path: '/a', headers: [], needsVerifiedConnection: false, connectionLimit: 4, recipient, body: opts.body, identity: {expectedId: id, readId: opts.readId ?? (() => id)},
		}, {
			onHead() {
				heads.push('handler');
			},
			onData() {
				// The body is not used.
			},
			onEnd() {
				resolve('ended');
			},
			onFailure() {
				resolve('failed');
			},
		});
	});

	// News in the head of an answer was lost when the answer was an error, came early, or broke off.
	for (const [name, head, status] of [
		['a success', '200 OK', 200], ['a failure', '500 No', 500], ['a refusal', '503 No', 503], ['the answer behind an informational one', '103 Early Hints\r\n\r\nHTTP/1.1 200 OK', 200],
	] as const) {
		it(`reports the head of ${name} with its recipient, before the handler acts on it`, async () => {
			answer = socket => {
				socket.write(createAnswer(head));
			};

			expect(await send({id: 'a', startedAt: 1})).to.equal('ended');
			expect(heads).to.deep.equal([`a/1 ${status} 1`, 'handler']);
		});
	}

	it('reports the head of an answer that breaks off', async () => {
		answer = socket => {
			socket.end('HTTP/1.1 200 OK\r\nX-Leaves: 1\r\nContent-Length: 5\r\n\r\nab');
		};

		expect(await send({id: 'a', startedAt: 1})).to.equal('failed');
		expect(heads).to.deep.equal(['a/1 200 1', 'handler']);
	});

	it('reports the head of an answer that comes before the body has been read', async () => {
		answer = socket => {
			socket.pause();
			socket.write(createAnswer('503 No'));
		};

		const ended = send({id: 'a', startedAt: 1}, {body: Buffer.alloc(16_000_000)});
		while (heads.length === 0) {
			await clock.sleep(5);
		}

		expect(heads[0]).to.equal('a/1 503 1');
		client.close();
		await ended;
	});

	// A late answer to another request may be garbage; the server says it again in its own answers.
	it('does not report an answer that belongs to another request', async () => {
		answer = socket => {
			socket.write(createAnswer('200 OK'));
		};

		expect(await send({id: 'a', startedAt: 1}, {readId: () => 'another'})).to.equal('failed');
		expect(heads).to.deep.equal([]);
	});

	// On a connection to its earlier start, or to another server that had its address, an answer was taken for the new start's.
	it('sends nothing to one start of a server on a connection to another one', async () => {
		answer = socket => {
			socket.write(createAnswer('200 OK'));
		};

		for (const recipient of [{id: 'a', startedAt: 1}, {id: 'a', startedAt: 1}, {id: 'a', startedAt: 2}, {id: 'b', startedAt: 2}]) {
			expect(await send(recipient)).to.equal('ended');
		}

		expect(heads.filter(head => head !== 'handler')).to.deep.equal(['a/1 200 1', 'a/1 200 1', 'a/2 200 1', 'b/2 200 1']);
		expect(sockets).to.have.length(3);
	});
});
