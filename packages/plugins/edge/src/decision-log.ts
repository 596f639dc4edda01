/**
 * One line for each decision that touches a request. The volume is bounded: refusals and failures up to a rate, answered
 * requests as a sample; what was left out is counted and reported with the next line.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventFields, EventLog} from '@hickorytrack/events';
import type {EventName} from '@hickorytrack/events/event-catalogue';

/** Lines a second for decisions; more would cost a small instance over a hundredth of a core. */
const linesPerSecond = 40;
const burstLines = 80;
/** One answered request of so many is logged. */
const answeredSample = 20;
const msPerSecond = 1000;

export class DecisionLog {
	readonly #clock: Clock;
	readonly #events: EventLog;
	#allowance = burstLines;
	#refilledAt = 0;
	#dropped = 0;
	#answered = 0;

	constructor(clock: Clock, events: EventLog) {
		this.#clock = clock;
		this.#events = events;
	}

	/** Lines that were left out since the start. */
	get droppedTotal(): number {
		return this.#droppedTotal;
	}

	#droppedTotal = 0;

	note(name: EventName, fields: EventFields): void {
		this.#refill();
		if (this.#allowance < 1) {
			this.#dropped++;
			this.#droppedTotal++;
			return;
		}

		this.#allowance--;
		this.#events.emit(name, this.#dropped > 0 ? {...fields, linesDropped: this.#dropped} : fields);
		this.#dropped = 0;
	}

	noteAnswered(fields: EventFields): void {
		this.#answered++;
		if (this.#answered % answeredSample === 0) {
			this.note('forwardAnswered', fields);
		}
	}

	#refill(): void {
		const now = this.#clock.monotonic();
		this.#allowance = Math.min(burstLines, this.#allowance + ((now - this.#refilledAt) / msPerSecond * linesPerSecond));
		this.#refilledAt = now;
	}
}
