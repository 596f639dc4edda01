/**
 * The operator API of a process: JSON-RPC 2.0 over HTTP, with a key in the `Authorization` header; clients use
 * `POST /rpc`. Calls of methods that the process does not have go to the fallback, which forwards them to a controller.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Buffer} from 'node:buffer';
import {
	createJSONRPCErrorResponse, createJSONRPCSuccessResponse, isJSONRPCRequest, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {LingeringClose, type CutClose} from '@hickorytrack/lingering-close';
import {CallerConnections} from '@hickorytrack/lingering-close/caller-connections';
import type {OperatorReply} from '@hickorytrack/types/peer-methods';
import type {OperatorFallback, OperatorMethod} from './plugin.js';

const maximumBodyBytes = 4 * 1024 * 1024;
const parseErrorCode = -32_700;
const invalidRequestCode = -32_600;
const applicationErrorCode = -32_000;

export type OperatorServerOptions = {
	keys: readonly string[];
	clock: Clock;
	/** Called for each connection that was closed before its caller had closed its side. */
	onCut: (cut: CutClose) => void;
};

export class OperatorServer {
	readonly #methods = new Map<string, OperatorMethod>();
	readonly #keys: ReadonlyArray<{name: string; digest: Buffer}>;
	readonly #server: Server;
	readonly #closes: LingeringClose;
	readonly #connections: CallerConnections;
	#fallback: OperatorFallback | undefined;

	constructor(opts: OperatorServerOptions) {
		this.#keys = opts.keys.map((key, index) => ({name: `operator key ${index + 1}`, digest: computeKeyDigest(key)}));
		this.#server = createServer((request, response) => {
			if (this.#connections.recordCall(request, response)) {
				void this.#handleRequest(request, response);
			}
		});
		// The body may not follow, so that no further call of the connection can be read.
		this.#server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
			if (this.#connections.recordCall(request, response)) {
				this.#connections.announceClose(request, response);
				this.#send(response, 417, createJSONRPCErrorResponse(0, invalidRequestCode, 'The only known expectation is 100-continue; the call was not run'));
			}
		});
		this.#closes = new LingeringClose(this.#server, {clock: opts.clock, onCut: opts.onCut});
		this.#connections = new CallerConnections(this.#server, this.#closes);
	}

	add(name: string, method: OperatorMethod): void {
		this.#methods.set(name, method);
	}

	setFallback(fallback: OperatorFallback): void {
		this.#fallback = fallback;
	}

	async listen(host: string, port: number): Promise<Result<void, HickorytrackError>> {
		return new Promise(resolve => {
			this.#server.once('error', error => {
				resolve(err(new HickorytrackError('ERR_HICKORYTRACK_LISTEN', `Can't listen for operators on ${host}:${port}: ${error.message}`, {cause: error, hint: 'Set --operator-listen to another address.'})));
			});
			this.#server.listen(port, host, () => {
				resolve(ok(undefined));
			});
		});
	}

	/** Runs a method of this process; the fallback runs if this process does not have it. */
	async call(method: string, params: unknown, opts: {operator: string; hops: number}): Promise<OperatorReply> {
		const handler = this.#methods.get(method);
		try {
			if (handler) {
				return await handler(params ?? {}, opts);
			}

			return await this.#fallback?.(method, params ?? {}, opts) ?? {ok: false, code: 'ERR_HICKORYTRACK_UNKNOWN_METHOD', message: `Unknown method ${method}`};
		} catch (error) {
			return {ok: false, code: error instanceof HickorytrackError ? error.code : 'ERR_HICKORYTRACK_INTERNAL', message: describeError(error)};
		}
	}

	/** Closes the listener and all connections. Calls that run, and operators that have not read their answers, are waited for this long. */
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

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const operator = this.#authenticate(request);
		if (operator === undefined) {
			this.#send(response, 401, createJSONRPCErrorResponse(0, invalidRequestCode, 'The operator key is missing or invalid', {hint: 'Pass --key or set HICKORYTRACK_OPERATOR_KEY.'}));
			return;
		}

		const rpc = await this.#readRequest(request);
		if (!rpc) {
			if (!request.complete) {
				// The rest of the body must not be read as another call.
				this.#connections.announceClose(request, response);
			}

			this.#send(response, 400, createJSONRPCErrorResponse(0, parseErrorCode, 'The body is not a valid JSON-RPC 2.0 request'));
			return;
		}

		const reply = await this.call(rpc.method, rpc.params, {operator, hops: 0});
		const id = rpc.id ?? 0;
		this.#send(response, 200, reply.ok
			? createJSONRPCSuccessResponse(id, reply.result ?? {})
			: createJSONRPCErrorResponse(id, applicationErrorCode, reply.message, {code: reply.code, hint: reply.hint}));
	}

	#authenticate(request: IncomingMessage): string | undefined {
		if (this.#keys.length === 0) {
			const address = request.socket.remoteAddress ?? '';
			return address.startsWith('127.') || address === '::1' ? 'loopback' : undefined;
		}

		const receivedDigest = computeKeyDigest((request.headers.authorization ?? '').replace(/^Bearer /, ''));
		return this.#keys.find(key => timingSafeEqual(key.digest, receivedDigest))?.name;
	}

	async #readRequest(request: IncomingMessage): Promise<JSONRPCRequest | undefined> {
		const chunks: Buffer[] = [];
		let size = 0;
		try {
			// The connection is needed for the answer.
			for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
				size += chunk.length;
				if (size > maximumBodyBytes) {
					return undefined;
				}

				chunks.push(chunk);
			}

			const parsed: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
			return isJSONRPCRequest(parsed) ? parsed : undefined;
		} catch {
			return undefined;
		}
	}

	#send(response: ServerResponse, status: number, body: JSONRPCResponse): void {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}

function computeKeyDigest(key: string): Buffer {
	return createHash('sha256').update(key).digest();
}
