/** The faults from outside, in series and overlapping: which, when, where and how long. It follows from the seed alone. */
import type {Random} from '@hickorytrack/random';

export const outsideFaults = {
	/** Signals to an edge: a planned stop, an end without notice, of one edge or of the whole core, and a pause. */
	term: 'term',
	kill: 'kill',
	killCore: 'kill-core',
	freeze: 'freeze',
	/** On the link to an edge or a server: latency, one direction or both without delivery, resets, open connections dead. */
	delay: 'delay',
	silence: 'silence',
	cut: 'cut',
	reset: 'reset',
	stall: 'stall',
} as const;
export type OutsideFault = typeof outsideFaults[keyof typeof outsideFaults];

export type ScheduledFault = {
	atMs: number;
	kind: OutsideFault;
	target: string;
	/** Edge whose connections to the target are meant; undefined for all. */
	source?: string;
	durationMs: number;
};

export type ScheduleOptions = {
	random: Random;
	seconds: number;
	kinds: readonly OutsideFault[];
	edges: readonly string[];
	servers: readonly string[];
};

const startMs = 3000;
const endMs = 3000;
const meanGapMs = 1200;
const minDurationMs = 100;
const maxDurationMs = 4000;
/** Faults that strike edges only. */
const edgeFaults: ReadonlySet<OutsideFault> = new Set([outsideFaults.term, outsideFaults.kill, outsideFaults.killCore]);

export function createSchedule({random, seconds, kinds, edges, servers}: ScheduleOptions): ScheduledFault[] {
	const schedule: ScheduledFault[] = [];
	for (let atMs = startMs; kinds.length > 0 && atMs < (seconds * 1000) - endMs; atMs += random.nextExponential(meanGapMs)) {
		const kind = random.select(kinds);
		const target = random.select(edgeFaults.has(kind) ? edges : [...edges, ...servers]);
		const sources = edges.filter(edge => edge !== target);
		schedule.push({
			atMs: Math.round(atMs), kind, target, source: random.next() < 0.5 && sources.length > 0 ? random.select(sources) : undefined, durationMs: Math.round(random.nextBetween(minDurationMs, maxDurationMs)),
		});
	}

	return schedule;
}
