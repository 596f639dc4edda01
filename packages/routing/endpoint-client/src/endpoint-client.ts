/**
 * Sends one request to one server and reports the response. A response is released to the handler only after its head has
 * proved that it belongs to the request; any other one breaks the connection. The outcome of an attempt tells whether the
 * server may have executed the request: it cannot have when no byte of the request was written, or when the response says
 * so.
 */
import type {Buffer} from 'node:buffer';
import {errors, type Dispatcher} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {firstFinalStatus, isValidStatus, type AnswerHead} from '@hickorytrack/http-answer/answer-framing';
import {AnswerReader, answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import {ByteBudget, type ByteBound} from '@hickorytrack/http-answer/byte-budget';
import {isJoinedHead, type AnswerIdentity, type ForeignAnswer} from './answer-identity.js';
import {ReadTurns, type TurnReader} from './read-turns.js';
import type {SendGrant} from './send-grant.js';
import {
	ServerConnections, type Recipient, type ServerConnection, type ServerConnectionsOptions,
} from './server-connections.js';

export type OutboundRequest = {
	method: string;
	path: string;
	/** Alternating names and values. */
	headers: string[];
	body?: Buffer;
	/** Kind of the call, for reports about its answer. */
	callKind: string;
	/** The start of a server that the request is meant for; undefined when it is not known who owns the address. */
	recipient?: Recipient;
	/** Undefined for calls whose answers bear no id; such a call has a connection of its own. */
	identity?: AnswerIdentity;
	/** Used when the request is written, released otherwise. */
	grant: SendGrant;
	/** The answer goes on behind what the caller has, and may have nothing left to send. */
	isContinuation?: boolean;
	/** Uses only a connection that is known to work, for requests that must not run twice. */
	needsVerifiedConnection: boolean;
	/** Maximum number of connections from this instance to the server. */
	connectionLimit: number;
};

export type ResponseHead = AnswerHead;

/**
 * Receives the response as it arrives; of an event stream, complete events only. A response that has been broken off ends in
 * `onFailure`, whatever delimits it. Exactly one of `onEnd` and `onFailure` is called, after all other
 * callbacks.
 */
export type ResponseHandler = {
	onHead(head: ResponseHead): void;
	onData(chunk: Buffer): void;
	/** The response has ended and nothing shows that it was broken off; the verdict says whether it is known to be whole. */
	onEnd(answer: ReceivedAnswer): void;
	onFailure(error: EndpointClientError): void;
};

/** Lower statuses are successes, which bear their id. */
const firstFailureStatus = 300;

export class EndpointClientError extends HickorytrackError {
	/** False when no byte of the request left this process. */
	readonly isWritten: boolean;
	/** True when this side cancelled the attempt. */
	readonly isCancelled: boolean;
	/** True when a reused connection failed at the first request after an idle period; the server itself may be healthy. */
	readonly isStale: boolean;
	/** True when all connections that this instance may open to the server were in use; nothing is known of the server. */
	readonly isBusy: boolean;
	/** The answer of another request that was read instead; this request may have run. */
	readonly foreignAnswer: ForeignAnswer | undefined;
	/** What was received of the answer; undefined before its head. */
	readonly answer: ReceivedAnswer | undefined;

	constructor(code: HickorytrackError['code'], message: string, opts: {isWritten: boolean; isCancelled?: boolean; isStale?: boolean; isBusy?: boolean; foreignAnswer?: ForeignAnswer; answer?: ReceivedAnswer; cause?: unknown}) {
		super(code, message, {cause: opts.cause});
		this.isWritten = opts.isWritten;
		this.isCancelled = opts.isCancelled ?? false;
		this.isStale = opts.isStale ?? false;
		this.isBusy = opts.isBusy ?? false;
		this.foreignAnswer = opts.foreignAnswer;
		this.answer = opts.answer;
	}
}

export type SentRequest = {
	/** A byte of the request has left this process. */
	readonly isWritten: boolean;
	/** Closes the connection of the attempt, so that the server stops work on it. The handler receives a failure with the reason. */
	cancel(reason?: string): void;
	pause(): void;
	resume(): void;
};

/** Bounds for what answers hold in memory before it can be passed on. */
export type AnswerLimits = {
	/** For a buffered answer, and for an open event of a stream. */
	maxAnswerBytes: number;
	/** For all of them together. */
	budget: ByteBound;
};

export type AnsweredRequest = {
	callKind: string;
	/** Monotonic time at which the request was written, in milliseconds. */
	sentAt: number;
	/** The answer bears the id of the request, so no other process at the address has sent it. */
	isProved: boolean;
};

export type HandlerFailure = {callKind: string; requestId: string | undefined; error: unknown};

export type EndpointClientOptions = ServerConnectionsOptions & {
	limits?: AnswerLimits;
	/** Called for the head of each answer to a request with a recipient, before the handler. */
	onAnswer?: (recipient: Recipient, head: ResponseHead, request: AnsweredRequest) => void;
	/** Called for each request that is written, with its size. */
	onSent?: (bytes: number) => void;
	/** Called for each answer that is not its request's own. */
	onForeignAnswer?: (answer: ForeignAnswer) => void;
	/** Called when a handler throws an error. Its request fails, unless its answer had ended. */
	onHandlerFailed?: (failure: HandlerFailure) => void;
};

const defaultMaxAnswerBytes = 16 * 1024 * 1024;

export class EndpointClient {
	readonly limits: AnswerLimits;
	readonly #opts: EndpointClientOptions;
	readonly #connections: ServerConnections;
	readonly #turns = new ReadTurns();

	constructor(opts: EndpointClientOptions) {
		this.#opts = opts;
		this.limits = opts.limits ?? {maxAnswerBytes: defaultMaxAnswerBytes, budget: new ByteBudget(defaultMaxAnswerBytes)};
		this.#connections = new ServerConnections(opts);
	}

	/** Closes the idle connections to a server that has left. */
	closeIdle(address: SocketAddress): void {
		this.#connections.closeIdle(address);
	}

	countBusy(address: SocketAddress): number {
		return this.#connections.countBusy(address);
	}

	close(): void {
		this.#connections.close();
	}

	/** Never throws: a request that can't be written fails as any other that no byte was written of. */
	send(address: SocketAddress, request: OutboundRequest, handler: ResponseHandler): SentRequest {
		let connection: ServerConnection | undefined;
		try {
			connection = this.#connections.acquire(address, {
				limit: request.connectionLimit, needsVerifiedConnection: request.needsVerifiedConnection, answerId: request.identity?.expectedId, recipient: request.recipient,
			});
		} catch (error) {
			return this.#rejectRequest(request, handler, new EndpointClientError('ERR_HICKORYTRACK_ENDPOINT_REQUEST', `No connection to ${address} could be opened: ${describeError(error)}`, {isWritten: false, cause: error}));
		}

		if (!connection) {
			return this.#rejectRequest(request, handler, new EndpointClientError('ERR_HICKORYTRACK_CONNECTIONS_BUSY', `All connections to ${address} are busy`, {isWritten: false, isBusy: true}));
		}

		connection.watch.startAnswer();
		const exchange = new Exchange(address, {
			clock: this.#opts.clock, connection, connections: this.#connections, turns: this.#turns, limits: this.limits, request, handler, onSent: this.#opts.onSent, onAnswer: this.#opts.onAnswer, onForeignAnswer: this.#opts.onForeignAnswer, onHandlerFailed: this.#opts.onHandlerFailed,
		});
		exchange.start();
		return exchange;
	}

	/** Settles a request for which there is no connection. */
	#rejectRequest({callKind, identity, grant}: OutboundRequest, handler: ResponseHandler, reason: EndpointClientError): SentRequest {
		for (const run of [() => {
			grant.release();
		}, () => {
			handler.onFailure(reason);
		}]) {
			try {
				run();
			} catch (error) {
				this.#opts.onHandlerFailed?.({callKind, requestId: identity?.expectedId, error});
			}
		}

		return {
			isWritten: false, cancel() {/* Nothing was sent. */}, pause() {/* Nothing was sent. */}, resume() {/* Nothing was sent. */},
		};
	}
}

