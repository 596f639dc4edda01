/**
 * LOST: a request that was sent whole ends with an answer or a refusal. Reported are a connection that ends without a
 * complete one, and half a second without any end past the deadline, which the edge counts from when it reads the request: on
 * a busy machine that can be a second after the sending. Excused is:
 *
 * - the caller left;
 * - the edge's process ended otherwise than after SIGTERM, was frozen, or its links were harmed, up to `contactMs` before
 *   the request or during it: an edge that is out of touch promises nothing. A SIGTERM excuses nothing until a second after
 *   the grace period, except a request that was sent within 3 s after it and whose server was still at work in the last
 *   sixth of the period: the edge has waited as long as it could;
 * - the deadline, or the shortest timeout that the route may have had when the request was sent, was reached. A timeout
 *   that is sent later is no excuse. For a request without any end neither is;
 * - the server that had the request last crashed, broke off, lost or garbled its answer, or was frozen or on a harmed link:
 *   the edge could not know the rest. Its silence (`hush`) is no excuse, nor what another server did before, nor its end while
 *   another server was still at work on the request, which the edge then left. Once the head
 *   of an answer has been sent, a server that then refused to go on or only prefilled has not had the request: the edge
 *   can't refuse any more;
 * - the server goes on with a stream that another one broke off, and only the end of its connection ends its answer: the
 *   edge may not declare that complete;
 * - an answer before it on the connection ended with the connection, and no server got the request;
 * - no server got the request, and the connection ended soon after the sending, or within a second and the edge had not
 *   read the request by then, as when it crosses the close of an idle connection; or some server was disturbed, which may be
 *   the one that it was sent to.
 */
import {collectByKey} from './collect-by-key.js';
import {collectCrashTimes, formatStart} from './crashing-part.js';
import {listRouteVersions} from './configuration-history.js';
import type {
	ArrivalRecord, CallerRecord, Disturbance, EndRecord, OutcomeRecord, RuleCase, SoakRecords,
} from './records.js';

const lateMs = 500;
const contactMs = 2000;
/** Time within which a request that was not passed on may end with its connection, read or not. */
const readSlackMs = 250;
const unreadSlackMs = 1000;
/** The end of a process that ends by itself is noticed after its connections have closed, later on a busy machine. */
const processEndMarginMs = 500;
const afterGraceMs = 1000;
const plannedSendMs = 3000;
const lastFraction = 1 / 6;
/** The ends of two connections are noticed at different times. */
const leftMarginMs = 100;
/** These answers are whole, and the server stands by them. */
const soundAnswers: ReadonlySet<string> = new Set(['answered', 'prefilled', 'refused', 'failing']);
/** The others: `end` records each process of `kill` and `kill-core`; neither SIGTERM nor the silence of a sound server is an excuse. */
const excusingKinds: ReadonlySet<string> = new Set(['end', 'freeze', 'delay', 'silence', 'cut', 'reset', 'stall']);

/** The last call of a request to a server. */
type LastCall = {
	arrival: ArrivalRecord;
	outcome?: OutcomeRecord;
	end?: EndRecord;
	/** The server has recorded a crash of itself, before the caller's connection ended. */
	hasCrashed: boolean;
	/** A server crashed, broke off, lost or garbled its answer before. */
	isRepeated: boolean;
	/** A sound server was left only after the end of this call. */
	isLeftSound: boolean;
};

export function checkLost(records: SoakRecords): RuleCase[] {
	const suspected = records.callers.filter(caller => !caller.hasLeft && (caller.end === 'late' || caller.end === 'closed') && !isEdgeDisturbed(caller, records));
	const crashTimes = collectCrashTimes(records.outcomes);
	const ids = new Set(suspected.map(({requestId}) => requestId));
	const arrivals = collectByKey(records.arrivals.filter(({requestId}) => ids.has(requestId)), ({requestId}) => requestId);
	return suspected.flatMap((caller): RuleCase[] => {
		const last = findLastCall(caller, arrivals.get(caller.requestId) ?? [], {...records, crashTimes});
		const startedAt = records.readRequests.get(caller.requestId) ?? caller.sentAt;
		if (caller.end === 'late' ? caller.endedAt - startedAt < caller.deadlineMs + lateMs : isExcused(caller, last, records)) {
			return [];
		}

		return [{rule: 'LOST', requestId: caller.requestId, detail: describeCase(caller, last)}];
	});
}

