/** One request of a caller on its way through the edge, and the ways in which it can end. */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Route} from '@hickorytrack/route-table/route-types';
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
	/** Monotonic time at which the caller or the route's timeout gives up. */
	deadlineAt: number;
	response: ServerResponse;
	/** Aborts when the caller has gone. */
	signal: AbortSignal;
	/** Identifies repeats of the same request, whoever receives them. */
	fingerprint: string;
};

/** How a request ended, for logs and metrics. */
export const requestOutcomes = {
	answered: 'answered',
	/** Not run; the caller was told when to come back. */
	refused: 'refused',
	/** It may have run; no whole answer arrived. */
	failed: 'failed',
	timedOut: 'timed-out',
	/** The stream broke after it had begun. */
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
	firstByteMs?: number;
	predictedMs?: number;
	retryAfterMs?: number;
};
