/**
 * What a request waits for behind its deadline. Its attempts have ended by then; what is asked about their servers has one
 * bound together, so that the checks can't come one after another until the last resort.
 */
import type {CallerRequest} from '../front/caller-request.js';

/** Shorter than the allowance of the last resort (`DeadlineGuard`). */
const maxSettleMs = 250;

/** Time for which the request may wait for all that is asked about its servers, in milliseconds. */
export function computeSettleMs({deadlineAt}: Pick<CallerRequest, 'deadlineAt'>, now: number): number {
	return Math.max(0, deadlineAt + maxSettleMs - now);
}
