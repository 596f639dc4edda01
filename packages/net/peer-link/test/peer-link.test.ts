import {Buffer} from 'node:buffer';
import {
	connect, type Server, createServer, type AddressInfo, Socket,
} from 'node:net';
import {expect} from 'chai';
import type {Clock} from '@hickorytrack/clock';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {Random} from '@hickorytrack/random';
import type {PeerConnection} from '../src/peer-connection.js';
import {PeerNode} from '../src/peer-node.js';
import {FrameDecoder, encodeFrame} from '../src/frame-codec.js';

const timing = {heartbeatMs: 40, silenceMs: 200, requestTimeoutMs: 2000};

const createNode = (instance: string, keys: string[]): PeerNode => new PeerNode({
	clock: new SystemClock(), random: new Random(1), timing, keys,
	member: {
		instance, roles: [], availabilityZone: 'z', address: '', incarnation: `${instance}-1`,
	},
});

/** A socket whose opening packet is lost. */
class UnansweredSocket extends Socket {
	override readonly connecting = true;
}

/** A clock that stands still, and jumps as that of a process does that was paused. */
class JumpingClock implements Clock {
	#time = 0;
	readonly #sleepers: Array<() => void> = [];
	readonly #onSleeper: Array<() => void> = [];

	now(): number {
		return this.#time;
	}

	monotonic(): number {
		return this.#time;
	}

	async sleep(_ms: number, signal?: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			this.#sleepers.push(resolve);
			signal?.addEventListener('abort', () => {
				resolve();
			}, {once: true});
			for (const notify of this.#onSleeper.splice(0)) {
				notify();
			}
		});
	}

	/** The timers of this clock never fire; they are for timeouts of handshakes. */
	startTimer(): () => void {
		return () => undefined;
	}

	jump(ms: number): void {
		this.#time += ms;
		for (const wake of this.#sleepers.splice(0)) {
			wake();
		}
	}

	/** Waits until a task that was woken sleeps again, or has ended. */
	async waitForSleeper(): Promise<void> {
		if (this.#sleepers.length === 0) {
			await Promise.race([
				new Promise<void>(resolve => {
					this.#onSleeper.push(resolve);
				}),
				new SystemClock().sleep(1000),
			]);
		}
	}
}

async function waitForConnection(node: PeerNode): Promise<PeerConnection> {
	for (;;) {
		const [connection] = node.connections;
		if (connection) {
			return connection;
		}

		await new SystemClock().sleep(1);
	}
}

