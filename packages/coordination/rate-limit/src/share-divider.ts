/**
 * Divides a fleet-wide limit among the entries that enforce it. Most of it follows the demand that each entry reports;
 * the rest is divided evenly, so that an entry whose first caller has just arrived is not without any.
 */

const evenPart = 0.2;

export type HolderDemand = {
	holder: string;
	demand: number;
};

/** Returns the fraction of the limit for each holder; the fractions add up to 1. */
export function computeShares(demands: readonly HolderDemand[]): Map<string, number> {
	const total = demands.reduce((sum, entry) => sum + entry.demand, 0);
	const even = 1 / Math.max(1, demands.length);
	return new Map(demands.map(({holder, demand}) => [holder, total > 0 ? (evenPart * even) + ((1 - evenPart) * demand / total) : even]));
}
