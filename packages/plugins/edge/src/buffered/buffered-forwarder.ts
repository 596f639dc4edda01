/**
 * Forwards a request and buffers the whole response before the caller gets any of it, so that a truncated response never
 * looks complete. Another server gets the request only if it is idempotent or is known not to have run. An idempotent
 * request whose server takes long is started at another one beside it; the first usable answer ends the other attempt.
 */
import {admissionDecisions} from '@hickorytrack/admission-queue';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {unlimitedGrant, type SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {WorkKind} from '@hickorytrack/expected-work/work-estimates';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {listSharedParts} from '@hickorytrack/prompt-placement/prompt';
import {requestKinds} from '@hickorytrack/route-table/route-types';
import {checkAnswerEnd} from '../calls/answer-end.js';
import {
	AttemptCanceller, attemptOutcomes, describeFailure, runAttempt, type AttemptResult,
} from '../calls/attempt.js';
import {
	computeRetryAfterMs, isCandidate, listCandidates, listClosed,
} from '../calls/candidate-servers.js';
import {forwardResponse, sendProblem} from '../front/responses.js';
import {retryKinds} from '../limits/retry-budget.js';
import {SendPermits, type SendPermit} from '../limits/send-permits.js';
import {callKinds} from '../calls/call-kinds.js';
import {RefusalGrounds} from '../calls/refusal-grounds.js';
import {
	requestOutcomes, type CallerRequest, type RequestResult,
} from '../front/caller-request.js';
import {computeLimitWaitMs} from '../limits/server-limits.js';
import {
	countAnsweredRun, countCallBytes, createAnswerIdentity, createOutboundRequest, computeRemainingMs, defaultRetryAfterMs, type ForwardContext,
} from '../calls/forward-context.js';

/** Time after which an idempotent request is started at another server as well, as a fraction of the time until its deadline. */
const overdueFraction = 0.55;
const minimumRetryMs = 20; // With less time left, another attempt would not complete before the deadline.

/** Why a request that is not admitted is refused. */
const admissionReasons = {
	[admissionDecisions.late]: 'no server can answer it in time',
	[admissionDecisions.full]: 'too many requests wait',
	[admissionDecisions.stopping]: 'this instance stops',
} as const;

type EndedAttempt = {server: KnownServer; result: AttemptResult};
/** An attempt, or the start of one, that threw an error. */
type FailedAttempt = {error: unknown};

export class BufferedForwarder {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #permits: SendPermits;
	readonly #servers: KnownServer[] = [];
	/** Servers of which an attempt has ended before a byte of the request was written; the route's maximum doesn't count them. */
	#unsentServers = 0;
	readonly #runningAttempts = new Set<AttemptCanceller>();
	readonly #endedAttempts: Array<EndedAttempt | FailedAttempt> = [];
	#onAttemptEnded: (() => void) | undefined;
	#cancelOverdueTimer: (() => void) | undefined;
	#isFinished = false;
	/** True until a server may have started to run the request. */
	#isNotExecuted = true;
	readonly #grounds: RefusalGrounds;
	readonly #workKind: WorkKind;
	#retryAfterMs = defaultRetryAfterMs;
	/** The last 5xx response of a server, forwarded when no other server gives a better one. */
	#failedResult: AttemptResult | undefined;
	#lastAnswer: ReceivedAnswer | undefined;

	constructor(context: ForwardContext, request: CallerRequest) {
		this.#context = context;
		this.#request = request;
		this.#permits = new SendPermits(context.retryBudget, request);
		this.#workKind = createWorkKind(request);
		this.#grounds = new RefusalGrounds(createAnswerIdentity(context, request));
	}

	async forward(): Promise<RequestResult> {
		try {
			return await this.#runAttempts();
		} finally {
			this.#isFinished = true;
			this.#cancelOverdueTimer?.();
			for (const canceller of this.#runningAttempts) {
				canceller.cancel();
			}
		}
	}

	async #runAttempts(): Promise<RequestResult> {
		const decided = this.#context.admission.acquire(this.#request, this.#remainingMs);
		const decision = typeof decided === 'string' ? decided : await decided;
		if (decision !== admissionDecisions.admitted) {
			return decision === admissionDecisions.cancelled ? this.#createResult(requestOutcomes.callerGone) : this.#fail(admissionReasons[decision]);
		}

		for (;;) {
			if (this.#runningAttempts.size === 0) {
				const refusal = await this.#startAttempt();
				if (refusal !== undefined) {
					return this.#request.signal.aborted ? this.#createResult(requestOutcomes.callerGone) : this.#fail(refusal);
				}
			}

			const {server, result: received} = await this.#waitForAttempt();
			const result = await checkAnswerEnd(this.#context, this.#request, {server, result: received});
			this.#lastAnswer = result.answer;
			const requestResult = await this.#handleResult(server, result);
			if (requestResult) {
				return requestResult;
			}

			if (this.#runningAttempts.size === 0 && !this.#canStartAnother) {
				return this.#fail('no further server is allowed');
			}
		}
	}

	get #remainingMs(): number {
		return computeRemainingMs(this.#context, this.#request);
	}

	get #canStartAnother(): boolean {
		return this.#servers.length - this.#unsentServers < this.#request.route.maxServers && this.#remainingMs >= minimumRetryMs;
	}

	get #isRetryable(): boolean {
		return this.#request.route.kind === requestKinds.idempotent;
	}

	/** Selects a server that takes the request now, or else one that takes it within the time. */
	#selectServer(limitWaitMs: number): KnownServer | undefined {
		const {leastLoadPlacement, availabilityZone, expectedWork} = this.#context;
		const workMs = expectedWork.isUneven(this.#request.service) ? expectedWork.estimateMs(this.#workKind) : undefined;
		const select = (waitMs: number) => leastLoadPlacement.select(listCandidates(this.#context, this.#request.service, {limitWaitMs: waitMs}), {excluded: new Set(this.#servers.map(server => server.id)), availabilityZone, workMs});
		return select(0) ?? select(limitWaitMs);
	}

	/** Starts an attempt at the next server, or returns why there is none. */
	async #startAttempt(): Promise<string | undefined> {
		const {clock, crashReports, limits} = this.#context;
		for (;;) {
			if (crashReports.findBan(this.#request)) {
				return 'the request crashes servers';
			}

			const limitWaitMs = computeLimitWaitMs(this.#request, clock.monotonic());
			const server = this.#selectServer(limitWaitMs);
			if (!server) {
				return listClosed(this.#context, this.#request.service).length > 0 ? 'the servers are at the limits that they have named' : 'no usable server is known';
			}

			const permit = this.#permits.acquire(retryKinds.run);
			if (!permit) {
				return 'the retry budget is used up';
			}

			if (!limits.isLimited(server)) {
				this.#sendTo(server, {permit, grant: unlimitedGrant});
				return undefined;
			}

			const grant = await limits.acquire(server, {call: callKinds.run, maxWaitMs: limits.isOpen(server) ? 0 : limitWaitMs, signal: this.#request.signal});
			const isWanted = !this.#isFinished && !this.#request.signal.aborted && this.#canStartAnother;
			if (grant && isWanted && isCandidate(this.#context, server) && !this.#servers.includes(server)) {
				this.#sendTo(server, {permit, grant});
				return undefined;
			}

			grant?.release();
			permit.release();
			if (!isWanted) {
				return 'no further server is allowed';
			}
		}
	}

	#sendTo(server: KnownServer, opts: {permit: SendPermit; grant: SendGrant}): void {
		this.#servers.push(server);
		this.#context.tasks.start('buffered-run', async () => this.#runAndRecord(server, opts));
		if (this.#isRetryable) {
			this.#startOverdueTimer(server);
		}
	}

	/** The error of an attempt fails the request, whose handler waits for one of the attempts. */
	async #runAndRecord(server: KnownServer, opts: {permit: SendPermit; grant: SendGrant}): Promise<void> {
		const canceller = new AttemptCanceller();
		this.#runningAttempts.add(canceller);
		try {
			const result = await this.#runAttempt(server, {...opts, canceller});
			this.#recordEnded({server, result});
		} catch (error) {
			this.#recordEnded({error});
		} finally {
			this.#runningAttempts.delete(canceller);
		}
	}

	async #runAttempt(server: KnownServer, {permit, grant, canceller}: {permit: SendPermit; grant: SendGrant; canceller: AttemptCanceller}): Promise<AttemptResult> {
		const {clock, client, loadTracker, admission, expectedWork, ownResources} = this.#context;
		const sentAt = clock.monotonic();
		const work = expectedWork.begin(server, this.#workKind, loadTracker.getRemoteLoad(server.id), {ownMs: ownResources?.estimateCallMs(countCallBytes(this.#request))});
		const inFlightLoad = loadTracker.add(server.id, 0, {workMs: expectedWork.isUneven(server.service) ? work.workMs : 0});
		let runMs: number | undefined;
		let isSample = false;
		try {
			const result = await runAttempt(client, server.address, {
				clock, signal: this.#request.signal, timeoutMs: this.#remainingMs, canceller, hold: this.#request.answerHold, onHead: head => {
					countAnsweredRun(this.#context, this.#request, head);
				}, request: createOutboundRequest(this.#context, this.#request, {
					server, permit, grant, needsVerifiedConnection: !this.#isRetryable,
				}),
			});
			permit.finish({isWritten: result.isWritten, isAccepted: true});
			if (result.outcome === attemptOutcomes.answered) {
				runMs = this.#isWorkDone(result.head!) ? clock.monotonic() - sentAt : undefined;
			} else if (result.isWritten) {
				this.#request.countRun?.();
			}

			isSample = this.#isWorkSample(server, result);
			return result;
		} finally {
			// A grant that was used stays used.
			grant.release();
			inFlightLoad.release();
			admission.recordEnd(this.#request, runMs);
			work.end({isSample});
		}
	}

	/** Tells whether the time of the answer is that of the request's work. A cold server is slow for a while. */
	#isWorkSample(server: KnownServer, {outcome, head, isHeldUp}: AttemptResult): boolean {
		return outcome === attemptOutcomes.answered && isHeldUp !== true && server.coldMs === 0 && this.#isWorkDone(head!);
	}

	/** An error may be answered before any work is done, so that a server with a fault would pass for a fast one. */
	#isWorkDone(head: ResponseHead): boolean {
		return head.status < 400 && !this.#context.codec.decodeResponseHead(head).isNotExecuted;
	}

	#recordEnded(ended: EndedAttempt | FailedAttempt): void {
		this.#endedAttempts.push(ended);
		this.#onAttemptEnded?.();
	}

	async #waitForAttempt(): Promise<EndedAttempt> {
		if (this.#endedAttempts.length === 0) {
			await new Promise<void>(resolve => {
				this.#onAttemptEnded = resolve;
			});
		}

		const ended = this.#endedAttempts.shift()!;
		if ('error' in ended) {
			throw ended.error;
		}

		return ended;
	}

	/** The server may be sound and silent for a moment, so its attempt goes on. */
	#startOverdueTimer(server: KnownServer): void {
		this.#cancelOverdueTimer?.();
		const startedAt = this.#context.clock.monotonic();
		this.#cancelOverdueTimer = this.#context.clock.startTimer(this.#remainingMs * overdueFraction, () => {
			this.#context.tasks.start('overdue-run', async () => {
				try {
					await this.#handleOverdue(server, this.#context.clock.monotonic() - startedAt);
				} catch (error) {
					this.#recordEnded({error});
				}
			});
		});
	}

	async #handleOverdue(server: KnownServer, silentMs: number): Promise<void> {
		if (!this.#canStartAnother) {
			return;
		}

		// The answer has begun and waits for room here; that of another server would wait as well.
		if ([...this.#runningAttempts].some(({isHeldUp}) => isHeldUp)) {
			this.#startOverdueTimer(server);
			return;
		}

		const {health, eventLog, metrics} = this.#context;
		health.recordSilent(server);
		const refusal = await this.#startAttempt();
		if (this.#isFinished) {
			return;
		}

		const isTakenOver = refusal === undefined;
		metrics.count('silent_servers_total', {service: server.service, decision: isTakenOver ? 'another-server' : 'wait'});
		eventLog.emit('serverSilent', {
			request: this.#request.metadata.requestId, server: server.id, isGenerating: true, silentMs: Math.round(silentMs), lastAnswerMs: health.measureSilence(server), isTakenOver, reason: refusal,
		});
		if (!isTakenOver) {
			this.#startOverdueTimer(server);
		}
	}

	/** Returns the result of the request, or undefined when another server may be tried. */
	async #handleResult(server: KnownServer, result: AttemptResult): Promise<RequestResult | undefined> {
		if (result.outcome === attemptOutcomes.answered) {
			return this.#handleResponse(server, result);
		}

		const {health, eventLog, crashReports} = this.#context;
		if (result.outcome === attemptOutcomes.cancelled) {
			return this.#createResult(requestOutcomes.callerGone);
		}

		const isStale = result.error?.isStale ?? false;
		const foreignAnswer = result.error?.foreignAnswer;
		if (foreignAnswer) {
			health.recordForeignAnswer(server, foreignAnswer);
		} else if (isStale || result.isHeldUp === true || result.error?.isBusy) {
			// A stale connection does not mean that the server is unhealthy; onConnectionLost probes it. Nor does a lack of connections.
		} else if (result.isWritten && result.outcome === attemptOutcomes.broken) {
			health.recordBrokenResponse(server);
		} else {
			health.recordUnresponsive(server);
		}

		this.#isNotExecuted &&= !result.isWritten;
		this.#unsentServers += result.isWritten ? 0 : 1;
		this.#grounds.add(callKinds.run, server, {result, isNotExecuted: false});
		eventLog.emit('attemptFailed', {
			request: this.#request.metadata.requestId, server: server.id, end: result.outcome, isWritten: result.isWritten, isStale, silentMs: result.silentMs, lastAnswerMs: health.measureSilence(server), reason: result.error?.message, answer: result.answer,
		});
		if (result.outcome === attemptOutcomes.broken && result.isWritten && !foreignAnswer) {
			await crashReports.handleLoss(this.#request, server);
		}

		if (this.#isNotExecuted || this.#isRetryable) {
			return undefined;
		}

		return this.#fail(describeFailure(result));
	}

	#handleResponse(server: KnownServer, result: AttemptResult): RequestResult | undefined {
		const {codec, health, crashReports} = this.#context;
		const head = result.head!;
		const metadata = codec.decodeResponseHead(head);
		health.recordAnswer(server);
		if (metadata.isNotExecuted) {
			this.#grounds.add(callKinds.run, server, {result, isNotExecuted: true});
			if (metadata.pauseMs === undefined) {
				this.#retryAfterMs = metadata.retryAfterMs ?? this.#retryAfterMs;
			}

			return undefined;
		}

		this.#isNotExecuted = false;
		if (head.status < 300 && !metadata.isAuthentic) {
			health.recordBrokenResponse(server);
			return this.#isRetryable ? undefined : this.#fail('the server sent an answer that is not its own');
		}

		if (head.status >= 500) {
			health.recordFailure(server);
			if (this.#isRetryable) {
				this.#failedResult = result;
				return undefined;
			}
		} else {
			health.recordSuccess(server);
			// The end of any other answer has been checked.
			if (result.answer?.verdict === answerVerdicts.whole) {
				crashReports.recordAnswer(this.#request, server, result.answer.verdict);
			}
		}

		if (metadata.isReadAsNotExecuted && !this.#isRetryable) {
			return this.#fail(`the server answered ${head.status} and did not state that it has not run`);
		}

		forwardResponse(this.#request.response, head, result.body);
		return this.#createResult(requestOutcomes.answered, {status: head.status});
	}

	#fail(reason: string): RequestResult {
		const {codec} = this.#context;
		const {response} = this.#request;
		if (this.#failedResult) {
			forwardResponse(response, this.#failedResult.head!, this.#failedResult.body);
			return this.#createResult(requestOutcomes.answered, {status: this.#failedResult.head!.status, reason});
		}

		if (this.#isNotExecuted) {
			const retryAfterMs = computeRetryAfterMs(this.#context, this.#request.service, this.#retryAfterMs);
			sendProblem(response, {
				status: 503, code: 'not-run', detail: `The request has not run: ${reason}.`, headers: codec.encodeRetryAfter(retryAfterMs),
			});
			return this.#createResult(requestOutcomes.refused, {status: 503, reason, retryAfterMs});
		}

		const isPastDeadline = computeRemainingMs(this.#context, this.#request) <= 1;
		sendProblem(response, {status: isPastDeadline ? 504 : 502, code: 'may-have-run', detail: `The request may have run: ${reason}.`});
		return this.#createResult(isPastDeadline ? requestOutcomes.timedOut : requestOutcomes.failed, {status: isPastDeadline ? 504 : 502, reason});
	}

	#createResult(outcome: RequestResult['outcome'], rest: Omit<RequestResult, 'outcome' | 'servers'> = {}): RequestResult {
		return {
			outcome, servers: this.#servers.map(server => server.id), grounds: this.#grounds.list, answer: this.#lastAnswer, ...rest,
		};
	}
}

function createWorkKind({service, route, metadata: {prompt}}: CallerRequest): WorkKind {
	return {
		service, route: route.name, outputTokens: prompt?.maxOutputTokens, promptTokens: prompt?.tokens, subject: prompt && listSharedParts(prompt).at(-1)?.id,
	};
}
