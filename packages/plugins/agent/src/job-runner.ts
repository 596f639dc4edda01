/**
 * Runs one attempt on the engine: a generation piece by piece, or a call of a plain service. A stream that falls silent is
 * probed on another connection. It says how the attempt ended, or leaves the judgement to its caller.
 */
import {waitAtMost} from '@hickorytrack/clock';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {EngineAdapter, EngineError, EngineEvent} from '@hickorytrack/types/engine-adapter';
import type {AttemptEnd, GenerationWork, ServiceWork} from '@hickorytrack/types/work';
import type {EngineMonitor} from './engine-monitor.js';
import type {Job} from './job.js';

/** Silent periods after which a stream counts as lost although the engine still has the work. */
const silentPeriodsBeforeFirstPiece = 10;
const silentPeriodsInStream = 2;

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

	/** Returns the end of the attempt, or `undefined` when it failed in a way that may be a crash of the engine. */
	async run(job: Job): Promise<AttemptEnd | undefined> {
		const {work} = job.submission;
		return work.kind === 'generation' ? this.#generate(job, work) : this.#callService(job, work);
	}

	/** Runs a generation; returns `undefined` when it failed in a way that has to be judged. */
	async #generate(job: Job, work: GenerationWork): Promise<AttemptEnd | undefined> {
		const stream = this.#opts.adapter.generate(work, {
			attempt: job.attempt, workspace: job.submission.workspace, priority: job.priority, signal: job.abortController.signal, onWrite() {
				job.isWritten = true;
			},
		})[Symbol.asyncIterator]();
		for (;;) {
			const event = await this.#readEvent(stream, job);
			if (event === 'stalled') {
				job.abortController.abort();
				this.#opts.context.events.emit('engineSilent', {attempt: job.attempt});
				return {kind: 'engine-failed', written: true, message: 'The engine stream stalled'};
			}

			if (event.kind === 'end') {
				const {kind, ...usage} = event;
				return {kind: 'complete', ...usage};
			}

			if (event.kind === 'failed') {
				return this.#convertFailure(job, event.error);
			}

			await this.#takeTexts(job, event.texts);
		}
	}

	async #takeTexts(job: Job, texts: string[]): Promise<void> {
		const {steps, settings} = this.#opts.context;
		const isFirst = job.firstPieceAt === undefined;
		const now = this.#opts.context.clock.monotonic();
		job.firstPieceAt ??= now;
		job.tail.write(texts);
		await steps.reach(isFirst ? 'request.first-piece' : 'request.mid-stream', settings.endpoint);
		await job.tail.waitForRoom(job.abortController.signal);
	}

	/** Reads the next event; a stream that is silent for too long is probed on another connection. */
	async #readEvent(stream: AsyncIterator<EngineEvent>, job: Job): Promise<EngineEvent | 'stalled'> {
		const next = stream.next();
		const patience = job.firstPieceAt === undefined ? silentPeriodsBeforeFirstPiece : silentPeriodsInStream;
		for (let period = 1; ; period++) {
			const result = await waitAtMost(next, this.#opts.context.settings.stallMs, this.#opts.context.clock);
			if (result) {
				return result.done ? {kind: 'failed', error: createCutError()} : result.value;
			}

			// An engine that has the work but sends nothing for long has lost track of the connection.
			if (period >= patience || await this.#opts.adapter.probe(job.attempt) !== 'running') {
				return 'stalled';
			}
		}
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

function createCutError(): EngineError {
	const error = new Error('The engine stream ended without an end') as EngineError;
	Object.assign(error, {code: 'ERR_HICKORYTRACK_ENGINE_CUT', written: true});
	return error;
}