type ExchangeOptions = {
	clock: Clock;
	connection: ServerConnection;
	connections: ServerConnections;
	turns: ReadTurns;
	limits: AnswerLimits;
	request: OutboundRequest;
	handler: ResponseHandler;
	onSent?: EndpointClientOptions['onSent'];
	onAnswer?: EndpointClientOptions['onAnswer'];
	onForeignAnswer?: (answer: ForeignAnswer) => void;
	onHandlerFailed?: EndpointClientOptions['onHandlerFailed'];
};

class Exchange implements SentRequest {
	readonly #address: SocketAddress;
	readonly #opts: ExchangeOptions;
	#controller: Dispatcher.DispatchController | undefined;
	#isWritten = false;
	#sentAt = 0;
	#isSettled = false;
	#isPaused = false;
	#canReuse = true;
	#hasResponse = false;
	#reader: AnswerReader | undefined;
	/** Bytes of the open event that count in the budget. */
	#chargedBytes = 0;
	readonly #turnReader: TurnReader = {
		turn: -1, bytes: 0, resume: () => {
			this.#resumeReader();
		},
	};

	constructor(address: SocketAddress, opts: ExchangeOptions) {
		this.#address = address;
		this.#opts = opts;
	}

	start(): void {
		const {connection, request, turns} = this.#opts;
		const dispatchHandler: Dispatcher.DispatchHandler = {
			onRequestStart: controller => {
				this.#handleStart(controller);
			},
			onResponseStart: (_controller, status, headers, reason) => {
				this.#handle(() => {
					this.#handleStatus({status, headers}, reason);
				});
			},
			onResponseData: (_controller, chunk) => {
				this.#handle(() => {
					connection.watch.recordBody(chunk.length);
					this.#read(chunk);
					if (!this.#isSettled && !turns.record(this.#turnReader, chunk.length)) {
						this.#pauseReader();
					}
				});
			},
			onResponseEnd: () => {
				this.#handle(() => {
					this.#finish();
				});
			},
			onResponseError: (_controller, error) => {
				this.#handleError(error);
			},
		};
		try {
			connection.client.dispatch({
				method: request.method, path: request.path, headers: request.headers, body: request.body && request.body.length > 0 ? request.body : null,
			}, dispatchHandler);
		} catch (error) {
			this.#fail('ERR_HICKORYTRACK_ENDPOINT_REQUEST', `The request to ${this.#address} could not be written`, error);
		}
	}

	get isWritten(): boolean {
		return this.#isWritten;
	}

	cancel(reason = 'was cancelled'): void {
		if (!this.#isSettled) {
			this.#settleFailed(() => new EndpointClientError('ERR_HICKORYTRACK_ENDPOINT_CANCELLED', `The request to ${this.#address} ${reason}`, {isWritten: this.#isWritten, isCancelled: true, answer: this.#describeFailure()}));
		}
	}

	pause(): void {
		if (!this.#isSettled) {
			this.#isPaused = true;
			this.#pauseReader();
		}
	}

	/** May be called in a callback of another connection. The HTTP client runs one parser at a time, so the reader resumes later. */
	resume(): void {
		this.#isPaused = false;
		queueMicrotask(() => {
			this.#resumeReader();
		});
	}

	#pauseReader(): void {
		this.#opts.connection.watch.pause();
		this.#controller?.pause();
	}

	/** Reads on, unless the handler has paused the answer or it waits for its turn. */
	#resumeReader(): void {
		if (this.#isSettled || this.#isPaused || this.#opts.turns.has(this.#turnReader)) {
			return;
		}

		try {
			this.#opts.connection.watch.resume(() => {
				this.#controller?.resume();
			});
		} catch (error) {
			this.#fail('ERR_HICKORYTRACK_ENDPOINT_BROKEN', `The answer of ${this.#address} could not be read on: ${describeError(error)}`, error);
		}
	}

	/** Runs a part of the work on the answer. What it throws is no failure of the server, and must not reach the HTTP client. */
	#handle(handlePart: () => void): void {
		if (this.#isSettled) {
			return;
		}

		try {
			handlePart();
		} catch (error) {
			this.#reportHandlerFailed(error);
			this.#fail('ERR_HICKORYTRACK_ANSWER_UNHANDLED', `The answer of ${this.#address} could not be handled: ${describeError(error)}`, error);
		}
	}

	/** Runs one step of the end of the exchange, so that what it throws keeps no other step from running. */
	#runStep(run: () => void): void {
		try {
			run();
		} catch (error) {
			this.#reportHandlerFailed(error);
		}
	}

	#reportHandlerFailed(error: unknown): void {
		const {onHandlerFailed, request} = this.#opts;
		onHandlerFailed?.({callKind: request.callKind, requestId: request.identity?.expectedId, error});
	}

	#handleStart(controller: Dispatcher.DispatchController): void {
		const {clock, request, onSent} = this.#opts;
		this.#controller = controller;
		if (this.#isSettled) {
			controller.abort(new Error('The request was cancelled before it was written'));
			return;
		}

		this.#isWritten = true;
		this.#sentAt = clock.monotonic();
		request.grant.recordUse();
		onSent?.(countRequestBytes(request));
	}

	#handleStatus(head: ResponseHead, reason: string | undefined): void {
		if (!isValidStatus(head.status)) {
			this.#hasResponse = true;
			this.#fail('ERR_HICKORYTRACK_ENDPOINT_BROKEN', `The answer of ${this.#address} has the status ${head.status}, which is not valid`, undefined);
			return;
		}

		// An informational response (1xx) precedes the final one.
		if (head.status >= firstFinalStatus) {
			this.#handleHead(head, reason);
		}
	}

	#handleHead(head: ResponseHead, reason: string | undefined): void {
		const {request, handler, onAnswer} = this.#opts;
		this.#hasResponse = true;
		const foreignAnswer = this.#findForeignAnswer(head, reason);
		if (foreignAnswer) {
			this.#rejectAnswer(foreignAnswer);
			return;
		}

		this.#reader = new AnswerReader(head, {method: request.method, mayBeEmpty: request.isContinuation});
		this.#canReuse &&= head.headers.connection !== 'close';
		if (request.recipient) {
			onAnswer?.(request.recipient, head, {callKind: request.callKind, sentAt: this.#sentAt, isProved: request.identity !== undefined && request.identity.readId(head) === request.identity.expectedId});
		}

		handler.onHead(head);
	}

	#handleError(error: Error): void {
		const {connection, connections} = this.#opts;
		if (error instanceof errors.HTTPParserError && !this.#hasResponse && connection.exchanges > 0) {
			connections.recordLateAnswer(this.#address);
		}

		this.#fail('ERR_HICKORYTRACK_ENDPOINT_BROKEN', `The connection to ${this.#address} failed: ${error.message}`, error);
	}

	/** Settles the exchange as failed. Whatever one step throws, the connection closes and the handler is told. */
	#settleFailed(createError: () => EndpointClientError): void {
		this.#runStep(() => {
			this.#recordSettled();
		});
		this.#runStep(() => {
			this.#discardConnection();
		});
		this.#runStep(() => {
			this.#opts.handler.onFailure(createError());
		});
	}

	#recordSettled(): void {
		this.#isSettled = true;
		this.#opts.turns.remove(this.#turnReader);
		if (!this.#isWritten) {
			this.#opts.request.grant.release();
		}

		this.#opts.limits.budget.release(this.#chargedBytes);
		this.#chargedBytes = 0;
	}

	/**
	 * Closes the connection, also while its reader is paused and in any callback. The close is an error for the HTTP client; only
	 * an orderly end must not reach it while it is paused.
	 */
	#discardConnection(): void {
		const {connection, connections} = this.#opts;
		connections.discard(this.#address, connection);
	}

	/** Returns the report about a response that does not prove to be the request's own. */
	#findForeignAnswer(head: ResponseHead, reason: string | undefined): ForeignAnswer | undefined {
		const {connection: {exchanges}, request: {identity, callKind}} = this.#opts;
		const receivedId = identity?.readId(head);
		// On a connection that has carried no other request, a failure without an id can only be the request's own.
		const isOwnFailure = receivedId === undefined && exchanges === 0 && head.status >= firstFailureStatus;
		const isJoined = exchanges > 0 && isJoinedHead(head, reason);
		const isOwn = !identity || (!isJoined && (receivedId === identity.expectedId || isOwnFailure));
		return isOwn
			? undefined
			: {
				address: this.#address, callKind, expectedId: identity.expectedId, receivedId, status: head.status, exchanges, isJoined,
			};
	}

	#rejectAnswer(foreignAnswer: ForeignAnswer): void {
		const {connections, onForeignAnswer} = this.#opts;
		if (foreignAnswer.exchanges > 0) {
			connections.recordLateAnswer(this.#address);
		}

		this.#runStep(() => {
			onForeignAnswer?.(foreignAnswer);
		});
		this.#settleFailed(() => new EndpointClientError('ERR_HICKORYTRACK_FOREIGN_ANSWER', `The answer of ${this.#address} belongs to another request`, {isWritten: this.#isWritten, foreignAnswer}));
	}

	#finish(): void {
		const {connection, connections, request, handler} = this.#opts;
		const answer = this.#reader!.describeEnd(connection.watch.end, {isRequestUnread: connection.watch.isRequestUnread});
		if (answer.verdict === answerVerdicts.brokenOff) {
			this.#fail('ERR_HICKORYTRACK_ENDPOINT_BROKEN', `The response of ${this.#address} broke off: ${answer.bodyBytes} bytes, ${answer.heldBytes} of them in an open event, connection ${answer.connectionEnd}`, undefined);
			return;
		}

		this.#release(this.#reader!.finish());
		if (this.#isSettled) {
			// The handler has cancelled the request at its last part.
			return;
		}

		this.#runStep(() => {
			this.#recordSettled();
		});
		this.#runStep(() => {
			if (this.#canReuse && request.identity) {
				connection.watch.finishAnswer();
				connections.release(this.#address, connection, request.identity.expectedId);
			} else {
				this.#discardConnection();
			}
		});

		this.#runStep(() => {
			handler.onEnd(answer);
		});
	}

	/** Releases what the format allows, and fails the answer when what is held back exceeds the limits. */
	#read(chunk: Buffer): void {
		const {limits: {maxAnswerBytes, budget}} = this.#opts;
		const bytes = this.#reader!.read(chunk);
		const {heldBytes} = this.#reader!;
		budget.release(this.#chargedBytes);
		this.#chargedBytes = 0;
		if (heldBytes > maxAnswerBytes || !budget.acquire(heldBytes)) {
			this.#fail('ERR_HICKORYTRACK_ANSWER_TOO_LARGE', `An event of ${this.#address} has more than ${heldBytes} bytes; the limit is ${maxAnswerBytes} for one and ${budget.limit} for all`, undefined);
			return;
		}

		this.#chargedBytes = heldBytes;
		this.#release(bytes);
	}

	#release(bytes: Buffer): void {
		if (bytes.length > 0) {
			this.#opts.handler.onData(bytes);
		}
	}

	#describeFailure(): ReceivedAnswer | undefined {
		return this.#reader?.describeFailure(this.#opts.connection.watch.end);
	}

	#fail(code: HickorytrackError['code'], message: string, cause: unknown): void {
		if (this.#isSettled) {
			return;
		}

		const {connection, connections} = this.#opts;
		const isStale = this.#isWritten && !this.#hasResponse && connections.recordFailure(this.#address, connection);
		this.#settleFailed(() => new EndpointClientError(code, message, {
			isWritten: this.#isWritten, isStale, answer: this.#describeFailure(), cause,
		}));
	}
}

/** The line ends and separators of each header count as four bytes. */
function countRequestBytes({method, path, headers, body}: OutboundRequest): number {
	return method.length + path.length + headers.reduce((sum, text) => sum + text.length + 2, 0) + (body?.length ?? 0);
}
