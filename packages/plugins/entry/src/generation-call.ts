/**
 * Runs one generation from its admission to its last piece, over several attempts if needed. Output that the caller already
 * has is never sent again and never changed: a new attempt resumes from the generated tokens.
 */
import type {Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import type {EventFields} from '@hickorytrack/events';
import {formatPart} from '@hickorytrack/crash-attribution/run-traits';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import {computeBlockDigests} from '@hickorytrack/placement/cache-view';
import type {Placer} from '@hickorytrack/placement';
import {computePromptParts} from '@hickorytrack/quarantine/prompt-parts';
import type {QuarantineEntry} from '@hickorytrack/types/control';
import {
	stallLimits, type AttemptEnd, type GenerationWork, type RefusalReason, type Stall, type WorkSubmission,
} from '@hickorytrack/types/work';
import {
	isTemporaryReason, isTemporaryRefusal, type AcceptedAttempt, type AttemptOutcome, type AttemptRunner,
} from './attempt-runner.js';
import type {EndpointDirectory, EndpointFilter, EndpointHandle} from './endpoint-directory.js';
import {createProblem, type Problem, type ProblemCode} from './problem.js';
import {computeRunState, getWriteStatus, type WriteStatus} from './run-state.js';
import type {Workspace} from './workspace-directory.js';

const maximumAttempts = 8;
const permitPollIntervalMs = 200;
const permitWaitMs = 5000;
const permitRenewIntervalMs = 10_000;
const endpointWaitMs = 1500;
const endpointPollIntervalMs = 50;
const retryAfterMs = 1000;

export type GenerationRequest = {
	requestId: string;
	workspace: Workspace;
	fingerprint: string;
	api: 'chat' | 'completions';
	model: string;
	body: Record<string, unknown>;
	/** Text of the whole prompt. */
	prompt: string;
	promptTokens: number;
	maxTokens: number;
};

export type GenerationUsage = {
	finishReason: string;
	promptTokens: number;
	outputTokens: number;
	cachedTokens: number;
};

export type GenerationResult =
	| {kind: 'complete'; usage: GenerationUsage}
	| {kind: 'refused'; problem: Problem}
	| {kind: 'caller-gone'};

export type GenerationServices = {
	context: ProcessContext;
	control: ControlClient;
	endpoints: EndpointDirectory;
	attempts: AttemptRunner;
	placer: Placer;
};

export type GenerationOptions = {
	/** Aborts when the caller disconnects. */
	signal: AbortSignal;
	onTexts: (texts: string[]) => Promise<void>;
};

type NextStep = {kind: 'result'; result: GenerationResult} | {kind: 'again'};

export class GenerationCall {
	readonly #services: GenerationServices;
	readonly #request: GenerationRequest;
	readonly #opts: GenerationOptions;
	readonly #clock: Clock;
	readonly #startedAt: number;
	readonly #deadline: number;
	/** Holder id of the suspect's permit. All attempts share it, so that a refused attempt does not block the next one. */
	readonly #permitHolder: string;
	readonly #promptBlocks: string[];
	readonly #parts: string[];
	readonly #writeStatuses: WriteStatus[] = [];
	/** Endpoints that refused or failed this request. */
	readonly #triedEndpoints = new Set<string>();
	readonly #texts: string[] = [];
	#isSuspect = false;
	/** Set with the first text. */
	#begunAt: EndpointFilter['begunAt'];
	#attempts = 0;
	#retries = 0;

	constructor(services: GenerationServices, request: GenerationRequest, opts: GenerationOptions) {
		this.#services = services;
		this.#request = request;
		this.#opts = opts;
		this.#clock = services.context.clock;
		this.#startedAt = this.#clock.monotonic();
		this.#deadline = this.#startedAt + services.context.settings.requestTimeoutMs;
		this.#permitHolder = services.attempts.createAttemptId();
		this.#promptBlocks = computeBlockDigests(request.prompt);
		this.#parts = computePromptParts(request.workspace.contract.workspace, {model: request.model, body: request.body, prefixes: this.#promptBlocks});
	}

	async run(): Promise<GenerationResult> {
		const deadline = new AbortController();
		const finished = new AbortController();
		void this.#clock.sleep(this.#deadline - this.#clock.monotonic(), finished.signal).then(() => {
			deadline.abort();
		});
		try {
			return await this.#run(AbortSignal.any([this.#opts.signal, deadline.signal]));
		} finally {
			finished.abort();
		}
	}

	async #run(signal: AbortSignal): Promise<GenerationResult> {
		for (;;) {
			if (this.#opts.signal.aborted) {
				return {kind: 'caller-gone'};
			}

			if (signal.aborted) {
				return this.#reject('deadline-passed');
			}

			const attempt = this.#services.attempts.createAttemptId();
			const rejection = await this.#checkQuarantine(signal);
			if (rejection) {
				return rejection;
			}

			const handle = await this.#selectEndpoint(signal);
			if (!handle) {
				return this.#reject(this.#triedEndpoints.size > 0 ? 'overloaded' : 'no-endpoint', {retryAfterMs});
			}

			const next = await this.#runAttempt(handle, attempt, signal);
			if (next.kind === 'result') {
				return next.result;
			}
		}
	}

	async #runAttempt(handle: EndpointHandle, attempt: string, signal: AbortSignal): Promise<NextStep> {
		let current = {handle, submission: this.#createSubmission(handle, attempt)};
		const renewalAbortController = new AbortController();
		if (this.#isSuspect) {
			void this.#renewPermit(renewalAbortController.signal);
		}

		const outcome = await this.#services.attempts.run(handle, current.submission, {
			signal,
			onTexts: async texts => {
				this.#begunAt ??= {softwareVersion: current.handle.softwareVersion};
				this.#texts.push(...texts);
				await this.#opts.onTexts(texts);
			},
			findTakeover: async stall => this.#submitElsewhere(current.handle, stall, signal),
			onTakeoverFailed: ({handle: failed}, end) => {
				this.#writeStatuses.push(getWriteStatus(end));
				if (!isTemporaryRefusal({kind: 'ended', end})) {
					this.#triedEndpoints.add(failed.endpoint);
				}
			},
			onTakenOver: (accepted, stall) => {
				this.#writeStatuses.push('written-or-unknown');
				this.#emitMoved({from: current.handle.endpoint, to: accepted.handle.endpoint, ...stall});
				current = accepted;
			},
		});
		renewalAbortController.abort();
		if (outcome.kind === 'ended' && outcome.end.kind === 'complete') {
			const {work} = current.submission;
			current.handle.cache.updateConfidence(work.kind === 'generation' ? work.expectedCachedTokens : 0, outcome.end.cachedTokens);
		}

		return this.#handleOutcome(outcome, {handle: current.handle, attempt: current.submission.attempt});
	}

	#createSubmission(handle: EndpointHandle, attempt: string): WorkSubmission {
		this.#attempts++;
		const expectedCachedTokens = Math.floor(handle.cache.computeHitFraction(this.#promptBlocks) * this.#request.promptTokens);
		handle.cache.addBlocks(this.#promptBlocks);
		return {
			attempt,
			requestId: this.#request.requestId,
			workspace: this.#request.workspace.contract.workspace,
			fingerprint: this.#request.fingerprint,
			parts: this.#parts,
			deadlineMs: Math.max(1, this.#deadline - this.#clock.monotonic()),
			revision: this.#services.control.revision,
			isolated: this.#isSuspect,
			firstTokenBudgetMs: this.#computeFirstTokenBudget(),
			work: this.#createWork(expectedCachedTokens),
		};
	}

	/**
	 * Submits the rest of the generation to another endpoint while its attempt at a silent engine goes on. An engine that
	 * answers queries may get it again. A suspect runs at one endpoint at a time. Without output it costs retry budget.
	 */
	async #submitElsewhere(silent: EndpointHandle, {limit}: Stall, signal: AbortSignal): Promise<AcceptedAttempt | undefined> {
		const {attempts, endpoints} = this.#services;
		const isBudgetExempt = this.#texts.length > 0;
		const excluded = limit === stallLimits.query ? new Set([...this.#triedEndpoints, silent.endpoint]) : this.#triedEndpoints;
		const usable = endpoints.listUsable(this.#request.model, {excluded, begunAt: this.#begunAt});
		if (usable.length === 0 || this.#isSuspect || this.#attempts >= maximumAttempts || !(isBudgetExempt || this.#request.workspace.retryBudget.acquire())) {
			return undefined;
		}

		const handle = this.#selectBestEndpoint(usable);
		const result = await attempts.submit(handle, this.#createSubmission(handle, attempts.createAttemptId()), signal);
		if (result.kind === 'accepted') {
			return result;
		}

		this.#writeStatuses.push(result.kind === 'refused' ? 'not-written' : 'written-or-unknown');
		if (!isTemporaryRefusal(result)) {
			this.#triedEndpoints.add(handle.endpoint);
		}

		return undefined;
	}

	#emitMoved(fields: EventFields): void {
		this.#services.context.events.emit('attemptMoved', {
			requestId: this.#request.requestId, attempts: this.#attempts, pieces: this.#texts.length, ...fields,
		});
	}

	#handleOutcome(outcome: AttemptOutcome, opts: {handle: EndpointHandle; attempt: string}): NextStep {
		switch (outcome.kind) {
			case 'refused': {
				this.#writeStatuses.push('not-written');
				return this.#retryElsewhere(opts.handle, {reason: outcome.reason});
			}

			case 'lost': {
				this.#writeStatuses.push('written-or-unknown');
				return this.#retryElsewhere(opts.handle, {});
			}

			case 'stopped': {
				this.#writeStatuses.push('written-or-unknown');
				return {kind: 'again'};
			}

			case 'ended': {
				this.#writeStatuses.push(getWriteStatus(outcome.end));
				return this.#handleEnd(outcome.end, opts);
			}
		}
	}

	#handleEnd(end: AttemptEnd, opts: {handle: EndpointHandle; attempt: string}): NextStep {
		switch (end.kind) {
			case 'complete': {
				this.#request.workspace.retryBudget.recordSuccess();
				if (this.#isSuspect) {
					void this.#services.control.propose({kind: 'clear-suspect', fingerprint: this.#request.fingerprint, attempt: this.#permitHolder}, {isIdempotent: true});
				}

				this.#clearSuspectParts();
				return {kind: 'result', result: {kind: 'complete', usage: {...end, promptTokens: end.promptTokens, outputTokens: this.#texts.length}}};
			}

			case 'engine-crashed': {
				// The agent has the crash report committed before it ends the attempt.
				this.#isSuspect = true;
				this.#triedEndpoints.clear();
				opts.handle.cache.clear();
				return this.#retry();
			}

			case 'handed-over': {
				this.#triedEndpoints.clear();
				this.#triedEndpoints.add(opts.handle.endpoint);
				return this.#retry();
			}

			case 'refused': {
				return this.#retryElsewhere(opts.handle, {reason: end.reason});
			}

			default: {
				return this.#retryElsewhere(opts.handle, {});
			}
		}
	}

	/**
	 * Retries at another endpoint if the retry budget allows it. No budget is charged if the endpoint is draining or stopping
	 * or refused for the moment, or if the generation has output. One that refused for the moment may be tried again after a
	 * pause.
	 */
	#retryElsewhere(handle: EndpointHandle, opts: {reason?: RefusalReason}): NextStep {
		const isTemporary = isTemporaryReason(opts.reason);
		if (!isTemporary) {
			this.#triedEndpoints.add(handle.endpoint);
		}

		const isBudgetExempt = opts.reason === 'draining' || opts.reason === 'stopping' || isTemporary || this.#texts.length > 0;
		this.#retries++;
		if (!isBudgetExempt && !this.#request.workspace.retryBudget.acquire()) {
			return {kind: 'result', result: this.#reject('overloaded', {retryAfterMs})};
		}

		return this.#retry();
	}

	#retry(): NextStep {
		if (this.#attempts >= maximumAttempts) {
			return {kind: 'result', result: this.#reject(this.#texts.length > 0 ? 'answer-lost' : 'overloaded', {retryAfterMs})};
		}

		this.#emitMoved({});
		return {kind: 'again'};
	}

	#createWork(expectedCachedTokens: number): GenerationWork {
		const {api, model, body, promptTokens, maxTokens} = this.#request;
		return {
			kind: 'generation', api, model, body, promptTokens, maxTokens, expectedCachedTokens, resumeFrom: this.#texts.length, resumeText: this.#texts.join(''),
		};
	}

	/** Computes the time left for the first token. A request that has output or is a suspect has no such limit. */
	#computeFirstTokenBudget(): number | undefined {
		if (this.#texts.length > 0 || this.#isSuspect) {
			return undefined;
		}

		const elapsed = this.#clock.monotonic() - this.#startedAt;
		return Math.max(1, this.#request.workspace.contract.targets.firstTokenMs - elapsed);
	}

	/** Selects an endpoint. If none is available, waits briefly, because one may become available again. */
	async #selectEndpoint(signal: AbortSignal): Promise<EndpointHandle | undefined> {
		const until = this.#clock.monotonic() + endpointWaitMs;
		for (;;) {
			const usable = this.#services.endpoints.listUsable(this.#request.model, {excluded: this.#triedEndpoints, begunAt: this.#begunAt});
			if (usable.length > 0) {
				return this.#selectBestEndpoint(usable);
			}

			// A generation with output, or a suspect, may return to an endpoint that was already tried.
			if (this.#texts.length > 0 || this.#isSuspect) {
				this.#triedEndpoints.clear();
			} else if (this.#triedEndpoints.size > 0 && !this.#services.endpoints.hasBackingOff(this.#request.model, {excluded: this.#triedEndpoints, begunAt: this.#begunAt})) {
				return undefined;
			}

			if (this.#clock.monotonic() >= until || signal.aborted) {
				return undefined;
			}

			await this.#clock.sleep(endpointPollIntervalMs, signal);
		}
	}

	#selectBestEndpoint(usable: readonly EndpointHandle[]): EndpointHandle {
		const {endpoints, placer, context} = this.#services;
		const byName = new Map(usable.map(handle => [handle.endpoint, handle]));
		const ranked = placer.rank({
			promptTokens: this.#request.promptTokens, maxTokens: this.#request.maxTokens, blocks: this.#promptBlocks, availabilityZone: context.settings.availabilityZone,
		}, usable.map(handle => endpoints.createCandidate(handle)));
		return byName.get(ranked[0]!.endpoint)!;
	}

	/** Rejects a quarantined request and acquires the permit for a suspect. Returns `undefined` if the request may run. */
	async #checkQuarantine(signal: AbortSignal): Promise<GenerationResult | undefined> {
		const until = this.#clock.monotonic() + permitWaitMs;
		for (;;) {
			const entry = this.#findQuarantineEntry();
			if (entry?.state === 'quarantined') {
				return this.#reject('quarantined', {retryAfterMs: Math.max(1, entry.until - this.#clock.now())});
			}

			this.#isSuspect ||= entry?.state === 'suspect';
			if (!this.#isSuspect) {
				return undefined;
			}

			const isPermitted = await this.#requestPermit();
			// The quarantine entry may have changed during the permit request.
			if (isPermitted && this.#findQuarantineEntry()?.state !== 'quarantined') {
				return undefined;
			}

			if (this.#clock.monotonic() > until || signal.aborted) {
				return this.#reject('suspect-busy', {retryAfterMs});
			}

			await this.#clock.sleep(permitPollIntervalMs, signal);
		}
	}

	async #requestPermit(): Promise<boolean> {
		const reply = await this.#services.control.propose({
			kind: 'permit-suspect', fingerprint: this.#request.fingerprint, attempt: this.#permitHolder, at: 0,
		}, {isIdempotent: true});
		return reply.isOk() && reply.value.ok && (reply.value.value as {permitted: boolean}).permitted;
	}

	async #renewPermit(signal: AbortSignal): Promise<void> {
		for (;;) {
			await this.#clock.sleep(permitRenewIntervalMs, signal);
			if (signal.aborted) {
				return;
			}

			await this.#requestPermit();
		}
	}

	/** An answer shows that the parts of its prompt don't crash engines. */
	#clearSuspectParts(): void {
		const parts = this.#parts.filter(part => (this.#readQuarantineEntry(formatPart(part))?.state ?? 'cleared') !== 'cleared');
		if (parts.length > 0) {
			void this.#services.control.propose({kind: 'clear-parts', parts, at: 0}, {isIdempotent: true});
		}
	}

	/** The entry of the request, or of a part of its prompt that is quarantined. */
	#findQuarantineEntry(): QuarantineEntry | undefined {
		const parts = this.#parts.map(part => this.#readQuarantineEntry(formatPart(part)));
		return parts.find(entry => entry?.state === 'quarantined') ?? this.#readQuarantineEntry(this.#request.fingerprint);
	}

	#readQuarantineEntry(fingerprint: string): QuarantineEntry | undefined {
		const value = this.#services.control.items.read(`quarantine/${fingerprint}`)?.value;
		const isValid = value?.kind === 'quarantine' && value.entry.until > this.#clock.now();
		return isValid ? value.entry : undefined;
	}

	#reject(code: ProblemCode, opts: {retryAfterMs?: number} = {}): GenerationResult {
		return {kind: 'refused', problem: createProblem(code, {requestId: this.#request.requestId, run: computeRunState(this.#writeStatuses), ...opts})};
	}
}
