/**
 * Snapshots on their way to another member, in parts that a link and the time-out of a call take, so that heartbeats are not
 * delayed and a transfer goes on where it stopped. The member says how many bytes it holds. A snapshot whose digest or shape
 * is wrong is asked for again from its beginning.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {SnapshotRecord} from '@hickorytrack/log-storage';
import type {SnapshotPart} from './member-messages.js';
import {parseSnapshot} from './parse-member-message.js';

function computeDigest(bytes: Buffer): string {
	return createHash('sha256').update(bytes).digest('hex');
}

/** A snapshot that is sent to one member. It stays the same while newer ones are taken, or a busy log would never arrive. */
export class SnapshotTransfer {
	/** Number of bytes that the member holds. */
	heldBytes = 0;
	readonly #bytes: Buffer;
	readonly #digest: string;
	readonly #index: number;

	constructor(snapshot: SnapshotRecord) {
		this.#bytes = Buffer.from(JSON.stringify(snapshot));
		this.#digest = computeDigest(this.#bytes);
		this.#index = snapshot.index;
	}

	/** Returns the next part, of at most this many bytes. */
	createPart(maxBytes: number): SnapshotPart {
		const offset = this.heldBytes;
		return {
			index: this.#index, digest: this.#digest, totalBytes: this.#bytes.length, offset, bytes: this.#bytes.subarray(offset, offset + maxBytes).toString('base64'),
		};
	}
}

/** The parts of the snapshot that a member has got so far. */
export class SnapshotAssembly {
	#digest = '';
	#parts: Buffer[] = [];
	#heldBytes = 0;

	/** Number of bytes held of the snapshot of the last part. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Adds a part that follows those before; any other one is left out. Returns the snapshot once it is whole, until `clear`. */
	add({digest, totalBytes, offset, bytes}: SnapshotPart): SnapshotRecord | undefined {
		if (digest !== this.#digest) {
			this.clear();
			this.#digest = digest;
		}

		if (offset === this.#heldBytes && offset < totalBytes) {
			const part = Buffer.from(bytes, 'base64');
			this.#parts.push(part);
			this.#heldBytes += part.length;
		}

		return this.#heldBytes < totalBytes ? undefined : this.#decode();
	}

	clear(): void {
		this.#digest = '';
		this.#parts = [];
		this.#heldBytes = 0;
	}

	#decode(): SnapshotRecord | undefined {
		const bytes = Buffer.concat(this.#parts);
		if (computeDigest(bytes) === this.#digest) {
			try {
				return parseSnapshot(JSON.parse(bytes.toString()));
			} catch {
				// The leader sends it again, or a newer one.
			}
		}

		this.clear();
		return undefined;
	}
}
