/** Work on its way from an entry through an agent to an engine, and the pieces of its answer on the way back. */
import type {EndpointLoad} from './endpoint.js';

/** Whether a refused request has run: the one field a caller needs to decide on a resend. */
export const runStates = {notRun: 'not-run', mayHaveRun: 'may-have-run', ran: 'ran'} as const;
export type RunState = typeof runStates[keyof typeof runStates];

export type GenerationWork = {
	kind: 'generation';
	api: 'chat' | 'completions';
	model: string;
	/** The caller's request body. */
	body: Record<string, unknown>;
	/** Tokens of the prompt, by estimate. */
	promptTokens: number;
	maxTokens: number;
	/** Tokens of the prompt that the entry expects in the engine's cache. */
	expectedCachedTokens: number;
	/** Tokens that the caller already has from an earlier attempt. */
	resumeFrom: number;
	/** Text of those tokens. */
	resumeText: string;
};

export type ServiceWork = {
	kind: 'service';
	service: string;
	method: string;
	path: string;
	contentType: string;
	body: string;
	repeatable: boolean;
};

export type WorkSubmission = {
	attempt: string;
	requestId: string;
	workspace: string;
	fingerprint: string;
	/** Time left for the whole request, in milliseconds. */
	deadlineMs: number;
	/** Time left until the contract's target for the first token; absent once there is one, and for service calls. */
	firstTokenBudgetMs?: number;
	/** Highest configuration revision of the sender. */
	revision: number;
	/** A suspect runs with no other work on the engine. */
	isolated: boolean;
	work: GenerationWork | ServiceWork;
};

export const refusalReasons = {
	draining: 'draining',
	queueFull: 'queue-full',
	queueTime: 'queue-time',
	unknownWorkspace: 'unknown-workspace',
	wrongEndpoint: 'wrong-endpoint',
	notReady: 'not-ready',
	tombstone: 'tombstone',
	stopping: 'stopping',
} as const;
export type RefusalReason = typeof refusalReasons[keyof typeof refusalReasons];

export type SubmissionReply =
	| {accepted: true; load: EndpointLoad; revision: number}
	| {accepted: false; reason: RefusalReason; load: EndpointLoad; revision: number};

export type ServiceAnswer = {
	status: number;
	contentType: string;
	body: string;
};

/** How an attempt ended at its agent. */
export type AttemptEnd =
	| {kind: 'complete'; finishReason: string; promptTokens: number; outputTokens: number; cachedTokens: number}
	| {kind: 'service-answer'; answer: ServiceAnswer}
	| {kind: 'refused'; reason: RefusalReason}
	| {kind: 'engine-crashed'; written: boolean; alone: boolean}
	| {kind: 'engine-failed'; written: boolean; message: string}
	| {kind: 'handed-over'}
	| {kind: 'cancelled'; written: boolean};

/** Consecutive pieces of one attempt; `end` follows the last one. */
export type PieceRun = {
	attempt: string;
	/** Sequence number of the first text. */
	first: number;
	texts: string[];
	end?: AttemptEnd;
};

export type PieceBatch = {
	runs: PieceRun[];
	load: EndpointLoad;
};

/** What an agent knows about an attempt that its entry lost sight of. */
export type AttemptResolution =
	/** The engine never saw it and never will: the attempt is barred. */
	| {state: 'never-written'}
	/** It waits in queue, or the agent has not heard of it yet. */
	| {state: 'not-started'}
	| {state: 'running'}
	| {state: 'ended'; end: AttemptEnd}
	| {state: 'unknown'};
