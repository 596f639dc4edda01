/** Mean time for which servers work on the requests of each route, learnt from answers. */

/** Weight of a new sample in the moving average. */
const sampleWeight = 0.05;
/** Assumed before the first answer, so that a new route neither looks free nor blocks the others. */
const defaultServiceMs = 50;

export class ServiceTimes {
	readonly #meanMs = new Map<string, number>();

	/** Records the time from sending a request to its answer, in milliseconds. */
	record(route: string, elapsedMs: number): void {
		const known = this.#meanMs.get(route);
		this.#meanMs.set(route, known === undefined ? elapsedMs : known + ((elapsedMs - known) * sampleWeight));
	}

	/** Returns the expected time of one request of the route, in milliseconds. */
	estimateMs(route: string): number {
		return this.#meanMs.get(route) ?? defaultServiceMs;
	}

	/** Discards the routes that are not in use any more. */
	retain(routes: ReadonlySet<string>): void {
		for (const route of this.#meanMs.keys()) {
			if (!routes.has(route)) {
				this.#meanMs.delete(route);
			}
		}
	}
}
