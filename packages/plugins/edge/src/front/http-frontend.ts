/**
 * HTTP frontend for callers: reads complete requests within the configured limits, finds their route and forwards them.
 * While the instance stops, connections are closed after their next response.
 */
import {createHash} from 'node:crypto';
import {
	createServer, ServerResponse, STATUS_CODES, type IncomingMessage, type Server,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {ByteAccount} from '@hickorytrack/byte-account';
import type {Clock} from '@hickorytrack/clock';
import {maxDurationMs} from '@hickorytrack/fields';
import {LingeringClose, type CutClose} from '@hickorytrack/lingering-close';
import {breakOff} from '@hickorytrack/lingering-close/break-off';
import {listSharedParts} from '@hickorytrack/prompt-placement/prompt';
import type {Random} from '@hickorytrack/random';
import {selectTarget, type RouteTable} from '@hickorytrack/route-table';
import type {Route} from '@hickorytrack/route-table/route-types';
import {OpenHeads} from '@hickorytrack/lingering-close/open-heads';
import {onClosed} from '@hickorytrack/lingering-close/on-closed';
import type {RequestCodec} from '../request-codec.js';
import {CallerConnections, type OpenExchange} from './caller-connections.js';
import type {DroppedRequest, FailedRequest, RejectedRequest} from './frontend-reports.js';
import {keyDecisions, type KeyCheck} from './key-check.js';
import {BodyReader, bodyEnds} from './body-reader.js';
import {createMeteredResponse} from './metered-response.js';
import {waitForNextRead} from './wait-for-next-read.js';
import {sendProblem} from './responses.js';
import {
	dropReasons, timeoutSources, type CallerRequest, type DropReason,
} from './caller-request.js';

export type HttpFrontendOptions = {
	clock: Clock;
	tasks: BackgroundTasks;
	random: Random;
	codec: RequestCodec;
	/** Bodies are charged to it. */
	account: ByteAccount;
	/** The active routes; undefined until the configuration is confirmed to be the latest. */
	getRoutes: () => RouteTable | undefined;
	keyCheck: KeyCheck;
	forward: (request: CallerRequest) => Promise<void>;
	/** Called for each request that is rejected without being forwarded. */
	onRejected: (rejected: RejectedRequest) => void;
	/** Called for each request that was read whole and whose connection this side ended without a complete answer. */
	onDropped: (dropped: DroppedRequest) => void;
	/** Called for each request whose handling threw an error. */
	onFailed: (failed: FailedRequest) => void;
	/** Called for each connection that was closed before its caller had closed its side. */
	onCut: (cut: CutClose) => void;
	/** Retry-After of 503 responses of the frontend, in milliseconds. */
	notReadyRetryAfterMs: number;
	/** Tells whether callers should connect to other instances: answers then carry `connection: close`. */
	isOutsideReadySet?: () => boolean;
	/** Called for each part of an answer that is written, with its size. */
	onSent?: (bytes: number) => void;
	/** Time from the start of the drain during which requests are still forwarded, in milliseconds. A later one might not end in time. */
	drainAcceptMs: number;
};

/** Status by the error code of the HTTP parser; any other error is a bad request. */
const unreadableStatuses: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	HPE_HEADER_OVERFLOW: 431,
};
const badRequestStatus = 400;

const timeoutStatus = 408;
/** A 401 answer names the scheme of the credentials that it requires (RFC 9110). */
const authenticateHeaders = {'www-authenticate': 'Bearer'};

/** Logged characters of a path or host: enough to identify the route, while a request head may have 64 KB. */
const maxLoggedCharacters = 200;
/** Upper bound for the size of a request head; the configured limit may be lower. */
const maxHeadBytes = 65_536;
/** Added to the idle timeout that callers know, so that no connection is closed while a request is on its way. */
const idleMarginMs = 1000;
const connectionsCheckMs = 1000;
/** Part of the memory for what is held that bounds, beside it, heads that are not complete. */
const headMemoryDivisor = 8;
/** Time for callers to read what a stop writes to them. */
const flushTimeoutMs = 200;
const flushPollMs = 5;

export class HttpFrontend {
	readonly #opts: HttpFrontendOptions;
	readonly #server: Server;
	readonly #bodies: BodyReader;
	readonly #connections: CallerConnections;
	readonly #closes: LingeringClose;
	#stoppingSince: number | undefined;
	#isClosed = false;

