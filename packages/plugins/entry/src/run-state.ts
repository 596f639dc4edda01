/**
 * Computes whether a refused request has run; no other module decides this. Each attempt contributes a write status, and
 * the result is `not-run` only if every attempt is confirmed as never written to an engine.
 */
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
