/**
 * Decides about the runs of one streaming request: which one goes on, is on hold or ends when a server is silent, takes the
 * request, refuses it or fails. A pure function of the runs and an event, without a network or a clock: the forwarder reports
 * the events and carries out the actions.
 *
 * A silent server may be sound and go on, so another run is started beside its run. Two servers must not work on one stream
 * for long: from the moment at which the later run is sent, the runs before it are on hold. They end when its server accepts
 * it, or when the time for the decision is over; they go on if that server refuses or fails before.
 */
import {
	findRun, findSoleDelivery, isGenerating, isOnHold, listLive, listPredecessors, listSuccessors, permitSources, putRun, runOutcomes, runStates, runWays,
	type PermitSource, type Run, type RunAction, type RunEvent, type RunFacts, type RunState, type RunWay, type StreamRuns,
} from './stream-runs.js';

export type RunDecision = {stream: StreamRuns; actions: readonly RunAction[]};
type KnownEvent<Kind extends RunEvent['kind']> = Extract<RunEvent, {kind: Kind}>;
type DecideRow<Event> = (stream: StreamRuns, run: Run, event: Event) => RunDecision;
type PassiveRow = {text: string; decide?: undefined; isLate?: boolean};
/** What happens, in words, with the decision; or why nothing does; or why the event can't come. */
export type RunRow<Event> = {text: string; decide: DecideRow<Event>; isLate?: undefined} | PassiveRow;
type EventRows<Event> = Record<RunState, RunRow<Event>>;
export type RunRows = {[Kind in Exclude<RunEvent['kind'], 'begin'>]: EventRows<KnownEvent<Kind>>};

/** A server that refuses to go on from a copy may be full for a moment; one that refuses this often has no copy. */
const maxCopyRefusals = 3;

export const giveUpReasons = {
	banned: 'the request or a part of its prompt crashes servers',
	noServer: 'no further server is allowed',
	noRetry: 'the retry budget is used up',
	noSecondRun: 'the request must not run twice',
} as const;

function describeImpossible(text: string): PassiveRow {
	return {text: `can't come: ${text}`};
}

function describeLate(text: string): PassiveRow {
	return {text: `nothing: ${text}`, isLate: true};
}

const endedMeanwhile = describeLate('it was ended while the report was on its way');

function setState(stream: StreamRuns, run: Run, state: RunState): StreamRuns {
	return putRun(stream, {...run, state});
}

function endRuns(stream: StreamRuns, ending: readonly Run[], by?: Run): RunDecision {
	const ids = new Set(ending.map(({id}) => id));
	const runs = stream.runs.map(run => ids.has(run.id) ? {...run, state: runStates.ended} : run);
	return {stream: {...stream, runs}, actions: ending.map(({id}) => ({kind: 'end', run: id, by: by?.id}))};
}

function endOthers(stream: StreamRuns, run: Run): RunDecision {
	return endRuns(stream, listLive(stream).filter(({id}) => id !== run.id), run);
}

/** The server has the request, so that the runs before it end. */
function takeRequest(stream: StreamRuns, run: Run): RunDecision {
	return endRuns(setState(stream, run, runStates.atWork), listPredecessors(stream, run), run);
}

function startRun(stream: StreamRuns, {way, predecessor, permit, keepsReturn = false}: {way: RunWay; predecessor?: number; permit: PermitSource; keepsReturn?: boolean}): RunDecision {
	const run: Run = {
		id: Math.max(0, ...stream.runs.map(({id}) => id)) + 1, state: runStates.planned, way, predecessor, wasSent: false, isFinished: false,
	};
	const hasReturn = permit === permitSources.kept ? false : stream.hasReturn || keepsReturn;
	return {
		stream: {...putRun(stream, run), hasReturn}, actions: [{
			kind: 'start', run, permit, keepsReturn,
		}],
	};
}

function waitForServer(stream: StreamRuns, {id}: Run, reason: string): RunDecision {
	return {stream, actions: [{kind: 'wait', run: id, reason}]};
}

