/**
 * Beside another writer (foreign-writer.ts). What it sends names no server to use, and the others hold:
 *
 * - UNCLEAR: a call of its has no answer within a second, one that is not clear (5xx, 408, 429), or another one than the pages
 *   say: 400 for a report that can't be read, 4xx for a configuration or a deregistration, 200 for the report of a server that
 *   runs nowhere. Excused is an edge that ends, starts or stands still, and the time for which the process of the soak did.
 * - CONFIG: an invalid configuration is acknowledged.
 * - ERROR: a log of an edge has an error that nothing in the edge expected, 1005 to 1008.
 * - FAILED: a request that no server got is answered with a 5xx of the edge's own other than 503, before its deadline and its
 *   route's timeouts, while edge and servers are sound. RULES.md prices that; a writer that names no server is no reason for one.
 * - GATE: refused and failed requests are more than 60 % of those that were sent to edges that are sound, or a route is served
 *   less than a quarter as often as all (Gate and Starved of RULES.md).
 */
import {isEdgeDisturbed, isServerDisturbed} from './check-lost.js';
import {listRouteVersions} from './configuration-history.js';
import {measureDelays, soakProcess} from './loop-lag.js';
import type {
	CallerRecord, ForeignCall, RuleCase, SoakRecords,
} from './records.js';

const answerMs = 1000;
/** An edge or a server that has ended is started after at most 1.5 s, and takes calls within the time of contact. */
const restartMs = 3500;
const contactMs = 2000;
/** The others strike links between edges, and servers. */
const edgeKinds: ReadonlySet<string> = new Set(['term', 'kill', 'end', 'freeze', 'flood']);
const allEdgesKinds: ReadonlySet<string> = new Set(['kill-core', 'kill-all', 'kill-acknowledged']);
const errorNumbers: ReadonlySet<number> = new Set([1005, 1006, 1007, 1008]);
const unclearStatuses: ReadonlySet<number> = new Set([408, 429]);
const maxUnservedFraction = 0.6;
const minServedRatio = 0.25;
/** Fewer requests show no share. */
const minRequests = 20;
const shownCharacters = 300;

export function checkForeignCalls(records: SoakRecords): RuleCase[] {
	const lags = records.lags.filter(({server}) => server === soakProcess);
	return (records.foreignCalls ?? []).flatMap((call): RuleCase[] => {
		const {edge, status, expected, text, sentAt, endedAt, failure} = call;
		const detail = `${call.call} at ${edge} was answered ${status ?? failure} after ${endedAt - sentAt} ms, expected ${expected}: ${text}`;
		if (call.call === 'configuration' && status === 200) {
			return [{rule: 'CONFIG', detail}];
		}

		return isAnswerRight(call, measureDelays(lags, sentAt, endedAt)) || isEdgeAway(call, records) ? [] : [{rule: 'UNCLEAR', detail}];
	});
}

function isAnswerRight({call, status, expected, sentAt, endedAt}: ForeignCall, delayedMs: number): boolean {
	if (status === undefined) {
		const elapsedMs = endedAt - sentAt;
		return elapsedMs >= answerMs && elapsedMs - delayedMs < answerMs;
	}

	const isRefusal = call === 'odd-report' ? status === 400 : status >= 400 && status < 500 && !unclearStatuses.has(status);
	switch (expected) {
		case 'accepted': {
			return status === 200;
		}

		case 'refused': {
			return isRefusal;
		}

		case 'clear': {
			return status === 200 || isRefusal;
		}
	}
}

function isEdgeAway({edge, sentAt, endedAt}: ForeignCall, {processEnds, disturbances}: SoakRecords): boolean {
	return processEnds.some(({name, at}) => name === edge && at <= endedAt && at + restartMs >= sentAt)
		|| disturbances.some(({kind, target, from, until}) => (allEdgesKinds.has(kind) || (edgeKinds.has(kind) && target === edge)) && from <= endedAt && until + contactMs >= sentAt);
}

/** Checks the lines of the edges' logs. */
export function checkErrorEvents(lines: readonly string[]): RuleCase[] {
	return lines.filter(line => errorNumbers.has(readEventNumber(line) ?? 0)).map(line => ({rule: 'ERROR', detail: line.slice(0, shownCharacters)}));
}

function readEventNumber(line: string): number | undefined {
	try {
		return (JSON.parse(line) as {event?: number} | null)?.event;
	} catch {
		return undefined;
	}
}

export function checkSoundRequests(records: SoakRecords): RuleCase[] {
	const optional = new Set(records.routes.filter(({isOptional}) => isOptional).map(({name}) => name));
	const sound = records.callers.filter(caller => !caller.hasLeft && !caller.isCrashing && !optional.has(caller.route) && !isEdgeDisturbed(caller, records));
	return [...checkFailed(sound, records), ...checkShares(sound)];
}

function checkFailed(sound: readonly CallerRecord[], records: SoakRecords): RuleCase[] {
	const arrived = new Set(records.arrivals.map(({requestId}) => requestId));
	return sound.filter(caller => caller.end === 'answered' && (caller.status ?? 0) >= 500 && caller.status !== 503 && !arrived.has(caller.requestId) && !isExcused(caller, records)).map(({requestId, status, edge, path, sentAt, endedAt}) => ({rule: 'FAILED', requestId, detail: `${status} after ${endedAt - sentAt} ms, and no server had it (${edge}, ${path})`}));
}

function isExcused(caller: CallerRecord, records: SoakRecords): boolean {
	const timeouts = listRouteVersions(records.operator, caller.route, caller.sentAt).map(({timeoutMs}) => timeoutMs);
	return caller.endedAt - caller.sentAt >= Math.min(caller.deadlineMs, ...timeouts)
		|| isServerDisturbed(caller, undefined, records)
		|| records.processEnds.some(({name, at}) => !records.edges.includes(name) && at <= caller.endedAt && at + restartMs >= caller.sentAt);
}

function checkShares(sound: readonly CallerRecord[]): RuleCase[] {
	const getServed = (callers: readonly CallerRecord[]) => callers.filter(({end, status}) => end === 'answered' && status === 200).length / callers.length;
	if (sound.length < minRequests) {
		return [];
	}

	const served = getServed(sound);
	const routes = [...new Set(sound.map(({route}) => route))].map(route => ({route, callers: sound.filter(caller => caller.route === route)})).filter(({callers}) => callers.length >= minRequests);
	return [
		...(served < 1 - maxUnservedFraction ? [{rule: 'GATE', detail: `${served.toFixed(2)} of ${sound.length} requests were served`} as const] : []),
		...routes.filter(({callers}) => getServed(callers) < served * minServedRatio).map(({route, callers}) => ({rule: 'GATE', detail: `${getServed(callers).toFixed(2)} of ${callers.length} requests of ${route} were served, ${served.toFixed(2)} of all`} as const)),
	];
}
