/**
 * Framing of messages between processes: a length prefix of 4 bytes, big-endian, followed by one JSON text in UTF-8. What the
 * decoder keeps of an incomplete frame is limited by the state of its connection.
 */
import {Buffer} from 'node:buffer';
import {HickorytrackError} from '@hickorytrack/errors';
import {ByteCollector} from '@hickorytrack/http-answer/byte-collector';

const lengthPrefixBytes = 4;
/** Excludes the length prefix. The decoder rejects longer frames; the encoder does not check the limit. */
export const maximumFrameBytes = 64 * 1024 * 1024;

/** Bytes of an incomplete frame that are not acquired, so that short messages pass while there is no room. */
const freeBytes = 65_536;

export function encodeFrame(message: unknown): Buffer {
	const text = JSON.stringify(message);
	const size = Buffer.byteLength(text);
	const frame = Buffer.allocUnsafe(lengthPrefixBytes + size);
	frame.writeUInt32BE(size, 0);
	frame.write(text, lengthPrefixBytes);
	return frame;
}

/** Where a decoder acquires what it keeps of long frames. */
export type FrameRoom = {
	/** Returns false if there is no room. */
	acquire(bytes: number): boolean;
	release(bytes: number): void;
};

/** Collects received bytes and returns each complete message. */
export class FrameDecoder {
	readonly #bytes = new ByteCollector();
	/** Length of the frame whose prefix is complete. */
	#size: number | undefined;
	#maximumBytes: number;
	#room: FrameRoom | undefined;
	#acquiredBytes = 0;

	constructor(maximumBytes = maximumFrameBytes) {
		this.#maximumBytes = maximumBytes;
	}

	/** Acquired bytes of the incomplete frame. */
	get acquiredBytes(): number {
		return this.#acquiredBytes;
	}

	/** Tells whether a part of a frame has been received. */
	get hasIncompleteFrame(): boolean {
		return this.#size !== undefined || this.#bytes.size > 0;
	}

	/** Sets the limit of frames that begin from now on, and where their bytes are acquired. */
	setLimit(maximumBytes: number, room?: FrameRoom): void {
		this.#maximumBytes = maximumBytes;
		this.#room = room;
	}

	/** Throws `ERR_HICKORYTRACK_BAD_FRAME` on an invalid frame; the decoder cannot be used afterwards. */
	decode(chunk: Buffer): unknown[] {
		const messages: unknown[] = [];
		let rest = chunk;
		for (;;) {
			if (this.#size === undefined) {
				const prefix = this.#take(rest, lengthPrefixBytes);
				if (!prefix) {
					return messages;
				}

				rest = rest.subarray(prefix.taken);
				this.#size = prefix.bytes.readUInt32BE(0);
				this.#checkSize(this.#size);
			}

			const body = this.#take(rest, this.#size);
			if (!body) {
				return messages;
			}

			rest = rest.subarray(body.taken);
			this.#size = undefined;
			this.#releaseAll();
			messages.push(parseMessage(body.bytes));
		}
	}

	/** Forgets the incomplete frame of a connection that has closed. */
	discard(): void {
		this.#bytes.drain();
		this.#releaseAll();
	}

	/** Returns this many bytes, or keeps what there is and returns undefined. */
	#take(chunk: Buffer, size: number): {bytes: Buffer; taken: number} | undefined {
		const missing = size - this.#bytes.size;
		if (this.#bytes.size === 0 && chunk.length >= missing) {
			return {bytes: chunk.subarray(0, missing), taken: missing};
		}

		const part = chunk.subarray(0, missing);
		this.#acquire(part.length);
		this.#bytes.append(part);
		return part.length === missing ? {bytes: this.#bytes.drain(), taken: missing} : undefined;
	}

	#acquire(bytes: number): void {
		const missing = this.#bytes.size + bytes - freeBytes - this.#acquiredBytes;
		if (!this.#room || missing <= 0) {
			return;
		}

		if (!this.#room.acquire(missing)) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', `No room for a frame of ${this.#size} bytes beside those of others`);
		}

		this.#acquiredBytes += missing;
	}

	#releaseAll(): void {
		if (this.#acquiredBytes > 0) {
			this.#room?.release(this.#acquiredBytes);
			this.#acquiredBytes = 0;
		}
	}

	#checkSize(size: number): void {
		if (size === 0) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', 'A frame is empty');
		}

		if (size > this.#maximumBytes) {
			throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', `A frame of ${size} bytes is over the limit of ${this.#maximumBytes} bytes`);
		}
	}
}

function parseMessage(bytes: Buffer): unknown {
	try {
		return JSON.parse(bytes.toString('utf8')) as unknown;
	} catch (error) {
		throw new HickorytrackError('ERR_HICKORYTRACK_BAD_FRAME', 'A frame does not contain valid JSON', {cause: error});
	}
}
