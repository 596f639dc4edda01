/**
 * Log of events about requests, one line each. The volume is limited: refusals and failures up to a rate, answered
 * requests by sampling. Lines dropped by the rate limit are counted, and the next line carries the count.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventFields, EventLog} from '@hickorytrack/events';
import type {EventName} from '@hickorytrack/events/event-catalogue';

/** A higher rate would cost a small instance more than a hundredth of a core. */
const maxLinesPerSecond = 40;
const burstLines = 80;
/** One in this many answered requests is logged. */
const answeredSampleInterval = 20;
const msPerSecond = 1000;

export class RateLimitedEventLog {
	readonly #clock: Clock;
	readonly #events: EventLog;
	#tokens = burstLines;
	#refilledAt = 0;
	#droppedSinceLast = 0;
	#answeredCount = 0;

	constructor(clock: Clock, events: EventLog) {
		this.#clock = clock;
		this.#events = events;
	}

	/** Number of lines dropped since the start. */
	get droppedTotal(): number {
		return this.#droppedTotal;
	}

	#droppedTotal = 0;

	emit(name: EventName, fields: EventFields): void {
		this.#refill();
		if (this.#tokens < 1) {
			this.#droppedSinceLast++;
			this.#droppedTotal++;
			return;
		}

		this.#tokens--;
		this.#events.emit(name, this.#droppedSinceLast > 0 ? {...fields, linesDropped: this.#droppedSinceLast} : fields);
		this.#droppedSinceLast = 0;
	}

	emitAnswered(fields: EventFields): void {
		this.#answeredCount++;
		if (this.#answeredCount % answeredSampleInterval === 0) {
			this.emit('forwardAnswered', fields);
		}
	}

	#refill(): void {
		const now = this.#clock.monotonic();
		this.#tokens = Math.min(burstLines, this.#tokens + ((now - this.#refilledAt) / msPerSecond * maxLinesPerSecond));
		this.#refilledAt = now;
	}
}
