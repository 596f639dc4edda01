/**
 * Closes the connections of an HTTP server in two steps. A connection that is closed while bytes wait unread in it, or to which
 * bytes come later, is reset by the system, and what its caller had not read by then is lost. So the sending side ends first,
 * what arrives is discarded, and the connection closes fully once the caller has closed its side, or at a bound.
 */
import type {Buffer} from 'node:buffer';
import type {Server, ServerResponse, IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';

/** Time for callers to read the rest and close, in milliseconds. */
const maxLingerMs = 5000;
/** Twice the size of the largest body that the product takes. Behind it nothing is read, so that a caller can't keep the process busy. */
const maxDiscardedBytes = 16 * 1024 * 1024;
const maxConnections = 1000;
/** Time for a caller to read an answer before a reset for one behind it, in milliseconds. A broken answer may end half a second late. */
const maxResetDelayMs = 400;
/** Bytes of an answer that the system of the caller has taken before the caller writes again. */
const maxReceivedBytes = 64 * 1024;

/** Why a connection was closed before its caller had closed its side. */
export type CutBound = 'time' | 'count' | 'stop';

export type CutClose = {
	bound: CutBound;
	/** Bytes that the system had not taken. How many it still held for the caller can't be known. */
	unsentBytes: number;
	discardedBytes: number;
};

type Lingering = {
	discardedBytes: number;
	cancelTimer: () => void;
};

export type LingeringCloseOptions = {
	clock: Clock;
	/** Called when a connection is closed at a bound. Its caller may have lost the end of an answer. */
	onCut: (cut: CutClose) => void;
};

export class LingeringClose {
	readonly #opts: LingeringCloseOptions;
	/** Open connections with the number of their responses that are not complete. */
	readonly #openResponses = new Map<Socket, number>();
	/** In the order in which their closes began. */
	readonly #lingering = new Map<Socket, Lingering>();
	/** Bytes that were written to a connection up to the end of its last answer. */
	readonly #answeredBytes = new WeakMap<Socket, number>();
	/** Monotonic time until which the caller may still read an earlier answer. */
	readonly #readUntil = new WeakMap<Socket, number>();
	/** Connections that are about to be reset, with what stops the timer. */
	readonly #resets = new Map<Socket, () => void>();
	#isClosing = false;
	#onAllClosed: (() => void) | undefined;

	/** Takes over the closes that the server makes by itself. */
	constructor(server: Server, opts: LingeringCloseOptions) {
		this.#opts = opts;
		server.on('connection', (socket: Socket) => {
			this.#openResponses.set(socket, 0);
			socket.once('close', () => {
				this.#openResponses.delete(socket);
				this.#resets.get(socket)?.();
				this.#resets.delete(socket);
				this.#checkAllClosed();
			});
			socket.resetAndDestroy = () => {
				this.#reset(socket);
				return socket;
			};

			// Node.js calls this behind a response after which the connection closes.
			socket.destroySoon = () => {
				this.end(socket);
			};
		});
		for (const name of ['request', 'checkExpectation', 'checkContinue'] as const) {
			if (name === 'request' || server.listenerCount(name) > 0) {
				server.prependListener(name, (request: IncomingMessage, response: ServerResponse) => {
					this.#countResponse(request.socket, response);
				});
			}
		}

		const closeIdleConnections = server.closeIdleConnections.bind(server);
		// Called by `close` of the server as well.
		server.closeIdleConnections = () => {
			this.#endIdle(closeIdleConnections);
		};
	}

	/** Connections that wait for their callers to close. */
	get count(): number {
		return this.#lingering.size;
	}

	has(socket: Socket): boolean {
		return this.#lingering.has(socket);
	}

	/** Ends the sending side behind what has been written, and closes the connection after its caller, or at a bound. */
	end(socket: Socket): void {
		this.#begin(socket);
		if (this.#lingering.size > maxConnections) {
			this.#cut([...this.#lingering.keys()][0]!, 'count');
		}
	}

	/**
	 * Once the server closes: ends also the connections in which a request has begun to arrive, and resolves when none waits
	 * for its caller or for a response. They are waited for this long.
	 */
	async finish(maxMs: number): Promise<void> {
		if (maxMs > 0) {
			for (const [socket, responses] of this.#openResponses) {
				if (responses === 0) {
					this.#begin(socket);
				}
			}

			await new Promise<void>(resolve => {
				const cancelTimer = this.#opts.clock.startTimer(maxMs, resolve);
				this.#onAllClosed = () => {
					cancelTimer();
					resolve();
				};

				this.#checkAllClosed();
			});
		}

		for (const socket of this.#resets.keys()) {
			this.#resetNow(socket);
		}

		for (const socket of this.#lingering.keys()) {
			this.#cut(socket, 'stop');
		}
	}

	/** Resets the connection. What its caller has not read is lost with it, so that an earlier answer gets time to be read. */
	#reset(socket: Socket): void {
		const {clock} = this.#opts;
		const remainingMs = (this.#readUntil.get(socket) ?? Number.NEGATIVE_INFINITY) - clock.monotonic();
		if (remainingMs <= 0 || socket.destroyed) {
			this.#resetNow(socket);
		} else if (!this.#resets.has(socket)) {
			this.#resets.set(socket, clock.startTimer(remainingMs, () => {
				this.#resetNow(socket);
			}));
		}
	}

	/** The system refuses a reset while the sending side ends; the reset comes behind that end then, or at the bound of a close. */
	#resetNow(socket: Socket): void {
		if (!socket.destroyed && socket.writableEnded && !socket.writableFinished) {
			this.#begin(socket);
			socket.once('finish', () => {
				resetNow(socket);
			});
			return;
		}

		resetNow(socket);
	}

	#begin(socket: Socket): void {
		if (socket.destroyed || this.#lingering.has(socket)) {
			return;
		}

		const lingering: Lingering = {
			discardedBytes: 0, cancelTimer: this.#opts.clock.startTimer(maxLingerMs, () => {
				this.#cut(socket, 'time');
			}),
		};
		this.#lingering.set(socket, lingering);
		socket.once('close', () => {
			this.#remove(socket);
		});
		this.#discardInput(socket, lingering);
		socket.setTimeout(0);
		socket.end();
	}

	/** Takes the input away from the parser of the server, which would read requests, and pause at their bodies. */
	#discardInput(socket: Socket, lingering: Lingering): void {
		const onData = (chunk: Buffer) => {
			lingering.discardedBytes += chunk.length;
			if (lingering.discardedBytes > maxDiscardedBytes) {
				socket.pause();
			}
		};

		// The server gives the input up when a listener is added; its own listener goes on to parse and has to leave first.
		socket.removeAllListeners('data');
		socket.on('data', onData);
		socket.removeAllListeners('end');
		socket.resume();
	}

	/** Connections with a request that is arriving, or has not been answered, stay open for the answer. Only the server knows the others. */
	#endIdle(closeIdleConnections: () => void): void {
		this.#isClosing = true;
		const sockets = [...this.#openResponses.keys()];
		for (const socket of sockets) {
			socket.destroy = () => {
				this.#begin(socket);
				return socket;
			};
		}

		closeIdleConnections();
		for (const socket of sockets) {
			// That of the prototype again.
			Reflect.deleteProperty(socket, 'destroy');
		}
	}

	#countResponse(socket: Socket, response: ServerResponse): void {
		this.#openResponses.set(socket, (this.#openResponses.get(socket) ?? 0) + 1);
		response.once('close', () => {
			const responses = this.#openResponses.get(socket);
			if (responses === undefined) {
				return;
			}

			this.#openResponses.set(socket, responses - 1);
			if (response.writableFinished) {
				this.#recordAnswer(socket, responses > 1);
			}

			if (this.#isClosing && responses === 1) {
				this.#begin(socket);
			}
		});
	}

	/** Whoever pipelines requests, or got more than a connection surely holds, may not have read the answer. */
	#recordAnswer(socket: Socket, isPipelined: boolean): void {
		const sentBytes = socket.bytesWritten - (this.#answeredBytes.get(socket) ?? 0);
		this.#answeredBytes.set(socket, socket.bytesWritten);
		if (isPipelined || sentBytes > maxReceivedBytes) {
			this.#readUntil.set(socket, this.#opts.clock.monotonic() + maxResetDelayMs);
		}

		// It was for this answer.
		this.#resets.get(socket)?.();
		this.#resets.delete(socket);
	}

	#cut(socket: Socket, bound: CutBound): void {
		const {discardedBytes} = this.#lingering.get(socket)!;
		this.#remove(socket);
		this.#opts.onCut({bound, unsentBytes: socket.writableLength, discardedBytes});
		socket.destroy();
	}

	#remove(socket: Socket): void {
		this.#lingering.get(socket)?.cancelTimer();
		this.#lingering.delete(socket);
		this.#checkAllClosed();
	}

	#checkAllClosed(): void {
		if (this.#lingering.size === 0 && [...this.#openResponses.values()].every(responses => responses === 0)) {
			this.#onAllClosed?.();
		}
	}
}

function resetNow(socket: Socket): void {
	Socket.prototype.resetAndDestroy.call(socket);
}
