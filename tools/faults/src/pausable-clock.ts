/** A clock whose sleepers don't wake while the process it belongs to is paused; time itself goes on, as it does for a stopped process. */
import type {Clock} from '@hickorytrack/clock';

export class PausableClock implements Clock {
	readonly #clock: Clock;
	#gate: Promise<void> | undefined;
	#open: (() => void) | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Resolves at once, or when the process goes on. */
	get resumed(): Promise<void> {
		return this.#gate ?? Promise.resolve();
	}

	now(): number {
		return this.#clock.now();
	}

	monotonic(): number {
		return this.#clock.monotonic();
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.#clock.sleep(ms, signal);
		while (this.#gate && !signal?.aborted) {
			await this.#gate;
		}
	}

	pause(): void {
		this.#gate ??= new Promise(resolve => {
			this.#open = resolve;
		});
	}

	resume(): void {
		this.#open?.();
		this.#gate = undefined;
	}
}
