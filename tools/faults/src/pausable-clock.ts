/** A clock whose sleeps don't end while its process is paused; the time itself goes on, as it does for a stopped process. */
import type {Clock} from '@hickorytrack/clock';

export class PausableClock implements Clock {
	readonly #clock: Clock;
	#pause: Promise<void> | undefined;
	#endPause: (() => void) | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Resolves at once, or when the paused process resumes. */
	get resumed(): Promise<void> {
		return this.#pause ?? Promise.resolve();
	}

	now(): number {
		return this.#clock.now();
	}

	monotonic(): number {
		return this.#clock.monotonic();
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.#clock.sleep(ms, signal);
		while (this.#pause && !signal?.aborted) {
			await this.#pause;
		}
	}

	startTimer(ms: number, onExpired: () => void): () => void {
		const abortController = new AbortController();
		void this.sleep(ms, abortController.signal).then(() => {
			if (!abortController.signal.aborted) {
				onExpired();
			}
		});
		return () => {
			abortController.abort();
		};
	}

	pause(): void {
		this.#pause ??= new Promise(resolve => {
			this.#endPause = resolve;
		});
	}

	resume(): void {
		this.#endPause?.();
		this.#pause = undefined;
	}
}
