/** One run of a simulated fleet over a trace of arrivals. */
import {build} from 'hdr-histogram-js';
import type {Random} from '@hickorytrack/random';
import type {Placer} from '@hickorytrack/placement';
import type {ModelRole} from '@hickorytrack/stand-ins/batch-model';
import {
	isWithinTargets, SimulatedEngine, SimulatedEntry, SteppedClock, type SimulatedRequest,
} from './simulated-fleet.js';

export type Arrival = Omit<SimulatedRequest, 'firstTokenAt' | 'completedAt' | 'producedTokens' | 'outcome' | 'attempts' | 'cachedTokens' | 'expectedCachedTokens' | 'entry' | 'id'>;

export type RunOptions = {
	arrivals: readonly Arrival[];
	durationMs: number;
	createPlacer: () => Placer;
	random: Random;
	reportDelayMs: number;
	engines?: number;
	roles?: readonly ModelRole[];
	cacheTokens?: number;
	/** Runs after each step; may change engines. */
	onStep?: (state: RunState) => void;
};

export type RunState = {
	clock: SteppedClock;
	engines: SimulatedEngine[];
	entries: SimulatedEntry[];
	requests: SimulatedRequest[];
	/** Places a request again after its engine was taken away. */
	placeAgain: (request: SimulatedRequest) => void;
};

export type RunResult = {
	requests: SimulatedRequest[];
	goodputPerSecond: number;
	firstTokenP95Ms: number;
	cacheHitRate: number;
	goodByWorkspace: Map<string, number>;
	/** Engine seconds used over engine seconds there were. */
	utilisation: number;
};

const stepMs = 10;
const reportEveryMs = 100;
const entryCount = 3;
const msPerSecond = 1000;

export function runFleet(opts: RunOptions): RunResult {
	const clock = new SteppedClock();
	const cacheTokens = opts.cacheTokens ?? 20_000;
	const engines = Array.from({length: opts.engines ?? 8}, (_, index) => new SimulatedEngine({
		clock, name: `engine-${index}`, availabilityZone: `zone-${index % entryCount}`, cacheTokens, role: opts.roles?.[index],
	}));
	const entries = Array.from({length: entryCount}, (_, index) => new SimulatedEntry({
		clock, placer: opts.createPlacer(), engines, availabilityZone: `zone-${index}`, reportDelayMs: opts.reportDelayMs, cacheTokens,
	}));
	const requests: SimulatedRequest[] = [];
	const place = (request: SimulatedRequest) => {
		if (!entries[request.entry]!.place(request)) {
			request.outcome = 'refused';
		}
	};

	let next = 0;
	let busySeconds = 0;
	for (clock.time = 0; clock.time < opts.durationMs; clock.time += stepMs) {
		while (next < opts.arrivals.length && opts.arrivals[next]!.arrivedAt <= clock.time) {
			const request: SimulatedRequest = {
				...opts.arrivals[next]!, id: `r${next}`, entry: opts.random.nextInteger(entryCount), producedTokens: 0, attempts: 0, cachedTokens: 0, expectedCachedTokens: 0,
			};
			requests.push(request);
			next++;
			place(request);
		}

		for (const engine of engines) {
			engine.step(stepMs / msPerSecond);
			busySeconds += engine.running.size > 0 ? stepMs / msPerSecond : 0;
		}

		if (clock.time % reportEveryMs === 0) {
			for (const entry of entries) {
				for (const engine of engines) {
					entry.addReport(engine);
				}
			}
		}

		opts.onStep?.({
			clock, engines, entries, requests, placeAgain: place,
		});
	}

	return summarise(requests, {durationMs: opts.durationMs, busySeconds, engines: engines.length});
}

function summarise(requests: SimulatedRequest[], opts: {durationMs: number; busySeconds: number; engines: number}): RunResult {
	const first = build();
	const goodByWorkspace = new Map<string, number>();
	let promptTokens = 0;
	let cachedTokens = 0;
	for (const request of requests) {
		if (request.firstTokenAt !== undefined) {
			first.recordValue(Math.max(1, request.firstTokenAt - request.arrivedAt));
			promptTokens += request.promptTokens;
			cachedTokens += request.cachedTokens;
		}

		if (isWithinTargets(request)) {
			goodByWorkspace.set(request.workspace, (goodByWorkspace.get(request.workspace) ?? 0) + 1);
		}
	}

	const good = [...goodByWorkspace.values()].reduce((sum, count) => sum + count, 0);
	return {
		requests,
		goodputPerSecond: good / opts.durationMs * msPerSecond,
		firstTokenP95Ms: first.getValueAtPercentile(95),
		cacheHitRate: cachedTokens / Math.max(1, promptTokens),
		goodByWorkspace,
		utilisation: opts.busySeconds / (opts.durationMs / msPerSecond * opts.engines),
	};
}
