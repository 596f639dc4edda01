/**
 * Formats of bodies. An event stream shows by itself where it is complete: a stream that ends inside an event has been broken
 * off. Of any other format nothing is known.
 */
import {Buffer} from 'node:buffer';
import {ByteCollector} from './byte-collector.js';

export type BodyFormat = {
	/** Takes the next bytes and returns those that may be released: all up to the end of the last complete unit. */
	read(chunk: Buffer): Buffer;
	/** Bytes that are held back until their unit is complete. */
	readonly heldBytes: number;
	/** Returns the held bytes of a body that is whole. */
	finish(): Buffer;
	/** True when the body breaks off if it ends here. */
	readonly isInsideUnit: boolean;
	/** True when the format has units and none of them is complete yet. */
	readonly isWithoutUnit: boolean;
};

const noBytes = Buffer.alloc(0);

/** A body whose format shows nothing about its end. */
export class OpaqueBody implements BodyFormat {
	readonly heldBytes = 0;
	readonly isInsideUnit = false;
	readonly isWithoutUnit = false;

	read(chunk: Buffer): Buffer {
		return chunk;
	}

	finish(): Buffer {
		return noBytes;
	}
}

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;

/**
 * A stream of server-sent events. An empty line ends an event; lines end with LF, CR or CRLF. Comments, which begin with a
 * colon, belong to no event. Each byte is looked at once, however the stream is cut into
 * chunks; behind the first byte of a line only its end is searched.
 */
export class EventStreamBody implements BodyFormat {
	readonly #held = new ByteCollector();
	#isAtLineStart = true;
	#isAfterCarriageReturn = false;
	#isEventOpen = false;
	#hasEvent = false;

	get heldBytes(): number {
		return this.#held.size;
	}

	get isInsideUnit(): boolean {
		return this.#isEventOpen;
	}

	get isWithoutUnit(): boolean {
		return !this.#hasEvent;
	}

	read(chunk: Buffer): Buffer {
		const end = this.#findReleasableEnd(chunk);
		if (end > 0 && this.#held.size === 0) {
			this.#held.append(chunk.subarray(end));
			return chunk.subarray(0, end);
		}

		if (end === 0) {
			this.#held.append(chunk);
			return noBytes;
		}

		this.#held.append(chunk.subarray(0, end));
		const released = this.#held.drain();
		this.#held.append(chunk.subarray(end));
		return released;
	}

	finish(): Buffer {
		return this.#held.drain();
	}

	/** Reads the chunk and returns the offset up to which it may be released: the end of the last line after which no event is open. */
	#findReleasableEnd(chunk: Buffer): number {
		const lineEnds = new LineEnds(chunk);
		let end = 0;
		for (let offset = 0; offset < chunk.length; offset++) {
			if (!this.#isAtLineStart && !this.#isAfterCarriageReturn) {
				offset = lineEnds.findNext(offset);
				if (offset === chunk.length) {
					break;
				}
			}

			const byte = chunk[offset];
			if (byte === lineFeed && this.#isAfterCarriageReturn) {
				this.#isAfterCarriageReturn = false;
				end = end === offset && !this.#isEventOpen ? offset + 1 : end;
				continue;
			}

			this.#isAfterCarriageReturn = byte === carriageReturn;
			if (byte === lineFeed || byte === carriageReturn) {
				this.#endLine();
				end = this.#isEventOpen ? end : offset + 1;
				continue;
			}

			if (this.#isAtLineStart) {
				this.#isAtLineStart = false;
				this.#isEventOpen ||= byte !== colon;
			}
		}

		return end;
	}

	#endLine(): void {
		if (this.#isAtLineStart && this.#isEventOpen) {
			this.#isEventOpen = false;
			this.#hasEvent = true;
		}

		this.#isAtLineStart = true;
	}
}

/** Finds the ends of the lines of a chunk, each at an offset that is not before the last one. */
class LineEnds {
	readonly #chunk: Buffer;
	#lineFeedAt = -1;
	#carriageReturnAt = -1;

	constructor(chunk: Buffer) {
		this.#chunk = chunk;
	}

	/** Returns the offset of the next CR or LF, or the length of the chunk. */
	findNext(offset: number): number {
		this.#lineFeedAt = this.#find(lineFeed, offset, this.#lineFeedAt);
		this.#carriageReturnAt = this.#find(carriageReturn, offset, this.#carriageReturnAt);
		return Math.min(this.#lineFeedAt, this.#carriageReturnAt);
	}

	#find(byte: number, offset: number, knownAt: number): number {
		if (knownAt >= offset) {
			return knownAt;
		}

		const at = this.#chunk.indexOf(byte, offset);
		return at === -1 ? this.#chunk.length : at;
	}
}

const eventStreamPattern = /^\s*text\/event-stream\s*(?:;|$)/i;

/** Creates the format that an answer with this content type is read as. */
export function createBodyFormat(contentType: string | string[] | undefined): BodyFormat {
	return eventStreamPattern.test(String(contentType ?? '')) ? new EventStreamBody() : new OpaqueBody();
}
