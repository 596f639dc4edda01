/**
 * LIMIT: from `contactMs` after a server first named a limit, it gets within any `windowMs` at most one and a half times what
 * that allows and a few requests more, from all edges together. Counted are calls of every kind that arrive later than half
 * a second after it was named; of several limits within the window the highest counts. Requests of edges that were started,
 * ended, frozen or had harmed links of late are left out, and calls of unknown edges while any edge was disturbed.
 */
import {collectByKey} from './collect-by-key.js';
import {formatStart} from './crashing-part.js';
import type {LimitRecord, RuleCase, SoakRecords} from './records.js';

const contactMs = 3000;
const windowMs = 4000;
const toldMs = 500;
const allowedFactor = 1.5;
const allowedBurst = 5;
const msPerSecond = 1000;

/** A span in which a server named limits. */
type Span = {from: number; until: number; changes: LimitRecord[]};

type CountedCall = {at: number; requestId: string; edge: string | undefined};

/** The fullest window of a server, against what is allowed in it. */
export type LimitUse = {server: string; at: number; requestId: string; count: number; allowed: number; perSecond: number};

export function checkLimit(records: SoakRecords): RuleCase[] {
	return findLimitUses(records).filter(({count, allowed}) => count > allowed).map(({server, at, requestId, count, allowed, perSecond}) => ({rule: 'LIMIT', requestId, detail: `${server} had named ${perSecond} a second and got ${count} requests in the 4 s to ${at}, ${allowed.toFixed(1)} are allowed`}));
}

/** Returns the fullest window of each span in which a server named limits. */
export function findLimitUses(records: SoakRecords): LimitUse[] {
	const edges = new Map(records.callers.map(({requestId, edge}) => [requestId, edge]));
	const calls = collectByKey([...records.arrivals, ...records.calls], call => formatStart(call));
	return [...collectByKey(records.limits, limit => formatStart(limit)).values()].flatMap(limits => {
		const counted = (calls.get(formatStart(limits[0]!)) ?? []).map(call => ({at: call.at, requestId: call.requestId, edge: edges.get(call.requestId)})).sort((a, b) => a.at - b.at);
		return createSpans(limits).flatMap(span => findFullestWindow(limits[0]!.server, span, {counted, records}));
	});
}

function createSpans(limits: readonly LimitRecord[]): Span[] {
	const spans: Span[] = [];
	let open: Span | undefined;
	for (const limit of limits.toSorted((a, b) => a.at - b.at)) {
		if (limit.perSecond === undefined) {
			open = undefined;
			continue;
		}

		if (!open) {
			open = {from: limit.at, until: Number.POSITIVE_INFINITY, changes: []};
			spans.push(open);
		}

		open.changes.push(limit);
	}

	for (const span of spans) {
		span.until = limits.find(({at, perSecond}) => perSecond === undefined && at > span.from)?.at ?? Number.POSITIVE_INFINITY;
	}

	return spans;
}

function findFullestWindow(server: string, {from, until, changes}: Span, {counted, records}: {counted: readonly CountedCall[]; records: SoakRecords}): LimitUse[] {
	const ends = counted.filter(({at}) => at >= from + contactMs && at < until);
	const uses = ends.map(({at, requestId}) => {
		const start = Math.max(at - windowMs, from + toldMs);
		const within = counted.filter(call => call.at > start && call.at <= at && isInTouch(call, {start, at, server}, records));
		const past = changes.findLast(change => change.at <= start - toldMs) ?? changes[0]!;
		const perSecond = Math.max(past.perSecond!, ...changes.filter(change => change.at > start - toldMs && change.at <= at).map(change => change.perSecond!));
		return {
			server, at, requestId, count: within.length, allowed: (allowedFactor * perSecond * windowMs / msPerSecond) + allowedBurst, perSecond,
		};
	});
	return uses.sort((a, b) => (b.count / b.allowed) - (a.count / a.allowed)).slice(0, 1);
}

function isInTouch({edge}: CountedCall, {start, at, server}: {start: number; at: number; server: string}, {processEnds, disturbances, edges}: SoakRecords): boolean {
	const isOver = (until: number) => until < start - contactMs;
	const isMeant = (name: string | undefined) => name !== undefined && (edge === undefined ? edges.includes(name) : name === edge);
	const hasEnded = processEnds.some(end => isMeant(end.name) && !isOver(end.at) && end.at <= at);
	const isDisturbed = disturbances.some(({target, source, from, until}) => {
		const isOwn = isMeant(target) || isMeant(source) || (target === server && source === undefined);
		return isOwn && from <= at && !isOver(until);
	});
	return !hasEnded && !isDisturbed;
}
