/**
 * The steps of one run of a streaming request, from its plan to its end: a prefill, if the prompt is handed over, and a
 * generation, or the resumption of the stream from a copy of its KV cache. The table of runs decides what comes of them.
 */
import {unlimitedGrant, type SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Placement} from '@hickorytrack/prompt-placement';
import {attemptOutcomes, type AttemptResult} from '../calls/attempt.js';
import {callKinds} from '../calls/call-kinds.js';
import type {CallerRequest} from '../front/caller-request.js';
import {isCandidate} from '../calls/candidate-servers.js';
import type {ForwardContext} from '../calls/forward-context.js';
import type {KvHandle} from '../request-codec.js';
import {retryKinds} from '../limits/retry-budget.js';
import type {SendPermit, SendPermits} from '../limits/send-permits.js';
import {giveUpReasons} from './run-table.js';
import type {RequestOrigin} from './request-origin.js';
import type {EventRelay} from './event-relay.js';
import {startVerdicts} from './start-proof.js';
import type {StreamCalls} from './stream-calls.js';
import type {GrantedPlan, StreamPlan, StreamPlanner} from './stream-planner.js';
import type {RunEnding, StreamProgress} from './stream-progress.js';
import type {StreamResults} from './stream-results.js';
import type {StreamRun} from './stream-run.js';
import {runOutcomes, type RunEvent} from './stream-runs.js';

export type StreamProcedureOptions = {
	relay: EventRelay;
	calls: StreamCalls;
	permits: SendPermits;
	planner: StreamPlanner;
	origin: RequestOrigin;
	progress: StreamProgress;
	results: StreamResults;
	dispatch: (event: RunEvent) => void;
	/** Tells whether a run that was started beside the given one has not ended. */
	hasSuccessor: (run: StreamRun) => boolean;
	/** Tells whether a run beside which the given one was started has not ended. */
	hasPredecessor: (run: StreamRun) => boolean;
};

/** Time before a server is asked again to go on from a copy, in milliseconds, unless it names a longer one. */
const copyRetryMs = 50;

export class StreamProcedure {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #opts: StreamProcedureOptions;

	constructor(context: ForwardContext, request: CallerRequest, opts: StreamProcedureOptions) {
		this.#context = context;
		this.#request = request;
		this.#opts = opts;
	}

