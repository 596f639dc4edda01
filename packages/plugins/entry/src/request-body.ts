/** Reads the body of a caller's request with a size limit and a timeout. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';

export type BodyError =
	/** The limit is in bytes for `body-too-large` and in milliseconds for `request-too-slow`. */
	| {code: 'body-too-large' | 'request-too-slow'; limit: number}
	/** The request stream failed before the body was complete, usually because the caller disconnected. */
	| {code: 'body-broken'};

export type ReadBodyOptions = {
	maxBytes: number;
	timeoutMs: number;
	clock: Clock;
};

/** Reads the body as text. After an error the rest of the body may still arrive, so the connection can't be reused. */
export async function readBody(request: IncomingMessage, opts: ReadBodyOptions): Promise<Result<string, BodyError>> {
	const {maxBytes, timeoutMs, clock} = opts;
	if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
		return err({code: 'body-too-large', limit: maxBytes});
	}

	const finished = new AbortController();
	const waitForTimeout = async (): Promise<Result<string, BodyError>> => {
		await clock.sleep(timeoutMs, finished.signal);
		return err({code: 'request-too-slow', limit: timeoutMs});
	};

	try {
		return await Promise.race([collectBody(request, maxBytes), waitForTimeout()]);
	} finally {
		finished.abort();
	}
}

async function collectBody(request: IncomingMessage, maxBytes: number): Promise<Result<string, BodyError>> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		// The end of the loop would destroy the request and its connection, before the answer.
		for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > maxBytes) {
				return err({code: 'body-too-large', limit: maxBytes});
			}

			chunks.push(chunk);
		}
	} catch {
		return err({code: 'body-broken'});
	}

	return ok(Buffer.concat(chunks).toString('utf8'));
}
