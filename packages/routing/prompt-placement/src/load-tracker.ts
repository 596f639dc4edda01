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

export type InFlightLoad = {
	/** Removes the prompt tokens once prefill has ended; the request still counts. */
	releasePrefill(): void;
	/** Removes the request; further calls have no effect. */
	release(): void;
};

/** A source that has sent no load for this time may have crashed; its entries are removed. */
const sourceTimeoutMs = 1000;

type Source = {
	entries: readonly LoadEntry[];
	heardAt: number;
};

export class LoadTracker {
	readonly #clock: Clock;
	readonly #own = new Map<string, ServerLoad>();
	readonly #sources = new Map<string, Source>();
	/** Load of all sources by server, kept as a sum so that a look-up does not visit every source. */
	readonly #remoteTotals = new Map<string, ServerLoad>();
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
	add(id: string, promptTokens: number, opts: {isStream?: boolean} = {}): InFlightLoad {
		const streams = opts.isStream ? 1 : 0;
		this.#updateOwn(id, {promptTokens, requests: 1, streams});
		let isPending = true;
		let isOpen = true;
		const releasePrefill = () => {
			if (isPending) {
				isPending = false;
				this.#updateOwn(id, {promptTokens: -promptTokens, requests: 0, streams: 0});
			}
		};

		return {
			releasePrefill,
			release: () => {
				if (isOpen) {
					isOpen = false;
					releasePrefill();
					this.#updateOwn(id, {promptTokens: 0, requests: -1, streams: -streams});
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

	#updateOwn(id: string, change: ServerLoad): void {
		const load = this.#own.get(id) ?? createLoad();
		load.promptTokens = Math.max(0, load.promptTokens + change.promptTokens);
		load.requests += change.requests;
		load.streams += change.streams;
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
	return a.length === b.length && a.every((entry, index) => entry.every((value, position) => value === b[index]![position]));
}

function createLoad(): ServerLoad {
	return {promptTokens: 0, requests: 0, streams: 0};
}

function copyLoads(loads: ReadonlyMap<string, ServerLoad>): Map<string, ServerLoad> {
	return new Map([...loads].map(([id, load]) => [id, {...load}]));
}

/** Adds an entry to a sum, or subtracts it; entries are integers, so the subtraction is exact. */
function addEntry(sum: Map<string, ServerLoad>, entry: LoadEntry, sign: 1 | -1): void {
	const [id, promptTokens, requests, streams] = entry;
	const load = sum.get(id) ?? createLoad();
	load.promptTokens += sign * promptTokens;
	load.requests += sign * requests;
	load.streams += sign * streams;
	if (load.requests === 0 && load.promptTokens === 0) {
		sum.delete(id);
	} else {
		sum.set(id, load);
	}
}

function listEntries(loads: ReadonlyMap<string, ServerLoad>): LoadEntry[] {
	return [...loads].map(([id, load]) => [id, Math.round(load.promptTokens), load.requests, load.streams]);
}
