/**
 * `mix`: compares the role planners on traces with a changing ratio of prompt to output tokens. The references are static
 * roles and an upper bound by hindsight: for each window, the highest goodput that any of the fixed sets of roles or any
 * planner reached on the same trace. Engines are simulated; planners, demand model, placer and queues are the product's.
 * In the scenario of the half-day drift, one simulated second represents `driftTimeFactor` seconds of a real deployment;
 * in all others, it represents one second.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {GreedyPlanner, StaticPlanner} from '@hickorytrack/role-planner/baseline-planners';
import {DemandModel} from '@hickorytrack/role-planner/demand-model';
import {PricePlanner} from '@hickorytrack/role-planner/price-planner';
import type {RolePlanner} from '@hickorytrack/role-planner';
import {Random} from '@hickorytrack/random';
import {ExpectedTimePlacer} from '@hickorytrack/placement';
import type {ModelRole} from '@hickorytrack/stand-ins/batch-model';
import type {DemandReport} from '@hickorytrack/types/peer-methods';
import {roundToThousandths} from './placement-bench.js';
import {isWithinTargets, type SimulatedEngine, type SimulatedRequest} from './simulated-fleet.js';
import {runFleet, type RunState} from './simulated-run.js';
import {createArrivals, mergeArrivals, type RequestShape} from './traces.js';

const engineCount = 8;
const planIntervalMs = 1000;
const drainLimitMs = 5000;
const roleChangeMs = 3000;
const changeSeconds = 6;
const windowMs = 10_000;
const msPerSecond = 1000;
/** The simulated half-day drift runs 36 times faster than the real one: 1200 s represent 12 hours. */
export const driftTimeFactor = 36;

const longPrompts: RequestShape = {
	workspace: 'cuenca', model: 'ordinance', promptTokens: 6400, prefixTokens: 512, prefixCount: 6, outputTokens: 36, queueMs: 1500,
};
const shortPrompts: RequestShape = {
	workspace: 'maraval', model: 'drafting', promptTokens: 120, prefixTokens: 0, prefixCount: 1, outputTokens: 150, queueMs: 1500,
};

/** Requests per second of each shape that one engine in the role mixed can serve. */
const longRequestsPerEngine = 3.1;
const shortRequestsPerEngine = 10;

type Scenario = {
	name: string;
	durationMs: number;
	/** Load of each shape, as the number of mixed engines that it requires. */
	getLoad: (ms: number) => {long: number; short: number};
	reportDelayMs: number;
	/** Time at which one engine is withdrawn permanently. */
	withdrawAtMs?: number;
};

const computeAlternatingLoad = (ms: number, periodMs: number, loads: {low: number; high: number}) => {
	const isLong = Math.floor(ms / periodMs) % 2 === 0;
	return isLong ? {long: loads.high, short: loads.low} : {long: loads.low, short: loads.high};
};

const scenarios: Scenario[] = [
	{
		name: 'trade places', durationMs: 600_000, reportDelayMs: 1000, getLoad: ms => computeAlternatingLoad(ms, 300_000, {low: 0.4, high: 7.2}),
	},
	{
		name: 'swings every two minutes', durationMs: 600_000, reportDelayMs: 1000, getLoad: ms => computeAlternatingLoad(ms, 120_000, {low: 1, high: 6.4}),
	},
	{
		name: 'half-day drift', durationMs: 1_200_000, reportDelayMs: 1000, getLoad: ms => ({long: 1 + (5.6 * ms / 1_200_000), short: 6.6 - (5.6 * ms / 1_200_000)}),
	},
	{
		name: 'noise around a constant mix', durationMs: 600_000, reportDelayMs: 1000, getLoad: ms => ({long: 3 + (0.5 * Math.sin(ms / 7000)), short: 3 + (0.5 * Math.cos(ms / 5000))}),
	},
	{
		name: 'swing that reverses at once', durationMs: 400_000, reportDelayMs: 1000, getLoad: ms => (ms > 200_000 && ms < 225_000 ? {long: 6.8, short: 0.6} : {long: 0.6, short: 6.8}),
	},
	{
		name: 'swing with one endpoint withdrawn', durationMs: 600_000, reportDelayMs: 1000, withdrawAtMs: 300_000, getLoad: ms => computeAlternatingLoad(ms, 300_000, {low: 0.4, high: 6.4}),
	},
	{
		name: 'load reports 5 s late', durationMs: 600_000, reportDelayMs: 5000, getLoad: ms => computeAlternatingLoad(ms, 300_000, {low: 0.4, high: 7.2}),
	},
];

