/** The servers to which a request may be sent now. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {ForwardContext} from './forward-context.js';

type Sources = Pick<ForwardContext, 'registry' | 'health' | 'pauses' | 'limits'>;

export type CandidateOptions = {
	limitWaitMs?: number;
	/** Tells whether the request may run at the server at all. The servers that it rules out don't count as healthy ones. */
	canRun?: (server: KnownServer) => boolean;
};

/**
 * Lists the servers of a service that take requests: the healthy ones, or all if none is healthy. Servers at their limits
 * are left out, unless they take a request within the given time.
 */
export function listCandidates({registry, health, pauses, limits}: Sources, service: string, {limitWaitMs = 0, canRun = () => true}: CandidateOptions = {}): KnownServer[] {
	const servers = pauses.selectOpen(registry.listUsable(service).filter(server => canRun(server)));
	return health.selectHealthy(limits.hasLimits ? servers.filter(server => limits.isOpen(server, limitWaitMs)) : servers);
}

/** Lists the servers of a service that take no request within the given time because they are at their limits. */
export function listClosed({registry, limits}: Pick<Sources, 'registry' | 'limits'>, service: string, {limitWaitMs = 0, canRun = () => true}: CandidateOptions = {}): KnownServer[] {
	return limits.hasLimits ? registry.listUsable(service).filter(server => canRun(server) && !limits.isOpen(server, limitWaitMs)) : [];
}

/** Tells whether a server that was selected before a wait may still be sent the request. */
export function isCandidate({registry, pauses}: Pick<Sources, 'registry' | 'pauses'>, server: KnownServer): boolean {
	return registry.isUsable(server) && !pauses.isPaused(server);
}

/** Returns the time until one of the servers takes requests again, in milliseconds; undefined if none is known. */
export function estimateOpenMs({registry, pauses, limits}: Pick<Sources, 'registry' | 'pauses' | 'limits'>, service: string): number | undefined {
	const waits = registry.listUsable(service).map(server => Math.max(pauses.estimateWaitMs([server]), limits.estimateWaitMs(server)));
	return waits.length === 0 ? undefined : Math.min(...waits);
}

/**
 * Returns when a caller that is refused should come back, in milliseconds: not before one of the servers takes requests again,
 * and where requests wait here, spread over the time in which these are served.
 */
export function computeRetryAfterMs({admission, ...sources}: Pick<Sources, 'registry' | 'pauses' | 'limits'> & Pick<ForwardContext, 'admission'>, service: string, defaultMs: number): number {
	return admission.computeReturnMs(service, Math.max(defaultMs, estimateOpenMs(sources, service) ?? 0));
}
