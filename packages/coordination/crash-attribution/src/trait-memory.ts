/** Remembers for a bounded number of traits when each was last in a whole answer. The least recently seen are forgotten first. */

export class TraitMemory {
	readonly #maxTraits: number;
	readonly #times = new Map<string, number>();

	constructor(maxTraits: number) {
		this.#maxTraits = maxTraits;
	}

	has(trait: string): boolean {
		return this.#times.has(trait);
	}

	/** Monotonic time in milliseconds; undefined for a trait that is not remembered. */
	read(trait: string): number | undefined {
		return this.#times.get(trait);
	}

	/** Lists the traits with their times, least recently seen first. */
	list(): Array<[trait: string, at: number]> {
		return [...this.#times];
	}

	clear(): void {
		this.#times.clear();
	}

	record(trait: string, at: number): void {
		const latest = Math.max(at, this.#times.get(trait) ?? at);
		this.#times.delete(trait);
		this.#times.set(trait, latest);
		if (this.#times.size > this.#maxTraits) {
			this.#times.delete(this.#times.keys().next().value!);
		}
	}
}