type PlannedRun = {
	name: string;
	goodputPerSecond: number;
	roleChanges: number;
	/** Number of requests within their latency targets, by window of arrival. */
	goodByWindow: number[];
	roles: Array<{at: number; prefill: number; decode: number}>;
	/** Number of requests that were refused after they had produced tokens. */
	cut: number;
};

/**
 * Performs the role changes of a planner on simulated engines: drains the engine, moves the requests that still run at
 * `drainLimitMs` to other engines, changes the role and resumes serving.
 */
class RoleChangeSimulator {
	changes = 0;
	readonly #model = new DemandModel();
	readonly #planner: RolePlanner;
	readonly #changeWeight: number;
	readonly #reportDelayMs: number;
	readonly #delayedReports: Array<{at: number; reports: DemandReport[]}> = [];
	#openChange: {engine: SimulatedEngine; role: ModelRole; since: number} | undefined;
	#plannedAt = 0;
	#reportedRequests = 0;

	constructor(planner: RolePlanner, opts: {changeWeight: number; reportDelayMs: number}) {
		this.#planner = planner;
		this.#changeWeight = opts.changeWeight;
		this.#reportDelayMs = opts.reportDelayMs;
	}

	step(state: RunState): void {
		this.#updateOpenChange(state);
		if (state.clock.time - this.#plannedAt < planIntervalMs) {
			return;
		}

		this.#plannedAt = state.clock.time;
		this.#delayedReports.push({at: state.clock.time, reports: this.#collectReports(state)});
		while (this.#delayedReports.length > 0 && this.#delayedReports[0]!.at <= state.clock.time - this.#reportDelayMs) {
			const {reports, at} = this.#delayedReports.shift()!;
			this.#model.addReports(reports, at);
		}

		const decision = this.#planner.plan({
			at: state.clock.time,
			endpoints: state.engines.filter(engine => engine.unavailableUntil < Number.POSITIVE_INFINITY).map(engine => ({
				endpoint: engine.name, role: engine.batch.role, roles: ['mixed', 'prefill', 'decode'], isPinned: false, isBusy: this.#openChange !== undefined,
			})),
			demand: this.#model.forecast(changeSeconds * msPerSecond),
			changeSeconds,
			changeWeight: this.#changeWeight,
		});
		if (decision.change && !this.#openChange) {
			const engine = state.engines.find(other => other.name === decision.change!.endpoint)!;
			engine.isDraining = true;
			this.#openChange = {engine, role: decision.change.role, since: state.clock.time};
			for (const request of engine.removeQueued()) {
				state.resubmit(request);
			}
		}
	}

	/** Collects the demand of new arrivals, whether served or not, in engine seconds of a mixed engine. */
	#collectReports(state: RunState): DemandReport[] {
		const newRequests = state.requests.slice(this.#reportedRequests);
		this.#reportedRequests = state.requests.length;
		const byModel = new Map<string, DemandReport>();
		for (const request of newRequests) {
			const report = byModel.get(request.model) ?? {
				endpoint: '', model: request.model, prefillSeconds: 0, decodeSeconds: 0, requests: 0, intervalMs: planIntervalMs,
			};
			report.prefillSeconds += (request.promptTokens - request.expectedCachedTokens) / state.engines[0]!.batch.speed.prefillTokensPerSecond;
			report.decodeSeconds += request.outputTokens / state.engines[0]!.batch.speed.decodeTokensPerSecond;
			report.requests++;
			byModel.set(request.model, report);
		}

		return [...byModel.values()];
	}

	#updateOpenChange(state: RunState): void {
		const openChange = this.#openChange;
		if (!openChange) {
			return;
		}

		const {engine, role, since} = openChange;
		const isOverLimit = state.clock.time - since > drainLimitMs;
		if (engine.running.size > 0 && !isOverLimit) {
			return;
		}

		if (engine.unavailableUntil <= since) {
			for (const request of engine.removeAll()) {
				state.resubmit(request);
			}

			engine.unavailableUntil = state.clock.time + roleChangeMs;
		} else if (state.clock.time >= engine.unavailableUntil) {
			engine.batch.role = role;
			engine.clearCache();
			engine.isDraining = false;
			this.changes++;
			this.#openChange = undefined;
		}
	}
}

function createTrace(scenario: Scenario, seed: number) {
	const createShapeArrivals = (shape: RequestShape, index: number, getRate: (ms: number) => number) => createArrivals(shape, {
		random: new Random(seed + index), durationMs: scenario.durationMs, getRate, maximumRate: 8 * (index === 0 ? longRequestsPerEngine : shortRequestsPerEngine),
	});
	return mergeArrivals(
		createShapeArrivals(longPrompts, 0, ms => scenario.getLoad(ms).long * longRequestsPerEngine),
		createShapeArrivals(shortPrompts, 1, ms => scenario.getLoad(ms).short * shortRequestsPerEngine),
	);
}

