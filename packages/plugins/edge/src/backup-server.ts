/** Selects the server that keeps a copy of a stream's KV cache, from which the stream can resume. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {ForwardContext} from './forward-context.js';

/** Selects the server with the fewest requests among those that generate, other than the given one. */
export function selectBackup({registry, health, loadTracker}: ForwardContext, service: string, decodeServer: KnownServer): KnownServer | undefined {
	const others = health.selectHealthy(registry.listUsable(service)).filter(server => server.id !== decodeServer.id && server.stage !== 'prefill');
	return others.sort((a, b) => loadTracker.getLoad(a.id).requests - loadTracker.getLoad(b.id).requests)[0];
}
