/**
 * The one place that decides what a refusal says about whether the request has run. Each attempt leaves a trace; the
 * verdict is `not-run` only when every attempt is confirmed as never written to an engine.
 */
import type {AttemptEnd, RunState} from '@hickorytrack/types/work';

export type WriteStatus =
	/** The agent refused it, or barred it before it was written. */
	| 'not-written'
	/** The engine can have seen it, or nobody can say. */
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

export function computeRunState(traces: readonly WriteStatus[]): RunState {
	return traces.every(trace => trace === 'not-written') ? 'not-run' : 'may-have-run';
}
