/** Work that an entry sends through an agent to an engine, and the pieces of the answer that the agent sends back. */
import type {EndpointLoad} from './endpoint.js';

/** Whether a refused request was run; callers decide by this field whether to retry. */
export const runStates = {notRun: 'not-run', mayHaveRun: 'may-have-run', ran: 'ran'} as const;
export type RunState = typeof runStates[keyof typeof runStates];

export type GenerationWork = {
	kind: 'generation';
	api: 'chat' | 'completions';
	model: string;
	/** The caller's request body. */
	body: Record<string, unknown>;
	/** Estimated number of prompt tokens. */
	promptTokens: number;
	maxTokens: number;
	/** Number of prompt tokens that the entry expects in the engine's KV cache. */
	expectedCachedTokens: number;
	/** Number of tokens that the caller has already received from an earlier attempt. */
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
	/** Digests of the parts of its prompt that other requests may share. */
	parts?: string[];
	/** Time remaining for the whole request, in milliseconds. */
	deadlineMs: number;
	/** Time remaining until the contract's first-token target; absent once a token was sent, and for service calls. */
	firstTokenBudgetMs?: number;
	/** Latest configuration revision known to the sender. */
	revision: number;
	/** True for a request that is suspected of crashing engines; it runs alone on the engine. */
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
	/** Only the end of its connection delimited the answer, so it may be truncated. */
	hasUnknownEnd?: boolean;
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

export const stallLimits = {
	/** The engine left a query about the attempt unanswered. */
	query: 'query',
	/** The engine answers queries and has the attempt, but sends nothing for it. */
	stream: 'stream',
} as const;

/** The engine has sent nothing for an attempt for so long that the entry should look for another endpoint. The attempt goes on. */
export type Stall = {
	silentMs: number;
	limit: typeof stallLimits[keyof typeof stallLimits];
};

/** Consecutive pieces of one attempt; `end` follows the last one. */
export type PieceRun = {
	attempt: string;
	/** Sequence number of the first piece. */
	first: number;
	texts: string[];
	end?: AttemptEnd;
	stall?: Stall;
};

export type PieceBatch = {
	runs: PieceRun[];
	load: EndpointLoad;
};

/** State of an attempt at its agent, as reported to an entry that lost contact with it. */
export type AttemptResolution =
	/** The attempt was never written to the engine, and the agent will not accept it any more. */
	| {state: 'never-written'}
	/** The attempt is queued, or the agent has not received it yet. */
	| {state: 'not-started'}
	| {state: 'running'}
	| {state: 'ended'; end: AttemptEnd}
	| {state: 'unknown'};
