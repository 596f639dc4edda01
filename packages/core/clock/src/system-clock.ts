/** The clock implementation that reads the system time; the only one used in production. */
import type {Clock} from './clock.js';

/** Node.js ends a longer timer at once. */
const maxTimerMs = (2 ** 31) - 1;

export class SystemClock implements Clock {
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
		const timer = setTimeout(onExpired, clampDelay(ms));
		return () => {
			clearTimeout(timer);
		};
	}
}

function clampDelay(ms: number): number {
	return Math.min(maxTimerMs, Math.max(0, ms));
}
