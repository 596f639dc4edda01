/** `overload`: compares goodput at twice the capacity with goodput at capacity, and measures the recovery time after the overload. */
import {Random} from '@hickorytrack/random';
import {ExpectedTimePlacer} from '@hickorytrack/placement';
import {roundToThousandths} from './placement-bench.js';
import {runFleet} from './simulated-run.js';
import {isWithinTargets, type SimulatedRequest} from './simulated-fleet.js';
import {
	cuencaShape, createArrivals, maravalShape, mergeArrivals,
} from './traces.js';

const durationMs = 60_000;
const overloadMs = 30_000;
const windowMs = 1000;

function runLoad(seed: number, getFactor: (ms: number) => number): SimulatedRequest[] {
	const createRates = (base: number) => ({getRate: (ms: number) => base * getFactor(ms), maximumRate: base * 4.2});
	const arrivals = mergeArrivals(
		createArrivals(cuencaShape, {random: new Random(seed), durationMs, ...createRates(35)}),
		createArrivals(maravalShape, {random: new Random(seed + 1), durationMs, ...createRates(70)}),
	);
	return runFleet({
		arrivals, durationMs, random: new Random(seed), reportDelayMs: 1000, createPlacer: () => new ExpectedTimePlacer({random: new Random(seed), crossZoneMs: 3}),
	}).requests;
}

function computeGoodputPerSecond(requests: readonly SimulatedRequest[], from: number, to: number): number {
	return requests.filter(request => request.arrivedAt >= from && request.arrivedAt < to && isWithinTargets(request)).length / (to - from) * 1000;
}

export function benchOverload(seed: number): Record<string, unknown> {
	// Capacity is the highest goodput over a sweep of constant loads.
	const sweep = [0.8, 1, 1.2, 1.4, 1.6, 1.8, 2].map(factor => ({factor, goodput: computeGoodputPerSecond(runLoad(seed, () => factor), 5000, durationMs - 5000)}));
	const capacity = [...sweep].sort((a, b) => b.goodput - a.goodput)[0]!;
	const overloaded = computeGoodputPerSecond(runLoad(seed, () => capacity.factor * 2), 5000, durationMs - 5000);
	const recoveryRequests = runLoad(seed, ms => (ms < overloadMs ? capacity.factor * 2 : capacity.factor * 0.7));
	let recoverySeconds = 0;
	for (let from = overloadMs; from < durationMs - (5 * windowMs); from += windowMs) {
		const arrivedCount = recoveryRequests.filter(request => request.arrivedAt >= from && request.arrivedAt < from + windowMs).length;
		const good = computeGoodputPerSecond(recoveryRequests, from, from + windowMs);
		if (good < arrivedCount * 0.95) {
			recoverySeconds = ((from - overloadMs) / 1000) + 1;
		}
	}

	return {
		goodputAt2xVsCapacity: roundToThousandths(overloaded / capacity.goodput), recoverySeconds, capacityGoodput: roundToThousandths(capacity.goodput), sweep: sweep.map(point => ({factor: point.factor, goodput: roundToThousandths(point.goodput)})),
	};
}
