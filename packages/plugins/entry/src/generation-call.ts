/**
 * One generation from its acceptance to its last piece, over as many attempts as it takes. What the caller already has is
 * never sent again and never contradicted: a new attempt goes on from the generated tokens.
 */
import type {Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import {computeBlockDigests} from '@hickorytrack/placement/cache-view';
import type {Placer} from '@hickorytrack/placement';
import type {QuarantineEntry} from '@hickorytrack/types/control';
import type {AttemptEnd, GenerationWork, RefusalReason} from '@hickorytrack/types/work';
import type {AttemptOutcome, AttemptRunner} from './attempt-runner.js';
import type {EndpointDirectory, EndpointHandle} from './endpoint-directory.js';
import {createProblem, type Problem, type ProblemCode} from './problem.js';
import {decideRun, traceEnd, type AttemptTrace} from './run-verdict.js';
import type {Workspace} from './workspace-directory.js';

const maximumAttempts = 8;
const suspectPollMs = 200;
const suspectWaitMs = 5000;
const permitRenewMs = 10_000;
const emptyFleetWaitMs = 1500;
const emptyFleetPollMs = 50;
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
	/** Aborts when the caller goes away. */
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
	/** Holds the permit of a suspect over all attempts, so that a refused attempt does not keep the next one out. */
	readonly #permitHolder: string;
	readonly #blocks: string[];
	readonly #traces: AttemptTrace[] = [];
	/** Endpoints that refused or failed this request. */
	readonly #tried = new Set<string>();
	readonly #texts: string[] = [];
	#isSuspect = false;
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
		this.#blocks = computeBlockDigests(request.prompt);
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
				return this.#refuse('deadline-passed');
			}

			const attempt = this.#services.attempts.createAttemptId();
			const barrier = await this.#passQuarantine(signal);
			if (barrier) {
				return barrier;
			}

			const handle = await this.#chooseEndpoint(signal);
			if (!handle) {
				return this.#refuse(this.#tried.size > 0 ? 'overloaded' : 'no-endpoint', {retryAfterMs});
			}

			const next = await this.#attempt(handle, attempt, signal);
			if (next.kind === 'result') {
				return next.result;
			}
		}
	}

	async #attempt(handle: EndpointHandle, attempt: string, signal: AbortSignal): Promise<NextStep> {
		this.#attempts++;
		const expectedCachedTokens = Math.floor(handle.cache.computeHitFraction(this.#blocks) * this.#request.promptTokens);
		handle.cache.addBlocks(this.#blocks);
		const renewal = new AbortController();
		if (this.#isSuspect) {
			void this.#renewPermit(renewal.signal);
		}

		const outcome = await this.#services.attempts.run(handle, {
			attempt,
			requestId: this.#request.requestId,
			workspace: this.#request.workspace.contract.workspace,
			fingerprint: this.#request.fingerprint,
			deadlineMs: Math.max(1, this.#deadline - this.#clock.monotonic()),
			revision: this.#services.control.revision,
			isolated: this.#isSuspect,
			firstTokenBudgetMs: this.#computeFirstTokenBudget(),
			work: this.#composeWork(expectedCachedTokens),
		}, {
			signal, onTexts: async texts => {
				this.#texts.push(...texts);
				await this.#opts.onTexts(texts);
			},
		});
		renewal.abort();
		if (outcome.kind === 'ended' && outcome.end.kind === 'complete') {
			handle.cache.updateConfidence(expectedCachedTokens, outcome.end.cachedTokens);
		}

		return this.#judge(outcome, {handle, attempt});
	}

	#judge(outcome: AttemptOutcome, opts: {handle: EndpointHandle; attempt: string}): NextStep {
		switch (outcome.kind) {
			case 'refused': {
				this.#traces.push('not-written');
				return this.#tryElsewhere(opts.handle, {reason: outcome.reason});
			}

			case 'lost': {
				this.#traces.push('written-or-unknown');
				return this.#tryElsewhere(opts.handle, {});
			}

			case 'stopped': {
				this.#traces.push('written-or-unknown');
				return {kind: 'again'};
			}

			case 'ended': {
				this.#traces.push(traceEnd(outcome.end));
				return this.#judgeEnd(outcome.end, opts);
			}
		}
	}

	#judgeEnd(end: AttemptEnd, opts: {handle: EndpointHandle; attempt: string}): NextStep {
		switch (end.kind) {
			case 'complete': {
				this.#request.workspace.retryBudget.recordSuccess();
				if (this.#isSuspect) {
					void this.#services.control.propose({kind: 'clear-suspect', fingerprint: this.#request.fingerprint, attempt: this.#permitHolder}, {isIdempotent: true});
				}

				return {kind: 'result', result: {kind: 'complete', usage: {...end, promptTokens: end.promptTokens, outputTokens: this.#texts.length}}};
			}

			case 'engine-crashed': {
				// The report of the crash is committed before the agent ends the attempt.
				this.#isSuspect = true;
				this.#tried.clear();
				opts.handle.cache.clear();
				return this.#again();
			}

			case 'handed-over': {
				this.#tried.clear();
				this.#tried.add(opts.handle.endpoint);
				return this.#again();
			}

			case 'refused': {
				return this.#tryElsewhere(opts.handle, {reason: end.reason});
			}

			default: {
				return this.#tryElsewhere(opts.handle, {});
			}
		}
	}

	/** Another attempt at another endpoint, as far as the retry budget goes. Leaving endpoints cost no budget. */
	#tryElsewhere(handle: EndpointHandle, opts: {reason?: RefusalReason}): NextStep {
		this.#tried.add(handle.endpoint);
		const isFree = opts.reason === 'draining' || opts.reason === 'stopping' || opts.reason === 'not-ready' || this.#texts.length > 0;
		this.#retries++;
		if (!isFree && !this.#request.workspace.retryBudget.acquire()) {
			return {kind: 'result', result: this.#refuse('overloaded', {retryAfterMs})};
		}

		return this.#again();
	}

	#again(): NextStep {
		if (this.#attempts >= maximumAttempts) {
			return {kind: 'result', result: this.#refuse(this.#texts.length > 0 ? 'answer-lost' : 'overloaded', {retryAfterMs})};
		}

		this.#services.context.events.emit('attemptMoved', {requestId: this.#request.requestId, attempts: this.#attempts, pieces: this.#texts.length});
		return {kind: 'again'};
	}

	#composeWork(expectedCachedTokens: number): GenerationWork {
		const {api, model, body, promptTokens, maxTokens} = this.#request;
		return {
			kind: 'generation', api, model, body, promptTokens, maxTokens, expectedCachedTokens, resumeFrom: this.#texts.length, resumeText: this.#texts.join(''),
		};
	}

	/** Time left to the target; a request that began, or that is a suspect, is finished whatever it takes. */
	#computeFirstTokenBudget(): number | undefined {
		if (this.#texts.length > 0 || this.#isSuspect) {
			return undefined;
		}

		const elapsed = this.#clock.monotonic() - this.#startedAt;
		return Math.max(1, this.#request.workspace.contract.targets.firstTokenMs - elapsed);
	}

	/** Waits a little when the fleet has no endpoint to offer, since one may be coming back. */
	async #chooseEndpoint(signal: AbortSignal): Promise<EndpointHandle | undefined> {
		const until = this.#clock.monotonic() + emptyFleetWaitMs;
		for (;;) {
			const usable = this.#services.endpoints.listUsable(this.#request.model, {excluded: this.#tried});
			if (usable.length > 0) {
				return this.#place(usable);
			}

			// An answer that has begun may return to an endpoint that was tried.
			if (this.#texts.length > 0 || this.#isSuspect) {
				this.#tried.clear();
			} else if (this.#tried.size > 0) {
				return undefined;
			}

			if (this.#clock.monotonic() >= until || signal.aborted) {
				return undefined;
			}

			await this.#clock.sleep(emptyFleetPollMs, signal);
		}
	}

	#place(usable: readonly EndpointHandle[]): EndpointHandle {
		const {endpoints, placer, context} = this.#services;
		const byName = new Map(usable.map(handle => [handle.endpoint, handle]));
		const ranked = placer.rank({
			promptTokens: this.#request.promptTokens, maxTokens: this.#request.maxTokens, blocks: this.#blocks, availabilityZone: context.settings.availabilityZone,
		}, usable.map(handle => endpoints.createCandidate(handle)));
		return byName.get(ranked[0]!.endpoint)!;
	}

	/** Refuses a quarantined request and gets the permit for a suspect; `undefined` lets the request pass. */
	async #passQuarantine(signal: AbortSignal): Promise<GenerationResult | undefined> {
		const until = this.#clock.monotonic() + suspectWaitMs;
		for (;;) {
			const entry = this.#findQuarantine();
			if (entry?.state === 'quarantined') {
				return this.#refuse('quarantined', {retryAfterMs: Math.max(1, entry.until - this.#clock.now())});
			}

			this.#isSuspect ||= entry?.state === 'suspect';
			if (!this.#isSuspect) {
				return undefined;
			}

			const isPermitted = await this.#requestPermit();
			// The entry may have changed while the permit was on its way.
			if (isPermitted && this.#findQuarantine()?.state !== 'quarantined') {
				return undefined;
			}

			if (this.#clock.monotonic() > until || signal.aborted) {
				return this.#refuse('suspect-busy', {retryAfterMs});
			}

			await this.#clock.sleep(suspectPollMs, signal);
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
			await this.#clock.sleep(permitRenewMs, signal);
			if (signal.aborted) {
				return;
			}

			await this.#requestPermit();
		}
	}

	#findQuarantine(): QuarantineEntry | undefined {
		const value = this.#services.control.items.read(`quarantine/${this.#request.fingerprint}`)?.value;
		const isValid = value?.kind === 'quarantine' && value.entry.until > this.#clock.now();
		return isValid ? value.entry : undefined;
	}

	#refuse(code: ProblemCode, opts: {retryAfterMs?: number} = {}): GenerationResult {
		return {kind: 'refused', problem: createProblem(code, {requestId: this.#request.requestId, run: decideRun(this.#traces), ...opts})};
	}
}
