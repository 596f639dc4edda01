/**
 * Adapter for a model engine with an OpenAI-compatible completions API over HTTP and the extensions that
 * `docs/interfaces/endpoints.md` describes. An engine without the extensions is supported too, with defaults for what it
 * does not report. Engines do not echo the id of an attempt, so each generation has a connection of its own: on one that is kept,
 * a second answer to the attempt before could be read as the answer to this one.
 */
import {createParser} from 'eventsource-parser';
import {err, ok, type Result} from 'neverthrow';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {HttpCall, sendCall, type HttpAnswer} from '@hickorytrack/http-answer/http-call';
import type {EngineRole, FencedOrder} from '@hickorytrack/types/endpoint';
import type {
	EngineAdapter, EngineAdapterFactory, EngineDescription, EngineError, EngineEvent, GenerateOptions,
} from '@hickorytrack/types/engine-adapter';
import type {GenerationWork, ServiceAnswer} from '@hickorytrack/types/work';
import {
	convertQueryError, HttpEngineError, isCancelled, isPossiblyWritten,
} from './engine-http-error.js';

const queryTimeoutMs = 1000;
const orderTimeoutMs = 120_000;
const defaultCapacity = 16;
const defaultSpeed = {prefillTokensPerSecond: 4000, decodeTokensPerSecond: 800};
const notFound = 404;
const conflict = 409;

/** For answers about the engine, and for an event of a stream, which carries one token or a few. */
const maxBodyBytes = 1024 * 1024;

type InfoBody = {
	models: string[];
	adapters: string[];
	roles: EngineRole[];
	role: EngineRole;
	capacity: number;
	prefill_tokens_per_second: number;
	decode_tokens_per_second: number;
	mixed_prefill_tokens_per_second?: number;
	mixed_decode_tokens_per_second?: number;
	incarnation: string;
	checks_fencing: boolean;
	max_requests_per_second?: unknown;
	software_version?: unknown;
};

type ChunkBody = {
	choices?: Array<{text?: string; delta?: {content?: string}; finish_reason?: string}>;
	usage?: {prompt_tokens?: number; completion_tokens?: number; prompt_tokens_details?: {cached_tokens?: number}};
	error?: {message?: string};
};

export class HttpModelEngine implements EngineAdapter {
	readonly #url: string;

	constructor(url: string) {
		this.#url = url;
	}

