/**
 * Schedules the work of the agent: makes the final admission decision, queues work fairly among workspaces, runs it on the
 * engine and keeps the answers until they are confirmed. Each running attempt is one task.
 */
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import {FairQueue, type QueuedWork} from '@hickorytrack/fair-queue';
import {canMeetFirstTokenTarget} from '@hickorytrack/fair-queue/first-token-estimate';
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
import {StartPace} from './start-pace.js';

const maximumQueueLength = 2000;
/** Engine time by which a workspace that used less than its share may go ahead of the others. */
const workspaceBurstMs = 500;
const housekeepingIntervalMs = 25;
const limitWindowMs = 1000;
/** The concurrency limit never falls below the engine's capacity divided by this number. */
const minimumSlotsDivisor = 4;
const msPerSecond = 1000;
const crashReportTimeoutMs = 2000;
/** Output tokens expected of a request whose limit is higher. */
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
	readonly #jobs: JobRegistry;
	readonly #senders = new WeakMap<PeerConnection, PieceSender>();
	readonly #meter: DemandMeter;
	readonly #runner: JobRunner;
	readonly #abortController = new AbortController();
	readonly #pace: StartPace;
	#limit: AdaptiveLimit | undefined;
	#phase: EndpointPhase = 'serving';
	#isStopping = false;
	#sequence = 0;
	#crashes = 0;
	/** Isolated job that has left the queue and waits until no other job runs. */
	#waitingIsolatedJob: Job | undefined;

	constructor(opts: WorkSchedulerOptions) {
		this.#opts = opts;
		this.#clock = opts.context.clock;
		this.#queue = new FairQueue({clock: this.#clock, maximumLength: maximumQueueLength, burstMs: workspaceBurstMs});
		this.#jobs = new JobRegistry(this.#clock);
		this.#meter = new DemandMeter(this.#clock);
		this.#runner = new JobRunner(opts);
		this.#pace = new StartPace(this.#clock);
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
		void this.#runHousekeeping();
	}

	stop(): void {
		this.#abortController.abort();
		for (const job of this.#running) {
			job.abortController.abort();
		}
	}

	/** Accepts or refuses a submission. The stream of an accepted one gets exactly one end. */
	async submit(submission: WorkSubmission, connection: PeerConnection): Promise<SubmissionReply> {
		const known = this.#jobs.find(submission.attempt);
		if (known) {
			known.writer.connectSink(this.#getSender(connection), 0);
			return {accepted: true, load: this.getLoad(), revision: this.#opts.control.revision};
		}

		await this.#fetchConfiguration(submission, connection);
		const admission = this.#checkAdmission(submission);
		const reply = {load: this.getLoad(), revision: this.#opts.control.revision};
		if (!admission.isAdmitted) {
			return {accepted: false, reason: admission.reason, ...reply};
		}

		const job = this.#enqueue(submission, connection);
		if (!job) {
			return {accepted: false, reason: 'queue-full', ...reply};
		}

		this.#startJobs();
		return {accepted: true, load: this.getLoad(), revision: this.#opts.control.revision};
	}

	/** Resumes sending an answer over another connection, from piece `from`; returns false if that piece is not kept. */
	resume(attempt: string, from: number, connection: PeerConnection): boolean {
		return this.#jobs.find(attempt)?.writer.connectSink(this.#getSender(connection), from) ?? false;
	}

	confirm(received: ReadonlyArray<{attempt: string; next: number}>): void {
		for (const {attempt, next} of received) {
			this.#jobs.find(attempt)?.writer.confirm(next);
		}
	}

	cancel(attempt: string): void {
		const job = this.#jobs.find(attempt);
		const canCancel = job?.submission.work.kind === 'generation' || job?.phase === 'queued';
		if (job && canCancel && job.phase !== 'ended') {
			this.#stopJob(job, {kind: 'cancelled', written: job.isWritten});
		}
	}

	/** Returns the state of an attempt; with `cancel`, an attempt that has not reached the engine never will. */
	resolve(attempt: string, opts: {cancel: boolean}): AttemptResolution {
		const job = this.#jobs.find(attempt);
		if (!job) {
			if (this.#jobs.isEvicted(attempt)) {
				return {state: 'unknown'};
			}

			return opts.cancel && this.#jobs.addTombstone(attempt) ? {state: 'never-written'} : {state: 'not-started'};
		}

		if (job.phase === 'ended') {
			return {state: 'ended', end: job.writer.end!};
		}

		if (job.isWritten) {
			return {state: 'running'};
		}

		if (!opts.cancel) {
			return {state: 'not-started'};
		}

		this.#stopJob(job, {kind: 'cancelled', written: false});
		return {state: 'never-written'};
	}

	/** Sets the phase that the controllers request. In any phase but `serving`, queued and new work is refused. */
	setPhase(phase: EndpointPhase): void {
		if (phase !== this.#phase) {
			this.#phase = phase;
			this.#opts.context.events.emit('phaseChanged', {endpoint: this.#opts.context.settings.endpoint, phase});
		}

		if (phase !== 'serving') {
			this.#rejectQueued('draining');
		}
	}

	/** Refuses new work and all queued work because this process is stopping. */
	rejectNewWork(): void {
		this.#isStopping = true;
		this.#rejectQueued('stopping');
	}

	/** Hands the running generations back to their entries, which resume them on other endpoints. Returns their number. */
	handOver(): number {
		const jobs = [...this.#running].filter(job => job.submission.work.kind === 'generation');
		for (const job of jobs) {
			this.#stopJob(job, {kind: 'handed-over'});
		}

		return jobs.length;
	}

	/** Waits until no work runs or is queued or the signal aborts, then for at most 1 s until every answer is confirmed. */
	async waitUntilIdle(signal: AbortSignal): Promise<void> {
		while (!signal.aborted && (this.#running.size > 0 || this.#queue.length > 0)) {
			await this.#clock.sleep(housekeepingIntervalMs, signal);
		}

		const until = this.#clock.monotonic() + msPerSecond;
		while (this.#clock.monotonic() < until && this.#jobs.hasUnconfirmed()) {
			await this.#clock.sleep(housekeepingIntervalMs);
		}
	}

	/** Refuses queued work because the engine is gone. Each running job detects and handles the failure in its own task. */
	handleEngineLoss(): void {
		this.#rejectQueued('not-ready');
	}

	getLoad(): EndpointLoad {
		let pendingPrefillTokens = 0;
		let pendingDecodeTokens = 0;
		for (const job of this.#jobs.listOpen()) {
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
		return this.#jobs.listOpen().map(job => `${job.attempt} of ${job.submission.workspace}: ${job.phase}, ${job.writer.length} pieces`);
	}

	dump(): unknown {
		return {
			phase: this.#phase, load: this.getLoad(), limit: this.#limit?.value, maxRequestsPerSecond: this.#opts.monitor.description?.maxRequestsPerSecond, crashes: this.#crashes, kept: this.#jobs.size,
			running: [...this.#running].map(job => ({attempt: job.attempt, workspace: job.submission.workspace, pieces: job.writer.length})),
		};
	}

	/** Fetches the configuration from an entry with a newer revision if the contract of the workspace is missing here. */
	async #fetchConfiguration(submission: WorkSubmission, connection: PeerConnection): Promise<void> {
		const {control} = this.#opts;
		const isMissing = control.items.read(`contract/${submission.workspace}`) === undefined;
		if (submission.revision > control.revision && isMissing) {
			const page = await connection.request('items.fetch', {revision: control.revision});
			if (page.isOk()) {
				control.merge(page.value);
			}
		}
	}

	#checkAdmission(submission: WorkSubmission): Admission {
		const {control, monitor} = this.#opts;
		const reject = (reason: RefusalReason): Admission => ({isAdmitted: false, reason});
		if (this.#jobs.hasTombstone(submission.attempt)) {
			return reject('tombstone');
		}

		if (this.#isStopping) {
			return reject('stopping');
		}

		if (this.#phase !== 'serving') {
			return reject('draining');
		}

		if (!control.isFresh || !monitor.isAnswering || !monitor.description) {
			return reject('not-ready');
		}

		const name = submission.work.kind === 'generation' ? submission.work.model : submission.work.service;
		if (!monitor.description.names.includes(name)) {
			return reject('wrong-endpoint');
		}

		const contract = control.items.read(`contract/${submission.workspace}`)?.value;
		if (contract?.kind !== 'contract') {
			return reject('unknown-workspace');
		}

		return this.#canStartInTime(submission, contract.contract) ? {isAdmitted: true} : reject('queue-time');
	}

	/** Returns whether the request can start within its limit on queue time and meet its target for the first token. */
	#canStartInTime(submission: WorkSubmission, contract: Contract): boolean {
		const slots = this.#countSlots();
		this.#updatePace();
		if (this.#pace.estimateWaitMs(this.#queue.length) > contract.limits.queueMs) {
			return false;
		}

		const costAheadMs = this.#queue.estimateCostAhead({workspace: submission.workspace, priority: contract.priority, share: contract.share});
		const isWaiting = this.#running.size >= slots;
		if (isWaiting && costAheadMs > contract.limits.queueMs) {
			return false;
		}

		const {work, firstTokenBudgetMs} = submission;
		if (work.kind !== 'generation' || firstTokenBudgetMs === undefined || this.#running.size === 0) {
			return true;
		}

		return canMeetFirstTokenTarget({
			speed: this.#opts.monitor.description!.speed,
			costAheadMs,
			running: this.#running.size,
			slots,
			runningPrefillTokens: this.#countRunningPrefillTokens(),
			ownPrefillTokens: Math.max(0, work.promptTokens - work.expectedCachedTokens),
		}, firstTokenBudgetMs);
	}

	#countRunningPrefillTokens(): number {
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
			onEvicted: evicted => {
				this.#recordEnd(evicted, {kind: 'refused', reason: 'queue-full'});
			},
		});
		if (!isPushed) {
			return undefined;
		}

		this.#jobs.add(job);
		if (submission.work.kind === 'generation' && this.#opts.monitor.description) {
			this.#meter.recordAccepted(submission.work, this.#opts.monitor.description.mixedSpeed);
		}

		job.writer.connectSink(this.#getSender(connection), 0);
		return job;
	}

	/** Returns the cost of a job in milliseconds of the whole engine: the sum of prefill and decode. */
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

		// The limit is created once the engine has reported its capacity, and again when the capacity changes.
		if (this.#limit?.maximum !== capacity) {
			this.#limit = new AdaptiveLimit({
				clock: this.#clock, minimum: Math.ceil(capacity / minimumSlotsDivisor), maximum: capacity, windowMs: limitWindowMs,
			});
		}

		return this.#limit.value;
	}

	#updatePace(): void {
		this.#pace.setRate(this.#opts.monitor.description?.maxRequestsPerSecond);
	}

	get #hasWork(): boolean {
		return this.#queue.length > 0 || this.#waitingIsolatedJob !== undefined;
	}

	/** Starts jobs while slots are free, at the rate that the engine names. An isolated job waits until no other job runs, and no other starts while it runs. */
	#startJobs(): void {
		this.#updatePace();
		while (this.#running.size < this.#countSlots() && this.#opts.monitor.isAnswering && this.#hasWork) {
			const hasIsolated = [...this.#running].some(job => job.isIsolated);
			if ((hasIsolated || this.#waitingIsolatedJob) && (this.#running.size > 0 || !this.#waitingIsolatedJob)) {
				return;
			}

			if (!this.#pace.acquire()) {
				return;
			}

			const job = this.#waitingIsolatedJob ?? this.#queue.pop()?.item;
			if (!job) {
				return;
			}

			if (job.isIsolated && this.#running.size > 0) {
				this.#waitingIsolatedJob = job;
				return;
			}

			this.#waitingIsolatedJob = undefined;
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
			await context.steps.onStep('request.handed-to-engine', context.settings.endpoint);
			const incarnation = this.#opts.monitor.description?.incarnation ?? '';
			const end = await this.#runner.run(job);
			if (end) {
				this.#recordOutput(job, end);
				this.#recordEnd(job, end);
			} else if (job.phase === 'running') {
				await this.#handleFailure(job, incarnation);
			}
		} finally {
			this.#running.delete(job);
			this.#startJobs();
		}
	}

	#recordOutput(job: Job, end: AttemptEnd): void {
		const {work} = job.submission;
		if (end.kind === 'complete' && work.kind === 'generation') {
			this.#observeLatency(job);
			this.#meter.recordOutput(work.model, end.outputTokens);
		}
	}

	#observeLatency(job: Job): void {
		if (job.firstPieceAt !== undefined && job.writer.length > 1) {
			const averageBetweenTokensMs = (this.#clock.monotonic() - job.firstPieceAt) / (job.writer.length - 1);
			this.#limit?.observe(averageBetweenTokensMs, {targetMs: job.betweenTokensMs, concurrency: this.#running.size});
		}
	}

	/** Checks whether the engine crashed; if so, every request that was running on it becomes a suspect. */
	async #handleFailure(job: Job, incarnation: string): Promise<void> {
		const ran = [...this.#running].filter(other => other.isWritten && other.phase === 'running');
		const isCrash = await this.#opts.monitor.checkCrash(incarnation);
		if (job.phase === 'ended') {
			return;
		}

		if (!isCrash) {
			this.#recordEnd(job, {kind: 'engine-failed', written: true, message: 'The engine ended the request before the answer was complete'});
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
		const suspects = ran.map(({submission}) => ({fingerprint: submission.fingerprint, workspace: submission.workspace, parts: submission.parts}));
		await control.propose({
			kind: 'report-crash', reportId: `${endpoint}/${incarnation}`, endpoint, suspects, at: 0,
		}, {timeoutMs: crashReportTimeoutMs, isIdempotent: true});
		for (const job of ran) {
			job.abortController.abort();
			this.#recordEnd(job, {kind: 'engine-crashed', written: true, alone: ran.length === 1});
		}

		monitor.handleLoss();
	}

	#stopJob(job: Job, end: AttemptEnd): void {
		this.#queue.removeWhere(queued => queued === job);
		if (this.#waitingIsolatedJob === job) {
			this.#waitingIsolatedJob = undefined;
		}

		const wasRunning = job.phase === 'running';
		this.#recordEnd(job, end);
		job.abortController.abort();
		if (wasRunning && job.submission.work.kind === 'generation') {
			void this.#opts.adapter.cancel(job.attempt);
		}
	}

	#recordEnd(job: Job, end: AttemptEnd): void {
		job.recordEnd(end, this.#clock.monotonic());
		this.#jobs.recordEnded(job);
	}

	#rejectQueued(reason: RefusalReason): void {
		const jobs = this.#queue.removeWhere(() => true).map(work => work.item);
		if (this.#waitingIsolatedJob) {
			jobs.push(this.#waitingIsolatedJob);
			this.#waitingIsolatedJob = undefined;
		}

		for (const job of jobs) {
			this.#recordEnd(job, {kind: 'refused', reason});
		}
	}

	#getSender(connection: PeerConnection): PieceSender {
		let sender = this.#senders.get(connection);
		if (!sender) {
			sender = new PieceSender(connection, () => this.getLoad());
			this.#senders.set(connection, sender);
		}

		return sender;
	}

	async #runHousekeeping(): Promise<void> {
		const {metrics} = this.#opts.context;
		while (!this.#abortController.signal.aborted) {
			await this.#clock.sleep(housekeepingIntervalMs, this.#abortController.signal);
			for (const work of this.#queue.removeExpired()) {
				this.#recordEnd(work.item, {kind: 'refused', reason: 'queue-time'});
			}

			this.#jobs.evictEnded();
			this.#startJobs();
			metrics.gauge('agent.queue_length', this.#queue.length);
			metrics.gauge('agent.running', this.#running.size);
		}
	}
}
