/** The faults from outside, in series and overlapping: which, when, where and how long. It follows from the seed alone. */
import type {Random} from '@hickorytrack/random';
import {workspaceBounds} from './workspaces.js';

export const outsideFaults = {
	/** Signals to an edge: a planned stop, an end without notice, of one edge, of the whole core or of all edges, and a pause. */
	term: 'term',
	kill: 'kill',
	killCore: 'kill-core',
	killAll: 'kill-all',
	freeze: 'freeze',
	/** On the link to an edge or a server: latency, one direction or both without delivery, resets, open connections dead. */
	delay: 'delay',
	silence: 'silence',
	cut: 'cut',
	reset: 'reset',
	stall: 'stall',
	/** A sound server sends nothing for a while and goes on; near changes and planned stops, and at any time. */
	hush: 'hush',
	/** Servers start again one after the other, each with the next version of its software. */
	release: 'release',
	/** An edge stands still or is cut off from the others while a release goes on. */
	outOfStep: 'out-of-step',
} as const;
export type OutsideFault = typeof outsideFaults[keyof typeof outsideFaults];

/** Drawn behind all others, so that these keep their times with and without them. */
export const lateFaults = {
	/** All edges end without notice as soon as a change is acknowledged. */
	killAcknowledged: 'kill-acknowledged',
	/** Bodies and frames that do not end fill the addresses of an edge for control calls and for other edges. */
	flood: 'flood',
} as const;
export type LateFault = typeof lateFaults[keyof typeof lateFaults];

/** Target of a fault that strikes whichever edge leads the core by then. */
export const leaderTarget = 'leader';

export type ScheduledFault = {
	atMs: number;
	/** An edge that is out of step is scheduled as what keeps it from taking part. */
	kind: Exclude<OutsideFault, 'out-of-step'> | LateFault;
	target: string;
	/** Edge whose connections to the target are meant; undefined for all. */
	source?: string;
	durationMs: number;
};

export type ScheduleOptions = {
	random: Random;
	seconds: number;
	kinds: readonly OutsideFault[];
	lateKinds?: readonly LateFault[];
	edges: readonly string[];
	servers: readonly string[];
	/** The leader of the core is stopped, killed or frozen besides. */
	hasLeaderChanges?: boolean;
	/** Times of the operator's changes. */
	changesAtMs: readonly number[];
	/** Times at which keys of workspaces are changed. */
	keysAtMs?: readonly number[];
};

const startMs = 3000;
const endMs = 3000;
const meanGapMs = 1200;
const minDurationMs = 100;
const maxDurationMs = 4000;
/** An edge falls out of step up to this long before a release begins, and takes part again while callers still wait. */
const outOfStepLeadMs = 1000;
const minOutOfStepMs = 1000;
const maxOutOfStepMs = 6000;
/** Faults that strike edges only. */
const edgeFaults: ReadonlySet<OutsideFault> = new Set([outsideFaults.term, outsideFaults.kill, outsideFaults.killCore, outsideFaults.killAll]);

const meanChangeMs = 2000;
const seriesFraction = 0.4;
const maxSeries = 5;
const seriesMs = 1000;
const minHushMs = 600;
const maxHushMs = 1600;
/** A silence begins within this time around a change or a planned stop. */
const hushSpreadMs = 300;
const hushFraction = 0.6;
const twoHushesFraction = 0.4;
/** Between two silences of a server. */
const hushPauseMs = 1000;

const keyFaultFraction = 0.6;
const maxKeyLeadMs = 400;
const maxKeyLagMs = 1500;

const lateCount = 2;
const minLateMs = 1000;
const maxLateMs = 3000;

/** Times of the operator's changes: single ones and series within a second. */
export function createChangeTimes(random: Random, seconds: number): number[] {
	const times: number[] = [];
	for (let atMs = random.nextExponential(meanChangeMs); atMs < seconds * 1000; atMs += random.nextExponential(meanChangeMs)) {
		const others = random.next() < seriesFraction ? 1 + random.nextInteger(maxSeries - 1) : 0;
		times.push(atMs, ...Array.from({length: others}, () => atMs + random.nextBetween(0, seriesMs)));
	}

	return times.map(time => Math.round(time)).sort((a, b) => a - b);
}

