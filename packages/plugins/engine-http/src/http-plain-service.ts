/**
 * Adapter for a plain HTTP service. Each call uses its own connection, so that a connection that failed to open proves that
 * the service never received the call.
 */
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import type {
	EngineAdapter, EngineAdapterFactory, EngineDescription, EngineError, EngineEvent, GenerateOptions,
} from '@hickorytrack/types/engine-adapter';
import type {GenerationWork, ServiceAnswer, ServiceWork} from '@hickorytrack/types/work';
import {HttpEngineError, isPossiblyWritten} from './engine-http-error.js';

const healthTimeoutMs = 1000;
const defaultCapacity = 64;
const defaultCallsPerSecond = 1000;

export class HttpPlainService implements EngineAdapter {
	readonly #url: string;
	readonly #service: string;

	constructor(opts: {url: string; service: string}) {
		this.#url = opts.url;
		this.#service = opts.service;
	}

	async describe(): Promise<Result<EngineDescription, HickorytrackError>> {
		try {
			const response = await request(`${this.#url}/`, {method: 'HEAD', reset: true, headersTimeout: healthTimeoutMs});
			await response.body.dump();
			return ok({
				kind: 'service',
				names: [this.#service],
				adapters: [],
				roles: ['mixed'],
				role: 'mixed',
				capacity: defaultCapacity,
				speed: {prefillTokensPerSecond: defaultCallsPerSecond, decodeTokensPerSecond: defaultCallsPerSecond},
				mixedSpeed: {prefillTokensPerSecond: defaultCallsPerSecond, decodeTokensPerSecond: defaultCallsPerSecond},
				incarnation: String(response.headers['x-incarnation'] ?? 'unknown'),
				checksFencing: false,
			});
		} catch (error) {
			return err(new HickorytrackError('ERR_HICKORYTRACK_ENGINE_UNREACHABLE', `The service at ${this.#url} does not answer: ${describeError(error)}`, {cause: error}));
		}
	}

	async * generate(_work: GenerationWork, _opts: GenerateOptions): AsyncGenerator<EngineEvent> {
		yield {kind: 'failed', error: new HttpEngineError('ERR_HICKORYTRACK_ENGINE_REFUSED', 'A plain service does not support generations', {written: false})};
	}

	async callService(work: ServiceWork, opts: GenerateOptions): Promise<Result<ServiceAnswer, EngineError>> {
		opts.onWrite();
		try {
			const hasBody = work.body.length > 0;
			const response = await request(`${this.#url}${work.path}`, {
				method: work.method as 'GET',
				reset: true,
				headers: {'x-request-id': opts.attempt, 'x-workspace': opts.workspace, ...(hasBody && {'content-type': work.contentType})},
				body: hasBody ? work.body : undefined,
				signal: opts.signal,
			});
			const body = await response.body.text();
			return ok({status: response.statusCode, contentType: String(response.headers['content-type'] ?? 'application/octet-stream'), body});
		} catch (error) {
			return err(new HttpEngineError('ERR_HICKORYTRACK_ENGINE_LOST', `The call to the service failed: ${describeError(error)}`, {written: isPossiblyWritten(error), cause: error}));
		}
	}

	async probe(): Promise<'running' | 'gone' | 'unreachable'> {
		const described = await this.describe();
		return described.isOk() ? 'running' : 'unreachable';
	}

	async cancel(): Promise<void> {
		// A plain service cannot cancel a call.
	}

	async order(): Promise<Result<void, HickorytrackError>> {
		return err(new HickorytrackError('ERR_HICKORYTRACK_ORDER_FAILED', 'A plain service does not support orders'));
	}
}

export const httpPlainServiceFactory: EngineAdapterFactory = {
	name: 'service',
	create: ({url, service}) => new HttpPlainService({url, service: service ?? 'service'}),
};
