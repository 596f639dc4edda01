/** The event log: typed, numbered events written through pino, with the newest ones kept for operators to follow. */
import type {Logger} from 'pino';
import type {Clock} from '@hickorytrack/clock';
import {eventCatalogue, type EventName} from './event-catalogue.js';

/** Events kept in memory for the tool's `tail`. */
const keptEvents = 500;

export type EventFields = Record<string, unknown>;

export type LoggedEvent = {
	/** Rises by one with each event of the process. */
	sequence: number;
	/** Wall time in milliseconds. */
	at: number;
	number: number;
	name: EventName;
	level: string;
	text: string;
	fields: EventFields;
};

export type EventLogOptions = {
	clock: Clock;
	/** Where events are written; without it they are only kept. */
	logger?: Logger;
};

export class EventLog {
	readonly #opts: EventLogOptions;
	readonly #kept: LoggedEvent[] = [];
	#sequence = 0;

	constructor(opts: EventLogOptions) {
		this.#opts = opts;
	}

	emit(name: EventName, fields: EventFields = {}): void {
		const {number, level, text} = eventCatalogue[name];
		this.#opts.logger?.[level]({event: number, ...fields}, text);
		if (level === 'debug') {
			return;
		}

		this.#sequence++;
		this.#kept.push({
			sequence: this.#sequence, at: this.#opts.clock.now(), number, name, level, text, fields,
		});
		if (this.#kept.length > keptEvents) {
			this.#kept.shift();
		}
	}

	/** Returns the kept events behind a sequence number. */
	listSince(sequence: number): LoggedEvent[] {
		return this.#kept.filter(event => event.sequence > sequence);
	}
}
