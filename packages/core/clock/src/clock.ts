/**
 * The clock interface. Every package takes a clock instead of reading the time, so that tests decide what time it is.
 * Wall time is for records that people read; all intervals, leases and deadlines use monotonic time.
 */

export type Clock = {
	/** Returns wall time in milliseconds since the epoch. */
	now(): number;
	/** Returns monotonic time in milliseconds from an arbitrary start. */
	monotonic(): number;
	/** Resolves after `ms` milliseconds, or at once when `signal` aborts. It never rejects. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
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

/** Waits for `work` for at most `ms` milliseconds and returns `undefined` after that. The work itself is not stopped. */
export async function waitWithTimeout<T>(work: Promise<T>, ms: number, clock: Clock): Promise<T | undefined> {
	const finished = new AbortController();
	try {
		return await Promise.race([work, clock.sleep(ms, finished.signal).then(() => undefined)]);
	} finally {
		finished.abort();
	}
}
