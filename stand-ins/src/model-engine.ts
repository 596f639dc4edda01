/**
 * A stand-in for a model engine: the completions API with streaming, continuous batching, a prefix cache, cancellation,
 * resumption from a token, orders with or without fencing checks, role changes of a set duration, and fault injection. It
 * keeps a ledger of the requests and orders that it received, against which tests verify the system from outside.
 */
import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {AnswerSource, joinChatMessages} from './expected-answer.js';
import {
	BatchModel, roleFactors, type BatchSpeed, type ModelRole,
} from './batch-model.js';
import {
	compareFenceTokens, formatChunk, readJson, sendJson, type CompletionBody, type FenceToken, type LedgerOrder, type LedgerRequest, type OpenRequest,
} from './engine-messages.js';
import {PrefixCache} from './prefix-cache.js';
import {SendGate} from './send-gate.js';

export const crashMarker = 'CRASH-ENGINE';
export const stallMarker = 'STALL-ENGINE';

const charactersPerToken = 4;
const msPerSecond = 1000;
const defaultStepMs = 5;
const defaultRestartMs = 300;
const defaultRoleChangeMs = 1000;
const crashDelayMs = 20; // The request starts running before it crashes the engine.

export type ModelEngineOptions = {
	clock: Clock;
	models: string[];
	speed: BatchSpeed;
	role?: ModelRole;
	cacheBlocks?: number;
	checksFencing?: boolean;
	/** Duration of a role change in milliseconds. */
	roleChangeMs?: number;
	stepMs?: number;
	/** Delay in milliseconds between a crash and the restart; unused if `onCrash` is set. */
	restartMs?: number;
	onCrash?: () => void;
};

export class ModelEngine {
	readonly orders: LedgerOrder[] = [];
	readonly requests: LedgerRequest[] = [];
	crashes = 0;
	incarnation = randomUUID();
	/** While true, requests stay open but no tokens are sent for them. */
	isSilent = false;
	/** Rate that the engine names in its description; it takes more all the same. */
	maxRequestsPerSecond: number | undefined;
	/** Version of its software that the engine states in its description. */
	softwareVersion: string | undefined;
	readonly #opts: ModelEngineOptions;
	readonly #batch: BatchModel;
	readonly #cache: PrefixCache;
	readonly #openRequests = new Map<string, OpenRequest>();
	readonly #sockets = new Set<Socket>();
	readonly #gate = new SendGate();
	#server: Server | undefined;
	#port = 0;
	#lastStepAt = 0;
	#highestFenceToken: FenceToken | undefined;
	#isChangingRole = false;

	constructor(opts: ModelEngineOptions) {
		this.#opts = opts;
		this.#batch = new BatchModel(opts.speed, opts.role);
		this.#cache = new PrefixCache(opts.cacheBlocks ?? 512);
	}

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	get role(): ModelRole {
		return this.#batch.role;
	}

	get isRunning(): boolean {
		return this.#server !== undefined;
	}

