/**
 * Runs one attempt on the engine: a generation, whose answer arrives in pieces, or a call of a plain service. When a stream
 * is silent, the engine is probed over another connection. Silence ends no attempt: the entry is told, and cancels the attempt
 * once another one delivers. The runner returns how the attempt ended, or `undefined` if the caller has to check
 * for a crash of the engine.
 */
import {waitWithTimeout} from '@hickorytrack/clock';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {EngineAdapter, EngineError, EngineEvent} from '@hickorytrack/types/engine-adapter';
import {
	stallLimits, type AttemptEnd, type GenerationWork, type ServiceWork,
} from '@hickorytrack/types/work';
import type {EngineMonitor} from './engine-monitor.js';
import type {Job} from './job.js';

/** Number of silent periods of `stallMs` after which a stream counts as stalled even if the engine still runs the work. */
const maximumSilentPeriodsBeforeFirstPiece = 10;
const maximumSilentPeriodsInStream = 2;

export type JobRunnerOptions = {
	context: ProcessContext;
	adapter: EngineAdapter;
	monitor: EngineMonitor;
};

export class JobRunner {
	readonly #opts: JobRunnerOptions;

	constructor(opts: JobRunnerOptions) {
		this.#opts = opts;
	}

	/** Returns how the attempt ended, or `undefined` if the failure may be a crash of the engine. */
	async run(job: Job): Promise<AttemptEnd | undefined> {
		const {work} = job.submission;
		return work.kind === 'generation' ? this.#runGeneration(job, work) : this.#callService(job, work);
	}

	/** Runs a generation; returns `undefined` if the failure may be a crash of the engine. */
	async #runGeneration(job: Job, work: GenerationWork): Promise<AttemptEnd | undefined> {
		const stream = this.#opts.adapter.generate(work, {
			attempt: job.attempt, workspace: job.submission.workspace, priority: job.priority, signal: job.abortController.signal, onWrite() {
				job.isWritten = true;
			},
		})[Symbol.asyncIterator]();
		for (;;) {
			const event = await this.#readEvent(stream, job);
			if (event === 'lost') {
				job.abortController.abort();
				return {kind: 'engine-failed', written: true, message: 'The engine has lost the attempt'};
			}

			if (event.kind === 'end') {
				const {kind, ...usage} = event;
				return {kind: 'complete', ...usage};
			}

			if (event.kind === 'failed') {
				return this.#convertFailure(job, event.error);
			}

			await this.#writeTexts(job, event.texts);
		}
	}

	async #writeTexts(job: Job, texts: string[]): Promise<void> {
		const {steps, settings} = this.#opts.context;
		const isFirst = job.firstPieceAt === undefined;
		const now = this.#opts.context.clock.monotonic();
		job.firstPieceAt ??= now;
		job.writer.write(texts);
		await steps.onStep(isFirst ? 'request.first-piece' : 'request.mid-stream', settings.endpoint);
		await job.writer.waitForCapacity(job.abortController.signal);
	}

	/**
	 * Reads the next event. After each silent period, the engine is probed over another connection; it has lost the attempt if
	 * it doesn't know it or can't be reached. What nobody took over in the time of the request is lost too.
	 */
	async #readEvent(stream: AsyncIterator<EngineEvent>, job: Job): Promise<EngineEvent | 'lost'> {
		const {clock, settings, events} = this.#opts.context;
		const startedAt = clock.monotonic();
		const next = stream.next();
		const maximumSilentPeriods = job.firstPieceAt === undefined ? maximumSilentPeriodsBeforeFirstPiece : maximumSilentPeriodsInStream;
		for (let period = 1; ; period++) {
			const result = await waitWithTimeout(next, settings.stallMs, clock) ?? await this.#probe(next, job);
			if (typeof result === 'object') {
				return result.done ? {kind: 'failed', error: createTruncatedStreamError()} : result.value;
			}

			const silentMs = Math.round(clock.monotonic() - startedAt);
			const isLost = result === 'gone' || result === 'unreachable' || clock.monotonic() - job.queuedAt > job.submission.deadlineMs;
			if (isLost) {
				events.emit('engineSilent', {
					attempt: job.attempt, silentMs, limit: 'stall-ms', probe: result,
				});
				return 'lost';
			}

			// An engine that still runs the work but has sent nothing for this long may no longer write to this connection.
			if (result === 'silent' || period >= maximumSilentPeriods) {
				const limit = result === 'silent' ? stallLimits.query : stallLimits.stream;
				events.emit('attemptStalled', {attempt: job.attempt, silentMs, limit});
				job.writer.reportStall({silentMs, limit});
			}
		}
	}

	/** Probes the engine; returns the next event instead if it comes meanwhile. */
	async #probe(next: Promise<IteratorResult<EngineEvent>>, job: Job): Promise<IteratorResult<EngineEvent> | 'running' | 'gone' | 'unreachable' | 'silent'> {
		return Promise.race([next, this.#opts.adapter.probe(job.attempt)]);
	}

	async #callService(job: Job, work: ServiceWork): Promise<AttemptEnd | undefined> {
		const result = await this.#opts.adapter.callService(work, {
			attempt: job.attempt, workspace: job.submission.workspace, priority: job.priority, signal: job.abortController.signal, onWrite() {
				job.isWritten = true;
			},
		});
		return result.isOk() ? {kind: 'service-answer', answer: result.value} : this.#convertFailure(job, result.error);
	}

	#convertFailure(job: Job, error: EngineError): AttemptEnd | undefined {
		if (job.phase === 'ended') {
			return undefined;
		}

		if (!error.written) {
			job.isWritten = false;
			this.#opts.monitor.handleLoss();
			return {kind: 'refused', reason: 'not-ready'};
		}

		return error.code === 'ERR_HICKORYTRACK_ENGINE_REFUSED' ? {kind: 'engine-failed', written: true, message: error.message} : undefined;
	}
}

function createTruncatedStreamError(): EngineError {
	const error = new Error('The engine stream closed without a final event') as EngineError;
	Object.assign(error, {code: 'ERR_HICKORYTRACK_ENGINE_CUT', written: true});
	return error;
}
