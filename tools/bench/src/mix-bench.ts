/**
 * `mix`: the role planners on traces whose prompt-to-output ratio shifts, each beside the static classes and an upper
 * bound by hindsight: for every window the best that any of the fixed sets of roles reached on the same trace. Engines
 * are simulated; planners, demand model, placer and queues are the product's. One simulated second stands for
 * `timeFactor` seconds of a real deployment in the scenario of the slow drift only.
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
import {round} from './placement-bench.js';
import {isGood, type SimulatedEngine, type SimulatedRequest} from './simulated-fleet.js';
import {runFleet, type RunState} from './simulated-run.js';
import {drawArrivals, mergeArrivals, type Shape} from './traces.js';

const engineCount = 8;
const planEveryMs = 1000;
const drainLimitMs = 5000;
const roleChangeMs = 3000;
const changeSeconds = 6;
const windowMs = 10_000;
const msPerSecond = 1000;
/** The half-day drift is run 36 times faster than it is meant. */
export const timeFactor = 36;

const longPrompts: Shape = {
	workspace: 'cuenca', model: 'ordinance', promptTokens: 6400, prefixTokens: 512, prefixes: 6, outputTokens: 36, queueMs: 1500,
};
const shortPrompts: Shape = {
	workspace: 'maraval', model: 'drafting', promptTokens: 120, prefixTokens: 0, prefixes: 1, outputTokens: 150, queueMs: 1500,
};

/** Requests a second of each shape that one mixed engine serves. */
const longPerEngine = 3.1;
const shortPerEngine = 10;

type Scenario = {
	name: string;
	durationMs: number;
	/** Part of the fleet, in mixed engines, that each shape asks for. */
	loadAt: (ms: number) => {long: number; short: number};
	reportDelayMs: number;
	/** Time at which one engine is withdrawn. */
	withdrawAtMs?: number;
};

const swing = (ms: number, periodMs: number, loads: {low: number; high: number}) => {
	const isLong = Math.floor(ms / periodMs) % 2 === 0;
	return isLong ? {long: loads.high, short: loads.low} : {long: loads.low, short: loads.high};
};

const scenarios: Scenario[] = [
	{
		name: 'trade places', durationMs: 600_000, reportDelayMs: 1000, loadAt: ms => swing(ms, 300_000, {low: 0.4, high: 7.2}),
	},
	{
		name: 'swings every two minutes', durationMs: 600_000, reportDelayMs: 1000, loadAt: ms => swing(ms, 120_000, {low: 1, high: 6.4}),
	},
	{
		name: 'half-day drift', durationMs: 1_200_000, reportDelayMs: 1000, loadAt: ms => ({long: 1 + (5.6 * ms / 1_200_000), short: 6.6 - (5.6 * ms / 1_200_000)}),
	},
	{
		name: 'noise around a constant mix', durationMs: 600_000, reportDelayMs: 1000, loadAt: ms => ({long: 3 + (0.5 * Math.sin(ms / 7000)), short: 3 + (0.5 * Math.cos(ms / 5000))}),
	},
	{
		name: 'swing that reverses at once', durationMs: 400_000, reportDelayMs: 1000, loadAt: ms => (ms > 200_000 && ms < 225_000 ? {long: 6.8, short: 0.6} : {long: 0.6, short: 6.8}),
	},
	{
		name: 'swing with one endpoint withdrawn', durationMs: 600_000, reportDelayMs: 1000, withdrawAtMs: 300_000, loadAt: ms => swing(ms, 300_000, {low: 0.4, high: 6.4}),
	},
	{
		name: 'load reports 5 s late', durationMs: 600_000, reportDelayMs: 5000, loadAt: ms => swing(ms, 300_000, {low: 0.4, high: 7.2}),
	},
];

type PlannedRun = {
	name: string;
	goodputPerSecond: number;
	roleChanges: number;
	/** Good answers by window of arrival. */
	windows: number[];
	roles: Array<{at: number; prefill: number; decode: number}>;
	cut: number;
};