describe('peer link', () => {
	const nodes: PeerNode[] = [];
	let server: Server | undefined;

	const startNode = async (instance: string, keys: string[]): Promise<PeerNode> => {
		const node = createNode(instance, keys);
		nodes.push(node);
		node.handle('work.resolve', ({attempt}) => {
			if (attempt === 'bad') {
				throw new Error('broken');
			}

			return {state: 'unknown'};
		});
		await node.listen({host: '127.0.0.1', port: 0});
		return node;
	};

	afterEach(async () => {
		await Promise.all(nodes.splice(0).map(async node => node.stop()));
		server?.close();
		server = undefined;
	});

	// After a power loss the opening packet to a machine that starts a little later is lost; it was sent again after a second.
	it('gives up an attempt to connect that gets no response and tries again', async () => {
		const clock = new ManualClock();
		let attempts = 0;
		const node = new PeerNode({
			clock, random: new Random(1), timing, keys: ['shared-key'], member: {
				instance: 'a', roles: [], availabilityZone: 'z', address: '', incarnation: 'a-1',
			}, openSocket() {
				attempts++;
				return new UnansweredSocket();
			},
		});
		nodes.push(node);
		node.openLink('10.0.0.1:1', {connectTimeoutMs: 250, reconnectCapMs: 300});
		await clock.advance(200);
		expect(attempts).to.equal(1);
		await clock.advance(1000);
		expect(attempts).to.be.greaterThan(2);
	});

	it('answers requests and returns an error when the remote handler fails', async () => {
		const a = await startNode('a', ['shared-key']);
		const b = await startNode('b', ['shared-key']);
		const connection = (await b.connect(a.member.address))._unsafeUnwrap();
		expect((await connection.request('work.resolve', {attempt: 'x', cancel: false}))._unsafeUnwrap()).to.deep.equal({state: 'unknown'});
		const error = (await connection.request('work.resolve', {attempt: 'bad', cancel: false}))._unsafeUnwrapErr();
		expect(error.code).to.equal('ERR_HICKORYTRACK_PEER_METHOD');
		expect(connection.remote.instance).to.equal('a');
	});

	// A reply that came twice would be taken for that of the next request if replies were matched by their order.
	it('matches replies to requests by id, also when each comes twice', async () => {
		const a = await startNode('a', ['shared-key']);
		const target = a.member.address.split(':');
		let copies = 0;
		server = createServer(clientSocket => {
			const upstreamSocket = connect({host: target[0], port: Number(target[1])});
			const decoder = new FrameDecoder();
			let lateReplies: unknown[] = [];
			clientSocket.on('data', chunk => upstreamSocket.write(chunk));
			upstreamSocket.on('data', chunk => {
				for (const message of decoder.decode(chunk)) {
					const isReply = typeof message === 'object' && message !== null && 'jsonrpc' in message;
					for (const sent of isReply ? [...lateReplies, message] : [message]) {
						clientSocket.write(encodeFrame(sent));
					}

					if (isReply) {
						copies += lateReplies.length;
						lateReplies = [message];
					}
				}
			});
			clientSocket.on('error', () => undefined);
			upstreamSocket.on('error', () => undefined);
		});
		await new Promise<void>(resolve => {
			server!.listen(0, '127.0.0.1', resolve);
		});
		const b = await startNode('b', ['shared-key']);
		const connection = (await b.connect(`127.0.0.1:${(server.address() as AddressInfo).port}`))._unsafeUnwrap();
		for (const attempt of ['x', 'bad', 'x', 'bad']) {
			const reply = await connection.request('work.resolve', {attempt, cancel: false});
			expect(reply.isOk()).to.equal(attempt === 'x');
		}

		expect(copies).to.equal(3);
	});

	it('refuses a process without a shared key and accepts either key during a rotation', async () => {
		const a = await startNode('a', ['new-key', 'old-key']);
		const unauthorisedNode = await startNode('c', ['other-key']);
		expect((await unauthorisedNode.connect(a.member.address)).isErr()).to.equal(true);
		const oldKeyNode = await startNode('b', ['old-key']);
		expect((await oldKeyNode.connect(a.member.address)).isOk()).to.equal(true);
		expect((await a.connect(oldKeyNode.member.address)).isOk()).to.equal(true);
	});

	it('closes a connection on which nothing is received', async () => {
		const a = await startNode('a', ['shared-key']);
		const target = a.member.address.split(':');
		let isSilent = false;
		server = createServer(clientSocket => {
			const upstreamSocket = connect({host: target[0], port: Number(target[1])});
			clientSocket.on('data', chunk => isSilent || upstreamSocket.write(chunk));
			upstreamSocket.on('data', chunk => isSilent || clientSocket.write(chunk));
			clientSocket.on('error', () => undefined);
			upstreamSocket.on('error', () => undefined);
		});
		await new Promise<void>(resolve => {
			server!.listen(0, '127.0.0.1', resolve);
		});
		const b = await startNode('b', ['shared-key']);
		const connection = (await b.connect(`127.0.0.1:${(server.address() as AddressInfo).port}`))._unsafeUnwrap();
		expect((await connection.request('work.resolve', {attempt: 'x', cancel: false})).isOk()).to.equal(true);
		isSilent = true;
		const pending = connection.request('work.resolve', {attempt: 'x', cancel: false});
		await connection.closed;
		expect((await pending)._unsafeUnwrapErr().sent).to.equal(true);
		expect((await connection.request('work.resolve', {attempt: 'x', cancel: false}))._unsafeUnwrapErr().sent).to.equal(false);
	});

	// A process that resumed after a pause closed all its connections before it read what had arrived.
	it('reads what has arrived before it takes a connection for silent', async () => {
		const a = await startNode('a', ['shared-key']);
		const clock = new JumpingClock();
		const b = new PeerNode({
			clock, random: new Random(1), timing, keys: ['shared-key'], member: {
				instance: 'b', roles: [], availabilityZone: 'z', address: '', incarnation: 'b-1',
			},
		});
		nodes.push(b);
		const connection = (await b.connect(a.member.address))._unsafeUnwrap();
		const accepted = await waitForConnection(a);
		accepted.notify('work.cancel', {attempt: 'x'});
		// The frame is sent in this turn of the event loop, right before the clock of the other node jumps.
		await new Promise<void>(resolve => {
			setImmediate(() => {
				clock.jump(timing.silenceMs * 10);
				resolve();
			});
		});
		await clock.waitForSleeper();
		expect(connection.isOpen).to.equal(true);
		clock.jump(timing.silenceMs * 10);
		await connection.closed;
	});

	it('accepts connections after invalid data on its listener', async () => {
		const a = await startNode('a', ['shared-key']);
		const [host, port] = a.member.address.split(':');
		const socket = connect({host, port: Number(port)});
		socket.on('error', () => undefined);
		socket.write('GET / HTTP/1.1\r\n\r\n');
		await new Promise<void>(resolve => {
			socket.on('close', () => {
				resolve();
			});
		});
		const b = await startNode('b', ['shared-key']);
		expect((await b.connect(a.member.address)).isOk()).to.equal(true);
	});

	it('refuses to listen on an address that is in use', async () => {
		const a = await startNode('a', ['shared-key']);
		const second = createNode('a', ['shared-key']);
		const [host, port] = a.member.address.split(':');
		const result = await second.listen({host: host!, port: Number(port)});
		expect(result._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_PEER_LISTEN');
	});
});

describe('frame codec', () => {
	it('decodes frames that arrive in parts and rejects one that is too long', () => {
		const decoder = new FrameDecoder(1000);
		const bytes = encodeFrame({text: 'plaza'});
		const messages = [...bytes].flatMap(byte => decoder.decode(Buffer.from([byte])));
		expect(messages).to.deep.equal([{text: 'plaza'}]);
		expect(() => decoder.decode(encodeFrame('x'.repeat(2000)))).to.throw('over the limit');
	});
});
