/**
 * One authenticated connection to another process. Messages are JSON-RPC 2.0 in frames. Each side sends a heartbeat when
 * it has sent nothing else for an interval, and closes the connection once nothing at all has arrived for the silence
 * limit: something between the two ends may have lost track of the connection.
 */
import type {Socket} from 'node:net';
import {
	JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient, type JSONRPCParams,
} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import {HickorytrackError, describeError, type ErrorCode} from '@hickorytrack/errors';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {PeerMember, PeerMethodName, PeerMethods} from '@hickorytrack/types/peer-methods';
import {encodeFrame, type FrameDecoder} from './frame-codec.js';

export type PeerTiming = {
	heartbeatMs: number;
	/** A connection on which nothing arrives for this long is closed. */
	silenceMs: number;
	requestTimeoutMs: number;
};

export const defaultPeerTiming: PeerTiming = {heartbeatMs: 500, silenceMs: 2000, requestTimeoutMs: 3000};

/** Bytes that may wait in a connection's write buffer before the peer counts as stalled. */
const maximumWriteBacklogBytes = 32 * 1024 * 1024;

export class PeerLinkError extends HickorytrackError {
	/** False when the request certainly never left this process. */
	readonly sent: boolean;

	constructor(code: ErrorCode, message: string, opts: {sent: boolean; cause?: unknown}) {
		super(code, message, {cause: opts.cause, hint: 'Check that the other process is alive and that both hold the same peer key.'});
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
	handlers: ReadonlyMap<string, PeerHandler<PeerMethodName>>;
	/** Bytes that arrived behind the handshake. */
	bufferedMessages: unknown[];
	/** Counts the bytes of all connections of the process. */
	traffic: PeerTraffic;
	decoder: FrameDecoder;
};

type HeartbeatFrame = {
	heartbeat: true;
};

const isHeartbeat = (message: unknown): message is HeartbeatFrame => typeof message === 'object' && message !== null && 'heartbeat' in message;

export class PeerConnection {
	readonly remote: PeerMember;
	/** Resolves when the connection has closed, for whatever reason. */
	readonly closed: Promise<void>;
	readonly #socket: Socket;
	readonly #clock: Clock;
	readonly #timing: PeerTiming;
	readonly #traffic: PeerTraffic;
	readonly #rpc: JSONRPCServerAndClient;
	readonly #ended = new AbortController();
	#lastReceived: number;
	#lastSent: number;
	#corked = false;

