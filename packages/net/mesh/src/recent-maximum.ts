/** The highest of the values that were recorded in the last span of time. */
import type {Clock} from '@hickorytrack/clock';

export class RecentMaximum {
	readonly #clock: Clock;
	readonly #spanMs: number;
	/** Values that no later one has reached, in the order in which they were recorded. */
	#records: Array<{value: number; recordedAt: number}> = [];

	constructor(clock: Clock, spanMs: number) {
		this.#clock = clock;
		this.#spanMs = spanMs;
	}

	/** Returns 0 before the first record. */
	get value(): number {
		const start = this.#clock.monotonic() - this.#spanMs;
		while (this.#records.length > 0 && this.#records[0]!.recordedAt < start) {
			this.#records.shift();
		}

		return this.#records[0]?.value ?? 0;
	}

	record(value: number): void {
		this.#records = [...this.#records.filter(record => record.value > value), {value, recordedAt: this.#clock.monotonic()}];
	}
}
