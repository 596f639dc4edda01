/**
 * HTTP frontend for callers: reads complete requests within the configured limits, finds their route and forwards them.
 * While the instance stops, connections are closed after their next response.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {
	createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {listSharedParts} from '@hickorytrack/prompt-placement/prompt';
import type {Random} from '@hickorytrack/random';
import {selectTarget, type RouteTable} from '@hickorytrack/route-table';
import type {RequestCodec} from '../request-codec.js';
import {breakOff, sendProblem} from './responses.js';
import {
	dropReasons, timeoutSources, type CallerRequest, type DropReason,
} from './caller-request.js';

export type HttpFrontendOptions = {
	clock: Clock;
	random: Random;
	codec: RequestCodec;
	/** The active routes; undefined until the configuration is confirmed to be the latest. */
	getRoutes: () => RouteTable | undefined;
	forward: (request: CallerRequest) => Promise<void>;
	/** Called for each request that is rejected without being forwarded. */
	onRejected: (rejected: RejectedRequest) => void;
	/** Called for each request that was read whole and whose connection this side ended without a complete answer. */
	onDropped: (dropped: DroppedRequest) => void;
	/** Called for each request whose handling threw an error. */
	onFailed: (failed: FailedRequest) => void;
	/** Retry-After of 503 responses of the frontend, in milliseconds. */
	notReadyRetryAfterMs: number;
	/** Time from the start of the drain during which requests are still forwarded, in milliseconds. A later one might not end in time. */
	drainAcceptMs: number;
};

/** A request that the frontend answered or dropped without forwarding it. */
export type RejectedRequest = {
	requestId: string | undefined;
	host: string | undefined;
	path: string;
	/** `unreadable` for bytes that are no request, or no complete one in time; no id, host or path is known of them. */
	reason: 'body-broken' | 'connection-ended' | 'not-ready' | 'no-route' | 'body-too-large' | 'unmet-expectation' | 'stopping' | 'unreadable';
	/** Status of the answer to unreadable bytes. */
	status?: number;
	/** Version of the configuration in which its route was looked up. */
	routedVersion?: number;
};

/** A request whose handling threw an error. */
export type FailedRequest = {
	requestId: string | undefined;
	path: string;
	error: unknown;
};

/** A request that was read whole and whose connection this side ended, or let end, without a complete answer. */
export type DroppedRequest = {
	requestId: string | undefined;
	host: string | undefined;
	path: string;
	reason: DropReason;
	/** The request was passed on, so that a server may have run it. */
	isForwarded: boolean;
	/** Time since the head of the request had been read. */
	openMs: number;
};

type OpenExchange = {
	incoming: IncomingMessage;
	response: ServerResponse;
	arrivedAt: number;
	/** Ends the work on the request; undefined until it is forwarded. */
	abortController: AbortController | undefined;
	/** The response says that the connection closes after it. */
	closesConnection: boolean;
	/** Time for which the connection stays open after the response, as the response says, in milliseconds. */
	keepAliveMs: number;
	isReported: boolean;
};

/** A connection without an open request. */
type IdleConnection = {
	since: number;
	/** Time for which its last response said that it stays open, in milliseconds. */
	keepAliveMs: number;
};

/** Who or what ended a connection. */
type ConnectionEnd = DropReason | 'caller';

/** Status by the error code of the HTTP parser; any other error is a bad request. */
const unreadableStatuses: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	HPE_HEADER_OVERFLOW: 431,
};
const badRequestStatus = 400;

const timeoutStatus = 408;

/** Logged characters of a path or host: enough to identify the route, while a request head may have 64 KB. */
const maxLoggedCharacters = 200;
/** Upper bound for the size of a request head; the configured limit may be lower. */
const maxHeadBytes = 65_536;
/** Added to the idle timeout that callers know, so that no connection is closed while a request is on its way. */
const idleMarginMs = 1000;
/** Added by Node.js to the time that a response states. */
const keepAliveBufferMs = 1000;
const connectionsCheckMs = 1000;
/** Time for callers to read what a stop writes to them. */
const flushTimeoutMs = 200;
const flushPollMs = 5;

