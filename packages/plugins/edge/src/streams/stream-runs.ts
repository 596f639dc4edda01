/** The runs of one streaming request, as the table of runs sees them, with the events that it knows and the actions that it asks for. */

export const runStates = {
	/** No server has it: it waits for the right to send, for the answer to a call for a status or for a record, or its server has failed it. */
	planned: 'planned',
	/** A server prefills its prompt. */
	prefilling: 'prefilling',
	/** Sent to a server beside runs that have not ended; they are on hold until that server takes it or not. */
	deciding: 'deciding',
	/** A server has it, and no run before it is left. */
	atWork: 'at work',
	/** Its events are passed on. */
	delivering: 'delivering',
	/** Another run goes on in its place, or nothing is left to do for it. */
	ended: 'ended',
} as const;
export type RunState = typeof runStates[keyof typeof runStates];

export const runWays = {
	/** The request is sent anew. */
	anew: 'anew',
	/** The stream goes on from a copy of its KV cache, which counts as the same run. */
	copy: 'copy',
} as const;
export type RunWay = typeof runWays[keyof typeof runWays];

export type Run = {
	readonly id: number;
	readonly state: RunState;
	readonly way: RunWay;
	/** The run at a silent server beside which this one was started. */
	readonly predecessor?: number;
	/** It was sent to a server that generates. */
	readonly wasSent: boolean;
	/** Nothing is left to do for it. */
	readonly isFinished: boolean;
};

export type StreamRuns = {
	readonly mayRunTwice: boolean;
	readonly runs: readonly Run[];
	/** A retry is kept with which the stream may come back from a server that has not delivered yet. */
	readonly hasReturn: boolean;
	/** How often a server has refused to go on from a copy. */
	readonly refusedCopies: number;
	/** The run whose failure the caller gets if no other one answers. */
	readonly failedRun?: number;
	/** How the last run that was not ended by another one has finished. */
	readonly lastOutcome?: {run: number; as: RunOutcome};
	/** The answer is decided. */
	readonly isOver: boolean;
};

/** What the decision depends on beside the runs. */
export type RunFacts = {
	/** A trait of the request crashes servers. */
	isBanned: boolean;
	/** No server can have run the request. */
	isNotExecuted: boolean;
	/** A server may still be sent the request anew. */
	canRunAnew: boolean;
	/** A server keeps a copy of the KV cache of the run that is reported. */
	hasCopy: boolean;
	/** Reserves this many retries of the budget, or none and returns false. */
	reserve: (way: RunWay, count: number) => boolean;
};

export const runOutcomes = {
	/** A whole answer, or nobody waits for one any more. */
	answer: 'answer',
	/** No other server may be asked. */
	failure: 'failure',
	/** Another server may be asked. */
	open: 'open',
	/** A server did not go on from a copy, which it may still have. */
	refusedCopy: 'refused copy',
} as const;
export type RunOutcome = typeof runOutcomes[keyof typeof runOutcomes];

export type RunEvent =
	| {kind: 'begin'; facts: RunFacts}
	| {kind: 'prefilling' | 'prefilled' | 'sent' | 'accepted' | 'delivering' | 'refuted' | 'completed' | 'failed'; run: number}
	/** `isHeard`: the server of a run before it has sent something since it is on hold. */
	| {kind: 'decide'; run: number; isWritten: boolean; isHeard: boolean}
	| {kind: 'silent'; run: number; facts: RunFacts}
	| {kind: 'finished'; run: number; as: RunOutcome; facts: RunFacts};

export const permitSources = {
	/** Reserved for this run. */
	reserved: 'reserved',
	/** The retry that was kept for the way back. */
	kept: 'kept',
	/** The permit of the run before it, which is not sent meanwhile. */
	lent: 'lent',
} as const;
export type PermitSource = typeof permitSources[keyof typeof permitSources];

export type RunAction =
	/** `keepsReturn`: the second reserved retry is kept for the way back. */
	| {kind: 'start'; run: Run; permit: PermitSource; keepsReturn: boolean}
	| {kind: 'wait'; run: number; reason: string}
	/** `drop`: what has arrived while the run was on hold is not delivered, because its server has failed it and another one goes on. */
	| {kind: 'hold' | 'release' | 'drop' | 'time'; run: number}
	/** `by`: the run that goes on in its place. */
	| {kind: 'end'; run: number; by?: number}
	| {kind: 'release-return'}
	/** The caller gets what this run has ended with. */
	| {kind: 'finish'; run: number}
	| {kind: 'give-up'; reason: string};

export function createStreamRuns(mayRunTwice: boolean): StreamRuns {
	return {
		mayRunTwice, runs: [], hasReturn: false, refusedCopies: 0, isOver: false,
	};
}

export function findRun({runs}: StreamRuns, id: number | undefined): Run | undefined {
	return runs.find(run => run.id === id);
}

export function listLive({runs}: StreamRuns): Run[] {
	return runs.filter(({state}) => state !== runStates.ended);
}

/** A server that generates has it. */
export function isGenerating({state}: Run): boolean {
	return state === runStates.deciding || state === runStates.atWork || state === runStates.delivering;
}

/** The runs before it that have not ended. */
export function listPredecessors(stream: StreamRuns, run: Run): Run[] {
	const predecessor = findRun(stream, run.predecessor);
	return predecessor ? [...listPredecessors(stream, predecessor), predecessor].filter(({state}) => state !== runStates.ended) : [];
}

/** The runs that were started beside it and have not ended. */
export function listSuccessors(stream: StreamRuns, run: Run): Run[] {
	return listLive(stream).filter(({predecessor}) => predecessor === run.id);
}

/** A run delivers nothing while a server decides about one that was started after it. */
export function isOnHold(stream: StreamRuns, run: Run): boolean {
	return run.state !== runStates.ended && stream.runs.length > 1 && stream.runs.some(other => other.state === runStates.deciding && listPredecessors(stream, other).includes(run));
}

/** Returns the run that delivers, if no other one is left: its further events change nothing. */
export function findSoleDelivery(stream: StreamRuns): Run | undefined {
	const live = listLive(stream);
	return live.length === 1 && live[0]!.state === runStates.delivering ? live[0] : undefined;
}

export function putRun(stream: StreamRuns, run: Run): StreamRuns {
	return {...stream, runs: [...stream.runs.filter(({id}) => id !== run.id), run].sort((a, b) => a.id - b.id)};
}
