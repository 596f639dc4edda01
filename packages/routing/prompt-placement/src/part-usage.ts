/**
 * Tracks how often shared prompt parts are used and selects the hot ones: the most used parts that fit into the caches
 * together. When many more parts are in use than all caches hold and each is requested every few seconds, LRU eviction
 * removes each part just before its next use. So placement keeps the other parts from evicting the hot ones.
 */
import type {Clock} from '@hickorytrack/clock';
import type {PromptPart} from './prompt.js';

type Usage = {
	tokens: number;
	/** Number of uses with exponential decay, as of the last use. */
	weight: number;
	recordedAt: number;
	/** Logarithm of the weight, projected to time 0; comparable between parts, because all weights decay at the same rate. */
	rank: number;
};

/** Time in which a weight falls to about a third; about the reuse interval of a part in the middle of the ranking. */
const decayMs = 12_000;
/** Selection sorts all parts: some milliseconds on a small machine. The ranking changes little within a fraction of the decay. */
const selectionIntervalMs = decayMs / 4;
const maxTrackedParts = 20_000;

export class PartUsage {
	readonly #clock: Clock;
	readonly #usage = new Map<string, Usage>();
	#hotParts = new Set<string>();
	#selectedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record(parts: readonly PromptPart[]): void {
		const now = this.#clock.monotonic();
		for (const {id, tokens} of parts) {
			const usage = this.#usage.get(id);
			const weight = 1 + (usage ? usage.weight * Math.exp((usage.recordedAt - now) / decayMs) : 0);
			this.#usage.delete(id);
			this.#usage.set(id, {
				tokens, weight, recordedAt: now, rank: Math.log(weight) + (now / decayMs),
			});
		}

		while (this.#usage.size > maxTrackedParts) {
			this.#usage.delete(this.#usage.keys().next().value!);
		}
	}

	/** Returns whether a part is among the most used ones that fit into the budget together. */
	isHot(part: PromptPart, budgetTokens: number): boolean {
		if (this.#clock.monotonic() - this.#selectedAt > selectionIntervalMs) {
			this.#selectedAt = this.#clock.monotonic();
			this.#selectHotParts(budgetTokens);
		}

		return this.#hotParts.has(part.id);
	}

	#selectHotParts(budgetTokens: number): void {
		const ranked = [...this.#usage].sort(([, a], [, b]) => b.rank - a.rank);
		// A part that does not fit is skipped, so that smaller ones can use the remaining budget.
		const selected = new Set<string>();
		let remainingTokens = budgetTokens;
		for (const [id, {tokens}] of ranked) {
			if (tokens <= remainingTokens) {
				selected.add(id);
				remainingTokens -= tokens;
			}
		}

		this.#hotParts = selected;
	}
}