export class HttpFrontend {
	readonly #opts: HttpFrontendOptions;
	readonly #server: Server;
	/** Requests of each connection whose responses are open, in the order of their arrival. */
	readonly #openExchanges = new WeakMap<Socket, Set<OpenExchange>>();
	/** Connections that close after their open responses; no further request of them is read. */
	readonly #closingSockets = new WeakSet<Socket>();
	readonly #connectionEnds = new WeakMap<Socket, ConnectionEnd>();
	readonly #exchanges = new Set<OpenExchange>();
	readonly #idleConnections = new WeakMap<Socket, IdleConnection>();
	#stoppingSince: number | undefined;
	#isClosed = false;

	constructor(opts: HttpFrontendOptions) {
		this.#opts = opts;
		this.#server = createServer({maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: connectionsCheckMs, noDelay: true}, (request, response) => {
			void this.#handle(request, response);
		});
		// Without this, Node.js answers by itself and leaves the connection open for good.
		this.#server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
			this.#rejectExpectation(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			// Each open request of a connection listens for its close.
			socket.setMaxListeners(0);
			// Before the listener of the server, which may find the bytes before the end unreadable.
			socket.prependListener('end', () => {
				this.#recordCallerEnd(socket);
			});
		});
		this.#server.on('timeout', (socket: Socket) => {
			this.#checkIdle(socket);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#handleClientError(error, socket as Socket);
		});
	}

	get openRequests(): number {
		return this.#exchanges.size;
	}

	async listen(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port}, () => {
				resolve();
			});
		});
	}

	/** Applies the limits of a new configuration. */
	applyLimits(limits: {headerTimeoutMs: number; idleTimeoutMs: number}): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** Responses to requests that arrive from now on carry `connection: close`. */
	startDrain(): void {
		this.#stoppingSince = this.#opts.clock.monotonic();
	}

	/** Closes the listener and idle connections. Requests that arrive from now on are refused. */
	close(): void {
		this.#isClosed = true;
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/**
	 * Ends the requests that are still open: those whose answer has not begun get an error, and begun answers are broken off.
	 * Resolves when this has been written, at the latest after the flush timeout.
	 */
	async finishOpenRequests(): Promise<void> {
		const {clock} = this.#opts;
		for (const exchange of this.#exchanges) {
			const {response, abortController} = exchange;
			if (!abortController || response.writableEnded) {
				continue;
			}

			this.#endWithError(exchange, 'this instance stops.');
			abortController.abort(dropReasons.stop);
		}

		const until = clock.monotonic() + flushTimeoutMs;
		while ([...this.#exchanges].some(({incoming}) => incoming.complete) && clock.monotonic() < until) {
			await clock.sleep(flushPollMs);
		}
	}

	/** Reports the requests that are still open when the process exits. */
	recordExit(): void {
		for (const exchange of this.#exchanges) {
			this.#recordDropped(exchange, dropReasons.exit);
		}
	}

	async #handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const exchange = this.#recordExchange(incoming, response);
		if (this.#isClosing(incoming.socket)) {
			return;
		}

		try {
			await this.#handleExchange(exchange);
		} catch (error) {
			this.#handleFailure(exchange, error);
		}
	}

	/** Answers 417 and lets the connection close: nobody knows whether the body follows, so no further request can be read. */
	#rejectExpectation(incoming: IncomingMessage, response: ServerResponse): void {
		const exchange = this.#recordExchange(incoming, response);
		if (this.#isClosing(incoming.socket)) {
			return;
		}

		this.#opts.onRejected({
			requestId: this.#readRequestId(incoming), host: incoming.headers.host?.slice(0, maxLoggedCharacters), path: readLoggedPath(incoming), reason: 'unmet-expectation',
		});
		this.#announceClose(exchange);
		sendProblem(response, {status: 417, code: 'unmet-expectation', detail: 'The server supports no expectation other than 100-continue.'});
	}

	async #handleExchange(exchange: OpenExchange): Promise<void> {
		const {incoming, response} = exchange;
		if (this.#isClosed || this.#stoppingSince !== undefined) {
			this.#announceClose(exchange);
		}

		const {arrivedAt} = exchange;
		const {clock, drainAcceptMs} = this.#opts;
		const routes = this.#opts.getRoutes();
		const [path] = incoming.url!.split('?', 1);
		const route = routes?.findRoute(incoming.headers.host ?? '', path!);
		const body = await readBody(incoming, routes?.configuration.limits.maxBodyBytes ?? 0);
		const metadata = this.#opts.codec.decodeRequestHeaders(incoming.rawHeaders);
		const reportRejected = (reason: RejectedRequest['reason']) => {
			this.#opts.onRejected({
				requestId: metadata.requestId, host: incoming.headers.host?.slice(0, maxLoggedCharacters), path: path!.slice(0, maxLoggedCharacters), reason, routedVersion: routes?.configuration.version,
			});
		};

		if (body === 'broken') {
			reportRejected('body-broken');
			response.destroy();
			return;
		}

		if (!routes) {
			reportRejected('not-ready');
			this.#sendUnavailable(response, 'not-ready', 'this instance has not confirmed the latest routes yet.');
			return;
		}

		if (!route) {
			reportRejected('no-route');
			sendProblem(response, {status: 404, code: 'no-route', detail: 'No route matches this host and path.'});
			return;
		}

		if (body === 'too-large') {
			reportRejected('body-too-large');
			this.#announceClose(exchange);
			sendProblem(response, {status: 413, code: 'body-too-large', detail: `The body exceeds the limit of ${routes.configuration.limits.maxBodyBytes} bytes.`});
			return;
		}

		await waitForNextRead();
		if (incoming.socket.destroyed || incoming.socket.writableEnded) {
			reportRejected('connection-ended');
			return;
		}

		// A slow body may have begun long before, and what counts is the time that is left.
		if (this.#isClosed || (this.#stoppingSince !== undefined && clock.monotonic() - this.#stoppingSince > drainAcceptMs)) {
			reportRejected('stopping');
			this.#sendUnavailable(response, 'stopping', 'this instance is stopping.');
			return;
		}

		const abortController = new AbortController();
		onClosed(response, () => {
			if (!response.writableFinished) {
				const end = this.#findEnd(exchange);
				abortController.abort(end === 'caller' ? undefined : end);
			}
		});
		const waitMs = Math.min(metadata.waitMs ?? route.timeoutMs, route.timeoutMs);
		exchange.abortController = abortController;
		const service = selectTarget(route, this.#opts.random);
		await this.#opts.forward({
			metadata,
			method: incoming.method!,
			path: incoming.url!,
			body,
			route,
			service,
			arrivedAt,
			deadlineAt: arrivedAt + waitMs,
			routing: {version: routes.configuration.version, timeoutMs: waitMs, timeoutBy: waitMs < route.timeoutMs ? timeoutSources.caller : timeoutSources.route},
			response,
			signal: abortController.signal,
			traits: {
				request: createHash('sha1').update(`${incoming.method} ${incoming.headers.host} ${incoming.url}\n`).update(body).digest('base64'),
				// A part may crash the servers of one service only, or those of all.
				parts: metadata.prompt ? listSharedParts(metadata.prompt).flatMap(({id}) => [`${service}/${id}`, id]) : [],
			},
		});
	}

	/** True if a request of the connection gets no answer any more; it is not passed on. */
	#isClosing(socket: Socket): boolean {
		return socket.writableEnded || this.#closingSockets.has(socket)
			|| [...this.#openExchanges.get(socket) ?? []].some(({response, closesConnection}) => closesConnection && response.headersSent);
	}

	/** Lets the connection close after the response, unless further requests wait behind it: the last response says it then. */
	#announceClose(exchange: OpenExchange): void {
		const exchanges = [...this.#openExchanges.get(exchange.incoming.socket) ?? []];
		if (exchanges.at(-1) !== exchange) {
			return;
		}

		for (const earlier of exchanges) {
			if (earlier.closesConnection && !earlier.response.headersSent && earlier.response.shouldKeepAlive) {
				earlier.closesConnection = false;
				earlier.response.setHeader('connection', 'keep-alive');
			}
		}

		exchange.closesConnection = true;
		exchange.response.setHeader('connection', 'close');
	}

	/** Ends the request whose handling threw an error. It may have run. */
	#handleFailure(exchange: OpenExchange, error: unknown): void {
		const {incoming, response, abortController} = exchange;
		this.#opts.onFailed({requestId: this.#readRequestId(incoming), path: readLoggedPath(incoming), error});
		if (!response.writableEnded) {
			this.#endWithError(exchange, 'this instance failed to handle it.');
		}

		abortController?.abort(dropReasons.error);
	}

	/** Ends a response that is open: with an error if it has not begun, otherwise with a break. */
	#endWithError(exchange: OpenExchange, detail: string): void {
		const {response} = exchange;
		if (response.headersSent) {
			breakOff(response, this.#opts.clock);
			return;
		}

		// A head that could not be written may have left some of its headers.
		for (const name of response.getHeaderNames()) {
			response.removeHeader(name);
		}

		this.#announceClose(exchange);
		sendProblem(response, {status: 502, code: 'may-have-run', detail: `The request may have run: ${detail}`});
	}

	/** Reads the id of a request for a report about it, whatever is wrong with the request. */
	#readRequestId(incoming: IncomingMessage): string | undefined {
		try {
			return this.#opts.codec.decodeRequestHeaders(incoming.rawHeaders).requestId;
		} catch {
			return undefined;
		}
	}

	/** Records the request as open until its response is complete or its connection has closed. */
	#recordExchange(incoming: IncomingMessage, response: ServerResponse): OpenExchange {
		const {socket} = incoming;
		const exchange: OpenExchange = {
			incoming, response, arrivedAt: this.#opts.clock.monotonic(), abortController: undefined, closesConnection: false, keepAliveMs: this.#server.keepAliveTimeout, isReported: false,
		};
		const exchanges = this.#openExchanges.get(socket) ?? new Set();
		this.#openExchanges.set(socket, exchanges.add(exchange));
		this.#exchanges.add(exchange);
		onClosed(response, () => {
			exchanges.delete(exchange);
			this.#exchanges.delete(exchange);
			if (exchanges.size === 0) {
				this.#idleConnections.set(socket, {since: this.#opts.clock.monotonic(), keepAliveMs: exchange.keepAliveMs});
			}

			const end = this.#findEnd(exchange);
			if (!response.writableFinished && end !== 'caller') {
				this.#recordDropped(exchange, end);
			}
		});
		return exchange;
	}

	/**
	 * Closes a connection whose idle timer has expired. The timer is that of the limits at the end of the last response; callers
	 * go by what that response said and by the newest limits, so whichever is longer holds.
	 */
	#checkIdle(socket: Socket): void {
		if (this.#openExchanges.get(socket)?.size) {
			return;
		}

		const {since, keepAliveMs} = this.#idleConnections.get(socket) ?? {since: Number.NEGATIVE_INFINITY, keepAliveMs: 0};
		const closesAt = since + Math.max(keepAliveMs, this.#server.keepAliveTimeout) + keepAliveBufferMs;
		const remainingMs = Math.ceil(closesAt - this.#opts.clock.monotonic());
		if (remainingMs > 0) {
			socket.setTimeout(remainingMs);
			return;
		}

		// A process that has not run for a while finds its timers before the bytes that arrived meanwhile.
		const {bytesRead} = socket;
		setImmediate(() => {
			if (socket.bytesRead === bytesRead) {
				this.#connectionEnds.set(socket, dropReasons.limit);
				socket.destroy();
			}
		});
	}

	/** The caller has ended the connection, unless this side has done so before. */
	#recordCallerEnd(socket: Socket): void {
		if (!socket.writableEnded) {
			this.#connectionEnds.set(socket, 'caller');
		}
	}

	/** Returns why the connection of the exchange has ended. */
	#findEnd({incoming: {socket}, response}: OpenExchange): ConnectionEnd {
		const end = this.#connectionEnds.get(socket);
		if (end) {
			return end;
		}

		if (response.headersSent) {
			return dropReasons.cut;
		}

		if (this.#isClosed) {
			return dropReasons.stop;
		}

		// A connection that ends in an orderly way was ended by the response before.
		return socket.writableEnded ? dropReasons.earlierAnswer : dropReasons.error;
	}

	/** Reports a request once, if it was read whole. */
	#recordDropped(exchange: OpenExchange, reason: DropReason): void {
		const {incoming, arrivedAt, abortController} = exchange;
		if (incoming.complete && !exchange.isReported) {
			exchange.isReported = true;
			this.#opts.onDropped({
				requestId: this.#readRequestId(incoming),
				host: incoming.headers.host?.slice(0, maxLoggedCharacters),
				path: readLoggedPath(incoming),
				reason,
				isForwarded: abortController !== undefined,
				openMs: Math.round(this.#opts.clock.monotonic() - arrivedAt),
			});
		}
	}

	/**
	 * Answers bytes that are no request. While a request of the connection waits for its response, its caller would take that
	 * answer for its own, so the connection closes after the response to that request instead.
	 */
	#handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || this.#closingSockets.has(socket)) {
			// The connection itself failed, or its close was planned after an earlier error.
			if (!socket.writable) {
				this.#recordCallerEnd(socket);
				socket.destroy(error);
			}

			return;
		}

		const status = unreadableStatuses[error.code ?? ''] ?? badRequestStatus;
		this.#opts.onRejected({
			requestId: undefined, host: undefined, path: '', reason: 'unreadable', status,
		});
		this.#closingSockets.add(socket);
		if (this.#connectionEnds.get(socket) !== 'caller') {
			this.#connectionEnds.set(socket, status === timeoutStatus ? dropReasons.limit : dropReasons.unreadable);
		}

		// A request that has not arrived completely is the one that can't be read.
		const response = [...this.#openExchanges.get(socket) ?? []].findLast(({incoming}) => incoming.complete)?.response;
		if (!response) {
			socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
			socket.destroySoon();
			return;
		}

		response.once('close', () => {
			socket.destroySoon();
		});
		if (!response.headersSent) {
			response.setHeader('connection', 'close');
		}
	}

	#sendUnavailable(response: ServerResponse, code: string, detail: string): void {
		sendProblem(response, {
			status: 503, code, detail: `The request has not run: ${detail}`, headers: this.#opts.codec.encodeRetryAfter(this.#opts.notReadyRetryAfterMs),
		});
	}
}

/** Calls the listener when the response is complete or its connection has closed. */
function onClosed(response: ServerResponse, listener: () => void): void {
	const {socket} = response.req;
	let isClosed = false;
	const finish = () => {
		if (!isClosed) {
			isClosed = true;
			socket.off('close', finish);
			listener();
		}
	};

	response.once('close', finish);
	// A response that waits behind another one on its connection does not emit the event when the connection closes.
	socket.once('close', finish);
}

/**
 * Waits until the event loop has read all connections once more. Behind a request that was held up on its way, the end of its
 * connection may have arrived already, and it is reported only then.
 */
async function waitForNextRead(): Promise<void> {
	for (let turns = 0; turns < 2; turns++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

function readLoggedPath(incoming: IncomingMessage): string {
	return incoming.url!.split('?', 1)[0]!.slice(0, maxLoggedCharacters);
}

async function readBody(incoming: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | 'broken'> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of incoming as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size <= maxBytes) {
				chunks.push(chunk);
			}
		}
	} catch {
		return 'broken';
	}

	return size > maxBytes ? 'too-large' : Buffer.concat(chunks);
}
