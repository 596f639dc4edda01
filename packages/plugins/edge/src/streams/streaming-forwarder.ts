/**
 * Forwards a request whose response is a stream of events. A long prompt is prefilled by one server, whose KV cache is
 * handed over to the server that generates; the events are forwarded to the caller as they arrive. A resumable stream
 * continues at another server after its last complete event; any other request runs at most once.
 *
 * The table of runs decides; the forwarder reports what happens to it and carries out its actions.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {describeError} from '@hickorytrack/errors';
import {
	requestOutcomes, type CallerRequest, type RequestResult,
} from '../front/caller-request.js';
import type {ForwardContext} from '../calls/forward-context.js';
import {SendPermits, type SendPermit} from '../limits/send-permits.js';
import {EndConfirmation} from './end-confirmation.js';
import {EventRelay} from './event-relay.js';
import {RequestOrigin} from './request-origin.js';
import {RunFactsSource} from './run-facts-source.js';
import {applyRunEvent} from './run-table.js';
import {StreamCalls} from './stream-calls.js';
import {StreamPlanner} from './stream-planner.js';
import {StreamProcedure} from './stream-procedure.js';
import {StreamProgress, type RunEnding} from './stream-progress.js';
import {StreamResults} from './stream-results.js';
import {StreamRun} from './stream-run.js';
import {
	createStreamRuns, findRun, findSoleDelivery, isGenerating, listPredecessors, listSuccessors, permitSources, runOutcomes, runWays,
	type RunAction, type RunEvent, type StreamRuns,
} from './stream-runs.js';

/** The core admits a version within the time of a few syncs. */
const maxAdmissionWaitMs = 300;
/** For how long two servers may work on one stream, in milliseconds. The platform allows 400, until the first one has seen the end. */
const maxSharedWorkMs = 300;

type StartAction = Extract<RunAction, {kind: 'start'}>;

export class StreamingForwarder {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #relay: EventRelay;
	readonly #permits: SendPermits;
	readonly #planner: StreamPlanner;
	readonly #origin: RequestOrigin;
	readonly #progress: StreamProgress;
	readonly #procedure: StreamProcedure;
	readonly #facts: RunFactsSource;
	/** What the table decides about. */
	#table: StreamRuns;
	/** The run whose events change nothing in the table. */
	#soleDelivery: number | undefined;
	readonly #events: RunEvent[] = [];
	#isDispatching = false;
	readonly #runs = new Map<number, StreamRun>();
	readonly #endings = new Map<number, RunEnding>();
	/** Kept for the return of the stream to a server whose run was ended before another one had delivered. */
	#returnPermit: SendPermit | undefined;
	/** The silence that is handled. */
	#silence: {run: StreamRun; server: KnownServer; silentMs: number} | undefined;
	/** Has refused to go on from its copy. */
	#refusedBackup: KnownServer | undefined;
	#resolveEnding: ((ending: RunEnding) => void) | undefined;

