/**
 * Keep-alive connections to servers, with one request at a time on each. The most recently used connection is used
 * first, which keeps the number of open connections low. A request that must not run twice uses only a connection that
 * has completed a response recently, or a new one: on a connection that was lost without a close it would be unknown
 * whether the request ran. Some servers drop idle connections without closing them and reset them at the next request.
 * From each such reset this class estimates how long connections to that server stay usable. A server that answers twice
 * sends the second answer when the next request is already on its way; such a server gets each request on a new connection
 * for a while.
 */
import {buildConnector, Client, errors} from 'undici';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {ByteBound} from '@hickorytrack/http-answer/byte-budget';
import {ConnectionWatch} from '@hickorytrack/http-answer/connection-watch';

/** One start of a server. A connection carries requests to a single one, so that its answers come from that one. */
export type Recipient = {readonly id: string; readonly startedAt: number};

export type ServerConnection = {
	readonly client: Client;
	readonly recipient: Recipient | undefined;
	/** Monotonic time of the last complete response on this connection; -Infinity before the first one and after a disconnect. */
	lastResponseAt: number;
	/** Idle time of the connection before its current request; undefined for its first request. */
	idleMsBefore?: number;
	/** Complete exchanges since the connection was opened. */
	exchanges: number;
	/** Id that the last answer on this connection bore. */
	lastAnswerId?: string;
	isBusy: boolean;
	isClosed: boolean;
	readonly watch: ConnectionWatch;
};

export type ServerConnectionsOptions = {
	clock: Clock;
	/** Timeout for opening a connection, in milliseconds. */
	connectTimeoutMs: number;
	/** Bounds what the heads of all answers cost together while they are read. */
	headBound?: ByteBound;
	/** Without it, errors of tasks and listeners are printed as warnings. */
	tasks?: BackgroundTasks;
};

/** A connection counts as verified for this time after a complete response. Opening a new one takes one or two milliseconds. */
const verifiedMs = 500;
/** After a reset, connections are reused only up to this fraction of the idle time of the connection that was lost. */
const idleLimitFactor = 0.5;
/** An idle limit learned from a reset expires after this time. */
const idleLimitTtlMs = 60_000;
/** Idle connections are closed after this time unless the server specifies a shorter one. */
const keepAliveTimeoutMs = 8000;
/** Time after a late answer during which connections to that server carry one request each. */
const lateAnswerTtlMs = 60_000;
/** A reset after a shorter idle time is not attributed to the idle time. */
const minIdleMs = 50;
const maxHeaderBytes = 65_536;

export class ServerConnections {
	readonly #opts: ServerConnectionsOptions;
	readonly #tasks: BackgroundTasks;
	readonly #byAddress = new Map<SocketAddress, ServerConnection[]>();
	/** Idle time up to which connections are reused, for each address with a recent reset after an idle period. */
	readonly #idleLimits = new Map<SocketAddress, {maxIdleMs: number; expiresAt: number}>();
	/** Time until which connections carry one request each, for each address with a recent late answer. */
	readonly #singleUseUntil = new Map<SocketAddress, number>();

