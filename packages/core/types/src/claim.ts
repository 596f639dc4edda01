/** Claims of calls that may not be repeated. */
import type {ServiceAnswer} from './work.js';

export const claimStates = {
	open: 'open', answered: 'answered', mayHaveRun: 'may-have-run', notRun: 'not-run',
} as const;
export type ClaimState = typeof claimStates[keyof typeof claimStates];

export type Claim = {
	workspace: string;
	key: string;
	bodyDigest: string;
	state: ClaimState;
	/** Rises with every attempt that was allowed because the one before was confirmed as not run. */
	attemptNumber: number;
	/** Endpoint that holds the attempt. */
	endpoint: string;
	/** Incarnation of the agent that the attempt goes to; another one knows nothing of it. */
	agentIncarnation: string;
	attempt: string;
	/** Entry that owns the attempt. */
	owner: string;
	/** Wall time in milliseconds. */
	openedAt: number;
	expiresAt: number;
	answer?: ServiceAnswer;
};

export type ClaimRequest = {
	workspace: string;
	key: string;
	bodyDigest: string;
	endpoint: string;
	agentIncarnation: string;
	attempt: string;
	owner: string;
	retentionSeconds: number;
};

export type ClaimReply =
	| {granted: true; claim: Claim}
	| {granted: false; conflict: boolean; claim: Claim};

/** What a reading of a claim found. `unknown` means that nobody can tell now. */
export type ClaimReadResult =
	| {kind: 'found'; claim: Claim}
	| {kind: 'none'}
	| {kind: 'unknown'};

export type ClaimSettlement = {
	workspace: string;
	key: string;
	attempt: string;
	state: 'answered' | 'may-have-run' | 'not-run';
	answer?: ServiceAnswer;
};
