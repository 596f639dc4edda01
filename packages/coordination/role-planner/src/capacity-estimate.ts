/**
 * How much of a demand a set of engines in given roles can serve. Classes of work with the largest share of prefill go to
 * prefill engines first and those with the largest share of decode to decode engines, because a role speeds one of the
 * two up and slows the other down; this order is best for feasibility, since the advantage of a role is monotone in the
 * ratio of the two.
 */
import type {EngineRole} from '@hickorytrack/types/endpoint';
import type {ClassDemand} from './demand-model.js';

export type RoleCounts = Record<EngineRole, number>;

/** Speed of each role against a mixed engine. */
export type RoleSpeeds = Record<EngineRole, {prefill: number; decode: number}>;

export const defaultRoleSpeeds: RoleSpeeds = {
	mixed: {prefill: 1, decode: 1},
	prefill: {prefill: 1.35, decode: 0.35},
	decode: {prefill: 0.35, decode: 1.35},
};

const rolesByPrefill: EngineRole[] = ['prefill', 'mixed', 'decode'];
const highestFraction = 2;
const bisections = 24;

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

function canServe(counts: RoleCounts, sorted: readonly ClassDemand[], opts: {fraction: number; speeds: RoleSpeeds}): boolean {
	let roleIndex = 0;
	let left = counts[rolesByPrefill[0]!];
	for (const one of sorted) {
		// Part of the class that is still to be placed.
		let part = opts.fraction;
		while (part > 1e-9) {
			if (left <= 1e-9) {
				roleIndex++;
				if (roleIndex >= rolesByPrefill.length) {
					return false;
				}

				left = counts[rolesByPrefill[roleIndex]!];
				continue;
			}

			const speed = opts.speeds[rolesByPrefill[roleIndex]!];
			const cost = (one.prefill / speed.prefill) + (one.decode / speed.decode);
			const placed = Math.min(part, left / Math.max(cost, Number.EPSILON));
			part -= placed;
			left -= placed * cost;
		}
	}

	return true;
}
