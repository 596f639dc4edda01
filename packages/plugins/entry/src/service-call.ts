/**
 * Calls of plain services. A repeatable call is tried at other endpoints within the retry budget. A call that may not be
 * repeated runs under a claim that a majority of the controllers has committed before the first byte goes to the service;
 * whoever sends it again, through whatever entry, gets the outcome of that claim.
 */
import {createHash} from 'node:crypto';
import type {Clock} from '@hickorytrack/clock';
import type {
	Claim, ClaimReadResult, ClaimReply, ClaimSettlement,
} from '@hickorytrack/types/claim';
import type {ServiceAnswer, ServiceWork} from '@hickorytrack/types/work';
import type {EndpointHandle} from './endpoint-directory.js';
import type {GenerationServices} from './generation-call.js';
import {createProblem, type Problem, type ProblemCode} from './problem.js';
import {decideRun, traceEnd, type AttemptTrace} from './run-verdict.js';
import type {Workspace} from './workspace-directory.js';

const maximumAttempts = 6;
const claimPollMs = 100;
/** A claim that its owner has not brought to the agent for this long is barred and taken over. */
const abandonedMs = 3000;
const settleAttempts = 5;
const settleTimeoutMs = 4000;
const outcomeLossMs = 10_000;
const retryAfterMs = 1000;
const emptyFleetPollMs = 50;
const emptyFleetWaitMs = 1500;

export type ServiceRequest = {
	requestId: string;
	workspace: Workspace;
	service: string;
	method: string;
	path: string;
	contentType: string;
	body: string;
	repeatable: boolean;
	/** Idempotency key of a call that may not be repeated. */
	key?: string;
	fingerprint: string;
};

export type ServiceResult =
	| {kind: 'answer'; answer: ServiceAnswer; replayed: boolean}
	| {kind: 'refused'; problem: Problem}
	| {kind: 'caller-gone'};

type DispatchOutcome =
	| {kind: 'answer'; answer: ServiceAnswer}
	| {kind: 'not-run'}
	| {kind: 'unknown'}
	| {kind: 'caller-gone'};

export class ServiceCall {
	readonly #services: GenerationServices;
	readonly #request: ServiceRequest;
	readonly #signal: AbortSignal;
	readonly #clock: Clock;
	readonly #deadline: number;
	readonly #bodyDigest: string;
	readonly #tried = new Set<string>();
	readonly #traces: AttemptTrace[] = [];
	/** Whether it is known what became of earlier sendings of this call. */
	#isHistoryKnown: boolean;

	constructor(services: GenerationServices, request: ServiceRequest, signal: AbortSignal) {
		this.#services = services;
		this.#request = request;
		this.#signal = signal;
		this.#isHistoryKnown = request.repeatable;
		this.#clock = services.context.clock;
		this.#deadline = this.#clock.monotonic() + services.context.settings.requestTimeoutMs;
		this.#bodyDigest = createHash('sha256').update(JSON.stringify([request.service, request.method, request.path, request.body])).digest('hex');
	}

	async run(): Promise<ServiceResult> {
		return this.#request.repeatable ? this.#runRepeatable() : this.#runOnce();
	}

	async #runRepeatable(): Promise<ServiceResult> {
		for (let attempt = 0; attempt < maximumAttempts && !this.#isOver; attempt++) {
			const handle = await this.#chooseEndpoint();
			if (!handle) {
				return this.#refuse(this.#tried.size > 0 ? 'overloaded' : 'no-endpoint', {retryAfterMs});
			}

			const outcome = await this.#dispatch(handle, this.#services.attempts.createAttemptId(), this.#signal);
			if (outcome.kind === 'answer') {
				this.#request.workspace.retryBudget.recordSuccess();
				return {...outcome, replayed: false};
			}

			if (outcome.kind === 'caller-gone') {
				return outcome;
			}

			this.#tried.add(handle.endpoint);
			if (!this.#request.workspace.retryBudget.acquire()) {
				break;
			}
		}

