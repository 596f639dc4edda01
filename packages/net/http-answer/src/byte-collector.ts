/** Collects bytes that arrive in pieces of any size. A server may send single bytes, and a buffer for each would cost far more memory than they. */
import {Buffer} from 'node:buffer';

const minBlockBytes = 512;
const maxBlockBytes = 65_536;

export class ByteCollector {
	#blocks: Buffer[] = [];
	/** The last block, which may have room left. */
	#tail: Buffer = Buffer.alloc(0);
	#tailBytes = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** Makes room for a body of this size, so that it is not copied once more at its end. */
	reserve(bytes: number): void {
		if (bytes <= this.#size) {
			return;
		}

		const size = this.#size;
		const tail = Buffer.allocUnsafeSlow(bytes);
		const collected = this.drain();
		collected.copy(tail);
		this.#tail = tail;
		this.#tailBytes = size;
		this.#size = size;
	}

	/** Appends a copy of the bytes. */
	append(bytes: Buffer): void {
		const copied = bytes.copy(this.#tail, this.#tailBytes);
		this.#tailBytes += copied;
		this.#size += bytes.length;
		if (copied < bytes.length) {
			this.#closeTail();
			this.#tail = Buffer.allocUnsafeSlow(Math.max(bytes.length - copied, Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#size))));
			this.#tailBytes = bytes.copy(this.#tail, 0, copied);
		}
	}

	/** Returns all bytes and forgets them. */
	drain(): Buffer {
		this.#closeTail();
		const [first, ...rest] = this.#blocks;
		const bytes = first && rest.length === 0 ? first : Buffer.concat(this.#blocks);
		this.#blocks = [];
		this.#size = 0;
		return bytes;
	}

	#closeTail(): void {
		if (this.#tailBytes > 0) {
			this.#blocks.push(this.#tail.subarray(0, this.#tailBytes));
		}

		this.#tail = Buffer.alloc(0);
		this.#tailBytes = 0;
	}
}
