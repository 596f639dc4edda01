/** A caller's request while the edge handles it, and its possible outcomes. */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RunTraits} from '@hickorytrack/crash-attribution/run-traits';
import type {ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {Route} from '@hickorytrack/route-table/route-types';
import type {AnswerHold} from '../calls/answer-hold.js';
import type {RefusalGround} from '../calls/refusal-grounds.js';
import type {RequestMetadata} from '../request-codec.js';

/** Whose timeout is the earlier one. */
export const timeoutSources = {caller: 'caller', route: 'route'} as const;
export type TimeoutSource = typeof timeoutSources[keyof typeof timeoutSources];

export type RequestRouting = {
	/** Version of the configuration. */
	version: number;
	/** The caller's or the route's timeout, whichever is shorter. */
	timeoutMs: number;
	timeoutBy: TimeoutSource;
};

/** Why this side ended the connection of a request that it had read and not answered completely. */
export const dropReasons = {
	/** The time for a request head, or the idle timeout, expired. */
	limit: 'limit',
	stop: 'stop',
	/** Bytes behind the request could not be read. */
	unreadable: 'unreadable',
	/** The answer to an earlier request of the connection ended it. */
	earlierAnswer: 'earlier-answer',
	/** The answer had begun and was broken off. */
	cut: 'cut',
	exit: 'exit',
	error: 'error',
} as const;
export type DropReason = typeof dropReasons[keyof typeof dropReasons];

export type CallerRequest = {
	metadata: RequestMetadata;
	method: string;
	path: string;
	body: Buffer;
	route: Route;
	service: string;
	/** Name of the workspace that holds the caller's key; undefined on public routes and without workspaces. */
	workspace?: string;
	/** That of the workspace, otherwise that of the route; 0 is the highest priority. */
	priority: number;
	/** Monotonic time in milliseconds. */
	arrivedAt: number;
	/** Monotonic time at which the caller's or the route's timeout expires, whichever is earlier. */
	deadlineAt: number;
	/** By what the request was routed; later configurations don't change it. Undefined if no configuration routed it. */
	routing?: RequestRouting;
	response: ServerResponse;
	/** Holds its answers until the caller has them. */
	answerHold?: AnswerHold;
	/** Aborts when the caller disconnects, and with a drop reason when this side ends the caller's connection. */
	signal: AbortSignal;
	/** Counts the request for its workspace, once however often it is called; a server has run it or may have. */
	countRun?: () => void;
	/** By what its runs are recognised in crashes of servers, at whichever instance they arrive. */
	traits: RunTraits;
	/** The stream that it takes up: the version at which it must go on. */
	takenUp?: {version: string};
	/** It tries whether a banned trait still crashes servers, in one run at one server. */
	isTrial?: boolean;
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
	/** This side ended the connection of the caller. */
	dropped: 'dropped',
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
	/** Of a stream that was cut: how many servers of its service took requests at that moment. */
	usableServers?: number;
	firstByteMs?: number;
	predictedMs?: number;
	retryAfterMs?: number;
};
