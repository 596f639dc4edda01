/**
 * Time that has passed by whichever clock shows more. The monotonic clock stops while the machine is suspended, and the wall
 * clock may be set; a wall clock that is set back shortens nothing that has been counted.
 */
import type {Clock} from '@hickorytrack/clock';

/** The clocks are compared over at least this time, since the wall clock has whole milliseconds and each comparison may round up by one. */
const minStepMs = 250;
/** A wall clock that falls behind by more than this was set back. */
const setBackMs = 20;

export class ElapsedTime {
	readonly #clock: Clock;
	#passedMs = 0;
	#monotonicAt: number;
	#wallAt: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#monotonicAt = clock.monotonic();
		this.#wallAt = clock.now();
	}

	/** Returns the time since the creation, in milliseconds. It never goes back. */
	read(): number {
		const monotonic = this.#clock.monotonic();
		const wall = this.#clock.now();
		const monotonicMs = monotonic - this.#monotonicAt;
		const wallMs = wall - this.#wallAt;
		const passedMs = this.#passedMs + Math.max(monotonicMs, wallMs);
		// From here on, time that the wall clock was set back by can't hide a suspension.
		if (monotonicMs >= minStepMs || wallMs < monotonicMs - setBackMs || wallMs > monotonicMs + setBackMs) {
			this.#passedMs = passedMs;
			this.#monotonicAt = monotonic;
			this.#wallAt = wall;
		}

		return passedMs;
	}
}
