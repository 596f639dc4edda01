/** The connections of callers: their open requests, when an idle one closes, and who or what ended one. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {onClosed} from '@hickorytrack/lingering-close/on-closed';
import {dropReasons, type DropReason} from './caller-request.js';

export type OpenExchange = {
	incoming: IncomingMessage;
	response: ServerResponse;
	arrivedAt: number;
	/** Ends the work on the request; undefined until it is forwarded. */
	abortController: AbortController | undefined;
	/** The response says that the connection closes after it. */
	closesConnection: boolean;
	/** Time for which the connection stays open after the response, as the response says, in milliseconds. */
	keepAliveMs: number;
	isReported: boolean;
};

/** A connection without an open request. */
type IdleConnection = {
	since: number;
	/** Time for which its last response said that it stays open, in milliseconds. */
	keepAliveMs: number;
};

/** Who or what ended a connection. */
export type ConnectionEnd = DropReason | 'caller';

export type CallerConnectionsOptions = {
	clock: Clock;
	/** Time for which a connection stays open after a response, in milliseconds. */
	getKeepAliveMs: () => number;
	/** Closes a connection so that its caller can read what was written to it. */
	endConnection: (socket: Socket) => void;
	/** Tells whether requests that arrive are refused. */
	isStopped: () => boolean;
	/** Called once for each request that was read whole and whose connection ended without a complete answer. */
	onDropped: (exchange: OpenExchange, reason: DropReason) => void;
};

/** Added by Node.js to the time that a response states. */
const keepAliveBufferMs = 1000;

export class CallerConnections {
	readonly exchanges = new Set<OpenExchange>();
	readonly #opts: CallerConnectionsOptions;
	/** Requests of each connection whose responses are open, in the order of their arrival. */
	readonly #openExchanges = new WeakMap<Socket, Set<OpenExchange>>();
	/** Connections that close after their open responses; no further request of them is read. */
	readonly #closingSockets = new WeakSet<Socket>();
	readonly #connectionEnds = new WeakMap<Socket, ConnectionEnd>();
	readonly #idleConnections = new WeakMap<Socket, IdleConnection>();

	constructor(opts: CallerConnectionsOptions) {
		this.#opts = opts;
	}

