/**
 * The HTTP server for callers and the load balancer. Each request is one task: authenticate, check the limits of the
 * contract, run, respond. Every response carries the request id.
 */
import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import findMyWay, {type HTTPMethod} from 'find-my-way';
import {err, ok, type Result} from 'neverthrow';
import {waitWithTimeout} from '@hickorytrack/clock';
import {HickorytrackError} from '@hickorytrack/errors';
import {LingeringClose} from '@hickorytrack/lingering-close';
import {breakOff} from '@hickorytrack/lingering-close/break-off';
import {CallerConnections} from '@hickorytrack/lingering-close/caller-connections';
import {onClosed} from '@hickorytrack/lingering-close/on-closed';
import type {PeerAddress} from '@hickorytrack/peer-link/peer-node';
import {computeFingerprint} from '@hickorytrack/quarantine/fingerprint';
import type {RunState} from '@hickorytrack/types/work';
import {findRule} from './call-rules.js';
import {GenerationCall, type GenerationServices} from './generation-call.js';
import {
	formatResponse, formatChunk, formatStreamEnd, formatStreamError, parseModelRequest, type CompletionMetadata, type ModelApiName, type ParsedModelRequest,
} from './model-api.js';
import {createProblem, type Problem, type ProblemCode} from './problem.js';
import {readBody} from './request-body.js';
import {getRunStateBeforeClaim} from './run-state.js';
import {sendServiceAnswer} from './service-answer.js';
import {ServiceCall} from './service-call.js';
import type {Workspace, WorkspaceDirectory} from './workspace-directory.js';

const headerTimeoutMs = 10_000;
const bodyTimeoutMs = 15_000;
const maximumHeaderBytes = 16 * 1024;
const defaultRetryAfterMs = 1000;
/** Time for callers to read the errors that a stop writes to them. */
const flushTimeoutMs = 200;
const serviceMethods: HTTPMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'];

type Call = {
	request: IncomingMessage;
	response: ServerResponse;
	requestId: string;
	/** Monotonic time of arrival. */
	arrivedAt: number;
	/** Aborts when the caller disconnects, or the stop of the entry ends the call. */
	signal: AbortSignal;
	abort: () => void;
	/** Resolves when the answer has been sent or the caller has disconnected. */
	closed: Promise<void>;
};

export type CallerApiOptions = {
	services: GenerationServices;
	workspaces: WorkspaceDirectory;
	/** Returns whether new work may be accepted. */
	isReady: () => boolean;
};

