/**
 * One authenticated connection to another process that carries framed JSON-RPC 2.0 messages. Each side sends a heartbeat
 * when it has sent nothing else for an interval. It closes the connection when nothing has been received for `silenceMs`,
 * because a network device between the two processes may have dropped the connection without notice.
 */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient, type JSONRPCParams,
} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import {HickorytrackError, describeError, type ErrorCode} from '@hickorytrack/errors';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import {parsePeerParams, parsePeerResult} from '@hickorytrack/types/parse-peer-message';
import type {PeerMember, PeerMethodName, PeerMethods} from '@hickorytrack/types/peer-methods';
import {encodeFrame, maximumFrameBytes, type FrameDecoder} from './frame-codec.js';
import type {ByteHolder, LinkBytes} from './link-bytes.js';

export type PeerTiming = {
	heartbeatMs: number;
	/** A connection on which nothing is received for this long is closed. */
	silenceMs: number;
	requestTimeoutMs: number;
};

export const defaultPeerTiming: PeerTiming = {heartbeatMs: 500, silenceMs: 2000, requestTimeoutMs: 3000};

/** A connection whose write buffer exceeds this size is closed, because the peer is considered stalled. */
const maximumWriteBacklogBytes = 32 * 1024 * 1024;
/** Changes of the write buffer below this size are not acquired or released. */
const backlogStepBytes = 65_536;
/** A frame that has not ended after this time closes the connection. */
const frameTimeoutMs = 30_000;

export class PeerLinkError extends HickorytrackError {
	/** False only if the request is known not to have left this process. */
	readonly sent: boolean;

	constructor(code: ErrorCode, message: string, opts: {sent: boolean; cause?: unknown}) {
		super(code, message, {cause: opts.cause, hint: 'Check that the other process is running and that both processes use the same peer key.'});
		this.sent = opts.sent;
	}
}

export type PeerTraffic = {
	sentBytes: number;
	receivedBytes: number;
};

export type PeerHandler<M extends PeerMethodName> = (
	params: PeerMethods[M]['params'],
	connection: PeerConnection,
) => Promise<PeerMethods[M]['result']> | PeerMethods[M]['result'];

export type PeerConnectionOptions = {
	clock: Clock;
	timing: PeerTiming;
	remote: PeerMember;
	handlers: ReadonlyMap<PeerMethodName, PeerHandler<PeerMethodName>>;
	/** Messages that were received together with the handshake and are dispatched first. */
	bufferedMessages: unknown[];
	/** Byte counters shared by all connections of the process. */
	traffic: PeerTraffic;
	/** Called for each message that is written, with its size. */
	onSent?: (bytes: number) => void;
	decoder: FrameDecoder;
	/** Bytes held by all connections of the process. */
	bytes: LinkBytes;
	tasks: BackgroundTasks;
	/** Called when this side closes the connection because of what the other side sent or did not read. */
	onRefused: (reason: string) => void;
	/** Called for a message, or an element of one, that can't be used. */
	onUnusable: (unusable: UnusableMessage) => void;
};

export type UnusableMessage = {method: PeerMethodName; reason: string};

type HeartbeatFrame = {
	heartbeat: true;
};

const isHeartbeat = (message: unknown): message is HeartbeatFrame => typeof message === 'object' && message !== null && 'heartbeat' in message;

export class PeerConnection implements ByteHolder {
	readonly remote: PeerMember;
	/** Resolves when the connection has closed for any reason. */
	readonly closed: Promise<void>;
	readonly #socket: Socket;
	readonly #clock: Clock;
	readonly #timing: PeerTiming;
	readonly #traffic: PeerTraffic;
	readonly #onSent: ((bytes: number) => void) | undefined;
	readonly #rpc: JSONRPCServerAndClient;
	readonly #decoder: FrameDecoder;
	readonly #bytes: LinkBytes;
	readonly #onRefused: (reason: string) => void;
	readonly #onUnusable: (unusable: UnusableMessage) => void;
	readonly #uncork: () => void;
	readonly #abortController = new AbortController();
	/** Acquired bytes of the write buffer. */
	#backlogBytes = 0;
	/** When the frame that is being received can have begun at the earliest. */
	#frameBeganAt: number;
	#lastReceivedAt: number;
	#lastSentAt: number;
	#corked = false;