/** Starts a run beside that of a silent server. One that generates may come back, with a retry that is kept for it. */
function takeOver(stream: StreamRuns, run: Run, {facts}: {facts: RunFacts}): RunDecision {
	const {mayRunTwice, hasReturn} = stream;
	if (listSuccessors(stream, run).length > 0) {
		return {stream, actions: []};
	}

	if (facts.isBanned) {
		return waitForServer(stream, run, giveUpReasons.banned);
	}

	const needsReturn = mayRunTwice && !hasReturn;
	const retries = needsReturn ? 2 : 1;
	if (run.state === runStates.delivering && facts.hasCopy && facts.reserve(runWays.copy, retries)) {
		return startRun(stream, {
			way: runWays.copy, predecessor: run.id, permit: permitSources.reserved, keepsReturn: needsReturn,
		});
	}

	if (!mayRunTwice) {
		return waitForServer(stream, run, giveUpReasons.noSecondRun);
	}

	if (!facts.canRunAnew) {
		return waitForServer(stream, run, giveUpReasons.noServer);
	}

	if (facts.reserve(runWays.anew, retries)) {
		return startRun(stream, {
			way: runWays.anew, predecessor: run.id, permit: permitSources.reserved, keepsReturn: needsReturn,
		});
	}

	// While a decision is open, the kept retry is the way back to the runs before it.
	return hasReturn && run.state !== runStates.deciding
		? startRun(stream, {way: runWays.anew, predecessor: run.id, permit: permitSources.kept})
		: waitForServer(stream, run, giveUpReasons.noRetry);
}

/** Starts a run beside a silent prefill, which lends its permit: only one of the two generates. */
function replacePrefill(stream: StreamRuns, run: Run, {facts}: {facts: RunFacts}): RunDecision {
	if (listSuccessors(stream, run).length > 0) {
		return {stream, actions: []};
	}

	if (facts.isBanned) {
		return waitForServer(stream, run, giveUpReasons.banned);
	}

	if (stream.runs.some(({predecessor}) => predecessor === run.id)) {
		return waitForServer(stream, run, 'another run has failed');
	}

	return facts.canRunAnew ? startRun(stream, {way: runWays.anew, predecessor: run.id, permit: permitSources.lent}) : waitForServer(stream, run, giveUpReasons.noServer);
}

function finishPrefill(stream: StreamRuns, run: Run): RunDecision {
	const successors = listSuccessors(stream, run);
	const generating = successors.find(successor => isGenerating(successor));
	return generating ? endRuns(stream, [run], generating) : endRuns(setState(stream, run, runStates.planned), successors, run);
}

function deliver(stream: StreamRuns, run: Run): RunDecision {
	if (isOnHold(stream, run)) {
		throw new Error('A run that is on hold has delivered');
	}

	return findSoleDelivery(stream) === run ? {stream, actions: []} : endOthers(setState(stream, run, runStates.delivering), run);
}

/** A server that has ended its answer works on nothing any more, so that a run that is on hold may answer. */
function complete(stream: StreamRuns, run: Run): RunDecision {
	return isOnHold(stream, run) ? endOthers(stream, run) : {stream, actions: []};
}

/** A server that is heard again is known to go on; the other one only may. */
function decideWithoutAnswer(stream: StreamRuns, run: Run, {isWritten, isHeard}: {isWritten: boolean; isHeard: boolean}): RunDecision {
	return isWritten && !isHeard ? takeRequest(stream, run) : endRuns(stream, [run]);
}

/** Decides what the request goes on with when all of its runs are finished. */
function decideNext(stream: StreamRuns, facts: RunFacts): RunDecision {
	if (stream.isOver || stream.runs.some(({isFinished}) => !isFinished)) {
		return {stream, actions: []};
	}

	const {lastOutcome} = stream;
	if (!stream.mayRunTwice && lastOutcome?.as === runOutcomes.refusedCopy) {
		return !facts.isBanned && stream.refusedCopies < maxCopyRefusals && facts.reserve(runWays.copy, 1)
			? startRun(stream, {way: runWays.copy, permit: permitSources.reserved})
			: finishWith(stream, stream.failedRun ?? lastOutcome.run);
	}

	if (stream.failedRun !== undefined) {
		return finishWith(stream, stream.failedRun);
	}

	if (facts.isBanned) {
		return giveUp(stream, giveUpReasons.banned);
	}

	if (!stream.mayRunTwice && !facts.isNotExecuted) {
		return giveUp(stream, giveUpReasons.noSecondRun);
	}

	return facts.canRunAnew ? runAnew(stream, facts) : giveUp(stream, giveUpReasons.noServer);
}

function runAnew(stream: StreamRuns, facts: RunFacts): RunDecision {
	if (stream.hasReturn) {
		return startRun(stream, {way: runWays.anew, permit: permitSources.kept});
	}

	return facts.reserve(runWays.anew, 1) ? startRun(stream, {way: runWays.anew, permit: permitSources.reserved}) : giveUp(stream, giveUpReasons.noRetry);
}

function finishWith(stream: StreamRuns, run: number): RunDecision {
	return {stream: {...stream, isOver: true}, actions: [{kind: 'finish', run}]};
}

