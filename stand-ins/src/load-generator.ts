/** Sends requests as a caller, records the responses and compares generated text with the answer that the prompt must give. */
import type {Clock} from '@hickorytrack/clock';
import {request} from 'undici';
import {createParser} from 'eventsource-parser';
import {computeExpectedAnswer, joinChatMessages} from './expected-answer.js';

export type GenerationRequest = {
	clock: Clock;
	url: string;
	key: string;
	model: string;
	prompt: string;
	maxTokens: number;
	api?: 'chat' | 'completions';
	isStreamed?: boolean;
	signal?: AbortSignal;
};

export type Refusal = {
	status: number;
	code: string;
	run: string;
	retryAfter?: number;
};

export type GenerationRecord = {
	outcome: 'answered' | 'refused' | 'cut' | 'wrong';
	/** Milliseconds from sending the request to the first text. */
	firstTokenMs?: number;
	/** Mean milliseconds between tokens. */
	betweenTokensMs?: number;
	totalMs: number;
	text: string;
	refusal?: Refusal;
	detail?: string;
};

type StreamState = {
	text: string;
	tokens: number;
	firstTokenAt?: number;
	lastTokenAt?: number;
	finishReason?: string;
	refusal?: Refusal;
};

/** Sends one generation request and classifies its response. */
export async function requestGeneration(generation: GenerationRequest): Promise<GenerationRecord> {
	const startedAt = generation.clock.monotonic();
	const state: StreamState = {text: '', tokens: 0};
	let detail: string | undefined;
	try {
		await readGeneration(generation, state);
	} catch (error) {
		detail = error instanceof Error ? error.message : String(error);
	}

	return createRecord(generation, state, {startedAt, detail});
}

async function readGeneration(generation: GenerationRequest, state: StreamState): Promise<void> {
	const {url, key, model, prompt, maxTokens, api = 'completions', isStreamed = true} = generation;
	const content = api === 'chat' ? {messages: [{role: 'user', content: prompt}]} : {prompt};
	const response = await request(`${url}/v1/${api === 'chat' ? 'chat/completions' : 'completions'}`, {
		method: 'POST', headersTimeout: 0, bodyTimeout: 0, signal: generation.signal,
		headers: {'content-type': 'application/json', authorization: `Bearer ${key}`},
		body: JSON.stringify({
			model, max_tokens: maxTokens, stream: isStreamed, ...content,
		}),
	});
	if (response.statusCode !== 200) {
		const problem = await response.body.json() as Refusal;
		state.refusal = {
			status: response.statusCode, code: problem.code, run: problem.run, retryAfter: problem.retryAfter,
		};
		return;
	}

	if (!isStreamed) {
		const body = await response.body.json() as {choices: Array<{text?: string; message?: {content: string}; finish_reason: string}>};
		state.text = body.choices[0]!.text ?? body.choices[0]!.message!.content;
		state.finishReason = body.choices[0]!.finish_reason;
		return;
	}

	await readStream(response.body, {state, clock: generation.clock});
}

async function readStream(body: AsyncIterable<Uint8Array>, {state, clock}: {state: StreamState; clock: Clock}): Promise<void> {
	const decoder = new TextDecoder();
	const parser = createParser({
		onEvent({event, data}) {
			if (data === '[DONE]') {
				return;
			}

			const parsed = JSON.parse(data) as {choices?: Array<{text?: string; delta?: {content?: string}; finish_reason?: string}>; error?: Refusal};
			if (event === 'error') {
				state.refusal = {status: 200, code: parsed.error!.code, run: parsed.error!.run};
				return;
			}

			const choice = parsed.choices?.[0];
			const text = choice?.text ?? choice?.delta?.content;
			if (text) {
				state.text += text;
				state.tokens++;
				state.lastTokenAt = clock.monotonic();
				state.firstTokenAt ??= state.lastTokenAt;
			}

			state.finishReason = choice?.finish_reason ?? state.finishReason;
		},
	});
	for await (const bytes of body) {
		parser.feed(decoder.decode(bytes, {stream: true}));
	}
}

function createRecord(generation: GenerationRequest, state: StreamState, opts: {startedAt: number; detail?: string}): GenerationRecord {
	const record: GenerationRecord = {
		outcome: 'answered',
		totalMs: generation.clock.monotonic() - opts.startedAt,
		text: state.text,
		firstTokenMs: state.firstTokenAt === undefined ? undefined : state.firstTokenAt - opts.startedAt,
		betweenTokensMs: state.tokens > 1 ? (state.lastTokenAt! - state.firstTokenAt!) / (state.tokens - 1) : undefined,
		refusal: state.refusal,
		detail: opts.detail,
	};
	if (state.refusal) {
		record.outcome = state.text === '' ? 'refused' : 'cut';
	} else if (state.finishReason === undefined) {
		record.outcome = 'cut';
	} else {
		const prompt = generation.api === 'chat' ? joinChatMessages([{role: 'user', content: generation.prompt}]) : generation.prompt;
		record.outcome = state.text === computeExpectedAnswer(prompt, generation.maxTokens) ? 'answered' : 'wrong';
	}

	return record;
}

export type ServiceRequest = {
	url: string;
	key: string;
	service: string;
	method: string;
	path: string;
	body?: string;
	idempotencyKey?: string;
};

export type ServiceRecord = {
	status: number;
	body: string;
	isReplayed: boolean;
	refusal?: Refusal;
	detail?: string;
};

/** Calls a plain service through an entry. */
export async function callService(call: ServiceRequest): Promise<ServiceRecord> {
	try {
		const response = await request(`${call.url}/services/${call.service}${call.path}`, {
			method: call.method as 'POST', headersTimeout: 0, bodyTimeout: 0, body: call.body,
			headers: {
				authorization: `Bearer ${call.key}`, 'content-type': 'application/json',
				...(call.idempotencyKey !== undefined && {'idempotency-key': call.idempotencyKey}),
			},
		});
		const body = await response.body.text();
		const isProblem = String(response.headers['content-type']).startsWith('application/problem');
		return {
			status: response.statusCode, body, isReplayed: response.headers['idempotency-replayed'] === 'true', refusal: isProblem ? JSON.parse(body) as Refusal : undefined,
		};
	} catch (error) {
		return {
			status: 0, body: '', isReplayed: false, detail: error instanceof Error ? error.message : String(error),
		};
	}
}
