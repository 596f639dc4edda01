/**
 * Framing of messages between processes: a length prefix of 4 bytes, big-endian, followed by one JSON text in UTF-8.
 */
import {Buffer} from 'node:buffer';
import {HickorytrackError} from '@hickorytrack/errors';

const lengthPrefixBytes = 4;
/** Excludes the length prefix. The decoder rejects longer frames; the encoder does not check the limit. */
export const maximumFrameBytes = 64 * 1024 * 1024;

export function encodeFrame(message: unknown): Buffer {
	const text = JSON.stringify(message);
	const size = Buffer.byteLength(text);
	const frame = Buffer.allocUnsafe(lengthPrefixBytes + size);
	frame.writeUInt32BE(size, 0);
	frame.write(text, lengthPrefixBytes);
	return frame;
}

/** Buffers received bytes and returns each complete message. */
export class FrameDecoder {
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;
	readonly #maximumBytes: number;

	constructor(maximumBytes = maximumFrameBytes) {
		this.#maximumBytes = maximumBytes;
	}

	/** Throws `ERR_HICKORYTRACK_BAD_FRAME` on an invalid frame; the decoder cannot be used afterwards. */
	decode(chunk: Buffer): unknown[] {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		const messages: unknown[] = [];
		for (;;) {
			const size = this.#readSize();
			if (size === undefined || this.#bufferedBytes < lengthPrefixBytes + size) {
				return messages;
			}

			messages.push(this.#readMessage(size));
		}
	}

	/** Returns undefined until the length prefix is complete. */
	#readSize(): number | undefined {
		if (this.#bufferedBytes < lengthPrefixBytes) {
			return undefined;
		}

		if (this.#chunks[0]!.length < lengthPrefixBytes) {
			this.#joinChunks();
		}

		const size = this.#chunks[0]!.readUInt32BE(0);
		if (size > this.#maximumBytes) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', `A frame of ${size} bytes is over the limit of ${this.#maximumBytes} bytes`);
		}

		return size;
	}

	#readMessage(size: number): unknown {
		if (this.#chunks[0]!.length < lengthPrefixBytes + size) {
			this.#joinChunks();
		}

		const buffer = this.#chunks[0]!;
		const text = buffer.toString('utf8', lengthPrefixBytes, lengthPrefixBytes + size);
		const rest = buffer.subarray(lengthPrefixBytes + size);
		if (rest.length > 0) {
			this.#chunks[0] = rest;
		} else {
			this.#chunks.shift();
		}

		this.#bufferedBytes -= lengthPrefixBytes + size;
		try {
			return JSON.parse(text) as unknown;
		} catch (error) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', 'A frame does not contain valid JSON', {cause: error});
		}
	}

	#joinChunks(): void {
		this.#chunks = [Buffer.concat(this.#chunks)];
	}
}
