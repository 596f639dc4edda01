/**
 * Framing of messages between processes: a length of four bytes, big-endian, followed by one JSON text in UTF-8.
 */
import {Buffer} from 'node:buffer';
import {HickorytrackError} from '@hickorytrack/errors';

const lengthBytes = 4;
export const maximumFrameBytes = 64 * 1024 * 1024;

export function encodeFrame(message: unknown): Buffer {
	const text = JSON.stringify(message);
	const size = Buffer.byteLength(text);
	const frame = Buffer.allocUnsafe(lengthBytes + size);
	frame.writeUInt32BE(size, 0);
	frame.write(text, lengthBytes);
	return frame;
}

/** Collects bytes and gives back each whole message. Throws `ERR_HICKORYTRACK_BAD_FRAME` on a broken one. */
export class FrameDecoder {
	#chunks: Buffer[] = [];
	#buffered = 0;
	readonly #maximumBytes: number;

	constructor(maximumBytes = maximumFrameBytes) {
		this.#maximumBytes = maximumBytes;
	}

	decode(chunk: Buffer): unknown[] {
		this.#chunks.push(chunk);
		this.#buffered += chunk.length;
		const messages: unknown[] = [];
		for (;;) {
			const size = this.#peekSize();
			if (size === undefined || this.#buffered < lengthBytes + size) {
				return messages;
			}

			messages.push(this.#takeMessage(size));
		}
	}

	#peekSize(): number | undefined {
		if (this.#buffered < lengthBytes) {
			return undefined;
		}

		if (this.#chunks[0]!.length < lengthBytes) {
			this.#joinChunks();
		}

		const size = this.#chunks[0]!.readUInt32BE(0);
		if (size > this.#maximumBytes) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', `A frame of ${size} bytes is over the limit of ${this.#maximumBytes} bytes`);
		}

		return size;
	}

	#takeMessage(size: number): unknown {
		if (this.#chunks[0]!.length < lengthBytes + size) {
			this.#joinChunks();
		}

		const whole = this.#chunks[0]!;
		const text = whole.toString('utf8', lengthBytes, lengthBytes + size);
		const rest = whole.subarray(lengthBytes + size);
		if (rest.length > 0) {
			this.#chunks[0] = rest;
		} else {
			this.#chunks.shift();
		}

		this.#buffered -= lengthBytes + size;
		try {
			return JSON.parse(text) as unknown;
		} catch (error) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', 'A frame holds no JSON text', {cause: error});
		}
	}

	#joinChunks(): void {
		this.#chunks = [Buffer.concat(this.#chunks)];
	}
}
