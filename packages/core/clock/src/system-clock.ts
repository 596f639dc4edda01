/** The clock implementation that reads the system time; the only one used in production. */
import type {Clock} from './clock.js';

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

			const timer = setTimeout(finish, Math.max(0, ms));
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	startTimer(ms: number, onExpired: () => void): () => void {
		const timer = setTimeout(onExpired, Math.max(0, ms));
		return () => {
			clearTimeout(timer);
		};
	}
}
