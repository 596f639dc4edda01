/** What the process of `npm run bench -- edge-cost` and that of its load agree on. */
export type EdgeCostCommand =
	/** Starts the servers, which report to the edges at these control addresses from now on. */
	| {kind: 'serve'; controls: readonly string[]; seed: number}
	/** Sends so many requests a second to each of these edges, or none. */
	| {kind: 'load'; fronts: readonly string[]; perSecond: number}
	/** Asks for the number of answers by address and status, 0 for none, and of calls to servers by kind, under `calls`. */
	| {kind: 'count'};

export type EdgeCostCounts = Record<string, Record<string, number>>;

export const costHost = 'a.example';