/** Carries role changes out on simulated engines: drain, hand over what is left at the limit, change, serve again. */
class RoleChanger {
	changes = 0;
	readonly #model = new DemandModel();
	readonly #planner: RolePlanner;
	readonly #weight: number;
	readonly #delayMs: number;
	readonly #pending: Array<{at: number; reports: DemandReport[]}> = [];
	#open: {engine: SimulatedEngine; role: ModelRole; since: number} | undefined;
	#plannedAt = 0;
	#seen = 0;

	constructor(planner: RolePlanner, opts: {weight: number; delayMs: number}) {
		this.#planner = planner;
		this.#weight = opts.weight;
		this.#delayMs = opts.delayMs;
	}

	step(state: RunState): void {
		this.#carryOut(state);
		if (state.clock.time - this.#plannedAt < planEveryMs) {
			return;
		}

		this.#plannedAt = state.clock.time;
		this.#pending.push({at: state.clock.time, reports: this.#measure(state)});
		while (this.#pending.length > 0 && this.#pending[0]!.at <= state.clock.time - this.#delayMs) {
			const {reports, at} = this.#pending.shift()!;
			this.#model.addReports(reports, at);
		}

		const decision = this.#planner.plan({
			at: state.clock.time,
			endpoints: state.engines.filter(engine => engine.awayUntil < Number.POSITIVE_INFINITY).map(engine => ({
				endpoint: engine.name, role: engine.batch.role, roles: ['mixed', 'prefill', 'decode'], isPinned: false, isBusy: this.#open !== undefined,
			})),
			demand: this.#model.forecast(changeSeconds * msPerSecond),
			changeSeconds,
			changeWeight: this.#weight,
		});
		if (decision.change && !this.#open) {
			const engine = state.engines.find(one => one.name === decision.change!.endpoint)!;
			engine.isDraining = true;
			this.#open = {engine, role: decision.change.role, since: state.clock.time};
			for (const request of engine.takeQueued()) {
				state.placeAgain(request);
			}
		}
	}

	/** Demand by arrival, served or not, in seconds of a mixed engine. */
	#measure(state: RunState): DemandReport[] {
		const fresh = state.requests.slice(this.#seen);
		this.#seen = state.requests.length;
		const byModel = new Map<string, DemandReport>();
		for (const request of fresh) {
			const report = byModel.get(request.model) ?? {
				endpoint: '', model: request.model, prefillSeconds: 0, decodeSeconds: 0, requests: 0, intervalMs: planEveryMs,
			};
			report.prefillSeconds += (request.promptTokens - request.expectedCached) / state.engines[0]!.batch.speed.prefillTokensPerSecond;
			report.decodeSeconds += request.outputTokens / state.engines[0]!.batch.speed.decodeTokensPerSecond;
			report.requests++;
			byModel.set(request.model, report);
		}

		return [...byModel.values()];
	}

	#carryOut(state: RunState): void {
		const open = this.#open;
		if (!open) {
			return;
		}

		const {engine, role, since} = open;
		const isOverLimit = state.clock.time - since > drainLimitMs;
		if (engine.running.size > 0 && !isOverLimit) {
			return;
		}

		if (engine.awayUntil <= since) {
			for (const request of engine.takeAll()) {
				state.placeAgain(request);
			}

			engine.awayUntil = state.clock.time + roleChangeMs;
		} else if (state.clock.time >= engine.awayUntil) {
			engine.batch.role = role;
			engine.clearCache();
			engine.isDraining = false;
			this.changes++;
			this.#open = undefined;
		}
	}
}

function drawTrace(scenario: Scenario, seed: number) {
	const shape = (one: Shape, index: number, rateAt: (ms: number) => number) => drawArrivals(one, {
		random: new Random(seed + index), durationMs: scenario.durationMs, rateAt, highestRate: 8 * (index === 0 ? longPerEngine : shortPerEngine),
	});
	return mergeArrivals(
		shape(longPrompts, 0, ms => scenario.loadAt(ms).long * longPerEngine),
		shape(shortPrompts, 1, ms => scenario.loadAt(ms).short * shortPerEngine),
	);
}