	constructor(opts: HttpFrontendOptions) {
		const {tasks} = opts;
		// Called in listeners of sockets, too, where nobody else handles what a report throws.
		this.#opts = {
			...opts,
			onRejected: tasks.createListener('report-rejected', opts.onRejected),
			onDropped: tasks.createListener('report-dropped', opts.onDropped),
			onFailed: tasks.createListener('report-failed', opts.onFailed),
			onCut: tasks.createListener('report-cut', opts.onCut),
		};
		this.#bodies = new BodyReader({clock: opts.clock, part: opts.account.getPart('bodies')});
		this.#server = createServer({
			maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: connectionsCheckMs, noDelay: true, ServerResponse: opts.onSent ? createMeteredResponse(opts.onSent) : ServerResponse,
		}, (request, response) => {
			this.#startHandling(request, response);
		});
		this.#connections = new CallerConnections({
			clock: opts.clock, getKeepAliveMs: () => this.#server.keepAliveTimeout, isStopped: () => this.#isClosed, onDropped: (exchange, reason) => {
				this.#reportDropped(exchange, reason);
			}, endConnection: tasks.createListener('front-idle', (socket: Socket) => {
				this.#closes.end(socket);
			}),
		});
		// Without this, Node.js answers by itself and leaves the connection open for good.
		this.#server.on('checkExpectation', tasks.createListener('front-expectation', (request: IncomingMessage, response: ServerResponse) => {
			this.#rejectExpectation(request, response);
		}));
		this.#closes = new LingeringClose(this.#server, {clock: opts.clock, onCut: this.#opts.onCut});
		new OpenHeads({
			clock: opts.clock, limit: opts.account.limit / headMemoryDivisor, maxHeadBytes, onEnd: socket => {
				this.#endOpenHead(socket);
			},
		}).watch(this.#server);
		this.#server.on('connection', tasks.createListener('front-connection', (socket: Socket) => {
			// Each open request of a connection listens for its close.
			socket.setMaxListeners(0);
			// Before the listener of the server, which may find the bytes before the end unreadable.
			socket.prependListener('end', tasks.createListener('front-end', () => {
				this.#connections.recordCallerEnd(socket);
			}));
		}));
		this.#server.on('timeout', tasks.createListener('front-timeout', (socket: Socket) => {
			this.#connections.checkIdle(socket);
		}));
		this.#server.on('clientError', tasks.createListener('front-client-error', (error: NodeJS.ErrnoException, socket: Duplex) => {
			this.#handleClientError(error, socket as Socket);
		}));
	}

	get openRequests(): number {
		return this.#connections.exchanges.size;
	}

	async listen(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port}, () => {
				// It may fail to accept a connection, for lack of descriptors, and goes on.
				this.#server.on('error', error => {
					this.#opts.tasks.report('front-accept', error);
				});
				resolve();
			});
		});
	}

	/** Applies the limits of a new configuration. */
	applyLimits(limits: {headerTimeoutMs: number; idleTimeoutMs: number}): void {
		this.#server.headersTimeout = Math.round(limits.headerTimeoutMs);
		this.#server.keepAliveTimeout = Math.min(maxDurationMs, limits.idleTimeoutMs + idleMarginMs);
	}

	/** Responses to requests that arrive from now on carry `connection: close`. */
	startDrain(): void {
		this.#stoppingSince = this.#opts.clock.monotonic();
	}

	/** Closes the listener and idle connections. Requests that arrive from now on are refused. */
	close(): void {
		this.#isClosed = true;
		this.#server.close();
	}

	/**
	 * Ends the requests that are still open: those whose answer has not begun get an error, and begun answers are broken off.
	 * Resolves when this, and what callers had not taken yet, has been written, at the latest after this time.
	 */
	async finishOpenRequests(maxMs = flushTimeoutMs): Promise<void> {
		const {clock} = this.#opts;
		for (const exchange of this.#connections.exchanges) {
			const {response, abortController} = exchange;
			if (!abortController || response.writableEnded) {
				continue;
			}

			this.#endWithError(exchange, 'this instance stops.');
			abortController.abort(dropReasons.stop);
		}

		const until = clock.monotonic() + Math.max(flushTimeoutMs, maxMs);
		while ([...this.#connections.exchanges].some(({incoming}) => incoming.complete) && clock.monotonic() < until) {
			await clock.sleep(flushPollMs);
		}
	}

	/** Once it is closed: resolves when the callers have closed their connections too. They are waited for this long. */
	async finishCloses(maxMs: number): Promise<void> {
		await this.#closes.finish(maxMs);
	}

	/** Reports the requests that are still open when the process exits. */
	recordExit(): void {
		for (const exchange of this.#connections.exchanges) {
			this.#connections.reportDropped(exchange, dropReasons.exit);
		}
	}

	/** A request whose failure could not be answered either loses its connection, so that its caller does not wait. */
	#startHandling(incoming: IncomingMessage, response: ServerResponse): void {
		const {tasks} = this.#opts;
		tasks.start('front-request', async () => {
			try {
				await this.#handle(incoming, response);
			} catch (error) {
				response.destroy();
				throw error;
			}
		});
	}

	async #handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const exchange = this.#connections.record(incoming, response);
		if (this.#connections.isClosing(incoming.socket)) {
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
		const exchange = this.#connections.record(incoming, response);
		if (this.#connections.isClosing(incoming.socket)) {
			return;
		}

		this.#opts.onRejected({
			requestId: this.#readRequestId(incoming), host: incoming.headers.host?.slice(0, maxLoggedCharacters), path: readLoggedPath(incoming), reason: 'unmet-expectation',
		});
		this.#connections.announceClose(exchange);
		sendProblem(response, {status: 417, code: 'unmet-expectation', detail: 'The server supports no expectation other than 100-continue.'});
	}

	async #handleExchange(exchange: OpenExchange): Promise<void> {
		const {incoming, response} = exchange;
		if (this.#isClosed || this.#stoppingSince !== undefined || this.#opts.isOutsideReadySet?.()) {
			this.#connections.announceClose(exchange);
		}

		const {arrivedAt} = exchange;
		const {clock, drainAcceptMs, keyCheck} = this.#opts;
		const routes = this.#opts.getRoutes();
		const [path] = incoming.url!.split('?', 1);
		const route = routes?.findRoute(incoming.headers.host ?? '', path!);
		const {hasWorkspaces} = keyCheck;
		const metadata = this.#opts.codec.decodeRequestHeaders(incoming.rawHeaders, {hasWorkspaces});
		const waitMs = route ? Math.min(metadata.waitMs ?? route.timeoutMs, route.timeoutMs) : 0;
		const isRefused = route !== undefined && keyCheck.decide(route, incoming.rawHeaders).kind !== keyDecisions.admitted;
		const body = await this.#bodies.read(exchange, {maxBytes: isRefused ? 0 : routes?.configuration.limits.maxBodyBytes ?? 0, waitMs});
		const reportRejected = (reason: RejectedRequest['reason']) => {
			this.#opts.onRejected({
				requestId: metadata.requestId, host: incoming.headers.host?.slice(0, maxLoggedCharacters), path: path!.slice(0, maxLoggedCharacters), reason, routedVersion: routes?.configuration.version,
			});
		};

		if (body === bodyEnds.broken) {
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

		if (body === bodyEnds.noRoom) {
			reportRejected('no-room');
			this.#sendUnavailable(response, 'no-room', 'this instance has no memory left for its body.');
			return;
		}

		if (body === bodyEnds.slow) {
			reportRejected('body-slow');
			this.#connections.announceClose(exchange);
			sendProblem(response, {status: 408, code: 'body-slow', detail: 'The request has not run: its body arrived too slowly.'});
			return;
		}

		if (isRefused) {
			await this.#sendKeyRefusal(exchange, {route, waitMs: arrivedAt + waitMs - clock.monotonic(), reportRejected});
			return;
		}

		if (body === bodyEnds.tooLarge) {
			reportRejected('body-too-large');
			this.#connections.announceClose(exchange);
			sendProblem(response, {status: 413, code: 'body-too-large', detail: `The body exceeds the limit of ${routes.configuration.limits.maxBodyBytes} bytes.`});
			return;
		}

		await waitForNextRead();
		await this.#connections.waitForEarlier(exchange);
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

		if (clock.monotonic() >= arrivedAt + waitMs) {
			reportRejected('deadline-passed');
			this.#sendUnavailable(response, 'deadline-passed', 'its time had passed before it could be sent on.');
			return;
		}

		// The configuration and the lease of this moment count, not those of the moment at which the body began.
		const decision = keyCheck.decide(route, incoming.rawHeaders);
		if (decision.kind !== keyDecisions.admitted || keyCheck.hasWorkspaces !== hasWorkspaces) {
			await this.#sendKeyRefusal(exchange, {route, waitMs: arrivedAt + waitMs - clock.monotonic(), reportRejected});
			return;
		}

		const abortController = new AbortController();
		onClosed(response, () => {
			if (!response.writableFinished) {
				const end = this.#connections.findEnd(exchange);
				abortController.abort(end === 'caller' ? undefined : end);
			}
		});
		exchange.abortController = abortController;
		const service = selectTarget(route, this.#opts.random);
		await this.#opts.forward({
			metadata,
			method: incoming.method!,
			path: incoming.url!,
			body,
			route,
			service,
			workspace: decision.workspace,
			priority: decision.priority,
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

	/** Answers 401 if no configuration that may be in force knows the caller's key, and otherwise tells the caller to come back. */
	async #sendKeyRefusal({incoming, response}: OpenExchange, {route, waitMs, reportRejected}: {route: Route; waitMs: number; reportRejected: (reason: RejectedRequest['reason']) => void}): Promise<void> {
		const {keyCheck} = this.#opts;
		const {kind} = keyCheck.decide(route, incoming.rawHeaders);
		if (kind === keyDecisions.unknown && await keyCheck.confirmUnknown(route, incoming.rawHeaders, waitMs)) {
			reportRejected('unknown-key');
			sendProblem(response, {
				status: 401, code: 'unknown-key', detail: 'The request has not run: it bears no key of a workspace.', headers: authenticateHeaders,
			});
			return;
		}

		if (kind === keyDecisions.unleased) {
			reportRejected('no-lease');
			this.#sendUnavailable(response, 'no-lease', 'the core has not confirmed the keys of this instance for too long.');
			return;
		}

		reportRejected('key-unconfirmed');
		this.#sendUnavailable(response, 'key-unconfirmed', 'the core has not confirmed yet which keys are in force.');
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

		this.#connections.announceClose(exchange);
		sendProblem(response, {status: 502, code: 'may-have-run', detail: `The request may have run: ${detail}`});
	}

	/**
	 * Answers bytes that are no request. While a request of the connection waits for its response, its caller would take that
	 * answer for its own, so the connection closes after the response to that request instead.
	 */
	#handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (this.#closes.has(socket)) {
			return;
		}

		if (!socket.writable || this.#connections.closesAfterError(socket)) {
			// The connection itself failed, or its close was planned after an earlier error.
			if (!socket.writable) {
				this.#connections.recordCallerEnd(socket);
				socket.destroy(error);
			}

			return;
		}

		const status = unreadableStatuses[error.code ?? ''] ?? badRequestStatus;
		this.#opts.onRejected({
			requestId: undefined, host: undefined, path: '', reason: 'unreadable', status,
		});
		const response = this.#connections.closeAfterResponses(socket, status === timeoutStatus ? dropReasons.limit : dropReasons.unreadable);
		if (!response) {
			socket.end(formatRefusal(status));
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

	/** Ends a connection at once, since what it costs is released with it. Its request has not run. */
	#endOpenHead(socket: Socket): void {
		this.#opts.onRejected({
			requestId: undefined, host: undefined, path: '', reason: 'no-room', status: timeoutStatus,
		});
		socket.end(formatRefusal(timeoutStatus), () => {
			socket.destroy();
		});
	}

	#sendUnavailable(response: ServerResponse, code: string, detail: string): void {
		sendProblem(response, {
			status: 503, code, detail: `The request has not run: ${detail}`, headers: this.#opts.codec.encodeRetryAfter(this.#opts.notReadyRetryAfterMs),
		});
	}

	#reportDropped({incoming, arrivedAt, abortController}: OpenExchange, reason: DropReason): void {
		this.#opts.onDropped({
			requestId: this.#readRequestId(incoming),
			host: incoming.headers.host?.slice(0, maxLoggedCharacters),
			path: readLoggedPath(incoming),
			reason,
			isForwarded: abortController !== undefined,
			openMs: Math.round(this.#opts.clock.monotonic() - arrivedAt),
		});
	}

	/** Reads the id of a request for a report about it, whatever is wrong with the request. */
	#readRequestId(incoming: IncomingMessage): string | undefined {
		try {
			return this.#opts.codec.decodeRequestHeaders(incoming.rawHeaders).requestId;
		} catch {
			return undefined;
		}
	}
}

function formatRefusal(status: number): string {
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`;
}

function readLoggedPath(incoming: IncomingMessage): string {
	return incoming.url!.split('?', 1)[0]!.slice(0, maxLoggedCharacters);
}