function giveUp(stream: StreamRuns, reason: string): RunDecision {
	return {stream: {...stream, isOver: true}, actions: [{kind: 'give-up', reason}]};
}

/** A failure counts for the request if no other run may answer, or if its server may have run a request that must not run twice. */
function finishRun(stream: StreamRuns, run: Run, event: KnownEvent<'finished'>): RunDecision {
	const finished = putRun(stream, {...run, state: runStates.ended, isFinished: true});
	if (event.as === runOutcomes.answer) {
		const {stream: next, actions} = endOthers(finished, run);
		const {stream: over, actions: finish} = finishWith(next, run.id);
		return {stream: over, actions: stream.isOver ? actions : [...actions, ...finish]};
	}

	const isLast = listLive(finished).length === 0;
	const isFailure = event.as === runOutcomes.failure && (isLast || (!stream.mayRunTwice && run.wasSent));
	return decideNext({
		...finished,
		failedRun: isFailure ? stream.failedRun ?? run.id : stream.failedRun,
		lastOutcome: {run: run.id, as: event.as},
		refusedCopies: stream.refusedCopies + (event.as === runOutcomes.refusedCopy ? 1 : 0),
	}, event.facts);
}

/** The procedure of a run that was ended has ended. What it brought is dropped, because another run has the stream. */
function finishEnded(stream: StreamRuns, run: Run, {facts}: KnownEvent<'finished'>): RunDecision {
	return decideNext(putRun(stream, {...run, isFinished: true}), facts);
}

const finishLive: RunRow<KnownEvent<'finished'>> = {
	text: 'with an answer: the other runs end and the caller gets it. Otherwise the runs before it go on; without any, the request goes on from the copy, with the kept retry or another one, or fails', decide: finishRun,
};
const failedSince = describeLate('its server has refused or failed it since');
const notSent = describeImpossible('nothing was sent for its generation');

export const rows: RunRows = {
	prefilling: {
		planned: {text: 'prefilling', decide: (stream, run) => ({stream: setState(stream, run, runStates.prefilling), actions: []})},
		prefilling: describeImpossible('one prefill a run at a time'),
		deciding: describeImpossible('a prefill comes before the generation'),
		'at work': describeImpossible('a prefill comes before the generation'),
		delivering: describeImpossible('a prefill comes before the generation'),
		ended: endedMeanwhile,
	},
	prefilled: {
		planned: describeImpossible('no prefill was sent'),
		prefilling: {text: 'planned, and a run beside it that is not sent yet ends; if that one is sent, this one ends', decide: finishPrefill},
		deciding: describeImpossible('a prefill comes before the generation'),
		'at work': describeImpossible('a prefill comes before the generation'),
		delivering: describeImpossible('a prefill comes before the generation'),
		ended: endedMeanwhile,
	},
	sent: {
		planned: {
			text: 'at work; beside runs that have not ended: deciding, they are on hold, and the time for the decision starts', decide(stream, run) {
				const hasPredecessors = listPredecessors(stream, run).length > 0;
				return {
					stream: setState(stream, {...run, wasSent: true}, hasPredecessors ? runStates.deciding : runStates.atWork), actions: hasPredecessors ? [{kind: 'time', run: run.id}] : [],
				};
			},
		},
		prefilling: describeImpossible('its prefill has not ended'),
		deciding: describeImpossible('one call at a time'),
		'at work': describeLate('it goes on from its copy, or its end is confirmed'),
		delivering: describeLate('it goes on from its copy, or its end is confirmed'),
		ended: endedMeanwhile,
	},
	accepted: {
		planned: failedSince,
		prefilling: notSent,
		deciding: {text: 'at work, and the runs before it end', decide: takeRequest},
		'at work': describeLate('nothing is left to decide'),
		delivering: describeLate('nothing is left to decide'),
		ended: endedMeanwhile,
	},
	decide: {
		planned: failedSince,
		prefilling: notSent,
		deciding: {text: 'its request was written, and no server before it was heard again: at work, and the runs before it end; otherwise it ends, and they go on', decide: decideWithoutAnswer},
		'at work': describeLate('its server has accepted it'),
		delivering: describeLate('its server has accepted it'),
		ended: endedMeanwhile,
	},
	delivering: {
		planned: {text: 'what was on hold goes out, and all other runs end', decide: endOthers},
		prefilling: notSent,
		deciding: {text: 'delivering, and all other runs end', decide: deliver},
		'at work': {text: 'delivering, and all other runs end', decide: deliver},
		delivering: {text: 'all other runs end', decide: deliver},
		ended: endedMeanwhile,
	},
	refuted: {
		planned: {text: 'ended: its server has another version', decide: (stream, run) => endRuns(stream, [run])},
		prefilling: notSent,
		deciding: {text: 'ended: its server has another version', decide: (stream, run) => endRuns(stream, [run])},
		'at work': {text: 'ended: its server has another version', decide: (stream, run) => endRuns(stream, [run])},
		delivering: {text: 'ended: its server has another version', decide: (stream, run) => endRuns(stream, [run])},
		ended: endedMeanwhile,
	},
	completed: {
		planned: notSent,
		prefilling: notSent,
		deciding: {text: 'on hold: the other runs end, and it answers', decide: complete},
		'at work': {text: 'on hold: the other runs end, and it answers', decide: complete},
		delivering: {text: 'on hold: the other runs end, and it answers', decide: complete},
		ended: endedMeanwhile,
	},
	failed: {
		planned: notSent,
		prefilling: notSent,
		deciding: {text: 'planned, and the runs before it go on', decide: (stream, run) => ({stream: setState(stream, run, runStates.planned), actions: []})},
		'at work': {text: 'planned', decide: (stream, run) => ({stream: setState(stream, run, runStates.planned), actions: []})},
		delivering: {text: 'planned', decide: (stream, run) => ({stream: setState(stream, run, runStates.planned), actions: []})},
		ended: endedMeanwhile,
	},
	silent: {
		planned: describeImpossible('no server has anything of it'),
		prefilling: {text: 'a run is started beside it with its permit, if a server may be asked', decide: replacePrefill},
		deciding: {text: 'a run is started beside it, if the request may run twice and retries are left', decide: takeOver},
		'at work': {text: 'a run is started beside it, if the request may run twice and retries are left', decide: takeOver},
		delivering: {text: 'a run is started beside it from the copy of its KV cache; without one as before', decide: takeOver},
		ended: endedMeanwhile,
	},
	finished: {
		planned: finishLive,
		prefilling: finishLive,
		deciding: finishLive,
		'at work': finishLive,
		delivering: finishLive,
		ended: {text: 'it is dropped; after the last run, the request goes on as after a live one', decide: finishEnded},
	},
};

