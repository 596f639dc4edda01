/**
 * Which shared parts of prompts are worth a place in the caches. Pattern: many more parts are in use than all caches hold,
 * each is asked for every few seconds, and plain least-recently-used replacement evicts each of them just before its next
 * use. So the most used parts that fit together get a lasting place, and the others pass through without displacing them.
 */
import type {Clock} from '@hickorytrack/clock';
import type {PromptPart} from './prompt.js';

type Usage = {
	tokens: number;
	/** Uses that fade with time, as they were at the last use. */
	weight: number;
	notedAt: number;
	/** Logarithm of the weight as it would be at time 0; it ranks parts and does not change while they fade alike. */
	rank: number;
};

/** Uses fade to a third in this time, about the reuse interval of a part in the middle of the ranking. */
const fadeMs = 12_000;
/** Choosing sorts all parts, some milliseconds' work on a small machine; the ranking hardly moves in a second. */
const chooseIntervalMs = 1000;
const maxTracked = 20_000;

export class PartUsage {
	readonly #clock: Clock;
	readonly #usage = new Map<string, Usage>();
	#lasting = new Set<string>();
	#chosenAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record(parts: readonly PromptPart[]): void {
		const now = this.#clock.monotonic();
		for (const {id, tokens} of parts) {
			const usage = this.#usage.get(id);
			const weight = 1 + (usage ? usage.weight * Math.exp((usage.notedAt - now) / fadeMs) : 0);
			this.#usage.delete(id);
			this.#usage.set(id, {
				tokens, weight, notedAt: now, rank: Math.log(weight) + (now / fadeMs),
			});
		}

		while (this.#usage.size > maxTracked) {
			this.#usage.delete(this.#usage.keys().next().value!);
		}
	}

	/** Tells whether a part belongs to the most used ones that fit into so many tokens together. */
	isHot(part: PromptPart, budgetTokens: number): boolean {
		if (this.#clock.monotonic() - this.#chosenAt > chooseIntervalMs) {
			this.#chosenAt = this.#clock.monotonic();
			this.#choose(budgetTokens);
		}

		return this.#lasting.has(part.id);
	}

	#choose(budgetTokens: number): void {
		const ranked = [...this.#usage].sort(([, a], [, b]) => b.rank - a.rank);
		// A part that has its place keeps it against newcomers that are only a little more in use.
		const chosen = new Set<string>();
		let rest = budgetTokens;
		for (const [id, {tokens}] of ranked) {
			if (tokens <= rest) {
				chosen.add(id);
				rest -= tokens;
			}
		}

		this.#lasting = chosen;
	}
}
