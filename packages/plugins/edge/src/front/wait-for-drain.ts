/** Waits until the load balancer sends no more requests and the open ones have ended. */
import type {Clock} from '@hickorytrack/clock';
import type {HttpFrontend} from './http-frontend.js';

const minimumDrainMs = 3200; // The load balancer stops sending requests after two failed health checks, one second apart.
const drainPollMs = 50;

/** Resolves at the latest after the given time, in milliseconds. */
export async function waitForDrain(frontend: Pick<HttpFrontend, 'openRequests'>, {clock, maxMs}: {clock: Clock; maxMs: number}): Promise<void> {
	const startedAt = clock.monotonic();
	for (;;) {
		const elapsedMs = clock.monotonic() - startedAt;
		const isDrained = elapsedMs > minimumDrainMs && frontend.openRequests === 0;
		if (isDrained || elapsedMs > maxMs) {
			return;
		}

		await clock.sleep(drainPollMs);
	}
}
