/** Times after which refused callers should return. */
import type {Random} from '@hickorytrack/random';

export type ReturnTimeOptions = {
	/** Time before which no server takes a request, in milliseconds. */
	earliestMs: number;
	/** Time in which the work that waits now will have been served, in milliseconds. */
	backlogMs: number;
	random: Random;
};

/** Callers return over at least this part of the earliest time, so that those refused in one moment don't meet again. */
const minSpreadFraction = 0.5;

/** Returns a time at random in the period over which room appears, in milliseconds. */
export function computeReturnTimeMs({earliestMs, backlogMs, random}: ReturnTimeOptions): number {
	const spreadMs = Math.max(backlogMs, earliestMs * minSpreadFraction);
	return earliestMs + (spreadMs * random.next());
}
