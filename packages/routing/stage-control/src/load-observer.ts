/** Observes the load of a service's servers: the peak of concurrent streams and the prefill utilisation. */
import type {Clock} from '@hickorytrack/clock';
import {serverStages} from '@hickorytrack/endpoint-registry';
import type {StageServer} from './stage-planner.js';

/** Peaks of streams are kept for this time, because a burst may recur. */
const peakWindowMs = 60_000;
const peakBucketMs = 1000;
/** Time constant of the moving average of the prefill utilisation. */
const utilisationWindowMs = 8000;
/** The observed load is used for planning only after this time since the first request. */
const warmUpMs = 4000;

export class LoadObserver {
	readonly #clock: Clock;
	readonly #peaks: Array<{at: number; streams: number}> = [];
	#readingShare = 0;
	#lastObservedAt: number | undefined;
	#firstTrafficAt: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get hasTraffic(): boolean {
		return this.#firstTrafficAt !== undefined;
	}

	get isWarm(): boolean {
		return this.#firstTrafficAt !== undefined && this.#clock.monotonic() - this.#firstTrafficAt >= warmUpMs;
	}

	get readingShare(): number {
		return this.#readingShare;
	}

	get peakStreams(): number {
		return Math.max(0, ...this.#peaks.map(peak => peak.streams));
	}

	observe(servers: readonly StageServer[]): void {
		const now = this.#clock.monotonic();
		const elapsedMs = now - (this.#lastObservedAt ?? now);
		this.#lastObservedAt = now;
		if (servers.some(server => server.promptTokens > 0 || server.streams > 0)) {
			this.#firstTrafficAt ??= now;
		}

		this.#recordPeak(servers.reduce((sum, server) => sum + server.streams, 0), now);
		const prefillServers = servers.filter(server => server.stage === serverStages.prefill && !server.isChanging);
		if (this.hasTraffic && prefillServers.length > 0) {
			const busyFraction = prefillServers.filter(server => server.promptTokens > 0).length / prefillServers.length;
			this.#readingShare += (busyFraction - this.#readingShare) * Math.min(1, elapsedMs / utilisationWindowMs);
		}
	}

	#recordPeak(streams: number, now: number): void {
		const last = this.#peaks.at(-1);
		if (last && now - last.at < peakBucketMs) {
			last.streams = Math.max(last.streams, streams);
		} else {
			this.#peaks.push({at: now, streams});
		}

		while (this.#peaks.length > 0 && now - this.#peaks[0]!.at > peakWindowMs) {
			this.#peaks.shift();
		}
	}
}
