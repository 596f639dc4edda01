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
import type {Random} from '@hickorytrack/random';
import {selectTarget, type RouteTable} from '@hickorytrack/route-table';
import {sendProblem} from './responses.js';
import type {CallerRequest} from './caller-request.js';
import type {RequestCodec} from './request-codec.js';

export type HttpFrontendOptions = {
	clock: Clock;
	random: Random;
	codec: RequestCodec;
	/** The active routes; undefined until the configuration is confirmed to be the latest. */
	getRoutes: () => RouteTable | undefined;
	forward: (request: CallerRequest) => Promise<void>;
	/** Called for each request that is rejected without being forwarded. */
	onRejected: (rejected: RejectedRequest) => void;
	/** Retry-After of 503 responses of the frontend, in milliseconds. */
	notReadyRetryAfterMs: number;
};

/** A request that the frontend answered or dropped without forwarding it. */
export type RejectedRequest = {
	requestId: string | undefined;
	host: string | undefined;
	path: string;
	/** `unreadable` for bytes that are no request, or no complete one in time; no id, host or path is known of them. */
	reason: 'body-broken' | 'not-ready' | 'no-route' | 'body-too-large' | 'stopping' | 'unreadable';
	/** Status of the answer to unreadable bytes. */
	status?: number;
};

type OpenExchange = {
	incoming: IncomingMessage;
	response: ServerResponse;
};

/** Status by the error code of the HTTP parser; any other error is a bad request. */
const unreadableStatuses: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	HPE_HEADER_OVERFLOW: 431,
};
const badRequestStatus = 400;

/** Logged characters of a path or host: enough to identify the route, while a request head may have 64 KB. */
const maxLoggedCharacters = 200;
/** Upper bound for the size of a request head; the configured limit may be lower. */
const maxHeadBytes = 65_536;
/** Added to the idle timeout that callers know, so that no connection is closed while a request is on its way. */
const idleMarginMs = 1000;
const connectionsCheckMs = 1000;
/** Requests that arrive later than this after the start of the drain are refused; they might not end in time. */
const drainAcceptWindowMs = 2500;

export class HttpFrontend {
	readonly #opts: HttpFrontendOptions;
	readonly #server: Server;
	/** Requests of each connection whose responses are open, in the order of their arrival. */
	readonly #openExchanges = new WeakMap<Socket, Set<OpenExchange>>();
	/** Connections that close after their open responses; no further request of them is read. */
	readonly #closingSockets = new WeakSet<Socket>();
	#stoppingSince: number | undefined;
	#openRequests = 0;

	constructor(opts: HttpFrontendOptions) {
		this.#opts = opts;
		this.#server = createServer({maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: connectionsCheckMs, noDelay: true}, (request, response) => {
			void this.#handle(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			// Each open request of a connection listens for its close.
			socket.setMaxListeners(0);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#handleClientError(error, socket as Socket);
		});
	}

	get openRequests(): number {
		return this.#openRequests;
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

	/** Closes the listener and idle connections. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	async #handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#closingSockets.has(incoming.socket)) {
			return;
		}

		this.#recordExchange({incoming, response});
		if (this.#stoppingSince !== undefined) {
			response.setHeader('connection', 'close');
		}

		const arrivedAt = this.#opts.clock.monotonic();
		const routes = this.#opts.getRoutes();
		const [path] = incoming.url!.split('?', 1);
		const route = routes?.findRoute(incoming.headers.host ?? '', path!);
		const body = await readBody(incoming, routes?.configuration.limits.maxBodyBytes ?? 0);
		const metadata = this.#opts.codec.decodeRequestHeaders(incoming.rawHeaders);
		const reportRejected = (reason: RejectedRequest['reason']) => {
			this.#opts.onRejected({
				requestId: metadata.requestId, host: incoming.headers.host?.slice(0, maxLoggedCharacters), path: path!.slice(0, maxLoggedCharacters), reason,
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
			sendProblem(response, {
				status: 413, code: 'body-too-large', detail: `The body exceeds the limit of ${routes.configuration.limits.maxBodyBytes} bytes.`, headers: {connection: 'close'},
			});
			return;
		}

		if (this.#stoppingSince !== undefined && arrivedAt - this.#stoppingSince > drainAcceptWindowMs) {
			reportRejected('stopping');
			this.#sendUnavailable(response, 'stopping', 'this instance is stopping.');
			return;
		}

		const abortController = new AbortController();
		onClosed(response, () => {
			if (!response.writableFinished) {
				abortController.abort();
			}
		});
		const waitMs = Math.min(metadata.waitMs ?? route.timeoutMs, route.timeoutMs);
		await this.#opts.forward({
			metadata,
			method: incoming.method!,
			path: incoming.url!,
			body,
			route,
			service: selectTarget(route, this.#opts.random),
			arrivedAt,
			deadlineAt: arrivedAt + waitMs,
			response,
			signal: abortController.signal,
			fingerprint: createHash('sha1').update(`${incoming.method} ${incoming.headers.host} ${incoming.url}\n`).update(body).digest('base64'),
		});
	}

	/** Records the request as open until its response is complete or its connection has closed. */
	#recordExchange(exchange: OpenExchange): void {
		const {socket} = exchange.incoming;
		const exchanges = this.#openExchanges.get(socket) ?? new Set();
		this.#openExchanges.set(socket, exchanges.add(exchange));
		this.#openRequests++;
		onClosed(exchange.response, () => {
			exchanges.delete(exchange);
			this.#openRequests--;
		});
	}

	/**
	 * Answers bytes that are no request. While a request of the connection waits for its response, its caller would take that
	 * answer for its own, so the connection closes after the response to that request instead.
	 */
	#handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable || this.#closingSockets.has(socket)) {
			// The connection itself failed, or its close was planned after an earlier error.
			if (!socket.writable) {
				socket.destroy(error);
			}

			return;
		}

		const status = unreadableStatuses[error.code ?? ''] ?? badRequestStatus;
		this.#opts.onRejected({
			requestId: undefined, host: undefined, path: '', reason: 'unreadable', status,
		});
		this.#closingSockets.add(socket);
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
