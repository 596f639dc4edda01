/** Selects the server that keeps a copy of a stream's KV cache, from which the stream can resume. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {listCandidates} from '../calls/candidate-servers.js';
import type {ForwardContext} from '../calls/forward-context.js';

/**
 * Selects the server with the fewest requests among those that generate with the version of the stream's server, other than
 * the given ones and those that may refuse to resume because of a limit.
 */
export function selectBackup(context: ForwardContext, {service, version}: KnownServer, excluded: readonly KnownServer[]): KnownServer | undefined {
	const {loadTracker, limits} = context;
	const excludedIds = new Set(excluded.map(({id}) => id));
	const others = version === undefined ? [] : listCandidates(context, service, {canRun: other => other.version === version}).filter(server => !excludedIds.has(server.id) && server.stage !== 'prefill' && !limits.isLimited(server));
	return others.sort((a, b) => loadTracker.getLoad(a.id).requests - loadTracker.getLoad(b.id).requests)[0];
}
