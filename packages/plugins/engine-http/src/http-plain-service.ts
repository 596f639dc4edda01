/**
 * Adapter for a plain HTTP service. Each call uses its own connection, so that a connection that failed to open proves that
 * the service never received the call.
 */
import {err, ok, type Result} from 'neverthrow';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {answerVerdicts} from '@hickorytrack/http-answer/answer-reader';
import {ByteBudget} from '@hickorytrack/http-answer/byte-budget';
import {sendCall} from '@hickorytrack/http-answer/http-call';
import type {
	EngineAdapter, EngineAdapterFactory, EngineDescription, EngineError, EngineEvent, GenerateOptions,
} from '@hickorytrack/types/engine-adapter';
import type {GenerationWork, ServiceAnswer, ServiceWork} from '@hickorytrack/types/work';
import {convertQueryError, HttpEngineError, isPossiblyWritten} from './engine-http-error.js';

const healthTimeoutMs = 1000;
const defaultCapacity = 64;
const defaultCallsPerSecond = 1000;
/** JSON may encode a byte as six, and a frame between processes holds 64 MiB. */
const maxAnswerBytes = 8 * 1024 * 1024;
const maxTotalAnswerBytes = 4 * maxAnswerBytes;

export class HttpPlainService implements EngineAdapter {
	readonly #url: string;
	readonly #service: string;
	readonly #budget = new ByteBudget(maxTotalAnswerBytes);

	constructor(opts: {url: string; service: string}) {
		this.#url = opts.url;
		this.#service = opts.service;
	}

	async describe(): Promise<Result<EngineDescription, HickorytrackError>> {
		try {
			const {headers} = await sendCall(`${this.#url}/`, {method: 'HEAD', timeoutMs: healthTimeoutMs, maxBodyBytes: 0});
			return ok({
				kind: 'service',
				names: [this.#service],
				adapters: [],
				roles: ['mixed'],
				role: 'mixed',
				capacity: defaultCapacity,
				speed: {prefillTokensPerSecond: defaultCallsPerSecond, decodeTokensPerSecond: defaultCallsPerSecond},
				mixedSpeed: {prefillTokensPerSecond: defaultCallsPerSecond, decodeTokensPerSecond: defaultCallsPerSecond},
				incarnation: String(headers['x-incarnation'] ?? 'unknown'),
				checksFencing: false,
			});
		} catch (error) {
			return err(convertQueryError(error, {url: this.#url, timeoutMs: healthTimeoutMs}));
		}
	}

	async * generate(_work: GenerationWork, _opts: GenerateOptions): AsyncGenerator<EngineEvent> {
		yield {kind: 'failed', error: new HttpEngineError('ERR_HICKORYTRACK_ENGINE_REFUSED', 'A plain service does not support generations', {written: false})};
	}

	async callService(work: ServiceWork, opts: GenerateOptions): Promise<Result<ServiceAnswer, EngineError>> {
		opts.onWrite();
		try {
			const hasBody = work.body.length > 0;
			const {status, headers, body, received} = await sendCall(`${this.#url}${work.path}`, {
				method: work.method,
				headers: {'x-request-id': opts.attempt, 'x-workspace': opts.workspace, ...(hasBody && {'content-type': work.contentType})},
				body: hasBody ? work.body : undefined,
				signal: opts.signal,
				maxBodyBytes: maxAnswerBytes,
				budget: this.#budget,
			});
			const hasUnknownEnd = received.verdict === answerVerdicts.unknown;
			// A crash of the service ends such an answer as its end does.
			if (hasUnknownEnd && await this.probe() !== 'running') {
				return err(new HttpEngineError('ERR_HICKORYTRACK_ENGINE_LOST', 'Only its connection delimited the answer of the service, which does not run any more', {written: true}));
			}

			return ok({
				status, contentType: String(headers['content-type'] ?? 'application/octet-stream'), body: body.toString(), ...(hasUnknownEnd && {hasUnknownEnd}),
			});
		} catch (error) {
			return err(new HttpEngineError('ERR_HICKORYTRACK_ENGINE_LOST', `The call to the service failed: ${describeError(error)}`, {written: isPossiblyWritten(error), cause: error}));
		}
	}

	async probe(): Promise<'running' | 'unreachable' | 'silent'> {
		const described = await this.describe();
		return described.match(() => 'running', error => error.code === 'ERR_HICKORYTRACK_ENGINE_SILENT' ? 'silent' : 'unreachable');
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