	async start(port = this.#port): Promise<void> {
		const server = createServer((request, response) => {
			void this.#handle(request, response).catch(() => {
				response.destroy();
			});
		});
		server.on('connection', socket => {
			this.#gate.watch(socket);
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, '127.0.0.1', resolve);
		});
		this.#port = (server.address() as AddressInfo).port;
		this.#lastStepAt = this.#opts.clock.monotonic();
		void this.#runSteps(server);
	}

	async stop(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#gate.open();
		this.#batch.clear();
		this.#openRequests.clear();
		await new Promise<void>(resolve => {
			if (server) {
				server.close(() => {
					resolve();
				});
			} else {
				resolve();
			}
		});
	}

	/** Falls silent until `resumeSending`: holds what it would send on all connections, and goes on working. */
	pauseSending(): void {
		this.#gate.close();
	}

	resumeSending(): void {
		this.#gate.open();
	}

	/** Simulates a process crash: all connections are closed and all requests are lost. Without `onCrash`, the engine restarts. */
	crash(): void {
		this.crashes++;
		if (this.#opts.onCrash) {
			this.#opts.onCrash();
			return;
		}

		void this.#restart();
	}

	async #restart(): Promise<void> {
		await this.stop();
		await this.#opts.clock.sleep(this.#opts.restartMs ?? defaultRestartMs);
		this.incarnation = randomUUID();
		this.#cache.clear();
		// Another process may have taken the port in the meantime. The failure is ignored, as the test may have ended by then.
		await this.start().catch(() => undefined);
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url!, 'http://engine');
		if (request.method === 'POST') {
			const body = await readJson(request);
			await this.#handlePost(url.pathname, {request, response, body});
			return;
		}

		if (url.pathname === '/engine/info') {
			sendJson(response, 200, this.#describe());
		} else if (url.pathname.startsWith('/engine/requests/')) {
			const isOpen = this.#openRequests.has(decodeURIComponent(url.pathname.slice('/engine/requests/'.length)));
			sendJson(response, isOpen ? 200 : 404, {});
		} else {
			switch (url.pathname) {
				case '/engine/cache-events': {
					sendJson(response, 200, this.#cache.listEvents(Number(url.searchParams.get('since') ?? 0)));

					break;
				}

				case '/engine/load': {
					sendJson(response, 200, {running: this.#batch.running, waiting: this.#batch.waiting});

					break;
				}

				case '/ledger': {
					sendJson(response, 200, {
						orders: this.orders, requests: this.requests, crashes: this.crashes, incarnation: this.incarnation,
					});

					break;
				}

				case '/v1/models': {
					sendJson(response, 200, {data: this.#opts.models.map(id => ({id}))});

					break;
				}

				default: {
					sendJson(response, 404, {});
				}
			}
		}
	}

	async #handlePost(path: string, call: {request: IncomingMessage; response: ServerResponse; body: unknown}): Promise<void> {
		const {request, response, body} = call;
		switch (path) {
			case '/v1/completions':
			case '/v1/chat/completions': {
				this.#startCompletion(request, response, body as CompletionBody);
				return;
			}

			case '/engine/cancel': {
				this.cancel((body as {request: string}).request);
				sendJson(response, 200, {});
				return;
			}

			case '/engine/orders': {
				await this.#handleOrder(response, body as Omit<LedgerOrder, 'isAccepted'>);
				return;
			}

			case '/fault': {
				const {kind, ms} = body as {kind: string; ms?: number};
				if (kind === 'pause') {
					this.#gate.closeAfter(response, {ms: ms ?? 0, clock: this.#opts.clock});
				} else {
					this.#applyFault(kind);
				}

				sendJson(response, 200, {});
				return;
			}

			default: {
				sendJson(response, 404, {});
			}
		}
	}

	#describe(): unknown {
		const {models, speed, checksFencing} = this.#opts;
		return {
			models, adapters: [], roles: ['mixed', 'prefill', 'decode'], role: this.#batch.role, capacity: speed.capacity,
			prefill_tokens_per_second: speed.prefillTokensPerSecond * roleFactors[this.#batch.role].prefill,
			decode_tokens_per_second: speed.decodeTokensPerSecond * roleFactors[this.#batch.role].decode,
			mixed_prefill_tokens_per_second: speed.prefillTokensPerSecond,
			mixed_decode_tokens_per_second: speed.decodeTokensPerSecond,
			incarnation: this.incarnation, checks_fencing: checksFencing ?? true, max_requests_per_second: this.maxRequestsPerSecond, software_version: this.softwareVersion,
		};
	}

	#startCompletion(request: IncomingMessage, response: ServerResponse, body: CompletionBody): void {
		const isChat = request.url!.includes('/chat/');
		const prompt = isChat ? joinChatMessages(body.messages ?? []) : body.prompt ?? '';
		const id = String(request.headers['x-request-id'] ?? randomUUID());
		const resumedFrom = body.resume_tokens ?? 0;
		const promptTokens = Math.ceil(prompt.length / charactersPerToken);
		const cachedTokens = Math.min(promptTokens, Math.floor(this.#cache.addPrompt(prompt) / charactersPerToken));
		const ledger: LedgerRequest = {
			at: this.#opts.clock.monotonic(), request: id, resumedFrom, promptCharacters: prompt.length, state: 'running',
		};
		this.requests.push(ledger);
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		const openRequest: OpenRequest = {
			id, source: new AnswerSource(prompt), response, next: resumedFrom, isChat, model: body.model, promptTokens, cachedTokens, isStalled: prompt.includes(stallMarker), ledger,
		};
		this.#openRequests.set(id, openRequest);
		this.#batch.add({
			id, priority: body.priority ?? 0, prefillLeft: promptTokens - cachedTokens + resumedFrom, decodeLeft: Math.max(0, (body.max_tokens ?? 16) - resumedFrom), partial: 0,
		});
		response.on('close', () => {
			this.cancel(id);
		});
		if (prompt.includes(crashMarker)) {
			void this.#crashDuring(openRequest);
		}
	}

	async #crashDuring(openRequest: OpenRequest): Promise<void> {
		await this.#opts.clock.sleep(crashDelayMs);
		if (this.#openRequests.get(openRequest.id) === openRequest) {
			this.crash();
		}
	}

	async #runSteps(server: Server): Promise<void> {
		while (this.#server === server) {
			await this.#opts.clock.sleep(this.#opts.stepMs ?? defaultStepMs);
			this.#step();
		}
	}

	#step(): void {
		const now = this.#opts.clock.monotonic();
		const seconds = (now - this.#lastStepAt) / msPerSecond;
		this.#lastStepAt = now;
		if (this.#isChangingRole || this.isSilent) {
			return;
		}

		const {produced, finished} = this.#batch.step(seconds);
		for (const {id, count} of produced) {
			const openRequest = this.#openRequests.get(id);
			if (openRequest && !openRequest.isStalled) {
				this.#writeTokens(openRequest, count);
			}
		}

		for (const id of finished) {
			const openRequest = this.#openRequests.get(id);
			if (openRequest && !openRequest.isStalled) {
				this.#closeRequest(openRequest);
			}
		}
	}

	#writeTokens(openRequest: OpenRequest, count: number): void {
		let text = '';
		for (let index = 0; index < count; index++) {
			text += formatChunk(openRequest, {token: openRequest.source.getToken(openRequest.next + index)});
		}

		openRequest.next += count;
		openRequest.response.write(text);
	}

	#closeRequest(openRequest: OpenRequest): void {
		this.#openRequests.delete(openRequest.id);
		openRequest.ledger.state = 'complete';
		openRequest.response.end(`${formatChunk(openRequest, {finishReason: 'length'})}data: [DONE]\n\n`);
	}

	/** Stops a request and closes its connection. */
	cancel(id: string): void {
		const openRequest = this.#openRequests.get(id);
		if (openRequest) {
			this.#openRequests.delete(id);
			this.#batch.remove(id);
			openRequest.ledger.state = 'cancelled';
			openRequest.response.destroy();
		}
	}

	async #handleOrder(response: ServerResponse, body: Omit<LedgerOrder, 'isAccepted'>): Promise<void> {
		const isStale = this.#opts.checksFencing !== false && this.#highestFenceToken !== undefined && compareFenceTokens(body.fence, this.#highestFenceToken) < 0;
		this.orders.push({...body, isAccepted: !isStale});
		if (isStale) {
			sendJson(response, 409, {error: 'stale fence'});
			return;
		}

		this.#highestFenceToken = body.fence;
		if (body.order.kind === 'set-role' && body.order.role) {
			this.#isChangingRole = true;
			await this.#opts.clock.sleep(this.#opts.roleChangeMs ?? defaultRoleChangeMs);
			this.#batch.role = body.order.role;
			this.#cache.clear();
			this.#isChangingRole = false;
			this.#lastStepAt = this.#opts.clock.monotonic();
		}

		sendJson(response, 200, {});
	}

	#applyFault(kind: string): void {
		switch (kind) {
			case 'crash': {
				this.crash();

				break;
			}

			case 'silence': {
				this.isSilent = true;

				break;
			}

			case 'heal': {
				this.isSilent = false;

				break;
			}
		// No default
		}
	}
}
