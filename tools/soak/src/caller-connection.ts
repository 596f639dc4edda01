/**
 * A caller's connection to an edge. It is used until it breaks or the edge closes it, one request at a time, or with the next
 * request written before the answer to the last one is read.
 */
import type {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {HttpMessageReader, type HttpMessage} from './http-message-reader.js';

export type Exchange = {
	end: 'answered' | 'closed' | 'late' | 'invalid';
	/** The answer, or the part of it that arrived. */
	answer?: HttpMessage;
	/** Only the orderly end of the connection ended the answer. */
	hasUnknownEnd?: boolean;
	/** This side closed the connection because of an earlier request on it. */
	isOwnClose?: boolean;
	/** An earlier answer on the connection ended with it. */
	isBehindEnd?: boolean;
};

export type ConnectionOptions = {
	edge: string;
	clock: Clock;
	/**
	 * Draws for how long nothing is read after bytes have arrived, in milliseconds; without it, all is read at once. What has
	 * arrived by the end of a pause is read without another one, so that a byte waits for one pause at most.
	 */
	createReadPause?: () => number;
};

type Waiting = (exchange: Exchange) => void;

const connectTimeoutMs = 1000;
/** Time after a pause in which no other one begins. */
const readWindowMs = 50;
/** Callers reuse connections that were idle for up to this fraction of the idle limit. */
export const reusedIdleFraction = 0.8;

export class CallerConnection {
	readonly #opts: ConnectionOptions;
	readonly #socket: Socket;
	readonly #reader = new HttpMessageReader();
	/** In the order of the requests. */
	readonly #waiting: Waiting[] = [];
	#isOpen = true;
	#isOwnClose = false;
	/** The request whose answer is being read was given up. */
	#hasGivenUpFirst = false;
	#readsUntil = 0;
	/** Answers and bytes that arrived while no request waited. */
	#extraAnswers = 0;
	#lastUsedAt: number;
	/** Idle time that the edge has granted in its last answer. */
	#keepAliveMs = Number.POSITIVE_INFINITY;

	constructor(opts: ConnectionOptions, socket: Socket) {
		this.#opts = opts;
		this.#socket = socket;
		this.#lastUsedAt = opts.clock.monotonic();
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			this.#receive(chunk);
			this.#pauseReading();
		});
		let hasReset = false;
		socket.prependListener('end', () => {
			// Node.js reports a reset that arrives together with data as an end; the system then knows no peer.
			hasReset = socket.remoteAddress === undefined;
		});
		socket.on('close', hadError => {
			this.#isOpen = false;
			const closed = hadError || hasReset || this.#isOwnClose ? undefined : this.#reader.finish();
			this.#finish(closed ? {end: 'answered', answer: closed, hasUnknownEnd: true} : {end: 'closed', answer: this.#hasGivenUpFirst ? undefined : this.#reader.openMessage, isOwnClose: this.#isOwnClose});
			while (this.#waiting.length > 0) {
				this.#finish({end: 'closed', isOwnClose: this.#isOwnClose, isBehindEnd: closed !== undefined});
			}
		});
	}

	get isOpen(): boolean {
		return this.#isOpen;
	}

	get edge(): string {
		return this.#opts.edge;
	}

	/** Requests wait for their answers. */
	get isWaiting(): boolean {
		return this.#waiting.length > 0;
	}

	/** Returns true if the connection has not been idle for too long. */
	isReusable(idleLimitMs: number): boolean {
		if (this.isWaiting) {
			return this.#isOpen;
		}

		const idleMs = this.#opts.clock.monotonic() - this.#lastUsedAt;
		return this.#isOpen && idleMs <= reusedIdleFraction * idleLimitMs && idleMs < this.#keepAliveMs;
	}

	/** Returns the number of extra answers since the last call. */
	readExtraAnswers(): number {
		const count = this.#extraAnswers;
		this.#extraAnswers = 0;
		return count;
	}

	/** Sends a request and waits for its answer. A connection without one in time is closed. */
	async send(bytes: Buffer, timeoutMs: number): Promise<Exchange> {
		return new Promise(resolve => {
			const cancelTimer = this.#opts.clock.startTimer(timeoutMs, () => {
				// Another request of the connection was given up in the same turn.
				if (this.#isOwnClose) {
					return;
				}

				const isFirst = this.#waiting[0] === settle;
				this.#waiting.splice(this.#waiting.indexOf(settle), 1);
				settle({end: 'late', answer: isFirst ? this.#reader.openMessage : undefined});
				this.#isOwnClose = true;
				this.#hasGivenUpFirst = isFirst;
				this.close();
			});
			const settle = (exchange: Exchange) => {
				cancelTimer();
				resolve(exchange);
			};

			if (this.#isOpen) {
				this.#waiting.push(settle);
				this.#socket.write(bytes);
			} else {
				settle({end: 'closed', isOwnClose: this.#isOwnClose});
			}
		});
	}

	close(): void {
		this.#isOpen = false;
		this.#socket.destroy();
	}

	#pauseReading(): void {
		const {clock, createReadPause} = this.#opts;
		if (!createReadPause || clock.monotonic() < this.#readsUntil) {
			return;
		}

		this.#socket.pause();
		clock.startTimer(createReadPause(), () => {
			this.#readsUntil = clock.monotonic() + readWindowMs;
			this.#socket.resume();
		});
	}

	#receive(chunk: Buffer): void {
		try {
			for (const answer of this.#reader.push(chunk)) {
				this.#lastUsedAt = this.#opts.clock.monotonic();
				const keepAliveSeconds = /timeout=(?<seconds>\d+)/.exec(answer.headers['keep-alive'] ?? '')?.groups!.seconds;
				this.#keepAliveMs = keepAliveSeconds === undefined ? Number.POSITIVE_INFINITY : Number(keepAliveSeconds) * 1000;
				if (answer.headers.connection === 'close') {
					this.close();
				}

				this.#finish({end: 'answered', answer});
			}
		} catch {
			this.#finish({end: 'invalid'});
			this.close();
		}
	}

	#finish(exchange: Exchange): void {
		const settle = this.#waiting.shift();
		if (settle) {
			settle(exchange);
		} else if (exchange.end === 'answered' || exchange.end === 'invalid') {
			this.#extraAnswers++;
		}
	}
}

/** Opens a connection; undefined if the edge does not accept one. */
export async function openConnection(address: {host: string; port: number}, opts: ConnectionOptions): Promise<CallerConnection | undefined> {
	return new Promise(resolve => {
		const socket = connect(address);
		const cancelTimer = opts.clock.startTimer(connectTimeoutMs, () => {
			socket.destroy();
		});
		socket.once('connect', () => {
			cancelTimer();
			resolve(new CallerConnection(opts, socket));
		});
		socket.once('error', () => undefined);
		socket.once('close', () => {
			cancelTimer();
			resolve(undefined);
		});
	});
}
