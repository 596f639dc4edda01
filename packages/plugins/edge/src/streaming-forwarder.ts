/**
 * Forwards a request whose response is a stream of events. A long prompt is prefilled by one server, whose KV cache is
 * handed over to the server that generates; the events are forwarded to the caller as they arrive. A resumable stream
 * continues at another server after its last complete event; any other request runs at most once.
 *
 * A silent server may be sound and go on. So silence ends no attempt: another run is started beside it, if one is allowed and
 * a server answers. Two servers must not work on one stream for long: once the second one has been sent the request, the
 * first run ends when that server takes it or says nothing in time, and goes on if it does not take it. A stream that the
 * second server then fails may go back to the first one.
 */
import {unlimitedGrant, type SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import {describeError} from '@hickorytrack/errors';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Placement} from '@hickorytrack/prompt-placement';
import {
	attemptOutcomes, describeFailure, type AttemptResult,
} from './attempt.js';
import {computeRetryAfterMs, isCandidate, listCandidates} from './candidate-servers.js';
import {forwardResponse, sendProblem} from './responses.js';
import {callKinds} from './call-kinds.js';
import {RefusalGrounds} from './refusal-grounds.js';
import {
	requestOutcomes, type CallerRequest, type RequestResult,
} from './caller-request.js';
import {EventRelay} from './event-relay.js';
import {releaseKvCache} from './kv-release.js';
import type {KvHandle} from './request-codec.js';
import {RequestOrigin} from './request-origin.js';
import {retryKinds} from './retry-budget.js';
import {SendPermits, type SendPermit} from './send-permits.js';
import {EndConfirmation} from './end-confirmation.js';
import {StreamCalls, type GenerationOptions} from './stream-calls.js';
import {StreamPlanner, type GrantedPlan, type StreamPlan} from './stream-planner.js';
import {StreamRun, type RunEnding} from './stream-run.js';
import {
	createAnswerIdentity, computeRemainingMs, defaultRetryAfterMs, type ForwardContext,
} from './forward-context.js';

/** The core admits a version within the time of a few syncs. */
const maxAdmissionWaitMs = 300;
/** For how long two servers may work on one stream, in milliseconds. The platform allows 400, until the first one has seen the end. */
const maxSharedWorkMs = 300;
const minimumRetryMs = 20; // With less time left, another attempt would not complete before the deadline.
/** A trait of the request was found to crash servers while it was on its way. */
const bannedReason = 'the request or a part of its prompt crashes servers';

/** How another server takes over. */
type Takeover = {run: StreamRun; start: () => Promise<RunEnding | undefined>};
type DeniedTakeover = {reason: string};

export class StreamingForwarder {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #relay: EventRelay;
	readonly #calls: StreamCalls;
	readonly #permits: SendPermits;
	/** Servers that were asked to generate the response. */
	readonly #servers: KnownServer[] = [];
	readonly #planner: StreamPlanner;
	readonly #origin: RequestOrigin;
	readonly #endConfirmation: EndConfirmation;
	#isNotExecuted = true;
	readonly #grounds: RefusalGrounds;
	/** Runs that have not ended. */
	readonly #runs = new Set<StreamRun>();
	/** Kept for the return of the stream to a server whose run was ended before another one had accepted the request. */
	#returnPermit: SendPermit | undefined;
	#retryAfterMs = defaultRetryAfterMs;
	/** Time to the first event, as predicted when the request was first placed, in milliseconds. */
	#predictedMs: number | undefined;

