/**
 * Runs calls of plain services. A repeatable call is retried at other endpoints within the retry budget. A call that is not
 * repeatable runs under a claim that a majority of the controllers commits before the first byte is sent to the service; a
 * resend through any entry gets the outcome of that claim.
 */
import {createHash} from 'node:crypto';
import type {Clock} from '@hickorytrack/clock';
import type {
	Claim, ClaimReadResult, ClaimReply, ClaimSettlement,
} from '@hickorytrack/types/claim';
import type {ServiceAnswer, ServiceWork} from '@hickorytrack/types/work';
import {isTemporaryRefusal} from './attempt-runner.js';
import type {EndpointHandle} from './endpoint-directory.js';
import type {GenerationServices} from './generation-call.js';
import {createProblem, type Problem, type ProblemCode} from './problem.js';
import {computeRunState, getWriteStatus, type WriteStatus} from './run-state.js';
import type {Workspace} from './workspace-directory.js';

const maximumAttempts = 6;
const claimPollIntervalMs = 100;
/** Time after which a claimed attempt that has not reached its agent gets a tombstone, so that the claim is free again. */
const claimOwnerTimeoutMs = 3000;
const recordOutcomeRetries = 5;
const recordOutcomeTimeoutMs = 4000;
const lostOutcomeTimeoutMs = 10_000;
const retryAfterMs = 1000;
const endpointPollIntervalMs = 50;
const endpointWaitMs = 1500;

export type ServiceRequest = {
	requestId: string;
	workspace: Workspace;
	service: string;
	method: string;
	path: string;
	contentType: string;
	body: string;
	repeatable: boolean;
	/** Idempotency key of a call that is not repeatable. */
	key?: string;
	fingerprint: string;
};

export type ServiceResult =
	| {kind: 'answer'; answer: ServiceAnswer; replayed: boolean}
	| {kind: 'refused'; problem: Problem}
	| {kind: 'caller-gone'};

type DispatchOutcome =
	| {kind: 'answer'; answer: ServiceAnswer}
	| {kind: 'not-run'; isTemporary: boolean}
	| {kind: 'unknown'}
	| {kind: 'caller-gone'};

export class ServiceCall {
	readonly #services: GenerationServices;
	readonly #request: ServiceRequest;
	readonly #signal: AbortSignal;
	readonly #clock: Clock;
	readonly #deadline: number;
	readonly #bodyDigest: string;
	readonly #triedEndpoints = new Set<string>();
	readonly #writeStatuses: WriteStatus[] = [];
	/** Whether the outcome of earlier sends of this call is known. */
	#isPriorOutcomeKnown: boolean;

	constructor(services: GenerationServices, request: ServiceRequest, signal: AbortSignal) {
		this.#services = services;
		this.#request = request;
		this.#signal = signal;
		this.#isPriorOutcomeKnown = request.repeatable;
		this.#clock = services.context.clock;
		this.#deadline = this.#clock.monotonic() + services.context.settings.requestTimeoutMs;
		this.#bodyDigest = createHash('sha256').update(JSON.stringify([request.service, request.method, request.path, request.body])).digest('hex');
	}

	async run(): Promise<ServiceResult> {
		return this.#request.repeatable ? this.#runRepeatable() : this.#runUnderClaim();
	}

	async #runRepeatable(): Promise<ServiceResult> {
		for (let attempt = 0; attempt < maximumAttempts && !this.#isPastDeadline; attempt++) {
			const handle = await this.#selectEndpoint();
			if (!handle) {
				return this.#reject(this.#triedEndpoints.size > 0 ? 'overloaded' : 'no-endpoint', {retryAfterMs});
			}

			const outcome = await this.#dispatch(handle, this.#services.attempts.createAttemptId(), this.#signal);
			if (outcome.kind === 'answer') {
				this.#request.workspace.retryBudget.recordSuccess();
				return {...outcome, replayed: false};
			}

			if (outcome.kind === 'caller-gone') {
				return outcome;
			}

			if (!this.#acquireRetry(handle, outcome)) {
				break;
			}
		}

