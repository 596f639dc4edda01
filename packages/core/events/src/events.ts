/** The event log: writes typed, numbered events through pino and keeps the most recent ones in memory for operators. */
import process from 'node:process';
import type {Logger} from 'pino';
import type {Clock} from '@hickorytrack/clock';
import {eventCatalogue, type EventName} from './event-catalogue.js';

/** Events kept in memory for the command `tail` of the operators' tool. */
const maximumRecentEvents = 500;

export type EventFields = Record<string, unknown>;

export type LoggedEvent = {
	/** Incremented by one for each event of the process. */
	sequence: number;
	/** Wall time in milliseconds since the epoch. */
	at: number;
	number: number;
	name: EventName;
	level: string;
	text: string;
	fields: EventFields;
};

export type EventLogOptions = {
	clock: Clock;
	/** Destination of the events; without it they are only kept in memory. */
	logger?: Logger;
};

export class EventLog {
	readonly #opts: EventLogOptions;
	readonly #recentEvents: LoggedEvent[] = [];
	#sequence = 0;

	constructor(opts: EventLogOptions) {
		this.#opts = opts;
	}

	emit(name: EventName, fields: EventFields = {}): void {
		const {number, level, text} = eventCatalogue[name];
		try {
			this.#opts.logger?.[level]({event: number, ...fields}, text);
		} catch (error) {
			// Those who emit an event go on without its line; many are handlers of errors themselves.
			process.emitWarning(`Event ${number} could not be written: ${error instanceof Error ? error.message : String(error)}`);
		}

		if (level === 'debug') {
			return;
		}

		this.#sequence++;
		this.#recentEvents.push({
			sequence: this.#sequence, at: this.#opts.clock.now(), number, name, level, text, fields,
		});
		if (this.#recentEvents.length > maximumRecentEvents) {
			this.#recentEvents.shift();
		}
	}

	/** Returns the events in memory whose sequence number is above the given one. */
	listSince(sequence: number): LoggedEvent[] {
		return this.#recentEvents.filter(event => event.sequence > sequence);
	}
}
