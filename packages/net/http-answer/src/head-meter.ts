/**
 * Estimates what the head of an answer costs in memory while it is read. The HTTP client keeps two objects for each header,
 * however short it is, until the head is complete; a head may have tens of thousands of headers.
 */
import type {Buffer} from 'node:buffer';

/** Memory of the two buffers that the HTTP client keeps for a header, and of what is made of them. */
const headerBytes = 256;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const digitOne = 0x31;
/** Place of the first digit of the status in a status line. */
const statusIndex = 9;

export class HeadMeter {
	#isInHead = true;
	#isInStatusLine = true;
	#isInformational = false;
	#lineBytes = 0;
	#cost = 0;

	/** Estimated memory of the heads of the answer, up to now, in bytes. */
	get cost(): number {
		return this.#cost;
	}

	/** Reads bytes of an answer. Those behind the final head count nothing. */
	read(chunk: Buffer): void {
		for (let index = 0; index < chunk.length && this.#isInHead; index++) {
			this.#cost++;
			const byte = chunk[index];
			if (byte === lineFeed) {
				this.#endLine();
			} else if (byte !== carriageReturn) {
				if (this.#isInStatusLine && this.#lineBytes === statusIndex) {
					this.#isInformational = byte === digitOne;
				}

				this.#lineBytes++;
			}
		}
	}

	#endLine(): void {
		if (this.#lineBytes > 0) {
			this.#cost += headerBytes;
			this.#isInStatusLine = false;
		} else if (!this.#isInStatusLine) {
			// Another head follows an informational one.
			this.#isInHead = this.#isInformational;
			this.#isInStatusLine = true;
		}

		this.#lineBytes = 0;
	}
}