	/** Returns undefined when another server may be tried. */
	async followPlan(run: StreamRun, plan: StreamPlan): Promise<RunEnding | undefined> {
		const {planner, progress} = this.#opts;
		const granted = await planner.acquireGrants(run, plan, {isContinuation: this.#isContinuation});
		if (!granted) {
			return this.#request.signal.aborted ? progress.createCallerGone() : undefined;
		}

		if ('kind' in granted) {
			progress.extendRetryAfter(granted.retryAfterMs);
			return progress.createFailure(granted.reason);
		}

		try {
			return await this.#runGranted(run, granted);
		} finally {
			granted.grants.prefill.release();
			granted.grants.decode.release();
			granted.grants.proof?.release();
		}
	}

	/** Resumes the stream after its last event from the copy of the KV cache at a server. It counts as the same run. */
	async resumeAt(run: StreamRun, backup: KnownServer, permit: SendPermit): Promise<RunEnding | undefined> {
		const {planner, progress, origin} = this.#opts;
		if (run.hasPredecessor && !await this.#isResponding(run, backup)) {
			permit.release();
			return this.#createCopyEnding(run, 'its backup server does not answer');
		}

		const grants = await planner.acquireResumption(backup, run);
		if (run.isCancelled || this.#request.signal.aborted) {
			grants?.decode.release();
			grants?.proof?.release();
			permit.release();
			return this.#createEnding(run);
		}

		if (!grants) {
			permit.release();
			return this.#createCopyEnding(run, 'its backup server is at the limit that it has named');
		}

		// It is of the version that began the stream, so that there is nothing to record.
		if (origin.prepare(backup) !== true) {
			grants.decode.release();
			grants.proof?.release();
			permit.release();
			return this.#createCopyEnding(run, 'its backup server has another version');
		}

		progress.addServer(backup);
		const result = await this.#opts.calls.generate(run, backup, {
			permit,
			grant: grants.decode,
			proofGrant: grants.proof,
			handle: {address: backup.address, handle: this.#request.metadata.requestId!},
			placement: {
				kind: 'direct', decodeServer: backup, prefillTokens: 0, predictedMs: 0,
			},
		});
		return this.#finishResumption(run, backup, result);
	}

	/** Asks a server that has refused to go on from its copy once more, after the time for which it wants no requests. */
	async resumeAgain(run: StreamRun, backup: KnownServer, permit: SendPermit): Promise<RunEnding | undefined> {
		const {clock, pauses} = this.#context;
		const waitMs = Math.max(copyRetryMs, pauses.estimateWaitMs([backup]));
		if (waitMs < this.#opts.progress.remainingMs) {
			await clock.sleep(waitMs);
		}

		if (run.isCancelled || this.#request.signal.aborted || !isCandidate(this.#context, backup)) {
			permit.release();
			return this.#createCopyEnding(run, 'its backup server takes no requests');
		}

		return this.resumeAt(run, backup, permit);
	}

	async #runGranted(run: StreamRun, {placement, prefillPermit, grants}: GrantedPlan): Promise<RunEnding | undefined> {
		const {planner, origin, progress, results} = this.#opts;
		progress.predictedMs ??= placement.predictedMs;
		const handle = placement.kind === 'hand-over' ? await this.#prefill(run, placement, {permit: prefillPermit!, grant: grants.prefill}) : undefined;
		if (this.#request.signal.aborted) {
			results.releaseKvHandle(handle);
			return progress.createCallerGone();
		}

		if (placement.kind === 'hand-over' && (!handle || !this.#canGenerate(run))) {
			results.releaseKvHandle(handle);
			return progress.remainingMs < 1 ? progress.createFailure('the prefill did not finish before the deadline') : undefined;
		}

		const decodeServer = handle ? planner.selectDecodeServer(run, placement.decodeServer) : placement.decodeServer;
		if (!decodeServer) {
			results.releaseKvHandle(handle);
			return undefined;
		}

		if (run.hasPredecessor && !await this.#isResponding(run, decodeServer)) {
			results.releaseKvHandle(handle);
			return this.#createEnding(run);
		}

		const prepared = origin.prepare(decodeServer);
		if (prepared !== true && (!await prepared || run.isCancelled || this.#request.signal.aborted)) {
			results.releaseKvHandle(handle);
			planner.rejectServer(decodeServer);
			return this.#createEnding(run, progress.allowsServer && progress.hasTime ? undefined : 'no server of the version that began the stream takes it');
		}

		if (run.isCancelled) {
			results.releaseKvHandle(handle);
			return undefined;
		}

		progress.addServer(decodeServer);
		const {decode, proof} = decodeServer.id === placement.decodeServer.id ? grants : {decode: unlimitedGrant};
		const result = await this.#opts.calls.generate(run, decodeServer, {
			permit: run.permit!, grant: decode, proofGrant: proof, handle, placement,
		});
		return this.#canResume(run, result) ? this.#resumeAtBackup(run, decodeServer, result) : results.handleResult(run, {server: decodeServer, result, handle});
	}

	/** How a run ends that was not sent: as that of a caller that has gone, as one that another run replaces, or for this reason. */
	#createEnding(run: StreamRun, reason?: string): RunEnding | undefined {
		const {progress} = this.#opts;
		if (this.#request.signal.aborted) {
			return progress.createCallerGone();
		}

