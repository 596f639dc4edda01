/**
 * The peer interface of a process. It listens for other processes, connects to them, and maintains persistent links to given
 * addresses, reconnecting with back-off and jitter. All connections share one table of method handlers.
 */
import {
	connect, createServer, type Server, type Socket, type TcpNetConnectOpts,
} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import {computeBackoff, type Random} from '@hickorytrack/random';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {ByteAccount} from '@hickorytrack/byte-account';
import type {AccountPart} from '@hickorytrack/byte-account/account-part';
import {parseSocketAddress, splitAddress} from '@hickorytrack/socket-address';
import {parsePeerMember} from '@hickorytrack/types/parse-peer-member';
import type {PeerMember, PeerMethodName} from '@hickorytrack/types/peer-methods';
import {encodeFrame} from './frame-codec.js';
import {HandshakeReader} from './handshake-reader.js';
import {
	computeProof, createNonce, findMatchingKey, protocolVersion, type HelloMessage, type ProofMessage, type ReadyMessage, type WelcomeMessage,
} from './handshake.js';
import {LinkBytes} from './link-bytes.js';
import {PendingSockets} from './pending-sockets.js';
import {
	PeerConnection, PeerLinkError, type PeerHandler, type PeerTiming, type PeerTraffic, type UnusableMessage,
} from './peer-connection.js';

const handshakeTimeoutMs = 2000;
const reconnectBaseMs = 50;
const defaultReconnectCapMs = 1500;
const wildcardHost = '0.0.0.0';
/** Account of a process that passes none: its part for links has room for the longest frame. */
const defaultAccountBytes = 256 * 1024 * 1024;

/** A connection that was closed because of what the other side did. */
export type LinkRefusal = {
	address: string;
	/** Only if the other side has proved the key. */
	instance?: string;
	reason: string;
};

export type PeerNodeOptions = {
	clock: Clock;
	random: Random;
	timing: PeerTiming;
	/** Shared keys, of which two processes need one in common; the first is preferred. */
	keys: readonly string[];
	/** Identity of this process as sent to others; `listen` sets its address. */
	member: PeerMember;
	/** Address sent to other processes, if it differs from the listen address. */
	advertise?: string;
	/** Part of the process's account that bounds what all connections hold. */
	part?: AccountPart;
	onRefused?: (refusal: LinkRefusal) => void;
	/** Called for a message, or an element of one, that can't be used. */
	onUnusable?: (unusable: UnusableMessage & {instance: string}) => void;
	/** Called for each message that is written on any connection, with its size. */
	onSent?: (bytes: number) => void;
	/** Owner of the tasks and listeners of all connections; without it, their errors are printed as warnings. */
	tasks?: BackgroundTasks;
	/** Opens a socket; only tests replace it. */
	openSocket?: (options: TcpNetConnectOpts) => Socket;
};

export type PeerAddress = {
	host: string;
	port: number;
};

export function parseAddress(text: string): PeerAddress {
	const split = text.lastIndexOf(':');
	return {host: text.slice(0, split), port: Number(text.slice(split + 1))};
}

/** A link that reconnects automatically until it is stopped. */
export type PersistentLink = {
	readonly address: string;
	readonly connection: PeerConnection | undefined;
	stop(): void;
};

export type PersistentLinkOptions = {
	/** Longest pause between two attempts to connect, in milliseconds; 1,500 if it is not set. */
	reconnectCapMs?: number;
	/**
	 * Time after which an attempt to connect is given up, in milliseconds; 2,000 if it is not set. An opening packet to a
	 * machine that is not up yet is lost, and the operating system sends it again only after a second.
	 */
	connectTimeoutMs?: number;
	/** Runs for each new connection; if it fails, the connection is closed and a new one is opened. */
	onConnected?: (connection: PeerConnection) => Promise<void> | void;
	/** Runs after each failed attempt; `refused` is true if the other machine refused the connection. */
	onFailed?: (refused: boolean) => void;
};

