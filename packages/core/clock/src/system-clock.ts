/** The clock implementation that reads the system time; the only one used in production. */
import type {Clock} from './clock.js';

/** Node.js ends a longer timer at once. */
const maxTimerMs = (2 ** 31) - 1;

export type SystemClockOptions = {
	/** Called with what a listener of a timer throws; must not throw. Without it, the error reaches the top of the process. */
	onFailed?: (error: unknown) => void;
};

export class SystemClock implements Clock {
	readonly #onFailed: ((error: unknown) => void) | undefined;

	constructor({onFailed}: SystemClockOptions = {}) {
		this.#onFailed = onFailed;
	}

	now(): number {
		return Date.now();
	}

	monotonic(): number {
		return performance.now();
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, clampDelay(ms));
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	startTimer(ms: number, onExpired: () => void): () => void {
		const timer = setTimeout(() => {
			this.#runListener(onExpired);
		}, clampDelay(ms));
		return () => {
			clearTimeout(timer);
		};
	}

	#runListener(onExpired: () => void): void {
		if (!this.#onFailed) {
			onExpired();
			return;
		}

		try {
			onExpired();
		} catch (error) {
			this.#onFailed(error);
		}
	}
}

function clampDelay(ms: number): number {
	return Math.min(maxTimerMs, Math.max(0, ms));
}
