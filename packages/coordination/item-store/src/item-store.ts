/**
 * A store of versioned items whose revisions only increase. It returns all items written since revision R in one page,
 * which serves as a snapshot, as a list of later changes or as a single change, and it merges pages from stores with a
 * higher revision. An item never returns to a lower revision, and the store never reports a revision if it may lack
 * items written up to that revision.
 */
import type {ControlItem, ItemPage, ItemValue} from '@hickorytrack/types/control';

export class ItemStore {
	/** Ordered by revision, because a written item moves to the end. */
	readonly #items = new Map<string, ControlItem>();
	#revision = 0;

	get revision(): number {
		return this.#revision;
	}

	get size(): number {
		return this.#items.size;
	}

	read(key: string): ControlItem | undefined {
		return this.#items.get(key);
	}

	/** Writes one item. `revision` must be higher than all revisions written before. */
	write(key: string, value: ItemValue, revision: number): void {
		this.#items.delete(key);
		this.#items.set(key, {key, revision, value});
		this.#revision = revision;
	}

	/** Returns the items with a revision higher than `since`. */
	listSince(since: number): ItemPage {
		const items: ControlItem[] = [];
		if (since < this.#revision) {
			for (const item of this.#items.values()) {
				if (item.revision > since) {
					items.push(item);
				}
			}
		}

		return {since, revision: this.#revision, items};
	}

	/** Returns all items whose keys start with `prefix`. */
	list(prefix: string): ControlItem[] {
		return [...this.#items.values()].filter(item => item.key.startsWith(prefix));
	}

	/**
	 * Merges the newer items of a page and returns the items that changed. A page whose `since` is higher than the store's
	 * revision leaves a gap: its items are merged, but the store's revision does not change.
	 */
	merge(page: ItemPage): ControlItem[] {
		const changed: ControlItem[] = [];
		for (const item of page.items) {
			const existing = this.#items.get(item.key);
			if (!existing || existing.revision < item.revision) {
				changed.push(item);
			}
		}

		changed.sort((a, b) => a.revision - b.revision);
		for (const item of changed) {
			this.#items.delete(item.key);
			this.#items.set(item.key, item);
		}

		if (page.since <= this.#revision && page.revision > this.#revision) {
			this.#revision = page.revision;
		}

		return changed;
	}

	/** Returns a deep copy for a snapshot. */
	dump(): ItemPage {
		return structuredClone({since: 0, revision: this.#revision, items: [...this.#items.values()]});
	}

	restore(page: ItemPage): void {
		this.#items.clear();
		this.#revision = page.revision;
		for (const item of [...page.items].sort((a, b) => a.revision - b.revision)) {
			this.#items.set(item.key, item);
		}
	}
}
