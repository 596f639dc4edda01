/** `overload`: goodput at twice the capacity beside goodput at capacity, and the time to recover afterwards. */
import {Random} from '@hickorytrack/random';
import {ExpectedTimePlacer} from '@hickorytrack/placement';
import {round} from './placement-bench.js';
import {runFleet} from './simulated-run.js';
import {isWithinTargets, type SimulatedRequest} from './simulated-fleet.js';
import {
	cuencaShape, createArrivals, maravalShape, mergeArrivals,
} from './traces.js';

const durationMs = 60_000;
const overloadMs = 30_000;
const windowMs = 1000;

function runAt(seed: number, factorAt: (ms: number) => number): SimulatedRequest[] {
	const rate = (base: number) => ({getRate: (ms: number) => base * factorAt(ms), maximumRate: base * 4.2});
	const arrivals = mergeArrivals(
		createArrivals(cuencaShape, {random: new Random(seed), durationMs, ...rate(35)}),
		createArrivals(maravalShape, {random: new Random(seed + 1), durationMs, ...rate(70)}),
	);
	return runFleet({
		arrivals, durationMs, random: new Random(seed), reportDelayMs: 1000, createPlacer: () => new ExpectedTimePlacer({random: new Random(seed), crossZoneMs: 3}),
	}).requests;
}

function countGood(requests: readonly SimulatedRequest[], from: number, to: number): number {
	return requests.filter(one => one.arrivedAt >= from && one.arrivedAt < to && isWithinTargets(one)).length / (to - from) * 1000;
}

export function benchOverload(seed: number): Record<string, unknown> {
	// Capacity is the highest goodput over a sweep of loads that do not change.
	const sweep = [0.8, 1, 1.2, 1.4, 1.6, 1.8, 2].map(factor => ({factor, goodput: countGood(runAt(seed, () => factor), 5000, durationMs - 5000)}));
	const capacity = [...sweep].sort((a, b) => b.goodput - a.goodput)[0]!;
	const overloaded = countGood(runAt(seed, () => capacity.factor * 2), 5000, durationMs - 5000);
	const after = runAt(seed, ms => (ms < overloadMs ? capacity.factor * 2 : capacity.factor * 0.7));
	let recoverySeconds = 0;
	for (let from = overloadMs; from < durationMs - (5 * windowMs); from += windowMs) {
		const arrived = after.filter(one => one.arrivedAt >= from && one.arrivedAt < from + windowMs).length;
		const good = countGood(after, from, from + windowMs);
		if (good < arrived * 0.95) {
			recoverySeconds = ((from - overloadMs) / 1000) + 1;
		}
	}

	return {
		goodputAt2xVsCapacity: round(overloaded / capacity.goodput), recoverySeconds, capacityGoodput: round(capacity.goodput), sweep: sweep.map(one => ({factor: one.factor, goodput: round(one.goodput)})),
	};
}
