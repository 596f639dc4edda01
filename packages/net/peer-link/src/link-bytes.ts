/**
 * The bytes that the connections of a process hold: incomplete frames, and frames that wait for peers that read slowly. When
 * there is no room, the connection that holds most of them is closed.
 */
import type {AccountPart} from '@hickorytrack/byte-account/account-part';

export type ByteHolder = {
	readonly heldBytes: number;
	/** Closes the connection, which releases what it holds. */
	close(reason?: string): void;
};

export class LinkBytes {
	readonly #part: AccountPart;
	readonly #holders: ReadonlySet<ByteHolder>;

	constructor(part: AccountPart, holders: ReadonlySet<ByteHolder>) {
		this.#part = part;
		this.#holders = holders;
	}

	/** Longest frame that can be received. */
	get limit(): number {
		return this.#part.limit;
	}

	/** Returns false if there is no room though every connection that holds more than this one has been closed. */
	acquire(bytes: number, holder: ByteHolder): boolean {
		while (!this.#part.acquire(bytes)) {
			const largest = this.#findLargest();
			if (!largest || largest === holder || largest.heldBytes <= holder.heldBytes + bytes) {
				this.#part.recordRefusal();
				return false;
			}

			this.#part.recordRefusal();
			largest.close('no room for what it holds beside the others');
		}

		return true;
	}

	release(bytes: number): void {
		this.#part.release(bytes);
	}

	#findLargest(): ByteHolder | undefined {
		let largest: ByteHolder | undefined;
		for (const holder of this.#holders) {
			if (holder.heldBytes > (largest?.heldBytes ?? 0)) {
				largest = holder;
			}
		}

		return largest;
	}
}