	/** True if a request of the connection gets no answer any more; it is not passed on. */
	isClosing(socket: Socket): boolean {
		return socket.writableEnded || this.#closingSockets.has(socket)
			|| [...this.#openExchanges.get(socket) ?? []].some(({response, closesConnection}) => closesConnection && response.headersSent);
	}

	/** Lets the connection close after the response, unless further requests wait behind it: the last response says it then. */
	announceClose(exchange: OpenExchange): void {
		const exchanges = [...this.#openExchanges.get(exchange.incoming.socket) ?? []];
		if (exchanges.at(-1) !== exchange) {
			return;
		}

		for (const earlier of exchanges) {
			if (earlier.closesConnection && !earlier.response.headersSent && earlier.response.shouldKeepAlive) {
				earlier.closesConnection = false;
				earlier.response.setHeader('connection', 'keep-alive');
			}
		}

		exchange.closesConnection = true;
		exchange.response.setHeader('connection', 'close');
	}

	/** Records the request as open until its response is complete or its connection has closed. */
	record(incoming: IncomingMessage, response: ServerResponse): OpenExchange {
		const {socket} = incoming;
		const exchange: OpenExchange = {
			incoming, response, arrivedAt: this.#opts.clock.monotonic(), abortController: undefined, closesConnection: false, keepAliveMs: this.#opts.getKeepAliveMs(), isReported: false,
		};
		const exchanges = this.#openExchanges.get(socket) ?? new Set();
		this.#openExchanges.set(socket, exchanges.add(exchange));
		this.exchanges.add(exchange);
		onClosed(response, () => {
			exchanges.delete(exchange);
			this.exchanges.delete(exchange);
			if (exchanges.size === 0) {
				this.#idleConnections.set(socket, {since: this.#opts.clock.monotonic(), keepAliveMs: exchange.keepAliveMs});
			}

			const end = this.findEnd(exchange);
			if (!response.writableFinished && end !== 'caller') {
				this.reportDropped(exchange, end);
			}
		});
		return exchange;
	}

	/** Resolves when no earlier request of the connection waits for its answer. Such an answer may end the connection. */
	async waitForEarlier(exchange: OpenExchange): Promise<void> {
		for (let earlier = this.#findEarlier(exchange); earlier; earlier = this.#findEarlier(exchange)) {
			const {response} = earlier;
			await new Promise<void>(resolve => {
				onClosed(response, resolve);
			});
		}
	}

	/** Returns the open exchange right before this one; undefined also once this one has ended. */
	#findEarlier(exchange: OpenExchange): OpenExchange | undefined {
		const exchanges = [...this.#openExchanges.get(exchange.incoming.socket) ?? []];
		return exchanges[exchanges.indexOf(exchange) - 1];
	}

	/**
	 * Closes a connection whose idle timer has expired. The timer is that of the limits at the end of the last response; callers
	 * go by what that response said and by the newest limits, so whichever is longer holds.
	 */
	checkIdle(socket: Socket): void {
		if (this.#openExchanges.get(socket)?.size) {
			return;
		}

		const {since, keepAliveMs} = this.#idleConnections.get(socket) ?? {since: Number.NEGATIVE_INFINITY, keepAliveMs: 0};
		const closesAt = since + Math.max(keepAliveMs, this.#opts.getKeepAliveMs()) + keepAliveBufferMs;
		const remainingMs = Math.ceil(closesAt - this.#opts.clock.monotonic());
		if (remainingMs > 0) {
			socket.setTimeout(remainingMs);
			return;
		}

		// A process that has not run for a while finds its timers before the bytes that arrived meanwhile.
		const {bytesRead} = socket;
		setImmediate(() => {
			if (socket.bytesRead === bytesRead) {
				this.#connectionEnds.set(socket, dropReasons.limit);
				this.#opts.endConnection(socket);
			}
		});
	}

	/** The caller has ended the connection, unless this side has done so before. */
	recordCallerEnd(socket: Socket): void {
		if (!socket.writableEnded) {
			this.#connectionEnds.set(socket, 'caller');
		}
	}

	/** Returns why the connection of the exchange has ended. */
	findEnd({incoming: {socket}, response}: OpenExchange): ConnectionEnd {
		const end = this.#connectionEnds.get(socket);
		if (end) {
			return end;
		}

		if (response.headersSent) {
			return dropReasons.cut;
		}

		if (this.#opts.isStopped()) {
			return dropReasons.stop;
		}

		// A connection that ends in an orderly way was ended by the response before.
		return socket.writableEnded ? dropReasons.earlierAnswer : dropReasons.error;
	}

	/** Reports a request once, if it was read whole. */
	reportDropped(exchange: OpenExchange, reason: DropReason): void {
		if (exchange.incoming.complete && !exchange.isReported) {
			exchange.isReported = true;
			this.#opts.onDropped(exchange, reason);
		}
	}

	/** Tells whether the connection closes after its open responses because of an earlier error. */
	closesAfterError(socket: Socket): boolean {
		return this.#closingSockets.has(socket);
	}

	/** Lets a connection close after its open responses. Returns the last one whose request has arrived completely. */
	closeAfterResponses(socket: Socket, reason: DropReason): ServerResponse | undefined {
		this.#closingSockets.add(socket);
		if (this.#connectionEnds.get(socket) !== 'caller') {
			this.#connectionEnds.set(socket, reason);
		}

		// A request that has not arrived completely is the one that can't be read.
		return [...this.#openExchanges.get(socket) ?? []].findLast(({incoming}) => incoming.complete)?.response;
	}
}
