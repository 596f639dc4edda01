/**
 * Parses what is stored about streams. A record or a snapshot may come from another version, and every member has to read it
 * alike, from itself alone: an element that can't be used is left out, and a command that can't be used changes nothing.
 */
import {Fields} from '@hickorytrack/fields';
import type {StreamOriginWrite, StreamSend} from '@hickorytrack/types/peer-methods';
import type {OriginCommand, OriginSnapshot, StreamRecord} from './origin-store.js';

const notNegative = {min: 0, max: Number.MAX_SAFE_INTEGER};
const wholeNumber = {...notNegative, isInteger: true};

/** Throws a `FieldError` if the command can't be used. */
export function parseOriginCommand(command: unknown): OriginCommand {
	const fields = new Fields(command, {name: 'the command'});
	return {
		kind: 'stream-origins',
		at: fields.readNumber('at', notNegative),
		admitted: listParsed(fields.readList('admitted'), parseVersion),
		retired: listParsed(fields.readList('retired'), parseVersion),
		streams: listParsed(fields.readList('streams'), parseStream),
	};
}

/** Throws a `FieldError` if the snapshot can't be used. */
export function parseOriginSnapshot(state: unknown): OriginSnapshot {
	const fields = new Fields(state, {name: 'the snapshot'});
	return {
		versions: listParsed(fields.readList('versions'), value => {
			const service = Fields.openTuple(value);
			return [service.readText('0'), service.readTexts('1')];
		}),
		streams: listParsed(fields.readList('streams'), value => {
			const stream = Fields.openTuple(value);
			return [stream.readText('0'), parseRecord(stream.readFields('1'))];
		}),
	};
}

function listParsed<T>(values: readonly unknown[], parse: (value: unknown) => T): T[] {
	return values.flatMap(value => {
		try {
			return [parse(value)];
		} catch {
			return [];
		}
	});
}

function parseVersion(value: unknown): [service: string, version: string] {
	const version = Fields.openTuple(value);
	return [version.readText('0'), version.readText('1')];
}

function parseSend(value: unknown): StreamSend {
	const send = Fields.openTuple(value);
	return [send.readText('0'), send.readNumber('1', wholeNumber), send.readNumber('2', notNegative)];
}

function parseStream(value: unknown): StreamOriginWrite['streams'][number] {
	const stream = Fields.openTuple(value);
	const sends = stream.has('5') ? stream.readList('5').map(send => parseSend(send)) : [];
	return [stream.readText('0'), stream.readText('1'), stream.readTexts('2'), stream.readTexts('3'), stream.readNumber('4', notNegative), sends];
}

function parseRecord(fields: Fields): StreamRecord {
	return {
		service: fields.readText('service'),
		versions: fields.readTexts('versions'),
		sends: fields.has('sends') ? fields.readList('sends').map(send => parseSend(send)) : [],
		expiresAt: fields.readNumber('expiresAt', {min: 0}),
	};
}
