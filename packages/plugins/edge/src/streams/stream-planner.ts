/**
 * Plans the runs of a streaming request: which servers prefill and generate, with all that a run needs before it may be sent
 * to them, the permits of the retry budget and the grants of servers that limit their requests.
 */
import {unlimitedGrant, type SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Placement} from '@hickorytrack/prompt-placement';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import {callKinds, type CallKind} from '../calls/call-kinds.js';
import type {CallerRequest} from '../front/caller-request.js';
import {isCandidate, listCandidates, listClosed} from '../calls/candidate-servers.js';
import {computeRemainingMs, countCallBytes, type ForwardContext} from '../calls/forward-context.js';
import {retryKinds} from '../limits/retry-budget.js';
import type {SendPermit, SendPermits} from '../limits/send-permits.js';
import {computeLimitWaitMs} from '../limits/server-limits.js';
import type {EventRelay} from './event-relay.js';
import type {RequestOrigin} from './request-origin.js';
import type {AcceptedPlacement} from './stream-calls.js';
import type {StreamRun} from './stream-run.js';

export type StreamPlan = {
	placement: Placement;
	prefillPermit?: SendPermit;
	/** How long the request may wait for its turn at limited servers, in milliseconds. */
	limitWaitMs: number;
};
/** The rights to send to the servers of a placement. */
type Grants = ServerGrants & {prefill: SendGrant};
/** The right to send the request to a server that generates, with that for the call which proves its start, if it is reserved. */
export type ServerGrants = {decode: SendGrant; proof?: SendGrant};
export type GrantedPlan = {placement: AcceptedPlacement; prefillPermit?: SendPermit; grants: Grants};
type Refusal = Placement & {kind: 'refuse'};

export class StreamPlanner {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #permits: SendPermits;
	readonly #prompt: Prompt;
	readonly #origin: RequestOrigin;
	readonly #relay: Pick<EventRelay, 'lastEventAt'>;
	/** Ids of servers at which this request has failed. */
	readonly #excluded = new Set<string>();

	constructor(context: ForwardContext, request: CallerRequest, opts: {permits: SendPermits; prompt: Prompt; origin: RequestOrigin; relay: Pick<EventRelay, 'lastEventAt'>}) {
		this.#context = context;
		this.#request = request;
		this.#permits = opts.permits;
		this.#prompt = opts.prompt;
		this.#origin = opts.origin;
		this.#relay = opts.relay;
	}

	/** Leaves a server out of further runs. */
	rejectServer({id}: KnownServer): void {
		this.#excluded.add(id);
	}

	isRejected({id}: KnownServer): boolean {
		return this.#excluded.has(id);
	}

