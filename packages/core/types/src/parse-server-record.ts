/** Parses a server's report, whoever tells it: the server itself, or another instance that passes it on. */
import {Fields, maxDurationMs} from '@hickorytrack/fields';
import {parseSocketAddress} from '@hickorytrack/socket-address';
import type {ServerRecord} from './peer-methods.js';

/** Maximum length of an id or a name. A report is kept and shared for as long as its server is known. */
const maxNameLength = 1024;
/** Printable ASCII without a space at either end, since calls carry the id in a header. */
const idPattern = /^[\u0021-\u007E]([\u0020-\u007E]*[\u0021-\u007E])?$/;
const states = ['ready', 'draining', 'leaving', 'left'] as const;
const stages = ['prefill', 'decode'] as const;

/** Throws a `FieldError` that names what can't be used. */
export function parseServerRecord(value: unknown): ServerRecord {
	const fields = new Fields(value, {name: 'the report'});
	const id = fields.readString('id', {maxLength: maxNameLength});
	const address = parseSocketAddress(fields.get('address'));
	const state = fields.readOneOf('state', states);
	if (!idPattern.test(id)) {
		throw new TypeError('the id of the report has characters that no header can hold');
	}

	if (address === undefined) {
		throw new TypeError('"address" of the report is not an address to which a connection can be opened');
	}

	return {
		id,
		startedAt: fields.readNumber('startedAt', {min: 0, max: Number.MAX_SAFE_INTEGER, isInteger: true}),
		sequence: fields.readNumber('sequence', {min: Number.MIN_SAFE_INTEGER, max: Number.MAX_SAFE_INTEGER, isInteger: true}),
		service: fields.readString('service', {maxLength: maxNameLength}),
		address,
		availabilityZone: fields.readText('availabilityZone', {maxLength: maxNameLength}),
		// The end of a server's use must not be lost for a number that nothing uses then.
		slots: state === 'ready' ? fields.readNumber('slots', {min: 1, max: Number.MAX_SAFE_INTEGER}) : Math.min(Number.MAX_SAFE_INTEGER, Math.max(1, fields.readNumber('slots'))),
		state,
		coldMs: Math.min(maxDurationMs, Math.max(0, fields.readNumber('coldMs'))),
		stage: fields.has('stage') ? fields.readOneOf('stage', stages) : undefined,
		version: fields.has('version') ? fields.readText('version', {maxLength: maxNameLength}) : undefined,
	};
}
