/** Sends responses to callers: forwarded ones of servers, and the edge's own errors as problem details. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {answerFramings, findFraming} from '@hickorytrack/http-answer/answer-framing';

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-authenticate', 'proxy-authorization']);

export type ProblemDetails = {
	status: number;
	/** Stable, machine-readable code. */
	code: string;
	detail: string;
	headers?: Record<string, string>;
};

/** Returns a copy of a server's response headers without the hop-by-hop ones. */
export function removeHopByHopHeaders(headers: ResponseHead['headers']): Record<string, string | string[]> {
	const remaining: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name)) {
			remaining[name] = value;
		}
	}

	return remaining;
}

export function isHopByHopHeader(name: string): boolean {
	return hopByHopHeaders.has(name);
}

/**
 * Writes the head of a server's response whose body length is not known. A response that only the end of the server's
 * connection delimits stays one, because chunks would declare it complete.
 */
export function writeUndelimitedHead(response: ServerResponse, head: ResponseHead): void {
	const headers = removeHopByHopHeaders(head.headers);
	delete headers['content-length'];
	if (findFraming(head) === answerFramings.connection) {
		response.removeHeader('transfer-encoding');
		headers.connection = 'close';
	}

	response.writeHead(head.status, headers);
}

/** Forwards the buffered response of a server. */
export function forwardResponse(response: ServerResponse, head: ResponseHead, body: Buffer): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	if (findFraming(head) === answerFramings.connection) {
		writeUndelimitedHead(response, head);
		response.end(body);
		return;
	}

	const headers = removeHopByHopHeaders(head.headers);
	delete headers['content-length'];
	const hasBody = head.status !== 204 && head.status !== 304;
	response.writeHead(head.status, hasBody ? {...headers, 'content-length': String(body.length)} : headers);
	response.end(hasBody ? body : undefined);
}

/** Sends an error response of the edge itself. */
export function sendProblem(response: ServerResponse, problem: ProblemDetails): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = Buffer.from(JSON.stringify({status: problem.status, code: problem.code, detail: problem.detail}));
	response.writeHead(problem.status, {...problem.headers, 'content-type': 'application/problem+json', 'content-length': String(body.length)});
	response.end(body);
}
