/**
 * The run of a request whose answer is a stream. A long prompt is read by one server and handed over to the one that
 * generates; the events go to the caller as they arrive. A stream that may be resumed goes on at another server behind
 * its last whole event; any other runs at most once.
 */
import type {AnswerHead} from '@hickorytrack/endpoint-client';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Placement} from '@hickorytrack/prompt-placement';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import {attemptOutcomes, runAttempt, type AttemptResult} from './attempt.js';
import {forwardResponse, sendProblem} from './responses.js';
import {requestOutcomes, type CallerRequest, type RequestResult} from './caller-request.js';
import {EventRelay} from './event-relay.js';
import type {ReadHandle} from './request-codec.js';
import {
	createOutboundRequest, computeRemainingMs, defaultRetryAfterMs, type ForwardContext,
} from './forward-context.js';

const emptyPrompt: Prompt = {parts: [], tokens: 0, maxOutputTokens: 0};
const minimumRetryMs = 20; // Less time than this is not enough for another attempt.
const highestPriority = 9;
/** An answer of so many tokens takes seconds; pauses in it are noticed. */
const longAnswerTokens = 512;
/** A server that takes this many times the predicted time and the patience on top is taken for lost. */
const patienceFactor = 2;
const patienceMs = 250;
/** A stream whose server is silent for this many of its allowed pauses goes on elsewhere, where it can. */
const stallFactor = 3;
const leastStallMs = 500;
/** Time after which memory that could not be freed has lapsed by itself. */
const releaseTimeoutMs = 1000;

export class PromptRun {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #relay: EventRelay;
	readonly #prompt: Prompt;
	/** Servers that were asked to generate. */
	readonly #servers: KnownServer[] = [];
	readonly #excluded = new Set<string>();
	#isNotRun = true;
	#reads = 0;
	/** Keeps a copy of the run's memory, from which the stream can go on when its server is lost. */
	#backup: KnownServer | undefined;
	#retryAfterMs = defaultRetryAfterMs;
	#firstByteMs: number | undefined;
	/** Time to the first event as it was predicted when the request was placed. */
	#predictedMs: number | undefined;

	constructor(context: ForwardContext, request: CallerRequest) {
		this.#context = context;
		this.#request = request;
		this.#relay = new EventRelay(request.response);
		this.#prompt = request.metadata.prompt ?? emptyPrompt;
	}

