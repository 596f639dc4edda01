/**
 * A stand-in for a server of the users' platform, as their documentation describes it: it answers with a response stamp and
 * the id of the request, checks that it is the instance that the request expects, runs prefill as a separate stage that
 * hands out KV cache handles, streams events, and resumes a stream after the last event that the client received. It
 * supports fault injection.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {AnswerBreaker, type AnswerBreak} from './answer-breaker.js';
import {AnswerHold} from './answer-hold.js';
import {AnswerRepeater} from './answer-repeater.js';

export const platformFaults = {
	none: 'none',
	/** Resets the connection after the request has run. */
	reset: 'reset',
	/** Crashes while the request runs: all connections are reset and the server stops listening. */
	crash: 'crash',
	/** Answers 503 with `x-not-executed` because it has no capacity. */
	full: 'full',
	/** Runs the request and sends no response. */
	silent: 'silent',
	/** Answers with the id of another request. */
	foreign: 'foreign',
	/** Resets the connection of a stream after two events, in the middle of the third. */
	cut: 'cut',
	/** Answers 500 after the request has run. */
	failing: 'failing',
	/** Answers 503 after the request has run, without `x-not-executed`. */
	unstated: 'unstated',
	/** Sends each answer again just before the next answer on the same connection. */
	stutter: 'stutter',
} as const;
export type PlatformFault = typeof platformFaults[keyof typeof platformFaults];

export type AnswerFraming = 'length' | 'chunks' | 'connection';

/** Where in its work on a request a server falls silent: before its answer, behind the head of a stream, or behind that many events. */
export type PausePoint = 'request' | 'head' | number;

/** Where in its answer a server crashes, and how the connections of its process end. */
export type CrashPoint = 'request' | 'head' | 'event' | 'inside-event';
export type CrashEnd = 'close' | 'reset';

export type CrashingPart = {
	/** Id of the part; a server crashes when it begins to write an answer to any prompt that contains it. */
	id: string;
	at: CrashPoint;
	end: CrashEnd;
	/** A server crashes already when it prefills the part. */
	isPrefill?: boolean;
};

/** What a server writes to the connection in place of its answer, as it stands. */
export type ScriptedAnswer = {
	/** Written one after the other, with a pause behind each. */
	segments: string[];
	/** Time between two segments, in milliseconds. */
	pauseMs?: number;
	/** What follows the last segment; `crash` ends all connections of the server in an orderly way, and its listener. */
	end: 'open' | 'close' | 'reset' | 'crash';
};

export type PlatformServerOptions = {
	id: string;
	clock: Clock;
	stage?: 'prefill' | 'decode';
	/** Value of `retry-after` in answers with status 503; they have none without it. */
	retryAfterSeconds?: number | string;
	/** Start time that the server reports, in milliseconds; without it, each start must have an id of its own. */
	startedAt?: number;
	/** Version of its software; if given, each event names it. Servers of different versions can't go on with each other's streams, and don't check it. */
	version?: string;
	/** Number of events in a stream, and the interval between two of them. */
	events?: number;
	eventMs?: number;
	/** Time that the prefill of a prompt takes; without it a prompt is prefilled at once. */
	prefillMs?: number;
	/** Time for each token of a prompt that it prefills, in milliseconds. */
	prefillMsPerToken?: number;
	/** Keeps all parts of prompts but the last one in its prefix cache, or fetches them, and prefills one prompt after the other. */
	hasPrefixCache?: boolean;
	/** Time from the start of a generation to the head of its answer, with or without a KV cache. */
	firstTokenMs?: number;
	/** Time that the answer to a call for its report takes. */
	reportMs?: number;
};

/** A generation of the server, by the time of day in milliseconds; `until` is undefined while the server works on it. */
export type WorkPeriod = {requestId: string; from: number; until?: number};

export type ReceivedRequest = {
	requestId: string;
	path: string;
	body: string;
	deadlineMs: number;
	headers: IncomingMessage['headers'];
	hasRun: boolean;
};

/** A stage order as sent on the wire. */
export type StageOrder = {
	stage: 'prefill' | 'decode';
	holder: string;
	fence: number;
	precondition: number;
};

