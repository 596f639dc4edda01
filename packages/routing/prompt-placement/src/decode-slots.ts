/**
 * Estimates how long a request waits for a slot of a decode server. Long streams hold a slot for seconds, short answers
 * for milliseconds. On engines with few slots, a server full of streams frees one rarely, while a server full of short
 * answers frees one at once.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {EngineProfile} from '@hickorytrack/engine-profile';
import type {LoadTracker} from './load-tracker.js';

export class DecodeSlots {
	readonly #opts: {loadTracker: LoadTracker; profile: EngineProfile};

	constructor(opts: {loadTracker: LoadTracker; profile: EngineProfile}) {
		this.#opts = opts;
	}

	hasFreeSlot(server: KnownServer): boolean {
		return this.#opts.loadTracker.getLoad(server.id).requests < server.slots;
	}

	/** Fraction of the slots that are taken; above 1 when requests wait. */
	getLoadFraction(server: KnownServer): number {
		return this.#opts.loadTracker.getLoad(server.id).requests / server.slots;
	}

	/** Estimates the time until the server has a slot for one more request, in milliseconds; 0 before any request has ended. */
	estimateWaitMs(server: KnownServer): number {
		const {loadTracker, profile} = this.#opts;
		const {requests, streams} = loadTracker.getLoad(server.id);
		if (requests < server.slots) {
			return 0;
		}

		const streamHoldMs = profile.estimateHoldMs(server.service, true);
		const shortHoldMs = profile.estimateHoldMs(server.service, false);
		if (streamHoldMs === undefined || shortHoldMs === undefined) {
			return 0;
		}

		const runningStreams = Math.min(streams, server.slots);
		const endsPerMs = (runningStreams / Math.max(1, streamHoldMs)) + ((server.slots - runningStreams) / Math.max(1, shortHoldMs));
		return (requests - server.slots + 1) / endsPerMs;
	}
}
