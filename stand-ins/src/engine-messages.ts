/** Wire messages of the model engine stand-in, and the records of its ledger. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ModelRole} from './batch-model.js';
import type {AnswerSource} from './expected-answer.js';

export type FenceToken = {
	term: number;
	epoch: number;
	orderNumber: number;
};

export type LedgerOrder = {
	fence: FenceToken;
	change: string;
	order: {kind: string; role?: ModelRole};
	isAccepted: boolean;
};

export type LedgerRequest = {
	/** Monotonic time of its arrival, in milliseconds. */
	at: number;
	request: string;
	resumedFrom: number;
	promptCharacters: number;
	state: 'running' | 'complete' | 'cancelled';
};

export type OpenRequest = {
	id: string;
	source: AnswerSource;
	response: ServerResponse;
	next: number;
	isChat: boolean;
	model: string;
	promptTokens: number;
	cachedTokens: number;
	isStalled: boolean;
	ledger: LedgerRequest;
};

export type CompletionBody = {
	model: string;
	prompt?: string;
	messages?: Array<{role: string; content: string}>;
	max_tokens?: number;
	priority?: number;
	resume_tokens?: number;
};

export function compareFenceTokens(a: FenceToken, b: FenceToken): number {
	return (a.term - b.term) || (a.epoch - b.epoch) || (a.orderNumber - b.orderNumber);
}

export function formatChunk(openRequest: OpenRequest, opts: {token?: string; finishReason?: string}): string {
	const {token, finishReason} = opts;
	const choice = openRequest.isChat ? {index: 0, delta: {content: token}, finish_reason: finishReason} : {index: 0, text: token ?? '', finish_reason: finishReason};
	const usage = finishReason && {prompt_tokens: openRequest.promptTokens, completion_tokens: openRequest.next, prompt_tokens_details: {cached_tokens: openRequest.cachedTokens}};
	return `data: ${JSON.stringify({
		id: openRequest.id, model: openRequest.model, choices: [choice], ...(usage && {usage}),
	})}\n\n`;
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Buffer[] = [];
	for await (const chunk of request as AsyncIterable<Buffer>) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}') as unknown;
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}
