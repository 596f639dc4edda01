/**
 * The calls that a streaming request makes to servers, with what they tell about the servers: their load while a call runs,
 * their health, their speed and their silence.
 */
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {countMemoryTokens, type Placement} from '@hickorytrack/prompt-placement';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import {checkAnswerEnd} from '../calls/answer-end.js';
import {
	attemptOutcomes, runAttempt, type AttemptResult, type SilenceOptions,
} from '../calls/attempt.js';
import type {CallerRequest} from '../front/caller-request.js';
import {
	countAnsweredRun, createOutboundRequest, computeRemainingMs, countCallBytes, type ForwardContext,
} from '../calls/forward-context.js';
import type {KvHandle} from '../request-codec.js';
import type {SendPermit} from '../limits/send-permits.js';
import {selectBackup} from './backup-server.js';
import type {EventRelay} from './event-relay.js';
import {HeldEvents} from './held-events.js';
import type {RequestOrigin} from './request-origin.js';
import {SilenceDetector} from './silence-detector.js';
import type {StreamRun} from './stream-run.js';
import type {RunEvent} from './stream-runs.js';

const emptyPrompt: Prompt = {parts: [], tokens: 0, maxOutputTokens: 0};
const maxPriorityValue = 9;
/** A response of this many tokens takes seconds, so that a caller notices pauses in it. */
const longOutputTokens = 512;
/** A server that sends nothing for this many times the pause objective is reported as silent. */
const silenceFactor = 3;
const minimumSilenceMs = 500;
/** At least this fraction of a call's time counts as the server's; the wait at the own link is an estimate. */
const minServerFraction = 0.25;

export type AcceptedPlacement = Exclude<Placement, {kind: 'refuse'}>;

/** `proofGrant`: the right to ask the server for its start, if it was reserved. */
export type GenerationOptions = {permit: SendPermit; grant: SendGrant; proofGrant?: SendGrant; handle?: KvHandle; placement: AcceptedPlacement};

export type StreamCallsOptions = {
	relay: EventRelay;
	origin: RequestOrigin;
	/** Reports an event to the table of runs. */
	dispatch: (event: RunEvent) => void;
	/** Called at each check that finds the server of a run silent. */
	onSilent: (run: StreamRun, server: KnownServer, silentMs: number) => void;
};

/** The handle of a prefilled prompt's KV cache, or why there is none. */
export type PrefillResult = {handle: KvHandle} | {handle?: undefined; result: AttemptResult; isNotExecuted: boolean};

export class StreamCalls {
	readonly prompt: Prompt;
	/** Time from the arrival of the request to its first event, in milliseconds. */
	firstByteMs: number | undefined;
	/** The last answer of a server, other than those that another run has replaced. */
	lastAnswer: ReceivedAnswer | undefined;
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #opts: StreamCallsOptions;

	constructor(context: ForwardContext, request: CallerRequest, opts: StreamCallsOptions) {
		this.#context = context;
		this.#request = request;
		this.#opts = opts;
		this.prompt = request.metadata.prompt ?? emptyPrompt;
	}

