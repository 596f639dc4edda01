/**
 * Kept connections to servers, one request at a time on each. The most recently used connection is taken first, so that
 * few are open; a request that must not run twice takes only one that has answered a moment ago, or a new one, because a
 * connection that was lost silently would leave it open whether the request ran. Some servers drop idle connections
 * without a word and reset them at the next request; how long theirs last is learned from each such reset.
 */
import {buildConnector, Client} from 'undici';
import type {Clock} from '@hickorytrack/clock';

export type ServerConnection = {
	readonly client: Client;
	/** Monotonic time of the last whole answer on this connection. */
	lastResponseAt: number;
	/** Time for which the connection was idle before its present request; undefined for the first one on it. */
	idleMsBefore?: number;
	isBusy: boolean;
	isClosed: boolean;
	/** The other end has reset the connection, so what arrived on it last may not be whole. */
	isReset: boolean;
};

export type ServerConnectionsOptions = {
	clock: Clock;
	/** Time that an opening connection may take, in milliseconds. */
	connectTimeoutMs: number;
};

/** A connection that answered within this time is believed to work; a new one costs a millisecond or two. */
const provenMs = 500;
/** After a reset, connections are used again only while idle for less than this share of what the lost one was. */
const trustedShare = 0.5;
/** What a reset has taught is forgotten after this time. */
const lessonMs = 60_000;
/** Idle connections are closed after this time unless the server names a shorter one. */
const idleMs = 8000;
/** A reset after a shorter rest says nothing about idle connections. */
const shortestIdleMs = 50;
const maxHeaderBytes = 65_536;

export class ServerConnections {
	readonly #opts: ServerConnectionsOptions;
	readonly #byAddress = new Map<string, ServerConnection[]>();
	/** Idle time up to which connections to a server are trusted, where a reset has taught it. */
	readonly #lessons = new Map<string, {trustedMs: number; until: number}>();

	constructor(opts: ServerConnectionsOptions) {
		this.#opts = opts;
	}

	/** Returns an idle connection, or a new one while there are fewer than `limit`; undefined when all are busy. */
	acquire(address: string, opts: {limit: number; needsVerifiedConnection: boolean}): ServerConnection | undefined {
		const connections = this.#byAddress.get(address) ?? [];
		this.#byAddress.set(address, connections);
		const trustedMs = Math.min(opts.needsVerifiedConnection ? provenMs : Number.POSITIVE_INFINITY, this.#readTrustedMs(address));
		const idle = connections.findLast(connection => !connection.isBusy && this.#readIdleMs(connection) <= trustedMs);
		if (idle) {
			idle.isBusy = true;
			// A client whose connection was seen to close opens a new one, which has not rested.
			idle.idleMsBefore = Number.isFinite(idle.lastResponseAt) ? this.#readIdleMs(idle) : undefined;
			this.#moveToEnd(connections, idle);
			return idle;
		}

		if (connections.length >= opts.limit && !this.#closeOneIdle(connections)) {
			return undefined;
		}

		const fresh = this.#open(address);
		connections.push(fresh);
		return fresh;
	}

	/** Gives a connection back after a whole answer. */
	release(connection: ServerConnection): void {
		connection.lastResponseAt = this.#opts.clock.monotonic();
		connection.isBusy = false;
	}

	/** Tells whether a broken connection was lost while it was idle, and if so remembers how long it had been. */
	recordFailure(address: string, connection: ServerConnection): boolean {
		const {idleMsBefore} = connection;
		if (idleMsBefore === undefined || idleMsBefore < shortestIdleMs) {
			return false;
		}

		const trustedMs = Math.min(this.#readTrustedMs(address), idleMsBefore * trustedShare);
		this.#lessons.set(address, {trustedMs, until: this.#opts.clock.monotonic() + lessonMs});
		return true;
	}

	/** Closes a connection whose state is unknown. */
	discard(address: string, connection: ServerConnection): void {
		connection.isClosed = true;
		const connections = this.#byAddress.get(address);
		const index = connections?.indexOf(connection) ?? -1;
		if (index >= 0) {
			connections!.splice(index, 1);
		}

		void connection.client.destroy();
	}

	countBusy(address: string): number {
		return this.#byAddress.get(address)?.filter(connection => connection.isBusy).length ?? 0;
	}

	/** Closes the idle connections to a server that left. */
	closeIdle(address: string): void {
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

	#readIdleMs(connection: ServerConnection): number {
		return this.#opts.clock.monotonic() - connection.lastResponseAt;
	}

	#readTrustedMs(address: string): number {
		const lesson = this.#lessons.get(address);
		if (lesson && lesson.until < this.#opts.clock.monotonic()) {
			this.#lessons.delete(address);
			return Number.POSITIVE_INFINITY;
		}

		return lesson?.trustedMs ?? Number.POSITIVE_INFINITY;
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
			void idle.client.destroy();
		}

		return idle !== undefined;
	}

	#open(address: string): ServerConnection {
		const connect = buildConnector({timeout: this.#opts.connectTimeoutMs});
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleMs,
			maxHeaderSize: maxHeaderBytes,
			connect(options, callback) {
				connect(options, (...[error, socket]) => {
					// The client takes a body without a length as whole also when a reset ended it; this listener comes first.
					socket?.prependListener('error', () => {
						connection.isReset = true;
					});
					if (error) {
						callback(error, null);
					} else {
						connection.isReset = false;
						callback(null, socket);
					}
				});
			},
		});
		const connection: ServerConnection = {
			client, lastResponseAt: Number.NEGATIVE_INFINITY, isBusy: true, isClosed: false, isReset: false,
		};
		client.on('disconnect', () => {
			// A client that connects again by itself has not been proven.
			connection.lastResponseAt = Number.NEGATIVE_INFINITY;
		});
		return connection;
	}
}
