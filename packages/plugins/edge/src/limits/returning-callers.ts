/**
 * Recognises callers that were refused before, here or at another instance: each attempt has an id of its own, but the time for
 * which a caller waits counts from its first attempt, so that a later one has less of it than the route's new callers.
 */

/** A caller with less than this part of the usual time has spent the rest on earlier attempts. */
const returningFraction = 0.95;
/** Lets the usual time shrink with each request when the callers of a route change to shorter ones. */
const decay = 0.999;

export class ReturningCallers {
	readonly #usualWaitMs = new Map<string, number>();

	/** Records the time for which a caller waits, in milliseconds, and returns whether it has come back. */
	record(route: string, waitMs: number | undefined): boolean {
		if (waitMs === undefined) {
			return false;
		}

		const usualMs = Math.max(waitMs, (this.#usualWaitMs.get(route) ?? 0) * decay);
		this.#usualWaitMs.set(route, usualMs);
		return waitMs < usualMs * returningFraction;
	}

	/** Discards the routes that are not in use any more. */
	retain(routes: ReadonlySet<string>): void {
		for (const route of this.#usualWaitMs.keys()) {
			if (!routes.has(route)) {
				this.#usualWaitMs.delete(route);
			}
		}
	}
}
