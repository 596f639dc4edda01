/**
 * Bounds the bytes that a process holds for others. Each part of the account has a reserve that no other part can use; what
 * is left over is common to all. One holder can use only a share of a part.
 */
import {AccountPart} from './account-part.js';

export type PartShares = Readonly<{
	/** Share of the account that only this part can use, from 0 to 1. */
	reserve: number;
	/** Share of the part that one holder can use, greater than 0 and at most 1. */
	holder: number;
}>;

export const accountParts = {
	/** Bodies of callers, from their first byte until their request has ended. */
	bodies: {reserve: 0.25, holder: 0.75},
	/** Answers of servers, from their first byte until they have been written to their callers. */
	answers: {reserve: 0.3, holder: 0.75},
	control: {reserve: 0.1, holder: 0.75},
	links: {reserve: 0.15, holder: 0.75},
} as const satisfies Record<string, PartShares>;

export type PartName = keyof typeof accountParts;

export class ByteAccount {
	readonly limit: number;
	readonly #parts: ReadonlyMap<PartName, AccountPart>;
	readonly #commonBytes: number;
	#isResumePlanned = false;
	readonly #onFull = new Set<(part: PartName) => void>();
	readonly #onRelease = new Set<() => void>();

	constructor(limit: number, shares: Readonly<Record<PartName, PartShares>> = accountParts) {
		this.limit = limit;
		const names = Object.keys(shares) as PartName[];
		let reservedBytes = 0;
		for (const name of names) {
			reservedBytes += Math.floor(limit * shares[name].reserve);
		}

		if (reservedBytes > limit) {
			throw new RangeError(`The parts reserve ${reservedBytes} bytes of an account of ${limit}`);
		}

		this.#commonBytes = limit - reservedBytes;
		this.#parts = new Map(names.map(name => {
			const reserve = Math.floor(limit * shares[name].reserve);
			return [name, new AccountPart({
				reserve,
				limit: reserve + this.#commonBytes,
				holderShare: shares[name].holder,
				hasCommonRoom: bytes => this.#commonHeld + bytes <= this.#commonBytes,
				onFull: () => {
					for (const listener of this.#onFull) {
						listener(name);
					}
				},
				onRelease: () => {
					this.#handleRelease();
				},
			})] as const;
		}));
	}

	get held(): number {
		let held = 0;
		for (const part of this.#parts.values()) {
			held += part.held;
		}

		return held;
	}

	get parts(): ReadonlyMap<PartName, AccountPart> {
		return this.#parts;
	}

	getPart(name: PartName): AccountPart {
		return this.#parts.get(name)!;
	}

	/** Calls the listener whenever somebody begins to wait or is refused for lack of room, until the returned function is called. */
	onFull(listener: (part: PartName) => void): () => void {
		this.#onFull.add(listener);
		return () => {
			this.#onFull.delete(listener);
		};
	}

	/** Calls the listener whenever any part has released bytes, until the returned function is called. */
	onRelease(listener: () => void): () => void {
		this.#onRelease.add(listener);
		return () => {
			this.#onRelease.delete(listener);
		};
	}

	/** Those that wait are resumed later, so that the caller of the release is not called in turn. */
	#handleRelease(): void {
		for (const listener of this.#onRelease) {
			listener();
		}

		if (!this.#isResumePlanned) {
			this.#isResumePlanned = true;
			queueMicrotask(() => {
				this.#isResumePlanned = false;
				for (const part of this.#parts.values()) {
					part.resumeWaiting();
				}
			});
		}
	}

	get #commonHeld(): number {
		let held = 0;
		for (const part of this.#parts.values()) {
			held += part.commonHeld;
		}

		return held;
	}
}
