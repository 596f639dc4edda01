/**
 * A server of the soak: a plain service or a model server in a stage. It follows the users' wire protocol, records each
 * arrival and what became of it, and misbehaves with seeded probabilities.
 */
import {createServer, type Server} from 'node:net';
import {request as sendRequest} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {
	countEvents, createEvent, createPlainBody, createStamp,
} from './expected-body.js';
import {formatChunk, formatMessage, type HttpMessage} from './http-message-reader.js';
import type {FateRecord, ServerRecord} from './records.js';
import {ServerChannel} from './server-channel.js';
import {selectFault, stutterRate, type ServerFault} from './server-faults.js';
import {WorkSlots} from './work-slots.js';

export type Stage = 'prefill' | 'decode';

export type SoakServerOptions = {
	id: string;
	startedAt: number;
	service: string;
	stage?: Stage;
	listen: {host: string; port: number};
	/** Address in reports; a relay may stand between it and the server. */
	address: string;
	faults: ReadonlySet<string>;
	clock: Clock;
	random: Random;
	record: (record: ServerRecord) => void;
	crash: () => void;
};

type Arrival = {
	message: HttpMessage;
	path: string;
	requestId: string;
	number: number;
	deadlineAt: number;
};

type StoredKv = {owner: string; eventsMade: number};

const slots = 8;
const maxWaiting = 6;
const maxWorkMs = 10;
const prefillMsPerToken = 0.01;
/** A decode server prefills at half the speed. */
const decodeSlowdown = 2;
const maxEventMs = 8;
const maxQueueMs = 250;
const minIdleMs = 300;
const maxIdleMs = 3000;
const transferTimeoutMs = 500;
const closeRate = 0.02;
const msPerSecond = 1000;

export class SoakServer {
	readonly #opts: SoakServerOptions;
	readonly #slots: WorkSlots;
	readonly #server: Server;
	/** KV caches that may be taken: of prefills by their handle, and copies of runs by the request's id. */
	readonly #stored = new Map<string, StoredKv>();
	readonly #channels = new Set<ServerChannel>();
	#stage: Stage | undefined;
	#prefills: Promise<void> = Promise.resolve();
	#orders = 0;
	#lastFence = 0;
	#arrivals = 0;