const defaultEvents = 4;
/** Time between an answer that is sent again and the next answer, in which a client may take the first for the second. */
const repeatGapMs = 10;

export class PlatformServer {
	readonly receivedRequests: ReceivedRequest[] = [];
	/** KV cache handles that were issued and not released yet. */
	readonly handles = new Set<string>();
	/** Ids of the requests whose client closed the connection before the end of the stream. */
	readonly abandonedRequestIds: string[] = [];
	/** Accepted stage orders. */
	readonly orders: StageOrder[] = [];
	/** What the server has worked on, calls for a prefill left out. */
	readonly workPeriods: WorkPeriod[] = [];
	fault: PlatformFault = platformFaults.none;
	/** What delimits the body of an answer to a request; without it, plain answers have a length and streams are in chunks. */
	framing: AnswerFraming | undefined;
	/** Breaks off each answer to a request that follows, prefill answers included. */
	answerBreak: AnswerBreak | undefined;
	/** Falls silent at the next request that gets there, prefills included. */
	pauseAt: PausePoint | undefined;
	/** Says in all its answers that it leaves, with any fault. */
	isLeaving = false;
	/** Value of `server-limit` in all its answers, with any fault; they have none without it. */
	limit: number | string | undefined;
	/** Monotonic times at which calls of any kind have arrived, in milliseconds. */
	readonly callTimes: number[] = [];
	crashingPart: CrashingPart | undefined;
	/** The start time that its status says; undefined if it says none. */
	readStatusStart: () => number | undefined = () => this.#opts.startedAt;
	/** Answers a request, prefills included, in place of the server; for a request without a scripted answer the server does as always. */
	scriptAnswer: ((request: ReceivedRequest) => ScriptedAnswer | undefined) | undefined;
	#stage: 'prefill' | 'decode' | undefined;
	readonly #opts: PlatformServerOptions;
	readonly #server: Server;
	readonly #sockets = new Map<Socket, {repeater: AnswerRepeater; breaker: AnswerBreaker; hold: AnswerHold; periods: Set<WorkPeriod>}>();
	readonly #cachedParts = new Set<string>();
	#prefilledAt = 0;
	#isPaused = false;
	#port = 0;