	/** Has a server prefill the prompt. */
	async prefill(run: StreamRun, {prefillServer, kvSource, prefillTokens, predictedMs}: Placement & {kind: 'hand-over'}, {permit, grant}: {permit: SendPermit; grant: SendGrant}): Promise<PrefillResult> {
		const {loadTracker, client, clock, codec, health, measurements, profile} = this.#context;
		const request = createOutboundRequest(this.#context, this.#request, {
			server: prefillServer, permit, grant, needsVerifiedConnection: false, priority: this.#priority, isPrefillOnly: true, prefixCacheAddress: kvSource?.address,
		});
		const queuedTokens = loadTracker.getLoad(prefillServer.id).promptTokens;
		const inFlightLoad = loadTracker.add(prefillServer.id, prefillTokens, {memoryTokens: countMemoryTokens(this.prompt, prefillServer)});
		const running = profile.beginPrefill(prefillServer, queuedTokens + prefillTokens, {ownMs: this.#estimateOwnMs()});
		const startedAt = clock.monotonic();
		const measureServerMs = this.#createServerTimer();
		run.server = prefillServer;
		this.#opts.dispatch({kind: 'prefilling', run: run.id});
		const result = await runAttempt(client, prefillServer.address, {
			clock, signal: this.#request.signal, timeoutMs: this.#remainingMs, canceller: run.canceller, silence: this.#createSilenceOptions(run, prefillServer, predictedMs), request,
		});
		inFlightLoad.release();
		const metadata = result.head && codec.decodeResponseHead(result.head);
		const handle = result.outcome === attemptOutcomes.answered && result.head?.status === 200 ? codec.decodeKvHandle(prefillServer.address, result.body.toString()) : undefined;
		running.end({isSample: handle !== undefined && !run.isSilenceReported});
		permit.finish({isWritten: result.isWritten, isAccepted: handle !== undefined});
		if (handle) {
			const elapsedMs = measureServerMs(clock.monotonic() - startedAt);
			health.recordSuccess(prefillServer);
			// What a silence took says nothing about the speed of the server.
			if (!run.isSilenceReported) {
				measurements.recordPrefill(prefillServer, {
					prompt: this.prompt, queuedTokens, prefillTokens, elapsedMs,
				});
			}

			return {handle};
		}

		const isNotExecuted = metadata?.isNotExecuted ?? false;
		if (result.outcome !== attemptOutcomes.cancelled && result.outcome !== attemptOutcomes.replaced) {
			await this.#recordFailedPrefill(prefillServer, {result, isNotExecuted});
		}

		return {result, isNotExecuted};
	}

	async #recordFailedPrefill(prefillServer: KnownServer, {result, isNotExecuted}: {result: AttemptResult; isNotExecuted: boolean}): Promise<void> {
		const {health, eventLog, crashReports} = this.#context;
		if (result.error?.foreignAnswer) {
			health.recordForeignAnswer(prefillServer, result.error.foreignAnswer);
		} else if (!isNotExecuted && !result.error?.isStale && !result.error?.isBusy) {
			health.recordUnresponsive(prefillServer);
		} else if (isNotExecuted) {
			health.recordAnswer(prefillServer);
		}

		eventLog.emit('readFailed', {
			request: this.#request.metadata.requestId, server: prefillServer.id, end: result.outcome, status: result.head?.status, isStale: result.error?.isStale ?? false, silentMs: result.silentMs, lastAnswerMs: health.measureSilence(prefillServer), reason: result.error?.message,
		});
		if (result.outcome === attemptOutcomes.broken && result.isWritten && !result.error?.foreignAnswer) {
			await crashReports.handleLoss(this.#request, prefillServer);
		}
	}

	/** Has a server generate the response, from the KV cache of the handle if there is one. */
	async generate(run: StreamRun, server: KnownServer, opts: GenerationOptions): Promise<AttemptResult> {
		try {
			return await this.#checkEnd(server, await this.#generate(run, server, opts));
		} finally {
			// Grants that were used stay used.
			opts.grant.release();
			opts.proofGrant?.release();
		}
	}

	async #checkEnd(server: KnownServer, received: AttemptResult): Promise<AttemptResult> {
		const result = await checkAnswerEnd(this.#context, this.#request, {server, result: received});
		if (result !== received) {
			this.lastAnswer = result.answer;
		}

		return result;
	}

	async #generate(run: StreamRun, server: KnownServer, {permit, grant, proofGrant, handle, placement}: GenerationOptions): Promise<AttemptResult> {
		const {loadTracker, client, clock, health, measurements} = this.#context;
		const {isResumable: isRetryable} = this.#request.route;
		const isLongOutput = this.prompt.maxOutputTokens >= longOutputTokens;
		run.server = server;
		run.generatingSince = clock.monotonic();
		run.backupServer = isLongOutput ? selectBackup(this.#context, server, [server, ...run.listEarlierServers()]) : undefined;
		this.#opts.dispatch({kind: 'sent', run: run.id});
		const lastEventId = this.#opts.relay.lastEventId ?? this.#request.metadata.lastEventId;
		const request = createOutboundRequest(this.#context, this.#request, {
			server,
			permit,
			grant,
			needsVerifiedConnection: !isRetryable,
			priority: this.#priority,
			kvHandle: handle,
			kvBackupAddress: run.backupServer?.address,
			prefixCacheAddress: handle === undefined && placement.kvSource?.id !== server.id ? placement.kvSource?.address : undefined,
			lastEventId,
		});
		const load = loadTracker.getLoad(server.id);
		const inFlightLoad = loadTracker.add(server.id, handle ? 0 : placement.prefillTokens, {isStream: isLongOutput, memoryTokens: countMemoryTokens(this.prompt, server)});
		let firstByteAt: number | undefined;
		let isStream = false;
		let isGenerated = false;
		const startedAt = clock.monotonic();
		const measureServerMs = this.#createServerTimer();
		const refutation = new AbortController();
		const heldEvents = lastEventId === undefined
			? undefined
			: new HeldEvents({
				sink: run, prove: async () => this.#opts.origin.proveContinuation(server, {maxWaitMs: this.#patienceMs, grant: proofGrant}), onRefuted() {
					refutation.abort();
				},
			});
		const result = await runAttempt(client, server.address, {
			clock,
			signal: heldEvents ? AbortSignal.any([this.#request.signal, refutation.signal]) : this.#request.signal,
			timeoutMs: this.#remainingMs,
			canceller: run.canceller,
			hold: this.#request.answerHold,
			relay: heldEvents ?? run,
			isStream: head => this.#isStream(head),
			silence: isRetryable || run.backupServer ? this.#createSilenceOptions(run, server, placement.predictedMs) : undefined,
			onHead: head => {
				isStream = this.#isStream(head);
				isGenerated = this.#isGenerated(head);
				if (!isStream) {
					countAnsweredRun(this.#context, this.#request, head);
				}
			},
			onFirstByte: () => {
				if (isStream) {
					this.#request.countRun?.();
				}

				inFlightLoad.releasePrefill();
				firstByteAt = clock.monotonic();
				this.firstByteMs ??= firstByteAt - this.#request.arrivedAt;
				if (run.isSilenceReported) {
					return;
				}

				if (isGenerated) {
					measurements.recordFirstByte(server, {
						prompt: this.prompt, load, prefillTokens: handle ? 0 : placement.prefillTokens, elapsedMs: measureServerMs(firstByteAt - startedAt),
					});
				} else {
					health.recordSignOfLife(server);
				}
			},
			request,
		});
		if (result.outcome === attemptOutcomes.replaced || (run.hasPredecessor && result.outcome === attemptOutcomes.broken)) {
			heldEvents?.discard();
		}

		await heldEvents?.settle();
		proofGrant?.release();
		await this.#settleRun(run, result, heldEvents?.isRefuted ?? false);
		inFlightLoad.release();
		permit.finish({isWritten: result.isWritten, isAccepted: true});
		if (heldEvents?.isRefuted && !this.#request.signal.aborted) {
			this.lastAnswer = undefined;
			return {
				...result, outcome: attemptOutcomes.broken, answer: undefined, isStreamed: false, isUnproved: true,
			};
		}

		if (result.outcome !== attemptOutcomes.replaced) {
			this.lastAnswer = result.answer;
		}

		if (result.outcome === attemptOutcomes.broken && result.isStreamed && result.answer && !heldEvents?.isDiscarded) {
			this.#opts.relay.recordBreak(result.answer);
		}

		if (firstByteAt !== undefined && isGenerated && result.outcome === attemptOutcomes.answered && !run.isSilenceReported) {
			measurements.recordEnd(server, {isStream: isLongOutput, holdMs: clock.monotonic() - firstByteAt});
		}

		return result;
	}

	/** What an answer has brought while its run is on hold is used only if the run goes on. */
	async #settleRun(run: StreamRun, {outcome, isStreamed, answer, head}: AttemptResult, isRefuted: boolean): Promise<void> {
		const isAnswered = outcome === attemptOutcomes.answered && !isRefuted;
		const isRefused = isAnswered && !isStreamed && this.#context.codec.decodeResponseHead(head!).isNotExecuted;
		if (!isAnswered || isRefused) {
			this.#opts.dispatch({kind: 'failed', run: run.id});
			return;
		}

		if (isStreamed && answer?.verdict === answerVerdicts.whole) {
			this.#opts.dispatch({kind: 'completed', run: run.id});
		}

		await run.waitForRelease();
	}

	/** Without a measured speed, the prediction is a guess, and no server counts as lost because of it. */
	#createSilenceOptions(run: StreamRun, server: KnownServer, predictedMs: number): SilenceOptions {
		const {health, profile, clock} = this.#context;
		const detector = new SilenceDetector(health, {server, predictedMs: profile.isKnown(server.service) ? predictedMs : undefined, startedAt: clock.monotonic()});
		return {
			firstByteMs: detector.intervalMs,
			isLost: () => detector.isLost(clock.monotonic(), this.#remainingMs),
			idleMs: Math.max(minimumSilenceMs, (this.#request.route.pauseObjectiveMs ?? 0) * silenceFactor),
			onSilent: silentMs => {
				this.#opts.onSilent(run, server, silentMs);
			},
		};
	}

	/**
	 * Returns a function that takes the wait at this instance out of the measured time of a call. The speeds that weak instances
	 * measure are shared with all others, and placement counts the own wait by itself.
	 */
	#createServerTimer(): (elapsedMs: number) => number {
		const ownMs = this.#estimateOwnMs();
		return elapsedMs => Math.max(elapsedMs - ownMs, elapsedMs * minServerFraction);
	}

	/** Time that a call which is sent now waits at this instance, in milliseconds; 0 at one that is not weak. */
	#estimateOwnMs(): number {
		return this.#context.ownResources?.estimateCallMs(countCallBytes(this.#request)) ?? 0;
	}

	/** Time for which the caller waits for the next event. */
	get #patienceMs(): number {
		return Math.min(this.#remainingMs, this.#request.route.patienceMs ?? Number.POSITIVE_INFINITY);
	}

	get #remainingMs(): number {
		return computeRemainingMs(this.#context, this.#request);
	}

	get #priority(): number {
		return Math.min(maxPriorityValue, this.#request.priority);
	}

	/** A refusal or an error may be answered before the prompt is prefilled, so that its time says nothing about the server. */
	#isGenerated(head: ResponseHead): boolean {
		return head.status === 200 && !this.#context.codec.decodeResponseHead(head).isNotExecuted;
	}

	#isStream(head: ResponseHead): boolean {
		const metadata = this.#context.codec.decodeResponseHead(head);
		const type = String(head.headers['content-type'] ?? '');
		return head.status === 200 && metadata.isAuthentic && type.startsWith('text/event-stream');
	}
}
