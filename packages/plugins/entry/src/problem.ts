/** Error responses to callers, as `application/problem+json` (RFC 9457). The codes are part of the public API. */
import type {RunState} from '@hickorytrack/types/work';

export const problemCatalogue = {
	'missing-key': {status: 401, title: 'The request carries no key'},
	'unknown-key': {status: 401, title: 'The key is not known'},
	'bad-request': {status: 400, title: 'The request can\'t be read'},
	'unmet-expectation': {status: 417, title: 'No expectation other than 100-continue is known'},
	'body-too-large': {status: 413, title: 'The body is larger than the contract allows'},
	'request-too-slow': {status: 408, title: 'The body did not arrive in time'},
	'not-found': {status: 404, title: 'There is nothing at this path'},
	'model-not-allowed': {status: 403, title: 'The contract does not allow this model'},
	'call-not-allowed': {status: 403, title: 'The contract does not allow this call'},
	'rate-limited': {status: 429, title: 'The rate of the contract is used up'},
	'concurrency-limited': {status: 429, title: 'The contract\'s number of requests at once is reached'},
	overloaded: {status: 503, title: 'The fleet can\'t answer in time now'},
	'no-endpoint': {status: 503, title: 'No endpoint can take the request now'},
	'not-ready': {status: 503, title: 'This entry is not ready'},
	quarantined: {status: 422, title: 'The request crashed endpoints and is quarantined'},
	'suspect-busy': {status: 503, title: 'The request crashed an endpoint and is being tried elsewhere'},
	'deadline-passed': {status: 504, title: 'The request was not finished in time'},
	'answer-lost': {status: 502, title: 'The answer could not be completed'},
	'idempotency-key-required': {status: 400, title: 'A call that may not be repeated needs an Idempotency-Key'},
	'idempotency-key-reused': {status: 422, title: 'The Idempotency-Key was used for another body'},
	'outcome-unknown': {status: 409, title: 'The outcome of the call was lost and it will not be run again'},
	'answer-not-kept': {status: 409, title: 'The call ran; its answer was too large to keep'},
	'still-running': {status: 409, title: 'The call is still running'},
} as const;

export type ProblemCode = keyof typeof problemCatalogue;

export type Problem = {
	type: string;
	title: string;
	status: number;
	code: ProblemCode;
	run: RunState;
	detail?: string;
	requestId: string;
	/** Seconds after which a retry may succeed. */
	retryAfter?: number;
};

export type ProblemOptions = {
	requestId: string;
	run?: RunState;
	detail?: string;
	retryAfterMs?: number;
};

const msPerSecond = 1000;

/** Creates a problem. Its `run` is `not-run` unless the options set another state. */
export function createProblem(code: ProblemCode, opts: ProblemOptions): Problem {
	const {status, title} = problemCatalogue[code];
	return {
		type: `urn:hickorytrack:problem:${code}`,
		title,
		status,
		code,
		run: opts.run ?? 'not-run',
		requestId: opts.requestId,
		...(opts.detail !== undefined && {detail: opts.detail}),
		...(opts.retryAfterMs !== undefined && {retryAfter: Math.max(1, Math.ceil(opts.retryAfterMs / msPerSecond))}),
	};
}
