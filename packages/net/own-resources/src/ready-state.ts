/** Damps the changes of one instance between inside and outside the ready set. It enters at once and leaves late. */
import type {Clock} from '@hickorytrack/clock';

/** An instance that was outside for this long leaves, so it leaves at most once in this time. */
const leaveAfterMs = 5000;

export class ReadyState {
	readonly #clock: Clock;
	#outsideSince: number | undefined;
	#isReady = true;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get isReady(): boolean {
		return this.#isReady;
	}

	/** Returns whether the instance is ready. */
	update(isInside: boolean): boolean {
		const now = this.#clock.monotonic();
		if (isInside) {
			this.#outsideSince = undefined;
			this.#isReady = true;
		} else {
			this.#outsideSince ??= now;
			this.#isReady &&= now - this.#outsideSince < leaveAfterMs;
		}

		return this.#isReady;
	}
}
