/** The error of the engine adapters; it says whether the engine can have seen the request. */
import {HickorytrackError, type ErrorCode} from '@hickorytrack/errors';
import type {EngineError} from '@hickorytrack/types/engine-adapter';

export class HttpEngineError extends HickorytrackError implements EngineError {
	readonly written: boolean;

	constructor(code: ErrorCode, message: string, opts: {written: boolean; cause?: unknown}) {
		super(code, message, {cause: opts.cause, hint: 'Look at the engine beside the agent.'});
		this.written = opts.written;
	}
}

const unwrittenCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells whether a failed request can have reached the engine: not when the connection never opened. */
export function isPossiblyWritten(error: unknown): boolean {
	const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';
	return !unwrittenCodes.has(code);
}
