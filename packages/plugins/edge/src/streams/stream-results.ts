/** Decides by the result of an attempt how its run has ended, and records what the result says about the server. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import {
	attemptOutcomes, describeFailure, type AttemptResult,
} from '../calls/attempt.js';
import {callKinds} from '../calls/call-kinds.js';
import {requestOutcomes, type CallerRequest} from '../front/caller-request.js';
import type {ForwardContext} from '../calls/forward-context.js';
import type {KvHandle} from '../request-codec.js';
import {forwardResponse} from '../front/responses.js';
import type {EndConfirmation} from './end-confirmation.js';
import type {EventRelay} from './event-relay.js';
import {releaseKvCache} from './kv-release.js';
import type {RequestOrigin} from './request-origin.js';
import type {StreamCalls} from './stream-calls.js';
import type {StreamPlanner} from './stream-planner.js';
import type {RunEnding, StreamProgress} from './stream-progress.js';
import type {StreamRun} from './stream-run.js';
import {runOutcomes} from './stream-runs.js';

export type StreamResultsOptions = {
	relay: EventRelay;
	calls: StreamCalls;
	planner: StreamPlanner;
	origin: RequestOrigin;
	progress: StreamProgress;
	endConfirmation: EndConfirmation;
};

export class StreamResults {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #opts: StreamResultsOptions;

	constructor(context: ForwardContext, request: CallerRequest, opts: StreamResultsOptions) {
		this.#context = context;
		this.#request = request;
		this.#opts = opts;
	}

	/** Returns undefined when another server may be tried. */
	async handleResult(run: StreamRun, {server, result, handle}: {server: KnownServer; result: AttemptResult; handle: KvHandle | undefined}): Promise<RunEnding | undefined> {
		this.#opts.progress.recordAttempt(server, result);
		switch (result.outcome) {
			case attemptOutcomes.answered: {
				return result.isStreamed ? this.finishStream(run, server, result.answer!) : this.#handleResponse(server, result, handle);
			}

			case attemptOutcomes.cancelled: {
				this.#recordNotAnswered(result, handle);
				this.#opts.origin.checkBeginning();
				return this.#opts.progress.createCallerGone();
			}

			case attemptOutcomes.replaced: {
				this.#recordNotAnswered(result, handle);
				return undefined;
			}

			default: {
				return this.#handleFailure(server, result, handle);
			}
		}
	}

	async finishStream(run: StreamRun, server: KnownServer, received: ReceivedAnswer): Promise<RunEnding | undefined> {
		const {health, crashReports} = this.#context;
		const {relay, progress, endConfirmation} = this.#opts;
		progress.isNotExecuted = false;
		this.#request.countRun?.();
		health.recordSuccess(server);
		const answer = endConfirmation.hasUnconfirmedEnd(received) ? await endConfirmation.confirm(run, server, {received, predictedMs: progress.predictedMs ?? 0}) : received;
		if (this.#request.signal.aborted) {
			return progress.createCallerGone();
		}

		if (run.isCancelled) {
			return undefined;
		}

		// A stream that had nothing left to send shows nothing, and one of unknown end has been checked.
		if (received.bodyBytes > 0 && received.verdict === answerVerdicts.whole) {
			crashReports.recordAnswer(this.#request, server, received.verdict);
		}

		return {
			as: runOutcomes.answer, finish() {
				run.sendHead();
				return relay.finish(answer) ? progress.createResult(requestOutcomes.answered, {status: 200}) : progress.fail('the end of the resumed stream can\'t be told from a break');
			},
		};
	}

	/** Releases a KV cache that no server will fetch. */
	releaseKvHandle(handle: KvHandle | undefined): void {
		if (handle) {
			this.#context.tasks.start('release-kv-cache', async () => releaseKvCache(this.#context, this.#request.service, handle));
		}
	}

	/** Records whether the server may have run the request, and releases the KV cache that it did not fetch. */
	#recordNotAnswered({isWritten}: AttemptResult, handle: KvHandle | undefined): void {
		this.#opts.progress.isNotExecuted &&= !isWritten;
		if (isWritten) {
			this.#request.countRun?.();
		} else {
			this.releaseKvHandle(handle);
		}
	}

	async #handleFailure(server: KnownServer, result: AttemptResult, handle: KvHandle | undefined): Promise<RunEnding | undefined> {
		const {health, eventLog, crashReports} = this.#context;
		const {relay, calls, planner, origin, progress} = this.#opts;
		const foreignAnswer = result.error?.foreignAnswer;
		this.#recordNotAnswered(result, handle);
		origin.checkBeginning();
		progress.grounds.add(callKinds.run, server, {result, isNotExecuted: false});
		planner.rejectServer(server);
		eventLog.emit('attemptFailed', {
			request: this.#request.metadata.requestId, server: server.id, end: result.outcome, isWritten: result.isWritten, silentMs: result.silentMs, lastAnswerMs: health.measureSilence(server), lastEvent: relay.lastEventId, reason: result.isUnproved ? 'The status of the server does not prove its start' : result.error?.message, answer: calls.lastAnswer,
		});
		if (result.outcome === attemptOutcomes.broken) {
			const isServerFailure = !result.isUnproved && !foreignAnswer;
			if (foreignAnswer) {
				health.recordForeignAnswer(server, foreignAnswer);
			} else if (isServerFailure && !result.error?.isStale && !result.error?.isBusy) {
				health.recordUnresponsive(server);
			}

			if (result.isWritten && isServerFailure) {
				await crashReports.handleLoss(this.#request, server);
			}

			if (progress.isNotExecuted || this.#isRetryable) {
				return undefined;
			}
		}

		return progress.createFailure(describeFailure(result));
	}

	#handleResponse(server: KnownServer, result: AttemptResult, handle: KvHandle | undefined): RunEnding | undefined {
		const {relay, planner, progress} = this.#opts;
		const {response} = this.#request;
		const head = result.head!;
		const metadata = this.#context.codec.decodeResponseHead(head);
		this.#context.health.recordAnswer(server);
		if (metadata.isNotExecuted) {
			progress.grounds.add(callKinds.run, server, {result, isNotExecuted: true});
			planner.rejectServer(server);
			this.releaseKvHandle(handle);
			if (metadata.pauseMs === undefined) {
				progress.setRetryAfter(metadata.retryAfterMs);
			}

			return undefined;
		}

		progress.isNotExecuted = false;
		if (head.status < 300 && !metadata.isAuthentic) {
			this.#context.health.recordBrokenResponse(server);
			planner.rejectServer(server);
			return this.#isRetryable ? undefined : progress.createFailure('the server sent an answer that is not its own');
		}

		if (relay.isOpen) {
			return this.#isRetryable ? undefined : progress.createFailure('the stream could not be resumed');
		}

		if (head.status >= 500) {
			this.#context.health.recordFailure(server);
			if (this.#isRetryable && progress.allowsServer && this.#context.retryBudget.countLeft(this.#request.service) > 0) {
				planner.rejectServer(server);
				return undefined;
			}
		}

		if (metadata.isReadAsNotExecuted && !this.#isRetryable) {
			return progress.createFailure(`the server answered ${head.status} and did not state that it has not run`);
		}

		return {
			as: head.status < 500 ? runOutcomes.answer : runOutcomes.failure, finish() {
				if (relay.isOpen) {
					// Another run has delivered since.
					return progress.fail('the stream could not be resumed');
				}

				forwardResponse(response, head, result.body);
				return progress.createResult(requestOutcomes.answered, {status: head.status});
			},
		};
	}

	get #isRetryable(): boolean {
		return this.#request.route.isResumable;
	}
}
