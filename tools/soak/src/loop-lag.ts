/** Records when the event loop of a process stood still, so that the slowness of the machine can be told from that of the system. */
import type {Clock} from '@hickorytrack/clock';
import type {LagRecord} from './records.js';

/** Name under which the process of the soak, with its callers and relays, records its delays. */
export const soakProcess = 'soak';
const intervalMs = 20;
const recordedMs = 10;

/** Records delays beyond `recordedMs` until `signal` aborts. */
export async function watchLoop({clock, server, signal, record}: {clock: Clock; server: string; signal: AbortSignal; record: (lag: LagRecord) => void}): Promise<void> {
	while (!signal.aborted) {
		const startedAt = clock.monotonic();
		await clock.sleep(intervalMs);
		const delayMs = Math.round(clock.monotonic() - startedAt - intervalMs);
		if (delayMs > recordedMs) {
			record({
				type: 'lag', at: clock.now(), server, delayMs,
			});
		}
	}
}

/** Returns the part of a span in which at least one of the delays lasted. */
export function measureDelays(lags: readonly LagRecord[], from: number, until: number): number {
	let sum = 0;
	let countedUntil = from;
	for (const {at, delayMs} of lags.toSorted((a, b) => (a.at - a.delayMs) - (b.at - b.delayMs))) {
		sum += Math.max(0, Math.min(at, until) - Math.max(at - delayMs, countedUntil));
		countedUntil = Math.max(countedUntil, at);
	}

	return sum;
}
