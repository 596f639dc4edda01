/**
 * Rules for the calls that are the duty of one edge at a time.
 *
 * FENCE: a lower fencing token never follows a higher one, no two holders use the same token, and holders never appear in the
 * order A, B, A within the lease.
 * USAGE: no two different reports name one window, and each count is within `maxOff` of what the servers ran. A request may
 * count in each window between the begin of its first run and its end, and one of which the edge can't know whether it ran
 * may count. Left out are windows of which an edge that was killed may not have reported the last second, and those for which
 * an edge stood still or was out of touch close to the time at which the leader decides without it.
 */
import {isDeepStrictEqual} from 'node:util';
import {listKeyOwners} from './check-keys.js';
import {collectByKey} from './collect-by-key.js';
import type {
	CallerRecord, DutyCall, RuleCase, SoakRecords,
} from './records.js';

const maxOff = 0.05;
/** A killed edge loses the counts of a second, and the report that was on its way. */
const unreportedMs = 1500;
/** The leader waits for an edge until 5 s after the end of a window; an edge that is back reports within 2.5 s. */
const decidedMs = 5000;
const backMs = 2500;
const touchKinds: ReadonlySet<string> = new Set(['freeze', 'cut', 'silence', 'stall']);

type UsageReport = {'window-id': number; counts: Record<string, number>};
/** A request that ran, or may have, at some time between two. */
type Run = {workspaces: readonly string[]; from: number; until: number; hasRun: boolean};
type Span = {from: number; until: number};

export function checkDuties({dutyCalls = [], workspaces}: SoakRecords): RuleCase[] {
	const leaseMs = workspaces?.leaseMs ?? 0;
	return dutyCalls.flatMap((call, index): RuleCase[] => {
		const before = dutyCalls.slice(0, index);
		const other = before.findLast(({holder, at}) => holder !== call.holder && call.at - at <= leaseMs);
		const cases = [
			before.some(({token}) => token > call.token) && 'after a higher one',
			before.some(({token, holder}) => token === call.token && holder !== call.holder) && 'which another holder has used',
			other && before.slice(0, before.indexOf(other)).some(({holder, at}) => holder === call.holder && call.at - at <= leaseMs) && `${call.at - other.at} ms after ${other.holder}, whose calls stand between its own`,
		];
		return cases.filter(text => typeof text === 'string').map(text => ({rule: 'FENCE', detail: `${call.holder} used token ${call.token} ${text}`}));
	});
}

export function checkUsage(records: SoakRecords): RuleCase[] {
	const {dutyCalls = [], workspaces} = records;
	if (!workspaces) {
		return [];
	}

	const {windowMs} = workspaces;
	const runs = listRuns(records);
	return [...collectByKey(dutyCalls, call => parseReport(call)['window-id'])].flatMap(([window, calls]): RuleCase[] => {
		const {counts} = parseReport(calls[0]!);
		const different = calls.find(call => !isDeepStrictEqual(parseReport(call).counts, counts));
		const span = {from: window * windowMs, until: (window + 1) * windowMs};
		return [
			...(different ? [{rule: 'USAGE', detail: `window ${window} was reported as ${calls[0]!.body} and as ${different.body}`} as const] : []),
			...(isSound(span, records) ? checkCounts(window, counts, {runs, span}) : []),
		];
	});
}

/** Counts the windows that were reported and whose sums can be checked. */
export function countUsageWindows(records: SoakRecords): {usageWindows: number; checkedWindows: number} {
	const windows = [...new Set((records.dutyCalls ?? []).map(call => parseReport(call)['window-id']))];
	const {windowMs} = records.workspaces!;
	return {usageWindows: windows.length, checkedWindows: windows.filter(window => isSound({from: window * windowMs, until: (window + 1) * windowMs}, records)).length};
}

function parseReport({body}: DutyCall): UsageReport {
	return JSON.parse(body) as UsageReport;
}

function checkCounts(window: number, counts: Record<string, number>, {runs, span}: {runs: readonly Run[]; span: Span}): RuleCase[] {
	const names = new Set([...Object.keys(counts), ...runs.flatMap(({workspaces}) => workspaces)]);
	return [...names].flatMap((name): RuleCase[] => {
		const own = runs.filter(({workspaces, from, until}) => workspaces.includes(name) && from < span.until && until >= span.from);
		const least = own.filter(({workspaces, from, until, hasRun}) => hasRun && workspaces.length === 1 && from >= span.from && until < span.until).length;
		const count = counts[name] ?? 0;
		return count < least * (1 - maxOff) || count > own.length * (1 + maxOff) ? [{rule: 'USAGE', detail: `window ${window} names ${count} requests of ${name}, servers ran ${least} to ${own.length}`}] : [];
	});
}

function listRuns({callers, arrivals, outcomes, ends, operator, workspaces, routes}: SoakRecords): Run[] {
	const arrivalsById = collectByKey(arrivals, ({requestId}) => requestId);
	const runsById = collectByKey(outcomes.filter(({hasRun}) => hasRun), ({requestId}) => requestId);
	const endsById = collectByKey(ends, ({requestId}) => requestId);
	const publicRoutes = new Set(routes.filter(({isPublic}) => isPublic).map(({name}) => name));
	return callers.filter(({route}) => !publicRoutes.has(route)).flatMap((caller): Run[] => {
		const {requestId, sentAt, endedAt, key} = caller;
		const runs = runsById.get(requestId) ?? [];
		const until = Math.max(endedAt, ...(endsById.get(requestId) ?? []).map(({at}) => at));
		if (runs.length > 0) {
			const told = new Set((arrivalsById.get(requestId) ?? []).map(({workspace}) => workspace).filter(name => name !== undefined));
			return [{
				workspaces: [...told], from: Math.min(...runs.map(({at}) => at)), until, hasRun: true,
			}];
		}

		return isUnknown(caller)
			? [{
				workspaces: listKeyOwners(operator, key, {sentAt, at: endedAt, revocationMs: workspaces!.revocationMs}), from: sentAt, until, hasRun: false,
			}]
			: [];
	});
}

/** Returns true if the edge may not know whether a server has run the request. */
function isUnknown({end, status}: CallerRecord): boolean {
	return end !== 'answered' || (status! >= 500 && status !== 503);
}

function isSound({from, until}: Span, {processEnds, disturbances, edges, graceMs}: SoakRecords): boolean {
	const isEdge = (name: string) => edges.includes(name);
	const planned = disturbances.filter(({kind}) => kind === 'term');
	const isKilled = processEnds.some(({name, at}) => isEdge(name) && at >= from && at <= until + unreportedMs && !planned.some(stop => stop.target === name && at >= stop.from && at < stop.from + graceMs));
	const isAway = disturbances.some(other => touchKinds.has(other.kind) && isEdge(other.target) && other.from < until + decidedMs && other.until > until + decidedMs - backMs);
	return !isKilled && !isAway;
}
