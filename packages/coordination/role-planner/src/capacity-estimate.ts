/**
 * How much of a demand a set of engines in given roles can serve. Classes of work with the largest share of prefill go to
 * prefill engines first and those with the largest share of decode to decode engines, because a role speeds one of the
 * two up and slows the other down; this order is best for feasibility, since the advantage of a role is monotone in the
 * ratio of the two.
 */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import type {ClassDemand} from './demand-model.js';

export type RoleCounts = Record<EngineRole, number>;

export type RoleSpeed = {
	/** Speed against a mixed engine. */
	prefill: number;
	decode: number;
	/** Part of a busy engine's time that goes to prefill. */
	prefillTimeFraction: number;
};

export type RoleSpeeds = Record<EngineRole, RoleSpeed>;

export const defaultRoleSpeeds: RoleSpeeds = {
	mixed: {prefill: 1, decode: 1, prefillTimeFraction: 0.5},
	prefill: {prefill: 1.5, decode: 0.3, prefillTimeFraction: 0.9},
	decode: {prefill: 0.3, decode: 1.5, prefillTimeFraction: 0.2},
};

const rolesByPrefill: EngineRole[] = ['prefill', 'mixed', 'decode'];
const highestFraction = 2;
const bisections = 24;
/** Time to the first token that a request may take, in seconds. */
const firstTokenTargetSeconds = 0.46;
/** Least speed of decoding beside prefill, against a mixed engine, at which answers keep their pace. */
const leastDecodeSpeed = 0.2;
/** Part of decoding in a class under which it does not matter. */
const negligibleDecode = 0.02;
/** Load at which one engine alone stops keeping its targets; many engines together can be loaded higher. */
const spareOfOneEngine = 0.45;

/** Returns the fraction of the demand that can be served, up to twice of it. */
export function estimateServedFraction(counts: RoleCounts, demand: readonly ClassDemand[], speeds: RoleSpeeds = defaultRoleSpeeds): number {
	const total = demand.reduce((sum, one) => sum + one.prefill + one.decode, 0);
	if (total === 0) {
		return highestFraction;
	}

	const sorted = [...demand].sort((a, b) => computePrefillShare(b) - computePrefillShare(a));
	let low = 0;
	let high = highestFraction;
	for (let step = 0; step < bisections; step++) {
		const middle = (low + high) / 2;
		if (canServe(counts, sorted, {fraction: middle, speeds})) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low;
}

function computePrefillShare(demand: ClassDemand): number {
	return demand.prefill / Math.max(Number.EPSILON, demand.prefill + demand.decode);
}

/** A group of engines needs room for chance, and small groups need more of it: splitting a fleet has a price. */
function computeUsable(count: number): number {
	return count === 0 ? 0 : count * (1 - (spareOfOneEngine / Math.sqrt(count)));
}

/**
 * Tells whether requests of the class can keep their targets in this role at all. An engine runs a request from its
 * prompt to its end, so a role that starves one of the two is of use only to work that has little of it.
 */
function isFeasible(demand: ClassDemand, speed: RoleSpeed): boolean {
	const firstTokenSeconds = demand.requestPrefillSeconds / (speed.prefill * speed.prefillTimeFraction);
	const decodePart = 1 - computePrefillShare(demand);
	const keepsPace = speed.decode * (1 - speed.prefillTimeFraction) >= leastDecodeSpeed || decodePart < negligibleDecode;
	return firstTokenSeconds <= firstTokenTargetSeconds && keepsPace;
}

function canServe(counts: RoleCounts, sorted: readonly ClassDemand[], opts: {fraction: number; speeds: RoleSpeeds}): boolean {
	let roleIndex = 0;
	let left = computeUsable(counts[rolesByPrefill[0]!]);
	for (const one of sorted) {
		// Part of the class that is still to be placed.
		let part = opts.fraction;
		while (part > 1e-9) {
			if (left <= 1e-9) {
				roleIndex++;
				if (roleIndex >= rolesByPrefill.length) {
					return false;
				}

				left = computeUsable(counts[rolesByPrefill[roleIndex]!]);
				continue;
			}

			const speed = opts.speeds[rolesByPrefill[roleIndex]!];
			if (!isFeasible(one, speed)) {
				left = 0;
				continue;
			}

			const cost = (one.prefill / speed.prefill) + (one.decode / speed.decode);
			const placed = Math.min(part, left / Math.max(cost, Number.EPSILON));
			part -= placed;
			left -= placed * cost;
		}
	}

	return true;
}
