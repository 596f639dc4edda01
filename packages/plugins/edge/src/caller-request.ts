/** A caller's request while the edge handles it, and its possible outcomes. */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {Route} from '@hickorytrack/route-table/route-types';
import type {RefusalGround} from './refusal-grounds.js';
import type {RequestMetadata} from './request-codec.js';

export type CallerRequest = {
	metadata: RequestMetadata;
	method: string;
	path: string;
	body: Buffer;
	route: Route;
	service: string;
	/** Monotonic time in milliseconds. */
	arrivedAt: number;
	/** Monotonic time at which the caller's or the route's timeout expires, whichever is earlier. */
	deadlineAt: number;
	response: ServerResponse;
	/** Aborts when the caller disconnects. */
	signal: AbortSignal;
	/** Identifies repeats of the same request, at whichever instance they arrive. */
	fingerprint: string;
};

/** How a request ended, for logs and metrics. */
export const requestOutcomes = {
	answered: 'answered',
	/** Not run; the caller was told when to retry. */
	refused: 'refused',
	/** It may have run; no complete response arrived. */
	failed: 'failed',
	timedOut: 'timed-out',
	/** The stream broke after it had started. */
	cut: 'cut',
	callerGone: 'caller-gone',
} as const;
export type RequestOutcome = typeof requestOutcomes[keyof typeof requestOutcomes];

export type RequestResult = {
	outcome: RequestOutcome;
	status?: number;
	reason?: string;
	/** Servers that the request was sent to, in order. */
	servers: string[];
	/** Calls to servers that ended without a run. */
	grounds?: readonly RefusalGround[];
	/** The last answer of a server. */
	answer?: ReceivedAnswer;
	firstByteMs?: number;
	predictedMs?: number;
	retryAfterMs?: number;
};
