/** Writes answers to callers: those of servers unchanged, and the edge's own refusals and failures. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ResponseHead} from '@hickorytrack/endpoint-client';

/** Headers that concern one connection only. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-authenticate', 'proxy-authorization']);

export type ProblemDetails = {
	status: number;
	/** Stable code for programs. */
	code: string;
	detail: string;
	headers?: Record<string, string>;
};

/** Returns the headers of a server's answer without those that concern the connection to it. */
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

/** Tells whether the answer ends with its connection, without a length or chunks that tell a whole one from a cut one. */
function isCloseDelimited(head: ResponseHead): boolean {
	return head.headers['content-length'] === undefined && head.headers['transfer-encoding'] === undefined && head.status !== 204 && head.status !== 304;
}

/** Sends a whole answer of a server. */
export function forwardResponse(response: ServerResponse, head: ResponseHead, body: Buffer): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const headers = removeHopByHopHeaders(head.headers);
	delete headers['content-length'];
	if (isCloseDelimited(head)) {
		// Only the end of the connection says that such an answer is whole. Giving it a length would vouch for it.
		response.removeHeader('transfer-encoding');
		response.writeHead(head.status, {...headers, connection: 'close'});
		response.end(body);
		return;
	}

	const hasBody = head.status !== 204 && head.status !== 304;
	response.writeHead(head.status, hasBody ? {...headers, 'content-length': String(body.length)} : headers);
	response.end(hasBody ? body : undefined);
}

/** Sends an answer of the edge's own. */
export function sendProblem(response: ServerResponse, problem: ProblemDetails): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = Buffer.from(JSON.stringify({status: problem.status, code: problem.code, detail: problem.detail}));
	response.writeHead(problem.status, {...problem.headers, 'content-type': 'application/problem+json', 'content-length': String(body.length)});
	response.end(body);
}
