/**
 * The limit that a server of the soak names in its answers: now and then for a while, at times with another rate midway. A
 * limited server still takes what it gets, so that the records show the excess.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {LimitRecord} from './records.js';

export type NamedLimitOptions = {
	clock: Clock;
	/** Its own, so that other faults of a seed do not depend on the limits. */
	random: Random;
	isEnabled: boolean;
	/** Called for each change, with the limit in requests per second, or without one when it has ended. */
	record: (change: Pick<LimitRecord, 'at' | 'perSecond'>) => void;
};

const meanCalmMs = 4000;
const minLimitMs = 3000;
const maxLimitMs = 12_000;
const changeFraction = 0.3;
const maxPerSecond = 20;
/** Some servers take hardly anything. */
const smallFraction = 0.3;
const maxSmallPerSecond = 2;
const rateDigits = 1;

export class NamedLimit {
	readonly #opts: NamedLimitOptions;
	#perSecond: number | undefined;
	#changeAt: number;

	constructor(opts: NamedLimitOptions) {
		this.#opts = opts;
		this.#changeAt = opts.clock.monotonic() + opts.random.nextExponential(meanCalmMs);
	}

	/** Headers of an answer that is sent now. */
	createHeaders(): Record<string, string> {
		if (!this.#opts.isEnabled) {
			return {};
		}

		this.#update();
		return this.#perSecond === undefined ? {} : {'server-limit': this.#perSecond.toFixed(rateDigits)};
	}

	#update(): void {
		const {clock, random, record} = this.#opts;
		const now = clock.monotonic();
		if (now < this.#changeAt) {
			return;
		}

		const isChange = this.#perSecond !== undefined && random.next() < changeFraction;
		if (this.#perSecond === undefined || isChange) {
			const highest = random.next() < smallFraction ? maxSmallPerSecond : maxPerSecond;
			this.#perSecond = Number(random.nextBetween(0, highest).toFixed(rateDigits));
			this.#changeAt = now + random.nextBetween(minLimitMs, maxLimitMs);
		} else {
			this.#perSecond = undefined;
			this.#changeAt = now + random.nextExponential(meanCalmMs);
		}

		record({at: clock.now(), perSecond: this.#perSecond});
	}
}
