/** Totals by window and workspace. Totals of one sender only grow, so that the higher one of two is the later one. */
import type {WindowTotals, WorkspaceCount} from '@hickorytrack/types/peer-methods';

export class WindowCounts {
	readonly #windows = new Map<number, Map<string, number>>();

	get(window: number, workspace: string): number {
		return this.#windows.get(window)?.get(workspace) ?? 0;
	}

	add(window: number, workspace: string, count: number): void {
		this.#set(window, workspace, this.get(window, workspace) + count);
	}

	/** Takes over each total that is higher than the one known. */
	merge(totals: readonly WindowTotals[], isWanted: (window: number) => boolean = () => true): void {
		for (const [window, counts] of totals) {
			for (const [workspace, count] of isWanted(window) ? counts : []) {
				if (count > this.get(window, workspace)) {
					this.#set(window, workspace, count);
				}
			}
		}
	}

	/** Lists the totals of a window, sorted by name in code units, which is the same order on every machine. */
	listWindow(window: number): WorkspaceCount[] {
		return [...this.#windows.get(window) ?? []].sort(([a], [b]) => a < b ? -1 : 1);
	}

	/** Lists the totals that are higher than the known ones, at most so many. */
	list(known?: WindowCounts, maxCounts = Number.POSITIVE_INFINITY): WindowTotals[] {
		const totals: WindowTotals[] = [];
		let left = maxCounts;
		for (const window of [...this.#windows.keys()].sort((a, b) => a - b)) {
			const counts = this.listWindow(window).filter(([workspace, count]) => count > (known?.get(window, workspace) ?? 0)).slice(0, left);
			left -= counts.length;
			if (counts.length > 0) {
				totals.push([window, counts]);
			}
		}

		return totals;
	}

	/** Forgets all windows up to this one. */
	discardTo(window: number): void {
		for (const known of this.#windows.keys()) {
			if (known <= window) {
				this.#windows.delete(known);
			}
		}
	}

	get isEmpty(): boolean {
		return this.#windows.size === 0;
	}

	#set(window: number, workspace: string, count: number): void {
		let counts = this.#windows.get(window);
		if (!counts) {
			counts = new Map();
			this.#windows.set(window, counts);
		}

		counts.set(workspace, count);
	}
}