function findLastCall(caller: CallerRecord, arrivals: readonly ArrivalRecord[], records: SoakRecords & {crashTimes: ReadonlyMap<string, number>}): LastCall | undefined {
	const {outcomes, ends, crashTimes} = records;
	const calls = arrivals.toSorted((a, b) => a.at - b.at).map(arrival => {
		const isSame = (other: OutcomeRecord | EndRecord) => other.requestId === arrival.requestId && other.server === arrival.server && other.startedAt === arrival.startedAt && other.number === arrival.number;
		return {
			arrival, outcome: outcomes.find(other => isSame(other)), end: ends.find(other => isSame(other)), hasCrashed: (crashTimes.get(formatStart(arrival)) ?? Number.POSITIVE_INFINITY) <= caller.endedAt,
		};
	});
	const hasHead = caller.status !== undefined;
	const last = calls.findLast(({outcome, end}) => !hasHead || outcome?.hasRun !== false || end?.hasLeft === true) ?? calls.at(-1);
	const before = calls.slice(0, last && calls.indexOf(last));
	return last && {
		...last, isRepeated: before.some(({outcome, hasCrashed}) => hasCrashed || isUnsound(outcome)), isLeftSound: before.some(({arrival, outcome, end, hasCrashed}) => outcome?.answer === 'answered' && end?.hasLeft && end.isSound && end.at >= (last.end?.at ?? Number.POSITIVE_INFINITY) + leftMarginMs && !hasCrashed && !isServerDisturbed(caller, arrival.server, records)),
	};
}

function isUnsound(outcome: OutcomeRecord | undefined): boolean {
	return outcome !== undefined && !soundAnswers.has(outcome.answer);
}

/** Returns true if the edge ended, was frozen or out of touch between the sending and the end. */
export function isEdgeDisturbed(caller: CallerRecord, {processEnds, disturbances, graceMs}: SoakRecords): boolean {
	const stops = listStops(caller, disturbances);
	return processEnds.some(({name, at}) => name === caller.edge && isDuring(caller, at - processEndMarginMs, at) && !stops.some(({from}) => at >= from && at <= from + graceMs + afterGraceMs))
		|| disturbances.some(({kind, target, source, from, until}) => excusingKinds.has(kind) && [target, source].includes(caller.edge) && isDuring(caller, from, until + contactMs));
}

function listStops({edge}: CallerRecord, disturbances: readonly Disturbance[]): Disturbance[] {
	return disturbances.filter(({kind, target}) => kind === 'term' && target === edge);
}

function isDuring({sentAt, endedAt}: CallerRecord, from: number, until: number): boolean {
	return from <= endedAt && until >= sentAt;
}

function isExcused(caller: CallerRecord, last: LastCall | undefined, records: SoakRecords): boolean {
	const elapsedMs = caller.endedAt - caller.sentAt;
	const timeouts = listRouteVersions(records.operator, caller.route, caller.sentAt).map(({timeoutMs}) => timeoutMs);
	if (elapsedMs >= Math.min(caller.deadlineMs, ...timeouts)) {
		return true;
	}

	if (last?.isLeftSound && !isServerDisturbed(caller, last.arrival.server, records)) {
		return false;
	}

	if (!last) {
		if (caller.isBehindEnd) {
			return true;
		}

		const isRead = records.readRequests.has(caller.requestId);
		return elapsedMs <= (isRead ? readSlackMs : unreadSlackMs) || isServerDisturbed(caller, undefined, records);
	}

	return last.hasCrashed || isUnsound(last.outcome) || last.end?.isSound === false || (last.isRepeated && last.end?.hasUnknownEnd === true) || isServerDisturbed(caller, last.arrival.server, records) || isAtWorkToTheLast(caller, last, records);
}

/** Returns true if the server, or any if it isn't known, ended, was frozen or was on a harmed link. */
export function isServerDisturbed(caller: CallerRecord, server: string | undefined, {processEnds, disturbances}: SoakRecords): boolean {
	// A server that starts again may have a number behind its name.
	const isMeant = (name: string) => server === undefined ? !name.startsWith('edge-') : name === server || server.startsWith(`${name}-`);
	return processEnds.some(({name, at}) => isMeant(name) && isDuring(caller, at - processEndMarginMs, at))
		|| disturbances.some(({kind, target, source, from, until}) => excusingKinds.has(kind) && isMeant(target) && (source === undefined || source === caller.edge) && isDuring(caller, from, until + contactMs));
}

function isAtWorkToTheLast(caller: CallerRecord, {end}: LastCall, {disturbances, graceMs}: SoakRecords): boolean {
	return listStops(caller, disturbances).some(({from}) => {
		const lastFrom = from + (graceMs * (1 - lastFraction));
		return caller.sentAt <= from + plannedSendMs && caller.endedAt >= lastFrom && (end === undefined || end.at >= lastFrom);
	});
}

function describeCase({edge, path, end, sentAt, endedAt, deadlineMs, body}: CallerRecord, last: LastCall | undefined): string {
	const server = last ? `${last.arrival.server} had it after ${last.arrival.at - sentAt} ms (${last.outcome?.answer ?? 'no outcome'}, ${last.end ? `${last.end.hasLeft ? 'left' : 'sent'} after ${last.end.at - sentAt} ms` : 'no end'})` : 'no server had it';
	return `${end} after ${endedAt - sentAt} ms of ${deadlineMs}, ${body.length} bytes; ${server} (${edge}, ${path})`;
}