export class PeerNode {
	readonly member: PeerMember;
	/** Bytes sent and received on all connections since the process started. */
	readonly traffic: PeerTraffic = {sentBytes: 0, receivedBytes: 0};
	readonly #opts: PeerNodeOptions;
	readonly #handlers = new Map<PeerMethodName, PeerHandler<PeerMethodName>>();
	readonly #connections = new Set<PeerConnection>();
	readonly #links = new Set<PersistentLink>();
	readonly #bytes: LinkBytes;
	readonly #tasks: BackgroundTasks;
	readonly #reportRefused: (refusal: LinkRefusal) => void;
	readonly #reportUnusable: (unusable: UnusableMessage & {instance: string}) => void;
	readonly #pending = new PendingSockets(address => {
		this.#reportRefused({address, reason: 'too many connections without a proof of the key'});
	});

	#server: Server | undefined;
	#stopped = false;
	#localHost: string | undefined;

	constructor(opts: PeerNodeOptions) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
		this.#reportRefused = this.#tasks.createListener('link-refused', opts.onRefused ?? (() => undefined));
		this.#reportUnusable = this.#tasks.createListener('link-unusable', opts.onUnusable ?? (() => undefined));
		this.member = {...opts.member};
		this.#bytes = new LinkBytes(opts.part ?? new ByteAccount(defaultAccountBytes).getPart('links'), this.#connections);
	}

	get connections(): ReadonlySet<PeerConnection> {
		return this.#connections;
	}

	/** Number of connections to this process that have not proved the key. */
	get pendingCount(): number {
		return this.#pending.size;
	}

	/** Bytes of incomplete frames and of frames that wait for peers to read; short ones are not counted. */
	get heldBytes(): number {
		return [...this.#connections].reduce((sum, connection) => sum + connection.heldBytes, 0);
	}

	/** Registers the handler of a method. Must be called before the first connection is opened. */
	handle<M extends PeerMethodName>(method: M, handler: PeerHandler<M>): void {
		this.#handlers.set(method, handler as unknown as PeerHandler<PeerMethodName>);
	}

	/** Listens for other processes. The bind is exclusive, so that an address can identify an agent's slot. */
	async listen(address: PeerAddress): Promise<Result<void, HickorytrackError>> {
		const server = createServer(this.#tasks.createListener('accept-link', async (socket: Socket) => this.#accept(socket)));
		this.#server = server;
		return new Promise(resolve => {
			server.once('error', error => {
				resolve(err(new HickorytrackError('ERR_HICKORYTRACK_PEER_LISTEN', `Can't listen on ${address.host}:${address.port}: ${error.message}`, {
					cause: error, hint: 'Another process may use this address; stop it or choose another address.',
				})));
			});
			server.listen({host: address.host, port: address.port, exclusive: true}, () => {
				// It may fail to accept a connection, for lack of descriptors, and goes on.
				server.on('error', error => {
					this.#tasks.report('accept-link', error);
				});
				const bound = server.address();
				this.#localHost = address.host === wildcardHost ? undefined : address.host;
				if (this.#opts.advertise !== undefined) {
					this.member.address = this.#opts.advertise;
				} else if (bound && typeof bound === 'object') {
					this.member.address = `${address.host}:${bound.port}`;
				}

				resolve(ok(undefined));
			});
		});
	}

	/** Opens one connection, without reconnecting. */
	async connect(address: string, opts: Pick<PersistentLinkOptions, 'connectTimeoutMs'> = {}): Promise<Result<PeerConnection, PeerLinkError>> {
		const socketAddress = parseSocketAddress(address);
		if (!socketAddress) {
			return err(new PeerLinkError('ERR_HICKORYTRACK_PEER_ADDRESS', `"${address}" is not an address to which a connection can be opened`, {sent: false}));
		}

		const {host, port} = splitAddress(socketAddress);
		const {clock, openSocket = connect} = this.#opts;
		// Connects from the address that this process listens on, so that both processes identify it by the same host.
		const socket = openSocket({
			host, port, noDelay: true, localAddress: this.#localHost,
		});
		const cancelConnectTimer = clock.startTimer(opts.connectTimeoutMs ?? handshakeTimeoutMs, () => {
			// If this process was paused, the connection may be open already; that is known after the next poll for events.
			setImmediate(() => {
				if (socket.connecting) {
					socket.destroy(new Error('the other machine did not respond'));
				}
			});
		});
		const failure = new Promise<Result<PeerConnection, PeerLinkError>>(resolve => {
			socket.once('error', error => {
				const refused = 'code' in error && error.code === 'ECONNREFUSED';
				resolve(err(new PeerLinkError(refused ? 'ERR_HICKORYTRACK_PEER_REFUSED' : 'ERR_HICKORYTRACK_PEER_CLOSED', `Can't reach ${address}: ${error.message}`, {sent: false, cause: error})));
			});
		});
		const attempt = Promise.race([failure, this.#runClientHandshake(socket, address)]);
		const result = await waitWithTimeout(attempt, handshakeTimeoutMs, clock);
		cancelConnectTimer();
		if (!result || result.isErr()) {
			socket.destroy();
		}

		return result ?? err(new PeerLinkError('ERR_HICKORYTRACK_PEER_TIMEOUT', `${address} did not complete the handshake before the timeout`, {sent: false}));
	}

	/** Opens a persistent link to the address. One task connects and reconnects until the link is stopped. */
	openLink(address: string, opts: PersistentLinkOptions = {}): PersistentLink {
		const abortController = new AbortController();
		let current: PeerConnection | undefined;
		const link: PersistentLink = {
			address,
			get connection() {
				return current?.isOpen ? current : undefined;
			},
			stop: () => {
				abortController.abort();
				current?.close();
				this.#links.delete(link);
			},
		};
		this.#links.add(link);
		const runReconnectLoop = async () => {
			let failures = 0;
			while (!abortController.signal.aborted && !this.#stopped) {
				const result = await this.connect(address, opts);
				if (abortController.signal.aborted) {
					if (result.isOk()) {
						result.value.close();
					}

					return;
				}

				if (result.isOk()) {
					current = result.value;
					failures = await this.#runConnection(current, opts) ? 0 : failures + 1;
					current = undefined;
				} else {
					failures++;
					opts.onFailed?.(result.error.code === 'ERR_HICKORYTRACK_PEER_REFUSED');
				}

				await this.#opts.clock.sleep(computeBackoff(failures, {baseMs: reconnectBaseMs, capMs: opts.reconnectCapMs ?? defaultReconnectCapMs, random: this.#opts.random}), abortController.signal);
			}
		};

		this.#tasks.startUntil(abortController.signal, {task: 'link', clock: this.#opts.clock}, runReconnectLoop);
		return link;
	}

	/** Stops listening and closes every connection. */
	async stop(): Promise<void> {
		this.#stopped = true;
		for (const link of this.#links) {
			link.stop();
		}

		for (const connection of this.#connections) {
			connection.close();
		}

		await new Promise<void>(resolve => {
			if (this.#server?.listening) {
				this.#server.close(() => {
					resolve();
				});
			} else {
				resolve();
			}
		});
	}

	async #runConnection(connection: PeerConnection, opts: PersistentLinkOptions): Promise<boolean> {
		try {
			await opts.onConnected?.(connection);
		} catch (error) {
			connection.close();
			if (!(error instanceof PeerLinkError)) {
				this.#tasks.report('link-connected', error);
			}

			return false;
		}

		await connection.closed;
		return true;
	}

	async #runClientHandshake(socket: Socket, address: string): Promise<Result<PeerConnection, PeerLinkError>> {
		const reader = new HandshakeReader(socket);
		const fail = (message: string, cause?: unknown) => err(new PeerLinkError('ERR_HICKORYTRACK_PEER_HANDSHAKE', `${address}: ${message}`, {sent: false, cause}));
		try {
			const hello: HelloMessage = {protocol: protocolVersion, member: this.member, nonce: createNonce()};
			socket.write(encodeFrame(hello));
			const welcome = await reader.read() as WelcomeMessage;
			if (welcome.protocol !== protocolVersion) {
				return fail(`uses protocol version ${String(welcome.protocol)}, this process uses version ${protocolVersion}`);
			}

			const key = findMatchingKey(this.#opts.keys, welcome.proofs, {direction: 'accepting', hello, welcome});
			if (key === undefined) {
				return fail('shares no peer key with this process');
			}

			reader.raiseLimit();
			socket.write(encodeFrame({proof: computeProof(key, {direction: 'connecting', hello, welcome})} satisfies ProofMessage));
			const ready = await reader.read() as ReadyMessage;
			return ready.ready ? ok(this.#createConnection(socket, parsePeerMember(welcome.member), reader)) : fail('rejected the proof of this process');
		} catch (error) {
			return fail('the handshake failed', error);
		}
	}

	async #accept(socket: Socket): Promise<void> {
		socket.setNoDelay(true);
		const address = socket.remoteAddress ?? '';
		const reader = new HandshakeReader(socket);
		this.#pending.add(socket, address);
		const refuse = (reason: string) => {
			// A connection that had to go for others has been reported already, and one that the other side closed is no refusal.
			if (!socket.destroyed) {
				this.#reportRefused({address, reason});
				socket.destroy();
			}
		};

		const timeout = new AbortController();
		this.#tasks.start('handshake-timeout', async () => {
			await this.#opts.clock.sleep(handshakeTimeoutMs, timeout.signal);
			if (!timeout.signal.aborted) {
				refuse('no proof of the key in time');
			}
		});
		try {
			const hello = await reader.read() as HelloMessage;
			const subject = {hello, welcome: {member: this.member, nonce: createNonce()}};
			const proofs = this.#opts.keys.map(key => computeProof(key, {direction: 'accepting', ...subject}));
			socket.write(encodeFrame({protocol: protocolVersion, ...subject.welcome, proofs} satisfies WelcomeMessage));
			const answer = await reader.read() as ProofMessage;
			const key = findMatchingKey(this.#opts.keys, [answer.proof], {direction: 'connecting', ...subject});
			if (key === undefined || hello.protocol !== protocolVersion || this.#stopped) {
				refuse(key === undefined ? 'no shared key' : 'another protocol version, or this process stops');
				return;
			}

			reader.raiseLimit();
			socket.write(encodeFrame({ready: true} satisfies ReadyMessage));
			this.#createConnection(socket, parsePeerMember(hello.member), reader);
		} catch (error) {
			refuse(describeError(error));
		} finally {
			this.#pending.remove(socket);
			timeout.abort();
		}
	}

	#createConnection(socket: Socket, remote: PeerMember, reader: HandshakeReader): PeerConnection {
		const bufferedMessages = reader.release();
		const connection = new PeerConnection(socket, {
			clock: this.#opts.clock, timing: this.#opts.timing, remote, handlers: this.#handlers, bufferedMessages, decoder: reader.decoder, traffic: this.traffic, onSent: this.#opts.onSent, bytes: this.#bytes, tasks: this.#tasks, onRefused: reason => {
				this.#reportRefused({address: socket.remoteAddress ?? remote.address, instance: remote.instance, reason});
			}, onUnusable: unusable => {
				this.#reportUnusable({...unusable, instance: remote.instance});
			},
		});
		this.#connections.add(connection);
		this.#tasks.start('link-closed', async () => {
			await connection.closed;
			this.#connections.delete(connection);
		});
		return connection;
	}
}
