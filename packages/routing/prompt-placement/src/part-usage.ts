/**
 * Which shared parts of prompts are worth a place in the caches. Pattern: many more parts are in use than all caches hold,
 * each is asked for every few seconds, and plain least-recently-used replacement evicts each of them just before its next
 * use. So the most used parts that fit together get a lasting place, and the others pass through without displacing them.
 */
import type {Clock} from '@hickorytrack/clock';
import type {PromptPart} from './prompt.js';

type Usage = {
	tokens: number;
	/** Uses that fade with time. */
	weight: number;
	notedAt: number;
};

/** Uses fade to a third in this time, about the reuse interval of a part in the middle of the ranking. */
const fadeMs = 12_000;
const chooseIntervalMs = 400;
const maxTracked = 20_000;

export class PartUsage {
	readonly #clock: Clock;
	readonly #usage = new Map<string, Usage>();
	#lasting = new Set<string>();
	#chosenAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	note(parts: readonly PromptPart[]): void {
		const now = this.#clock.monotonic();
		for (const {id, tokens} of parts) {
			const usage = this.#usage.get(id);
			const weight = usage ? usage.weight * Math.exp((usage.notedAt - now) / fadeMs) : 0;
			this.#usage.delete(id);
			this.#usage.set(id, {tokens, weight: weight + 1, notedAt: now});
		}

		while (this.#usage.size > maxTracked) {
			this.#usage.delete(this.#usage.keys().next().value!);
		}
	}

	/** Tells whether a part belongs to the most used ones that fit into so many tokens together. */
	isLasting(part: PromptPart, budgetTokens: number): boolean {
		if (this.#clock.monotonic() - this.#chosenAt > chooseIntervalMs) {
			this.#chosenAt = this.#clock.monotonic();
			this.#choose(budgetTokens);
		}

		return this.#lasting.has(part.id);
	}

	#choose(budgetTokens: number): void {
		const now = this.#clock.monotonic();
		const ranked = [...this.#usage]
			.map(([id, {tokens, weight, notedAt}]) => ({id, tokens, value: weight * Math.exp((notedAt - now) / fadeMs)}))
			.sort((a, b) => b.value - a.value);
		// A part that has its place keeps it against newcomers that are only a little more in use.
		const chosen = new Set<string>();
		let rest = budgetTokens;
		for (const {id, tokens} of ranked) {
			if (tokens <= rest) {
				chosen.add(id);
				rest -= tokens;
			}
		}

		this.#lasting = chosen;
	}
}
