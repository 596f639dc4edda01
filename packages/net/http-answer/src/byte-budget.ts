/** Bounds the bytes that all answers of a process together hold in memory before they can be passed on. */

export class ByteBudget {
	readonly limit: number;
	#used = 0;

	constructor(limit: number) {
		this.limit = limit;
	}

	/** Returns false, and takes nothing, when the bytes would exceed the limit. */
	acquire(bytes: number): boolean {
		if (this.#used + bytes > this.limit) {
			return false;
		}

		this.#used += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#used -= bytes;
	}
}