	constructor(opts: ServerConnectionsOptions) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
	}

	/**
	 * Returns an idle connection, or a new one while there are fewer than `limit`; undefined when all are busy. A request whose
	 * answer bears no id gets a new one, and so does one whose answer would bear the id of the last answer. Idle connections to
	 * an earlier start of the server, or to another server at the address, are closed. Throws an error, and keeps nothing, if no
	 * connection can be opened to the address.
	 */
	acquire(address: SocketAddress, opts: {limit: number; needsVerifiedConnection: boolean; answerId: string | undefined; recipient?: Recipient}): ServerConnection | undefined {
		if (opts.recipient) {
			this.#closeIdleOfOthers(address, opts.recipient);
		}

		const connections = this.#byAddress.get(address) ?? [];
		const maxIdleMs = Math.min(opts.needsVerifiedConnection ? verifiedMs : Number.POSITIVE_INFINITY, this.#getMaxIdleMs(address));
		const canReuse = opts.answerId !== undefined && !this.#isSingleUse(address);
		const idle = canReuse ? connections.findLast(connection => !connection.isBusy && this.#getIdleMs(connection) <= maxIdleMs && connection.lastAnswerId !== opts.answerId) : undefined;
		if (idle) {
			idle.isBusy = true;
			// A client that has seen its connection close opens a new one, which has not been idle.
			idle.idleMsBefore = Number.isFinite(idle.lastResponseAt) ? this.#getIdleMs(idle) : undefined;
			this.#moveToEnd(connections, idle);
			return idle;
		}

		if (connections.length >= opts.limit && !this.#closeOneIdle(connections)) {
			return undefined;
		}

		if (connections.length === 0) {
			this.#byAddress.delete(address);
		}

		const opened = this.#open(address, opts.recipient);
		connections.push(opened);
		this.#byAddress.set(address, connections);
		return opened;
	}

	/** Makes a connection available again after a complete response. */
	release(address: SocketAddress, connection: ServerConnection, answerId: string): void {
		if (this.#isSingleUse(address)) {
			this.discard(address, connection);
			return;
		}

		connection.lastResponseAt = this.#opts.clock.monotonic();
		connection.exchanges++;
		connection.lastAnswerId = answerId;
		connection.isBusy = false;
	}

	/** Returns whether a failed connection was lost while it was idle, and if so lowers the idle limit of the address. */
	recordFailure(address: SocketAddress, connection: ServerConnection): boolean {
		const {idleMsBefore} = connection;
		if (idleMsBefore === undefined || idleMsBefore < minIdleMs) {
			return false;
		}

		const maxIdleMs = Math.min(this.#getMaxIdleMs(address), idleMsBefore * idleLimitFactor);
		this.#removeExpired();
		this.#idleLimits.set(address, {maxIdleMs, expiresAt: this.#opts.clock.monotonic() + idleLimitTtlMs});
		return true;
	}

	/** Records that an answer to an earlier request, or bytes behind it, were read where the answer to the next one was due. */
	recordLateAnswer(address: SocketAddress): void {
		this.#removeExpired();
		this.#singleUseUntil.set(address, this.#opts.clock.monotonic() + lateAnswerTtlMs);
		this.closeIdle(address);
	}

	/** Closes a connection whose state is unknown. */
	discard(address: SocketAddress, connection: ServerConnection): void {
		connection.isClosed = true;
		const connections = this.#byAddress.get(address);
		const index = connections?.indexOf(connection) ?? -1;
		if (index >= 0) {
			connections!.splice(index, 1);
			if (connections!.length === 0) {
				this.#byAddress.delete(address);
			}
		}

		this.#close(connection);
	}

	countBusy(address: SocketAddress): number {
		return this.#byAddress.get(address)?.filter(connection => connection.isBusy).length ?? 0;
	}

	/** Closes the idle connections to a server that has left. */
	closeIdle(address: SocketAddress): void {
		const idle = this.#byAddress.get(address)?.filter(connection => !connection.isBusy) ?? [];
		for (const connection of idle) {
			this.discard(address, connection);
		}

		if (this.#byAddress.get(address)?.length === 0) {
			this.#byAddress.delete(address);
		}
	}

	close(): void {
		for (const [address, connections] of this.#byAddress) {
			while (connections.length > 0) {
				this.discard(address, connections[0]!);
			}
		}
	}

	/** Number of addresses of which something is kept. */
	get addresses(): number {
		return new Set([...this.#byAddress.keys(), ...this.#idleLimits.keys(), ...this.#singleUseUntil.keys()]).size;
	}

	/** Addresses may never be used again. */
	#removeExpired(): void {
		for (const address of this.#idleLimits.keys()) {
			this.#getMaxIdleMs(address);
		}

		for (const address of this.#singleUseUntil.keys()) {
			this.#isSingleUse(address);
		}
	}

	#isSingleUse(address: SocketAddress): boolean {
		const until = this.#singleUseUntil.get(address);
		if (until !== undefined && until < this.#opts.clock.monotonic()) {
			this.#singleUseUntil.delete(address);
			return false;
		}

		return until !== undefined;
	}

	#getIdleMs(connection: ServerConnection): number {
		return this.#opts.clock.monotonic() - connection.lastResponseAt;
	}

	#getMaxIdleMs(address: SocketAddress): number {
		const idleLimit = this.#idleLimits.get(address);
		if (idleLimit && idleLimit.expiresAt < this.#opts.clock.monotonic()) {
			this.#idleLimits.delete(address);
			return Number.POSITIVE_INFINITY;
		}

		return idleLimit?.maxIdleMs ?? Number.POSITIVE_INFINITY;
	}

	#moveToEnd(connections: ServerConnection[], connection: ServerConnection): void {
		connections.splice(connections.indexOf(connection), 1);
		connections.push(connection);
	}

	#closeOneIdle(connections: ServerConnection[]): boolean {
		const idle = connections.find(connection => !connection.isBusy);
		if (idle) {
			connections.splice(connections.indexOf(idle), 1);
			idle.isClosed = true;
			this.#close(idle);
		}

		return idle !== undefined;
	}

	#close({client}: ServerConnection): void {
		this.#tasks.start('close-server-connection', async () => client.destroy());
	}

	#closeIdleOfOthers(address: SocketAddress, {id, startedAt}: Recipient): void {
		const others = this.#byAddress.get(address)?.filter(({isBusy, recipient}) => !isBusy && (recipient?.id !== id || recipient.startedAt !== startedAt)) ?? [];
		for (const connection of others) {
			this.discard(address, connection);
		}
	}

	#open(address: SocketAddress, recipient: Recipient | undefined): ServerConnection {
		const {clock, connectTimeoutMs} = this.#opts;
		const connect = buildConnector({timeout: connectTimeoutMs});
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveTimeoutMs,
			maxHeaderSize: maxHeaderBytes,
			connect(options, callback) {
				let hasEnded = false;
				// The timers of the HTTP client are late by up to half a second; its own timeout closes the socket.
				const cancelTimer = clock.startTimer(connectTimeoutMs, () => {
					hasEnded = true;
					callback(new errors.ConnectTimeoutError(`No connection within ${connectTimeoutMs} ms`), null);
				});
				connect(options, (...[error, socket]) => {
					cancelTimer();
					if (hasEnded) {
						socket?.destroy();
					} else if (error) {
						callback(error, null);
					} else {
						connection.watch.watch(socket);
						callback(null, socket);
					}
				});
			},
		});
		const connection: ServerConnection = {
			client, recipient, lastResponseAt: Number.NEGATIVE_INFINITY, exchanges: 0, isBusy: true, isClosed: false, watch: new ConnectionWatch(this.#opts.headBound),
		};
		client.on('disconnect', () => {
			// After an automatic reconnect, no response has been completed on the new connection.
			connection.lastResponseAt = Number.NEGATIVE_INFINITY;
			connection.exchanges = 0;
		});
		return connection;
	}
}
