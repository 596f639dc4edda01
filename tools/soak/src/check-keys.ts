/**
 * Rules for keys of workspaces.
 *
 * LEAK: no key reaches a server or the infrastructure, or stands in a log of an edge.
 * WORKSPACE: a server is told the workspace that holds the key of the request in a configuration that may be in force, and
 * none on a public route.
 * REVOKED: a request runs only if a configuration that may be in force knows its key. A configuration that another one has
 * overtaken is in force for requests that were sent up to the revocation time after the ack of the other one.
 */
import {collectByKey} from './collect-by-key.js';
import type {
	ArrivalRecord, CallerRecord, OperatorRecord, RuleCase, SoakRecords,
} from './records.js';
import {keyMark} from './workspaces.js';

export function checkKeys(records: SoakRecords): RuleCase[] {
	const {callers, arrivals, calls, outcomes, routes, operator, workspaces, dutyCalls = []} = records;
	if (!workspaces) {
		return [];
	}

	const leaks: RuleCase[] = [
		...[...arrivals, ...calls].filter(({hasKey}) => hasKey).map(({requestId, server, path}): RuleCase => ({rule: 'LEAK', requestId, detail: `${server} got a key with ${path}`})),
		...dutyCalls.filter(({body}) => body.includes(keyMark)).map(({holder}): RuleCase => ({rule: 'LEAK', detail: `the infrastructure got a key from ${holder}`})),
	];
	const publicRoutes = new Set(routes.filter(({isPublic}) => isPublic).map(({name}) => name));
	const sent = new Map(callers.map(caller => [caller.requestId, caller]));
	const runs = collectByKey(outcomes.filter(({hasRun}) => hasRun), ({requestId}) => requestId);
	const hasRun = ({requestId, server, startedAt, number}: ArrivalRecord) => runs.get(requestId)?.some(run => run.server === server && run.startedAt === startedAt && run.number === number) ?? false;
	return [...leaks, ...arrivals.flatMap((arrival): RuleCase[] => {
		const caller = sent.get(arrival.requestId);
		// A request that no caller sent is a case of another rule.
		return caller
			? checkArrival(arrival, {
				caller, isPublic: publicRoutes.has(caller.route), hasRun: hasRun(arrival), operator, revocationMs: workspaces.revocationMs,
			})
			: [];
	})];
}

/** A key in a log of an edge, which names it to whoever reads the log. */
export function checkKeysInLogs(lines: readonly string[]): RuleCase[] {
	return lines.filter(line => line.includes(keyMark)).map(detail => ({rule: 'LEAK', detail}));
}

function checkArrival({requestId, server, workspace, at}: ArrivalRecord, {caller, isPublic, hasRun, operator, revocationMs}: {caller: CallerRecord; isPublic: boolean; hasRun: boolean; operator: readonly OperatorRecord[]; revocationMs: number}): RuleCase[] {
	if (isPublic) {
		return workspace === undefined ? [] : [{rule: 'WORKSPACE', requestId, detail: `${server} was told ${workspace} on a public route`}];
	}

	const owners = listKeyOwners(operator, caller.key, {sentAt: caller.sentAt, at, revocationMs});
	const detail = `${server} was told ${workspace}, ${caller.key} is held by ${owners.join(' or ') || 'none'} (${caller.edge}, sent at ${caller.sentAt})`;
	if (owners.length === 0) {
		return hasRun ? [{rule: 'REVOKED', requestId, detail}] : [];
	}

	return workspace !== undefined && owners.includes(workspace) ? [] : [{rule: 'WORKSPACE', requestId, detail}];
}

/** Returns the workspaces that may hold a key at a time, for a request that was sent at another one. */
export function listKeyOwners(operator: readonly OperatorRecord[], key: string | undefined, {sentAt, at, revocationMs}: {sentAt: number; at: number; revocationMs: number}): string[] {
	if (key === undefined) {
		return [];
	}

	const overtakenBy = Math.max(0, ...operator.filter(({acknowledgedAt}) => acknowledgedAt !== undefined && acknowledgedAt + revocationMs < sentAt).map(({version}) => version));
	const inForce = operator.filter(record => record.version >= overtakenBy && record.sentAt <= at);
	return [...new Set(inForce.map(({keys}) => keys?.[key]).filter(owner => owner !== undefined))];
}
