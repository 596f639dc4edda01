/** Bounds the bytes that all answers of a process together hold in memory before they can be passed on. */

/** What a reader of answers needs of a bound; a part of an account is one as well. */
export type ByteBound = Readonly<{
	limit: number;
	/** Returns false, and takes nothing, when the bytes would exceed the limit. */
	acquire: (bytes: number) => boolean;
	release: (bytes: number) => void;
}>;

export class ByteBudget implements ByteBound {
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