export class CallerApi {
	readonly #opts: CallerApiOptions;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #closes: LingeringClose;
	readonly #router = findMyWay({
		defaultRoute: (request, response) => {
			this.#reject(this.#createCall(request, response), 'not-found');
		},
	});

	#inFlight = 0;
	/** Calls whose handler runs. */
	readonly #openCalls = new Set<Call>();
	#isDraining = false;
	/** Monotonic time from which calls are rejected, in milliseconds. */
	#rejectsFrom = Number.POSITIVE_INFINITY;

	constructor(opts: CallerApiOptions) {
		this.#opts = opts;
		this.#addRoutes();
		this.#server = createServer({
			headersTimeout: headerTimeoutMs, requestTimeout: 0, maxHeaderSize: maximumHeaderBytes, keepAliveTimeout: 60_000, noDelay: true,
		}, (request, response) => {
			void this.#startCall(request, response);
		});
		// The body may not follow, so that no further call of the connection can be read.
		this.#server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
			if (this.#connections.recordCall(request, response)) {
				const call = this.#createCall(request, response);
				this.#connections.announceClose(request, response);
				this.#reject(call, 'unmet-expectation');
			}
		});
		this.#closes = new LingeringClose(this.#server, {
			clock: this.#clock, onCut(cut) {
				opts.services.context.events.emit('closeCut', {address: 'callers', ...cut});
			},
		});
		this.#connections = new CallerConnections(this.#server, this.#closes);
	}

	/** Calls that run, or whose answers have not been sent whole. */
	get inFlight(): number {
		return this.#inFlight;
	}

	async listen(address: PeerAddress): Promise<Result<void, HickorytrackError>> {
		return new Promise(resolve => {
			this.#server.once('error', error => {
				resolve(err(new HickorytrackError('ERR_HICKORYTRACK_LISTEN', `Can't listen for callers on ${address.host}:${address.port}: ${error.message}`, {cause: error, hint: 'Choose another --caller-listen.'})));
			});
			this.#server.listen(address.port, address.host, () => {
				resolve(ok(undefined));
			});
		});
	}

	/** Makes the readiness check fail. Calls are served for this time and rejected after it, because they might not end before the stop. */
	startDraining(acceptMs: number): void {
		this.#isDraining = true;
		this.#rejectsFrom = this.#clock.monotonic() + acceptMs;
	}

	/** Ends the calls that are still open with an error. Resolves when their callers have it, or after the flush timeout. */
	async finishOpenCalls(): Promise<void> {
		this.#rejectsFrom = Number.NEGATIVE_INFINITY;
		const calls = [...this.#openCalls];
		for (const call of calls) {
			if (!call.response.writableEnded) {
				this.#reject(call, 'answer-lost', {run: 'may-have-run'});
			}

			call.abort();
		}

		await waitWithTimeout(Promise.all(calls.map(async ({closed}) => closed)), flushTimeoutMs, this.#clock);
	}

	/** Closes the listener and all connections. Callers that have not read their answers are waited for this long. */
	async stop(maxMs = 0): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		await this.#closes.finish(maxMs);
		this.#server.closeAllConnections();
		await closed;
	}

	#addRoutes(): void {
		this.#router.on('GET', '/healthz', (_request, response) => {
			response.writeHead(200).end('alive\n');
		});
		this.#router.on('GET', '/readyz', (_request, response) => {
			const isReady = this.#opts.isReady() && !this.#isDraining;
			response.writeHead(isReady ? 200 : 503).end(isReady ? 'ready\n' : 'not ready\n');
		});
		this.#router.on('POST', '/v1/chat/completions', (request, response) => {
			void this.#handleRequest(request, response, async (call, workspace) => this.#handleGeneration(call, workspace, 'chat'));
		});
		this.#router.on('POST', '/v1/completions', (request, response) => {
			void this.#handleRequest(request, response, async (call, workspace) => this.#handleGeneration(call, workspace, 'completions'));
		});
		this.#router.on('GET', '/v1/models', (request, response) => {
			void this.#handleRequest(request, response, async (call, workspace) => {
				this.#sendModels(call, workspace);
			});
		});
		this.#router.on(serviceMethods, '/services/:name/*', (request, response, params) => {
			void this.#handleRequest(request, response, async (call, workspace) => this.#handleServiceCall(call, workspace, params.name!));
		});
	}

	/** Calls of one connection run one after the other, as an answer may end the connection. */
	async #startCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (!this.#connections.recordCall(request, response)) {
			return;
		}

		// A drain does not end while a call waits for its turn.
		this.#inFlight++;
		if (await this.#connections.waitForEarlier(request, response)) {
			this.#router.lookup(request, response);
		} else {
			this.#opts.services.context.metrics.count('entry.requests', {outcome: 'connection-ended'});
		}

		this.#inFlight--;
	}

	#createCall(request: IncomingMessage, response: ServerResponse): Call {
		const requestedId = request.headers['x-request-id'];
		const requestId = typeof requestedId === 'string' && /^[\w.-]{1,64}$/.test(requestedId) ? requestedId : randomUUID();
		const disconnected = new AbortController();
		const closed = new Promise<void>(resolve => {
			onClosed(response, () => {
				if (!response.writableFinished) {
					disconnected.abort();
				}

				resolve();
			});
		});
		response.setHeader('x-request-id', requestId);
		return {
			request, response, requestId, arrivedAt: this.#clock.monotonic(), signal: disconnected.signal, abort() {
				disconnected.abort();
			}, closed,
		};
	}

	/** Authenticates the caller, checks the limits of its workspace and runs the handler. */
	async #handleRequest(request: IncomingMessage, response: ServerResponse, handler: (call: Call, workspace: Workspace) => Promise<void>): Promise<void> {
		const call = this.#createCall(request, response);
		const key = /^Bearer (?<key>\S+)$/.exec(request.headers.authorization ?? '')?.groups?.key;
		if (key === undefined) {
			this.#reject(call, 'missing-key');
			return;
		}

		if (this.#isDraining) {
			this.#connections.announceClose(request, response);
		}

		const workspace = this.#opts.workspaces.find(key);
		if (!this.#opts.isReady() || this.#isRejecting) {
			this.#reject(call, 'not-ready', {retryAfterMs: defaultRetryAfterMs});
			return;
		}

		if (!workspace) {
			this.#reject(call, 'unknown-key');
			return;
		}

		const waitMs = workspace.acquireRateToken();
		if (waitMs > 0 || workspace.isAtConcurrencyLimit) {
			this.#reject(call, waitMs > 0 ? 'rate-limited' : 'concurrency-limited', {retryAfterMs: waitMs || defaultRetryAfterMs});
			return;
		}

		await this.#runHandler(call, workspace, handler);
	}

	async #runHandler(call: Call, workspace: Workspace, handler: (call: Call, workspace: Workspace) => Promise<void>): Promise<void> {
		const {context} = this.#opts.services;
		workspace.inFlight++;
		this.#inFlight++;
		this.#openCalls.add(call);
		context.metrics.gauge('entry.in_flight', this.#inFlight);
		try {
			await context.steps.onStep('request.authenticated', context.settings.instance);
			await handler(call, workspace);
		} catch (error) {
			context.events.emit('unexpectedError', {requestId: call.requestId, error: String(error)});
			if (call.response.writableEnded) {
				// The stop of the entry has ended the call.
			} else if (call.response.headersSent) {
				breakOff(call.response, this.#clock);
			} else {
				this.#reject(call, 'answer-lost', {run: 'may-have-run'});
			}
		} finally {
			workspace.inFlight--;
			this.#openCalls.delete(call);
			void call.closed.then(() => {
				this.#inFlight--;
			});
		}
	}

	async #handleGeneration(call: Call, workspace: Workspace, api: ModelApiName): Promise<void> {
		const body = await this.#readBody(call, workspace);
		if (body === undefined) {
			return;
		}

		const parsed = parseModelRequest(api, body);
		if (parsed.isErr()) {
			this.#reject(call, 'bad-request', {detail: parsed.error});
			return;
		}

		const request = parsed.value;
		if (!workspace.contract.models.includes(request.model)) {
			this.#reject(call, 'model-not-allowed', {detail: request.model});
			return;
		}

		await this.#runGeneration(call, workspace, request);
	}

	async #runGeneration(call: Call, workspace: Workspace, request: ParsedModelRequest): Promise<void> {
		const {services} = this.#opts;
		const metadata: CompletionMetadata = {
			api: request.api, requestId: call.requestId, model: request.model, createdAt: this.#clock.now(),
		};
		const texts: string[] = [];
		let hasFirstPiece = false;
		const generation = new GenerationCall(services, {
			...request, requestId: call.requestId, workspace, fingerprint: computeFingerprint(workspace.contract.workspace, request.body),
		}, {
			signal: call.signal,
			onTexts: async newTexts => {
				if (!hasFirstPiece) {
					hasFirstPiece = true;
					services.context.metrics.time('entry.first_token_ms', this.#clock.monotonic() - call.arrivedAt, {workspace: workspace.contract.workspace});
				}

				if (request.isStreamed) {
					await this.#writeChunks(call, metadata, newTexts);
				} else {
					texts.push(...newTexts);
				}
			},
		});
		const result = await generation.run();
		if (call.response.writableEnded) {
			// The stop of the entry has ended the call.
		} else if (result.kind === 'refused') {
			this.#sendProblem(call, result.problem);
		} else if (result.kind === 'caller-gone') {
			services.context.events.emit('callerLost', {requestId: call.requestId});
			call.response.destroy();
		} else {
			await services.context.steps.onStep('request.last-piece', services.context.settings.instance);
			this.#countRequest(workspace, 'answered');
			if (request.isStreamed) {
				this.#openStream(call);
				call.response.end(formatStreamEnd(metadata, result.usage));
			} else {
				call.response.writeHead(200, {'content-type': 'application/json'}).end(formatResponse(metadata, texts.join(''), result.usage));
			}

			await services.context.steps.onStep('request.answered', services.context.settings.instance);
		}
	}

	/** Writes pieces that arrived together in one write and waits until the send buffer has space again. */
	async #writeChunks(call: Call, metadata: CompletionMetadata, texts: readonly string[]): Promise<void> {
		if (call.response.writableEnded) {
			return;
		}

		this.#openStream(call);
		const hasBufferSpace = call.response.write(texts.map(text => formatChunk(metadata, text)).join(''));
		if (!hasBufferSpace && !call.signal.aborted) {
			await waitForDrain(call.response);
		}
	}

	#openStream(call: Call): void {
		if (!call.response.headersSent) {
			call.response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		}
	}

	#sendModels(call: Call, workspace: Workspace): void {
		const data = workspace.contract.models.map(id => ({id, object: 'model', owned_by: 'hickorytrack'}));
		call.response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({object: 'list', data}));
	}

	async #handleServiceCall(call: Call, workspace: Workspace, name: string): Promise<void> {
		const {request} = call;
		const path = request.url!.slice(`/services/${name}`.length);
		const rule = findRule(workspace, {name, method: request.method!, path});
		if (!rule) {
			this.#reject(call, 'call-not-allowed', {detail: `${request.method} ${path} of ${name}`});
			return;
		}

		const key = request.headers['idempotency-key'];
		if (!rule.repeatable && (typeof key !== 'string' || key === '' || key.length > 256)) {
			this.#reject(call, 'idempotency-key-required');
			return;
		}

		const body = await this.#readBody(call, workspace);
		if (body === undefined) {
			return;
		}

		await this.#runServiceCall(call, workspace, {
			name, path, body, repeatable: rule.repeatable, key: rule.repeatable ? undefined : String(key),
		});
	}

	async #runServiceCall(call: Call, workspace: Workspace, opts: {name: string; path: string; body: string; repeatable: boolean; key?: string}): Promise<void> {
		const {request, response, requestId} = call;
		const {name, path, body, repeatable, key} = opts;
		const result = await new ServiceCall(this.#opts.services, {
			requestId, workspace, service: name, method: request.method!, path, body, repeatable, key,
			contentType: request.headers['content-type'] ?? 'application/octet-stream',
			fingerprint: computeFingerprint(workspace.contract.workspace, [name, request.method, path, body]),
		}, call.signal).run();
		if (response.writableEnded) {
			// The stop of the entry has ended the call.
		} else if (result.kind === 'refused') {
			this.#sendProblem(call, result.problem);
		} else if (result.kind === 'caller-gone') {
			response.destroy();
		} else {
			this.#countRequest(workspace, 'answered');
			sendServiceAnswer(response, result.answer, {isReplayed: result.replayed});
			await this.#opts.services.context.steps.onStep('request.answered', this.#opts.services.context.settings.instance);
		}
	}

	/** Reads the body. If it exceeds the contract's size limit or the timeout, rejects the call and returns `undefined`. */
	async #readBody(call: Call, workspace: Workspace): Promise<string | undefined> {
		const body = await readBody(call.request, {maxBytes: workspace.contract.limits.bodyBytes, timeoutMs: bodyTimeoutMs, clock: this.#clock});
		if (body.isOk() && this.#isRejecting) {
			this.#connections.announceClose(call.request, call.response);
			this.#reject(call, 'not-ready', {retryAfterMs: defaultRetryAfterMs});
			return undefined;
		}

		if (body.isOk()) {
			return body.value;
		}

		if (body.error.code !== 'body-broken') {
			this.#rejectAndClose(call, body.error.code, body.error.limit);
		}

		return undefined;
	}

	/** Rejects a request whose body is still arriving and closes the connection, which can't be reused. */
	#rejectAndClose(call: Call, code: ProblemCode, limit: number): void {
		call.response.setHeader('connection', 'close');
		this.#reject(call, code, {detail: `The limit is ${limit}`});
	}

	/** Rejects a call whose claim, if it has one, has not been read. */
	#reject(call: Call, code: ProblemCode, opts: {detail?: string; retryAfterMs?: number; run?: RunState} = {}): void {
		this.#sendProblem(call, createProblem(code, {requestId: call.requestId, run: getRunStateBeforeClaim(call.request), ...opts}));
	}

	#sendProblem(call: Call, problem: Problem): void {
		const {context} = this.#opts.services;
		context.events.emit('requestRefused', {requestId: problem.requestId, code: problem.code, run: problem.run});
		context.metrics.count('entry.requests', {outcome: problem.code});
		if (call.response.headersSent) {
			context.events.emit('answerBroken', {requestId: problem.requestId, code: problem.code});
			call.response.end(formatStreamError(problem));
			return;
		}

		const headers: Record<string, string> = {'content-type': 'application/problem+json'};
		if (problem.retryAfter !== undefined) {
			headers['retry-after'] = String(problem.retryAfter);
		}

		call.response.writeHead(problem.status, headers).end(JSON.stringify(problem));
	}

	#countRequest(workspace: Workspace, outcome: string): void {
		this.#opts.services.context.metrics.count('entry.requests', {outcome, workspace: workspace.contract.workspace});
	}

	get #isRejecting(): boolean {
		return this.#clock.monotonic() >= this.#rejectsFrom;
	}

	get #clock() {
		return this.#opts.services.context.clock;
	}
}

/** Resolves when the send buffer has space again or the connection is closed. */
async function waitForDrain(response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.on('drain', finish);
		response.on('close', finish);
	});
}
