/**
 * Work that all instances have in flight at each server. An instance knows its own exactly; the others share theirs many
 * times a second, so that a queue is known long before the server's own report shows it.
 */
import type {Clock} from '@hickorytrack/clock';

export type ServerLoad = {
	/** Prompt tokens that are sent and not read yet, as estimated. */
	promptTokens: number;
	requests: number;
	/** Of the requests, those with a long answer; a server that reads prompts beside them makes their callers wait. */
	streams: number;
};

export type LoadShare = {
	instance: string;
	servers: Array<ServerLoad & {id: string}>;
};

export type LoadTicket = {
	/** The prompt is read; the request still runs. */
	finishReading(): void;
	finish(): void;
};

/** Shares of an instance that was not heard for so long no longer count; it may have died. */
const staleMs = 1000;

export class LoadBoard {
	readonly #clock: Clock;
	readonly #own = new Map<string, ServerLoad>();
	readonly #others = new Map<string, {servers: Map<string, ServerLoad>; heardAt: number}>();
	#isChanged = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Counts a request that is sent to a server. */
	add(id: string, promptTokens: number, opts: {isStream?: boolean} = {}): LoadTicket {
		const streams = opts.isStream ? 1 : 0;
		this.#change(id, {promptTokens, requests: 1, streams});
		let unread = promptTokens;
		let isOpen = true;
		const finishReading = () => {
			this.#change(id, {promptTokens: -unread, requests: 0, streams: 0});
			unread = 0;
		};

		return {
			finishReading,
			finish: () => {
				if (isOpen) {
					isOpen = false;
					finishReading();
					this.#change(id, {promptTokens: 0, requests: -1, streams: -streams});
				}
			},
		};
	}

	noteShare(share: LoadShare): void {
		this.#others.set(share.instance, {heardAt: this.#clock.monotonic(), servers: new Map(share.servers.map(({id, ...load}) => [id, load]))});
	}

	/** Returns what all instances together have in flight at the server. */
	read(id: string): ServerLoad {
		const own = this.#own.get(id);
		const sum = {promptTokens: own?.promptTokens ?? 0, requests: own?.requests ?? 0, streams: own?.streams ?? 0};
		const now = this.#clock.monotonic();
		for (const [instance, {servers, heardAt}] of this.#others) {
			if (now - heardAt > staleMs) {
				this.#others.delete(instance);
				continue;
			}

			const load = servers.get(id);
			sum.promptTokens += load?.promptTokens ?? 0;
			sum.requests += load?.requests ?? 0;
			sum.streams += load?.streams ?? 0;
		}

		return sum;
	}

	/** Returns this instance's load for the others, or undefined when it is as it was at the last call. */
	takeShare(instance: string, opts: {isForced: boolean}): LoadShare | undefined {
		if (!this.#isChanged && !opts.isForced) {
			return undefined;
		}

		this.#isChanged = false;
		return {instance, servers: [...this.#own].map(([id, load]) => ({id, ...load, promptTokens: Math.round(load.promptTokens)}))};
	}

	#change(id: string, change: ServerLoad): void {
		const load = this.#own.get(id) ?? {promptTokens: 0, requests: 0, streams: 0};
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
