/**
 * One connection of a server. It reads requests, sends one answer at a time, and stutters: an answer is sent a second time,
 * just before the next answer on the connection, or after a while, when the next request may be on its way.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {HttpMessageReader, type HttpMessage} from './http-message-reader.js';

export type ServerChannelOptions = {
	clock: Clock;
	random: Random;
	stutterRate: number;
	/** The connection is closed after an idle time; undefined to keep it. */
	idleMs?: number;
	handle: (channel: ServerChannel, message: HttpMessage) => Promise<void>;
};

/** Fraction of the late answers that are sent with the next answer; the others are sent between two answers. */
const lateWithNextFraction = 0.5;
const maxStutterMs = 60;

export class ServerChannel {
	readonly #socket: Socket;
	readonly #opts: ServerChannelOptions;
	readonly #abortController = new AbortController();
	readonly #reader = new HttpMessageReader();
	#work: Promise<void> = Promise.resolve();
	#late: Buffer | undefined;
	readonly #sent: Buffer[] = [];
	#cancelIdle: (() => void) | undefined;

	constructor(socket: Socket, opts: ServerChannelOptions) {
		this.#socket = socket;
		this.#opts = opts;
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#cancelIdle?.();
			this.#abortController.abort();
		});
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		this.#startIdleTimer();
	}

	/** Aborts once the connection is gone. */
	get signal(): AbortSignal {
		return this.#abortController.signal;
	}

	/** Sends a part of an answer. The first part is preceded by the late answer to the request before. */
	send(bytes: Buffer | string): void {
		if (this.#late && this.#sent.length === 0) {
			this.#socket.write(this.#late);
			this.#late = undefined;
		}

		this.#sent.push(Buffer.from(bytes));
		this.#socket.write(bytes);
	}

	/** Ends the answer. It may be sent once more, late. */
	finish(): void {
		const answer = Buffer.concat(this.#sent.splice(0));
		if (this.#opts.random.next() >= this.#opts.stutterRate) {
			return;
		}

		if (this.#opts.random.next() < lateWithNextFraction) {
			this.#late = answer;
			return;
		}

		this.#opts.clock.startTimer(this.#opts.random.nextBetween(0, maxStutterMs), () => {
			if (this.#sent.length > 0) {
				this.#late = answer;
			} else if (!this.#socket.destroyed) {
				this.#socket.write(answer);
			}
		});
	}

	end(): void {
		this.#socket.end();
	}

	reset(): void {
		// Node.js leaks the handle of a socket that is reset while it ends.
		if (this.#socket.writableEnded) {
			this.#socket.destroy();
		} else {
			this.#socket.resetAndDestroy();
		}
	}

	#receive(chunk: Buffer): void {
		this.#cancelIdle?.();
		try {
			for (const message of this.#reader.push(chunk)) {
				this.#work = this.#work.then(async () => this.#opts.handle(this, message)).then(() => {
					this.#startIdleTimer();
				});
			}
		} catch {
			this.#socket.destroy();
		}
	}

	#startIdleTimer(): void {
		this.#cancelIdle?.();
		if (this.#opts.idleMs !== undefined) {
			this.#cancelIdle = this.#opts.clock.startTimer(this.#opts.idleMs, () => {
				this.#socket.end();
			});
		}
	}
}