	constructor(socket: Socket, opts: PeerConnectionOptions) {
		this.#socket = socket;
		this.#clock = opts.clock;
		this.#timing = opts.timing;
		this.#traffic = opts.traffic;
		this.remote = opts.remote;
		this.#lastReceived = opts.clock.monotonic();
		this.#lastSent = this.#lastReceived;
		this.#rpc = this.#createRpc(opts.handlers);
		this.closed = new Promise(resolve => {
			this.#ended.signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		this.#listen(opts);
		void this.#keepAlive();
	}

	get isOpen(): boolean {
		return !this.#ended.signal.aborted;
	}

	/** Calls a method of the other process. The error says whether the request can have been seen by it. */
	async request<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params'], opts: {timeoutMs?: number} = {}): Promise<Result<PeerMethods[M]['result'], PeerLinkError>> {
		if (!this.isOpen) {
			return err(new PeerLinkError('ERR_HICKORYTRACK_PEER_CLOSED', `No connection to ${this.remote.instance}`, {sent: false}));
		}

		const call = Promise.resolve(this.#rpc.request(method, params as JSONRPCParams))
			.then(value => ok<PeerMethods[M]['result'], PeerLinkError>((value ?? undefined) as PeerMethods[M]['result']))
			.catch((error: unknown) => err<PeerMethods[M]['result'], PeerLinkError>(this.#convertError(method, error)));
		const reply = await waitWithTimeout(call, opts.timeoutMs ?? this.#timing.requestTimeoutMs, this.#clock);
		return reply ?? err(new PeerLinkError('ERR_HICKORYTRACK_PEER_TIMEOUT', `${this.remote.instance} did not answer ${method} in time`, {sent: true}));
	}

	/** Sends a notification; it is lost silently when the connection is gone. */
	notify<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params']): void {
		if (this.isOpen) {
			this.#rpc.notify(method, params as JSONRPCParams);
		}
	}

	close(): void {
		this.#finish();
	}

	#createRpc(handlers: ReadonlyMap<string, PeerHandler<PeerMethodName>>): JSONRPCServerAndClient {
		const server = new JSONRPCServer({
			errorListener() {
			// The error goes back to the caller, who decides whether it is worth an event.
			},
		});
		for (const [method, handler] of handlers) {
			server.addMethod(method, async params => (await handler(params as PeerMethods[PeerMethodName]['params'], this)) ?? null);
		}

		const client = new JSONRPCClient(payload => {
			this.#write(payload);
		});
		return new JSONRPCServerAndClient(server, client);
	}

	#convertError(method: string, error: unknown): PeerLinkError {
		if (!this.isOpen) {
			return new PeerLinkError('ERR_HICKORYTRACK_PEER_CLOSED', `The connection to ${this.remote.instance} closed during ${method}`, {sent: true, cause: error});
		}

		return new PeerLinkError('ERR_HICKORYTRACK_PEER_METHOD', `${this.remote.instance} failed ${method}: ${describeError(error)}`, {sent: true, cause: error});
	}

	#listen(opts: PeerConnectionOptions): void {
		this.#socket.on('data', chunk => {
			this.#lastReceived = this.#clock.monotonic();
			this.#traffic.receivedBytes += chunk.length;
			try {
				for (const message of opts.decoder.decode(chunk)) {
					this.#dispatch(message);
				}
			} catch {
				this.#finish();
			}
		});
		this.#socket.on('error', () => {
			this.#finish();
		});
		this.#socket.on('close', () => {
			this.#finish();
		});
		for (const message of opts.bufferedMessages) {
			this.#dispatch(message);
		}

		if (this.#socket.destroyed) {
			this.#finish();
		}
	}

	#dispatch(message: unknown): void {
		if (!isHeartbeat(message)) {
			this.#rpc.receiveAndSend(message, undefined, undefined).catch(() => {
				// The reply can't be sent any more; the other side learns it from the closed connection.
			});
		}
	}

	#write(message: unknown): void {
		if (!this.isOpen) {
			throw new PeerLinkError('ERR_HICKORYTRACK_PEER_CLOSED', `No connection to ${this.remote.instance}`, {sent: false});
		}

		this.#lastSent = this.#clock.monotonic();
		this.#cork();
		const frame = encodeFrame(message);
		this.#traffic.sentBytes += frame.length;
		this.#socket.write(frame);
		if (this.#socket.writableLength > maximumWriteBacklogBytes) {
			this.#finish();
		}
	}

	/** Joins all frames of one turn of the event loop into one write. */
	#cork(): void {
		if (this.#corked) {
			return;
		}

		this.#corked = true;
		this.#socket.cork();
		setImmediate(() => {
			this.#corked = false;
			this.#socket.uncork();
		});
	}

	async #keepAlive(): Promise<void> {
		while (this.isOpen) {
			await this.#clock.sleep(this.#timing.heartbeatMs, this.#ended.signal);
			const now = this.#clock.monotonic();
			if (now - this.#lastReceived > this.#timing.silenceMs) {
				this.#finish();
				return;
			}

			if (this.isOpen && now - this.#lastSent >= this.#timing.heartbeatMs / 2) {
				this.#write({heartbeat: true} satisfies HeartbeatFrame);
			}
		}
	}

	#finish(): void {
		if (!this.isOpen) {
			return;
		}

		this.#ended.abort();
		this.#socket.destroy();
		this.#rpc.rejectAllPendingRequests('the connection closed');
	}
}
