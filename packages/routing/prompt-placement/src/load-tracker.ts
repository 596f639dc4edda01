/**
 * Tracks the work that all instances have in flight on each server. An instance counts its own requests exactly and
 * receives those of the others at the interval of load sharing, so a queue is known long before the server reports it.
 */
import type {Clock} from '@hickorytrack/clock';
import type {LoadEntry} from '@hickorytrack/types/peer-methods';

export type ServerLoad = {
	/** Estimated prompt tokens that were sent and not prefilled yet. */
	promptTokens: number;
	requests: number;
	/** Number of the requests that have a long answer; prefill on the same server stalls their streams. */
	streams: number;
};

/** With the expected work, which placement by speed needs. */
export type WorkLoad = ServerLoad & {
	/** Expected work of the requests whose work is known, in milliseconds. */
	workMs: number;
	/** Number of the requests whose work is not known. */
	unknownWork: number;
};

export type InFlightLoad = {
	/** Removes the prompt tokens once prefill has ended; the request still counts. */
	releasePrefill(): void;
	/** Removes the request; further calls have no effect. */
	release(): void;
};

/** Weight of a request in the mean of the tokens that requests hold. */
const memorySampleWeight = 0.02;
/** Unit of the work in a load share, in milliseconds. */
const workUnitMs = 10;

/** A source that has sent no load for this time may have crashed; its entries are removed. */
const sourceTimeoutMs = 1000;

type Source = {
	entries: readonly LoadEntry[];
	heardAt: number;
};

export class LoadTracker {
	readonly #clock: Clock;
	readonly #own = new Map<string, WorkLoad>();
	readonly #sources = new Map<string, Source>();
	/** Load of all sources by server, kept as a sum so that a look-up does not visit every source. */
	readonly #remoteTotals = new Map<string, WorkLoad>();
	/** Tokens of this instance's requests that the memory of each server holds. */
	readonly #ownMemoryTokens = new Map<string, number>();
	/** Mean of these tokens by request, by which those of the other instances count. */
	#meanMemoryTokens = 0;
	#expiresAt = Number.POSITIVE_INFINITY;
	readonly #listeners: Array<() => void> = [];
	#isChanged = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Registers a listener for changes of this instance's own load. */
	onChange(listener: () => void): void {
		this.#listeners.push(listener);
	}

