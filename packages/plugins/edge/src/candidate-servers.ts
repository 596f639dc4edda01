/** The servers to which a request may be sent now. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {ForwardContext} from './forward-context.js';

type Sources = Pick<ForwardContext, 'registry' | 'health' | 'pauses'>;

/** Lists the servers of a service that take requests: the healthy ones, or all if none is healthy. */
export function listCandidates({registry, health, pauses}: Sources, service: string): KnownServer[] {
	return health.selectHealthy(pauses.selectOpen(registry.listUsable(service)));
}

/** Tells whether a server that was selected before a wait may still be sent the request. */
export function isCandidate({registry, pauses}: Sources, server: KnownServer): boolean {
	return registry.isUsable(server) && !pauses.isPaused(server);
}

/** Returns when a caller that is refused should come back, in milliseconds: not before one of the servers takes requests again. */
export function computeRetryAfterMs({registry, pauses}: Sources, service: string, defaultMs: number): number {
	return Math.max(defaultMs, pauses.estimateWaitMs(registry.listUsable(service)));
}