	constructor(opts: PlatformServerOptions) {
		this.#opts = opts;
		this.#stage = opts.stage;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
		this.#server.on('connection', socket => {
			const hold = new AnswerHold(socket);
			const periods = new Set<WorkPeriod>();
			this.#sockets.set(socket, {
				breaker: new AnswerBreaker(socket), repeater: new AnswerRepeater(socket), hold, periods,
			});
			// A socket whose answers are held does not close before they are sent.
			for (const event of ['end', 'close']) {
				socket.on(event, () => {
					this.#endWork(periods);
				});
			}

			if (this.#isPaused) {
				hold.pause();
			}

			socket.on('close', () => this.#sockets.delete(socket));
		});
	}

	get id(): string {
		return this.#opts.id;
	}

	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	/** Returns the report that the server sends to the system. */
	describe(service: string, state = 'ready', sequence = 1): Record<string, unknown> {
		return {
			service, address: this.address, born: this.#opts.startedAt, zone: 'z', version: this.#opts.version ?? 'v1', slots: 8, state, seq: sequence, 'cold-left-ms': 0, stage: this.#stage,
		};
	}

	/** Listens at a free port, or at that of an earlier start. */
	async start(port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		this.#port = (this.#server.address() as AddressInfo).port;
	}

	/** Starts again at the same address after a crash. */
	async restart(): Promise<void> {
		await this.start(this.#port);
	}

	get openConnections(): number {
		return this.#sockets.size;
	}

	get isPaused(): boolean {
		return this.#isPaused;
	}

	get isRunning(): boolean {
		return this.#server.listening;
	}

	/** Falls silent: goes on with its work, and holds everything that it would send until it resumes. */
	pause(): void {
		this.#isPaused = true;
		for (const {hold} of this.#sockets.values()) {
			hold.pause();
		}
	}

	resume(): void {
		this.#isPaused = false;
		for (const {hold} of this.#sockets.values()) {
			hold.resume();
		}
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets.keys()) {
			socket.resetAndDestroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	/** Ends like a process that crashes: stops listening, and the system ends all its connections. */
	#closeByCrash(end: CrashEnd): void {
		this.#server.close();
		for (const socket of this.#sockets.keys()) {
			if (end === 'reset') {
				socket.resetAndDestroy();
			} else {
				socket.destroySoon();
			}
		}
	}

	/** The crashing part, if the prompt contains it. */
	#findCrashingPart({headers}: ReceivedRequest): CrashingPart | undefined {
		const parts = String(headers['x-prompt-prefix'] ?? '').split(',').map(entry => entry.split(':')[0]);
		return this.crashingPart && parts.includes(this.crashingPart.id) ? this.crashingPart : undefined;
	}

	/** Crashes if the prompt contains the crashing part and the answer has got to the point; returns whether it has. */
	#runCrash(point: CrashPoint, receivedRequest: ReceivedRequest): boolean {
		const part = this.#findCrashingPart(receivedRequest);
		if (part?.at !== point) {
			return false;
		}

		this.#closeByCrash(part.end);
		return true;
	}

	countRuns(requestId: string): number {
		return this.receivedRequests.filter(request => request.requestId === requestId && request.hasRun).length;
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		for await (const chunk of request as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		this.callTimes.push(this.#opts.clock.monotonic());
		if (this.isLeaving) {
			response.setHeader('server-leaving', '1');
		}

		if (this.limit !== undefined) {
			response.setHeader('server-limit', String(this.limit));
		}

		const receivedRequest: ReceivedRequest = {
			requestId: String(request.headers['x-request-id']), path: request.url!, body: Buffer.concat(chunks).toString(), deadlineMs: Number(request.headers['x-deadline-ms']), headers: request.headers, hasRun: false,
		};
		if (await this.#sockets.get(request.socket)?.repeater.startAnswer(response, {isRepeating: this.fault === platformFaults.stutter})) {
			await this.#opts.clock.sleep(repeatGapMs);
		}

		if (request.url!.startsWith('/api/kv-handle/')) {
			this.handles.delete(request.url!.split('/').at(-1)!);
			response.end();
			return;
		}

		if (request.url === '/api/report' || request.url === '/api/order') {
			await this.#handleOperation(request, response, receivedRequest.body);
			return;
		}

		this.receivedRequests.push(receivedRequest);
		const scripted = this.scriptAnswer?.(receivedRequest);
		if (scripted) {
			receivedRequest.hasRun = true;
			await this.#sendScripted(request.socket, scripted);
			return;
		}

		if (request.headers['x-expect-instance'] !== this.id) {
			this.#sendForRequest(response, receivedRequest, {status: 421, headers: {'x-not-executed': '1'}});
			return;
		}

		this.#pauseAt('request');
		if (this.answerBreak) {
			this.#sockets.get(request.socket)?.breaker.planBreak(this.answerBreak);
		}

		await this.#respond(request, response, receivedRequest);
	}

	/** Handles a report request or a stage order; the stage changes immediately. */
	async #handleOperation(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
		if (request.headers['x-expect-instance'] !== this.id) {
			this.#send(response, 421, {'x-not-executed': '1'}, '');
			return;
		}

		if (request.url === '/api/report') {
			await this.#opts.clock.sleep(this.#opts.reportMs ?? 0);
			this.#send(response, 200, {'content-type': 'application/json'}, JSON.stringify({
				born: this.readStatusStart(), stage: this.#stage, busy: false, seq: this.orders.length,
			}));
			return;
		}

		const order = JSON.parse(body) as StageOrder;
		const lastFence = this.orders.at(-1)?.fence ?? 0;
		if (order.fence < lastFence || order.precondition !== this.orders.length) {
			this.#send(response, order.fence < lastFence ? 412 : 409, {}, '');
			return;
		}

		this.orders.push(order);
		this.#stage = order.stage;
		this.#send(response, 202, {}, '');
	}

	async #respond(request: IncomingMessage, response: ServerResponse, receivedRequest: ReceivedRequest): Promise<void> {
		// A call for a prefill is no run of the request.
		const isRun = request.headers['x-stage'] !== 'prefill';
		switch (this.fault) {
			case platformFaults.full: {
				this.#sendForRequest(response, receivedRequest, {status: 503, headers: {'x-not-executed': '1', ...this.#createRetryAfterHeaders()}});
				return;
			}

			case platformFaults.silent: {
				receivedRequest.hasRun = isRun;
				return;
			}

			case platformFaults.crash: {
				receivedRequest.hasRun = isRun;
				await this.stop();
				return;
			}

			case platformFaults.reset: {
				receivedRequest.hasRun = isRun;
				request.socket.resetAndDestroy();
				return;
			}

			default: {
				await this.#handleRequest(request, response, receivedRequest);
			}
		}
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse, receivedRequest: ReceivedRequest): Promise<void> {
		const stage = this.#stage;
		if (stage === 'prefill' && request.headers['x-stage'] !== 'prefill') {
			this.#sendForRequest(response, receivedRequest, {status: 421, headers: {'x-not-executed': '1'}});
			return;
		}

		const {clock, prefillMs, prefillMsPerToken, firstTokenMs} = this.#opts;
		const isPrefillCall = request.headers['x-stage'] === 'prefill';
		const period = isPrefillCall ? undefined : this.#recordWork(request.socket, receivedRequest);
		if (request.headers['x-kv-source'] === undefined && prefillMs !== undefined) {
			await clock.sleep(prefillMs);
		}

		if (request.headers['x-kv-source'] === undefined && prefillMsPerToken !== undefined) {
			await this.#prefill(this.#countPrefillTokens(request) * prefillMsPerToken);
		}

		if (isPrefillCall) {
			if (this.crashingPart?.isPrefill && this.#runCrash(this.crashingPart.at, receivedRequest)) {
				return;
			}

			const handle = `handle-${receivedRequest.requestId}`;
			this.handles.add(handle);
			this.#sendForRequest(response, receivedRequest, {status: 200, headers: {'content-type': 'application/json'}, body: JSON.stringify({'kv-handle': handle, tokens: 1, version: 1})});
			return;
		}

		receivedRequest.hasRun = true;
		if (firstTokenMs !== undefined) {
			await clock.sleep(firstTokenMs);
		}

		if (this.#runCrash('request', receivedRequest)) {
			return;
		}

		if (this.fault === platformFaults.unstated) {
			this.#send(response, 503, {...this.#createStampHeaders(receivedRequest.requestId), ...this.#createRetryAfterHeaders()}, '');
			return;
		}

		if (stage === undefined) {
			const status = this.fault === platformFaults.failing ? 500 : 200;
			this.#send(response, status, this.#createStampHeaders(this.fault === platformFaults.foreign ? 'another' : receivedRequest.requestId), `${this.id} ${receivedRequest.body}`);
			return;
		}

		await this.#sendEvents(request, response, receivedRequest);
		period!.until ??= clock.now();
	}

	async #prefill(ms: number): Promise<void> {
		const {clock, hasPrefixCache} = this.#opts;
		const now = clock.monotonic();
		this.#prefilledAt = Math.max(now, hasPrefixCache ? this.#prefilledAt : now) + ms;
		await clock.sleep(this.#prefilledAt - now);
	}

	/** Counts the tokens of the prompt that the server has to prefill. */
	#countPrefillTokens({headers}: IncomingMessage): number {
		const tokens = Number(String(headers['x-token-counts']).split(',', 1)[0]);
		if (!this.#opts.hasPrefixCache) {
			return tokens;
		}

		const shared = String(headers['x-prompt-prefix'] ?? '').split(',').slice(0, -1);
		const cached = shared.filter(part => headers['kv-fetch'] !== undefined || this.#cachedParts.has(part));
		for (const part of shared) {
			this.#cachedParts.add(part);
		}

		return tokens - cached.reduce((sum, part) => sum + Number(part.split(':')[1]), 0);
	}

	/** Records the work on a request, which ends with its connection at the latest. */
	#recordWork(socket: Socket, {requestId}: ReceivedRequest): WorkPeriod {
		const period: WorkPeriod = {requestId, from: this.#opts.clock.now()};
		this.workPeriods.push(period);
		this.#sockets.get(socket)?.periods.add(period);
		return period;
	}

	#endWork(periods: ReadonlySet<WorkPeriod>): void {
		for (const period of periods) {
			period.until ??= this.#opts.clock.now();
		}
	}

	async #sendEvents(request: IncomingMessage, response: ServerResponse, receivedRequest: ReceivedRequest): Promise<void> {
		const {clock, version, events = defaultEvents, eventMs = 5} = this.#opts;
		const origin = version === undefined ? '' : ` of ${version}`;
		const firstEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
		const texts = Array.from({length: Math.max(0, events - firstEvent + 1)}, (_, index) => `id: ${firstEvent + index}\ndata: event ${firstEvent + index}${origin}\n\n`);
		this.#writeHead(response, 200, {...this.#createStampHeaders(receivedRequest.requestId), 'content-type': 'text/event-stream'}, {bodyBytes: texts.join('').length, framing: this.framing ?? 'chunks'});
		response.on('close', () => {
			if (!response.writableFinished && this.fault !== platformFaults.cut) {
				this.abandonedRequestIds.push(receivedRequest.requestId);
			}
		});
		if (this.pauseAt === 'head') {
			response.flushHeaders();
			await clock.sleep(1); // The head is sent by then.
			this.#pauseAt('head');
		}

		const crashingPart = this.#findCrashingPart(receivedRequest);
		if (crashingPart) {
			response.flushHeaders();
			await clock.sleep(1); // The head is sent by then.
			if (this.#runCrash('head', receivedRequest)) {
				return;
			}
		}

		for (let event = firstEvent; event <= events && !response.destroyed; event++) {
			this.#pauseAt(event - firstEvent);
			if (this.fault === platformFaults.cut && event === firstEvent + 2) {
				response.write(`id: ${event}\ndata: ha`);
				await clock.sleep(eventMs);
				request.socket.resetAndDestroy();
				return;
			}

			response.write(texts[event - firstEvent]!);
			await clock.sleep(eventMs);
			if (crashingPart?.at === 'inside-event') {
				response.write(`id: ${event + 1}\ndata: ha`);
				await clock.sleep(eventMs);
			}

			if (this.#runCrash('event', receivedRequest) || this.#runCrash('inside-event', receivedRequest)) {
				return;
			}
		}

		response.end();
	}

	async #sendScripted(socket: Socket, {segments, pauseMs = 1, end}: ScriptedAnswer): Promise<void> {
		for (const segment of segments) {
			if (socket.destroyed) {
				return;
			}

			socket.write(segment, 'latin1');
			await this.#opts.clock.sleep(pauseMs);
		}

		switch (end) {
			case 'open': {
				return;
			}

			case 'close': {
				socket.end();
				return;
			}

			case 'reset': {
				socket.resetAndDestroy();
				return;
			}

			case 'crash': {
				this.#closeByCrash('close');
			}
		}
	}

	#pauseAt(point: PausePoint): void {
		if (this.pauseAt === point) {
			this.pauseAt = undefined;
			this.pause();
		}
	}

	#createRetryAfterHeaders(): Record<string, string> {
		const {retryAfterSeconds} = this.#opts;
		return retryAfterSeconds === undefined ? {} : {'retry-after': String(retryAfterSeconds)};
	}

	#createStampHeaders(requestId: string): Record<string, string> {
		return {'x-response-stamp': `stamp-${this.id}`, 'x-request-id': requestId};
	}

	/** Sends an answer that bears the id of the request. */
	#sendForRequest(response: ServerResponse, {requestId}: ReceivedRequest, {status, headers, body = ''}: {status: number; headers: Record<string, string>; body?: string}): void {
		this.#send(response, status, {...headers, 'x-request-id': requestId}, body);
	}

	#send(response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
		this.#writeHead(response, status, headers, {bodyBytes: Buffer.byteLength(body), framing: this.framing ?? 'length'});
		response.end(body);
	}

	#writeHead(response: ServerResponse, status: number, headers: Record<string, string>, {bodyBytes, framing}: {bodyBytes: number; framing: AnswerFraming}): void {
		if (framing === 'connection') {
			response.useChunkedEncodingByDefault = false;
			response.shouldKeepAlive = false;
		}

		response.writeHead(status, framing === 'length' ? {...headers, 'content-length': String(bodyBytes)} : headers);
	}
}