	/** Adds a request that is sent to a server. */
	add(id: string, promptTokens: number, opts: {isStream?: boolean; workMs?: number; memoryTokens?: number} = {}): InFlightLoad {
		const streams = opts.isStream ? 1 : 0;
		const {workMs = 0, memoryTokens = 0} = opts;
		this.#updateMemory(id, memoryTokens);
		const unknownWork = workMs > 0 ? 0 : 1;
		this.#updateOwn(id, {
			promptTokens, requests: 1, streams, workMs, unknownWork,
		});
		let isPending = true;
		let isOpen = true;
		const releasePrefill = () => {
			if (isPending) {
				isPending = false;
				this.#updateOwn(id, {
					promptTokens: -promptTokens, requests: 0, streams: 0, workMs: 0, unknownWork: 0,
				});
			}
		};

		return {
			releasePrefill,
			release: () => {
				if (isOpen) {
					isOpen = false;
					releasePrefill();
					this.#updateMemory(id, -memoryTokens);
					this.#updateOwn(id, {
						promptTokens: 0, requests: -1, streams: -streams, workMs: -workMs, unknownWork: -unknownWork,
					});
				}
			},
		};
	}

	/** Replaces the entries of a source. Returns whether they differ from the previous ones. */
	replaceSource(source: string, entries: readonly LoadEntry[]): boolean {
		const isChanged = !areEqual(this.#sources.get(source)?.entries ?? [], entries);
		this.#removeSource(source);
		const heardAt = this.#clock.monotonic();
		this.#sources.set(source, {entries, heardAt});
		this.#expiresAt = Math.min(this.#expiresAt, heardAt + sourceTimeoutMs);
		for (const entry of entries) {
			addEntry(this.#remoteTotals, entry, 1);
		}

		return isChanged;
	}

	/** Removes all sources except one, whose entries include the load of the others from now on. */
	removeOtherSources(source: string): void {
		for (const other of this.#sources.keys()) {
			if (other !== source) {
				this.#removeSource(other);
			}
		}
	}

	/** Returns the load of all instances on the server. */
	getLoad(id: string): ServerLoad {
		this.#expireSources();
		const own = this.#own.get(id);
		const others = this.#remoteTotals.get(id);
		return {
			promptTokens: (own?.promptTokens ?? 0) + (others?.promptTokens ?? 0),
			requests: (own?.requests ?? 0) + (others?.requests ?? 0),
			streams: (own?.streams ?? 0) + (others?.streams ?? 0),
		};
	}

	/** Returns the number of requests that this instance itself has in flight on the server. */
	countOwnRequests(id: string): number {
		return this.#own.get(id)?.requests ?? 0;
	}

	/** Returns what the other instances have at the server. */
	getRemoteLoad(id: string): Readonly<WorkLoad> {
		this.#expireSources();
		return this.#remoteTotals.get(id) ?? noLoad;
	}

	/** Estimates the tokens of the requests of all instances at a model server. */
	estimateMemoryTokens(id: string): number {
		return (this.#ownMemoryTokens.get(id) ?? 0) + (Math.max(0, this.getRemoteLoad(id).requests) * this.#meanMemoryTokens);
	}

	/** Returns whether this instance's own load has changed since the last call, and clears the flag. */
	clearChanged(): boolean {
		const isChanged = this.#isChanged;
		this.#isChanged = false;
		return isChanged;
	}

	/** Lists the load of this instance, including that of the given sources. */
	listOwn(opts: {with?: Iterable<string>} = {}): LoadEntry[] {
		this.#expireSources();
		const sum = copyLoads(this.#own);
		for (const source of opts.with ?? []) {
			for (const entry of this.#sources.get(source)?.entries ?? []) {
				addEntry(sum, entry, 1);
			}
		}

		return listEntries(sum);
	}

	/** Lists the load of all instances except one source. */
	listAllExcept(source: string): LoadEntry[] {
		this.#expireSources();
		const sum = copyLoads(this.#remoteTotals);
		for (const entry of this.#sources.get(source)?.entries ?? []) {
			addEntry(sum, entry, -1);
		}

		for (const entry of listEntries(this.#own)) {
			addEntry(sum, entry, 1);
		}

		return listEntries(sum);
	}

	#removeSource(source: string): void {
		const removed = this.#sources.get(source);
		this.#sources.delete(source);
		for (const entry of removed?.entries ?? []) {
			addEntry(this.#remoteTotals, entry, -1);
		}
	}

	#expireSources(): void {
		const now = this.#clock.monotonic();
		if (now <= this.#expiresAt) {
			return;
		}

		this.#expiresAt = Number.POSITIVE_INFINITY;
		for (const [source, {heardAt}] of this.#sources) {
			if (now - heardAt > sourceTimeoutMs) {
				this.#removeSource(source);
			} else {
				this.#expiresAt = Math.min(this.#expiresAt, heardAt + sourceTimeoutMs);
			}
		}
	}

	#updateMemory(id: string, change: number): void {
		if (change > 0) {
			this.#meanMemoryTokens += (change - this.#meanMemoryTokens) * (this.#meanMemoryTokens === 0 ? 1 : memorySampleWeight);
		}

		const tokens = (this.#ownMemoryTokens.get(id) ?? 0) + change;
		if (tokens > 0) {
			this.#ownMemoryTokens.set(id, tokens);
		} else {
			this.#ownMemoryTokens.delete(id);
		}
	}

	#updateOwn(id: string, change: WorkLoad): void {
		const load = this.#own.get(id) ?? createLoad();
		load.promptTokens = Math.max(0, load.promptTokens + change.promptTokens);
		load.requests += change.requests;
		load.streams += change.streams;
		load.workMs += change.workMs;
		load.unknownWork += change.unknownWork;
		this.#own.set(id, load);
		this.#isChanged = true;
		if (load.requests <= 0) {
			this.#own.delete(id);
		}

		for (const listener of this.#listeners) {
			listener();
		}
	}
}

function areEqual(a: readonly LoadEntry[], b: readonly LoadEntry[]): boolean {
	return a.length === b.length && a.every((entry, index) => entry.length === b[index]!.length && entry.every((value, position) => value === b[index]![position]));
}

const noLoad: Readonly<WorkLoad> = createLoad();

function createLoad(): WorkLoad {
	return {
		promptTokens: 0, requests: 0, streams: 0, workMs: 0, unknownWork: 0,
	};
}

function copyLoads(loads: ReadonlyMap<string, WorkLoad>): Map<string, WorkLoad> {
	return new Map([...loads].map(([id, load]) => [id, {...load}]));
}

/** Adds an entry to a sum, or subtracts it; entries are integers, so the subtraction is exact. */
function addEntry(sum: Map<string, WorkLoad>, entry: LoadEntry, sign: 1 | -1): void {
	const [id, promptTokens, requests, streams, work] = entry;
	const load = sum.get(id) ?? createLoad();
	load.promptTokens += sign * promptTokens;
	load.requests += sign * requests;
	load.streams += sign * streams;
	load.workMs += sign * (work ?? 0) * workUnitMs;
	load.unknownWork += work === undefined ? sign * requests : 0;
	if (load.requests === 0 && load.promptTokens === 0) {
		sum.delete(id);
	} else {
		sum.set(id, load);
	}
}

function listEntries(loads: ReadonlyMap<string, WorkLoad>): LoadEntry[] {
	const entries: LoadEntry[] = [];
	for (const [id, {promptTokens, requests, streams, workMs, unknownWork}] of loads) {
		// Requests of unknown work count as the mean of the others, because a share has no room for the work of every server.
		const known = requests - unknownWork;
		const isKnown = workMs > 0 && known > 0;
		entries.push(isKnown ? [id, Math.round(promptTokens), requests, streams, Math.max(1, Math.round(workMs * requests / known / workUnitMs))] : [id, Math.round(promptTokens), requests, streams]);
	}

	return entries;
}
