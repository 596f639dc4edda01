/** A seeded random number generator. It is passed to all code that needs randomness, so that a run is reproducible. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const unsignedRange = 2 ** 32;

export class Random {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number in [0, 1). */
	next(): number {
		const value = this.#generator.next();
		return (value < 0 ? value + unsignedRange : value) / unsignedRange;
	}

	/** Returns an integer in [0, bound). */
	nextInteger(bound: number): number {
		return Math.floor(this.next() * bound);
	}

	/** Returns a number in [low, high). */
	nextBetween(low: number, high: number): number {
		return low + ((high - low) * this.next());
	}

	/** Returns a random element of a non-empty list. */
	select<T>(list: readonly T[]): T {
		return list[this.nextInteger(list.length)]!;
	}

	/** Returns a sample of the exponential distribution with the given mean. */
	nextExponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}
}

export type BackoffOptions = {
	baseMs: number;
	capMs: number;
	random: Random;
};

/** Returns the delay in milliseconds before attempt number `attempt` (from 0): exponential back-off with jitter. */
export function computeBackoff(attempt: number, opts: BackoffOptions): number {
	const ceiling = Math.min(opts.capMs, opts.baseMs * (2 ** Math.min(attempt, 16)));
	return opts.random.nextBetween(opts.baseMs / 2, Math.max(opts.baseMs, ceiling));
}
