/**
 * Confirms the end of a resumable stream that only its connection delimits, when its caller was promised a delimited one or
 * has got nothing: its server is asked again for what comes behind the last event, or another one if it does not say.
 */
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {attemptOutcomes} from '../calls/attempt.js';
import type {CallerRequest} from '../front/caller-request.js';
import {retryKinds} from '../limits/retry-budget.js';
import type {SendPermits} from '../limits/send-permits.js';
import type {EventRelay} from './event-relay.js';
import type {StreamCalls} from './stream-calls.js';
import type {StreamPlanner} from './stream-planner.js';
import type {StreamRun} from './stream-run.js';

export type EndConfirmationOptions = {
	request: CallerRequest;
	relay: EventRelay;
	calls: StreamCalls;
	permits: SendPermits;
	planner: StreamPlanner;
	/** Tells whether the request may still be sent to a server. */
	canSend: () => boolean;
	/** Selects another server that may go on with the stream, which counts as one that the request is sent to. */
	selectOther: (asked: readonly KnownServer[]) => KnownServer | undefined;
};

export class EndConfirmation {
	readonly #opts: EndConfirmationOptions;

	constructor(opts: EndConfirmationOptions) {
		this.#opts = opts;
	}

	/** Tells whether the end of a stream that only its connection delimits has to be confirmed: the caller was promised more, or got nothing of it. */
	hasUnconfirmedEnd(answer: ReceivedAnswer): boolean {
		const {request, relay} = this.#opts;
		const isPromised = !relay.canEnd(answer);
		return request.route.isResumable && relay.isOpen && answer.verdict === answerVerdicts.unknown && (isPromised || answer.bodyBytes === 0);
	}

	/**
	 * Asks the first server again for what comes behind the last event, and others if it fails without an event. If nothing
	 * comes, the end was one: a break would have to come at the same event twice. Returns the answer that the stream ends with.
	 */
	async confirm(run: StreamRun, first: KnownServer, opts: {received: ReceivedAnswer; predictedMs: number}): Promise<ReceivedAnswer> {
		const {request, relay, calls, permits, planner, canSend, selectOther} = this.#opts;
		const asked = [first];
		let answer = opts.received;
		while (answer.verdict === answerVerdicts.unknown && canSend()) {
			const server = asked.at(-1)!;
			const permit = permits.acquire(retryKinds.run);
			const grants = permit && await planner.acquireResumption(server, run);
			if (!permit || !grants || run.isCancelled || request.signal.aborted) {
				grants?.decode.release();
				grants?.proof?.release();
				permit?.release();
				return answer;
			}

			const {lastEventId} = relay;
			const result = await calls.generate(run, server, {
				permit, grant: grants.decode, proofGrant: grants.proof, placement: {
					kind: 'direct', decodeServer: server, prefillTokens: 0, predictedMs: opts.predictedMs,
				},
			});
			const hasEnded = result.outcome === attemptOutcomes.answered && result.isStreamed;
			const hasMore = relay.lastEventId !== lastEventId;
			if (hasEnded && hasMore) {
				answer = result.answer!;
				continue;
			}

			if (hasEnded) {
				return result.answer!.verdict === answerVerdicts.unknown ? {...result.answer!, verdict: answerVerdicts.whole} : result.answer!;
			}

			if (hasMore) {
				return {...answer, verdict: answerVerdicts.brokenOff};
			}

			const other = run.isCancelled || request.signal.aborted ? undefined : selectOther(asked);
			if (!other) {
				return answer;
			}

			asked.push(other);
		}

		return answer;
	}
}
