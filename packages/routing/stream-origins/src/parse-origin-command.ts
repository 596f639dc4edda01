/**
 * Parses what is stored about streams. A record or a snapshot may come from another version, and every member has to read it
 * alike, from itself alone: an element that can't be used is left out, and a command that can't be used changes nothing.
 */
import {FieldError, Fields} from '@hickorytrack/fields';
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
			const service = openTuple(value);
			return [readText(service, '0'), readTexts(service, '1')];
		}),
		streams: listParsed(fields.readList('streams'), value => {
			const stream = openTuple(value);
			return [readText(stream, '0'), parseRecord(stream.readFields('1'))];
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

function openTuple(value: unknown): Fields {
	if (!Array.isArray(value)) {
		throw new FieldError('an element is not an array');
	}

	return new Fields({...value as unknown[]}, {name: 'an element'});
}

function parseText(value: unknown): string {
	if (typeof value !== 'string') {
		throw new FieldError('an element is not a string');
	}

	return value;
}

/** A server that reports no version has an empty one. */
function readText(fields: Fields, name: string): string {
	return parseText(fields.get(name));
}

function readTexts(fields: Fields, name: string): string[] {
	return fields.readList(name).map(value => parseText(value));
}

function parseVersion(value: unknown): [service: string, version: string] {
	const version = openTuple(value);
	return [readText(version, '0'), readText(version, '1')];
}

function parseSend(value: unknown): StreamSend {
	const send = openTuple(value);
	return [readText(send, '0'), send.readNumber('1', wholeNumber), send.readNumber('2', notNegative)];
}

function parseStream(value: unknown): StreamOriginWrite['streams'][number] {
	const stream = openTuple(value);
	const sends = stream.has('5') ? stream.readList('5').map(send => parseSend(send)) : [];
	return [readText(stream, '0'), readText(stream, '1'), readTexts(stream, '2'), readTexts(stream, '3'), stream.readNumber('4', notNegative), sends];
}

function parseRecord(fields: Fields): StreamRecord {
	return {
		service: readText(fields, 'service'),
		versions: readTexts(fields, 'versions'),
		sends: fields.has('sends') ? fields.readList('sends').map(send => parseSend(send)) : [],
		expiresAt: fields.readNumber('expiresAt', {min: 0}),
	};
}
