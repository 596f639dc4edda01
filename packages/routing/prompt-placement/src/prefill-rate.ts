/** The speed at which a reading server reads prompts, learned from the ones that found it idle. */

/** Assumed before the first observation, in tokens a millisecond. */
const initialTokensPerMs = 200;
const weightOfNew = 0.05;
/** Observations outside of these bounds come from a disturbance rather than from the server. */
const slowestTokensPerMs = 5;
const fastestTokensPerMs = 5000;

export class PrefillRate {
	#tokensPerMs = initialTokensPerMs;

	get tokensPerMs(): number {
		return this.#tokensPerMs;
	}

	/** Notes that a server without a queue read so many tokens in this time. */
	record(tokens: number, elapsedMs: number): void {
		const rate = tokens / Math.max(1, elapsedMs);
		if (rate > slowestTokensPerMs && rate < fastestTokensPerMs) {
			this.#tokensPerMs += (rate - this.#tokensPerMs) * weightOfNew;
		}
	}
}
