/**
 * Rules for single requests, checked from the records of callers and servers.
 *
 * UNASKED: what reaches a server is what a caller sent.
 * MIXED: a success is the request's own, whole, and was given by a server; a stream goes on from its own KV cache only.
 * REFUSED: a status that promises that a request has not run is true, when the request must not be repeated.
 * BUDGET: no more than three requests run, in one attempt of their caller, at more servers than their route allows.
 * TWICE: a request that must not be repeated runs once at most.
 * ORDER: the events of a stream follow each other without a gap, and an end that looks complete is complete.
 */
import {promisingStatuses} from './caller.js';
import {collectCrashTimes, formatStart} from './crashing-part.js';
import {collectByKey} from './collect-by-key.js';
import {
	countEvents, createEvent, createPlainBody, createStamp, listEventVersions,
} from './expected-body.js';
import type {
	CallerRecord, EndRecord, OutcomeRecord, ProcessEnd, RuleCase, SoakRecords, SoakRoute,
} from './records.js';

const toleratedExceeding = 3;
/** The end of a process is noticed after its connections have closed. */
const processEndMarginMs = 100;

type Outcomes = ReadonlyMap<string, readonly OutcomeRecord[]>;
type Ends = ReadonlyMap<string, readonly EndRecord[]>;
/** What may end an answer early: ends of processes, crashes that servers have recorded, and servers that end it themselves. */
type EarlyEnds = {ends: readonly EndRecord[]; processEnds: readonly ProcessEnd[]; crashTimes: ReadonlyMap<string, number>};

export function checkAnswers(records: SoakRecords): RuleCase[] {
	const routes = new Map(records.routes.map(route => [route.name, route]));
	const outcomes = collectByKey(records.outcomes, outcome => outcome.requestId);
	const crashTimes = collectCrashTimes(records.outcomes);
	const ends = collectByKey(records.ends, end => end.requestId);
	// A process that gets a signal closes its connections before its end is noticed.
	const signals = records.disturbances.filter(({kind}) => kind === 'end').map(({target, from}) => ({name: target, at: from}));
	const processEnds = [...records.processEnds, ...signals];
	return [
		...records.callers.flatMap(record => checkAttempt(record, {
			route: routes.get(record.route)!, outcomes, ends, processEnds, crashTimes,
		})),
		...records.outcomes.flatMap(outcome => checkHandle(outcome)),
		...checkArrivals(records),
		...checkServerCounts(records.callers.filter(({requestId, route}) => listRuns(outcomes, requestId).length > routes.get(route)!.maxServers)),
	];
}

function checkArrivals({arrivals, callers}: SoakRecords): RuleCase[] {
	const sent = new Map(callers.map(record => [record.requestId, record]));
	return arrivals.filter(({requestId, path, body}) => sent.get(requestId)?.path !== path || sent.get(requestId)?.sentBody !== body).map(({requestId, path, server}) => ({rule: 'UNASKED', requestId, detail: `${server} got ${path}, which no caller sent so`}));
}

function listRuns(outcomes: Outcomes, requestId: string): OutcomeRecord[] {
	return outcomes.get(requestId)?.filter(outcome => outcome.hasRun && !outcome.isSameRun) ?? [];
}

function checkServerCounts(exceeding: readonly CallerRecord[]): RuleCase[] {
	return exceeding.length > toleratedExceeding ? exceeding.map(({requestId, path}) => ({rule: 'BUDGET', requestId, detail: `${path} ran at too many servers`})) : [];
}

function checkAttempt(record: CallerRecord, {route, outcomes, ends, ...early}: {route: SoakRoute; outcomes: Outcomes; ends: Ends} & Omit<EarlyEnds, 'ends'>): RuleCase[] {
	const cases: RuleCase[] = [];
	const add = (rule: RuleCase['rule'], detail: string) => {
		cases.push({rule, requestId: record.requestId, detail: `${detail} (${record.edge}, ${record.path})`});
	};

	const own = outcomes.get(record.requestId) ?? [];
	const runs = listRuns(outcomes, record.requestId);
	const isRepeatable = route.kind === 'idempotent' || route.isResumable;
	if (!isRepeatable && runs.length > 1) {
		add('TWICE', `ran at ${runs.map(run => run.server).join(' and ')}`);
	}

	if (record.extraAnswers > 0 || record.end === 'invalid') {
		add('MIXED', record.end === 'invalid' ? 'bytes that are no answer' : `${record.extraAnswers} answers while no request was waiting`);
	}

	if (record.status !== undefined && record.answerId !== undefined && record.answerId !== record.requestId) {
		add('MIXED', `the answer belongs to ${record.answerId}`);
	}

	if (record.end === 'answered' && record.status! >= 300) {
		if (!isRepeatable && promisingStatuses.has(record.status!) && runs.length > 0) {
			add('REFUSED', `answered ${record.status}, ran at ${runs.map(run => `${run.server} (${run.answer} ${run.status})`).join(' and ')}`);
		}

		if (record.stamp !== undefined && !own.some(outcome => outcome.status === record.status && outcome.stamp === record.stamp)) {
			add('MIXED', `status ${record.status} with a stamp of a server that gave another`);
		}
	} else if (record.status === 200) {
		checkSuccess(record, {
			route, own, ends: ends.get(record.requestId) ?? [], ...early,
		}, add);
	}

	return cases;
}

