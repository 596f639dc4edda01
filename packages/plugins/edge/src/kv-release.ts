/** Releases KV caches that no server will fetch. */
import {runAttempt} from './attempt.js';
import {callKinds} from './call-kinds.js';
import type {ForwardContext} from './forward-context.js';
import type {KvHandle} from './request-codec.js';

/** After this time a KV cache that was not released has expired at its server. */
const releaseTimeoutMs = 1000;

/** Asks the server that holds the KV cache to release it; a call that fails is not repeated. */
export function releaseKvCache({client, codec, clock, registry, pauses, getConnectionLimit}: ForwardContext, service: string, handle: KvHandle): void {
	const recipient = registry.findByAddress(handle.address);
	if (recipient && pauses.isPaused(recipient)) {
		// The server wants no calls, and the KV cache expires by itself.
		return;
	}

	const {method, path} = codec.createReleaseCall(handle);
	void runAttempt(client, handle.address, {
		clock, signal: new AbortController().signal, timeoutMs: releaseTimeoutMs, request: {
			recipient, callKind: callKinds.release, method, path, headers: [], needsVerifiedConnection: false, connectionLimit: getConnectionLimit(service),
		},
	});
}
