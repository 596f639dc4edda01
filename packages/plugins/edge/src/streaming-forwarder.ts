/**
 * Forwards a request whose response is a stream of events. A long prompt is prefilled by one server, whose KV cache is
 * handed over to the server that generates; the events are forwarded to the caller as they arrive. A resumable stream
 * continues at another server after its last complete event; any other request runs at most once.
 */
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Placement} from '@hickorytrack/prompt-placement';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import {
	attemptOutcomes, describeFailure, runAttempt, type AttemptResult,
} from './attempt.js';
import {computeRetryAfterMs, isCandidate, listCandidates} from './candidate-servers.js';
import {forwardResponse, sendProblem} from './responses.js';
import {selectBackup} from './backup-server.js';
import {callKinds} from './call-kinds.js';
import {RefusalGrounds} from './refusal-grounds.js';
import {
	requestOutcomes, type CallerRequest, type RequestResult,
} from './caller-request.js';
import {EventRelay} from './event-relay.js';
import {releaseKvCache} from './kv-release.js';
import type {KvHandle} from './request-codec.js';
import {retryKinds} from './retry-budget.js';
import {SendPermits, type SendPermit} from './send-permits.js';
import {SilenceDetector} from './silence-detector.js';
import {
	createAnswerIdentity, createOutboundRequest, computeRemainingMs, defaultRetryAfterMs, type ForwardContext,
} from './forward-context.js';

const emptyPrompt: Prompt = {parts: [], tokens: 0, maxOutputTokens: 0};
const minimumRetryMs = 20; // With less time left, another attempt would not complete before the deadline.
const maxPriorityValue = 9;
/** A response of this many tokens takes seconds, so that a caller notices pauses in it. */
const longOutputTokens = 512;
/** A stream whose server sends nothing for this many times the pause objective resumes at another server, if it can. */
const idleTimeoutFactor = 3;
const minimumIdleTimeoutMs = 500;

export class StreamingForwarder {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #relay: EventRelay;
	readonly #prompt: Prompt;
	readonly #permits: SendPermits;
	/** Servers that were asked to generate the response. */
	readonly #servers: KnownServer[] = [];
	readonly #excluded = new Set<string>();
	#isNotExecuted = true;
	readonly #grounds: RefusalGrounds;
	/** Keeps a copy of the request's KV cache, from which the stream can resume when the decode server fails. */
	#backupServer: KnownServer | undefined;
	#retryAfterMs = defaultRetryAfterMs;
	#lastAnswer: ReceivedAnswer | undefined;
	#firstByteMs: number | undefined;
	/** Time to the first event, as predicted when the request was first placed, in milliseconds. */
	#predictedMs: number | undefined;

	constructor(context: ForwardContext, request: CallerRequest) {
		this.#context = context;
		this.#request = request;
		this.#grounds = new RefusalGrounds(createAnswerIdentity(context, request));
		this.#relay = new EventRelay(request.response, {clock: context.clock});
		this.#prompt = request.metadata.prompt ?? emptyPrompt;
		this.#permits = new SendPermits(context.retryBudget, request);
	}

	async forward(): Promise<RequestResult> {
		for (;;) {
			const run = this.#permits.acquire(retryKinds.run);
			if (!run) {
				return this.#fail('the retry budget is used up');
			}

			const result = await this.#runNext(run);
			run.release();
			if (result) {
				return result;
			}

			if (this.#servers.length >= this.#request.route.maxServers || computeRemainingMs(this.#context, this.#request) < minimumRetryMs) {
				return this.#fail('no further server is allowed');
			}
		}
	}

