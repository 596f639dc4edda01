/** The wire format of the model API: reading requests and writing whole answers, chunks and errors. */
import {err, ok, type Result} from 'neverthrow';
import type {GenerationUsage} from './generation-call.js';
import type {Problem} from './problem.js';

const charactersPerToken = 4;
const defaultMaxTokens = 256;
const highestMaxTokens = 32_768;
const msPerSecond = 1000;

export type ModelApiName = 'chat' | 'completions';

export type ParsedModelRequest = {
	api: ModelApiName;
	model: string;
	prompt: string;
	promptTokens: number;
	maxTokens: number;
	isStreamed: boolean;
	body: Record<string, unknown>;
};

/** Reads the body of a request; the error says in one sentence what is wrong. */
export function parseModelRequest(api: ModelApiName, text: string): Result<ParsedModelRequest, string> {
	let body: Record<string, unknown>;
	try {
		body = JSON.parse(text) as Record<string, unknown>;
	} catch {
		return err('The body is no JSON text');
	}

	if (typeof body !== 'object' || body === null || Array.isArray(body)) {
		return err('The body must be a JSON object');
	}

	const {model, stream} = body;
	const maxTokens = body.max_tokens ?? body.max_completion_tokens ?? defaultMaxTokens;
	if (typeof model !== 'string' || model === '') {
		return err('model must be the name of a model');
	}

	if (typeof maxTokens !== 'number' || !Number.isInteger(maxTokens) || maxTokens < 1 || maxTokens > highestMaxTokens) {
		return err(`max_tokens must be a whole number from 1 to ${highestMaxTokens}`);
	}

	if (stream !== undefined && typeof stream !== 'boolean') {
		return err('stream must be true or false');
	}

	if ((body.n ?? 1) !== 1) {
		return err('n must be 1');
	}

	const prompt = api === 'chat' ? joinMessages(body.messages) : body.prompt;
	if (typeof prompt !== 'string' || prompt === '') {
		return err(api === 'chat' ? 'messages must be a list of objects with role and content' : 'prompt must be a text');
	}

	return ok({
		api, model, prompt, maxTokens, body, isStreamed: stream === true, promptTokens: Math.ceil(prompt.length / charactersPerToken),
	});
}

function joinMessages(messages: unknown): string | undefined {
	if (!Array.isArray(messages) || messages.length === 0) {
		return undefined;
	}

	const lines: string[] = [];
	for (const message of messages as Array<{role?: unknown; content?: unknown} | undefined>) {
		if (typeof message?.role !== 'string' || typeof message.content !== 'string') {
			return undefined;
		}

		lines.push(`${message.role}: ${message.content}`);
	}

	return lines.join('\n');
}

export type ResponseMetadata = {
	api: ModelApiName;
	requestId: string;
	model: string;
	/** Wall time in milliseconds. */
	createdAt: number;
};

/** Formats one chunk of a streamed answer as a server-sent event. */
export function formatChunk(identity: ResponseMetadata, text: string): string {
	const choice = identity.api === 'chat' ? {index: 0, delta: {content: text}, finish_reason: null} : {index: 0, text, finish_reason: null};
	return formatEvent({...formatHead(identity, true), choices: [choice]});
}

/** Formats the end of a streamed answer: the last chunk with its finish reason and usage, and the closing mark. */
export function formatStreamEnd(identity: ResponseMetadata, usage: GenerationUsage): string {
	const choice = identity.api === 'chat' ? {index: 0, delta: {}, finish_reason: usage.finishReason} : {index: 0, text: '', finish_reason: usage.finishReason};
	return formatEvent({...formatHead(identity, true), choices: [choice], usage: formatUsage(usage)}) + 'data: [DONE]\n\n';
}

/** Formats the end of a streamed answer that could not be completed. */
export function formatStreamError(problem: Problem): string {
	return `event: error\n${formatEvent({error: problem})}`;
}

export function formatResponse(identity: ResponseMetadata, text: string, usage: GenerationUsage): string {
	const choice = identity.api === 'chat'
		? {index: 0, message: {role: 'assistant', content: text}, finish_reason: usage.finishReason}
		: {index: 0, text, finish_reason: usage.finishReason};
	return JSON.stringify({...formatHead(identity, false), choices: [choice], usage: formatUsage(usage)});
}

function formatHead(identity: ResponseMetadata, isChunk: boolean): Record<string, unknown> {
	const chatObject = isChunk ? 'chat.completion.chunk' : 'chat.completion';
	return {
		id: identity.requestId, object: identity.api === 'chat' ? chatObject : 'text_completion', created: Math.floor(identity.createdAt / msPerSecond), model: identity.model,
	};
}

function formatUsage(usage: GenerationUsage): Record<string, unknown> {
	return {
		prompt_tokens: usage.promptTokens, completion_tokens: usage.outputTokens, total_tokens: usage.promptTokens + usage.outputTokens, prompt_tokens_details: {cached_tokens: usage.cachedTokens},
	};
}

function formatEvent(data: unknown): string {
	return `data: ${JSON.stringify(data)}\n\n`;
}
