/**
 * TWICE: a stream goes on at another server while the server before still works on it 400 ms later, though the edge that sent
 * it there is in touch and reaches that server.
 *
 * Reported is each run of a stream that lasts longer than `sharedMs` after the beginning of a later run of the same request
 * id at another server, or at another start of the server. A run lasts from the moment at which it has a slot, its prefill
 * included, until the server is done or has seen its connection close; what a server that is silent would send doesn't count,
 * nor what one does for a connection that has closed. A later run that the edge has left doesn't count from then on: the
 * stream goes on at the server before, and no two work on it. That the later run is done first, or breaks off, is no excuse.
 * Calls that only prefill are no runs. Plain requests are left out: an idempotent one may run again, another one is held to
 * one run by check-answers.ts.
 * Excused is:
 *
 * - the edge was out of touch, or the server before had ended, was frozen, or its link to the edge was harmed, up to 2 s
 *   before the later run began or until the end of the earlier one, as for LOST (check-lost.ts). A server that has crashed
 *   leaves no end of its runs;
 * - the machine: the time for which the event loop of the server before, or of the process with the relays before it, stood
 *   still meanwhile is not counted.
 */
import {isEdgeDisturbed, isServerDisturbed} from './check-lost.js';
import {collectByKey} from './collect-by-key.js';
import {formatStart} from './crashing-part.js';
import {measureDelays, soakProcess} from './loop-lag.js';
import type {
	CallerRecord, EndRecord, LagRecord, OutcomeRecord, RuleCase, SoakRecords,
} from './records.js';

const sharedMs = 400;

type Run = {begunAt: number; outcome: OutcomeRecord; end: EndRecord | undefined};

export function checkSharedWork(records: SoakRecords): RuleCase[] {
	const streaming = new Set(records.routes.filter(({kind}) => kind === 'streaming').map(({name}) => name));
	const runs = collectRuns(records);
	const lags = collectByKey(records.lags, ({server}) => server);
	return records.callers.filter(({route}) => streaming.has(route)).flatMap(caller => {
		const own = (runs.get(caller.requestId) ?? []).sort((a, b) => a.begunAt - b.begunAt);
		return own.flatMap((run, index) => own.slice(index + 1)
			.filter(({outcome}) => formatStart(outcome) !== formatStart(run.outcome))
			.flatMap(later => checkRun(caller, run, later, {records, lags}))
			.slice(0, 1));
	});
}

function collectRuns({outcomes, ends}: SoakRecords): Map<string, Run[]> {
	const format = (record: OutcomeRecord | EndRecord) => `${formatStart(record)} ${record.number}`;
	const endsByRun = new Map(ends.map(end => [format(end), end]));
	const runs = outcomes.filter(({hasRun}) => hasRun).flatMap((outcome): Run[] => outcome.begunAt === undefined ? [] : [{begunAt: outcome.begunAt, outcome, end: endsByRun.get(format(outcome))}]);
	return collectByKey(runs, ({outcome}) => outcome.requestId);
}

function checkRun(caller: CallerRecord, {outcome: {server}, end}: Run, later: Run, {records, lags}: {records: SoakRecords; lags: ReadonlyMap<string, LagRecord[]>}): RuleCase[] {
	if (!end) {
		return [];
	}

	const sharedUntil = later.end?.hasLeft ? Math.min(end.workedUntil, later.end.workedUntil) : end.workedUntil;
	const span = {...caller, sentAt: later.begunAt, endedAt: sharedUntil};
	const workedMs = sharedUntil - later.begunAt;
	const delayedMs = measureDelays([...(lags.get(server) ?? []), ...(lags.get(soakProcess) ?? [])], later.begunAt, sharedUntil);
	if (workedMs - delayedMs <= sharedMs || isEdgeDisturbed(span, records) || isServerDisturbed(span, server, records)) {
		return [];
	}

	const laterEnd = later.end ? `${later.end.hasLeft ? 'was left' : 'was done'} after ${later.end.workedUntil - later.begunAt} ms` : 'has no end';
	return [{rule: 'TWICE', requestId: caller.requestId, detail: `${server} still worked on it ${workedMs} ms (delays ${delayedMs} ms) after ${later.outcome.server} had begun, ${end.hasLeft ? 'until it was left' : 'to its end'}; the later run ${laterEnd} (${caller.edge}, ${caller.path})`}];
}