function checkSuccess(record: CallerRecord, {route, own, ends, processEnds, crashTimes}: {route: SoakRoute; own: readonly OutcomeRecord[]} & EarlyEnds, add: (rule: 'MIXED' | 'ORDER', detail: string) => void): void {
	if (record.answerId === undefined || record.stamp !== createStamp(record.requestId, record.path)) {
		add('MIXED', 'a success without the id or the stamp of the request');
		return;
	}

	if (!own.some(outcome => outcome.status === 200 && outcome.stamp !== undefined)) {
		add('MIXED', 'a success that no server gave');
	}

	const mayBeShort = isEndedInOrder(own, ends) || (route.kind === 'streaming' && isBehindLostServer(record, own, {processEnds, crashTimes}));
	const isBroken = route.kind === 'streaming' && isVisiblyBroken(record, processEnds);
	const isWhole = record.end === 'answered' && !mayBeShort && !isBroken;
	if (route.kind !== 'streaming') {
		const body = createPlainBody(record.requestId, record.path);
		if (isWhole ? record.body !== body : !body.startsWith(record.body)) {
			add('MIXED', `${record.body.length} bytes that are not the body of the request`);
		}

		return;
	}

	const count = countEvents(record.path);
	// Whether the versions fit together is checked for all attempts of a stream.
	const versions = listEventVersions(record.body);
	const expected = Array.from({length: Math.max(0, count - record.lastEventId)}, (_, index) => createEvent(record.requestId, record.lastEventId + index + 1, count, versions[index])).join('');
	const isInsideEvent = mayBeShort && !isBroken && record.end === 'answered' && expected !== '' && !record.body.endsWith('\n\n');
	if (isWhole ? record.body !== expected : !expected.startsWith(record.body) || isInsideEvent) {
		const isForeign = [...record.body.matchAll(/^data: (?<id>\S+) /gm)].some(match => match.groups!.id !== record.requestId);
		add(isForeign ? 'MIXED' : 'ORDER', `events ${[...record.body.matchAll(/^id: (?<id>\d+)/gm)].map(match => match.groups!.id).join(',')} of ${count} after ${record.lastEventId}`);
	}
}

/**
 * A server that closes the connection of an answer without a length and chunks, in order, has ended the answer, even if it
 * lacks a part; an edge can only ask whether the server runs. A reset counts too, because the relay in front of the server passes
 * it on as such a close.
 */
function isEndedInOrder(own: readonly OutcomeRecord[], ends: readonly EndRecord[]): boolean {
	return own.some(({answer, server, startedAt, number}) => answer === 'broken-off' && ends.some(end => end.server === server && end.startedAt === startedAt && end.number === number && end.hasUnknownEnd));
}

/**
 * A stream without a length and chunks may be as short as the end of its server's process made it, but does not end inside an
 * event: the relay in front of the server listens on for a moment, so that its edge finds the server running.
 */
function isBehindLostServer({hasUnknownEnd, sentAt, endedAt}: CallerRecord, own: readonly OutcomeRecord[], {processEnds, crashTimes}: Omit<EarlyEnds, 'ends'>): boolean {
	const isOwn = (name: string) => own.some(({server}) => server === name || server.startsWith(`${name}-`));
	const hasEnded = processEnds.some(({name, at}) => isOwn(name) && at >= sentAt && at <= endedAt + processEndMarginMs);
	return hasUnknownEnd === true && (hasEnded || own.some(outcome => (crashTimes.get(formatStart(outcome)) ?? Number.POSITIVE_INFINITY) <= endedAt));
}

/** A stream without a length and chunks that ends inside an event has been broken off. Only the end of its edge's process does that in order. */
function isVisiblyBroken({edge, body, hasUnknownEnd, sentAt, endedAt}: CallerRecord, processEnds: readonly ProcessEnd[]): boolean {
	return hasUnknownEnd === true && body !== '' && !body.endsWith('\n\n') && processEnds.some(({name, at}) => name === edge && at >= sentAt && at <= endedAt + processEndMarginMs);
}

function checkHandle({requestId, hasRun, handle, handleOwner, server}: OutcomeRecord): RuleCase[] {
	return hasRun && handleOwner !== undefined && handleOwner !== requestId ? [{rule: 'MIXED', requestId, detail: `${server} went on from handle ${handle} of ${handleOwner}`}] : [];
}
