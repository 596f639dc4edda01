/**
 * Computes whether a refused request has run; no other module decides this. Each attempt contributes a write status, and
 * the result is `not-run` only if every attempt is confirmed as never written to an engine.
 */
import type {IncomingMessage} from 'node:http';
import type {AttemptEnd, RunState} from '@hickorytrack/types/work';

export type WriteStatus =
	/** The attempt was refused, or it ended or got a tombstone before it was written to the engine. */
	| 'not-written'
	/** The engine may have received the attempt, or this can't be determined. */
	| 'written-or-unknown';

export function getWriteStatus(end: AttemptEnd): WriteStatus {
	switch (end.kind) {
		case 'refused': {
			return 'not-written';
		}

		case 'cancelled':
		case 'engine-failed':
		case 'engine-crashed': {
			return end.written ? 'written-or-unknown' : 'not-written';
		}

		default: {
			return 'written-or-unknown';
		}
	}
}

export function computeRunState(statuses: readonly WriteStatus[]): RunState {
	return statuses.every(status => status === 'not-written') ? 'not-run' : 'may-have-run';
}

/**
 * Returns the run state of a request that is rejected before its claim is read. A call with an idempotency key may be a
 * resend of one that ran, which is unknown until then.
 */
export function getRunStateBeforeClaim(request: IncomingMessage): RunState {
	return request.headers['idempotency-key'] === undefined ? 'not-run' : 'may-have-run';
}
