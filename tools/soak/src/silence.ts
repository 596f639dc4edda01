/**
 * The silence of a server: while it lasts, the server reads and works, and everything it would send or close waits. Then
 * it follows in the same order.
 */
import type {Clock} from '@hickorytrack/clock';

export class Silence {
	readonly #clock: Clock;
	readonly #waiting: Array<() => void> = [];
	#isSilent = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Begins a silence; one that begins during another is part of it. */
	start(durationMs: number): void {
		if (this.#isSilent) {
			return;
		}

		this.#isSilent = true;
		this.#clock.startTimer(durationMs, () => {
			this.#isSilent = false;
			for (const action of this.#waiting.splice(0)) {
				action();
			}
		});
	}

	/** Runs an action on a connection at once, or after the silence. */
	run(action: () => void): void {
		if (this.#isSilent) {
			this.#waiting.push(action);
		} else {
			action();
		}
	}
}
