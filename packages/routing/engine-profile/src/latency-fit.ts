/**
 * Online fit of a straight line: latency = fixed part + slope x tokens. Older samples lose weight exponentially. Waits that
 * nobody knew of only lengthen a latency, so a sample above the line weighs less than one below it. An outlier counts only
 * up to a bound around the prediction, so that a frozen server does not distort the fit, while a lasting change of speed is
 * followed within some samples.
 */

/** Factor by which the weight of all earlier samples shrinks with each new one; about 200 samples count. */
const retention = 0.995;
/** Samples before outliers are bounded; with fewer, the prediction itself is too uncertain. */
const minSamplesForBounds = 8;
/** A latency beyond the prediction multiplied or divided by this factor counts as an outlier. */
const outlierFactor = 3;
/** Weight of a sample above the prediction, relative to one below it. */
const slowSampleWeight = 0.4;
/** With a smaller relative spread of token counts, the slope can't be told from the fixed part. */
const minRelativeSpread = 0.1;

export class LatencyFit {
	#samples = 0;
	#weight = 0;
	#sumTokens = 0;
	#sumMs = 0;
	#sumTokensSquared = 0;
	#sumProducts = 0;
	#fixedMs = 0;
	#msPerToken = 0;

	/** True once there is a sample. */
	get isKnown(): boolean {
		return this.#samples > 0;
	}

	get samples(): number {
		return this.#samples;
	}

	get fixedMs(): number {
		return this.#fixedMs;
	}

	get msPerToken(): number {
		return this.#msPerToken;
	}

	/** Records a sample; `weight` is its weight relative to a reliable one. */
	record(tokens: number, elapsedMs: number, weight = 1): void {
		const boundedMs = this.#boundOutlier(tokens, elapsedMs);
		const isSlow = this.#samples > 0 && boundedMs > this.estimateMs(tokens);
		const sampleWeight = weight * (isSlow ? slowSampleWeight : 1);
		const kept = retention ** sampleWeight;
		this.#samples++;
		this.#weight = (this.#weight * kept) + sampleWeight;
		this.#sumTokens = (this.#sumTokens * kept) + (tokens * sampleWeight);
		this.#sumMs = (this.#sumMs * kept) + (boundedMs * sampleWeight);
		this.#sumTokensSquared = (this.#sumTokensSquared * kept) + (tokens * tokens * sampleWeight);
		this.#sumProducts = (this.#sumProducts * kept) + (tokens * boundedMs * sampleWeight);
		this.#update();
	}

	estimateMs(tokens: number): number {
		return this.#fixedMs + (this.#msPerToken * tokens);
	}

	#boundOutlier(tokens: number, elapsedMs: number): number {
		if (this.#samples < minSamplesForBounds) {
			return elapsedMs;
		}

		const predictedMs = this.estimateMs(tokens);
		return Math.min(predictedMs * outlierFactor, Math.max(predictedMs / outlierFactor, elapsedMs));
	}

	#update(): void {
		const meanTokens = this.#sumTokens / this.#weight;
		const meanMs = this.#sumMs / this.#weight;
		const variance = (this.#sumTokensSquared / this.#weight) - (meanTokens ** 2);
		const slope = ((this.#sumProducts / this.#weight) - (meanTokens * meanMs)) / variance;
		const fixedMs = meanMs - (slope * meanTokens);
		if (variance >= (minRelativeSpread * meanTokens) ** 2 && slope > 0 && fixedMs >= 0) {
			this.#fixedMs = fixedMs;
			this.#msPerToken = slope;
		} else {
			// A line through the origin.
			this.#fixedMs = 0;
			this.#msPerToken = this.#sumProducts / this.#sumTokensSquared;
		}
	}
}
