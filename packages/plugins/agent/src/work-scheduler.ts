/**
 * The agent's work: it has the last word on admission, orders the work among workspaces, runs it on the engine and keeps the
 * answers until they are confirmed. Each running attempt is one task.
 */
import {waitAtMost, type Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import {FairQueue, type QueuedWork} from '@hickorytrack/fair-queue';
import {isExpectedInTime} from '@hickorytrack/fair-queue/first-token-estimate';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {AdaptiveLimit} from '@hickorytrack/rate-limit/adaptive-limit';
import type {Contract} from '@hickorytrack/types/contract';
import type {EndpointLoad, EndpointPhase} from '@hickorytrack/types/endpoint';
import type {EngineAdapter, EngineError, EngineEvent} from '@hickorytrack/types/engine-adapter';
import type {DemandReport} from '@hickorytrack/types/peer-methods';
import type {
	AttemptEnd, AttemptResolution, GenerationWork, RefusalReason, ServiceWork, SubmissionReply, WorkSubmission,
} from '@hickorytrack/types/work';
import {DemandMeter} from './demand-meter.js';
import type {EngineMonitor} from './engine-monitor.js';
import {Job} from './job.js';
import {JobRegistry} from './job-registry.js';
import {JobRunner} from './job-runner.js';
import {PieceSender} from './piece-sender.js';

const maximumQueueLength = 2000;
/** Engine time by which a workspace under its share may go ahead. */
const workspaceBurstMs = 500;
const housekeepingMs = 25;
const adaptWindowMs = 1000;
/** The limit on concurrency never falls under this part of the engine's capacity. */
const leastSlotsPart = 4;
const msPerSecond = 1000;
const crashReportTimeoutMs = 2000;
/** Output tokens expected of a request that allows more. */
const expectedOutputTokens = 128;

export type WorkSchedulerOptions = {
	context: ProcessContext;
	control: ControlClient;
	adapter: EngineAdapter;
	monitor: EngineMonitor;
};

type Admission = {isAdmitted: true} | {isAdmitted: false; reason: RefusalReason};

export class WorkScheduler {
	readonly #opts: WorkSchedulerOptions;
	readonly #clock: Clock;
	readonly #queue: FairQueue<Job>;
	readonly #running = new Set<Job>();
	readonly #book: JobRegistry;
	readonly #senders = new WeakMap<PeerConnection, PieceSender>();
	readonly #meter: DemandMeter;
	readonly #runner: JobRunner;
	readonly #stopped = new AbortController();
	#limit: AdaptiveLimit | undefined;
	#phase: EndpointPhase = 'serving';
	#isStopping = false;
	#sequence = 0;
	#crashes = 0;
	/** Taken from the queue, waiting for the engine to be empty. */
	#isolatedNext: Job | undefined;

	constructor(opts: WorkSchedulerOptions) {
		this.#opts = opts;
		this.#clock = opts.context.clock;
		this.#queue = new FairQueue({clock: this.#clock, maximumLength: maximumQueueLength, burstMs: workspaceBurstMs});
		this.#book = new JobRegistry(this.#clock);
		this.#meter = new DemandMeter(this.#clock);
		this.#runner = new JobRunner(opts);
	}

	get phase(): EndpointPhase {
		return this.#phase;
	}

	get running(): number {
		return this.#running.size;
	}

	get queued(): number {
		return this.#queue.length;
	}

	start(): void {
		void this.#keepHouse();
	}

	stop(): void {
		this.#stopped.abort();
		for (const job of this.#running) {
			job.abortController.abort();
		}
	}

	/** Judges a submission; an accepted one will end with exactly one end on its stream. */
	async submit(submission: WorkSubmission, connection: PeerConnection): Promise<SubmissionReply> {
		const known = this.#book.find(submission.attempt);
		if (known) {
			known.tail.attach(this.#findSender(connection), 0);
			return {accepted: true, load: this.getLoad(), revision: this.#opts.control.revision};
		}

		await this.#catchUp(submission, connection);
		const admission = this.#admit(submission);
		const reply = {load: this.getLoad(), revision: this.#opts.control.revision};
		if (!admission.isAdmitted) {
			return {accepted: false, reason: admission.reason, ...reply};
		}

		const job = this.#enqueue(submission, connection);
		if (!job) {
			return {accepted: false, reason: 'queue-full', ...reply};
		}

		this.#pump();
		return {accepted: true, load: this.getLoad(), revision: this.#opts.control.revision};
	}

	/** Goes on with an answer over another connection. */
	resume(attempt: string, from: number, connection: PeerConnection): boolean {
		return this.#book.find(attempt)?.tail.attach(this.#findSender(connection), from) ?? false;
	}

	confirm(received: ReadonlyArray<{attempt: string; next: number}>): void {
		for (const {attempt, next} of received) {
			this.#book.find(attempt)?.tail.confirm(next);
		}
	}

	cancel(attempt: string): void {
		const job = this.#book.find(attempt);
		const mayCancel = job?.submission.work.kind === 'generation' || job?.phase === 'queued';
		if (job && mayCancel && job.phase !== 'ended') {
			this.#endEarly(job, {kind: 'cancelled', written: job.isWritten});
		}
	}

	/** Says what became of an attempt; with `cancel`, bars one that has not reached the engine. */
	resolve(attempt: string, opts: {cancel: boolean}): AttemptResolution {
		const job = this.#book.find(attempt);
		if (!job) {
			if (this.#book.isEvicted(attempt)) {
				return {state: 'unknown'};
			}

			return opts.cancel && this.#book.addTombstone(attempt) ? {state: 'never-written'} : {state: 'not-started'};
		}

		if (job.phase === 'ended') {
			return {state: 'ended', end: job.tail.end!};
		}

		if (job.isWritten) {
			return {state: 'running'};
		}

		if (!opts.cancel) {
			return {state: 'not-started'};
		}

		this.#endEarly(job, {kind: 'cancelled', written: false});
		return {state: 'never-written'};
	}

	/** Takes the phase that the controllers want. Leaving work is refused from this moment on. */
	setPhase(phase: EndpointPhase): void {
		if (phase !== this.#phase) {
			this.#phase = phase;
			this.#opts.context.events.emit('phaseChanged', {endpoint: this.#opts.context.settings.endpoint, phase});
		}

		if (phase !== 'serving') {
			this.#refuseQueued('draining');
		}
	}

	/** Refuses everything that has not begun, for a stop of this process. */
	rejectNewWork(): void {
		this.#isStopping = true;
		this.#refuseQueued('stopping');
	}

	/** Gives the generations in hand back to their entries, which go on elsewhere. Returns their number. */
	handOver(): number {
		const jobs = [...this.#running].filter(job => job.submission.work.kind === 'generation');
		for (const job of jobs) {
			this.#endEarly(job, {kind: 'handed-over'});
		}

		return jobs.length;
	}

	/** Resolves when no work is in hand and every answer is confirmed, or when the signal aborts. */
	async waitUntilIdle(signal: AbortSignal): Promise<void> {
		while (!signal.aborted && (this.#running.size > 0 || this.#queue.length > 0)) {
			await this.#clock.sleep(housekeepingMs, signal);
		}

		const until = this.#clock.monotonic() + msPerSecond;
		while (this.#clock.monotonic() < until && this.#book.hasUnconfirmed()) {
			await this.#clock.sleep(housekeepingMs);
		}
	}

	/** Refuses what waits, because the engine is gone; what runs is judged by its own task. */
	handleEngineLoss(): void {
		this.#refuseQueued('not-ready');
	}

	getLoad(): EndpointLoad {
		let pendingPrefillTokens = 0;
		let pendingDecodeTokens = 0;
		for (const job of this.#book.listOpen()) {
			pendingPrefillTokens += job.pendingPrefillTokens;
			pendingDecodeTokens += Math.min(expectedOutputTokens, job.pendingDecodeTokens);
		}

		this.#sequence++;
		return {
			running: this.#running.size,
			queued: this.#queue.length,
			slots: this.#countSlots(),
			pendingPrefillTokens,
			pendingDecodeTokens,
			role: this.#opts.monitor.description?.role ?? 'mixed',
			phase: this.#isStopping ? 'draining' : this.#phase,
			sequence: this.#sequence,
		};
	}

	collectReports(): DemandReport[] {
		return this.#meter.collect(this.#opts.context.settings.endpoint);
	}

	listOpenWork(): string[] {
		return this.#book.listOpen().map(job => `${job.attempt} of ${job.submission.workspace}: ${job.phase}, ${job.tail.length} pieces`);
	}

	dump(): unknown {
		return {
			phase: this.#phase, load: this.getLoad(), limit: this.#limit?.value, crashes: this.#crashes, kept: this.#book.size,
			running: [...this.#running].map(job => ({attempt: job.attempt, workspace: job.submission.workspace, pieces: job.tail.length})),
		};
	}

	/** Fetches the configuration from an entry that is ahead. */
	async #catchUp(submission: WorkSubmission, connection: PeerConnection): Promise<void> {
		const {control} = this.#opts;
		const isMissing = control.items.read(`contract/${submission.workspace}`) === undefined;
		if (submission.revision > control.revision && isMissing) {
			const page = await connection.request('items.fetch', {revision: control.revision});
			if (page.isOk()) {
				control.merge(page.value);
			}
		}
	}

	#admit(submission: WorkSubmission): Admission {
		const {control, monitor} = this.#opts;
		const refuse = (reason: RefusalReason): Admission => ({isAdmitted: false, reason});
		if (this.#book.hasTombstone(submission.attempt)) {
			return refuse('tombstone');
		}

		if (this.#isStopping) {
			return refuse('stopping');
		}

		if (this.#phase !== 'serving') {
			return refuse('draining');
		}

		if (!control.isFresh || !monitor.description) {
			return refuse('not-ready');
		}

		const name = submission.work.kind === 'generation' ? submission.work.model : submission.work.service;
		if (!monitor.description.names.includes(name)) {
			return refuse('wrong-endpoint');
		}

		const contract = control.items.read(`contract/${submission.workspace}`)?.value;
		if (contract?.kind !== 'contract') {
			return refuse('unknown-workspace');
		}

		return this.#isInTime(submission, contract.contract) ? {isAdmitted: true} : refuse('queue-time');
	}

	/** Tells whether the request can begin within its bound on the queue and its target for the first token. */
	#isInTime(submission: WorkSubmission, contract: Contract): boolean {
		const slots = this.#countSlots();
		const costAheadMs = this.#queue.estimateCostAhead({workspace: submission.workspace, priority: contract.priority, share: contract.share});
		const isWaiting = this.#running.size >= slots;
		if (isWaiting && costAheadMs > contract.limits.queueMs) {
			return false;
		}

		const {work, firstTokenBudgetMs} = submission;
		if (work.kind !== 'generation' || firstTokenBudgetMs === undefined || this.#running.size === 0) {
			return true;
		}

		return isExpectedInTime({
			speed: this.#opts.monitor.description!.speed,
			costAheadMs,
			running: this.#running.size,
			slots,
			runningPrefillTokens: this.#sumRunningPrefill(),
			ownPrefillTokens: Math.max(0, work.promptTokens - work.expectedCachedTokens),
		}, firstTokenBudgetMs);
	}

	#sumRunningPrefill(): number {
		let sum = 0;
		for (const job of this.#running) {
			sum += job.pendingPrefillTokens;
		}

		return sum;
	}

	#enqueue(submission: WorkSubmission, connection: PeerConnection): Job | undefined {
		const item = this.#opts.control.items.read(`contract/${submission.workspace}`)!.value;
		const contract = item.kind === 'contract' ? item.contract : undefined;
		const job = new Job(submission, this.#clock.monotonic());
		job.priority = contract?.priority ?? 0;
		job.share = contract?.share ?? 1;
		job.betweenTokensMs = contract?.targets.betweenTokensMs ?? Number.POSITIVE_INFINITY;
		job.costMs = this.#computeCost(job);
		const work: QueuedWork<Job> = {
			workspace: submission.workspace, priority: job.priority, share: job.share, costMs: job.costMs, queueMs: Math.min(contract?.limits.queueMs ?? 0, submission.deadlineMs, submission.firstTokenBudgetMs ?? Number.POSITIVE_INFINITY), item: job,
		};
		const isPushed = this.#queue.push(work, {
			onDisplaced: displaced => {
				this.#end(displaced, {kind: 'refused', reason: 'queue-full'});
			},
		});
		if (!isPushed) {
			return undefined;
		}

		this.#book.add(job);
		if (submission.work.kind === 'generation' && this.#opts.monitor.description) {
			this.#meter.recordAccepted(submission.work, this.#opts.monitor.description.mixedSpeed);
		}

		job.tail.attach(this.#findSender(connection), 0);
		return job;
	}

	/** Prices work in milliseconds of the whole engine: prefill and decode both count. */
	#computeCost(job: Job): number {
		const {work} = job.submission;
		const speed = this.#opts.monitor.description?.speed ?? {prefillTokensPerSecond: 1000, decodeTokensPerSecond: 1000};
		if (work.kind === 'service') {
			return msPerSecond / speed.decodeTokensPerSecond;
		}

		const outputTokens = Math.min(expectedOutputTokens, work.maxTokens - work.resumeFrom);
		const prefillTokens = Math.max(0, work.promptTokens - work.expectedCachedTokens);
		return ((prefillTokens / speed.prefillTokensPerSecond) + (outputTokens / speed.decodeTokensPerSecond)) * msPerSecond;
	}

	#countSlots(): number {
		const capacity = this.#opts.monitor.description?.capacity;
		if (capacity === undefined) {
			return 1;
		}

		// The limit is made only once the engine has said what it can do.
		if (this.#limit?.maximum !== capacity) {
			this.#limit = new AdaptiveLimit({
				clock: this.#clock, minimum: Math.ceil(capacity / leastSlotsPart), maximum: capacity, windowMs: adaptWindowMs,
			});
		}

		return this.#limit.value;
	}

	/** Starts work while there is room. An isolated one waits for an empty engine and keeps it for itself. */
	#pump(): void {
		while (this.#running.size < this.#countSlots() && this.#opts.monitor.description) {
			const hasIsolated = [...this.#running].some(job => job.isIsolated);
			if ((hasIsolated || this.#isolatedNext) && (this.#running.size > 0 || !this.#isolatedNext)) {
				return;
			}

			const job = this.#isolatedNext ?? this.#queue.pop()?.item;
			if (!job) {
				return;
			}

			if (job.isIsolated && this.#running.size > 0) {
				this.#isolatedNext = job;
				return;
			}

			this.#isolatedNext = undefined;
			if (job.phase === 'queued') {
				this.#running.add(job);
				void this.#run(job);
			}
		}
	}

	async #run(job: Job): Promise<void> {
		const {context} = this.#opts;
		job.phase = 'running';
		job.startedAt = this.#clock.monotonic();
		context.metrics.time('agent.queue_ms', job.startedAt - job.queuedAt);
		try {
			await context.steps.reach('request.handed-to-engine', context.settings.endpoint);
			const incarnation = this.#opts.monitor.description?.incarnation ?? '';
			const end = await this.#runner.run(job);
			if (end) {
				this.#noteOutput(job, end);
				this.#end(job, end);
			} else if (job.phase === 'running') {
				await this.#judgeFailure(job, incarnation);
			}
		} finally {
			this.#running.delete(job);
			this.#pump();
		}
	}

	#noteOutput(job: Job, end: AttemptEnd): void {
		const {work} = job.submission;
		if (end.kind === 'complete' && work.kind === 'generation') {
			this.#observeLatency(job);
			this.#meter.recordOutput(work.model, end.outputTokens);
		}
	}

	#observeLatency(job: Job): void {
		if (job.firstPieceAt !== undefined && job.tail.length > 1) {
			const betweenMs = (this.#clock.monotonic() - job.firstPieceAt) / (job.tail.length - 1);
			this.#limit?.observe(betweenMs, {targetMs: job.betweenTokensMs, concurrency: this.#running.size});
		}
	}

	/** Finds out whether the engine crashed; if so, everything that ran becomes a suspect. */
	async #judgeFailure(job: Job, incarnation: string): Promise<void> {
		const ran = [...this.#running].filter(other => other.isWritten && other.phase === 'running');
		const isCrash = await this.#opts.monitor.checkCrash(incarnation);
		if (job.phase === 'ended') {
			return;
		}

		if (!isCrash) {
			this.#end(job, {kind: 'engine-failed', written: true, message: 'The engine cut the stream'});
			return;
		}

		await this.#reportCrash(incarnation, ran);
	}

	async #reportCrash(incarnation: string, ran: readonly Job[]): Promise<void> {
		const {context, control, monitor} = this.#opts;
		const {endpoint} = context.settings;
		this.#crashes++;
		context.events.emit('engineCrashed', {endpoint, suspects: ran.length});
		context.metrics.count('agent.engine_crashes');
		const suspects = ran.map(({submission}) => ({fingerprint: submission.fingerprint, workspace: submission.workspace}));
		await control.propose({
			kind: 'report-crash', reportId: `${endpoint}/${incarnation}`, endpoint, suspects, at: 0,
		}, {timeoutMs: crashReportTimeoutMs, isIdempotent: true});
		for (const job of ran) {
			job.abortController.abort();
			this.#end(job, {kind: 'engine-crashed', written: true, alone: ran.length === 1});
		}

		monitor.handleLoss();
	}

	#endEarly(job: Job, end: AttemptEnd): void {
		this.#queue.takeWhere(queued => queued === job);
		if (this.#isolatedNext === job) {
			this.#isolatedNext = undefined;
		}

		const wasRunning = job.phase === 'running';
		this.#end(job, end);
		job.abortController.abort();
		if (wasRunning && job.submission.work.kind === 'generation') {
			void this.#opts.adapter.cancel(job.attempt);
		}
	}

	#end(job: Job, end: AttemptEnd): void {
		job.recordEnd(end, this.#clock.monotonic());
		this.#book.recordEnded(job);
	}

	#refuseQueued(reason: RefusalReason): void {
		const jobs = this.#queue.takeWhere(() => true).map(work => work.item);
		if (this.#isolatedNext) {
			jobs.push(this.#isolatedNext);
			this.#isolatedNext = undefined;
		}

		for (const job of jobs) {
			this.#end(job, {kind: 'refused', reason});
		}
	}

	#findSender(connection: PeerConnection): PieceSender {
		let sender = this.#senders.get(connection);
		if (!sender) {
			sender = new PieceSender(connection, () => this.getLoad());
			this.#senders.set(connection, sender);
		}

		return sender;
	}

	async #keepHouse(): Promise<void> {
		const {metrics} = this.#opts.context;
		while (!this.#stopped.signal.aborted) {
			await this.#clock.sleep(housekeepingMs, this.#stopped.signal);
			for (const work of this.#queue.takeExpired()) {
				this.#end(work.item, {kind: 'refused', reason: 'queue-time'});
			}

			this.#book.evictEnded();
			this.#pump();
			metrics.gauge('agent.queue_length', this.#queue.length);
			metrics.gauge('agent.running', this.#running.size);
		}
	}
}
