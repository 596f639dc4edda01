/** `placement`: compares the placer of the product with the baselines, on three mixes and with three delays of the load reports. */
import {Random} from '@hickorytrack/random';
import {LeastLoadedPlacer, PrefixHashPlacer, RoundRobinPlacer} from '@hickorytrack/placement/baseline-placers';
import {ExpectedTimePlacer, type Placer} from '@hickorytrack/placement';
import {runFleet} from './simulated-run.js';
import {
	cuencaShape, createArrivals, maravalShape, mergeArrivals,
} from './traces.js';

const durationMs = 60_000;
const crossZoneMs = 3;

const mixes = {
	cuenca: {cuenca: 60, maraval: 0},
	maraval: {cuenca: 0, maraval: 170},
	mix: {cuenca: 45, maraval: 60},
} as const;

const placers: Record<string, (random: Random) => Placer> = {
	'round-robin': () => new RoundRobinPlacer(),
	'least-loaded-by-report': random => new LeastLoadedPlacer(random),
	'prefix-hash': () => new PrefixHashPlacer(),
	'expected-time': random => new ExpectedTimePlacer({random, crossZoneMs}),
};

export function benchPlacement(seed: number): Record<string, unknown> {
	const byScenario: Record<string, unknown> = {};
	let worstGoodputRatio = Number.POSITIVE_INFINITY;
	let worstFirstTokenRatio = 0;
	let hitRate = 0;
	let mixGoodputRatio = Number.POSITIVE_INFINITY;
	for (const [mix, rates] of Object.entries(mixes)) {
		for (const reportDelayMs of [0, 1000, 5000]) {
			const results = Object.entries(placers).map(([name, createPlacer]) => {
				const random = new Random(seed);
				const arrivals = mergeArrivals(
					createArrivals(cuencaShape, {
						random, durationMs, getRate: () => rates.cuenca, maximumRate: Math.max(1, rates.cuenca),
					}),
					createArrivals(maravalShape, {
						random, durationMs, getRate: () => rates.maraval, maximumRate: Math.max(1, rates.maraval),
					}),
				);
				return {
					name, ...runFleet({
						arrivals, durationMs, createPlacer: () => createPlacer(new Random(seed)), random: new Random(seed + 1), reportDelayMs,
					}),
				};
			});
			const expectedTimeResult = results.at(-1)!;
			const baselines = results.slice(0, -1);
			const bestGoodput = Math.max(...baselines.map(result => result.goodputPerSecond));
			const bestFirstTokenMs = Math.min(...baselines.map(result => result.firstTokenP95Ms));
			const scenario = {
				goodput: Object.fromEntries(results.map(result => [result.name, roundToThousandths(result.goodputPerSecond)])),
				firstTokenP95Ms: Object.fromEntries(results.map(result => [result.name, result.firstTokenP95Ms])),
				cacheHitRate: Object.fromEntries(results.map(result => [result.name, roundToThousandths(result.cacheHitRate)])),
				goodputVsBestBaseline: roundToThousandths(expectedTimeResult.goodputPerSecond / bestGoodput),
			};
			byScenario[`${mix}, reports ${reportDelayMs / 1000} s late`] = scenario;
			console.log(mix, `${reportDelayMs} ms late`, JSON.stringify(scenario));
			worstGoodputRatio = Math.min(worstGoodputRatio, expectedTimeResult.goodputPerSecond / bestGoodput);
			worstFirstTokenRatio = Math.max(worstFirstTokenRatio, expectedTimeResult.firstTokenP95Ms / bestFirstTokenMs);
			if (mix === 'mix') {
				mixGoodputRatio = Math.min(mixGoodputRatio, expectedTimeResult.goodputPerSecond / bestGoodput);
				hitRate = expectedTimeResult.cacheHitRate;
			}
		}
	}

	return {
		goodputVsBestBaseline: roundToThousandths(worstGoodputRatio), mixGoodputVsBestBaseline: roundToThousandths(mixGoodputRatio), firstTokenP95VsBestBaseline: roundToThousandths(worstFirstTokenRatio), cacheHitRate: roundToThousandths(hitRate), byScenario,
	};
}

export function roundToThousandths(value: number): number {
	return Math.round(value * 1000) / 1000;
}
