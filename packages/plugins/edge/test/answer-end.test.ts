import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {answerFramings} from '@hickorytrack/http-answer/answer-framing';
import {answerVerdicts, type AnswerVerdict} from '@hickorytrack/http-answer/answer-reader';
import {connectionEnds} from '@hickorytrack/http-answer/connection-watch';
import {checkAnswerEnd} from '../src/calls/answer-end.js';
import {attemptOutcomes, type AttemptResult} from '../src/calls/attempt.js';
import type {CallerRequest} from '../src/front/caller-request.js';
import {serverConditions, type ServerCondition} from '../src/crashes/crash-reports.js';
import type {ForwardContext} from '../src/calls/forward-context.js';

const createResult = (verdict: AnswerVerdict): AttemptResult => ({
	outcome: attemptOutcomes.answered, head: {status: 200, headers: {}}, body: Buffer.from('part'), isWritten: true, isStreamed: false, silentMs: 0, answer: {
		framing: answerFramings.connection, verdict, bodyBytes: 4, heldBytes: 0, connectionEnd: connectionEnds.closed,
	},
});

describe('the end of an answer that only its connection delimits', () => {
	const check = async (condition: ServerCondition, {verdict = answerVerdicts.unknown, isNotExecuted = false}: {verdict?: AnswerVerdict; isNotExecuted?: boolean} = {}) => {
		let checks = 0;
		const context = {
			codec: {decodeResponseHead: () => ({isNotExecuted})}, crashReports: {
				async checkEnd() {
					checks++;
					return condition;
				},
			},
		} as unknown as ForwardContext;
		const result = await checkAnswerEnd(context, {} as unknown as CallerRequest, {server: {} as unknown as KnownServer, result: createResult(verdict)});
		return {checks, outcome: result.outcome, verdict: result.answer!.verdict};
	};

	// An edge that delimits what it sends declared an answer complete whose server had not answered the probe.
	it('is confirmed only by a server that runs', async () => {
		expect(await check(serverConditions.running)).to.deep.equal({checks: 1, outcome: attemptOutcomes.answered, verdict: answerVerdicts.unknown});
		for (const condition of [serverConditions.crashed, serverConditions.silent]) {
			expect(await check(condition)).to.deep.equal({checks: 1, outcome: attemptOutcomes.broken, verdict: answerVerdicts.brokenOff});
		}
	});

	it('is not checked if the answer delimits itself, or refuses to run the request', async () => {
		expect(await check(serverConditions.silent, {verdict: answerVerdicts.whole})).to.include({checks: 0, outcome: attemptOutcomes.answered});
		expect(await check(serverConditions.silent, {isNotExecuted: true})).to.include({checks: 0, outcome: attemptOutcomes.answered});
	});
});
