/**
 * The door of messages between the members of a replicated log. A message or a reply that can't be used is an error for its
 * sender as a whole: a log with a record left out would not be the leader's.
 */
import {FieldError, Fields} from '@hickorytrack/fields';
import {recordKinds, type LogRecord, type SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberMessage, MemberReply, SnapshotPart} from './member-messages.js';
import {voterChanges, type MemberInfo} from './member-set.js';

const messageKinds = ['pre-vote', 'vote', 'heartbeat', 'append', 'snapshot', 'snapshot-part'] as const;
const replyKinds = ['heartbeat', 'vote', 'append'] as const;
const notNegative = {min: 0, max: Number.MAX_SAFE_INTEGER};
const wholeNumber = {...notNegative, isInteger: true};
const maxTerm = 2 ** 52;

/** Throws a `FieldError` that names what can't be used. */
export function parseMemberMessage(value: unknown): MemberMessage {
	const fields = new Fields(value, {name: 'the message'});
	const kind = fields.readOneOf('kind', messageKinds);
	const sender = {from: fields.readString('from'), term: readTerm(fields)};
	switch (kind) {
		case 'pre-vote':
		case 'vote': {
			return {
				kind, ...sender, folder: fields.readString('folder'), lastIndex: readCount(fields, 'lastIndex'), lastTerm: readCount(fields, 'lastTerm'),
			};
		}

		case 'heartbeat': {
			return {kind, ...sender, quorumAgeMs: fields.readNumber('quorumAgeMs', notNegative)};
		}

		case 'append': {
			const previousIndex = readCount(fields, 'previousIndex');
			return {
				kind,
				...sender,
				previousIndex,
				previousTerm: readCount(fields, 'previousTerm'),
				records: fields.readFieldsList('records').map((record, position) => parseRecord(record, previousIndex + position + 1)),
				commitIndex: readCount(fields, 'commitIndex'),
				quorumAgeMs: fields.readNumber('quorumAgeMs', notNegative),
			};
		}

		case 'snapshot': {
			return {kind, ...sender, snapshot: readSnapshot(fields.readFields('snapshot'))};
		}

		case 'snapshot-part': {
			return {kind, ...sender, part: readPart(fields.readFields('part'))};
		}
	}
}

/** Throws a `FieldError` that names what can't be used. */
export function parseMemberReply(value: unknown): MemberReply {
	const fields = new Fields(value, {name: 'the reply'});
	const kind = fields.readOneOf('kind', replyKinds);
	const sender = {folder: fields.readString('folder'), term: readTerm(fields)};
	switch (kind) {
		case 'heartbeat': {
			return {
				kind, ...sender, accepted: fields.get('accepted') === true, ...readTakesParts(fields),
			};
		}

		case 'vote': {
			return {kind, ...sender, granted: fields.get('granted') === true};
		}

		case 'append': {
			return {
				kind, ...sender, accepted: fields.get('accepted') === true, lastIndex: readCount(fields, 'lastIndex'), durableIndex: readCount(fields, 'durableIndex'), diskFault: fields.get('diskFault') === true,
				...readTakesParts(fields),
				...(fields.has('heldBytes') && {heldBytes: readCount(fields, 'heldBytes')}),
			};
		}
	}
}

/** A member that takes a term over stores it, so that there must be higher ones left. */
function readTerm(fields: Fields): number {
	return fields.readNumber('term', {...wholeNumber, max: maxTerm});
}

/** Members of earlier versions don't say it. */
function readTakesParts(fields: Fields): {takesParts?: true} {
	return fields.get('takesParts') === true ? {takesParts: true} : {};
}

function readCount(fields: Fields, name: string): number {
	return fields.readNumber(name, wholeNumber);
}

function parseRecord(fields: Fields, expectedIndex: number): LogRecord {
	const kind = fields.readOneOf('kind', Object.values(recordKinds));
	const index = readCount(fields, 'index');
	if (index !== expectedIndex) {
		throw new FieldError(`"index" of a record is ${index} instead of ${expectedIndex}`);
	}

	return {
		index, term: readCount(fields, 'term'), kind, payload: kind === recordKinds.members ? parseMembers(fields.get('payload')) : fields.get('payload') ?? null,
	};
}

/** Throws a `FieldError` that names what can't be used. */
export function parseSnapshot(value: unknown): SnapshotRecord {
	return readSnapshot(new Fields(value, {name: 'the snapshot'}));
}

function readPart(fields: Fields): SnapshotPart {
	return {
		index: readCount(fields, 'index'), digest: fields.readString('digest'), totalBytes: readCount(fields, 'totalBytes'), offset: readCount(fields, 'offset'), bytes: fields.readString('bytes'),
	};
}

function readSnapshot(fields: Fields): SnapshotRecord {
	return {
		index: readCount(fields, 'index'), term: readCount(fields, 'term'), members: parseMembers(fields.get('members')), state: fields.get('state') ?? null,
	};
}

function parseMembers(value: unknown): MemberInfo[] {
	return new Fields({members: value}, {name: 'the log'}).readFieldsList('members').map(member => ({
		id: member.readString('id'),
		address: member.readString('address'),
		voter: member.get('voter') === true,
		...(member.has('folder') && {folder: member.readString('folder')}),
		...(member.has('change') && {change: member.readOneOf('change', Object.values(voterChanges))}),
	}));
}
