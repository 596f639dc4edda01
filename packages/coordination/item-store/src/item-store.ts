/**
 * Versioned items that only move forward. A store can answer "everything since revision R" in one page, which serves as
 * snapshot, as tail and as the push of a single change, and it can merge a page from anyone who is ahead. An item never
 * goes back to a lower revision, and the store never claims a revision whose items it can miss.
 */
import type {ControlItem, ItemPage, ItemValue} from '@hickorytrack/types/control';

export class ItemStore {
	/** In order of revision, because a written item moves to the end. */
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

	/** Writes one item under a revision higher than all before. */
	write(key: string, value: ItemValue, revision: number): void {
		this.#items.delete(key);
		this.#items.set(key, {key, revision, value});
		this.#revision = revision;
	}

	/** Returns the items written after `since`. */
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

	/** Returns all items whose key begins with the prefix. */
	list(prefix: string): ControlItem[] {
		return [...this.#items.values()].filter(item => item.key.startsWith(prefix));
	}

	/**
	 * Takes what is newer from a page and returns the items that changed. A page that begins behind the store's own
	 * revision leaves a gap, so its items are taken but the revision stays.
	 */
	merge(page: ItemPage): ControlItem[] {
		const changed: ControlItem[] = [];
		for (const item of page.items) {
			const held = this.#items.get(item.key);
			if (!held || held.revision < item.revision) {
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

	/** Returns a copy for a snapshot. */
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