		return this.#refuse('overloaded', {retryAfterMs});
	}

	async #runOnce(): Promise<ServiceResult> {
		for (let attempt = 0; attempt < maximumAttempts && !this.#isOver; attempt++) {
			const handle = await this.#chooseEndpoint();
			if (!handle) {
				return await this.#findOutcome() ?? this.#refuse('no-endpoint', {retryAfterMs});
			}

			const attemptId = this.#services.attempts.createAttemptId();
			const reply = await this.#openClaim(handle, attemptId);
			if (!reply) {
				// This entry never dispatched the attempt, so it has not run; the claim is given back when it can be.
				void this.#settle({attempt: attemptId, state: 'not-run'});
				return this.#refuse('not-ready', {retryAfterMs, detail: 'The claim was not acknowledged by the controllers'});
			}

			this.#isHistoryKnown = true;
			if (!reply.granted) {
				const result = await this.#joinClaim(reply);
				if (result) {
					return result;
				}

				continue;
			}

			await this.#services.context.steps.onStep('request.claimed', this.#services.context.settings.instance);
			const result = await this.#runClaimed(handle, attemptId);
			if (result) {
				return result;
			}
		}

		return this.#refuse('overloaded', {retryAfterMs});
	}

	/** Runs the attempt that holds the claim; `undefined` when it is confirmed as not run and may be tried again. */
	async #runClaimed(handle: EndpointHandle, attempt: string): Promise<ServiceResult | undefined> {
		// A caller that goes away does not stop a call that may have begun.
		const outcome = await this.#dispatch(handle, attempt, new AbortController().signal);
		if (outcome.kind === 'answer') {
			await this.#settle({attempt, state: 'answered', answer: outcome.answer});
			await this.#services.context.steps.onStep('request.outcome-recorded', this.#services.context.settings.instance);
			return {...outcome, replayed: false};
		}

		if (outcome.kind === 'not-run') {
			this.#tried.add(handle.endpoint);
			await this.#settle({attempt, state: 'not-run'});
			return this.#request.workspace.retryBudget.acquire() ? undefined : this.#refuse('overloaded', {retryAfterMs});
		}

		this.#services.context.events.emit('outcomeUnknown', {requestId: this.#request.requestId, workspace: this.#request.workspace.contract.workspace, endpoint: handle.endpoint});
		await this.#settle({attempt, state: 'may-have-run'});
		return this.#refuse('outcome-unknown');
	}

	async #dispatch(handle: EndpointHandle, attempt: string, signal: AbortSignal): Promise<DispatchOutcome> {
		const {requestId, workspace, fingerprint} = this.#request;
		const outcome = await this.#services.attempts.run(handle, {
			attempt, requestId, fingerprint, workspace: workspace.contract.workspace, deadlineMs: Math.max(1, this.#deadline - this.#clock.monotonic()),
			revision: this.#services.control.revision, isolated: false, work: this.#composeWork(),
		}, {
			signal, async onTexts() {
			// A service call has no pieces.
			},
		});
		switch (outcome.kind) {
			case 'refused': {
				this.#traces.push('not-written');
				return {kind: 'not-run'};
			}

			case 'ended': {
				if (outcome.end.kind === 'service-answer') {
					return {kind: 'answer', answer: outcome.end.answer};
				}

				const trace = traceEnd(outcome.end);
				this.#traces.push(trace);
				return {kind: trace === 'not-written' ? 'not-run' : 'unknown'};
			}

			case 'lost': {
				this.#traces.push('written-or-unknown');
				return {kind: 'unknown'};
			}

			case 'stopped': {
				return {kind: 'caller-gone'};
			}
		}
	}

	async #openClaim(handle: EndpointHandle, attempt: string): Promise<ClaimReply | undefined> {
		const {workspace, key} = this.#request;
		const {contract} = workspace;
		const reply = await this.#services.control.propose({
			kind: 'open-claim',
			at: 0,
			request: {
				workspace: contract.workspace, key: key!, bodyDigest: this.#bodyDigest, endpoint: handle.endpoint, agentIncarnation: handle.record.agentIncarnation,
				attempt, owner: this.#services.context.settings.instance, retentionSeconds: contract.answerRetentionSeconds,
			},
		}, {isIdempotent: true});
		return reply.isOk() && reply.value.ok ? reply.value.value as ClaimReply : undefined;
	}

	/** Follows a claim that another attempt holds; `undefined` when it turned out as not run and is free again. */
	async #joinClaim(reply: ClaimReply): Promise<ServiceResult | undefined> {
		if (!reply.granted && reply.conflict) {
			return this.#refuse('idempotency-key-reused');
		}

		let {claim} = reply;
		const joinedAt = this.#clock.monotonic();
		while (claim && !this.#isOver && !this.#signal.aborted) {
			const settled = this.#convertClaim(claim);
			if (settled) {
				return settled;
			}

			if (claim.state === 'not-run') {
				return undefined;
			}

			await this.#resolveClaim(claim, this.#clock.monotonic() - joinedAt);
			await this.#clock.sleep(claimPollMs, this.#signal);
			const reading = await this.#readClaim();
			claim = reading.kind === 'found' ? reading.claim : claim;
		}

		return this.#signal.aborted ? {kind: 'caller-gone'} : this.#refuse('still-running', {run: 'may-have-run', retryAfterMs});
	}

	/** Answers from the record of a claim when no endpoint is there to run anything. */
	async #findOutcome(): Promise<ServiceResult | undefined> {
		const reading = await this.#readClaim();
		this.#isHistoryKnown ||= reading.kind !== 'unknown';
		if (reading.kind !== 'found') {
			return undefined;
		}

		if (reading.claim.bodyDigest !== this.#bodyDigest) {
			return this.#refuse('idempotency-key-reused');
		}

		if (reading.claim.state === 'open') {
			return this.#refuse('still-running', {run: 'may-have-run', retryAfterMs});
		}

		return this.#convertClaim(reading.claim);
	}

	#convertClaim(claim: Claim): ServiceResult | undefined {
		if (claim.state === 'may-have-run') {
			return this.#refuse('outcome-unknown', {run: 'may-have-run'});
		}

		if (claim.state !== 'answered') {
			return undefined;
		}

		return claim.answer ? {kind: 'answer', answer: claim.answer, replayed: true} : this.#refuse('answer-not-kept', {run: 'ran'});
	}

	/**
	 * Looks for the outcome of a claim whose owner may be gone. The agent that holds the attempt knows; one that never saw
	 * it bars it, so that a late copy from the owner can't run any more.
	 */
	async #resolveClaim(claim: Claim, waitedMs: number): Promise<void> {
		const known = await this.#services.attempts.resolve(claim.attempt, {endpoint: claim.endpoint, agentIncarnation: claim.agentIncarnation, cancel: waitedMs > abandonedMs});
		if (known?.state === 'never-written') {
			await this.#settle({attempt: claim.attempt, state: 'not-run'});
		} else if (known?.state === 'ended') {
			const trace = traceEnd(known.end);
			await (known.end.kind === 'service-answer' ? this.#settle({attempt: claim.attempt, state: 'answered', answer: known.end.answer}) : this.#settle({attempt: claim.attempt, state: trace === 'not-written' ? 'not-run' : 'may-have-run'}));
		} else if ((known?.state === 'agent-restarted' || known?.state === 'unknown') && waitedMs > outcomeLossMs) {
			await this.#settle({attempt: claim.attempt, state: 'may-have-run'});
		}
	}

	async #readClaim(): Promise<ClaimReadResult> {
		return this.#services.control.readClaim(this.#request.workspace.contract.workspace, this.#request.key!);
	}

	async #settle(settlement: Pick<ClaimSettlement, 'attempt' | 'state' | 'answer'>): Promise<void> {
		const command = {kind: 'settle-claim', settlement: {workspace: this.#request.workspace.contract.workspace, key: this.#request.key!, ...settlement}} as const;
		const first = await this.#services.control.propose(command, {isIdempotent: true, timeoutMs: settleTimeoutMs});
		if (first.isErr()) {
			void this.#settleLater(command);
		}
	}

	/** Keeps trying behind the answer that the caller already has. */
	async #settleLater(command: {kind: 'settle-claim'; settlement: ClaimSettlement}): Promise<void> {
		for (let attempt = 0; attempt < settleAttempts; attempt++) {
			const reply = await this.#services.control.propose(command, {isIdempotent: true, timeoutMs: settleTimeoutMs});
			if (reply.isOk()) {
				return;
			}
		}
	}

	async #chooseEndpoint(): Promise<EndpointHandle | undefined> {
		const {endpoints, placer, context} = this.#services;
		const until = this.#clock.monotonic() + emptyFleetWaitMs;
		for (;;) {
			const usable = endpoints.listUsable(this.#request.service, {excluded: this.#tried});
			if (usable.length > 0) {
				const ranked = placer.rank({
					promptTokens: 1, maxTokens: 1, blocks: [], availabilityZone: context.settings.availabilityZone,
				}, usable.map(handle => endpoints.createCandidate(handle)));
				return usable.find(handle => handle.endpoint === ranked[0]!.endpoint);
			}

			if (this.#tried.size > 0 || this.#clock.monotonic() > until || this.#signal.aborted) {
				return undefined;
			}

			await this.#clock.sleep(emptyFleetPollMs, this.#signal);
		}
	}

	get #isOver(): boolean {
		return this.#clock.monotonic() >= this.#deadline;
	}

	#composeWork(): ServiceWork {
		const {service, method, path, contentType, body, repeatable} = this.#request;
		return {
			kind: 'service', service, method, path, contentType, body, repeatable,
		};
	}

	#refuse(code: ProblemCode, opts: {run?: 'not-run' | 'may-have-run' | 'ran'; retryAfterMs?: number; detail?: string} = {}): ServiceResult {
		const run = this.#isHistoryKnown ? decideRun(this.#traces) : 'may-have-run';
		return {kind: 'refused', problem: createProblem(code, {requestId: this.#request.requestId, run, ...opts})};
	}
}
