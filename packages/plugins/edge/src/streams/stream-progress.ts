/** What is known of a streaming request over all of its runs, and how it ends for its caller. */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {computeRetryAfterMs, listCandidates} from '../calls/candidate-servers.js';
import {
	requestOutcomes, type CallerRequest, type RequestResult,
} from '../front/caller-request.js';
import {
	computeRemainingMs, createAnswerIdentity, defaultRetryAfterMs, type ForwardContext,
} from '../calls/forward-context.js';
import {RefusalGrounds} from '../calls/refusal-grounds.js';
import {sendProblem} from '../front/responses.js';
import type {EventRelay} from './event-relay.js';
import type {StreamCalls} from './stream-calls.js';
import {runOutcomes, type RunOutcome} from './stream-runs.js';

const minimumRetryMs = 20; // With less time left, another attempt would not complete before the deadline.

/** How a run ended that may decide the request. */
export type RunEnding = {
	as: Exclude<RunOutcome, 'open'>;
	/** The server that has refused to go on from its copy. */
	refusedBy?: KnownServer;
	/** Ends the caller's response. */
	finish: () => RequestResult;
};

export class StreamProgress {
	/** Servers that were asked to generate the response. */
	readonly servers: KnownServer[] = [];
	readonly grounds: RefusalGrounds;
	/** No server can have run the request. */
	isNotExecuted = true;
	/** Time to the first event, as predicted when the request was first placed, in milliseconds. */
	predictedMs: number | undefined;
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #relay: EventRelay;
	readonly #calls: StreamCalls;
	/** Ids of servers that a byte of the request was written to. */
	readonly #sent = new Set<string>();
	/** Ids of servers at which all attempts have ended before that. */
	readonly #unsent = new Set<string>();
	#retryAfterMs = defaultRetryAfterMs;

	constructor(context: ForwardContext, request: CallerRequest, opts: {relay: EventRelay; calls: StreamCalls}) {
		this.#context = context;
		this.#request = request;
		this.#relay = opts.relay;
		this.#calls = opts.calls;
		this.grounds = new RefusalGrounds(createAnswerIdentity(context, request));
	}

	get remainingMs(): number {
		return computeRemainingMs(this.#context, this.#request);
	}

	/** Another attempt may complete before the deadline. */
	get hasTime(): boolean {
		return this.remainingMs >= minimumRetryMs;
	}

	/** The route allows another server. One that the request was not written to doesn't count. */
	get allowsServer(): boolean {
		return this.servers.length - this.#unsent.size < this.#request.route.maxServers;
	}

	/** Asked before each call: the crash that shows the cause may be told while the request is on its way. */
	get isBanned(): boolean {
		return this.#context.crashReports.findBan(this.#request) !== undefined;
	}

	/** Records that the request is to be sent to a server. */
	addServer(server: KnownServer): void {
		this.#unsent.delete(server.id);
		if (!this.servers.some(({id}) => id === server.id)) {
			this.servers.push(server);
		}
	}

	/** Records the end of an attempt at a server that was added. */
	recordAttempt({id}: KnownServer, {isWritten}: {isWritten: boolean}): void {
		if (isWritten) {
			this.#sent.add(id);
		} else if (!this.#sent.has(id)) {
			this.#unsent.add(id);
		}
	}

	/** Sets how long the caller is told to wait, in milliseconds; without a time, it stays as it is. */
	setRetryAfter(retryAfterMs: number | undefined): void {
		this.#retryAfterMs = retryAfterMs ?? this.#retryAfterMs;
	}

	/** Has the caller wait for this long at least, in milliseconds. */
	extendRetryAfter(retryAfterMs: number): void {
		this.#retryAfterMs = Math.max(this.#retryAfterMs, retryAfterMs);
	}

	createCallerGone(): RunEnding {
		return {as: runOutcomes.answer, finish: () => this.createResult(requestOutcomes.callerGone)};
	}

	createFailure(reason: string): RunEnding {
		return {as: runOutcomes.failure, finish: () => this.fail(reason)};
	}

	/** Ends the caller's response without an answer. */
	fail(reason: string): RequestResult {
		const {response} = this.#request;
		if (this.#relay.isOpen) {
			this.#relay.abort();
			return this.createResult(requestOutcomes.cut, {reason, usableServers: listCandidates(this.#context, this.#request.service).length});
		}

		const isPastDeadline = this.remainingMs <= 1;
		if (this.isNotExecuted && !isPastDeadline) {
			const retryAfterMs = computeRetryAfterMs(this.#context, this.#request.service, this.#retryAfterMs);
			sendProblem(response, {
				status: 503, code: 'not-run', detail: `The request has not run: ${reason}.`, headers: this.#context.codec.encodeRetryAfter(retryAfterMs),
			});
			return this.createResult(requestOutcomes.refused, {status: 503, reason, retryAfterMs});
		}

		sendProblem(response, {status: isPastDeadline ? 504 : 502, code: 'may-have-run', detail: `The request may have run: ${reason}.`});
		return this.createResult(isPastDeadline ? requestOutcomes.timedOut : requestOutcomes.failed, {status: isPastDeadline ? 504 : 502, reason});
	}

	createResult(outcome: RequestResult['outcome'], rest: Omit<RequestResult, 'outcome' | 'servers'> = {}): RequestResult {
		return {
			outcome, servers: this.servers.map(server => server.id), grounds: this.grounds.list, answer: this.#calls.lastAnswer, firstByteMs: this.#calls.firstByteMs, predictedMs: this.predictedMs, ...rest,
		};
	}
}
