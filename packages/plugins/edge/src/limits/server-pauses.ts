/**
 * Pauses that servers ask for. A server that rejects a request and says how long it wants no others gets none from this
 * instance for that time. After it the load returns gradually: the number of requests that the server may have in flight
 * grows from one to its slots, over a time as long as the pause. A pause ends with the start of the server that asked for it.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Incarnation, KnownServer} from '@hickorytrack/endpoint-registry';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';

type Pause = {
	startedAt: number;
	durationMs: number;
	endsAt: number;
};

/** A longer pause is cut to this time, so that an invalid value does not exclude a server for good. */
const maxPauseMs = 600_000;

export class ServerPauses {
	readonly #opts: {clock: Clock; loadTracker: LoadTracker};
	/** By server id. */
	readonly #pauses = new Map<string, Pause>();

	constructor(opts: {clock: Clock; loadTracker: LoadTracker}) {
		this.#opts = opts;
	}

	/** Starts a pause, in milliseconds. A shorter one does not end one that the same start has asked for. */
	record({id, startedAt}: Incarnation, ms: number): void {
		const durationMs = Math.min(ms, maxPauseMs);
		const endsAt = this.#opts.clock.monotonic() + durationMs;
		const known = this.#pauses.get(id);
		if (known?.startedAt !== startedAt || known.endsAt < endsAt) {
			this.#pauses.set(id, {startedAt, durationMs, endsAt});
		}
	}

	isPaused(server: Incarnation): boolean {
		return this.#getRemainingMs(server) > 0;
	}

	/** Returns the servers that may get another request now. */
	selectOpen(servers: readonly KnownServer[]): readonly KnownServer[] {
		return this.#pauses.size === 0 ? servers : servers.filter(server => this.#isOpen(server));
	}

	/** Returns the time until the first of the servers may get a request again, in milliseconds; 0 if one may now or there is none. */
	estimateWaitMs(servers: readonly KnownServer[]): number {
		return servers.length === 0 ? 0 : Math.max(0, Math.min(...servers.map(server => this.#getRemainingMs(server))));
	}

	#getRemainingMs({id, startedAt}: Incarnation): number {
		const pause = this.#pauses.get(id);
		return pause?.startedAt === startedAt ? pause.endsAt - this.#opts.clock.monotonic() : 0;
	}

	/** Returns how many requests the server may have in flight during a pause and while its load returns; undefined at other times. */
	findMaxRequests(server: KnownServer): number | undefined {
		const pause = this.#pauses.get(server.id);
		if (!pause) {
			return undefined;
		}

		const openMs = -this.#getRemainingMs(server);
		if (pause.startedAt !== server.startedAt || openMs >= pause.durationMs) {
			this.#pauses.delete(server.id);
			return undefined;
		}

		return openMs < 0 ? 0 : Math.max(1, Math.ceil(server.slots * openMs / pause.durationMs));
	}

	#isOpen(server: KnownServer): boolean {
		const maxRequests = this.findMaxRequests(server);
		return maxRequests === undefined || this.#opts.loadTracker.getLoad(server.id).requests < maxRequests;
	}
}