	constructor(context: ForwardContext, request: CallerRequest) {
		this.#context = context;
		this.#request = request;
		this.#grounds = new RefusalGrounds(createAnswerIdentity(context, request));
		this.#relay = new EventRelay(request.response, {clock: context.clock, isResumable: request.route.isResumable});
		this.#origin = new RequestOrigin(request, {origins: context.origins, startProof: context.startProof, getTime: () => context.clock.monotonic()});
		this.#calls = new StreamCalls(context, request, {
			relay: this.#relay, origin: this.#origin, onAccepted: run => {
				this.#cancelPredecessors(run);
			}, onSilent: (run, server, silentMs) => {
				try {
					this.#handleSilence(run, server, silentMs);
				} catch (error) {
					this.#reportError(error);
				}
			},
		});
		this.#permits = new SendPermits(context.retryBudget, request);
		this.#planner = new StreamPlanner(context, request, {
			permits: this.#permits, prompt: this.#calls.prompt, origin: this.#origin, relay: this.#relay,
		});
		this.#endConfirmation = new EndConfirmation({
			request, relay: this.#relay, calls: this.#calls, permits: this.#permits, planner: this.#planner, canSend: () => !this.#isBanned && this.#remainingMs >= minimumRetryMs, selectOther: asked => this.#selectConfirmingServer(asked),
		});
	}

	async forward(): Promise<RequestResult> {
		let isComplete = false;
		try {
			const ending = await this.#runUntilEnd();
			// A caller that takes a stream up must not come before it is known which start of a server has begun it.
			await this.#origin.finishCheck();
			const result = ending.finish();
			isComplete = result.outcome === requestOutcomes.answered || !this.#relay.isOpen;
			return result;
		} finally {
			this.#returnPermit?.release();
			this.#origin.close({isComplete});
		}
	}

	async #runUntilEnd(): Promise<RunEnding> {
		await this.#origin.waitForAdmission(this.#context.registry.listUsable(this.#request.service), Math.min(maxAdmissionWaitMs, this.#remainingMs));
		for (;;) {
			if (this.#isBanned) {
				return this.#createFailure(bannedReason);
			}

			const permit = this.#takeReturnPermit() ?? this.#permits.acquire(retryKinds.run);
			if (!permit) {
				return this.#createFailure('the retry budget is used up');
			}

			const run = this.#createRun({permit, allowedServers: this.#allowedServers});
			const ending = await this.#runToEnd(run, async () => this.#followPlan(run, this.#planner.plan(run)));
			if (ending) {
				return ending;
			}

			if (!this.#canRunAgain) {
				return this.#createFailure('no further server is allowed');
			}
		}
	}

	get #isRetryable(): boolean {
		return this.#request.route.isResumable;
	}

	get #canRunElsewhere(): boolean {
		return this.#servers.length < this.#request.route.maxServers && this.#remainingMs >= minimumRetryMs;
	}

	/** Ids of the servers that may generate when the request must not be sent to another one: those that have not failed it. */
	get #allowedServers(): ReadonlySet<string> | undefined {
		if (this.#servers.length < this.#request.route.maxServers) {
			return undefined;
		}

		const atWork = new Set([...this.#runs].map(({server}) => server?.id));
		return new Set(this.#servers.filter(server => !atWork.has(server.id) && !this.#planner.isRejected(server)).map(({id}) => id));
	}

	get #canRunAgain(): boolean {
		const allowed = this.#allowedServers;
		return this.#remainingMs >= minimumRetryMs && (allowed === undefined || (this.#isRetryable && allowed.size > 0));
	}

	/** Asked before each call: the crash that shows the cause may be told while the request is on its way. */
	get #isBanned(): boolean {
		return this.#context.crashReports.findBan(this.#request) !== undefined;
	}

	get #remainingMs(): number {
		return computeRemainingMs(this.#context, this.#request);
	}

	#createRun(opts: {permit?: SendPermit; predecessor?: StreamRun; allowedServers?: ReadonlySet<string>}): StreamRun {
		const run = new StreamRun({
			...opts, relay: this.#relay, acceptEvents: ({server}) => this.#origin.accept(server!), onDelivery: () => {
				this.#takeReturnPermit()?.release();
				this.#cancelOthers(run);
			},
		});
		return run;
	}

	/** Ends the runs that are no longer needed because this one answers. */
	#cancelOthers(run: StreamRun): void {
		for (const other of this.#runs) {
			if (other !== run) {
				this.#cancelRun(other, run);
			}
		}
	}

	/** The runs before this one that have not ended. */
	#listPredecessors(run: StreamRun): StreamRun[] {
		return run.listPredecessors().filter(predecessor => this.#runs.has(predecessor));
	}

	#cancelPredecessors(run: StreamRun): void {
		for (const predecessor of this.#listPredecessors(run)) {
			this.#cancelRun(predecessor, run);
		}
	}

	#cancelRun(run: StreamRun, by: StreamRun): void {
		if (!run.isCancelled) {
			run.cancel();
			if (!this.#request.signal.aborted) {
				this.#reportTakeover(run, by);
			}
		}
	}

	/** Has a server generate the response. The runs at work before this one are on hold until the server takes the request or does not. */
	async #generate(run: StreamRun, server: KnownServer, opts: GenerationOptions): Promise<AttemptResult> {
		const predecessors = this.#listPredecessors(run).filter(({isGenerating}) => isGenerating);
		for (const predecessor of predecessors) {
			predecessor.hold();
		}

		const cancelTimer = predecessors.length === 0
			? undefined
			: this.#context.clock.startTimer(maxSharedWorkMs, () => {
				this.#decideForWaiting(run);
			});
		try {
			return await this.#calls.generate(run, server, opts);
		} finally {
			cancelTimer?.();
			for (const predecessor of predecessors) {
				predecessor.release();
			}
		}
	}

	/** Ends one of two runs whose servers both say nothing: the first one, unless the second server was not reached. */
	#decideForWaiting(run: StreamRun): void {
		const predecessors = this.#listPredecessors(run);
		if (run.canceller.isWritten) {
			this.#cancelPredecessors(run);
		} else if (predecessors.length > 0) {
			run.cancel();
		}
	}

	/** Keeps a retry with which a stream may go back from a second server; false if there is none. One with a copy of its KV cache does not go back. */
	#reserveReturn(): boolean {
		if (this.#isRetryable) {
			this.#returnPermit ??= this.#permits.acquire(retryKinds.run);
		}

		return !this.#isRetryable || this.#returnPermit !== undefined;
	}

	#takeReturnPermit(): SendPermit | undefined {
		const permit = this.#returnPermit;
		this.#returnPermit = undefined;
		return permit;
	}

	/** Tells whether the server answers right before it is sent the request of a silent one. */
	async #isResponding(run: StreamRun, server: KnownServer): Promise<boolean> {
		const {health, startProof, eventLog} = this.#context;
		const maxWaitMs = Math.min(this.#remainingMs, this.#request.route.patienceMs ?? Number.POSITIVE_INFINITY);
		if (!await startProof.isAnswering(server, maxWaitMs)) {
			this.#planner.rejectServer(server);
			eventLog.emit('attemptFailed', {
				request: this.#request.metadata.requestId, server: server.id, end: attemptOutcomes.broken, isWritten: false, lastAnswerMs: health.measureSilence(server), lastEvent: this.#relay.lastEventId, reason: 'The server does not answer a call for its status',
			});
			return false;
		}

		health.recordSignOfLife(server);
		return !run.isCancelled && !this.#request.signal.aborted;
	}

	/** Resolves when the run and the runs that were started beside it have ended. Undefined when another server may be tried. */
	async #runToEnd(run: StreamRun, start: () => Promise<RunEnding | undefined>): Promise<RunEnding | undefined> {
		this.#runs.add(run);
		let ending: RunEnding | undefined;
		try {
			ending = await start();
		} finally {
			this.#runs.delete(run);
			run.permit?.release();
		}

		if (ending?.isAnswer) {
			this.#cancelOthers(run);
			return ending;
		}

		const successorEnding = await run.successorEnding;
		return successorEnding?.isAnswer ? successorEnding : ending ?? successorEnding;
	}

	async #followPlan(run: StreamRun, plan: StreamPlan): Promise<RunEnding | undefined> {
		const granted = await this.#planner.acquireGrants(run, plan);
		if (!granted) {
			return this.#request.signal.aborted ? this.#createCallerGone() : undefined;
		}

		if ('kind' in granted) {
			this.#retryAfterMs = Math.max(this.#retryAfterMs, granted.retryAfterMs);
			return this.#createFailure(granted.reason);
		}

		try {
			return await this.#runGranted(run, granted);
		} finally {
			granted.grants.prefill.release();
			granted.grants.decode.release();
		}
	}

	async #runGranted(run: StreamRun, {placement, prefillPermit, grants}: GrantedPlan): Promise<RunEnding | undefined> {
		this.#predictedMs ??= placement.predictedMs;
		const handle = placement.kind === 'hand-over' ? await this.#prefill(run, placement, {permit: prefillPermit!, grant: grants.prefill}) : undefined;
		if (this.#request.signal.aborted) {
			this.#releaseKvHandle(handle);
			return this.#createCallerGone();
		}

		if (placement.kind === 'hand-over' && (!handle || !await this.#canGenerate(run))) {
			this.#releaseKvHandle(handle);
			return this.#remainingMs < 1 ? this.#createFailure('the prefill did not finish before the deadline') : undefined;
		}

		const decodeServer = handle ? this.#planner.selectDecodeServer(run, placement.decodeServer) : placement.decodeServer;
		if (!decodeServer) {
			this.#releaseKvHandle(handle);
			return undefined;
		}

		if (run.hasPredecessor && !await this.#isResponding(run, decodeServer)) {
			this.#releaseKvHandle(handle);
			return this.#request.signal.aborted ? this.#createCallerGone() : undefined;
		}

		const prepared = this.#origin.prepare(decodeServer);
		if (prepared !== true && (!await prepared || run.isCancelled || this.#request.signal.aborted)) {
			this.#releaseKvHandle(handle);
			this.#planner.rejectServer(decodeServer);
			if (this.#request.signal.aborted) {
				return this.#createCallerGone();
			}

			return run.isCancelled || this.#canRunElsewhere ? undefined : this.#createFailure('no server of the version that began the stream takes it');
		}

		this.#addServer(decodeServer);
		const grant = decodeServer.id === placement.decodeServer.id ? grants.decode : unlimitedGrant;
		const result = await this.#generate(run, decodeServer, {
			permit: run.permit!, grant, handle, placement,
		});
		if (run.backupServer && !run.successor && this.#relay.lastEventId !== undefined && !result.error?.foreignAnswer && result.outcome === attemptOutcomes.broken) {
			return this.#resumeAtBackup(run, decodeServer, result);
		}

		return this.#handleResult(run, {server: decodeServer, result, handle});
	}

	/** Has a server prefill the prompt. Without a handle of its KV cache, the request needs a new placement. */
	async #prefill(run: StreamRun, placement: Placement & {kind: 'hand-over'}, opts: {permit: SendPermit; grant: SendGrant}): Promise<KvHandle | undefined> {
		const {handle, ...failure} = await this.#calls.prefill(run, placement, opts);
		if ('result' in failure) {
			this.#planner.rejectServer(placement.prefillServer);
			this.#grounds.add(callKinds.prefill, placement.prefillServer, failure);
		}

		return handle;
	}

	/** Tells after a prefill whether the run may go on. Another one that was started meanwhile ends, unless it generates already. */
	async #canGenerate(run: StreamRun): Promise<boolean> {
		if (run.isCancelled || this.#remainingMs < 1 || this.#isBanned) {
			return false;
		}

		const {successor} = run;
		if (successor) {
			if (successor.isGenerating) {
				return false;
			}

			successor.cancel();
			await run.successorEnding;
			if (run.isCancelled || this.#request.signal.aborted || this.#isBanned) {
				return false;
			}
		}

		run.permit ??= this.#permits.acquire(retryKinds.run);
		const isAllowed = this.#isNotExecuted || this.#isRetryable;
		return isAllowed && run.permit !== undefined && (run.allowedServers !== undefined || this.#servers.length < this.#request.route.maxServers);
	}

	/** Resumes the stream at the backup server after the connection to its server has broken. */
	async #resumeAtBackup(run: StreamRun, failedServer: KnownServer, failedResult: AttemptResult): Promise<RunEnding | undefined> {
		const {eventLog, health, crashReports} = this.#context;
		const backup = run.backupServer!;
		health.recordUnresponsive(failedServer);
		this.#origin.checkBeginning();
		await crashReports.handleLoss(this.#request, failedServer);
		this.#isNotExecuted = false;
		if (this.#isBanned) {
			return this.#createFailure(bannedReason);
		}

		const permit = isCandidate(this.#context, backup) ? this.#permits.acquire(retryKinds.resume) : undefined;
		eventLog.emit('streamMoved', {
			request: this.#request.metadata.requestId, from: failedServer.id, to: backup.id, end: failedResult.outcome, silentMs: failedResult.silentMs, lastEvent: this.#relay.lastEventId, mayGoOn: permit !== undefined,
		});
		return permit ? this.#resumeAt(run, backup, permit) : this.#createFailure(`the attempt ended as ${failedResult.outcome}`);
	}

	/** Resumes the stream after its last event from the copy of the KV cache at a server. It counts as the same run. */
	async #resumeAt(run: StreamRun, backup: KnownServer, permit: SendPermit): Promise<RunEnding | undefined> {
		if (run.hasPredecessor && !await this.#isResponding(run, backup)) {
			permit.release();
			return this.#request.signal.aborted ? this.#createCallerGone() : this.#createFailure('the stream could not go on: its backup server does not answer');
		}

		const grant = await this.#planner.acquireResumption(backup);
		if (run.isCancelled) {
			grant?.release();
			permit.release();
			return undefined;
		}

		if (!grant) {
			permit.release();
			return this.#createFailure('the stream could not go on: its backup server is at the limit that it has named');
		}

		// It is of the version that began the stream, so that there is nothing to record.
		if (this.#origin.prepare(backup) !== true) {
			grant.release();
			permit.release();
			return this.#createFailure('the stream could not go on: its backup server has another version');
		}

		this.#addServer(backup);
		const result = await this.#generate(run, backup, {
			permit,
			grant,
			handle: {address: backup.address, handle: this.#request.metadata.requestId!},
			placement: {
				kind: 'direct', decodeServer: backup, prefillTokens: 0, predictedMs: 0,
			},
		});
		if (result.outcome === attemptOutcomes.answered && result.isStreamed) {
			return this.#finishStream(run, backup, result.answer!);
		}

		return result.outcome === attemptOutcomes.cancelled ? this.#createCallerGone() : this.#createFailure(`the stream could not go on: ${result.outcome} ${result.head?.status ?? ''}`);
	}

	/** Starts another run beside one whose server is silent, if one is allowed. */
	#handleSilence(run: StreamRun, server: KnownServer, silentMs: number): void {
		if (run.isCancelled || run.successor) {
			return;
		}

		const {health, eventLog, metrics} = this.#context;
		health.recordSilent(server);
		const takeover = this.#planTakeover(run);
		const isTakenOver = 'run' in takeover;
		if (isTakenOver || !run.isSilenceReported) {
			run.isSilenceReported = true;
			metrics.count('silent_servers_total', {service: server.service, decision: isTakenOver ? 'another-server' : 'wait'});
			eventLog.emit('serverSilent', {
				request: this.#request.metadata.requestId, server: server.id, isGenerating: run.isGenerating, silentMs, lastAnswerMs: health.measureSilence(server), lastEvent: this.#relay.lastEventId, isTakenOver, reason: isTakenOver ? undefined : takeover.reason,
			});
		}

		if (isTakenOver) {
			run.successor = takeover.run;
			run.successorEnding = this.#runSuccessor(run, takeover);
		}
	}

	/** An error ends the second run only; the first one goes on. */
	async #runSuccessor(run: StreamRun, takeover: Takeover): Promise<RunEnding | undefined> {
		try {
			return await this.#runToEnd(takeover.run, takeover.start);
		} catch (error) {
			this.#reportError(error);
			return undefined;
		} finally {
			// A run that did not answer leaves room for another one.
			run.successor = undefined;
		}
	}

	/** An error beside a run at a silent server does not end that run. */
	#reportError(error: unknown): void {
		this.#context.eventLog.emit('unexpectedError', {
			request: this.#request.metadata.requestId, call: this.#request.path, message: describeError(error), stack: error instanceof Error ? error.stack : undefined,
		});
	}

	#planTakeover(run: StreamRun): Takeover | DeniedTakeover {
		if (this.#isBanned) {
			return {reason: bannedReason};
		}

		const backup = run.backupServer;
		const isBackupHealthy = listCandidates(this.#context, this.#request.service, {canRun: server => server.version === backup?.version}).some(({id}) => id === backup?.id);
		if (run.isGenerating && backup && isBackupHealthy && this.#relay.lastEventId !== undefined) {
			const permit = this.#reserveReturn() ? this.#permits.acquire(retryKinds.resume) : undefined;
			if (permit) {
				// The copy can be used once.
				run.backupServer = undefined;
				const successor = this.#createRun({predecessor: run});
				return {
					run: successor, start: async () => {
						const ending = await this.#resumeAt(successor, backup, permit);
						// While the stream goes on at its own server, a failure of the backup server decides nothing.
						return ending?.isAnswer === true || run.isCancelled ? ending : undefined;
					},
				};
			}
		}

		if (run.isGenerating ? !this.#isRetryable : run.successorEnding) {
			return {reason: run.isGenerating ? 'the request must not run twice' : 'another run has failed'};
		}

		if (!this.#canRunAgain) {
			return {reason: 'no further server is allowed'};
		}

		return this.#planSuccessor(run);
	}

	/** Before its generation, a run lends its permit to its successor. */
	#planSuccessor(run: StreamRun): Takeover | DeniedTakeover {
		const permit = run.isGenerating ? this.#acquireTakeover() : run.permit;
		if (!permit) {
			return {reason: 'the retry budget is used up'};
		}

		const successor = this.#createRun({permit, predecessor: run, allowedServers: this.#allowedServers});
		const plan = this.#planner.plan(successor);
		if (plan.placement.kind === 'refuse') {
			if (run.isGenerating) {
				permit.release();
			}

			return {reason: plan.placement.reason};
		}

		run.permit = run.isGenerating ? run.permit : undefined;
		return {run: successor, start: async () => this.#followPlan(successor, plan)};
	}

	#acquireTakeover(): SendPermit | undefined {
		return this.#reserveReturn() ? this.#permits.acquire(retryKinds.run) : undefined;
	}

	#reportTakeover(run: StreamRun, by: StreamRun): void {
		const {eventLog, metrics, clock} = this.#context;
		const isSilenceOver = by.successor === run;
		const later = isSilenceOver ? run : by;
		const sharedMs = later.generatingSince === undefined ? undefined : Math.round(clock.monotonic() - later.generatingSince);
		metrics.count('takeovers_total', {service: this.#request.service, by: isSilenceOver ? 'silent-server' : 'another-server'});
		eventLog.emit('requestTakenOver', {
			request: this.#request.metadata.requestId, from: run.server?.id, to: by.server?.id, lastEvent: this.#relay.lastEventId, isSilenceOver, sharedMs,
		});
	}

	async #handleResult(run: StreamRun, {server, result, handle}: {server: KnownServer; result: AttemptResult; handle: KvHandle | undefined}): Promise<RunEnding | undefined> {
		switch (result.outcome) {
			case attemptOutcomes.answered: {
				return result.isStreamed ? this.#finishStream(run, server, result.answer!) : this.#handleResponse(server, result, handle);
			}

			case attemptOutcomes.cancelled: {
				this.#recordNotAnswered(result, handle);
				this.#origin.checkBeginning();
				return this.#createCallerGone();
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

	/** Records whether the server may have run the request, and releases the KV cache that it did not fetch. */
	#recordNotAnswered({isWritten}: AttemptResult, handle: KvHandle | undefined): void {
		this.#isNotExecuted &&= !isWritten;
		if (!isWritten) {
			this.#releaseKvHandle(handle);
		}
	}

	async #handleFailure(server: KnownServer, result: AttemptResult, handle: KvHandle | undefined): Promise<RunEnding | undefined> {
		const {health, eventLog, crashReports} = this.#context;
		const foreignAnswer = result.error?.foreignAnswer;
		this.#recordNotAnswered(result, handle);
		this.#origin.checkBeginning();
		this.#grounds.add(callKinds.run, server, {result, isNotExecuted: false});
		this.#planner.rejectServer(server);
		eventLog.emit('attemptFailed', {
			request: this.#request.metadata.requestId, server: server.id, end: result.outcome, isWritten: result.isWritten, silentMs: result.silentMs, lastAnswerMs: health.measureSilence(server), lastEvent: this.#relay.lastEventId, reason: result.error?.message, answer: this.#calls.lastAnswer,
		});
		if (result.outcome === attemptOutcomes.broken) {
			if (foreignAnswer) {
				health.recordForeignAnswer(server, foreignAnswer);
			} else if (!result.error?.isStale && !result.error?.isBusy) {
				health.recordUnresponsive(server);
			}

			if (result.isWritten && !foreignAnswer) {
				await crashReports.handleLoss(this.#request, server);
			}

			if (this.#isNotExecuted || this.#isRetryable) {
				return undefined;
			}
		}

		return this.#createFailure(describeFailure(result));
	}

	#selectConfirmingServer(asked: readonly KnownServer[]): KnownServer | undefined {
		const server = this.#canRunElsewhere ? this.#planner.selectConfirmingServer(asked) : undefined;
		if (server) {
			this.#addServer(server);
		}

		return server;
	}

	async #finishStream(run: StreamRun, server: KnownServer, received: ReceivedAnswer): Promise<RunEnding | undefined> {
		const {health, crashReports} = this.#context;
		this.#isNotExecuted = false;
		health.recordSuccess(server);
		const answer = this.#endConfirmation.hasUnconfirmedEnd(received) ? await this.#endConfirmation.confirm(run, server, {received, predictedMs: this.#predictedMs ?? 0}) : received;
		if (run.isCancelled || this.#request.signal.aborted) {
			return this.#request.signal.aborted ? this.#createCallerGone() : undefined;
		}

		// A stream that had nothing left to send shows nothing, and one of unknown end has been checked.
		if (received.bodyBytes > 0 && received.verdict === answerVerdicts.whole) {
			crashReports.recordAnswer(this.#request, server, received.verdict);
		}

		return {
			isAnswer: true, finish: () => {
				run.sendHead();
				return this.#relay.finish(answer) ? this.#createResult(requestOutcomes.answered, {status: 200}) : this.#fail('the end of the resumed stream can\'t be told from a break');
			},
		};
	}

	#handleResponse(server: KnownServer, result: AttemptResult, handle: KvHandle | undefined): RunEnding | undefined {
		const head = result.head!;
		const metadata = this.#context.codec.decodeResponseHead(head);
		if (metadata.isNotExecuted) {
			this.#grounds.add(callKinds.run, server, {result, isNotExecuted: true});
			this.#planner.rejectServer(server);
			this.#releaseKvHandle(handle);
			if (metadata.pauseMs === undefined) {
				this.#retryAfterMs = metadata.retryAfterMs ?? this.#retryAfterMs;
			}

			return undefined;
		}

		this.#isNotExecuted = false;
		if (head.status < 300 && !metadata.isAuthentic) {
			this.#context.health.recordBrokenResponse(server);
			this.#planner.rejectServer(server);
			return this.#isRetryable ? undefined : this.#createFailure('the server sent an answer that is not its own');
		}

		if (this.#relay.isOpen) {
			return this.#isRetryable ? undefined : this.#createFailure('the stream could not be resumed');
		}

		if (head.status >= 500) {
			this.#context.health.recordFailure(server);
			if (this.#isRetryable && this.#servers.length < this.#request.route.maxServers && this.#context.retryBudget.countLeft(this.#request.service) > 0) {
				this.#planner.rejectServer(server);
				return undefined;
			}
		}

		if (metadata.isReadAsNotExecuted && !this.#isRetryable) {
			return this.#createFailure(`the server answered ${head.status} and did not state that it has not run`);
		}

		return {
			isAnswer: head.status < 500, finish: () => {
				if (this.#relay.isOpen) {
					// Another run has delivered since.
					return this.#fail('the stream could not be resumed');
				}

				forwardResponse(this.#request.response, head, result.body);
				return this.#createResult(requestOutcomes.answered, {status: head.status});
			},
		};
	}

	#addServer(server: KnownServer): void {
		if (!this.#servers.some(({id}) => id === server.id)) {
			this.#servers.push(server);
		}
	}

	#createCallerGone(): RunEnding {
		return {isAnswer: true, finish: () => this.#createResult(requestOutcomes.callerGone)};
	}

	#createFailure(reason: string): RunEnding {
		return {isAnswer: false, finish: () => this.#fail(reason)};
	}

	/** Releases a KV cache that no server will fetch. */
	#releaseKvHandle(handle: KvHandle | undefined): void {
		if (handle) {
			void releaseKvCache(this.#context, this.#request.service, handle);
		}
	}

	#fail(reason: string): RequestResult {
		const {response} = this.#request;
		if (this.#relay.isOpen) {
			this.#relay.abort();
			return this.#createResult(requestOutcomes.cut, {reason});
		}

		const isPastDeadline = computeRemainingMs(this.#context, this.#request) <= 1;
		if (this.#isNotExecuted && !isPastDeadline) {
			const retryAfterMs = computeRetryAfterMs(this.#context, this.#request.service, this.#retryAfterMs);
			sendProblem(response, {
				status: 503, code: 'not-run', detail: `The request has not run: ${reason}.`, headers: this.#context.codec.encodeRetryAfter(retryAfterMs),
			});
			return this.#createResult(requestOutcomes.refused, {status: 503, reason, retryAfterMs});
		}

		sendProblem(response, {status: isPastDeadline ? 504 : 502, code: 'may-have-run', detail: `The request may have run: ${reason}.`});
		return this.#createResult(isPastDeadline ? requestOutcomes.timedOut : requestOutcomes.failed, {status: isPastDeadline ? 504 : 502, reason});
	}

	#createResult(outcome: RequestResult['outcome'], rest: Omit<RequestResult, 'outcome' | 'servers'> = {}): RequestResult {
		return {
			outcome, servers: this.#servers.map(server => server.id), grounds: this.#grounds.list, answer: this.#calls.lastAnswer, firstByteMs: this.#calls.firstByteMs, predictedMs: this.#predictedMs, ...rest,
		};
	}
}