function runPlanner(scenario: Scenario, opts: {seed: number; planner: RolePlanner; name?: string; roles?: ModelRole[]; changeWeight: number; arrivals: ReturnType<typeof createTrace>}): PlannedRun {
	const simulator = new RoleChangeSimulator(opts.planner, {changeWeight: opts.changeWeight, reportDelayMs: scenario.reportDelayMs});
	const roles: PlannedRun['roles'] = [];
	let isWithdrawn = false;
	const result = runFleet({
		arrivals: opts.arrivals,
		durationMs: scenario.durationMs,
		random: new Random(opts.seed),
		reportDelayMs: scenario.reportDelayMs,
		engineCount,
		roles: opts.roles,
		createPlacer: () => new ExpectedTimePlacer({random: new Random(opts.seed), crossZoneMs: 3}),
		onStep(state) {
			if (scenario.withdrawAtMs !== undefined && !isWithdrawn && state.clock.time >= scenario.withdrawAtMs) {
				isWithdrawn = true;
				const engine = state.engines.at(-1)!;
				engine.isDraining = true;
				for (const request of engine.removeAll()) {
					state.resubmit(request);
				}

				engine.unavailableUntil = Number.POSITIVE_INFINITY;
			}

			simulator.step(state);
			if (state.clock.time % windowMs === 0) {
				roles.push({at: state.clock.time, prefill: state.engines.filter(engine => engine.batch.role === 'prefill').length, decode: state.engines.filter(engine => engine.batch.role === 'decode').length});
			}
		},
	});
	return {
		name: opts.name ?? opts.planner.name,
		goodputPerSecond: result.goodputPerSecond,
		roleChanges: simulator.changes,
		goodByWindow: countGoodByWindow(result.requests, scenario.durationMs),
		roles,
		cut: result.requests.filter(request => request.producedTokens > 0 && request.outcome === 'refused').length,
	};
}

function countGoodByWindow(requests: readonly SimulatedRequest[], durationMs: number): number[] {
	const goodByWindow = Array.from({length: Math.ceil(durationMs / windowMs)}, () => 0);
	for (const request of requests.filter(candidate => isWithinTargets(candidate))) {
		goodByWindow[Math.floor(request.arrivedAt / windowMs)]!++;
	}

	return goodByWindow;
}

function createRoles(prefill: number, decode: number): ModelRole[] {
	return Array.from({length: engineCount}, (_, index) => {
		if (index < prefill) {
			return 'prefill';
		}

		return index < prefill + decode ? 'decode' : 'mixed';
	});
}

/** Computes the goodput of the best run in each window, and how often the best run changes. */
function computeHindsight(runs: readonly PlannedRun[], durationMs: number): {goodputPerSecond: number; changes: number} {
	let goodCount = 0;
	let changes = 0;
	let currentIndex = -1;
	for (const [index] of runs[0]!.goodByWindow.entries()) {
		const best = Math.max(...runs.map(run => run.goodByWindow[index]!));
		const bestIndex = currentIndex >= 0 && runs[currentIndex]!.goodByWindow[index]! === best ? currentIndex : runs.findIndex(run => run.goodByWindow[index]! === best);
		changes += currentIndex >= 0 && bestIndex !== currentIndex ? 1 : 0;
		currentIndex = bestIndex;
		goodCount += best;
	}

	return {goodputPerSecond: goodCount / durationMs * msPerSecond, changes};
}

