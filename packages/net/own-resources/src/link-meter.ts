/**
 * The wait for the instance's own link. Bytes that have been written wait in buffers of the operating system and of the
 * network, which can't be read, so they are modelled as a queue that drains at the speed of the link.
 */
import type {Clock} from '@hickorytrack/clock';

export type LinkMeterOptions = {
	clock: Clock;
	/** Speed of the link, in Mbit/s. */
	linkMbps: number;
};

/** 1 Mbit/s is 125 bytes per millisecond. */
export const bytesPerMsPerMbps = 125;
/** Time constant of the mean wait: longer than a burst of requests, shorter than a change of the load. */
const meanWindowMs = 500;

export class LinkMeter {
	/** Bytes written since the start. */
	sentBytes = 0;
	readonly #clock: Clock;
	readonly #bytesPerMs: number;
	#queuedBytes = 0;
	#meanWaitMs = 0;
	#updatedAt: number;

	constructor({clock, linkMbps}: LinkMeterOptions) {
		this.#clock = clock;
		this.#bytesPerMs = linkMbps * bytesPerMsPerMbps;
		this.#updatedAt = clock.monotonic();
	}

	/** Records bytes that are written to the link. */
	record(bytes: number): void {
		this.#drain();
		this.#queuedBytes += bytes;
		this.sentBytes += bytes;
	}

	/** Time until bytes that are written now begin to leave, in milliseconds. */
	estimateWaitMs(): number {
		this.#drain();
		return this.#queuedBytes / this.#bytesPerMs;
	}

	/** Mean wait over the last half second, in milliseconds; expected by bytes that are written somewhat later. */
	estimateMeanWaitMs(): number {
		this.#drain();
		return this.#meanWaitMs;
	}

	/** Time in which the link transmits the bytes, in milliseconds. */
	estimateSendMs(bytes: number): number {
		return bytes / this.#bytesPerMs;
	}

	#drain(): void {
		const now = this.#clock.monotonic();
		const elapsedMs = now - this.#updatedAt;
		if (elapsedMs <= 0) {
			return;
		}

		const waitMs = this.#queuedBytes / this.#bytesPerMs;
		const busyMs = Math.min(waitMs, elapsedMs);
		// The wait has fallen in a straight line for `busyMs` and was 0 from then on.
		const averageMs = busyMs * (waitMs - (busyMs / 2)) / elapsedMs;
		this.#meanWaitMs += (averageMs - this.#meanWaitMs) * (1 - Math.exp(-elapsedMs / meanWindowMs));
		this.#queuedBytes = Math.max(0, this.#queuedBytes - (elapsedMs * this.#bytesPerMs));
		this.#updatedAt = now;
	}
}