	get #isRetryable(): boolean {
		return this.#request.route.isResumable;
	}

	/** Time for which the caller still waits for the first event. */
	get #maxWaitMs(): number {
		const {clock} = this.#context;
		const {route, arrivedAt} = this.#request;
		const patienceMs = arrivedAt + (route.patienceMs ?? Number.POSITIVE_INFINITY) - clock.monotonic();
		return Math.min(patienceMs, computeRemainingMs(this.#context, this.#request));
	}

	/** Places the request with all permits that the placement needs. Without one for a prefill, a decode server prefills the prompt. */
	async #runNext(run: SendPermit): Promise<RequestResult | undefined> {
		let placement = this.#selectPlacement();
		const prefill = placement.kind === 'hand-over' ? this.#permits.acquire(retryKinds.prefill) : undefined;
		if (placement.kind === 'hand-over' && !prefill) {
			placement = this.#selectPlacement({canPrefill: false});
		}

		if (placement.kind === 'refuse') {
			this.#retryAfterMs = Math.max(this.#retryAfterMs, placement.retryAfterMs);
			return this.#fail(placement.reason);
		}

		this.#predictedMs ??= placement.predictedMs;
		return this.#runPlacement(placement, {run, prefill});
	}

	#selectPlacement({canPrefill = true} = {}): Placement {
		const {promptPlacement} = this.#context;
		return promptPlacement.plan({
			prompt: this.#prompt,
			servers: listCandidates(this.#context, this.#request.service).filter(server => canPrefill || server.stage !== 'prefill'),
			objectiveMs: this.#request.route.objectiveMs,
			maxWaitMs: this.#maxWaitMs,
			availabilityZone: this.#context.availabilityZone,
			excluded: this.#excluded,
		});
	}

	/** Returns the result of the request, or undefined when another server may be tried. */
	async #runPlacement(placement: Exclude<Placement, {kind: 'refuse'}>, {run, prefill}: {run: SendPermit; prefill: SendPermit | undefined}): Promise<RequestResult | undefined> {
		let handle: KvHandle | undefined;
		if (placement.kind === 'hand-over') {
			handle = await this.#runPrefill(placement, prefill!);
			if (this.#request.signal.aborted) {
				this.#releaseKvHandle(handle);
				return this.#createResult(requestOutcomes.callerGone);
			}

			if (computeRemainingMs(this.#context, this.#request) < 1) {
				this.#releaseKvHandle(handle);
				return this.#fail('the prefill did not finish before the deadline');
			}

			if (!handle) {
				return undefined;
			}
		}

		const decodeServer = handle ? this.#reselectDecodeServer(placement.decodeServer) : placement.decodeServer;
		if (!decodeServer) {
			this.#releaseKvHandle(handle);
			return undefined;
		}

		this.#servers.push(decodeServer);
		const result = await this.#generate(decodeServer, {permit: run, handle, placement});
		if (this.#backupServer && this.#relay.lastEventId !== undefined && !result.error?.foreignAnswer && (result.outcome === attemptOutcomes.broken || result.outcome === attemptOutcomes.stalled)) {
			return this.#resumeAtBackup(decodeServer, result);
		}

		return this.#handleResult(decodeServer, result, handle);
	}

	/** The load of the decode servers has changed while the prompt was prefilled, and all of them may have left. */
	#reselectDecodeServer(planned: KnownServer): KnownServer | undefined {
		const {promptPlacement, availabilityZone} = this.#context;
		const servers = listCandidates(this.#context, this.#request.service);
		return promptPlacement.selectDecodeServer({
			prompt: this.#prompt, objectiveMs: this.#request.route.objectiveMs, excluded: this.#excluded, availabilityZone,
		}, servers) ?? (isCandidate(this.#context, planned) ? planned : undefined);
	}

	/** Resumes the stream after its last event at the backup server, from the copy of the KV cache. It counts as the same run. */
	async #resumeAtBackup(failedServer: KnownServer, failedResult: AttemptResult): Promise<RequestResult> {
		const {eventLog, health, onConnectionLost} = this.#context;
		const backup = this.#backupServer!;
		health.recordUnresponsive(failedServer);
		if (failedResult.outcome === attemptOutcomes.broken) {
			onConnectionLost(this.#request, failedServer);
		}

		this.#isNotExecuted = false;
		const permit = isCandidate(this.#context, backup) ? this.#permits.acquire(retryKinds.resume) : undefined;
		eventLog.emit('streamMoved', {
			request: this.#request.metadata.requestId, from: failedServer.id, to: backup.id, end: failedResult.outcome, silentMs: failedResult.silentMs, lastEvent: this.#relay.lastEventId, mayGoOn: permit !== undefined,
		});
		if (!permit) {
			return this.#fail(`the attempt ended as ${failedResult.outcome}`);
		}

		this.#servers.push(backup);
		const result = await this.#generate(backup, {
			permit,
			handle: {address: backup.address, handle: this.#request.metadata.requestId!},
			placement: {
				kind: 'direct', decodeServer: backup, prefillTokens: 0, predictedMs: 0,
			},
		});
		if (result.outcome === attemptOutcomes.answered && result.isStreamed) {
			return this.#finishStream(backup, result.answer!);
		}

		return result.outcome === attemptOutcomes.cancelled ? this.#createResult(requestOutcomes.callerGone) : this.#fail(`the stream could not go on: ${result.outcome} ${result.head?.status ?? ''}`);
	}

	/** Prefills the prompt at another server. Returns the handle of its KV cache; undefined when the request needs a new placement. */
	async #runPrefill({prefillServer, kvSource, prefillTokens, predictedMs}: Placement & {kind: 'hand-over'}, permit: SendPermit): Promise<KvHandle | undefined> {
		const {loadTracker, client, clock, codec, health, measurements, eventLog} = this.#context;
		const queuedTokens = loadTracker.getLoad(prefillServer.id).promptTokens;
		const inFlightLoad = loadTracker.add(prefillServer.id, prefillTokens);
		const startedAt = clock.monotonic();
		const silence = this.#createSilenceDetector(prefillServer, predictedMs);
		const result = await runAttempt(client, prefillServer.address, {
			clock, signal: this.#request.signal, timeoutMs: computeRemainingMs(this.#context, this.#request), firstByteTimeoutMs: silence.intervalMs, isLost: () => silence.isLost(clock.monotonic(), computeRemainingMs(this.#context, this.#request)), request: createOutboundRequest(this.#context, this.#request, {
				server: prefillServer, permit, needsVerifiedConnection: false, priority: this.#priority, isPrefillOnly: true, prefixCacheAddress: kvSource?.address,
			}),
		});
		inFlightLoad.release();
		const metadata = result.head && codec.decodeResponseHead(result.head);
		const handle = result.outcome === attemptOutcomes.answered && result.head?.status === 200 ? codec.decodeKvHandle(prefillServer.address, result.body.toString()) : undefined;
		permit.finish({isWritten: result.isWritten, isAccepted: handle !== undefined});
		if (handle) {
			const elapsedMs = clock.monotonic() - startedAt;
			health.recordSuccess(prefillServer);
			measurements.recordPrefill(prefillServer, {
				prompt: this.#prompt, queuedTokens, prefillTokens, elapsedMs,
			});
			return handle;
		}

		this.#excluded.add(prefillServer.id);
		this.#grounds.add(callKinds.prefill, prefillServer, {result, isNotExecuted: metadata?.isNotExecuted ?? false});
		if (result.outcome === attemptOutcomes.cancelled) {
			return undefined;
		}

		if (result.error?.foreignAnswer) {
			health.recordForeignAnswer(prefillServer, result.error.foreignAnswer);
		} else if (!metadata?.isNotExecuted && !result.error?.isStale) {
			health.recordUnresponsive(prefillServer);
		}

		eventLog.emit('readFailed', {
			request: this.#request.metadata.requestId, server: prefillServer.id, end: result.outcome, status: result.head?.status, isStale: result.error?.isStale ?? false, silentMs: result.silentMs, lastAnswerMs: health.measureSilence(prefillServer), reason: result.error?.message,
		});
		return undefined;
	}

	async #generate(server: KnownServer, {permit, handle, placement}: {permit: SendPermit; handle?: KvHandle; placement: Exclude<Placement, {kind: 'refuse'}>}): Promise<AttemptResult> {
		const {loadTracker, client, clock, measurements} = this.#context;
		const isLongOutput = this.#prompt.maxOutputTokens >= longOutputTokens;
		this.#backupServer = isLongOutput ? selectBackup(this.#context, this.#request.service, server) : undefined;
		const canFailOver = this.#isRetryable && this.#servers.length < this.#request.route.maxServers;
		const silence = this.#createSilenceDetector(server, placement.predictedMs);
		const load = loadTracker.getLoad(server.id);
		const inFlightLoad = loadTracker.add(server.id, handle ? 0 : placement.prefillTokens, {isStream: isLongOutput});
		let firstByteAt: number | undefined;
		const startedAt = clock.monotonic();
		const result = await runAttempt(client, server.address, {
			clock,
			signal: this.#request.signal,
			timeoutMs: computeRemainingMs(this.#context, this.#request),
			relay: this.#relay,
			isStream: head => this.#isStream(head),
			firstByteTimeoutMs: canFailOver ? silence.intervalMs : undefined,
			isLost: () => silence.isLost(clock.monotonic(), computeRemainingMs(this.#context, this.#request)),
			idleTimeoutMs: canFailOver || this.#backupServer ? Math.max(minimumIdleTimeoutMs, (this.#request.route.pauseObjectiveMs ?? 0) * idleTimeoutFactor) : undefined,
			onFirstByte: () => {
				inFlightLoad.releasePrefill();
				firstByteAt = clock.monotonic();
				this.#firstByteMs ??= firstByteAt - this.#request.arrivedAt;
				measurements.recordFirstByte(server, {
					prompt: this.#prompt, load, prefillTokens: handle ? 0 : placement.prefillTokens, elapsedMs: firstByteAt - startedAt,
				});
			},
			request: createOutboundRequest(this.#context, this.#request, {
				server,
				permit,
				needsVerifiedConnection: !this.#isRetryable,
				priority: this.#priority,
				kvHandle: handle,
				kvBackupAddress: this.#backupServer?.address,
				prefixCacheAddress: handle === undefined && placement.kvSource?.id !== server.id ? placement.kvSource?.address : undefined,
				lastEventId: this.#relay.lastEventId ?? this.#request.metadata.lastEventId,
			}),
		});
		inFlightLoad.release();
		permit.finish({isWritten: result.isWritten, isAccepted: true});
		this.#lastAnswer = result.answer;
		if (firstByteAt !== undefined && result.outcome === attemptOutcomes.answered) {
			measurements.recordEnd(server, {isStream: isLongOutput, holdMs: clock.monotonic() - firstByteAt});
		}

		return result;
	}

	/** Without a measured speed, the prediction is a guess, and no attempt is cancelled because of it. */
	#createSilenceDetector(server: KnownServer, predictedMs: number): SilenceDetector {
		const {health, profile, clock} = this.#context;
		return new SilenceDetector(health, {server, predictedMs: profile.isKnown(server.service) ? predictedMs : undefined, startedAt: clock.monotonic()});
	}

	get #priority(): number {
		return Math.min(maxPriorityValue, this.#request.route.priority);
	}

	#isStream(head: ResponseHead): boolean {
		const metadata = this.#context.codec.decodeResponseHead(head);
		const type = String(head.headers['content-type'] ?? '');
		return head.status === 200 && metadata.isAuthentic && type.startsWith('text/event-stream');
	}

	#handleResult(server: KnownServer, result: AttemptResult, handle: KvHandle | undefined): RequestResult | undefined {
		if (result.outcome === attemptOutcomes.answered) {
			return result.isStreamed ? this.#finishStream(server, result.answer!) : this.#handleResponse(server, result, handle);
		}

		if (result.outcome === attemptOutcomes.cancelled) {
			return this.#createResult(requestOutcomes.callerGone);
		}

		const {health, eventLog, onConnectionLost} = this.#context;
		const foreignAnswer = result.error?.foreignAnswer;
		this.#isNotExecuted &&= !result.isWritten;
		this.#grounds.add(callKinds.run, server, {result, isNotExecuted: false});
		if (!result.isWritten) {
			this.#releaseKvHandle(handle);
		}

		this.#excluded.add(server.id);
		eventLog.emit('attemptFailed', {
			request: this.#request.metadata.requestId, server: server.id, end: result.outcome, isWritten: result.isWritten, silentMs: result.silentMs, lastAnswerMs: health.measureSilence(server), lastEvent: this.#relay.lastEventId, reason: result.error?.message, answer: this.#lastAnswer,
		});
		if (result.outcome === attemptOutcomes.broken || result.outcome === attemptOutcomes.stalled) {
			if (foreignAnswer) {
				health.recordForeignAnswer(server, foreignAnswer);
			} else if (!result.error?.isStale) {
				health.recordUnresponsive(server);
			}

			if (result.outcome === attemptOutcomes.broken && result.isWritten && !foreignAnswer) {
				onConnectionLost(this.#request, server);
			}

			if (this.#isNotExecuted || this.#isRetryable) {
				return undefined;
			}
		}

		return this.#fail(describeFailure(result));
	}

	#finishStream(server: KnownServer, answer: ReceivedAnswer): RequestResult {
		const {health, poisonRequests} = this.#context;
		health.recordSuccess(server);
		poisonRequests.recordSuccess(this.#request.fingerprint);
		if (!this.#relay.finish(answer)) {
			return this.#fail('the end of the resumed stream can\'t be told from a break');
		}

		return this.#createResult(requestOutcomes.answered, {status: 200});
	}

	#handleResponse(server: KnownServer, result: AttemptResult, handle: KvHandle | undefined): RequestResult | undefined {
		const head = result.head!;
		const metadata = this.#context.codec.decodeResponseHead(head);
		if (metadata.isNotExecuted) {
			this.#grounds.add(callKinds.run, server, {result, isNotExecuted: true});
			this.#excluded.add(server.id);
			this.#releaseKvHandle(handle);
			if (metadata.pauseMs === undefined) {
				this.#retryAfterMs = metadata.retryAfterMs ?? this.#retryAfterMs;
			}

			return undefined;
		}

		this.#isNotExecuted = false;
		if (head.status < 300 && !metadata.isAuthentic) {
			this.#context.health.recordBrokenResponse(server);
			this.#excluded.add(server.id);
			return this.#isRetryable ? undefined : this.#fail('the server sent an answer that is not its own');
		}

		if (this.#relay.isOpen) {
			return this.#isRetryable ? undefined : this.#fail('the stream could not be resumed');
		}

		if (head.status >= 500) {
			this.#context.health.recordFailure(server);
			if (this.#isRetryable && this.#servers.length < this.#request.route.maxServers && this.#context.retryBudget.countLeft(this.#request.service) > 0) {
				this.#excluded.add(server.id);
				return undefined;
			}
		}

		if (metadata.isReadAsNotExecuted && !this.#isRetryable) {
			return this.#fail(`the server answered ${head.status} and did not state that it has not run`);
		}

		forwardResponse(this.#request.response, head, result.body);
		return this.#createResult(requestOutcomes.answered, {status: head.status});
	}

	/** Releases a KV cache that no server will fetch. */
	#releaseKvHandle(handle: KvHandle | undefined): void {
		if (handle) {
			releaseKvCache(this.#context, this.#request.service, handle);
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
			outcome, servers: this.#servers.map(server => server.id), grounds: this.#grounds.list, answer: this.#lastAnswer, firstByteMs: this.#firstByteMs, predictedMs: this.#predictedMs, ...rest,
		};
	}
}
