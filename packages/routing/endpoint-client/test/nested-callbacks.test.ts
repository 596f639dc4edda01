/** What one connection's callback does to another connection, and errors that callbacks throw. */
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {HttpCall} from '@hickorytrack/http-answer/http-call';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient, type ResponseHandler, type SentRequest} from '../src/endpoint-client.js';
import {unlimitedGrant} from '../src/send-grant.js';

type Outcome = {settlements: string[]; body: string};
type Conversation = {socket: Socket; isClosed: boolean};

/** Callbacks of a connection, by what its server does to cause them. */
const triggers = {
	head(socket: Socket) {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
	},
	data(socket: Socket) {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n');
	},
	end(socket: Socket) {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
	},
	failure(socket: Socket) {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n');
	},
} as const;
type Callback = keyof typeof triggers;
const callbacks = Object.keys(triggers) as Callback[];
const largeBody = 'x'.repeat(100_000);
const closeWithinMs = 1000;

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

async function waitUntil(isMet: () => boolean, message: string): Promise<void> {
	for (const until = performance.now() + closeWithinMs; !isMet();) {
		expect(performance.now(), message).to.be.below(until);

		await sleep(5);
	}
}

describe('callbacks of one connection that act on another', () => {
	let client: EndpointClient;
	let server: Server;
	let address: string;
	/** Open conversations by the path of their request. */
	const conversations = new Map<string, Conversation>();
	const uncaught: unknown[] = [];
	let listeners: NodeJS.UncaughtExceptionListener[];

	const recordUncaught = (error: unknown) => {
		uncaught.push(error);
	};

	beforeEach(async () => {
		conversations.clear();
		uncaught.length = 0;
		listeners = process.listeners('uncaughtException');
		process.removeAllListeners('uncaughtException');
		process.on('uncaughtException', recordUncaught);
		client = new EndpointClient({clock: new SystemClock(), connectTimeoutMs: 500});
		server = createServer(socket => {
			socket.on('error', () => {
				// The client resets connections.
			});
			socket.on('data', chunk => {
				const conversation = {socket, isClosed: false};
				conversations.set(chunk.toString().split(' ')[1]!, conversation);
				socket.on('close', () => {
					conversation.isClosed = true;
				});
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterEach(async () => {
		client.close();
		server.close();
		// What the close throws still belongs to the test.
		await sleep(20);
		process.removeAllListeners('uncaughtException');
		for (const listener of listeners) {
			process.on('uncaughtException', listener);
		}
	});

	/** Defines a test in which nothing may throw out of the event loop. */
	const testCallbacks = (title: string, run: () => Promise<void>) => {
		it(title, async () => {
			await run();
			expect(uncaught).to.deep.equal([]);
		});
	};

	const send = async (path: string, handler: Partial<ResponseHandler> = {}): Promise<{sent: SentRequest; outcome: Outcome}> => {
		const outcome: Outcome = {settlements: [], body: ''};
		const sent = client.send(address as SocketAddress, {
			callKind: 'run', method: 'GET', grant: unlimitedGrant, path, headers: ['host', 'a.example'], needsVerifiedConnection: false, connectionLimit: 8, identity: {expectedId: path, readId: () => path},
		}, {
			onHead(head) {
				handler.onHead?.(head);
			},
			onData(chunk) {
				outcome.body += chunk.toString();
				handler.onData?.(chunk);
			},
			onEnd(answer) {
				outcome.settlements.push('end');
				handler.onEnd?.(answer);
			},
			onFailure(error) {
				outcome.settlements.push('failure');
				handler.onFailure?.(error);
			},
		});
		await waitUntil(() => conversations.has(path), `${path} reaches the server`);
		return {sent, outcome};
	};

	/** Sends a request that calls `act` in the callback. */
	const sendActing = async (callback: Callback, act: () => void) => send('/acting', {
		...(callback === 'head' && {onHead: act}),
		...(callback === 'data' && {onData: act}),
		...(callback === 'end' && {onEnd: act}),
		...(callback === 'failure' && {onFailure: act}),
	});

	/** Triggers the callback, and expects that the exchange comes to its own end whatever the callback has done. */
	const expectOwnEnd = async (callback: Callback, outcome: Outcome) => {
		const {socket} = conversations.get('/acting')!;
		triggers[callback](socket);
		await sleep(20);
		if (callback === 'head' || callback === 'data') {
			socket.write('4\r\nlast\r\n0\r\n\r\n');
		}

		await waitUntil(() => outcome.settlements.length > 0, 'the acting exchange settles');
		expect(outcome.settlements).to.deep.equal([callback === 'failure' ? 'failure' : 'end']);
		expect(outcome.body).to.equal({
			head: 'last', data: 'firstlast', end: '', failure: '',
		}[callback]);
	};

	/** Opens another exchange, whose reader may be paused, and whose connection the server may have ended meanwhile. */
	const openOther = async ({isPaused, hasEnded}: {isPaused: boolean; hasEnded: boolean}) => {
		const other = await send('/other', {
			onData() {
				if (isPaused) {
					other.sent.pause();
				}
			},
		});
		const {socket} = conversations.get('/other')!;
		socket.write(`HTTP/1.1 200 OK\r\n\r\n${largeBody}`);
		if (hasEnded) {
			socket.end();
		}

		await waitUntil(() => other.outcome.body.length > 0, 'the other answer begins');
		await sleep(20);
		return other;
	};

	for (const callback of callbacks) {
		for (const [name, state] of [
			['an open reader', {isPaused: false, hasEnded: false}],
			['a paused reader', {isPaused: true, hasEnded: false}],
			['a paused reader and an end that has arrived', {isPaused: true, hasEnded: true}],
		] as const) {
			// An assertion of the HTTP client left the cancelled exchange unsettled and its connection open, and ended the first one.
			testCallbacks(`cancels an exchange with ${name} from the ${callback} callback of another one`, async () => {
				const other = await openOther(state);
				const acting = await sendActing(callback, () => {
					other.sent.cancel();
				});
				await expectOwnEnd(callback, acting.outcome);
				await waitUntil(() => conversations.get('/other')!.isClosed, 'the connection closes at the server');
				expect(other.outcome.settlements).to.deep.equal(['failure']);
			});

			// The same assertion ended the exchange whose callback it was, and the reader stayed paused.
			testCallbacks(`pauses and resumes an exchange with ${name} from the ${callback} callback of another one`, async () => {
				const other = await openOther(state);
				const acting = await sendActing(callback, () => {
					other.sent.pause();
					other.sent.resume();
				});
				await expectOwnEnd(callback, acting.outcome);
				// An open reader takes everything; one that pauses at each part is resumed for the next.
				for (let count = 0; count < 100 && other.outcome.body.length < largeBody.length; count++) {
					other.sent.resume();

					await sleep(5);
				}

				other.sent.resume();
				conversations.get('/other')!.socket.end();
				await waitUntil(() => other.outcome.settlements.length > 0, 'the other exchange settles');
				expect(other.outcome.settlements).to.deep.equal(['end']);
				expect(other.outcome.body.length).to.equal(largeBody.length);
			});
		}

		// The connection of an idle exchange may hold bytes that nobody has read; the HTTP client reads them when it is used.
		testCallbacks(`sends a request from the ${callback} callback of another connection`, async () => {
			let next: Promise<{outcome: Outcome}> | undefined;
			const idle = await send('/idle');
			conversations.get('/idle')!.socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
			const acting = await sendActing(callback, () => {
				next = send('/next');
			});
			await waitUntil(() => idle.outcome.settlements.length > 0, 'the connection is idle');
			await expectOwnEnd(callback, acting.outcome);
			const {outcome} = await next!;
			conversations.get('/next')!.socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
			await waitUntil(() => outcome.settlements.length > 0, 'the next exchange settles');
			expect(outcome).to.deep.equal({settlements: ['end'], body: 'ok'});
		});

		// What a callback throws ended up in the HTTP client, which reported it as a failure of the connection or not at all.
		testCallbacks(`settles an exchange whose ${callback} callback throws, and no other one`, async () => {
			const other = await openOther({isPaused: false, hasEnded: false});
			const acting = await sendActing(callback, () => {
				throw new Error('a bug');
			});
			triggers[callback](conversations.get('/acting')!.socket);
			await waitUntil(() => acting.outcome.settlements.length > 0, 'the acting exchange settles');
			expect(acting.outcome.settlements).to.deep.equal([callback === 'end' ? 'end' : 'failure']);
			if (callback !== 'end') {
				await waitUntil(() => conversations.get('/acting')!.isClosed, 'the connection closes at the server');
			}

			conversations.get('/other')!.socket.end();
			await waitUntil(() => other.outcome.settlements.length > 0, 'the other exchange settles');
			expect(other.outcome.settlements).to.deep.equal(['end']);
		});

		// An exception of a cancellation's own callback went through the callback that had cancelled it.
		testCallbacks(`goes on when the failure callback of an exchange that is cancelled from the ${callback} callback throws`, async () => {
			const other = await send('/other', {
				onFailure() {
					throw new Error('a bug');
				},
			});
			const acting = await sendActing(callback, () => {
				other.sent.cancel();
			});
			await expectOwnEnd(callback, acting.outcome);
			await waitUntil(() => conversations.get('/other')!.isClosed, 'the connection closes at the server');
			expect(other.outcome.settlements).to.deep.equal(['failure']);
		});

		// The same pattern in the calls of adapters and tools.
		for (const hasEnded of [false, true]) {
			testCallbacks(`cancels a call with a paused reader${hasEnded ? ' and an end that has arrived' : ''} from the ${callback} callback of a connection`, async () => {
				const call = new HttpCall(`http://${address}/call`, {maxBodyBytes: largeBody.length});
				await waitUntil(() => conversations.has('/call'), 'the call reaches the server');
				const {socket} = conversations.get('/call')!;
				socket.write(`HTTP/1.1 200 OK\r\n\r\n${largeBody}`);
				if (hasEnded) {
					socket.end();
				}

				await call.waitForHead();
				await sleep(20);
				const acting = await sendActing(callback, () => {
					call.cancel();
				});
				await expectOwnEnd(callback, acting.outcome);
				await waitUntil(() => conversations.get('/call')!.isClosed, 'the connection closes at the server');
			});

			testCallbacks(`reads on in a call with a paused reader${hasEnded ? ' and an end that has arrived' : ''} from the ${callback} callback of a connection`, async () => {
				const call = new HttpCall(`http://${address}/call`, {maxBodyBytes: largeBody.length});
				await waitUntil(() => conversations.has('/call'), 'the call reaches the server');
				const {socket} = conversations.get('/call')!;
				socket.write(`HTTP/1.1 200 OK\r\n\r\n${largeBody}`);
				if (hasEnded) {
					socket.end();
				}

				await call.waitForHead();
				await sleep(20);
				const body = call.readBody();
				let first: Promise<IteratorResult<Buffer, void>> | undefined;
				const acting = await sendActing(callback, () => {
					first ??= body.next();
				});
				await expectOwnEnd(callback, acting.outcome);
				socket.end();
				let {length} = (await first!).value!;
				for await (const chunk of body) {
					length += chunk.length;
				}

				expect(length).to.equal(largeBody.length);
			});
		}
	}

	// A listener that came late resumed the reader of the next answer on the connection.
	testCallbacks('leaves the next exchange of a connection alone when one that has settled is paused, resumed or cancelled', async () => {
		const earlier = await send('/earlier');
		conversations.get('/earlier')!.socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
		await waitUntil(() => earlier.outcome.settlements.length > 0, 'the first exchange settles');
		const next = await send('/next');
		const {socket} = conversations.get('/next')!;
		expect(socket).to.equal(conversations.get('/earlier')!.socket);
		earlier.sent.pause();
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
		socket.end();
		await waitUntil(() => next.outcome.settlements.length > 0, 'the next exchange settles');
		earlier.sent.resume();
		earlier.sent.cancel();
		expect(next.outcome).to.deep.equal({settlements: ['end'], body: 'whole'});
		expect(earlier.outcome.settlements).to.deep.equal(['end']);
	});
});
