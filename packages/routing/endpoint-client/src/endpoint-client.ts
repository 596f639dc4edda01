/**
 * Sends one request to one server and reports what comes back. The end of an attempt says whether the request can have
 * run: it can't when no byte of it was written, or when the server's own word says so.
 */
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import {HickorytrackError} from '@hickorytrack/errors';
import {ServerConnections, type ServerConnection} from './server-connections.js';

export type OutboundRequest = {
	method: string;
	path: string;
	/** Names and values in turn. */
	headers: string[];
	body?: Buffer;
	/** Takes only a connection that is known to work, for requests that must not run twice. */
	needsVerifiedConnection: boolean;
	/** Connections that this instance may hold to the server. */
	connectionLimit: number;
};

export type ResponseHead = {
	status: number;
	/** Names in lower case; a repeated header has a list. */
	headers: Record<string, string | string[] | undefined>;
};

/** Receives the answer as it arrives. Exactly one of `onEnd` and `onFailure` ends it. */
export type ResponseHandler = {
	onHead(head: ResponseHead): void;
	onData(chunk: Buffer): void;
	/** The answer is whole. */
	onEnd(): void;
	onFailure(error: EndpointClientError): void;
};

export class EndpointClientError extends HickorytrackError {
	/** False when no byte of the request left this process. */
	readonly isWritten: boolean;
	/** True when the attempt was cancelled from this side. */
	readonly isCancelled: boolean;
	/** True when a kept connection broke at the first request after a rest; the server may be well. */
	readonly isStale: boolean;

	constructor(code: HickorytrackError['code'], message: string, opts: {isWritten: boolean; isCancelled?: boolean; isStale?: boolean; cause?: unknown}) {
		super(code, message, {cause: opts.cause});
		this.isWritten = opts.isWritten;
		this.isCancelled = opts.isCancelled ?? false;
		this.isStale = opts.isStale ?? false;
	}
}

export type SentRequest = {
	/** Ends the attempt by closing its connection; the server stops work. The handler hears a failure. */
	cancel(): void;
	pause(): void;
	resume(): void;
};

export class EndpointClient {
	readonly #connections: ServerConnections;

	constructor(opts: {clock: Clock; connectTimeoutMs: number}) {
		this.#connections = new ServerConnections(opts);
	}

	/** Closes idle connections to a server that left. */
	closeIdle(address: string): void {
		this.#connections.closeIdle(address);
	}

	countBusy(address: string): number {
		return this.#connections.countBusy(address);
	}

	close(): void {
		this.#connections.close();
	}

	send(address: string, request: OutboundRequest, handler: ResponseHandler): SentRequest {
		const connection = this.#connections.acquire(address, {limit: request.connectionLimit, needsVerifiedConnection: request.needsVerifiedConnection});
		if (!connection) {
			handler.onFailure(new EndpointClientError('ERR_HICKORYTRACK_CONNECTIONS_BUSY', `All connections to ${address} are busy`, {isWritten: false}));
			return {cancel() {/* Nothing was sent. */}, pause() {/* Nothing was sent. */}, resume() {/* Nothing was sent. */}};
		}

		const exchange = new Exchange(address, {connection, connections: this.#connections, handler});
		exchange.start(request);
		return exchange;
	}
}

type ExchangeOptions = {
	connection: ServerConnection;
	connections: ServerConnections;
	handler: ResponseHandler;
};

class Exchange implements SentRequest {
	readonly #address: string;
	readonly #opts: ExchangeOptions;
	#controller: Dispatcher.DispatchController | undefined;
	#isWritten = false;
	#isOver = false;
	#mayReuse = true;
	#isHeard = false;

	constructor(address: string, opts: ExchangeOptions) {
		this.#address = address;
		this.#opts = opts;
	}

	start(request: OutboundRequest): void {
		const {connection, handler} = this.#opts;
		const dispatchHandler: Dispatcher.DispatchHandler = {
			onRequestStart: controller => {
				this.#controller = controller;
				if (this.#isOver) {
					controller.abort(new Error('cancelled before it was written'));
					return;
				}

				this.#isWritten = true;
			},
			onResponseStart: (_controller, status, headers) => {
				// An informational answer precedes the real one.
				if (status < 200 || this.#isOver) {
					return;
				}

				this.#isHeard = true;
				this.#mayReuse &&= headers.connection !== 'close';
				handler.onHead({status, headers});
			},
			onResponseData: (_controller, chunk) => {
				if (!this.#isOver) {
					handler.onData(chunk);
				}
			},
			onResponseEnd: () => {
				if (connection.isReset) {
					this.#fail('ERR_HICKORYTRACK_ENDPOINT_BROKEN', `The connection to ${this.#address} was reset before the end of the answer`, undefined);
				} else {
					this.#finish();
				}
			},
			onResponseError: (_controller, error) => {
				this.#fail('ERR_HICKORYTRACK_ENDPOINT_BROKEN', `The connection to ${this.#address} broke: ${error.message}`, error);
			},
		};
		try {
			connection.client.dispatch({
				method: request.method, path: request.path, headers: request.headers, body: request.body && request.body.length > 0 ? request.body : null,
			}, dispatchHandler);
		} catch (error) {
			this.#fail('ERR_HICKORYTRACK_ENDPOINT_REQUEST', `The request to ${this.#address} can't be written`, error);
		}
	}

	cancel(): void {
		if (this.#isOver) {
			return;
		}

		const {connection, connections, handler} = this.#opts;
		this.#isOver = true;
		connections.discard(this.#address, connection);
		handler.onFailure(new EndpointClientError('ERR_HICKORYTRACK_ENDPOINT_CANCELLED', `The request to ${this.#address} was cancelled`, {isWritten: this.#isWritten, isCancelled: true}));
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		this.#controller?.resume();
	}

	#finish(): void {
		if (this.#isOver) {
			return;
		}

		const {connection, connections, handler} = this.#opts;
		this.#isOver = true;
		if (this.#mayReuse) {
			connections.release(connection);
		} else {
			connections.discard(this.#address, connection);
		}

		handler.onEnd();
	}

	#fail(code: HickorytrackError['code'], message: string, cause: unknown): void {
		if (this.#isOver) {
			return;
		}

		const {connection, connections, handler} = this.#opts;
		this.#isOver = true;
		const isStale = this.#isWritten && !this.#isHeard && connections.recordFailure(this.#address, connection);
		connections.discard(this.#address, connection);
		handler.onFailure(new EndpointClientError(code, message, {isWritten: this.#isWritten, isStale, cause}));
	}
}
