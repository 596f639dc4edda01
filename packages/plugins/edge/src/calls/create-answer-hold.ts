/** Creates what holds the answers of a request, and reports its caller if it does not read them. */
import type {EdgeOptions} from '../edge-settings.js';
import type {CallerRequest} from '../front/caller-request.js';
import type {RequestLog} from '../front/request-log.js';
import {AnswerHold} from './answer-hold.js';

export function createAnswerHold(request: CallerRequest, {clock, account, requestLog}: Pick<EdgeOptions, 'clock' | 'account'> & {requestLog: RequestLog}): AnswerHold {
	const {response, deadlineAt} = request;
	return new AnswerHold({
		clock, part: account.getPart('answers'), response, deadlineAt, onSlowReader(unreadBytes) {
			requestLog.recordSlowReader(request, unreadBytes);
		},
	});
}
