/** Refuses a request that was found to crash servers, as a whole or by a part of its prompt. */
import type {Ban} from '@hickorytrack/crash-attribution/run-traits';
import type {ForwardContext} from '../calls/forward-context.js';
import type {CallerRequest} from '../front/caller-request.js';
import {sendProblem} from '../front/responses.js';

/** The caller must not come back soon: as far as it waits, the answer would be the same. */
export function rejectBanned({codec, eventLog}: Pick<ForwardContext, 'codec' | 'eventLog'>, {response, route, metadata, routing}: CallerRequest, {trait, crashes, reporters, lastCrashAgeMs, trialInMs}: Ban): void {
	sendProblem(response, {
		status: 503, code: 'poison', detail: 'The request has not run: it, or a part of its prompt, crashed the servers that ran it.', headers: codec.encodeRetryAfter(route.timeoutMs),
	});
	eventLog.emit('poisonRefused', {
		request: metadata.requestId, route: route.name, routedVersion: routing?.version, trait, crashes: crashes.length, reporters, lastCrashAgeMs: Math.round(lastCrashAgeMs), trialInMs: Math.round(trialInMs),
	});
}
