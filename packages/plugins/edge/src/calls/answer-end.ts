/**
 * Decides about the end of an answer that only its connection delimits. Such an answer ends with a crash of its server as it
 * does when it is whole, so it counts as complete only if its server is found running. One that does not respond may have
 * crashed with its machine.
 */
import {answerVerdicts} from '@hickorytrack/http-answer/answer-reader';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {CallerRequest} from '../front/caller-request.js';
import {serverConditions} from '../crashes/crash-reports.js';
import {attemptOutcomes, type AttemptResult} from './attempt.js';
import type {ForwardContext} from './forward-context.js';

/** Returns the result of an attempt, as broken if a crash of the server may have ended its answer. A refusal to run the request needs no body. */
export async function checkAnswerEnd({codec, crashReports}: Pick<ForwardContext, 'codec' | 'crashReports'>, request: CallerRequest, {server, result}: {server: KnownServer; result: AttemptResult}): Promise<AttemptResult> {
	const {answer, head} = result;
	const isUnknown = result.outcome === attemptOutcomes.answered && answer?.verdict === answerVerdicts.unknown && !codec.decodeResponseHead(head!).isNotExecuted;
	if (!isUnknown || await crashReports.checkEnd(request, server) === serverConditions.running) {
		return result;
	}

	return {...result, outcome: attemptOutcomes.broken, answer: {...answer, verdict: answerVerdicts.brokenOff}};
}
