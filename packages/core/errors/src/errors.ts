/**
 * The base error class. Each layer of the system derives its own class and wraps the errors of the layer below with
 * `cause`. Every error has a stable code that begins with `ERR_HICKORYTRACK_` and may have a hint for the user.
 */
import {inspect} from 'node:util';

export type ErrorCode = `ERR_HICKORYTRACK_${string}`;

export type HickorytrackErrorOptions = {
	/** What the user can do next, in one sentence. */
	hint?: string;
	cause?: unknown;
};

export class HickorytrackError extends Error {
	readonly code: ErrorCode;
	readonly hint?: string;

	constructor(code: ErrorCode, message: string, opts: HickorytrackErrorOptions = {}) {
		super(message, {cause: opts.cause});
		this.name = 'HickorytrackError';
		this.code = code;
		this.hint = opts.hint;
	}
}

/** Returns the message of any thrown value. */
export function describeError(error: unknown): string {
	if (error instanceof AggregateError && error.errors.length > 0) {
		return error.errors.map(inner => describeError(inner)).join('; ');
	}

	if (error instanceof Error) {
		return error.message;
	}

	try {
		return String(error);
	} catch {
		// An object without a prototype has no text.
		return inspect(error);
	}
}
