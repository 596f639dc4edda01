/** Runs a simulated fleet over a trace of arrivals and summarises the result. */
import {build} from 'hdr-histogram-js';
import type {Random} from '@hickorytrack/random';
import type {Placer} from '@hickorytrack/placement';
import type {ModelRole} from '@hickorytrack/stand-ins/batch-model';
import {
	isWithinTargets, SimulatedEngine, SimulatedEntry, SteppedClock, type SimulatedRequest,
} from './simulated-fleet.js';

export type Arrival = Omit<SimulatedRequest, 'firstTokenAt' | 'completedAt' | 'producedTokens' | 'outcome' | 'attempts' | 'cachedTokens' | 'expectedCachedTokens' | 'entryIndex' | 'id'>;

export type RunOptions = {
	arrivals: readonly Arrival[];
	durationMs: number;
	createPlacer: () => Placer;
	random: Random;
	reportDelayMs: number;
	engineCount?: number;
	/** Role of each engine, by index. */
	roles?: readonly ModelRole[];
	/** KV cache size of each engine, in tokens. */
	cacheTokens?: number;
	/** Called after each step of the simulation; may change the state of the engines. */
	onStep?: (state: RunState) => void;
};

export type RunState = {
	clock: SteppedClock;
	engines: SimulatedEngine[];
	entries: SimulatedEntry[];
	requests: SimulatedRequest[];
	/** Submits a request again after it was removed from its engine. */
	resubmit: (request: SimulatedRequest) => void;
};

export type RunResult = {
	requests: SimulatedRequest[];
	goodputPerSecond: number;
	/** 95th percentile of the time to first token over the requests that got a first token. */
	firstTokenP95Ms: number;
	/** Fraction of the prompt tokens that were found in the KV cache, over the requests that got a first token. */
	cacheHitRate: number;
	/** Number of requests within both latency targets (time to first token, time between tokens), by workspace. */
	goodByWorkspace: Map<string, number>;
	/** Fraction of the time in which an engine had at least one running request, averaged over the engines. */
	utilisation: number;
};

const stepMs = 10;
const reportIntervalMs = 100;
const entryCount = 3;
const msPerSecond = 1000;

export function runFleet(opts: RunOptions): RunResult {
	const clock = new SteppedClock();
	const cacheTokens = opts.cacheTokens ?? 20_000;
	const engines = Array.from({length: opts.engineCount ?? 8}, (_, index) => new SimulatedEngine({
		clock, name: `engine-${index}`, availabilityZone: `zone-${index % entryCount}`, cacheTokens, role: opts.roles?.[index],
	}));
	const entries = Array.from({length: entryCount}, (_, index) => new SimulatedEntry({
		clock, placer: opts.createPlacer(), engines, availabilityZone: `zone-${index}`, reportDelayMs: opts.reportDelayMs, cacheTokens,
	}));
	const requests: SimulatedRequest[] = [];
	const submit = (request: SimulatedRequest) => {
		if (!entries[request.entryIndex]!.submit(request)) {
			request.outcome = 'refused';
		}
	};

	let nextArrival = 0;
	let busyEngineSeconds = 0;
	for (clock.time = 0; clock.time < opts.durationMs; clock.time += stepMs) {
		while (nextArrival < opts.arrivals.length && opts.arrivals[nextArrival]!.arrivedAt <= clock.time) {
			const request: SimulatedRequest = {
				...opts.arrivals[nextArrival]!, id: `r${nextArrival}`, entryIndex: opts.random.nextInteger(entryCount), producedTokens: 0, attempts: 0, cachedTokens: 0, expectedCachedTokens: 0,
			};
			requests.push(request);
			nextArrival++;
			submit(request);
		}

		for (const engine of engines) {
			engine.step(stepMs / msPerSecond);
			busyEngineSeconds += engine.running.size > 0 ? stepMs / msPerSecond : 0;
		}

		if (clock.time % reportIntervalMs === 0) {
			for (const entry of entries) {
				for (const engine of engines) {
					entry.addReport(engine);
				}
			}
		}

		opts.onStep?.({
			clock, engines, entries, requests, resubmit: submit,
		});
	}

	return summarise(requests, {durationMs: opts.durationMs, busyEngineSeconds, engineCount: engines.length});
}

function summarise(requests: SimulatedRequest[], opts: {durationMs: number; busyEngineSeconds: number; engineCount: number}): RunResult {
	const firstTokenMs = build();
	const goodByWorkspace = new Map<string, number>();
	let promptTokens = 0;
	let cachedTokens = 0;
	for (const request of requests) {
		if (request.firstTokenAt !== undefined) {
			firstTokenMs.recordValue(Math.max(1, request.firstTokenAt - request.arrivedAt));
			promptTokens += request.promptTokens;
			cachedTokens += request.cachedTokens;
		}

		if (isWithinTargets(request)) {
			goodByWorkspace.set(request.workspace, (goodByWorkspace.get(request.workspace) ?? 0) + 1);
		}
	}

	const goodRequests = [...goodByWorkspace.values()].reduce((sum, count) => sum + count, 0);
	return {
		requests,
		goodputPerSecond: goodRequests / opts.durationMs * msPerSecond,
		firstTokenP95Ms: firstTokenMs.getValueAtPercentile(95),
		cacheHitRate: cachedTokens / Math.max(1, promptTokens),
		goodByWorkspace,
		utilisation: opts.busyEngineSeconds / (opts.durationMs / msPerSecond * opts.engineCount),
	};
}
