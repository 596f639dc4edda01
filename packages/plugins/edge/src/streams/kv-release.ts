/** Releases KV caches that no server will fetch. */
import {unlimitedGrant} from '@hickorytrack/endpoint-client/send-grant';
import {runAttempt} from '../calls/attempt.js';
import {callKinds} from '../calls/call-kinds.js';
import type {ForwardContext} from '../calls/forward-context.js';
import type {KvHandle} from '../request-codec.js';

/** After this time a KV cache that was not released has expired at its server. */
const releaseTimeoutMs = 1000;

/**
 * Asks the server that holds the KV cache to release it; a call that fails is not repeated. A server that wants no calls gets
 * none, and the KV cache expires by itself.
 */
export async function releaseKvCache({client, codec, clock, registry, pauses, limits, getConnectionLimit}: ForwardContext, service: string, handle: KvHandle): Promise<void> {
	const recipient = registry.findByAddress(handle.address);
	if (recipient && pauses.isPaused(recipient)) {
		return;
	}

	// Before the grant, which an error would keep.
	const {method, path} = codec.createReleaseCall(handle);
	const {signal} = new AbortController();
	const grant = recipient ? await limits.acquire(recipient, {call: callKinds.release, maxWaitMs: 0, signal}) : unlimitedGrant;
	if (!grant) {
		return;
	}

	await runAttempt(client, handle.address, {
		clock, signal, timeoutMs: releaseTimeoutMs, request: {
			recipient, callKind: callKinds.release, grant, method, path, headers: [], needsVerifiedConnection: false, connectionLimit: getConnectionLimit(service),
		},
	});
}
