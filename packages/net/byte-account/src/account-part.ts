/** One part of a byte account. What exceeds its reserve is taken from the bytes that all parts have in common. */

export type AccountPartOptions = {
	/** Bytes that no other part can use. */
	reserve: number;
	/** Most bytes that the part can hold: its reserve and all common bytes. */
	limit: number;
	/** Share of the limit that one holder can use. The rest of the reserve is kept for bytes without a holder. */
	holderShare: number;
	/** Tells whether this number of common bytes can be taken. */
	hasCommonRoom: (bytes: number) => boolean;
	onRelease: () => void;
	/** Called when somebody begins to wait or is refused for lack of room. */
	onFull: () => void;
};

type Waiter = {bytes: number; holder: string | undefined; onRoom: () => void};

export class AccountPart {
	readonly limit: number;
	/** Most bytes of one holder. */
	readonly holderLimit: number;
	readonly #opts: AccountPartOptions;
	/** Bytes by holder: a workspace or a remote address. */
	readonly #holders = new Map<string, number>();
	/** In the order in which they began to wait. */
	readonly #waiters = new Set<Waiter>();
	#held = 0;
	#heldByHolders = 0;
	#waits = 0;
	#refusals = 0;

	constructor(opts: AccountPartOptions) {
		this.#opts = opts;
		this.limit = opts.limit;
		this.holderLimit = Math.floor(opts.limit * opts.holderShare);
	}

	get held(): number {
		return this.#held;
	}

	/** Bytes beyond the reserve. */
	get commonHeld(): number {
		return Math.max(0, this.#held - this.#opts.reserve);
	}

	/** Number of times that somebody had to wait for room. */
	get waits(): number {
		return this.#waits;
	}

	/** Number of times that somebody was refused for lack of room. */
	get refusals(): number {
		return this.#refusals;
	}

	/** Largest holder and its bytes; undefined while no holder is known. */
	get largestHolder(): {holder: string; bytes: number} | undefined {
		let largest: {holder: string; bytes: number} | undefined;
		for (const [holder, bytes] of this.#holders) {
			if (bytes > (largest?.bytes ?? 0)) {
				largest = {holder, bytes};
			}
		}

		return largest;
	}

	hasRoom(bytes: number, holder?: string): boolean {
		const needed = this.#held + bytes + (holder === undefined ? 0 : this.#freeWithoutHolder);
		const commonBytes = Math.max(0, needed - this.#opts.reserve) - this.commonHeld;
		return needed <= this.limit
			&& (commonBytes <= 0 || this.#opts.hasCommonRoom(commonBytes))
			&& (holder === undefined || (this.#holders.get(holder) ?? 0) + bytes <= this.holderLimit);
	}

	/** Room that holders leave to bytes without one, also when other parts use all common bytes. */
	get #freeWithoutHolder(): number {
		const kept = Math.floor(this.#opts.reserve * (1 - this.#opts.holderShare));
		return Math.max(0, kept - (this.#held - this.#heldByHolders));
	}

	/** Returns false, and takes nothing, when the part, the account or the holder's share has no room for the bytes. */
	acquire(bytes: number, holder?: string): boolean {
		if (!this.hasRoom(bytes, holder)) {
			return false;
		}

		this.#held += bytes;
		if (holder !== undefined) {
			this.#heldByHolders += bytes;
			this.#holders.set(holder, (this.#holders.get(holder) ?? 0) + bytes);
		}

		return true;
	}

	/** Releases bytes that were acquired for the same holder. */
	release(bytes: number, holder?: string): void {
		if (bytes === 0) {
			return;
		}

		this.#held -= bytes;
		if (holder !== undefined) {
			this.#heldByHolders -= bytes;
			const left = (this.#holders.get(holder) ?? 0) - bytes;
			if (left > 0) {
				this.#holders.set(holder, left);
			} else {
				this.#holders.delete(holder);
			}
		}

		this.#opts.onRelease();
	}

	/** Number of those that wait for room now. */
	get waiting(): number {
		return this.#waiters.size;
	}

	/** Acquires the bytes when there is room for them, and then calls the listener once, unless the returned function is called before. */
	wait(bytes: number, {holder, onRoom}: {holder?: string; onRoom: () => void}): () => void {
		const waiter = {bytes, holder, onRoom};
		this.#waits++;
		this.#waiters.add(waiter);
		this.#opts.onFull();
		return () => {
			this.#waiters.delete(waiter);
		};
	}

	/** Called by the account after a release. Gives room to those that wait, in their order; one that does not fit does not hold up the others. */
	resumeWaiting(): void {
		for (const waiter of this.#waiters) {
			if (this.acquire(waiter.bytes, waiter.holder)) {
				this.#waiters.delete(waiter);
				waiter.onRoom();
			}
		}
	}

	/** Records that somebody was refused for lack of room. */
	recordRefusal(): void {
		this.#refusals++;
		this.#opts.onFull();
	}
}
