/**
 * Breaks off what is written to one connection after a number of bytes, by an orderly close or a reset. The bytes before the
 * break are delivered; what is written after it is dropped.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

export type AnswerBreak = {
	/** Bytes of the answer that are sent, its head included. */
	afterBytes: number;
	by: 'close' | 'reset';
};

/** Time after which the connection is reset, so that the peer has read the bytes before the reset. */
const resetDelayMs = 5;

export class AnswerBreaker {
	readonly #socket: Socket;
	#break: AnswerBreak | undefined;
	#sentBytes = 0;
	#isBroken = false;
	#endSocket: (() => unknown) | undefined;

	constructor(socket: Socket) {
		this.#socket = socket;
		const write = socket.write.bind(socket) as (bytes: Buffer, onWritten?: () => void) => boolean;
		socket.write = ((chunk: Buffer | string, ...rest: unknown[]) => {
			const encoding = rest.find(argument => typeof argument === 'string') as 'latin1' | undefined;
			const onWritten = rest.find(argument => typeof argument === 'function') as (() => void) | undefined;
			const bytes = typeof chunk === 'string' ? Buffer.from(chunk, encoding) : Buffer.from(chunk);
			if (this.#isBroken) {
				return true;
			}

			const allowed = this.#break ? this.#break.afterBytes - this.#sentBytes : bytes.length;
			if (bytes.length < allowed || !this.#break) {
				this.#sentBytes += bytes.length;
				return write(bytes, onWritten);
			}

			this.#isBroken = true;
			this.#replaceEnd();
			if (allowed === 0) {
				this.#end();
				return true;
			}

			return write(bytes.subarray(0, allowed), () => {
				this.#end();
			});
		});
	}

	/** Breaks off the answer that is written from now on. */
	planBreak(planned: AnswerBreak): void {
		this.#break = planned;
		this.#sentBytes = 0;
	}

	/** The HTTP server ends the connection of an answer that nothing else delimits; here, the break does. */
	#replaceEnd(): void {
		this.#endSocket = this.#socket.end.bind(this.#socket);
		this.#socket.end = () => this.#socket;
		this.#socket.destroySoon = () => {
			// The break ends the connection.
		};
	}

	#end(): void {
		if (this.#break!.by === 'close') {
			this.#endSocket?.();
			return;
		}

		setTimeout(() => this.#socket.resetAndDestroy(), resetDelayMs);
	}
}