export async function benchMix(opts: {seed: number; deployment: string; plotFolder?: URL}): Promise<Record<string, unknown>> {
	const changeWeight = opts.deployment === 'maraval' ? 4 : 1;
	const byScenario: Record<string, unknown> = {};
	let priceSum = 0;
	let hindsightSum = 0;
	let greedySum = 0;
	let worstVsStatic = Number.POSITIVE_INFINITY;
	let roleChanges = 0;
	let roleChangesGreedy = 0;
	let cut = 0;
	for (const scenario of scenarios) {
		const arrivals = createTrace(scenario, opts.seed);
		const run = (planner: RolePlanner, roles?: ModelRole[], name?: string) => runPlanner(scenario, {
			seed: opts.seed, planner, roles, name, changeWeight, arrivals,
		});
		const staticRuns = [[0, 0], [4, 4], [4, 0], [8, 0], [0, 4], [2, 0], [0, 2]].map(([prefill, decode]) =>
			run(new StaticPlanner('static-mixed'), createRoles(prefill!, decode!), `${prefill} prefill, ${decode} decode`));
		const [staticMixed, staticSplit] = staticRuns;
		const greedy = run(new GreedyPlanner());
		const price = run(new PricePlanner());
		const hindsight = computeHindsight([...staticRuns, price, greedy], scenario.durationMs);
		const bestStatic = Math.max(staticMixed!.goodputPerSecond, staticSplit!.goodputPerSecond);
		byScenario[scenario.name] = {
			goodput: {
				'static-mixed': roundToThousandths(staticMixed!.goodputPerSecond), 'static-split': roundToThousandths(staticSplit!.goodputPerSecond), greedy: roundToThousandths(greedy.goodputPerSecond), price: roundToThousandths(price.goodputPerSecond), hindsight: roundToThousandths(hindsight.goodputPerSecond),
			},
			roleChanges: {greedy: greedy.roleChanges, price: price.roleChanges, hindsight: hindsight.changes},
			goodputVsHindsight: roundToThousandths(price.goodputPerSecond / hindsight.goodputPerSecond),
			goodputVsBestStatic: roundToThousandths(price.goodputPerSecond / bestStatic),
			cut: price.cut,
		};
		console.log(scenario.name, JSON.stringify(byScenario[scenario.name]));
		if (opts.plotFolder) {
			await writePlot(scenario, [staticMixed!, greedy, price], opts.plotFolder);
		}

		priceSum += price.goodputPerSecond;
		hindsightSum += hindsight.goodputPerSecond;
		greedySum += greedy.goodputPerSecond;
		worstVsStatic = Math.min(worstVsStatic, price.goodputPerSecond / bestStatic);
		roleChanges += price.roleChanges;
		roleChangesGreedy += greedy.roleChanges;
		cut += price.cut;
	}

	return {
		goodputVsHindsight: roundToThousandths(priceSum / hindsightSum), goodputVsBestStatic: roundToThousandths(worstVsStatic), goodputVsGreedy: roundToThousandths(priceSum / greedySum), roleChanges, roleChangesGreedy, cut, byScenario,
	};
}

/** Writes an SVG with demand, roles and goodput over time. */
async function writePlot(scenario: Scenario, runs: readonly PlannedRun[], folder: URL): Promise<void> {
	const width = 760;
	const height = 120;
	const colours = ['#777777', '#c0504d', '#1f6fb4'];
	const computeX = (ms: number) => roundToThousandths((ms / scenario.durationMs * width) + 40);
	const createPolyline = (points: Array<[number, number]>, opts: {top: number; highest: number; colour: string}) =>
		`<polyline fill="none" stroke="${opts.colour}" points="${points.map(([ms, value]) => `${computeX(ms)},${roundToThousandths(opts.top + height - (value / opts.highest * height))}`).join(' ')}"/>`;
	const times = runs[0]!.goodByWindow.map((_, index) => index * windowMs);
	const highest = Math.max(1, ...runs.flatMap(run => run.goodByWindow)) / windowMs * msPerSecond;
	const parts = [
		`<text x="4" y="14">${scenario.name}: demand in mixed engines (long prompts black, short prompts grey)</text>`,
		createPolyline(times.map(ms => [ms, scenario.getLoad(ms).long]), {top: 20, highest: 8, colour: '#000000'}),
		createPolyline(times.map(ms => [ms, scenario.getLoad(ms).short]), {top: 20, highest: 8, colour: '#999999'}),
		'<text x="4" y="164">engines in role prefill (solid) and decode (pale), planner price</text>',
		createPolyline(runs[2]!.roles.map(sample => [sample.at, sample.prefill]), {top: 170, highest: 8, colour: '#1f6fb4'}),
		createPolyline(runs[2]!.roles.map(sample => [sample.at, sample.decode]), {top: 170, highest: 8, colour: '#9cc3e6'}),
		'<text x="4" y="314">goodput a second: static mixed grey, greedy red, price blue</text>',
		...runs.map((run, index) => createPolyline(run.goodByWindow.map((good, window) => [window * windowMs, good / windowMs * msPerSecond]), {top: 320, highest, colour: colours[index]!})),
	];
	await mkdir(folder, {recursive: true});
	const file = new URL(`mix-${scenario.name.replaceAll(' ', '-')}.svg`, folder);
	await writeFile(file, `<svg xmlns="http://www.w3.org/2000/svg" width="820" height="460" font-family="sans-serif" font-size="12"><rect width="820" height="460" fill="#ffffff"/>${parts.join('\n')}</svg>\n`);
}