function beginStream(stream: StreamRuns, {facts}: KnownEvent<'begin'>): RunDecision {
	return facts.isBanned ? giveUp(stream, giveUpReasons.banned) : runAnew(stream, facts);
}

function decideEvent(stream: StreamRuns, event: RunEvent, table: RunRows): RunDecision {
	if (event.kind === 'begin') {
		return beginStream(stream, event);
	}

	const run = findRun(stream, event.run);
	if (!run) {
		throw new Error(`No run ${event.run} was started, but it is ${event.kind}`);
	}

	const row = (table[event.kind] as EventRows<RunEvent>)[run.state];
	if (row.isLate) {
		return {stream, actions: []};
	}

	if (!row.decide) {
		throw new Error(`A run that is ${run.state} can't be ${event.kind}; ${row.text}`);
	}

	return row.decide(stream, run, event);
}

/** The kept retry is needed while a run that was started beside another one has delivered nothing, or while no run is left. */
function releaseReturn(stream: StreamRuns): RunDecision {
	const live = listLive(stream);
	const isNeeded = !stream.isOver && (live.length === 0 || live.some(({state, predecessor}) => predecessor !== undefined && state !== runStates.delivering));
	return stream.hasReturn && !isNeeded ? {stream: {...stream, hasReturn: false}, actions: [{kind: 'release-return'}]} : {stream, actions: []};
}

function listHoldActions(before: StreamRuns, after: StreamRuns): RunAction[] {
	return listLive(after).flatMap((run): RunAction[] => {
		const earlier = findRun(before, run.id);
		const wasOnHold = earlier !== undefined && isOnHold(before, earlier);
		const isNowOnHold = isOnHold(after, run);
		const isReplaced = run.state === runStates.planned && listLive(after).some(other => other.id !== run.id && isGenerating(other));
		return wasOnHold === isNowOnHold ? [] : [{kind: isNowOnHold ? 'hold' : (isReplaced ? 'drop' : 'release'), run: run.id}];
	});
}

/** Returns the runs after an event, and what is to be done. Throws an error for an event that can't come in the state of its run. */
export function applyRunEvent(before: StreamRuns, event: RunEvent, table: RunRows = rows): RunDecision {
	const decision = decideEvent(before, event, table);
	if (decision.stream === before) {
		return decision;
	}

	const {stream, actions} = releaseReturn(decision.stream);
	return {stream, actions: [...decision.actions, ...listHoldActions(before, stream), ...actions]};
}