	async forward(): Promise<RequestResult> {
		const {retryBudget} = this.#context;
		retryBudget.recordRequest(this.#request.service);
		for (;;) {
			const placement = this.#place();
			if (placement.kind === 'refuse') {
				this.#retryAfterMs = Math.max(this.#retryAfterMs, placement.retryAfterMs);
				return this.#giveUp(placement.reason);
			}

			if ((this.#servers.length > 0 || this.#reads > 0) && !retryBudget.acquire(this.#request.service)) {
				return this.#giveUp('the retry budget is used up');
			}

			this.#predictedMs ??= placement.predictedMs;
			const end = await this.#try(placement);
			if (end) {
				return end;
			}

			if (this.#servers.length >= this.#request.route.maxServers || computeRemainingMs(this.#context, this.#request) < minimumRetryMs) {
				return this.#giveUp('no further server is allowed');
			}
		}
	}

	get #mayRepeat(): boolean {
		return this.#request.route.isResumable;
	}

	#place(): Placement {
		const {registry, health, promptPlacement} = this.#context;
		return promptPlacement.place({
			prompt: this.#prompt,
			servers: health.selectHealthy(registry.listUsable(this.#request.service)),
			objectiveMs: this.#request.route.objectiveMs,
			excluded: this.#excluded,
		});
	}

	/** Returns how the request ended, or undefined when another server may be tried. */
	async #try(placement: Exclude<Placement, {kind: 'refuse'}>): Promise<RequestResult | undefined> {
		let handle: ReadHandle | undefined;
		if (placement.kind === 'hand-over') {
			handle = await this.#readPrompt(placement);
			this.#reads++;
			if (this.#request.signal.aborted) {
				this.#release(handle);
				return this.#end(requestOutcomes.callerGone);
			}

			if (computeRemainingMs(this.#context, this.#request) < 1) {
				this.#release(handle);
				return this.#giveUp('the prompt was not read in time');
			}

			if (!handle) {
				return undefined;
			}
		}

		const {generator} = placement;
		this.#servers.push(generator);
		const result = await this.#generate(generator, {handle, placement});
		if (this.#backup && this.#relay.lastEventId !== undefined && (result.outcome === attemptOutcomes.broken || result.outcome === attemptOutcomes.stalled)) {
			return this.#goOnAtBackup(generator, result);
		}

		return this.#judge(generator, result, handle);
	}

	/** Goes on behind the last event from the copy of the run's memory; it counts as the same run. */
	async #goOnAtBackup(lost: KnownServer, broken: AttemptResult): Promise<RequestResult> {
		const {eventLog, health, registry, retryBudget, onConnectionLost} = this.#context;
		const backup = this.#backup!;
		health.recordUnresponsive(lost);
		if (broken.outcome === attemptOutcomes.broken) {
			onConnectionLost(this.#request, lost);
		}

		this.#isNotRun = false;
		this.#relay.clearPartialEvent();
		const mayGoOn = registry.isUsable(backup) && retryBudget.acquire(this.#request.service);
		eventLog.emit('streamMoved', {
			request: this.#request.metadata.requestId, from: lost.id, to: backup.id, end: broken.outcome, lastEvent: this.#relay.lastEventId, mayGoOn,
		});
		if (!mayGoOn) {
			return this.#giveUp(`the attempt ended as ${broken.outcome}`);
		}

		this.#servers.push(backup);
		const result = await this.#generate(backup, {
			handle: {address: backup.address, handle: this.#request.metadata.requestId!},
			placement: {
				kind: 'direct', generator: backup, readTokens: 0, predictedMs: 0,
			},
		});
		if (result.outcome === attemptOutcomes.answered && result.isStreamed) {
			return this.#finishStream(backup);
		}

		return result.outcome === attemptOutcomes.cancelled ? this.#end(requestOutcomes.callerGone) : this.#giveUp(`the stream could not go on: ${result.outcome} ${result.head?.status ?? ''}`);
	}

	/** Has the prompt read; without a handle the generating server reads it itself. */
	async #readPrompt({reader, fetchFrom, readTokens, predictedMs}: Placement & {kind: 'hand-over'}): Promise<ReadHandle | undefined> {
		const {board, cache, client, clock, codec, health, retryBudget, promptPlacement, eventLog} = this.#context;
		const wasIdle = board.read(reader.id).promptTokens === 0;
		const ticket = board.add(reader.id, readTokens);
		const startedAt = clock.monotonic();
		const result = await runAttempt(client, reader.address, {
			clock, signal: this.#request.signal, timeoutMs: Math.min(computeRemainingMs(this.#context, this.#request), (predictedMs * patienceFactor) + patienceMs), request: createOutboundRequest(this.#context, this.#request, {
				server: reader, isProvenWanted: false, priority: this.#priority, isReadOnly: true, fetchFrom: fetchFrom?.address,
			}),
		});
		ticket.finish();
		const marks = result.head && codec.readAnswer(result.head);
		const handle = result.outcome === attemptOutcomes.answered && result.head?.status === 200 ? codec.readHandle(reader.address, result.body.toString()) : undefined;
		if (handle) {
			health.recordSuccess(reader);
			cache.store(reader, this.#prompt.parts);
			if (wasIdle) {
				promptPlacement.readRate.note(readTokens, clock.monotonic() - startedAt);
			}

			return handle;
		}

		this.#excluded.add(reader.id);
		if (result.outcome === attemptOutcomes.cancelled) {
			return undefined;
		}

		// A rejected call counts as an arrival beyond the first.
		if (marks?.isNotRun) {
			retryBudget.recordRetry(this.#request.service);
		} else if (!result.error?.isStale) {
			health.recordUnresponsive(reader);
		}

		eventLog.emit('readFailed', {
			request: this.#request.metadata.requestId, server: reader.id, end: result.outcome, status: result.head?.status, isStale: result.error?.isStale ?? false, reason: result.error?.message,
		});
		return undefined;
	}

	async #generate(server: KnownServer, {handle, placement}: {handle?: ReadHandle; placement: Exclude<Placement, {kind: 'refuse'}>}): Promise<AttemptResult> {
		const {board, cache, client, clock} = this.#context;
		const isLong = this.#prompt.maxOutputTokens >= longAnswerTokens;
		this.#backup = isLong ? this.#pickBackup(server) : undefined;
		const canMove = this.#mayRepeat && this.#servers.length < this.#request.route.maxServers;
		const ticket = board.add(server.id, handle ? 0 : placement.readTokens, {isStream: isLong});
		const result = await runAttempt(client, server.address, {
			clock,
			signal: this.#request.signal,
			timeoutMs: computeRemainingMs(this.#context, this.#request),
			relay: this.#relay,
			isStream: head => this.#isStream(head),
			firstByteTimeoutMs: canMove ? (placement.predictedMs * patienceFactor) + patienceMs : undefined,
			idleTimeoutMs: canMove || this.#backup ? Math.max(leastStallMs, (this.#request.route.pauseObjectiveMs ?? 0) * stallFactor) : undefined,
			onFirstByte: () => {
				ticket.finishReading();
				cache.store(server, this.#prompt.parts);
				this.#firstByteMs ??= clock.monotonic() - this.#request.arrivedAt;
			},
			request: createOutboundRequest(this.#context, this.#request, {
				server,
				isProvenWanted: !this.#mayRepeat,
				priority: this.#priority,
				takeFrom: handle,
				backupAt: this.#backup?.address,
				fetchFrom: handle === undefined && placement.fetchFrom?.id !== server.id ? placement.fetchFrom?.address : undefined,
				lastEventId: this.#relay.lastEventId ?? this.#request.metadata.lastEventId,
			}),
		});
		ticket.finish();
		return result;
	}

	/** Picks the server with the least work beside the one that generates. */
	#pickBackup(generator: KnownServer): KnownServer | undefined {
		const {registry, health, board} = this.#context;
		const others = health.selectHealthy(registry.listUsable(this.#request.service)).filter(server => server.id !== generator.id && server.stage !== 'prefill');
		return others.sort((a, b) => board.read(a.id).requests - board.read(b.id).requests)[0];
	}

	get #priority(): number {
		return Math.min(highestPriority, this.#request.route.priority);
	}

	#isStream(head: AnswerHead): boolean {
		const marks = this.#context.codec.readAnswer(head);
		const type = String(head.headers['content-type'] ?? '');
		return head.status === 200 && marks.isGenuine && marks.requestId === this.#request.metadata.requestId && type.startsWith('text/event-stream');
	}

	#judge(server: KnownServer, result: AttemptResult, handle: ReadHandle | undefined): RequestResult | undefined {
		if (result.outcome === attemptOutcomes.answered) {
			return result.isStreamed ? this.#finishStream(server) : this.#judgeAnswer(server, result, handle);
		}

		if (result.outcome === attemptOutcomes.cancelled) {
			return this.#end(requestOutcomes.callerGone);
		}

		const {health, eventLog, onConnectionLost} = this.#context;
		this.#isNotRun &&= !result.isWritten;
		if (!result.isWritten) {
			this.#release(handle);
		}

		this.#excluded.add(server.id);
		this.#relay.clearPartialEvent();
		eventLog.emit('attemptFailed', {
			request: this.#request.metadata.requestId, server: server.id, end: result.outcome, isWritten: result.isWritten, lastEvent: this.#relay.lastEventId, reason: result.error?.message,
		});
		if (result.outcome === attemptOutcomes.broken || result.outcome === attemptOutcomes.stalled) {
			const isStale = result.error?.isStale ?? false;
			if (!isStale) {
				health.recordUnresponsive(server);
			}

			if (result.outcome === attemptOutcomes.broken && result.isWritten) {
				onConnectionLost(this.#request, server);
			}

			if (this.#isNotRun || this.#mayRepeat) {
				return undefined;
			}
		}

		return this.#giveUp(`the attempt ended as ${result.outcome}`);
	}

	#finishStream(server: KnownServer): RequestResult {
		const {health, poisonRequests} = this.#context;
		health.recordSuccess(server);
		poisonRequests.recordSuccess(this.#request.fingerprint);
		this.#relay.finish();
		return this.#end(requestOutcomes.answered, {status: 200});
	}

	#judgeAnswer(server: KnownServer, result: AttemptResult, handle: ReadHandle | undefined): RequestResult | undefined {
		const head = result.head!;
		const marks = this.#context.codec.readAnswer(head);
		if (marks.isNotRun) {
			this.#excluded.add(server.id);
			this.#release(handle);
			this.#retryAfterMs = marks.retryAfterMs ?? this.#retryAfterMs;
			return undefined;
		}

		this.#isNotRun = false;
		const isForeign = marks.requestId !== undefined && marks.requestId !== this.#request.metadata.requestId;
		if (isForeign || (head.status < 300 && !marks.isGenuine)) {
			this.#context.health.recordBrokenResponse(server);
			this.#excluded.add(server.id);
			return this.#mayRepeat ? undefined : this.#giveUp('the server sent an answer that is not its own');
		}

		if (this.#relay.isOpen) {
			return this.#mayRepeat ? undefined : this.#giveUp('the stream could not be resumed');
		}

		if (head.status >= 500) {
			this.#context.health.recordFailure(server);
			if (this.#mayRepeat && this.#servers.length < this.#request.route.maxServers && this.#context.retryBudget.canRetry(this.#request.service)) {
				this.#excluded.add(server.id);
				return undefined;
			}
		}

		forwardResponse(this.#request.response, head, result.body);
		return this.#end(requestOutcomes.answered, {status: head.status});
	}

	/** Frees memory that no server will take. */
	#release(handle: ReadHandle | undefined): void {
		if (!handle) {
			return;
		}

		const {client, codec, clock} = this.#context;
		const {method, path} = codec.composeRelease(handle);
		void runAttempt(client, handle.address, {
			clock, signal: new AbortController().signal, timeoutMs: releaseTimeoutMs, request: {
				method, path, headers: [], isProvenWanted: false, connectionLimit: this.#context.getConnectionLimit(this.#request.service),
			},
		});
	}

	#giveUp(reason: string): RequestResult {
		const {response} = this.#request;
		if (this.#relay.isOpen) {
			this.#relay.abort();
			return this.#end(requestOutcomes.cut, {reason});
		}

		const isLate = computeRemainingMs(this.#context, this.#request) <= 1;
		if (this.#isNotRun && !isLate) {
			sendProblem(response, {
				status: 503, code: 'not-run', detail: `The request has not run: ${reason}.`, headers: this.#context.codec.writeRetryAfter(this.#retryAfterMs),
			});
			return this.#end(requestOutcomes.refused, {status: 503, reason, retryAfterMs: this.#retryAfterMs});
		}

		sendProblem(response, {status: isLate ? 504 : 502, code: 'may-have-run', detail: `The request may have run: ${reason}.`});
		return this.#end(isLate ? requestOutcomes.timedOut : requestOutcomes.failed, {status: isLate ? 504 : 502, reason});
	}

	#end(outcome: RequestResult['outcome'], rest: Omit<RequestResult, 'outcome' | 'servers'> = {}): RequestResult {
		return {
			outcome, servers: this.#servers.map(server => server.id), firstByteMs: this.#firstByteMs, predictedMs: this.#predictedMs, ...rest,
		};
	}
}
