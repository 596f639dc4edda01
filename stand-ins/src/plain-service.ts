/** A stand-in for a plain service, such as dispatch sheets or a viewer, with a ledger of every call that it executed. */
import {createHash, randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Buffer} from 'node:buffer';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {readJson, sendJson} from './engine-messages.js';
import {SendGate} from './send-gate.js';

export type LedgerCall = {
	sequence: number;
	method: string;
	path: string;
	workspace: string;
	attempt: string;
	bodyDigest: string;
	body: string;
};

export type PlainServiceOptions = {
	/** Duration of one call in milliseconds. */
	callMs?: number;
	/** Times the fault `pause`. */
	clock?: Clock;
	/** Called after a call has been executed and before its response is sent; may stop the service. */
	onExecuted?: (call: LedgerCall) => Promise<void> | void;
};

export class PlainService {
	readonly calls: LedgerCall[] = [];
	incarnation = randomUUID();
	readonly #opts: PlainServiceOptions;
	readonly #gate = new SendGate();
	#server: Server | undefined;
	#port = 0;

	constructor(opts: PlainServiceOptions = {}) {
		this.#opts = opts;
	}

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	async start(port = this.#port): Promise<void> {
		const server = createServer((request, response) => {
			void this.#handle(request, response).catch(() => {
				response.destroy();
			});
		});
		server.on('connection', socket => {
			this.#gate.watch(socket);
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, '127.0.0.1', resolve);
		});
		this.#port = (server.address() as AddressInfo).port;
	}

	async stop(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		await new Promise<void>(resolve => {
			server?.close(() => {
				resolve();
			});
			server?.closeAllConnections();
			this.#gate.open();
		});
	}

	/** Falls silent until `resumeSending`: holds what it would send on all connections, and goes on working. */
	pauseSending(): void {
		this.#gate.close();
	}

	resumeSending(): void {
		this.#gate.open();
	}

	async crash(restartMs: number): Promise<void> {
		await this.stop();
		this.incarnation = randomUUID();
		setTimeout(() => {
			void this.start();
		}, restartMs);
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		response.setHeader('x-incarnation', this.incarnation);
		if (request.method === 'HEAD') {
			response.writeHead(200).end();
			return;
		}

		if (request.url === '/ledger') {
			response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({calls: this.calls}));
			return;
		}

		if (request.url === '/fault') {
			const {ms} = await readJson(request) as {kind: 'pause'; ms: number};
			this.#gate.closeAfter(response, {ms, clock: this.#opts.clock ?? new SystemClock()});
			sendJson(response, 200, {});
			return;
		}

		const call = await this.#runCall(request);
		await this.#opts.onExecuted?.(call);
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({sequence: call.sequence, path: call.path, bodyDigest: call.bodyDigest}));
	}

	async #runCall(request: IncomingMessage): Promise<LedgerCall> {
		const chunks: Buffer[] = [];
		for await (const chunk of request as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		const body = Buffer.concat(chunks).toString('utf8');
		const call: LedgerCall = {
			sequence: this.calls.length + 1, method: request.method!, path: request.url!, workspace: String(request.headers['x-workspace']), attempt: String(request.headers['x-request-id']),
			bodyDigest: createHash('sha256').update(body).digest('hex').slice(0, 16), body,
		};
		this.calls.push(call);
		await new Promise(resolve => {
			setTimeout(resolve, this.#opts.callMs ?? 2);
		});
		return call;
	}
}
