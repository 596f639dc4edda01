/**
 * The clock interface. Packages receive a clock instead of reading the system time, so that tests control the time.
 * Wall time is for timestamps that people read; intervals, leases and deadlines use monotonic time.
 */

export type Clock = {
	/** Returns wall time in milliseconds since the epoch. */
	now(): number;
	/** Returns monotonic time in milliseconds since an arbitrary start. */
	monotonic(): number;
	/** Resolves after `ms` milliseconds, or immediately when `signal` aborts. Never rejects. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
	/** Calls the listener once after `ms` milliseconds. Returns a function that cancels this. Cheaper than `sleep` with a signal. */
	startTimer(ms: number, onExpired: () => void): () => void;
};

/** Rejects with the signal's reason once `signal` aborts; never resolves otherwise. */
export async function waitForAbort(signal: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		if (signal.aborted) {
			reject(signal.reason as Error);
			return;
		}

		signal.addEventListener('abort', () => {
			reject(signal.reason as Error);
		}, {once: true});
	});
}

/** Waits for `work`, or returns `undefined` after a timeout of `ms` milliseconds. The work itself is not cancelled. */
export async function waitWithTimeout<T>(work: Promise<T>, ms: number, clock: Clock): Promise<T | undefined> {
	let cancelTimer: (() => void) | undefined;
	const expired = new Promise<undefined>(resolve => {
		cancelTimer = clock.startTimer(ms, () => {
			resolve(undefined);
		});
	});
	try {
		return await Promise.race([work, expired]);
	} finally {
		cancelTimer?.();
	}
}