	async describe(): Promise<Result<EngineDescription, HickorytrackError>> {
		try {
			const answer = await this.#sendQuery('/engine/info');
			return answer.status === notFound ? await this.#describePlainEngine() : ok(this.#convertInfo(parseBody(answer) as InfoBody));
		} catch (error) {
			return err(convertQueryError(error, {url: this.#url, timeoutMs: queryTimeoutMs}));
		}
	}

	async * generate(work: GenerationWork, opts: GenerateOptions): AsyncGenerator<EngineEvent> {
		opts.onWrite();
		try {
			const call = new HttpCall(`${this.#url}/v1/${work.api === 'chat' ? 'chat/completions' : 'completions'}`, {
				method: 'POST',
				headers: {'content-type': 'application/json', 'x-request-id': opts.attempt},
				body: JSON.stringify(this.#createBody(work, opts)),
				signal: opts.signal,
				maxBodyBytes,
			});
			const {status} = await call.waitForHead();
			if (status !== 200) {
				const {body} = await call.readAll();
				yield {kind: 'failed', error: new HttpEngineError('ERR_HICKORYTRACK_ENGINE_REFUSED', `The engine answered ${status}: ${body.toString().slice(0, 200)}`, {written: true})};
				return;
			}

			yield * this.#readStream(call.readBody());
		} catch (error) {
			yield {kind: 'failed', error: this.#convertError(error)};
		}
	}

	async callService(): Promise<Result<ServiceAnswer, EngineError>> {
		return err(new HttpEngineError('ERR_HICKORYTRACK_ENGINE_REFUSED', 'A model engine does not support service calls', {written: false}));
	}

	async probe(attempt: string): Promise<'running' | 'gone' | 'unreachable' | 'silent'> {
		try {
			const {status} = await this.#sendQuery(`/engine/requests/${encodeURIComponent(attempt)}`);
			return status === 200 ? 'running' : 'gone';
		} catch (error) {
			return isCancelled(error) ? 'silent' : 'unreachable';
		}
	}

	async cancel(attempt: string): Promise<void> {
		try {
			await sendCall(`${this.#url}/engine/cancel`, {
				method: 'POST', timeoutMs: queryTimeoutMs, headers: {'content-type': 'application/json'}, body: JSON.stringify({request: attempt}), maxBodyBytes,
			});
		} catch {
			// The error is ignored: the engine also stops the work when the connection of the request closes.
		}
	}

	async order(order: FencedOrder): Promise<Result<void, HickorytrackError>> {
		try {
			const {status, body} = await sendCall(`${this.#url}/engine/orders`, {
				method: 'POST', timeoutMs: orderTimeoutMs, headers: {'content-type': 'application/json'},
				body: JSON.stringify({fence: order.fence, change: order.changeId, order: order.order}), maxBodyBytes,
			});
			if (status === 200) {
				return ok(undefined);
			}

			const code = status === conflict ? 'ERR_HICKORYTRACK_ORDER_FENCED' : 'ERR_HICKORYTRACK_ORDER_FAILED';
			return err(new HickorytrackError(code, `The engine answered ${status}: ${body.toString().slice(0, 200)}`));
		} catch (error) {
			return err(new HickorytrackError('ERR_HICKORYTRACK_ORDER_FAILED', `Sending the order to the engine failed: ${describeError(error)}`, {cause: error}));
		}
	}

	/** Describes an engine without the extensions: its list of models, and defaults for the rest. */
	async #describePlainEngine(): Promise<Result<EngineDescription, HickorytrackError>> {
		const body = parseBody(await this.#sendQuery('/v1/models')) as {data?: Array<{id: string}>};
		const names = (body.data ?? []).map(model => model.id);
		return ok({
			kind: 'model', names, adapters: [], roles: ['mixed'], role: 'mixed', capacity: defaultCapacity, speed: defaultSpeed, mixedSpeed: defaultSpeed, incarnation: 'unknown', checksFencing: false,
		});
	}

	async #sendQuery(path: string): Promise<HttpAnswer> {
		return sendCall(`${this.#url}${path}`, {timeoutMs: queryTimeoutMs, maxBodyBytes});
	}

	#convertInfo(info: InfoBody): EngineDescription {
		return {
			kind: 'model',
			names: info.models,
			adapters: info.adapters,
			roles: info.roles,
			role: info.role,
			capacity: info.capacity,
			speed: {prefillTokensPerSecond: info.prefill_tokens_per_second, decodeTokensPerSecond: info.decode_tokens_per_second},
			mixedSpeed: {
				prefillTokensPerSecond: info.mixed_prefill_tokens_per_second ?? info.prefill_tokens_per_second,
				decodeTokensPerSecond: info.mixed_decode_tokens_per_second ?? info.decode_tokens_per_second,
			},
			incarnation: info.incarnation,
			checksFencing: info.checks_fencing,
			maxRequestsPerSecond: parseRate(info.max_requests_per_second),
			softwareVersion: typeof info.software_version === 'string' ? info.software_version : undefined,
		};
	}

	#createBody(work: GenerationWork, opts: GenerateOptions): Record<string, unknown> {
		const body: Record<string, unknown> = {
			...work.body, model: work.model, stream: true, stream_options: {include_usage: true}, max_tokens: work.maxTokens, priority: opts.priority,
		};
		if (work.resumeFrom > 0) {
			body.resume_tokens = work.resumeFrom;
			body.resume_text = work.resumeText;
		}

		return body;
	}

	async * #readStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<EngineEvent> {
		const decoder = new TextDecoder();
		let texts: string[] = [];
		let finishReason: string | undefined;
		let usage: ChunkBody['usage'];
		let failure: string | undefined;
		/** Bytes since the last event. */
		let openBytes = 0;
		const parser = createParser({
			onEvent({data}) {
				openBytes = 0;
				if (data === '[DONE]') {
					return;
				}

				const chunk = JSON.parse(data) as ChunkBody;
				const choice = chunk.choices?.[0];
				const text = choice?.text ?? choice?.delta?.content;
				if (text) {
					texts.push(text);
				}

				finishReason = choice?.finish_reason ?? finishReason;
				usage = chunk.usage ?? usage;
				failure = chunk.error?.message ?? failure;
			},
		});
		try {
			for await (const bytes of body) {
				openBytes += bytes.length;
				parser.feed(decoder.decode(bytes, {stream: true}));
				if (openBytes > maxBodyBytes) {
					throw new HttpEngineError('ERR_HICKORYTRACK_ENGINE_CUT', `An event of the engine stream exceeds ${maxBodyBytes} bytes`, {written: true});
				}

				if (texts.length > 0) {
					yield {kind: 'texts', texts};
					texts = [];
				}
			}
		} catch (error) {
			// With a finish reason all texts have arrived, however the connection ends.
			if (finishReason === undefined) {
				throw error;
			}
		}

		// A stream that closes without a finish reason is truncated.
		if (finishReason === undefined || failure !== undefined) {
			yield {kind: 'failed', error: new HttpEngineError('ERR_HICKORYTRACK_ENGINE_CUT', failure ?? 'The engine stream closed without a finish reason', {written: true})};
			return;
		}

		yield {
			kind: 'end', finishReason, promptTokens: usage?.prompt_tokens ?? 0, outputTokens: usage?.completion_tokens ?? 0, cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
		};
	}

	#convertError(error: unknown): HttpEngineError {
		return new HttpEngineError('ERR_HICKORYTRACK_ENGINE_LOST', `The connection to the engine failed: ${describeError(error)}`, {written: isPossiblyWritten(error), cause: error});
	}
}

/** Undefined for what is no rate: the engine then counts as one that names no limit. */
function parseRate(value: unknown): number | undefined {
	return typeof value === 'number' && value >= 0 ? value : undefined;
}

function parseBody({body}: HttpAnswer): unknown {
	return JSON.parse(body.toString());
}

export const httpModelEngineFactory: EngineAdapterFactory = {name: 'model', create: ({url}) => new HttpModelEngine(url)};
