/**
 * Parses what is stored about bans. A record or a snapshot may come from another version, and every member has to read it
 * alike, from itself alone: a ban that can't be used is left out, and a command that can't be used changes nothing.
 */
import {Fields} from '@hickorytrack/fields';
import type {BanCommand, BanRecord} from './ban-store.js';

const notNegative = {min: 0, max: Number.MAX_SAFE_INTEGER};
const wholeNumber = {...notNegative, isInteger: true};

/** Throws a `FieldError` if the command can't be used. */
export function parseBanCommand(command: unknown): BanCommand {
	const fields = new Fields(command, {name: 'the command'});
	return {
		kind: 'crash-bans',
		at: fields.readNumber('at', notNegative),
		put: parseBanRecords(fields.readList('put')),
		removed: fields.readList('removed').filter(trait => typeof trait === 'string'),
	};
}

/** Lists the bans that can be used. */
export function parseBanRecords(records: unknown): BanRecord[] {
	return (Array.isArray(records) ? records as unknown[] : []).flatMap(record => {
		try {
			return [parseBanRecord(new Fields(record, {name: 'the ban'}))];
		} catch {
			return [];
		}
	});
}

function parseBanRecord(fields: Fields): BanRecord {
	return {
		trait: fields.readString('trait'),
		suspects: fields.readList('suspects').map(suspect => parsePair(suspect)),
		crashes: fields.readList('crashes').map(crash => parsePair(crash)),
		...(fields.has('triedAt') && {triedAt: fields.readNumber('triedAt', notNegative)}),
		failedTrials: fields.readNumber('failedTrials', wholeNumber),
	};
}

/** A trait with its position, or a crash with its time. */
function parsePair(value: unknown): [string, number] {
	const pair = Fields.openTuple(value);
	return [pair.readString('0'), pair.readNumber('1')];
}