	constructor(context: ForwardContext, request: CallerRequest) {
		this.#context = context;
		this.#request = request;
		this.#table = createStreamRuns(request.route.isResumable);
		this.#relay = new EventRelay(request.response, {clock: context.clock, isResumable: request.route.isResumable});
		this.#origin = new RequestOrigin(request, {origins: context.origins, startProof: context.startProof, clock: context.clock});
		const calls = new StreamCalls(context, request, {
			relay: this.#relay, origin: this.#origin, dispatch: event => {
				this.#dispatch(event);
			}, onSilent: (run, server, silentMs) => {
				this.#handleSilence(run, server, silentMs);
			},
		});
		this.#permits = new SendPermits(context.retryBudget, request);
		this.#planner = new StreamPlanner(context, request, {
			permits: this.#permits, prompt: calls.prompt, origin: this.#origin, relay: this.#relay,
		});
		this.#progress = new StreamProgress(context, request, {relay: this.#relay, calls});
		const parts = {
			relay: this.#relay, calls, permits: this.#permits, planner: this.#planner, origin: this.#origin, progress: this.#progress,
		};
		this.#facts = new RunFactsSource(context, request, {...parts, runs: this.#runs});
		const endConfirmation = new EndConfirmation({
			...parts, request, canSend: () => !this.#progress.isBanned && this.#progress.hasTime, selectOther: asked => this.#selectConfirmingServer(asked),
		});
		this.#procedure = new StreamProcedure(context, request, {
			...parts,
			results: new StreamResults(context, request, {...parts, endConfirmation}),
			dispatch: event => {
				this.#dispatch(event);
			},
			hasSuccessor: ({id}) => listSuccessors(this.#table, findRun(this.#table, id)!).length > 0,
			hasPredecessor: ({id}) => listPredecessors(this.#table, findRun(this.#table, id)!).length > 0,
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
		await this.#origin.waitForAdmission(this.#context.registry.listUsable(this.#request.service), Math.min(maxAdmissionWaitMs, this.#progress.remainingMs));
		return new Promise(resolve => {
			this.#resolveEnding = resolve;
			this.#dispatch({kind: 'begin', facts: this.#facts.read()});
		});
	}

	/** An event that comes while an action is carried out waits for its end. One that the table does not know ends the request. */
	#dispatch(event: RunEvent): void {
		// Most events are those of a stream that nothing else goes on beside.
		if (event.kind === 'delivering' && event.run === this.#soleDelivery) {
			return;
		}

		this.#events.push(event);
		if (this.#isDispatching) {
			return;
		}

		this.#isDispatching = true;
		try {
			for (let next = this.#events.shift(); next; next = this.#events.shift()) {
				this.#handleEvent(next);
			}
		} catch (error) {
			this.#handleError(error);
		} finally {
			this.#isDispatching = false;
		}
	}

	#handleEvent(event: RunEvent): void {
		const {stream, actions} = applyRunEvent(this.#table, event);
		this.#table = stream;
		this.#soleDelivery = findSoleDelivery(stream)?.id;
		for (const action of actions) {
			this.#carryOut(action);
		}

		this.#facts.releaseReserved();
	}

	/** Ends all runs, and the request with them; it may have run. */
	#handleError(error: unknown): void {
		this.#events.length = 0;
		this.#reportError(error);
		this.#progress.isNotExecuted = false;
		for (const run of this.#runs.values()) {
			run.cancel();
		}

		this.#resolveEnding?.(this.#progress.createFailure('an internal error'));
	}

	#reportError(error: unknown): void {
		this.#context.eventLog.emit('unexpectedError', {
			request: this.#request.metadata.requestId, call: this.#request.path, message: describeError(error), stack: error instanceof Error ? error.stack : undefined,
		});
	}

	#carryOut(action: RunAction): void {
		switch (action.kind) {
			case 'start': {
				this.#startRun(action);
				break;
			}

			case 'hold': {
				this.#runs.get(action.run)?.hold();
				break;
			}

			case 'release': {
				this.#runs.get(action.run)?.release();
				break;
			}

			case 'drop': {
				this.#runs.get(action.run)?.drop();
				break;
			}

			case 'time': {
				this.#startDecisionTimer(action.run);
				break;
			}

			case 'end': {
				this.#endRun(action.run, action.by);
				break;
			}

			case 'release-return': {
				this.#takeReturnPermit()?.release();
				break;
			}

			case 'finish': {
				this.#resolveEnding?.(this.#endings.get(action.run)!);
				break;
			}

			case 'give-up': {
				this.#resolveEnding?.(this.#progress.createFailure(action.reason));
				break;
			}

			case 'wait': {
				this.#reportSilence(action.reason);
				break;
			}
		}
	}

	#startRun({run: {id, predecessor: predecessorId, way}, permit: source, keepsReturn}: StartAction): void {
		const predecessor = predecessorId === undefined ? undefined : this.#runs.get(predecessorId);
		const permit = source === permitSources.kept ? this.#takeReturnPermit() : (source === permitSources.lent ? predecessor!.permit : this.#facts.takeReserved());
		if (source === permitSources.lent) {
			predecessor!.permit = undefined;
		}

		if (keepsReturn) {
			this.#returnPermit = this.#facts.takeReserved();
		}

		const run = new StreamRun({
			id, permit, predecessor, hasLentPermit: source === permitSources.lent, allowedServers: way === runWays.copy ? undefined : this.#facts.allowedServers, relay: this.#relay, acceptEvents: ({server}) => this.#origin.accept(server!), dispatch: event => {
				this.#dispatch(event);
			},
		});
		this.#runs.set(id, run);
		if (way === runWays.copy) {
			this.#reportSilence();
			this.#startFromCopy(run, predecessor);
			return;
		}

		const plan = this.#planner.plan(run);
		const refusal = predecessor && plan.placement.kind === 'refuse' ? plan.placement : undefined;
		this.#reportSilence(refusal?.reason);
		this.#startFollowing(run, async () => refusal ? undefined : this.#procedure.followPlan(run, plan));
	}

	/** Starts a run beside another one from its copy, or once more from one whose server has refused. */
	#startFromCopy(run: StreamRun, predecessor: StreamRun | undefined): void {
		const permit = run.permit!;
		const backup = predecessor ? predecessor.backupServer! : this.#refusedBackup!;
		run.permit = undefined;
		if (predecessor) {
			// The copy can be used once.
			predecessor.backupServer = undefined;
		}

		this.#startFollowing(run, async () => {
			const ending = predecessor ? await this.#procedure.resumeAt(run, backup, permit) : await this.#procedure.resumeAgain(run, backup, permit);
			if (predecessor && !run.isGenerating) {
				predecessor.backupServer ??= backup;
			}

			return ending;
		});
	}

	#startFollowing(run: StreamRun, follow: () => Promise<RunEnding | undefined>): void {
		this.#context.tasks.start('stream-run', async () => this.#followRun(run, follow));
	}

	/** An error ends its run only. */
	async #followRun(run: StreamRun, follow: () => Promise<RunEnding | undefined>): Promise<void> {
		let ending: RunEnding | undefined;
		try {
			ending = await follow();
		} catch (error) {
			this.#reportError(error);
			this.#progress.isNotExecuted &&= !run.isGenerating;
			ending = this.#progress.createFailure('an internal error');
		}

		run.stopDecisionTimer?.();
		run.permit?.release();
		this.#runs.delete(run.id);
		this.#refusedBackup = ending?.refusedBy ?? this.#refusedBackup;
		if (ending) {
			this.#endings.set(run.id, ending);
		}

		this.#dispatch({
			kind: 'finished', run: run.id, as: ending?.as ?? runOutcomes.open, facts: this.#facts.read(),
		});
	}

	#startDecisionTimer(id: number): void {
		const run = this.#runs.get(id);
		if (run) {
			run.stopDecisionTimer = this.#context.clock.startTimer(maxSharedWorkMs, () => {
				this.#dispatch({
					kind: 'decide', run: id, isWritten: run.canceller.isWritten, isHeard: this.#isPredecessorHeard(id),
				});
			});
		}
	}

	/** Tells whether a server before that of the run is heard again and still has the request. */
	#isPredecessorHeard(id: number): boolean {
		return listPredecessors(this.#table, findRun(this.#table, id)!).some(run => isGenerating(run) && this.#runs.get(run.id)?.isHeardOnHold);
	}

	#endRun(id: number, by: number | undefined): void {
		const run = this.#runs.get(id);
		if (!run) {
			return;
		}

		run.returnPermit();
		run.cancel();
		const other = by === undefined ? undefined : this.#runs.get(by);
		if (other && !this.#request.signal.aborted) {
			this.#reportTakeover(run, other);
		}
	}

	#reportTakeover(run: StreamRun, by: StreamRun): void {
		const {eventLog, metrics, clock} = this.#context;
		const isSilenceOver = run.isAfter(by);
		const later = isSilenceOver ? run : by;
		const sharedMs = later.generatingSince === undefined ? undefined : Math.round(clock.monotonic() - later.generatingSince);
		metrics.count('takeovers_total', {service: this.#request.service, by: isSilenceOver ? 'silent-server' : 'another-server'});
		eventLog.emit('requestTakenOver', {
			request: this.#request.metadata.requestId, from: run.server?.id, to: by.server?.id, lastEvent: this.#relay.lastEventId, isSilenceOver, sharedMs,
		});
	}

	#takeReturnPermit(): SendPermit | undefined {
		const permit = this.#returnPermit;
		this.#returnPermit = undefined;
		return permit;
	}

	/** Has the table decide whether another run is started beside that of a silent server. */
	#handleSilence(run: StreamRun, server: KnownServer, silentMs: number): void {
		const known = findRun(this.#table, run.id);
		if (run.isCancelled || !known || listSuccessors(this.#table, known).length > 0) {
			return;
		}

		this.#context.health.recordSilent(server);
		this.#silence = {run, server, silentMs};
		this.#dispatch({kind: 'silent', run: run.id, facts: this.#facts.read(run)});
		this.#silence = undefined;
	}

	/** `reason`: why the request waits for the silent server. */
	#reportSilence(reason?: string): void {
		const {health, eventLog, metrics} = this.#context;
		const isTakenOver = reason === undefined;
		if (!this.#silence || (!isTakenOver && this.#silence.run.isSilenceReported)) {
			return;
		}

		const {run, server, silentMs} = this.#silence;
		run.isSilenceReported = true;
		metrics.count('silent_servers_total', {service: server.service, decision: isTakenOver ? 'another-server' : 'wait'});
		eventLog.emit('serverSilent', {
			request: this.#request.metadata.requestId, server: server.id, isGenerating: run.isGenerating, silentMs, lastAnswerMs: health.measureSilence(server), lastEvent: this.#relay.lastEventId, isTakenOver, reason,
		});
	}

	#selectConfirmingServer(asked: readonly KnownServer[]): KnownServer | undefined {
		const server = this.#progress.allowsServer && this.#progress.hasTime ? this.#planner.selectConfirmingServer(asked) : undefined;
		if (server) {
			this.#progress.addServer(server);
		}

		return server;
	}
}
