/**
 * Work that all instances have in flight at each server. An instance knows its own exactly; the others share theirs many
 * times a second, so that a queue is known long before the server's own report shows it.
 */
import type {Clock} from '@hickorytrack/clock';
import type {LoadEntry} from '@hickorytrack/types/peer-methods';

export type ServerLoad = {
	/** Prompt tokens that are sent and not read yet, as estimated. */
	promptTokens: number;
	requests: number;
	/** Of the requests, those with a long answer; a server that reads prompts beside them makes their callers wait. */
	streams: number;
};

export type InFlightLoad = {
	/** The prompt is read; the request still runs. */
	releasePrefill(): void;
	release(): void;
};

/** Shares of a source that was not heard for so long no longer count; it may have died. */
const staleMs = 1000;

type Source = {
	entries: readonly LoadEntry[];
	heardAt: number;
};

export class LoadTracker {
	readonly #clock: Clock;
	readonly #own = new Map<string, ServerLoad>();
	readonly #sources = new Map<string, Source>();
	/** What all sources together have told, kept so that reading one server does not visit every source. */
	readonly #others = new Map<string, ServerLoad>();
	#expiresAt = Number.POSITIVE_INFINITY;
	#isChanged = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Counts a request that is sent to a server. */
	add(id: string, promptTokens: number, opts: {isStream?: boolean} = {}): InFlightLoad {
		const streams = opts.isStream ? 1 : 0;
		this.#change(id, {promptTokens, requests: 1, streams});
		let unread = promptTokens;
		let isOpen = true;
		const finishReading = () => {
			this.#change(id, {promptTokens: -unread, requests: 0, streams: 0});
			unread = 0;
		};

		return {
			releasePrefill: finishReading,
			release: () => {
				if (isOpen) {
					isOpen = false;
					finishReading();
					this.#change(id, {promptTokens: 0, requests: -1, streams: -streams});
				}
			},
		};
	}

	/** Replaces what a source has told before. */
	replaceSource(source: string, entries: readonly LoadEntry[]): void {
		this.#forget(source);
		const heardAt = this.#clock.monotonic();
		this.#sources.set(source, {entries, heardAt});
		this.#expiresAt = Math.min(this.#expiresAt, heardAt + staleMs);
		for (const entry of entries) {
			addEntry(this.#others, entry, 1);
		}
	}

	/** Forgets every source but one, which speaks for all others from now on. */
	removeOtherSources(source: string): void {
		for (const other of this.#sources.keys()) {
			if (other !== source) {
				this.#forget(other);
			}
		}
	}

	/** Returns what all instances together have in flight at the server. */
	getLoad(id: string): ServerLoad {
		this.#expire();
		const own = this.#own.get(id);
		const others = this.#others.get(id);
		return {
			promptTokens: (own?.promptTokens ?? 0) + (others?.promptTokens ?? 0),
			requests: (own?.requests ?? 0) + (others?.requests ?? 0),
			streams: (own?.streams ?? 0) + (others?.streams ?? 0),
		};
	}

	/** Tells whether this instance's own load has changed since the last call. */
	clearChanged(): boolean {
		const isChanged = this.#isChanged;
		this.#isChanged = false;
		return isChanged;
	}

	/** Lists this instance's load, with that of some sources added. */
	listOwn(opts: {with?: Iterable<string>} = {}): LoadEntry[] {
		this.#expire();
		const sum = copyLoads(this.#own);
		for (const source of opts.with ?? []) {
			for (const entry of this.#sources.get(source)?.entries ?? []) {
				addEntry(sum, entry, 1);
			}
		}

		return listEntries(sum);
	}

	/** Lists the load of all instances but that of one source. */
	listAllExcept(source: string): LoadEntry[] {
		this.#expire();
		const sum = copyLoads(this.#others);
		for (const entry of this.#sources.get(source)?.entries ?? []) {
			addEntry(sum, entry, -1);
		}

		for (const entry of listEntries(this.#own)) {
			addEntry(sum, entry, 1);
		}

		return listEntries(sum);
	}

	#forget(source: string): void {
		const known = this.#sources.get(source);
		this.#sources.delete(source);
		for (const entry of known?.entries ?? []) {
			addEntry(this.#others, entry, -1);
		}
	}

	#expire(): void {
		const now = this.#clock.monotonic();
		if (now <= this.#expiresAt) {
			return;
		}

		this.#expiresAt = Number.POSITIVE_INFINITY;
		for (const [source, {heardAt}] of this.#sources) {
			if (now - heardAt > staleMs) {
				this.#forget(source);
			} else {
				this.#expiresAt = Math.min(this.#expiresAt, heardAt + staleMs);
			}
		}
	}

	#change(id: string, change: ServerLoad): void {
		const load = this.#own.get(id) ?? createLoad();
		load.promptTokens = Math.max(0, load.promptTokens + change.promptTokens);
		load.requests += change.requests;
		load.streams += change.streams;
		this.#own.set(id, load);
		this.#isChanged = true;
		if (load.requests <= 0) {
			this.#own.delete(id);
		}
	}
}

function createLoad(): ServerLoad {
	return {promptTokens: 0, requests: 0, streams: 0};
}

function copyLoads(loads: ReadonlyMap<string, ServerLoad>): Map<string, ServerLoad> {
	return new Map([...loads].map(([id, load]) => [id, {...load}]));
}

/** Adds an entry to a sum, or takes it out; the whole numbers of a share make that exact. */
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
