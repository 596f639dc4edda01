/**
 * The run of a request to a plain service: a whole answer is collected before the caller gets any of it, so that a broken
 * one never looks complete. A second server gets the request only when it may run twice or has provably not run.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {requestKinds} from '@hickorytrack/route-table/route-types';
import {attemptOutcomes, runAttempt, type AttemptResult} from './attempt.js';
import {forwardResponse, sendProblem} from './responses.js';
import {requestOutcomes, type CallerRequest, type RequestResult} from './caller-request.js';
import {
	createOutboundRequest, computeRemainingMs, defaultRetryAfterMs, type ForwardContext,
} from './forward-context.js';

/** A request that may repeat leaves a silent server after this share of the time it has left. */
const firstAttemptShare = 0.55;
const minimumRetryMs = 20; // Less time than this is not enough for another attempt.

export class PlainRun {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #servers: KnownServer[] = [];
	/** True until a server may have begun to run the request. */
	#isNotRun = true;
	#retryAfterMs = defaultRetryAfterMs;
	/** A server's own failure, passed on when no other server answers better. */
	#failure: AttemptResult | undefined;

	constructor(context: ForwardContext, request: CallerRequest) {
		this.#context = context;
		this.#request = request;
	}

	async run(): Promise<RequestResult> {
		const {retryBudget} = this.#context;
		retryBudget.recordRequest(this.#request.service);
		for (;;) {
			const server = this.#pickServer();
			if (!server) {
				return this.#giveUp('no usable server is known');
			}

			const isArrival = this.#servers.length > 0;
			if (isArrival && !retryBudget.acquire(this.#request.service)) {
				return this.#giveUp('the retry budget is used up');
			}

			this.#servers.push(server);
			const result = await this.#attempt(server);
			const end = this.#judge(server, result);
			if (end) {
				return end;
			}

			if (this.#servers.length >= this.#request.route.maxServers || computeRemainingMs(this.#context, this.#request) < minimumRetryMs) {
				return this.#giveUp('no further server is allowed');
			}
		}
	}

	get #mayRepeat(): boolean {
		return this.#request.route.kind === requestKinds.idempotent;
	}

	#pickServer(): KnownServer | undefined {
		const {registry, health, plainPlacement, availabilityZone} = this.#context;
		const servers = health.selectHealthy(registry.listUsable(this.#request.service));
		return plainPlacement.pick(servers, {excluded: new Set(this.#servers.map(server => server.id)), availabilityZone});
	}

	async #attempt(server: KnownServer): Promise<AttemptResult> {
		const {clock, client, board} = this.#context;
		const remainingMs = computeRemainingMs(this.#context, this.#request);
		const hasMore = this.#mayRepeat && this.#servers.length < this.#request.route.maxServers;
		const ticket = board.add(server.id, 0);
		const result = await runAttempt(client, server.address, {
			clock, signal: this.#request.signal, timeoutMs: hasMore ? remainingMs * firstAttemptShare : remainingMs, request: createOutboundRequest(this.#context, this.#request, {server, isProvenWanted: !this.#mayRepeat}),
		});
		ticket.finish();
		return result;
	}

	/** Returns how the request ended, or undefined when another server may be tried. */
	#judge(server: KnownServer, result: AttemptResult): RequestResult | undefined {
		if (result.outcome === attemptOutcomes.answered) {
			return this.#judgeAnswer(server, result);
		}

		const {health, eventLog, onConnectionLost} = this.#context;
		if (result.outcome === attemptOutcomes.cancelled) {
			return this.#end(requestOutcomes.callerGone);
		}

		const isStale = result.error?.isStale ?? false;
		if (isStale) {
			// The server may be well; onBreak finds out.
		} else if (result.isWritten && result.outcome === attemptOutcomes.broken) {
			health.recordBrokenResponse(server);
		} else {
			health.recordUnresponsive(server);
		}

		this.#isNotRun &&= !result.isWritten;
		eventLog.emit('attemptFailed', {
			request: this.#request.metadata.requestId, server: server.id, end: result.outcome, isWritten: result.isWritten, isStale, reason: result.error?.message,
		});
		if (result.outcome === attemptOutcomes.broken && result.isWritten) {
			onConnectionLost(this.#request, server);
		}

		if (this.#isNotRun || this.#mayRepeat) {
			return undefined;
		}

		return this.#giveUp(`the attempt ended as ${result.outcome}`);
	}

	#judgeAnswer(server: KnownServer, result: AttemptResult): RequestResult | undefined {
		const {codec, health, poisonRequests} = this.#context;
		const head = result.head!;
		const marks = codec.readAnswer(head);
		if (marks.isNotRun) {
			this.#retryAfterMs = marks.retryAfterMs ?? this.#retryAfterMs;
			return undefined;
		}

		this.#isNotRun = false;
		const isForeign = marks.requestId !== undefined && marks.requestId !== this.#request.metadata.requestId;
		if (isForeign || (head.status < 300 && (!marks.isGenuine || marks.requestId === undefined))) {
			health.recordBrokenResponse(server);
			return this.#mayRepeat ? undefined : this.#giveUp('the server sent an answer that is not its own');
		}

		if (head.status >= 500) {
			health.recordFailure(server);
			this.#failure = result;
			if (this.#mayRepeat) {
				return undefined;
			}
		} else {
			health.recordSuccess(server);
			poisonRequests.recordSuccess(this.#request.fingerprint);
		}

		forwardResponse(this.#request.response, head, result.body);
		return this.#end(requestOutcomes.answered, {status: head.status});
	}

	#giveUp(reason: string): RequestResult {
		const {codec} = this.#context;
		const {response} = this.#request;
		if (this.#failure) {
			forwardResponse(response, this.#failure.head!, this.#failure.body);
			return this.#end(requestOutcomes.answered, {status: this.#failure.head!.status, reason});
		}

		if (this.#isNotRun) {
			sendProblem(response, {
				status: 503, code: 'not-run', detail: `The request has not run: ${reason}.`, headers: codec.writeRetryAfter(this.#retryAfterMs),
			});
			return this.#end(requestOutcomes.refused, {status: 503, reason, retryAfterMs: this.#retryAfterMs});
		}

		const isLate = computeRemainingMs(this.#context, this.#request) <= 1;
		sendProblem(response, {status: isLate ? 504 : 502, code: 'may-have-run', detail: `The request may have run: ${reason}.`});
		return this.#end(isLate ? requestOutcomes.timedOut : requestOutcomes.failed, {status: isLate ? 504 : 502, reason});
	}

	#end(outcome: RequestResult['outcome'], rest: Omit<RequestResult, 'outcome' | 'servers'> = {}): RequestResult {
		return {outcome, servers: this.#servers.map(server => server.id), ...rest};
	}
}