	constructor(opts: SoakServerOptions) {
		this.#opts = opts;
		this.#stage = opts.stage;
		this.#slots = new WorkSlots({clock: opts.clock, slots, maxWaiting});
		const {clock, random, faults} = opts;
		this.#server = createServer(socket => {
			const channel = new ServerChannel(socket, {
				clock, random, stutterRate: faults.has('stutter') ? stutterRate : 0, idleMs: faults.has('idle-close') ? random.nextBetween(minIdleMs, maxIdleMs) : undefined, handle: async (self, message) => this.#handle(self, message),
			});
			this.#channels.add(channel);
			channel.signal.addEventListener('abort', () => {
				this.#channels.delete(channel);
			}, {once: true});
		});
	}

	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.#opts.listen, resolve);
		});
	}

	/** Stops listening and resets all connections. */
	close(): void {
		this.#server.close();
		for (const channel of this.#channels) {
			channel.reset();
		}
	}

	/** Returns the body of a report to the system. */
	describe(sequence: number): Record<string, unknown> {
		const {service, address, startedAt} = this.#opts;
		return {
			service, address, zone: 'z', version: 'v1', slots, state: 'ready', 'cold-left-ms': 0, stage: this.#stage, seq: sequence, born: startedAt,
		};
	}

	async #handle(channel: ServerChannel, message: HttpMessage): Promise<void> {
		const [method, path] = message.startLine.split(' ') as [string, string];
		if (path.startsWith('/api/') || path.startsWith('/soak/') || path === '/healthz') {
			this.#handleOperation(channel, {message, method, path});
			return;
		}

		this.#arrivals++;
		const {clock, id, startedAt, service} = this.#opts;
		const requestId = message.headers['x-request-id'] ?? '';
		const arrival = {
			message, path, requestId, number: this.#arrivals, deadlineAt: clock.monotonic() + Number(message.headers['x-deadline-ms'] ?? msPerSecond),
		};
		this.#opts.record({
			type: 'arrival', at: clock.now(), server: id, startedAt, number: arrival.number, service, requestId, isPrefill: message.headers['x-stage'] === 'prefill',
		});
		if (message.headers['x-expect-instance'] !== id || !this.#isForStage(message)) {
			this.#refuse(channel, arrival, 421);
			return;
		}

		await this.#admit(channel, arrival);
	}

	/** Handles a call that is no request of a caller. */
	#handleOperation(channel: ServerChannel, {message, method, path}: {message: HttpMessage; method: string; path: string}): void {
		const name = path.split('/').at(-1)!;
		if (path.startsWith('/api/kv-handle/') && method === 'DELETE') {
			this.#stored.delete(name);
			this.#sendJson(channel, 200, {});
		} else if (path === '/api/report') {
			this.#sendJson(channel, 200, {stage: this.#stage, busy: false, seq: this.#orders});
		} else if (path === '/api/order') {
			this.#sendJson(channel, this.#handleOrder(JSON.parse(message.body.toString()) as {stage: Stage; fence: number; precondition?: number}), {});
		} else if (path.startsWith('/soak/take/')) {
			const stored = this.#stored.get(name);
			this.#stored.delete(name);
			this.#sendJson(channel, stored ? 200 : 404, stored ?? {});
		} else if (path.startsWith('/soak/copy/')) {
			this.#stored.set(name, JSON.parse(message.body.toString()) as StoredKv);
			this.#sendJson(channel, 200, {});
		} else {
			this.#sendJson(channel, path === '/healthz' ? 200 : 404, {});
		}
	}

	#handleOrder({stage, fence, precondition}: {stage: Stage; fence: number; precondition?: number}): number {
		if (fence < this.#lastFence) {
			return 412;
		}

		if (precondition !== undefined && precondition !== this.#orders) {
			return 409;
		}

		this.#lastFence = fence;
		this.#orders++;
		this.#stage = stage;
		return 202;
	}

	/** A prefill server only prefills; a decode server only generates. */
	#isForStage(message: HttpMessage): boolean {
		return this.#stage === undefined || (this.#stage === 'prefill') === (message.headers['x-stage'] === 'prefill');
	}

	async #admit(channel: ServerChannel, arrival: Arrival): Promise<void> {
		const {clock, random, faults} = this.#opts;
		const fault = selectFault(random, faults);
		if (fault === 'refuse') {
			this.#refuse(channel, arrival, 503);
			return;
		}

		const waitMs = Math.max(0, Math.min(maxQueueMs, arrival.deadlineAt - clock.monotonic()));
		const outcome = await this.#slots.acquire(waitMs, channel.signal);
		if (outcome !== 'acquired') {
			this.#refuse(channel, arrival, 503);
			return;
		}

		try {
			if (fault === 'refuse-late') {
				await clock.sleep(random.nextBetween(0, waitMs));
				this.#refuse(channel, arrival, 503);
				return;
			}

			await (arrival.message.headers['x-stage'] === 'prefill' ? this.#prefill(channel, arrival, fault) : this.#run(channel, arrival, fault));
		} finally {
			this.#slots.release();
		}
	}

	#refuse(channel: ServerChannel, arrival: Arrival, status: number): void {
		const retryAfter: Record<string, string> = this.#opts.random.next() < 0.5 ? {'retry-after': this.#opts.random.nextBetween(0.02, 0.3).toFixed(3)} : {};
		this.#recordFate(arrival, {hasRun: false, answer: 'refused', status});
		this.#send(channel, arrival, {status, headers: {'x-not-executed': '1', ...retryAfter}, body: ''});
	}

	async #prefill(channel: ServerChannel, arrival: Arrival, fault: ServerFault | undefined): Promise<void> {
		const {startedAt} = this.#opts;
		await this.#prefillPrompt(arrival, prefillMsPerToken);
		const handle = `kv-${startedAt}-${arrival.number}`;
		this.#stored.set(handle, {owner: arrival.requestId, eventsMade: 0});
		this.#recordFate(arrival, {
			hasRun: false, answer: fault ?? 'prefilled', status: 200, handle, handleOwner: arrival.requestId,
		});
		if (this.#applyFault(channel, arrival, fault)) {
			return;
		}

		this.#send(channel, arrival, {status: 200, headers: {'content-type': 'application/json'}, body: JSON.stringify({'kv-handle': handle, tokens: 1, version: 1})});
	}

	/** Prompts are prefilled one after another. */
	async #prefillPrompt(arrival: Arrival, msPerToken: number): Promise<void> {
		const tokens = Number(arrival.message.headers['x-token-counts']?.split(',')[0] ?? 0);
		this.#prefills = this.#prefills.then(async () => this.#opts.clock.sleep(tokens * msPerToken));
		await this.#prefills;
	}

	async #run(channel: ServerChannel, arrival: Arrival, fault: ServerFault | undefined): Promise<void> {
		const {clock, random} = this.#opts;
		const source = arrival.message.headers['x-kv-source'];
		const kv = source === undefined ? undefined : await this.#fetchKv(source);
		if (source !== undefined && !kv) {
			this.#refuse(channel, arrival, 503);
			return;
		}

		const isSameRun = source === `${this.#opts.address}/${arrival.requestId}`;
		const status = fault === 'failing' ? 500 : 200;
		const stamp = createStamp(arrival.requestId, arrival.path);
		this.#recordFate(arrival, {
			hasRun: true, isSameRun, answer: fault ?? 'answered', status, stamp, handle: source, handleOwner: kv?.owner,
		});
		await (this.#stage === undefined ? clock.sleep(random.nextBetween(0, maxWorkMs)) : this.#prefillPrompt(arrival, kv ? 0 : prefillMsPerToken * decodeSlowdown));
		if (this.#applyFault(channel, arrival, fault)) {
			return;
		}

		if (this.#stage === undefined || status !== 200) {
			this.#send(channel, arrival, {status, headers: {'x-response-stamp': stamp}, body: createPlainBody(arrival.requestId, arrival.path)});
			return;
		}

		await this.#sendEvents(channel, arrival, {stamp, isTruncated: fault === 'truncated'});
	}

	/** Takes a KV cache from this server or the one that made it. Like the users' servers, it does not check whose it is. */
	async #fetchKv(source: string): Promise<StoredKv | undefined> {
		const [address, name] = source.split('/') as [string, string];
		if (address === this.#opts.address) {
			const stored = this.#stored.get(name);
			this.#stored.delete(name);
			return stored;
		}

		try {
			const response = await sendRequest(`http://${address}/soak/take/${name}`, {
				method: 'POST', headersTimeout: transferTimeoutMs, bodyTimeout: transferTimeoutMs, reset: true,
			});
			const stored = await response.body.json() as StoredKv;
			return response.statusCode === 200 ? stored : undefined;
		} catch {
			return undefined;
		}
	}

	async #sendEvents(channel: ServerChannel, arrival: Arrival, {stamp, isTruncated}: {stamp: string; isTruncated: boolean}): Promise<void> {
		const {clock, random} = this.#opts;
		const {headers} = arrival.message;
		const count = countEvents(arrival.path);
		const first = Number(headers['last-event-id'] ?? 0) + 1;
		channel.send(formatMessage('HTTP/1.1 200 OK', {
			'x-request-id': arrival.requestId, 'x-response-stamp': stamp, 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked',
		}));
		for (let event = first; event <= count && !channel.signal.aborted; event++) {
			const text = createEvent(arrival.requestId, event, count);
			if (isTruncated && event === count) {
				channel.send(formatChunk(text.slice(0, -8)));
				channel.reset();
				return;
			}

			channel.send(formatChunk(text));
			if (headers['x-kv-backup'] !== undefined) {
				void this.#copyKv(headers['x-kv-backup'], arrival.requestId, event);
			}

			await clock.sleep(random.nextBetween(1, maxEventMs));
		}

		channel.send(formatChunk(''));
		channel.finish();
	}

	/** Sends the run's memory to its backup server. */
	async #copyKv(address: string, requestId: string, eventsMade: number): Promise<void> {
		try {
			const response = await sendRequest(`http://${address}/soak/copy/${requestId}`, {
				method: 'POST', body: JSON.stringify({owner: requestId, eventsMade}), headersTimeout: transferTimeoutMs, bodyTimeout: transferTimeoutMs,
			});
			await response.body.dump();
		} catch {
			// The backup then has an older copy, or none.
		}
	}

	/** Returns true if the request gets no regular answer. */
	#applyFault(channel: ServerChannel, arrival: Arrival, fault: ServerFault | undefined): boolean {
		switch (fault) {
			case 'crash': {
				this.close();
				this.#opts.crash();
				return true;
			}

			case 'lost': {
				channel.reset();
				return true;
			}

			case 'silent': {
				return true;
			}

			case 'garbage': {
				channel.send(`${arrival.requestId} is no answer\r\n\r\n`);
				channel.end();
				return true;
			}

			case 'truncated': {
				if (this.#stage !== undefined && arrival.message.headers['x-stage'] !== 'prefill') {
					return false;
				}

				const body = createPlainBody(arrival.requestId, arrival.path);
				channel.send(formatMessage('HTTP/1.1 200 OK', {'x-request-id': arrival.requestId, 'x-response-stamp': createStamp(arrival.requestId, arrival.path), 'content-length': String(body.length)}, body.slice(0, body.length / 2)));
				channel.end();
				return true;
			}

			default: {
				return false;
			}
		}
	}

	#send(channel: ServerChannel, arrival: Arrival, {status, headers, body}: {status: number; headers: Record<string, string>; body: string}): void {
		const isLast = this.#opts.faults.has('idle-close') && this.#opts.random.next() < closeRate;
		channel.send(formatMessage(`HTTP/1.1 ${status} Status`, {'x-request-id': arrival.requestId, ...headers, ...(isLast ? {connection: 'close'} : {})}, body));
		if (isLast) {
			channel.end();
		} else {
			channel.finish();
		}
	}

	#sendJson(channel: ServerChannel, status: number, body: unknown): void {
		channel.send(formatMessage(`HTTP/1.1 ${status} Status`, {'content-type': 'application/json', 'x-instance-id': this.#opts.id}, JSON.stringify(body)));
		channel.finish();
	}

	#recordFate(arrival: Arrival, fate: Pick<FateRecord, 'hasRun' | 'answer'> & Partial<FateRecord>): void {
		const {clock, id, startedAt} = this.#opts;
		this.#opts.record({
			type: 'fate', at: clock.now(), server: id, startedAt, number: arrival.number, requestId: arrival.requestId, ...fate,
		});
	}
}