		return run.isCancelled || reason === undefined ? undefined : progress.createFailure(reason);
	}

	/** How a run ends that was not sent to the server that keeps its copy; a request that may run twice may be sent anew. */
	#createCopyEnding(run: StreamRun, reason: string): RunEnding | undefined {
		return this.#createEnding(run, this.#isRetryable ? undefined : `the stream could not go on: ${reason}`);
	}

	/** Has the prompt prefilled. Without a handle of its KV cache, the request needs a new placement. */
	async #prefill(run: StreamRun, placement: Placement & {kind: 'hand-over'}, opts: {permit: SendPermit; grant: SendGrant}): Promise<KvHandle | undefined> {
		const {calls, planner, progress} = this.#opts;
		const {handle, ...failure} = await calls.prefill(run, placement, opts);
		if ('result' in failure) {
			planner.rejectServer(placement.prefillServer);
			progress.grounds.add(callKinds.prefill, placement.prefillServer, failure);
		}

		return handle;
	}

	/** Tells after a prefill whether the run may go on. */
	#canGenerate(run: StreamRun): boolean {
		const {progress, permits, dispatch} = this.#opts;
		if (run.isCancelled || progress.remainingMs < 1 || progress.isBanned) {
			return false;
		}

		dispatch({kind: 'prefilled', run: run.id});
		if (run.isCancelled) {
			return false;
		}

		run.permit ??= permits.acquire(retryKinds.run);
		const isAllowed = progress.isNotExecuted || this.#request.route.isResumable;
		return isAllowed && run.permit !== undefined && (run.allowedServers !== undefined || progress.allowsServer);
	}

	/**
	 * Tells whether the server answers right before it is sent the request of a silent one. Its events could not be delivered if
	 * it does not prove the start by which its version is known.
	 */
	async #isResponding(run: StreamRun, server: KnownServer): Promise<boolean> {
		const {health, startProof, eventLog} = this.#context;
		const {relay, planner, progress, origin} = this.#opts;
		const signal = AbortSignal.any([this.#request.signal, run.canceller.signal]);
		const maxWaitMs = Math.min(progress.remainingMs, this.#request.route.patienceMs ?? Number.POSITIVE_INFINITY);
		const verdict = await startProof.ask(server, {maxWaitMs, signal});
		if (signal.aborted) {
			return false;
		}

		if (verdict === startVerdicts.unknown || (this.#isContinuation && !origin.isSufficient(verdict))) {
			planner.rejectServer(server);
			eventLog.emit('attemptFailed', {
				request: this.#request.metadata.requestId, server: server.id, end: attemptOutcomes.broken, isWritten: false, lastAnswerMs: health.measureSilence(server), lastEvent: relay.lastEventId, reason: verdict === startVerdicts.unknown ? 'The server does not answer a call for its status' : 'The status of the server does not prove its start',
			});
			return false;
		}

		health.recordSignOfLife(server);
		return true;
	}

	/** Tells whether the stream of a broken attempt may go on from the copy of its KV cache. */
	#canResume(run: StreamRun, {outcome, error}: AttemptResult): boolean {
		const {relay, hasSuccessor, hasPredecessor} = this.#opts;
		return run.backupServer !== undefined && !hasSuccessor(run) && !hasPredecessor(run) && !run.isCancelled && relay.lastEventId !== undefined && !error?.foreignAnswer && outcome === attemptOutcomes.broken;
	}

	/** Resumes the stream at the backup server after the connection to its server has broken. */
	async #resumeAtBackup(run: StreamRun, failedServer: KnownServer, failedResult: AttemptResult): Promise<RunEnding | undefined> {
		const {eventLog, health, crashReports} = this.#context;
		const {relay, origin, permits, planner, progress} = this.#opts;
		const backup = run.backupServer!;
		health.recordUnresponsive(failedServer);
		planner.rejectServer(failedServer);
		origin.checkBeginning();
		await crashReports.handleLoss(this.#request, failedServer);
		progress.isNotExecuted = false;
		if (progress.isBanned) {
			return progress.createFailure(giveUpReasons.banned);
		}

		const permit = isCandidate(this.#context, backup) ? permits.acquire(retryKinds.resume) : undefined;
		eventLog.emit('streamMoved', {
			request: this.#request.metadata.requestId, from: failedServer.id, to: backup.id, end: failedResult.outcome, silentMs: failedResult.silentMs, lastEvent: relay.lastEventId, mayGoOn: permit !== undefined,
		});
		if (!permit) {
			return this.#isRetryable ? undefined : progress.createFailure(`the attempt ended as ${failedResult.outcome}`);
		}

		return this.resumeAt(run, backup, permit);
	}

	async #finishResumption(run: StreamRun, backup: KnownServer, result: AttemptResult): Promise<RunEnding | undefined> {
		const {results, progress} = this.#opts;
		if (this.#canResume(run, result)) {
			return this.#resumeAtBackup(run, backup, result);
		}

		const ending = await results.handleResult(run, {server: backup, result, handle: undefined});
		if (ending ?? this.#isRetryable) {
			return ending;
		}

		const failure = progress.createFailure(`the stream could not go on: ${result.outcome} ${result.head?.status ?? ''}`);
		return result.outcome === attemptOutcomes.answered ? {...failure, as: runOutcomes.refusedCopy, refusedBy: backup} : failure;
	}

	/** Tells whether the caller has events already, so that further ones are passed on only with a proof. */
	get #isContinuation(): boolean {
		return (this.#opts.relay.lastEventId ?? this.#request.metadata.lastEventId) !== undefined;
	}

	get #isRetryable(): boolean {
		return this.#request.route.isResumable;
	}
}
