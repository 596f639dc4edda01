/** The error of the engine adapters; `written` tells whether the engine may have received the request. */
import {describeError, HickorytrackError, type ErrorCode} from '@hickorytrack/errors';
import type {EngineError} from '@hickorytrack/types/engine-adapter';

export class HttpEngineError extends HickorytrackError implements EngineError {
	readonly written: boolean;

	constructor(code: ErrorCode, message: string, opts: {written: boolean; cause?: unknown}) {
		super(code, message, {cause: opts.cause, hint: 'Check that the engine next to the agent is running, and look at its log.'});
		this.written = opts.written;
	}
}

/** Returns whether a call was cancelled; a query is only by its timeout. */
export function isCancelled(error: unknown): boolean {
	return error instanceof HickorytrackError && error.code === 'ERR_HICKORYTRACK_CALL_CANCELLED';
}

/** Converts the failure of a query. */
export function convertQueryError(error: unknown, {url, timeoutMs}: {url: string; timeoutMs: number}): HickorytrackError {
	return isCancelled(error)
		? new HickorytrackError('ERR_HICKORYTRACK_ENGINE_SILENT', `${url} did not answer a query within ${timeoutMs} ms`, {cause: error})
		: new HickorytrackError('ERR_HICKORYTRACK_ENGINE_UNREACHABLE', `${url} can't be reached: ${describeError(error)}`, {cause: error});
}

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);
const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT';

/** Returns whether a failed request may have reached the engine; it has not if the connection was never opened. */
export function isPossiblyWritten(error: unknown): boolean {
	if (error instanceof AggregateError) {
		// The host has several addresses; there is one error for each.
		return error.errors.some(cause => isPossiblyWritten(cause));
	}

	const {code, syscall} = (typeof error === 'object' && error !== null ? error : {}) as {code?: unknown; syscall?: unknown};
	// The same codes are reported for an open connection when its host can no longer be reached.
	return code !== connectTimeoutCode && !(syscall === 'connect' && connectErrorCodes.has(String(code)));
}