	constructor(socket: Socket, opts: PeerConnectionOptions) {
		this.#socket = socket;
		this.#clock = opts.clock;
		this.#timing = opts.timing;
		this.#traffic = opts.traffic;
		this.#onSent = opts.onSent;
		this.remote = opts.remote;
		this.#lastReceivedAt = opts.clock.monotonic();
		this.#lastSentAt = this.#lastReceivedAt;
		this.#frameBeganAt = this.#lastReceivedAt;
		this.#decoder = opts.decoder;
		this.#bytes = opts.bytes;
		this.#onRefused = opts.onRefused;
		this.#onUnusable = opts.onUnusable;
		this.#uncork = opts.tasks.createListener('uncork-link', () => {
			this.#corked = false;
			socket.uncork();
		});
		this.#rpc = this.#createRpc(opts.handlers);
		this.closed = new Promise(resolve => {
			this.#abortController.signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		this.#listen(opts);
		opts.tasks.startUntil(this.#abortController.signal, {task: 'link-heartbeats', clock: this.#clock}, async () => this.#runHeartbeats());
	}

	get heldBytes(): number {
		return this.#backlogBytes + this.#decoder.acquiredBytes;
	}

	get isOpen(): boolean {
		return !this.#abortController.signal.aborted;
	}

	/** Calls a method of the other process. The error says whether the request may have been received. */
	async request<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params'], opts: {timeoutMs?: number} = {}): Promise<Result<PeerMethods[M]['result'], PeerLinkError>> {
		if (!this.isOpen) {
			return err(new PeerLinkError('ERR_HICKORYTRACK_PEER_CLOSED', `The connection to ${this.remote.instance} is closed`, {sent: false}));
		}

		const call = Promise.resolve(this.#rpc.request(method, params as JSONRPCParams))
			.then(value => ok<PeerMethods[M]['result'], PeerLinkError>(this.#parse(method, () => parsePeerResult(method, value, this.#reportLeftOut(method)))))
			.catch((error: unknown) => err<PeerMethods[M]['result'], PeerLinkError>(this.#convertError(method, error)));
		const reply = await waitWithTimeout(call, opts.timeoutMs ?? this.#timing.requestTimeoutMs, this.#clock);
		return reply ?? err(new PeerLinkError('ERR_HICKORYTRACK_PEER_TIMEOUT', `${this.remote.instance} did not answer ${method} before the timeout`, {sent: true}));
	}

	/** Sends a notification; it is dropped without an error if the connection is closed. */
	notify<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params']): void {
		if (this.isOpen) {
			this.#rpc.notify(method, params as JSONRPCParams);
		}
	}

	/** A reason says what the other side did wrong. */
	close(reason?: string): void {
		if (reason !== undefined && this.isOpen) {
			this.#onRefused(reason);
		}

		this.#closeSocket();
	}

	#createRpc(handlers: ReadonlyMap<PeerMethodName, PeerHandler<PeerMethodName>>): JSONRPCServerAndClient {
		const server = new JSONRPCServer({
			errorListener() {
				// The error is returned to the caller, which decides whether to log it.
			},
		});
		for (const [method, handler] of handlers) {
			server.addMethod(method, async params => (await handler(this.#parse(method, () => parsePeerParams(method, params, this.#reportLeftOut(method))), this)) ?? null);
		}

		const client = new JSONRPCClient(payload => {
			this.#write(payload);
		});
		return new JSONRPCServerAndClient(server, client);
	}

	/** Reports what the other side has sent that can't be used. */
	#parse<T>(method: PeerMethodName, parse: () => T): T {
		try {
			return parse();
		} catch (error) {
			this.#onUnusable({method, reason: describeError(error)});
			throw error;
		}
	}

	#reportLeftOut(method: PeerMethodName): (error: Error) => void {
		return ({message}) => {
			this.#onUnusable({method, reason: message});
		};
	}

	#convertError(method: string, error: unknown): PeerLinkError {
		if (!this.isOpen) {
			return new PeerLinkError('ERR_HICKORYTRACK_PEER_CLOSED', `The connection to ${this.remote.instance} closed during ${method}`, {sent: true, cause: error});
		}

		return new PeerLinkError('ERR_HICKORYTRACK_PEER_METHOD', `${this.remote.instance} failed ${method}: ${describeError(error)}`, {sent: true, cause: error});
	}

	#listen({tasks, bufferedMessages}: PeerConnectionOptions): void {
		this.#decoder.setLimit(Math.min(maximumFrameBytes, this.#bytes.limit), {
			acquire: bytes => this.#bytes.acquire(bytes, this),
			release: bytes => {
				this.#bytes.release(bytes);
			},
		});
		this.#socket.on('drain', tasks.createListener('link-drain', () => {
			this.#updateBacklog();
		}));
		this.#socket.on('data', tasks.createListener('link-data', (chunk: Buffer) => {
			this.#lastReceivedAt = this.#clock.monotonic();
			this.#traffic.receivedBytes += chunk.length;
			try {
				const messages = this.#decoder.decode(chunk);
				if (messages.length > 0 || !this.#decoder.hasIncompleteFrame) {
					this.#frameBeganAt = this.#lastReceivedAt;
				}

				for (const message of messages) {
					this.#dispatch(message);
				}
			} catch (error) {
				this.close(describeError(error));
			}
		}));
		const closeSocket = tasks.createListener('link-close', () => {
			this.#closeSocket();
		});
		this.#socket.on('error', closeSocket);
		this.#socket.on('close', closeSocket);
		for (const message of bufferedMessages) {
			this.#dispatch(message);
		}

		if (this.#socket.destroyed) {
			this.#closeSocket();
		}
	}

	#dispatch(message: unknown): void {
		if (!isHeartbeat(message)) {
			this.#rpc.receiveAndSend(message, undefined, undefined).catch(() => {
				// The reply can't be sent because the connection has closed; the other side detects the close itself.
			});
		}
	}

	#write(message: unknown): void {
		if (!this.isOpen) {
			throw new PeerLinkError('ERR_HICKORYTRACK_PEER_CLOSED', `The connection to ${this.remote.instance} is closed`, {sent: false});
		}

		this.#lastSentAt = this.#clock.monotonic();
		this.#cork();
		const frame = encodeFrame(message);
		this.#traffic.sentBytes += frame.length;
		this.#onSent?.(frame.length);
		this.#socket.write(frame);
		this.#updateBacklog();
	}

	#updateBacklog(): void {
		const waitingBytes = this.isOpen ? this.#socket.writableLength : 0;
		const change = waitingBytes - this.#backlogBytes;
		if (waitingBytes > maximumWriteBacklogBytes) {
			this.close(`${waitingBytes} bytes wait for it to read`);
		} else if (change > backlogStepBytes) {
			if (this.#bytes.acquire(change, this)) {
				this.#backlogBytes = waitingBytes;
			} else {
				this.close(`no room for ${waitingBytes} bytes that wait for it to read`);
			}
		} else if (this.#backlogBytes > 0 && (change < -backlogStepBytes || waitingBytes === 0)) {
			this.#bytes.release(-change);
			this.#backlogBytes = waitingBytes;
		}
	}

	/** Batches all frames of one event loop turn into one write. */
	#cork(): void {
		if (this.#corked) {
			return;
		}

		this.#corked = true;
		this.#socket.cork();
		setImmediate(this.#uncork);
	}

	async #runHeartbeats(): Promise<void> {
		while (this.isOpen) {
			await this.#clock.sleep(this.#timing.heartbeatMs, this.#abortController.signal);
			if (this.#isSilent && await this.#isSilentAfterPoll()) {
				this.#closeSocket();
				return;
			}

			if (this.#decoder.hasIncompleteFrame && this.#clock.monotonic() - this.#frameBeganAt > frameTimeoutMs) {
				this.close(`a frame did not end within ${frameTimeoutMs} ms`);
				return;
			}

			if (this.isOpen && this.#clock.monotonic() - this.#lastSentAt >= this.#timing.heartbeatMs / 2) {
				this.#write({heartbeat: true} satisfies HeartbeatFrame);
			}
		}
	}

	get #isSilent(): boolean {
		return this.#clock.monotonic() - this.#lastReceivedAt > this.#timing.silenceMs;
	}

	/** If this process was paused, data may have arrived that it has not read; it reads it in the next poll for events. */
	async #isSilentAfterPoll(): Promise<boolean> {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		return this.#isSilent;
	}

	#closeSocket(): void {
		if (!this.isOpen) {
			return;
		}

		this.#abortController.abort();
		this.#socket.destroy();
		this.#decoder.discard();
		this.#updateBacklog();
		this.#rpc.rejectAllPendingRequests('the connection closed');
	}
}
