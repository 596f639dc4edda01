import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient, type EndpointClientError, type ResponseHead} from '../src/endpoint-client.js';
import type {AnswerIdentity, ForeignAnswer} from '../src/answer-identity.js';
import {unlimitedGrant} from '../src/send-grant.js';

type Result = {head?: ResponseHead; body: string; error?: EndpointClientError};
/** What the test server does with the request of this number on one connection; the first is 1. */
type Script = (socket: Socket, request: {id: string; position: number}) => void;

const realClock = new SystemClock();
const idPattern = /^x-id: (.*)\r$/m;

function createAnswer(id: string | undefined, {status = 200, body = `body of ${id}`}: {status?: number; body?: string} = {}): string {
	return `HTTP/1.1 ${status} S\r\n${id === undefined ? '' : `X-Id: ${id}\r\n`}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function createIdentity(expectedId: string): AnswerIdentity {
	return {expectedId, readId: head => head.headers['x-id']?.toString()};
}

describe('identity of answers', () => {
	let clock: ManualClock;
	let client: EndpointClient;
	let server: Server;
	let address: string;
	let script: Script;
	let connectionCount: number;
	let foreignAnswers: ForeignAnswer[];

	beforeEach(async () => {
		clock = new ManualClock();
		foreignAnswers = [];
		connectionCount = 0;
		client = new EndpointClient({
			clock, connectTimeoutMs: 500, onForeignAnswer(answer) {
				foreignAnswers.push(answer);
			},
		});
		server = createServer(socket => {
			let position = 0;
			let pending = '';
			connectionCount++;
			socket.on('error', () => {
				// The client breaks connections on purpose.
			});
			socket.on('data', chunk => {
				pending += chunk.toString('latin1');
				const end = pending.indexOf('\r\n\r\n');
				if (end !== -1) {
					const id = idPattern.exec(pending)?.[1] ?? '';
					pending = '';
					position++;
					script(socket, {id, position});
				}
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

	const send = async (id: string, opts: {hasIdentity?: boolean; onHead?: () => void} = {}) => new Promise<Result>(resolve => {
		const result: Result = {body: ''};
		const sentRequest = client.send(address as SocketAddress, {
			callKind: 'run', method: 'GET', grant: unlimitedGrant, path: '/a', headers: ['host', 'a.example', 'x-id', id], needsVerifiedConnection: false, connectionLimit: 4, identity: opts.hasIdentity === false ? undefined : createIdentity(id),
		}, {
			onHead(head) {
				result.head = head;
				opts.onHead?.();
			},
			onData(chunk) {
				result.body += chunk.toString();
				if (chunk.includes('cancel me')) {
					sentRequest.cancel();
				}
			},
			onEnd() {
				resolve(result);
			},
			onFailure(error) {
				resolve({...result, error});
			},
		});
	});

	/** Sends a second answer to the first request of a connection when the second request has been read, and then its own. */
	const repeatFirstAnswer = (createFirst: (id: string) => string = createAnswer): Script => {
		const firstAnswers = new Map<Socket, string>();
		return (socket, {id, position}) => {
			if (position === 1) {
				firstAnswers.set(socket, createFirst(id));
			}

			socket.write(firstAnswers.get(socket)! + (position === 1 ? '' : createAnswer(id)));
		};
	};

	// A late answer was taken for that of the next request on its connection: its body, its refusal or its KV handle.
	for (const [name, first] of Object.entries({
		success: createAnswer('a'),
		'refusal 503': createAnswer('a', {status: 503, body: ''}),
		'refusal 429': createAnswer('a', {status: 429, body: ''}),
		'wrong instance 421': createAnswer('a', {status: 421, body: ''}),
		'failure 500': createAnswer('a', {status: 500}),
		'KV handle': createAnswer('a', {body: '{"handle":"3fa0"}'}),
		'answer in chunks': 'HTTP/1.1 200 S\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
	})) {
		it(`releases nothing of a late answer to the next request: ${name}`, async () => {
			script = repeatFirstAnswer(() => first);
			expect((await send('a')).error).to.equal(undefined);
			const second = await send('b');
			expect(second.error).to.include({code: 'ERR_HICKORYTRACK_FOREIGN_ANSWER', isWritten: true, isStale: false});
			expect(second.head).to.equal(undefined);
			expect(second.body).to.equal('');
			expect(foreignAnswers).to.have.length(1);
			expect(foreignAnswers[0]).to.include({
				address, callKind: 'run', expectedId: 'b', receivedId: 'a', exchanges: 1,
			});
		});
	}

	// The head of the next answer became the end of the late one: a refusal with the id of a request that ran.
	for (const [name, cut] of Object.entries({
		'in its reason': 'HTTP/1.1 421 Misdir',
		'behind its status': 'HTTP/1.1 421 ',
		'in a value': 'HTTP/1.1 503 S\r\nX-Refused: 1\r\nServer: abc',
		'before a value': 'HTTP/1.1 503 S\r\nX-Refused: 1\r\nServer:',
		'in a value of a success': 'HTTP/1.1 200 S\r\nX-Stamp: of-a\r\nServer: abc',
	})) {
		for (const delayed of ['in one segment', 'in two segments', 'while the connection is idle']) {
			it(`releases nothing of a late answer that is cut ${name}, with the next answer ${delayed}`, async () => {
				script = (socket, {id, position}) => {
					if (position === 1) {
						socket.write(createAnswer(id));
						if (delayed === 'while the connection is idle') {
							setTimeout(() => socket.write(cut), 5);
						}
					} else if (delayed === 'in one segment') {
						socket.write(cut + createAnswer(id));
					} else {
						socket.write(delayed === 'in two segments' ? cut : '');
						setTimeout(() => socket.write(createAnswer(id)), 20);
					}
				};

				expect((await send('a')).error).to.equal(undefined);
				await realClock.sleep(delayed === 'while the connection is idle' ? 20 : 0);
				const second = await send('b');
				// Bytes on an idle connection close it, and the request has another one.
				expect([second.head?.status, second.body]).to.deep.be.oneOf([[undefined, ''], [200, 'body of b']]);
				if (delayed !== 'while the connection is idle') {
					expect(second.error).to.include({code: 'ERR_HICKORYTRACK_FOREIGN_ANSWER', isWritten: true});
					expect((await send('c')).body).to.equal('body of c');
					expect(foreignAnswers.map(({expectedId}) => expectedId)).to.deep.equal(['b']);
				}
			});
		}
	}

	it('accepts an answer whose values name a version of HTTP', async () => {
		script = (socket, {id}) => socket.write(createAnswer(id).replace('X-Id', 'Via: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\nX-Id'));
		expect((await send('a')).body).to.equal('body of a');
		expect((await send('b')).body).to.equal('body of b');
		expect(connectionCount).to.equal(1);
	});

	// The connection went back to the pool, so that every later request on it read the answer of the one before.
	it('never uses a connection again on which an answer was late', async () => {
		const pending: string[] = [];
		script = (socket, {id, position}) => {
			// From the second request on, the answer to the request before is due first.
			socket.write(position === 1 ? createAnswer(id) : pending.shift()!);
			pending.push(createAnswer(id));
		};

		const results = [];
		for (const id of ['a', 'b', 'c', 'd', 'e']) {
			results.push(await send(id));
		}

		expect(results.map(result => result.error?.code)).to.deep.equal([undefined, 'ERR_HICKORYTRACK_FOREIGN_ANSWER', undefined, undefined, undefined]);
		expect(results.slice(2).map(result => result.body)).to.deep.equal(['body of c', 'body of d', 'body of e']);
	});

	// Behind each late answer a request failed; a server that answers twice once is likely to do it again.
	it('opens a connection for each request to a server that answered late, for a while', async () => {
		script = repeatFirstAnswer();
		await send('a');
		await send('b');
		for (const id of ['c', 'd', 'e']) {
			expect((await send(id)).body).to.equal(`body of ${id}`);
		}

		expect(connectionCount).to.equal(4);
		await clock.advance(60_001);
		script = (socket, {id}) => socket.write(createAnswer(id));
		await send('f');
		await send('g');
		expect(connectionCount).to.equal(5);
	});

	// Answers to a request that is sent twice to one server bear the same id.
	it('does not send two requests with the same id one after the other on one connection', async () => {
		script = (socket, {id}) => socket.write(createAnswer(id));
		await send('a');
		await send('a');
		expect(connectionCount).to.equal(2);
	});

	// A release of a KV handle or a stage order took a late answer for its own, or left its late answer to the next request.
	it('sends a request whose answer bears no id on a connection of its own', async () => {
		script = repeatFirstAnswer();
		await send('a');
		expect((await send('', {hasIdentity: false})).body).to.equal('body of ');
		expect(connectionCount).to.equal(2);
		expect((await send('b')).error?.foreignAnswer?.exchanges).to.equal(1);
		expect(connectionCount).to.equal(2);
	});

	it('accepts a failure without an id on a connection that has carried no other request only', async () => {
		script = (socket, {position}) => socket.write(createAnswer(position === 1 ? undefined : 'a', {status: 421, body: ''}));
		expect((await send('a')).head?.status).to.equal(421);
		script = socket => socket.write(createAnswer(undefined, {status: 421, body: ''}));
		expect((await send('b')).error?.foreignAnswer).to.include({receivedId: undefined, status: 421, exchanges: 1});
		script = socket => socket.write(createAnswer(undefined));
		expect((await send('c')).error?.foreignAnswer).to.include({receivedId: undefined, status: 200, exchanges: 0});
	});

	it('rejects an answer that bears two ids', async () => {
		script = (socket, {id}) => socket.write(createAnswer(id).replace('X-Id', 'X-Id: other\r\nX-Id'));
		expect((await send('a')).error?.foreignAnswer?.receivedId).to.equal('other,a');
	});

	// The client library closes an idle connection on which bytes arrive.
	it('reads no answer that arrives while the connection is idle', async () => {
		const sockets: Socket[] = [];
		script = (socket, {id}) => {
			sockets.push(socket);
			socket.write(createAnswer(id));
		};

		await send('a');
		const isClosed = new Promise(resolve => {
			sockets[0]!.once('close', resolve);
		});
		sockets[0]!.write(createAnswer('a'));
		await isClosed;
		expect((await send('b')).body).to.equal('body of b');
		expect(foreignAnswers).to.deep.equal([]);
		expect(connectionCount).to.equal(2);
	});

	it('accepts the own answer behind an informational one', async () => {
		script = (socket, {id, position}) => socket.write(`HTTP/1.1 103 Early Hints\r\nX-Id: other\r\n\r\n${createAnswer(position === 1 ? id : 'a')}`);
		expect((await send('a')).body).to.equal('body of a');
		expect((await send('b')).error?.code).to.equal('ERR_HICKORYTRACK_FOREIGN_ANSWER');
	});

	it('does not take bytes behind a complete answer for the next one', async () => {
		script = (socket, {id, position}) => socket.write(createAnswer(id) + (position === 1 ? createAnswer('a', {body: 'left over'}) : ''));
		await send('a');
		expect((await send('b')).body).to.equal('body of b');
		expect(connectionCount).to.equal(2);
	});

	// Bytes that are no answer failed the next request on each connection to such a server.
	it('opens a connection for each request to a server that sends bytes where an answer is due', async () => {
		script = (socket, {id, position}) => socket.write(position === 1 ? createAnswer(id) : 'no answer\r\n\r\n');
		await send('a');
		expect((await send('b')).error).to.include({code: 'ERR_HICKORYTRACK_ENDPOINT_BROKEN', isWritten: true});
		expect((await send('c')).body).to.equal('body of c');
		expect((await send('d')).body).to.equal('body of d');
	});

	it('never uses a connection again whose request was cancelled', async () => {
		script = (socket, {id, position}) => socket.write(createAnswer(position === 1 ? id : 'a', {body: position === 1 && id === 'a' ? 'cancel me' : `body of ${id}`}));
		expect((await send('a')).error?.isCancelled).to.equal(true);
		expect((await send('b')).body).to.equal('body of b');
		expect(connectionCount).to.equal(2);
	});

	// A server may answer before it has read a long body, and read on later.
	it('sends the rest of a body before the next request when the answer came early', async () => {
		const body = Buffer.alloc(8 * 1024 * 1024, 'x');
		const received: string[] = [];
		let resume: (() => void) | undefined;
		let isIntact = true;
		const early = createServer(socket => {
			let bodyBytes = 0;
			socket.on('error', () => {
				// The client closes the connection at the end of the test.
			});
			socket.on('data', chunk => {
				let rest = chunk;
				while (rest.length > 0) {
					if (bodyBytes === 0) {
						const end = rest.indexOf('\r\n\r\n');
						const id = idPattern.exec(rest.subarray(0, end + 2).toString())![1]!;
						received.push(id);
						socket.write(createAnswer(id, {status: 503, body: ''}));
						rest = rest.subarray(end + 4);
						bodyBytes = body.length;
						if (id === 'a') {
							socket.pause();
							resume = () => socket.resume();
						}
					}

					const taken = rest.subarray(0, bodyBytes);
					isIntact &&= taken.every(byte => byte === body[0]);
					bodyBytes -= taken.length;
					rest = rest.subarray(taken.length);
				}
			});
		});
		await new Promise<void>(resolve => {
			early.listen(0, '127.0.0.1', resolve);
		});
		const earlyAddress = `127.0.0.1:${(early.address() as AddressInfo).port}`;
		const post = async (id: string) => new Promise<number | undefined>(resolve => {
			let status: number | undefined;
			client.send(earlyAddress as SocketAddress, {
				callKind: 'run', method: 'POST', grant: unlimitedGrant, path: '/a', headers: ['host', 'a.example', 'x-id', id], body, needsVerifiedConnection: false, connectionLimit: 1, identity: createIdentity(id),
			}, {
				onHead(head) {
					status = head.status;
				},
				onData() {
					// The answer has no body.
				},
				onEnd() {
					resolve(status);
				},
				onFailure() {
					resolve(undefined);
				},
			});
		});
		expect(await post('a')).to.equal(503);
		const second = post('b');
		resume!();
		expect(await second).to.equal(503);
		expect(received).to.deep.equal(['a', 'b']);
		expect(isIntact).to.equal(true);
		early.close();
	});
});
