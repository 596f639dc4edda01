/**
 * Paces long requests on a thin link. What has been written waits in buffers where nothing overtakes, so a burst of prompts
 * would hold up every short request and answer behind it. Long requests wait here instead, in order, and are written at the
 * speed of the link; short ones are not paced.
 */
import type {Clock} from '@hickorytrack/clock';
import type {LinkMeter} from './link-meter.js';

export type SendPacerOptions = {
	clock: Clock;
	link: Pick<LinkMeter, 'estimateWaitMs' | 'estimateSendMs'>;
};

/** Shorter requests take less than a few milliseconds of the thinnest link. */
const minPacedBytes = 4096;
/** Bytes that wait for the link already may take this long when the next long request is written, so that the link is never idle. */
const maxWrittenMs = 10;

type Waiter = {bytes: number; release: () => void};

export class SendPacer {
	readonly #opts: SendPacerOptions;
	#waiters: Waiter[] = [];
	#waitingBytes = 0;
	/** Monotonic time from which the next request may be written, in milliseconds. */
	#nextAt = Number.NEGATIVE_INFINITY;
	#cancelTimer: (() => void) | undefined;

	constructor(opts: SendPacerOptions) {
		this.#opts = opts;
	}

	/** Number of requests that wait. */
	get length(): number {
		return this.#waiters.length;
	}

	/** Estimates how long a request with these bytes would wait, in milliseconds. */
	estimateWaitMs(bytes: number): number {
		return bytes < minPacedBytes || this.#isOpen ? 0 : this.#computeDelayMs() + this.#opts.link.estimateSendMs(this.#waitingBytes);
	}

	/** Resolves when a request with these bytes may be written, or its signal aborts; undefined if it need not wait. */
	wait(bytes: number, signal: AbortSignal): Promise<void> | undefined {
		if (bytes < minPacedBytes || signal.aborted) {
			return undefined;
		}

		if (this.#isOpen) {
			this.#record(bytes);
			return undefined;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				bytes, release() {
					signal.removeEventListener('abort', cancel);
					resolve();
				},
			};
			const cancel = () => {
				this.#remove(waiter);
				resolve();
			};

			this.#waiters.push(waiter);
			this.#waitingBytes += bytes;
			signal.addEventListener('abort', cancel, {once: true});
			this.#schedule();
		});
	}

	get #isOpen(): boolean {
		return this.#waiters.length === 0 && this.#computeDelayMs() === 0;
	}

	/** Time until the next long request may be written, in milliseconds. */
	#computeDelayMs(): number {
		const {clock, link} = this.#opts;
		return Math.max(0, this.#nextAt - clock.monotonic(), link.estimateWaitMs() - maxWrittenMs);
	}

	/** The bytes reach the link a little later, when a connection is open. */
	#record(bytes: number): void {
		this.#nextAt = this.#opts.clock.monotonic() + this.#opts.link.estimateSendMs(bytes);
	}

	#remove(waiter: Waiter): void {
		this.#waiters = this.#waiters.filter(other => other !== waiter);
		this.#waitingBytes -= waiter.bytes;
	}

	#schedule(): void {
		this.#cancelTimer ??= this.#opts.clock.startTimer(Math.max(1, this.#computeDelayMs()), () => {
			this.#cancelTimer = undefined;
			this.#releaseNext();
		});
	}

	#releaseNext(): void {
		const [next] = this.#waiters;
		if (next && this.#computeDelayMs() === 0) {
			this.#remove(next);
			this.#record(next.bytes);
			next.release();
		}

		if (this.#waiters.length > 0) {
			this.#schedule();
		}
	}
}