	/** Plans the run with all permits that its placement needs. Without one for a prefill, a decode server prefills the prompt. */
	plan(run: StreamRun, {without = []}: {without?: readonly string[]} = {}): StreamPlan {
		const excluded = new Set([...this.#listExcluded(run), ...without]);
		const canPrefill = !this.#request.isTrial;
		const {placement, limitWaitMs} = this.#selectPlacement(run, {excluded, canPrefill});
		if (placement.kind !== 'hand-over') {
			return {placement, limitWaitMs};
		}

		const prefillPermit = this.#permits.acquire(retryKinds.prefill);
		return prefillPermit ? {placement, prefillPermit, limitWaitMs} : this.#selectPlacement(run, {excluded, canPrefill: false});
	}

	#canRunAt(run: StreamRun, server: KnownServer): boolean {
		return (run.allowedServers?.has(server.id) ?? true) && this.#origin.canRun(server);
	}

	/** Servers at which this request has failed, and those that are silent. */
	#listExcluded(run: StreamRun): Set<string> {
		return new Set([...this.#excluded, ...run.listServers().map(({id}) => id)]);
	}

	/** Selects servers that take the request now, or else ones that take it after a wait. */
	#selectPlacement(run: StreamRun, {excluded, canPrefill}: {excluded: ReadonlySet<string>; canPrefill: boolean}): Pick<StreamPlan, 'placement' | 'limitWaitMs'> {
		const {promptPlacement, availabilityZone, clock} = this.#context;
		const {service, route} = this.#request;
		const ownCost = this.#context.ownResources?.estimate(countCallBytes(this.#request));
		// A prompt may be prefilled at any version: its KV cache depends on the weights, and events come from the decode server only.
		const canRun = (server: KnownServer) => server.stage === 'prefill' ? canPrefill : this.#canRunAt(run, server);
		const select = (limitWaitMs: number) => promptPlacement.plan({
			prompt: this.#prompt,
			servers: listCandidates(this.#context, service, {limitWaitMs, canRun}),
			closed: listClosed(this.#context, service, {limitWaitMs, canRun}),
			objectiveMs: route.objectiveMs,
			maxWaitMs: this.#maxWaitMs,
			availabilityZone,
			excluded,
			ownCost,
		});

		const placement = select(0);
		if (placement.kind !== 'refuse' || listClosed(this.#context, service).length === 0) {
			return {placement, limitWaitMs: 0};
		}

		const limitWaitMs = computeLimitWaitMs(this.#request, clock.monotonic());
		return {placement: select(limitWaitMs), limitWaitMs};
	}

	/**
	 * Waits for the rights to send to the servers of the plan. One whose limit turns out to be used up is left out, and the run
	 * is planned anew. Undefined if the run is no longer needed.
	 */
	async acquireGrants(run: StreamRun, first: StreamPlan, {isContinuation}: {isContinuation: boolean}): Promise<GrantedPlan | Refusal | undefined> {
		let plan = first;
		// A grant that is given back makes its server look open again.
		let unproved: string[] = [];
		let canWaitForProof = false;
		while (plan.placement.kind !== 'refuse') {
			const {placement, prefillPermit} = plan;
			const opts = {run, limitWaitMs: plan.limitWaitMs};
			const prefill = placement.kind === 'hand-over' ? await this.#acquireGrant(placement.prefillServer, callKinds.prefill, opts) : unlimitedGrant;
			const decode = prefill && await this.#acquireGrant(placement.decodeServer, callKinds.run, opts);
			const grants = decode && await this.#addProof(decode, placement.decodeServer, {run, isContinuation, limitWaitMs: canWaitForProof ? this.#resumptionWaitMs : plan.limitWaitMs});
			const isNeeded = !run.isCancelled && !this.#request.signal.aborted;
			if (prefill && grants && isNeeded) {
				return {placement, prefillPermit, grants: {prefill, ...grants}};
			}

			if (decode && !grants) {
				unproved.push(placement.decodeServer.id);
			}

			prefill?.release();
			grants?.proof?.release();
			decode?.release();
			prefillPermit?.release();
			if (!isNeeded) {
				return undefined;
			}

			plan = this.plan(run, {without: unproved});
			if (plan.placement.kind === 'refuse' && unproved.length > 0 && !canWaitForProof) {
				// Nobody else can go on with the stream.
				canWaitForProof = true;
				unproved = [];
				plan = this.plan(run);
			}
		}

		return plan.placement;
	}

	/**
	 * Where versions differ, a stream goes on at a limited server only with the right to ask it for its start as well: without
	 * the proof, its events are dropped. Undefined if its limit does not allow both.
	 */
	async #addProof(decode: SendGrant, server: KnownServer, {isContinuation, ...opts}: {limitWaitMs: number; run: StreamRun; isContinuation: boolean}): Promise<ServerGrants | undefined> {
		const {limits} = this.#context;
		if (!isContinuation || server.startedAt === 0 || !limits.isLimited(server) || !this.#origin.hasSeveralVersions) {
			return {decode};
		}

		const proof = await this.#acquireGrant(server, callKinds.stageStatus, opts);
		return proof && {decode, proof};
	}

	/** Undefined if the limit of the server is used up, or if it takes no requests any more after the wait. */
	async #acquireGrant(server: KnownServer, call: CallKind, {limitWaitMs, run}: {limitWaitMs: number; run?: StreamRun}): Promise<SendGrant | undefined> {
		const {limits} = this.#context;
		if (!limits.isLimited(server)) {
			return unlimitedGrant;
		}

		const signal = run ? AbortSignal.any([this.#request.signal, run.canceller.signal]) : this.#request.signal;
		const grant = await limits.acquire(server, {call, maxWaitMs: limitWaitMs, signal});
		if (grant && !isCandidate(this.#context, server)) {
			grant.release();
			return undefined;
		}

		return grant;
	}

	/**
	 * The load of the decode servers has changed while the prompt was prefilled, and all of them may have left. Limited servers
	 * are no choice, but for the planned one, which the run may be sent to already.
	 */
	selectDecodeServer(run: StreamRun, planned: KnownServer): KnownServer | undefined {
		const {promptPlacement, availabilityZone, limits, registry} = this.#context;
		const {service, route} = this.#request;
		const canRun = (server: KnownServer) => this.#canRunAt(run, server);
		const canTakeRun = (server: KnownServer) => server.id === planned.id || !limits.isLimited(server);
		const servers = listCandidates(this.#context, service, {limitWaitMs: Number.POSITIVE_INFINITY, canRun}).filter(server => canTakeRun(server));
		return promptPlacement.selectDecodeServer({
			prompt: this.#prompt, objectiveMs: route.objectiveMs, excluded: this.#listExcluded(run), availabilityZone, closed: registry.listUsable(service).filter(server => canRun(server) && !canTakeRun(server)),
		}, servers) ?? (isCandidate(this.#context, planned) && canRun(planned) ? planned : undefined);
	}

	/** Selects a server that can tell what comes behind the last event of the stream, other than those that were asked. */
	selectConfirmingServer(asked: readonly KnownServer[]): KnownServer | undefined {
		const {promptPlacement, availabilityZone} = this.#context;
		const {service, route} = this.#request;
		const servers = listCandidates(this.#context, service, {canRun: server => this.#origin.canRun(server)});
		const excluded = new Set([...this.#excluded, ...asked.map(({id}) => id)]);
		return promptPlacement.selectDecodeServer({
			prompt: this.#prompt, objectiveMs: route.objectiveMs, excluded, availabilityZone,
		}, servers);
	}

	/** Time for which a stream waits for the right to go on. */
	get #resumptionWaitMs(): number {
		const remainingMs = computeRemainingMs(this.#context, this.#request);
		return Math.max(0, Math.min(this.#request.route.patienceMs ?? remainingMs, remainingMs));
	}

	/** Waits for the right to go on with a stream at a server. The caller waits for the next event, so it comes before new requests. */
	async acquireResumption(server: KnownServer, run: StreamRun): Promise<ServerGrants | undefined> {
		const opts = {limitWaitMs: this.#resumptionWaitMs, run};
		const decode = await this.#acquireGrant(server, callKinds.run, opts);
		const grants = decode && await this.#addProof(decode, server, {...opts, isContinuation: true});
		if (!grants) {
			decode?.release();
		}

		return grants;
	}

	/** Time for which the caller still waits for the next event. */
	get #maxWaitMs(): number {
		const {clock} = this.#context;
		const {route, arrivedAt} = this.#request;
		const waitingSince = this.#relay.lastEventAt ?? arrivedAt;
		const patienceMs = waitingSince + (route.patienceMs ?? Number.POSITIVE_INFINITY) - clock.monotonic();
		return Math.min(patienceMs, computeRemainingMs(this.#context, this.#request));
	}
}
