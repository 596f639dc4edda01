/**
 * Divides a fleet-wide limit among the entries that enforce it (the holders). Most of the limit is divided in proportion
 * to the demand that each entry reports; the rest is divided evenly, so that an entry without reported demand can admit
 * its first requests.
 */

const evenFraction = 0.2;

export type HolderDemand = {
	holder: string;
	demand: number;
};

/** Returns the fraction of the limit for each holder. The fractions add up to 1. */
export function computeShares(demands: readonly HolderDemand[]): Map<string, number> {
	const total = demands.reduce((sum, entry) => sum + entry.demand, 0);
	const evenShare = 1 / Math.max(1, demands.length);
	return new Map(demands.map(({holder, demand}) => [holder, total > 0 ? (evenFraction * evenShare) + ((1 - evenFraction) * demand / total) : evenShare]));
}
