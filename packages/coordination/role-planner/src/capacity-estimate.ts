/**
 * Estimates how much of a demand a set of engines in given roles can serve. Classes with the largest fraction of prefill are
 * assigned to prefill engines first, and those with the largest fraction of decode to decode engines, because a role speeds
 * up one of the two and slows down the other. This order is optimal for feasibility, since the advantage of a role is
 * monotonic in the ratio of prefill to decode.
 */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import type {ClassDemand} from './demand-model.js';

export type RoleCounts = Record<EngineRole, number>;

export type RoleSpeed = {
	/** Speed relative to a mixed engine. */
	prefill: number;
	decode: number;
	/** Fraction of a busy engine's time that goes to prefill. */
	prefillTimeFraction: number;
};

export type RoleSpeeds = Record<EngineRole, RoleSpeed>;

export const defaultRoleSpeeds: RoleSpeeds = {
	mixed: {prefill: 1, decode: 1, prefillTimeFraction: 0.5},
	prefill: {prefill: 1.5, decode: 0.3, prefillTimeFraction: 0.9},
	decode: {prefill: 0.3, decode: 1.5, prefillTimeFraction: 0.2},
};

const rolesByPrefillSpeed: EngineRole[] = ['prefill', 'mixed', 'decode'];
const maximumServedFraction = 2;
const bisectionSteps = 24;
/** Maximum time to first token of a request. */
const firstTokenTargetSeconds = 0.46;
/**
 * Minimum decode speed while the engine also runs prefill, relative to a mixed engine, at which answers meet their
 * target between tokens.
 */
const minimumDecodeSpeed = 0.2;
/** The decode speed is not checked for classes with a smaller fraction of decode. */
const negligibleDecodeFraction = 0.02;
/**
 * Fraction of its capacity that a single engine must keep free to meet its targets. Larger groups need a smaller
 * fraction.
 */
const singleEngineSpareFraction = 0.45;

/** Returns the fraction of the demand that can be served, at most 2. */
export function estimateServedFraction(counts: RoleCounts, demand: readonly ClassDemand[], speeds: RoleSpeeds = defaultRoleSpeeds): number {
	const total = demand.reduce((sum, classDemand) => sum + classDemand.prefill + classDemand.decode, 0);
	if (total === 0) {
		return maximumServedFraction;
	}

	const sorted = [...demand].sort((a, b) => computePrefillFraction(b) - computePrefillFraction(a));
	let low = 0;
	let high = maximumServedFraction;
	for (let step = 0; step < bisectionSteps; step++) {
		const middle = (low + high) / 2;
		if (canServe(counts, sorted, {fraction: middle, speeds})) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low;
}

function computePrefillFraction(demand: ClassDemand): number {
	return demand.prefill / Math.max(Number.EPSILON, demand.prefill + demand.decode);
}

/**
 * A group of engines needs spare capacity for random variation of the load. Small groups need a larger fraction, so
 * splitting a fleet costs capacity.
 */
function computeUsableCapacity(count: number): number {
	return count === 0 ? 0 : count * (1 - (singleEngineSpareFraction / Math.sqrt(count)));
}

/**
 * Tells whether requests of the class can meet their targets in this role. An engine runs a request from its prefill to the
 * end of its decode, so a role that is slow at one of the two is suitable only for work with little of it.
 */
function canMeetTargets(demand: ClassDemand, speed: RoleSpeed): boolean {
	const firstTokenSeconds = demand.requestPrefillSeconds / (speed.prefill * speed.prefillTimeFraction);
	const decodeFraction = 1 - computePrefillFraction(demand);
	const isDecodeFastEnough = speed.decode * (1 - speed.prefillTimeFraction) >= minimumDecodeSpeed || decodeFraction < negligibleDecodeFraction;
	return firstTokenSeconds <= firstTokenTargetSeconds && isDecodeFastEnough;
}

function canServe(counts: RoleCounts, sorted: readonly ClassDemand[], opts: {fraction: number; speeds: RoleSpeeds}): boolean {
	let roleIndex = 0;
	let remainingCapacity = computeUsableCapacity(counts[rolesByPrefillSpeed[0]!]);
	for (const classDemand of sorted) {
		// Fraction of the class that is not assigned yet.
		let remainingFraction = opts.fraction;
		while (remainingFraction > 1e-9) {
			if (remainingCapacity <= 1e-9) {
				roleIndex++;
				if (roleIndex >= rolesByPrefillSpeed.length) {
					return false;
				}

				remainingCapacity = computeUsableCapacity(counts[rolesByPrefillSpeed[roleIndex]!]);
				continue;
			}

			const speed = opts.speeds[rolesByPrefillSpeed[roleIndex]!];
			if (!canMeetTargets(classDemand, speed)) {
				remainingCapacity = 0;
				continue;
			}

			const cost = (classDemand.prefill / speed.prefill) + (classDemand.decode / speed.decode);
			const assigned = Math.min(remainingFraction, remainingCapacity / Math.max(cost, Number.EPSILON));
			remainingFraction -= assigned;
			remainingCapacity -= assigned * cost;
		}
	}

	return true;
}