		return this.#reject('overloaded', {retryAfterMs});
	}

	async #runUnderClaim(): Promise<ServiceResult> {
		for (let attempt = 0; attempt < maximumAttempts && !this.#isPastDeadline; attempt++) {
			const handle = await this.#selectEndpoint();
			if (!handle) {
				return await this.#findOutcome() ?? this.#reject('no-endpoint', {retryAfterMs});
			}

			const attemptId = this.#services.attempts.createAttemptId();
			const reply = await this.#openClaim(handle, attemptId);
			if (!reply) {
				// This entry never dispatched the attempt, so it has not run. The claim is released if the controllers can be reached.
				void this.#recordOutcome({attempt: attemptId, state: 'not-run'});
				return this.#reject('not-ready', {retryAfterMs, detail: 'The claim was not acknowledged by the controllers'});
			}

			this.#isPriorOutcomeKnown = true;
			if (!reply.granted) {
				const result = await this.#waitForClaim(reply);
				if (result) {
					return result;
				}

				continue;
			}

			await this.#services.context.steps.onStep('request.claimed', this.#services.context.settings.instance);
			const result = await this.#runClaimedAttempt(handle, attemptId);
			if (result) {
				return result;
			}
		}

		return await this.#findOutcome() ?? this.#reject('overloaded', {retryAfterMs});
	}

	/** Runs the attempt that holds the claim. Returns `undefined` if it is confirmed as not run and may be retried. */
	async #runClaimedAttempt(handle: EndpointHandle, attempt: string): Promise<ServiceResult | undefined> {
		// A caller that disconnects does not cancel a call that may have begun.
		const outcome = await this.#dispatch(handle, attempt, new AbortController().signal);
		if (outcome.kind === 'answer') {
			await this.#recordOutcome({attempt, state: 'answered', answer: outcome.answer});
			await this.#services.context.steps.onStep('request.outcome-recorded', this.#services.context.settings.instance);
			return {...outcome, replayed: false};
		}

		if (outcome.kind === 'not-run') {
			await this.#recordOutcome({attempt, state: 'not-run'});
			// Another sending may hold the claim: it took the claim over while this attempt was delayed, or takes it now.
			this.#isPriorOutcomeKnown = false;
			return this.#acquireRetry(handle, outcome) ? undefined : await this.#findOutcome() ?? this.#reject('overloaded', {retryAfterMs});
		}

		this.#services.context.events.emit('outcomeUnknown', {requestId: this.#request.requestId, workspace: this.#request.workspace.contract.workspace, endpoint: handle.endpoint});
		await this.#recordOutcome({attempt, state: 'may-have-run'});
		return this.#reject('outcome-unknown');
	}

	/** An endpoint that refused for the moment may be tried again after a pause, and costs none of the retry budget. */
	#acquireRetry(handle: EndpointHandle, outcome: DispatchOutcome): boolean {
		if (outcome.kind === 'not-run' && outcome.isTemporary) {
			return true;
		}

		this.#triedEndpoints.add(handle.endpoint);
		return this.#request.workspace.retryBudget.acquire();
	}

	async #dispatch(handle: EndpointHandle, attempt: string, signal: AbortSignal): Promise<DispatchOutcome> {
		const {requestId, workspace, fingerprint} = this.#request;
		const outcome = await this.#services.attempts.run(handle, {
			attempt, requestId, fingerprint, workspace: workspace.contract.workspace, deadlineMs: Math.max(1, this.#deadline - this.#clock.monotonic()),
			revision: this.#services.control.revision, isolated: false, work: this.#createWork(),
		}, {
			signal, async onTexts() {
			// A service call has no pieces.
			},
		});
		switch (outcome.kind) {
			case 'refused': {
				this.#writeStatuses.push('not-written');
				return {kind: 'not-run', isTemporary: isTemporaryRefusal(outcome)};
			}

			case 'ended': {
				if (outcome.end.kind === 'service-answer') {
					return {kind: 'answer', answer: outcome.end.answer};
				}

				const status = getWriteStatus(outcome.end);
				this.#writeStatuses.push(status);
				return status === 'not-written' ? {kind: 'not-run', isTemporary: isTemporaryRefusal(outcome)} : {kind: 'unknown'};
			}

			case 'lost': {
				this.#writeStatuses.push('written-or-unknown');
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

	/** Waits for a claim that another attempt holds. Returns `undefined` if that attempt did not run and the claim is free. */
	async #waitForClaim(reply: ClaimReply): Promise<ServiceResult | undefined> {
		if (!reply.granted && reply.conflict) {
			return this.#reject('idempotency-key-reused');
		}

		let {claim} = reply;
		const waitStartedAt = this.#clock.monotonic();
		while (claim && !this.#isPastDeadline && !this.#signal.aborted) {
			const result = this.#convertClaim(claim);
			if (result) {
				return result;
			}

			if (claim.state === 'not-run') {
				return undefined;
			}

			await this.#resolveClaim(claim, this.#clock.monotonic() - waitStartedAt);
			await this.#clock.sleep(claimPollIntervalMs, this.#signal);
			const reading = await this.#readClaim();
			claim = reading.kind === 'found' ? reading.claim : claim;
		}

		return this.#signal.aborted ? {kind: 'caller-gone'} : this.#reject('still-running', {run: 'may-have-run', retryAfterMs});
	}

	/** Returns the recorded outcome of the claim when the call can't be run here. */
	async #findOutcome(): Promise<ServiceResult | undefined> {
		const reading = await this.#readClaim();
		this.#isPriorOutcomeKnown ||= reading.kind !== 'unknown';
		if (reading.kind !== 'found') {
			return undefined;
		}

		if (reading.claim.bodyDigest !== this.#bodyDigest) {
			return this.#reject('idempotency-key-reused');
		}

		if (reading.claim.state === 'open') {
			return this.#reject('still-running', {run: 'may-have-run', retryAfterMs});
		}

		return this.#convertClaim(reading.claim);
	}

	#convertClaim(claim: Claim): ServiceResult | undefined {
		if (claim.state === 'may-have-run') {
			return this.#reject('outcome-unknown', {run: 'may-have-run'});
		}

		if (claim.state !== 'answered') {
			return undefined;
		}

		return claim.answer ? {kind: 'answer', answer: claim.answer, replayed: true} : this.#reject('answer-not-kept', {run: 'ran'});
	}

	/**
	 * Requests the outcome of a claim whose owner may be gone from the agent of the attempt. After the owner's timeout, an
	 * agent that never received the attempt adds a tombstone for it, so that a late submission by the owner can't run.
	 */
	async #resolveClaim(claim: Claim, waitedMs: number): Promise<void> {
		const resolution = await this.#services.attempts.resolve(claim.attempt, {endpoint: claim.endpoint, agentIncarnation: claim.agentIncarnation, cancel: waitedMs > claimOwnerTimeoutMs});
		if (resolution?.state === 'never-written') {
			await this.#recordOutcome({attempt: claim.attempt, state: 'not-run'});
		} else if (resolution?.state === 'ended') {
			const status = getWriteStatus(resolution.end);
			await (resolution.end.kind === 'service-answer' ? this.#recordOutcome({attempt: claim.attempt, state: 'answered', answer: resolution.end.answer}) : this.#recordOutcome({attempt: claim.attempt, state: status === 'not-written' ? 'not-run' : 'may-have-run'}));
		} else if ((resolution?.state === 'agent-restarted' || resolution?.state === 'unknown') && waitedMs > lostOutcomeTimeoutMs) {
			await this.#recordOutcome({attempt: claim.attempt, state: 'may-have-run'});
		}
	}

	async #readClaim(): Promise<ClaimReadResult> {
		return this.#services.control.readClaim(this.#request.workspace.contract.workspace, this.#request.key!);
	}

	async #recordOutcome(settlement: Pick<ClaimSettlement, 'attempt' | 'state' | 'answer'>): Promise<void> {
		const command = {kind: 'settle-claim', settlement: {workspace: this.#request.workspace.contract.workspace, key: this.#request.key!, ...settlement}} as const;
		const first = await this.#services.control.propose(command, {isIdempotent: true, timeoutMs: recordOutcomeTimeoutMs});
		if (first.isErr()) {
			void this.#retryRecordOutcome(command);
		}
	}

	/** Retries in the background, so that the response to the caller does not wait for the controllers. */
	async #retryRecordOutcome(command: {kind: 'settle-claim'; settlement: ClaimSettlement}): Promise<void> {
		for (let attempt = 0; attempt < recordOutcomeRetries; attempt++) {
			const reply = await this.#services.control.propose(command, {isIdempotent: true, timeoutMs: recordOutcomeTimeoutMs});
			if (reply.isOk()) {
				return;
			}
		}
	}

	async #selectEndpoint(): Promise<EndpointHandle | undefined> {
		const {endpoints, placer, context} = this.#services;
		const until = this.#clock.monotonic() + endpointWaitMs;
		for (;;) {
			const usable = endpoints.listUsable(this.#request.service, {excluded: this.#triedEndpoints});
			if (usable.length > 0) {
				const ranked = placer.rank({
					promptTokens: 1, maxTokens: 1, blocks: [], availabilityZone: context.settings.availabilityZone,
				}, usable.map(handle => endpoints.createCandidate(handle)));
				return usable.find(handle => handle.endpoint === ranked[0]!.endpoint);
			}

			const isExhausted = this.#triedEndpoints.size > 0 && !endpoints.hasBackingOff(this.#request.service, {excluded: this.#triedEndpoints});
			if (isExhausted || this.#clock.monotonic() > until || this.#signal.aborted) {
				return undefined;
			}

			await this.#clock.sleep(endpointPollIntervalMs, this.#signal);
		}
	}

	get #isPastDeadline(): boolean {
		return this.#clock.monotonic() >= this.#deadline;
	}

	#createWork(): ServiceWork {
		const {service, method, path, contentType, body, repeatable} = this.#request;
		return {
			kind: 'service', service, method, path, contentType, body, repeatable,
		};
	}

	#reject(code: ProblemCode, opts: {run?: 'not-run' | 'may-have-run' | 'ran'; retryAfterMs?: number; detail?: string} = {}): ServiceResult {
		const run = this.#isPriorOutcomeKnown ? computeRunState(this.#writeStatuses) : 'may-have-run';
		return {kind: 'refused', problem: createProblem(code, {requestId: this.#request.requestId, run, ...opts})};
	}
}
