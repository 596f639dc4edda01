/** Watches the work at a service's servers: how many streams run at once, and how busy reading is. */
import type {Clock} from '@hickorytrack/clock';
import {serverStages} from '@hickorytrack/endpoint-registry';
import type {StageServer} from './stage-planner.js';

/** Peaks of streams count for this time; a burst may come back. */
const peakWindowMs = 60_000;
const peakStepMs = 1000;
/** Reading is averaged over about this time. */
const readingWindowMs = 8000;
/** Work is judged once it was watched for this time since the first request. */
const warmUpMs = 4000;

export class LoadObserver {
	readonly #clock: Clock;
	readonly #peaks: Array<{at: number; streams: number}> = [];
	#readingShare = 0;
	#notedAt: number | undefined;
	#trafficSince: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get hasTraffic(): boolean {
		return this.#trafficSince !== undefined;
	}

	get isWarm(): boolean {
		return this.#trafficSince !== undefined && this.#clock.monotonic() - this.#trafficSince >= warmUpMs;
	}

	get readingShare(): number {
		return this.#readingShare;
	}

	get peakStreams(): number {
		return Math.max(0, ...this.#peaks.map(peak => peak.streams));
	}

	observe(servers: readonly StageServer[]): void {
		const now = this.#clock.monotonic();
		const elapsedMs = now - (this.#notedAt ?? now);
		this.#notedAt = now;
		if (servers.some(server => server.promptTokens > 0 || server.streams > 0)) {
			this.#trafficSince ??= now;
		}

		this.#notePeak(servers.reduce((sum, server) => sum + server.streams, 0), now);
		const readers = servers.filter(server => server.stage === serverStages.prefill && !server.isChanging);
		if (this.hasTraffic && readers.length > 0) {
			const busy = readers.filter(server => server.promptTokens > 0).length / readers.length;
			this.#readingShare += (busy - this.#readingShare) * Math.min(1, elapsedMs / readingWindowMs);
		}
	}

	#notePeak(streams: number, now: number): void {
		const last = this.#peaks.at(-1);
		if (last && now - last.at < peakStepMs) {
			last.streams = Math.max(last.streams, streams);
		} else {
			this.#peaks.push({at: now, streams});
		}

		while (this.#peaks.length > 0 && now - this.#peaks[0]!.at > peakWindowMs) {
			this.#peaks.shift();
		}
	}
}