function runPlanner(scenario: Scenario, opts: {seed: number; planner: RolePlanner; name?: string; roles?: ModelRole[]; weight: number; arrivals: ReturnType<typeof drawTrace>}): PlannedRun {
	const changer = new RoleChanger(opts.planner, {weight: opts.weight, delayMs: scenario.reportDelayMs});
	const roles: PlannedRun['roles'] = [];
	let isWithdrawn = false;
	const result = runFleet({
		arrivals: opts.arrivals,
		durationMs: scenario.durationMs,
		random: new Random(opts.seed),
		reportDelayMs: scenario.reportDelayMs,
		engines: engineCount,
		roles: opts.roles,
		createPlacer: () => new ExpectedTimePlacer({random: new Random(opts.seed), crossZoneMs: 3}),
		onStep(state) {
			if (scenario.withdrawAtMs !== undefined && !isWithdrawn && state.clock.time >= scenario.withdrawAtMs) {
				isWithdrawn = true;
				const engine = state.engines.at(-1)!;
				engine.isDraining = true;
				for (const request of engine.takeAll()) {
					state.placeAgain(request);
				}

				engine.awayUntil = Number.POSITIVE_INFINITY;
			}

			changer.step(state);
			if (state.clock.time % windowMs === 0) {
				roles.push({at: state.clock.time, prefill: state.engines.filter(one => one.batch.role === 'prefill').length, decode: state.engines.filter(one => one.batch.role === 'decode').length});
			}
		},
	});
	return {
		name: opts.name ?? opts.planner.name,
		goodputPerSecond: result.goodputPerSecond,
		roleChanges: changer.changes,
		windows: countWindows(result.requests, scenario.durationMs),
		roles,
		cut: result.requests.filter(one => one.produced > 0 && one.outcome === 'refused').length,
	};
}

function countWindows(requests: readonly SimulatedRequest[], durationMs: number): number[] {
	const windows = Array.from({length: Math.ceil(durationMs / windowMs)}, () => 0);
	for (const request of requests.filter(one => isGood(one))) {
		windows[Math.floor(request.arrivedAt / windowMs)]!++;
	}

	return windows;
}

function createRoles(prefill: number, decode: number): ModelRole[] {
	return Array.from({length: engineCount}, (_, index) => {
		if (index < prefill) {
			return 'prefill';
		}

		return index < prefill + decode ? 'decode' : 'mixed';
	});
}

/** The best of the fixed sets of roles in each window, and how often the best set changes. */
function computeHindsight(runs: readonly PlannedRun[], durationMs: number): {goodputPerSecond: number; changes: number} {
	let good = 0;
	let changes = 0;
	let last = -1;
	for (const [index] of runs[0]!.windows.entries()) {
		const best = Math.max(...runs.map(run => run.windows[index]!));
		const bestRun = last >= 0 && runs[last]!.windows[index]! === best ? last : runs.findIndex(run => run.windows[index]! === best);
		changes += last >= 0 && bestRun !== last ? 1 : 0;
		last = bestRun;
		good += best;
	}

	return {goodputPerSecond: good / durationMs * msPerSecond, changes};
}

