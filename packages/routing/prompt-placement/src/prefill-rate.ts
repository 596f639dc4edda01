/** Estimates the prefill speed of a prefill server from the prompts that reached it while it was idle. */

/** Assumed before the first observation. */
const initialTokensPerMs = 200;
/** Weight of a new observation in the moving average. */
const observationWeight = 0.05;
/** Observations outside these bounds are discarded as measurement errors. */
const minTokensPerMs = 5;
const maxTokensPerMs = 5000;

export class PrefillRate {
	#tokensPerMs = initialTokensPerMs;

	get tokensPerMs(): number {
		return this.#tokensPerMs;
	}

	/** Records that a server without a queue prefilled this many tokens in the given time. */
	record(tokens: number, elapsedMs: number): void {
		const tokensPerMs = tokens / Math.max(1, elapsedMs);
		if (tokensPerMs > minTokensPerMs && tokensPerMs < maxTokensPerMs) {
			this.#tokensPerMs += (tokensPerMs - this.#tokensPerMs) * observationWeight;
		}
	}
}
