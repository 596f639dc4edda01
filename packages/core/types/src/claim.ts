/** Claims: records of the calls that must not be repeated, by idempotency key. */
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
	/** Incremented for each attempt that was permitted because the previous one was confirmed as not run. */
	attemptNumber: number;
	/** Endpoint that the attempt is assigned to. */
	endpoint: string;
	/** Incarnation of the agent that the attempt is assigned to; another incarnation has no record of the attempt. */
	agentIncarnation: string;
	attempt: string;
	/** Entry that owns the attempt. */
	owner: string;
	/** Wall time in milliseconds since the epoch. */
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

/** Result of reading a claim. `unknown` means that the state can't be determined at present. */
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