export async function benchMix(opts: {seed: number; deployment: string; plotFolder?: URL}): Promise<Record<string, unknown>> {
	const weight = opts.deployment === 'maraval' ? 4 : 1;
	const byScenario: Record<string, unknown> = {};
	let ours = 0;
	let hindsightSum = 0;
	let greedySum = 0;
	let worstVsStatic = Number.POSITIVE_INFINITY;
	let roleChanges = 0;
	let roleChangesGreedy = 0;
	let cut = 0;
	for (const scenario of scenarios) {
		const arrivals = drawTrace(scenario, opts.seed);
		const run = (planner: RolePlanner, roles?: ModelRole[], name?: string) => runPlanner(scenario, {
			seed: opts.seed, planner, roles, name, weight, arrivals,
		});
		const statics = [[0, 0], [4, 4], [4, 0], [8, 0], [0, 4], [2, 0], [0, 2]].map(([prefill, decode]) =>
			run(new StaticPlanner('static-mixed'), createRoles(prefill!, decode!), `${prefill} prefill, ${decode} decode`));
		const [staticMixed, staticSplit] = statics;
		const greedy = run(new GreedyPlanner());
		const price = run(new PricePlanner());
		const hindsight = computeHindsight([...statics, price, greedy], scenario.durationMs);
		const bestStatic = Math.max(staticMixed!.goodputPerSecond, staticSplit!.goodputPerSecond);
		byScenario[scenario.name] = {
			goodput: {
				'static-mixed': round(staticMixed!.goodputPerSecond), 'static-split': round(staticSplit!.goodputPerSecond), greedy: round(greedy.goodputPerSecond), price: round(price.goodputPerSecond), hindsight: round(hindsight.goodputPerSecond),
			},
			roleChanges: {greedy: greedy.roleChanges, price: price.roleChanges, hindsight: hindsight.changes},
			goodputVsHindsight: round(price.goodputPerSecond / hindsight.goodputPerSecond),
			goodputVsBestStatic: round(price.goodputPerSecond / bestStatic),
			cut: price.cut,
		};
		console.log(scenario.name, JSON.stringify(byScenario[scenario.name]));
		if (opts.plotFolder) {
			await plot(scenario, [staticMixed!, greedy, price], opts.plotFolder);
		}

		ours += price.goodputPerSecond;
		hindsightSum += hindsight.goodputPerSecond;
		greedySum += greedy.goodputPerSecond;
		worstVsStatic = Math.min(worstVsStatic, price.goodputPerSecond / bestStatic);
		roleChanges += price.roleChanges;
		roleChangesGreedy += greedy.roleChanges;
		cut += price.cut;
	}

	return {
		goodputVsHindsight: round(ours / hindsightSum), goodputVsBestStatic: round(worstVsStatic), goodputVsGreedy: round(ours / greedySum), roleChanges, roleChangesGreedy, cut, byScenario,
	};
}

/** Draws demand, roles and goodput over time as an SVG. */
async function plot(scenario: Scenario, runs: readonly PlannedRun[], folder: URL): Promise<void> {
	const width = 760;
	const height = 120;
	const colours = ['#777777', '#c0504d', '#1f6fb4'];
	const x = (ms: number) => round((ms / scenario.durationMs * width) + 40);
	const line = (points: Array<[number, number]>, opts: {top: number; highest: number; colour: string}) =>
		`<polyline fill="none" stroke="${opts.colour}" points="${points.map(([ms, value]) => `${x(ms)},${round(opts.top + height - (value / opts.highest * height))}`).join(' ')}"/>`;
	const times = runs[0]!.windows.map((_, index) => index * windowMs);
	const highest = Math.max(1, ...runs.flatMap(run => run.windows)) / windowMs * msPerSecond;
	const parts = [
		`<text x="4" y="14">${scenario.name}: demand in mixed engines (long prompts black, short prompts grey)</text>`,
		line(times.map(ms => [ms, scenario.loadAt(ms).long]), {top: 20, highest: 8, colour: '#000000'}),
		line(times.map(ms => [ms, scenario.loadAt(ms).short]), {top: 20, highest: 8, colour: '#999999'}),
		'<text x="4" y="164">engines in role prefill (solid) and decode (pale), planner price</text>',
		line(runs[2]!.roles.map(one => [one.at, one.prefill]), {top: 170, highest: 8, colour: '#1f6fb4'}),
		line(runs[2]!.roles.map(one => [one.at, one.decode]), {top: 170, highest: 8, colour: '#9cc3e6'}),
		'<text x="4" y="314">goodput a second: static mixed grey, greedy red, price blue</text>',
		...runs.map((run, index) => line(run.windows.map((good, window) => [window * windowMs, good / windowMs * msPerSecond]), {top: 320, highest, colour: colours[index]!})),
	];
	await mkdir(folder, {recursive: true});
	const file = new URL(`mix-${scenario.name.replaceAll(' ', '-')}.svg`, folder);
	await writeFile(file, `<svg xmlns="http://www.w3.org/2000/svg" width="820" height="460" font-family="sans-serif" font-size="12"><rect width="820" height="460" fill="#ffffff"/>${parts.join('\n')}</svg>\n`);
}