export function createSchedule({random, seconds, kinds, lateKinds = [], hasLeaderChanges = false, edges, servers, changesAtMs, keysAtMs = []}: ScheduleOptions): ScheduledFault[] {
	const schedule: ScheduledFault[] = [];
	const drawn = kinds.filter(kind => kind !== 'out-of-step');
	for (let atMs = startMs; drawn.length > 0 && atMs < (seconds * 1000) - endMs; atMs += random.nextExponential(meanGapMs)) {
		const kind = random.select(drawn);
		if (kind === 'hush') {
			schedule.push(...createHushes(random, servers, atMs));
			continue;
		}

		const target = random.select(edgeFaults.has(kind) ? edges : [...edges, ...servers]);
		const sources = edges.filter(edge => edge !== target);
		schedule.push({
			atMs: Math.round(atMs), kind, target, source: random.next() < 0.5 && sources.length > 0 ? random.select(sources) : undefined, durationMs: Math.round(random.nextBetween(minDurationMs, maxDurationMs)),
		});
	}

	if (kinds.includes('hush')) {
		const planned = [...changesAtMs, ...schedule.filter(({kind}) => kind === 'term').map(({atMs}) => atMs)].filter(() => random.next() < hushFraction);
		schedule.push(...planned.flatMap(atMs => createHushes(random, servers, atMs + random.nextBetween(-hushSpreadMs, hushSpreadMs))));
	}

	if (kinds.includes('out-of-step')) {
		schedule.push(...createOutOfStepEdges(random, {
			schedule, seconds, edges, servers,
		}));
	}

	for (const kind of lateKinds) {
		schedule.push(...createLateFaults(random, {kind, seconds, edges}));
	}

	if (hasLeaderChanges) {
		schedule.push(...createLeaderChanges(random, seconds));
	}

	schedule.push(...keysAtMs.filter(() => random.next() < keyFaultFraction).map(atMs => createKeyFault(random, atMs, edges)));
	return removeJoinedHushes(schedule.sort((a, b) => a.atMs - b.atMs));
}

function createLateFaults(random: Random, {kind, seconds, edges}: Pick<ScheduleOptions, 'seconds' | 'edges'> & {kind: LateFault}): ScheduledFault[] {
	const lastMs = Math.max(startMs, (seconds * 1000) - endMs);
	return Array.from({length: lateCount}, () => ({
		atMs: Math.round(random.nextBetween(startMs, lastMs)), kind, target: random.select(edges), durationMs: Math.round(random.nextBetween(minLateMs, maxLateMs)),
	}));
}

/** An edge stands still, is cut off or starts again while keys change, and comes back when the removed ones may not run any more. */
function createKeyFault(random: Random, atMs: number, edges: readonly string[]): ScheduledFault {
	return {
		atMs: Math.max(0, Math.round(atMs - random.nextBetween(0, maxKeyLeadMs))), kind: random.select(['freeze', 'cut', 'kill', 'term'] as const), target: random.select(edges), durationMs: Math.round(maxKeyLeadMs + workspaceBounds.revocationMs + random.nextBetween(0, maxKeyLagMs)),
	};
}

function createLeaderChanges(random: Random, seconds: number): ScheduledFault[] {
	const lastMs = Math.max(startMs, (seconds * 1000) - endMs);
	return Array.from({length: lateCount}, () => ({
		atMs: Math.round(random.nextBetween(startMs, lastMs)), kind: random.select(['term', 'kill', 'freeze'] as const), target: leaderTarget, durationMs: Math.round(random.nextBetween(minLateMs, maxLateMs)),
	}));
}

/** For each release, one edge that stands still or is cut off during a part of it. There is one release at least. */
function createOutOfStepEdges(random: Random, {schedule, seconds, edges, servers}: Pick<ScheduleOptions, 'seconds' | 'edges' | 'servers'> & {schedule: readonly ScheduledFault[]}): ScheduledFault[] {
	const planned = schedule.filter(({kind}) => kind === 'release');
	const added: ScheduledFault[] = planned.length > 0
		? []
		: [{
			atMs: startMs, kind: 'release', target: servers[0]!, durationMs: maxDurationMs,
		}];
	return [...added, ...[...planned, ...added].map(({atMs, durationMs}): ScheduledFault => {
		const from = Math.max(0, Math.round(atMs + random.nextBetween(-outOfStepLeadMs, durationMs)));
		const lastMs = Math.max(minOutOfStepMs, (seconds * 1000) - endMs - from);
		return {
			atMs: from, kind: random.select(['freeze', 'cut'] as const), target: random.select(edges), durationMs: Math.round(Math.min(lastMs, random.nextBetween(minOutOfStepMs, maxOutOfStepMs))),
		};
	})];
}

/** One server falls silent, or two at once. */
function createHushes(random: Random, servers: readonly string[], atMs: number): ScheduledFault[] {
	const first = random.nextInteger(servers.length);
	const second = (first + 1 + random.nextInteger(servers.length - 1)) % servers.length;
	const silent = random.next() < twoHushesFraction ? [first, second] : [first];
	return silent.map(index => ({
		atMs: Math.max(0, Math.round(atMs)), kind: 'hush', target: servers[index]!, durationMs: Math.round(random.nextBetween(minHushMs, maxHushMs)),
	}));
}

/** Two silences of a server that follow each other closely would be one that is longer than any. */
function removeJoinedHushes(schedule: readonly ScheduledFault[]): ScheduledFault[] {
	const silentUntil = new Map<string, number>();
	return schedule.filter(({kind, target, atMs, durationMs}) => {
		if (kind !== 'hush') {
			return true;
		}

		const isApart = atMs > (silentUntil.get(target) ?? Number.NEGATIVE_INFINITY) + hushPauseMs;
		if (isApart) {
			silentUntil.set(target, atMs + durationMs);
		}

		return isApart;
	});
}
