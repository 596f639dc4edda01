/** The wire format of the model API: parses requests and formats responses, stream chunks and stream errors. */
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

/** Parses the body of a request. The error is a one-sentence message for the caller. */
export function parseModelRequest(api: ModelApiName, text: string): Result<ParsedModelRequest, string> {
	let body: Record<string, unknown>;
	try {
		body = JSON.parse(text) as Record<string, unknown>;
	} catch {
		return err('The body is not valid JSON');
	}

	if (typeof body !== 'object' || body === null || Array.isArray(body)) {
		return err('The body must be a JSON object');
	}

	const {model, stream} = body;
	const maxTokens = body.max_tokens ?? body.max_completion_tokens ?? defaultMaxTokens;
	if (typeof model !== 'string' || model === '') {
		return err('model must be a non-empty string');
	}

	if (typeof maxTokens !== 'number' || !Number.isInteger(maxTokens) || maxTokens < 1 || maxTokens > highestMaxTokens) {
		return err(`max_tokens must be an integer from 1 to ${highestMaxTokens}`);
	}

	if (stream !== undefined && typeof stream !== 'boolean') {
		return err('stream must be true or false');
	}

	if ((body.n ?? 1) !== 1) {
		return err('n must be 1');
	}

	const prompt = api === 'chat' ? joinMessages(body.messages) : body.prompt;
	if (typeof prompt !== 'string' || prompt === '') {
		return err(api === 'chat' ? 'messages must be a non-empty array of objects with string fields role and content' : 'prompt must be a non-empty string');
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

export type CompletionMetadata = {
	api: ModelApiName;
	requestId: string;
	model: string;
	/** Wall-clock time in milliseconds. */
	createdAt: number;
};

/** Formats one chunk of a streamed response as a server-sent event. */
export function formatChunk(metadata: CompletionMetadata, text: string): string {
	const choice = metadata.api === 'chat' ? {index: 0, delta: {content: text}, finish_reason: null} : {index: 0, text, finish_reason: null};
	return formatEvent({...formatMetadata(metadata, true), choices: [choice]});
}

/** Formats the end of a streamed response: the last chunk with finish reason and usage, then the `[DONE]` event. */
export function formatStreamEnd(metadata: CompletionMetadata, usage: GenerationUsage): string {
	const choice = metadata.api === 'chat' ? {index: 0, delta: {}, finish_reason: usage.finishReason} : {index: 0, text: '', finish_reason: usage.finishReason};
	return formatEvent({...formatMetadata(metadata, true), choices: [choice], usage: formatUsage(usage)}) + 'data: [DONE]\n\n';
}

/** Formats the error event that ends a streamed response which could not be completed. */
export function formatStreamError(problem: Problem): string {
	return `event: error\n${formatEvent({error: problem})}`;
}

export function formatResponse(metadata: CompletionMetadata, text: string, usage: GenerationUsage): string {
	const choice = metadata.api === 'chat'
		? {index: 0, message: {role: 'assistant', content: text}, finish_reason: usage.finishReason}
		: {index: 0, text, finish_reason: usage.finishReason};
	return JSON.stringify({...formatMetadata(metadata, false), choices: [choice], usage: formatUsage(usage)});
}

function formatMetadata(metadata: CompletionMetadata, isChunk: boolean): Record<string, unknown> {
	const chatObject = isChunk ? 'chat.completion.chunk' : 'chat.completion';
	return {
		id: metadata.requestId, object: metadata.api === 'chat' ? chatObject : 'text_completion', created: Math.floor(metadata.createdAt / msPerSecond), model: metadata.model,
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
