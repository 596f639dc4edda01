/**
 * The door of messages between instances. Another instance may run an earlier version and pass on what it has taken itself,
 * so the parameters and the result of each method are parsed before they are used. An element of a list that can't be used is
 * left out, and the others hold; a message that can't be used otherwise is an error for its sender.
 */
import {FieldError, Fields, maxDurationMs} from '@hickorytrack/fields';
import {parsePeerMember} from './parse-peer-member.js';
import {parseServerRecord} from './parse-server-record.js';
import {
	shareScopes, type CapacityEntry, type ConfigurationDocument, type LoadEntry, type LoadShare, type PeerMethodName, type PeerMethods, type PrefillTiming, type SpeedNote, type StoredPrompt, type StreamOriginView, type StreamOriginWrite, type StreamSend, type UsageReply, type WindowTotals, type WorkspaceCount,
} from './peer-methods.js';

/** Called for each element of a list that is left out. */
export type ElementListener = (error: Error) => void;

type Door<M extends PeerMethodName> = {
	params: (fields: Fields, onLeftOut: ElementListener) => PeerMethods[M]['params'];
	result?: (fields: Fields, onLeftOut: ElementListener) => PeerMethods[M]['result'];
};

const notNegative = {min: 0, max: Number.MAX_SAFE_INTEGER};
const wholeNumber = {...notNegative, isInteger: true};
const age = {min: 0};
/** Requests that one call for grants may ask for; each is granted by itself. */
const grantCount = {min: 0, max: 10_000, isInteger: true};
/** A relay keeps what it holds back for a leaf for no longer than the interval at which unchanged load is shared. */
const shareInterval = {min: 0, max: 400};
const stages = ['prefill', 'decode'] as const;
const putOutcomes = ['stored', 'same', 'overtaken', 'conflict'] as const;

function readEach<T>(values: readonly unknown[], parse: (value: unknown) => T, onLeftOut: ElementListener): T[] {
	const parsed: T[] = [];
	for (const value of values) {
		try {
			parsed.push(parse(value));
		} catch (error) {
			onLeftOut(error as Error);
		}
	}

	return parsed;
}

function readOptionalText(fields: Fields, name: string): string | undefined {
	return fields.has(name) ? fields.readText(name) : undefined;
}

function readAgeMs(fields: Fields, name: string): number {
	return Math.min(maxDurationMs, fields.readNumber(name, age));
}

function readStored(fields: Fields): ConfigurationDocument {
	const stored = fields.readFields('stored');
	return {version: stored.readNumber('version', wholeNumber), digest: stored.readText('digest'), document: stored.get('document')};
}

function parseSend(value: unknown): StreamSend {
	const send = Fields.openTuple(value);
	return [send.readText('0'), send.readNumber('1', wholeNumber), send.readNumber('2', notNegative)];
}

function parseAdmitted(value: unknown): [string, string] {
	const admitted = Fields.openTuple(value);
	return [admitted.readText('0'), admitted.readText('1')];
}

function parseOriginStream(value: unknown): StreamOriginWrite['streams'][number] {
	const stream = Fields.openTuple(value);
	const begun: StreamOriginWrite['streams'][number] = [stream.readText('0'), stream.readText('1'), stream.readTexts('2'), stream.readTexts('3'), readAgeMs(stream, '4')];
	if (stream.has('5')) {
		begun.push(stream.readList('5').map(send => parseSend(send)));
	}

	return begun;
}

function readView(fields: Fields): StreamOriginView | undefined {
	const view = fields.readOptionalFields('view');
	if (!view) {
		return undefined;
	}

	const versions = view.readFields('versions');
	const stream = view.readOptionalFields('stream');
	return {
		versions: Object.fromEntries(versions.names.map(service => [service, versions.readTexts(service)])),
		stream: stream && {
			service: stream.readText('service'), versions: stream.readTexts('versions'), ...(stream.has('sends') && {sends: stream.readList('sends').map(send => parseSend(send))}),
		},
	};
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

/** Load shares are the most frequent messages, so that what they consist of is read without `Fields`. */
function parseLoad(value: unknown): LoadEntry {
	if (!Array.isArray(value)) {
		throw new FieldError('an element of "servers" is not an array');
	}

	const [server, promptTokens, requests, streams, work] = value as unknown[];
	if (typeof server !== 'string' || !isCount(promptTokens) || !isCount(requests) || !isCount(streams)) {
		throw new FieldError('an element of "servers" is not an id with three counts');
	}

	return isCount(work) ? [server, promptTokens, requests, streams, work] : [server, promptTokens, requests, streams];
}

function parsePart(value: unknown): {id: string; tokens: number} {
	const {id, tokens} = (value ?? {}) as Record<string, unknown>;
	if (typeof id !== 'string' || !isCount(tokens)) {
		throw new FieldError('an element of "parts" is not an id with a count');
	}

	return {id, tokens};
}

function parseStoredPrompt(value: unknown): StoredPrompt {
	if (typeof value !== 'object' || value === null) {
		throw new FieldError('an element of "stored" is not an object');
	}

	const {server, parts, timing} = value as Record<string, unknown>;
	if (typeof server !== 'string' || !Array.isArray(parts)) {
		throw new FieldError('an element of "stored" is not the id of a server with parts');
	}

	const prompt: StoredPrompt = {server, parts: parts.map(part => parsePart(part))};
	if (timing !== undefined && timing !== null) {
		prompt.timing = parseTiming(timing);
	}

	return prompt;
}

function parseTiming(value: unknown): PrefillTiming {
	const [tokens, elapsedMs, isIdle] = Array.isArray(value) ? value as unknown[] : [];
	if (!isCount(tokens) || !isCount(elapsedMs)) {
		throw new FieldError('"timing" of a stored prompt is not two numbers with a flag');
	}

	return [tokens, elapsedMs, isIdle === true];
}

function parseSpeed(value: unknown): SpeedNote {
	if (!Array.isArray(value)) {
		throw new FieldError('an element of "speeds" is not an array');
	}

	const [server, samples, hundredths] = value as unknown[];
	if (typeof server !== 'string' || !isCount(samples) || !Number.isSafeInteger(hundredths)) {
		throw new FieldError('an element of "speeds" is not an id with two numbers');
	}

	return [server, samples, hundredths as number];
}

function readShare(fields: Fields, onLeftOut: ElementListener): LoadShare {
	return {
		instance: fields.readText('instance'),
		scope: fields.readOneOf('scope', Object.values(shareScopes)),
		servers: readEach(fields.readList('servers'), parseLoad, onLeftOut),
		stored: readEach(fields.readList('stored'), parseStoredPrompt, onLeftOut),
		...(fields.has('intervalMs') && {intervalMs: fields.readNumber('intervalMs', shareInterval)}),
		...(fields.has('speeds') && {speeds: readEach(fields.readList('speeds'), parseSpeed, onLeftOut)}),
	};
}

function parseRepeat(value: unknown): [string, number, number] {
	if (!Array.isArray(value)) {
		throw new FieldError('an element of "repeats" is not an array');
	}

	const [id, startedAt, sequence] = value as unknown[];
	if (typeof id !== 'string' || !isCount(startedAt) || !Number.isInteger(startedAt) || !Number.isSafeInteger(sequence)) {
		throw new FieldError('an element of "repeats" is not an id with a start and a number');
	}

	return [id, startedAt, sequence as number];
}

function parseCapacity(value: unknown): CapacityEntry {
	const entry = Fields.openTuple(value);
	return [entry.readText('0'), entry.readText('1'), entry.readNumber('2', notNegative), entry.readNumber('3', notNegative), entry.readNumber('4', notNegative), entry.readNumber('5', notNegative)];
}

function parseLimit(value: unknown): PeerMethods['limit.note']['params']['limits'][number] {
	const limit = new Fields(value, {name: 'a limit'});
	return {
		id: limit.readText('id'), startedAt: limit.readNumber('startedAt', wholeNumber), perSecond: limit.readOptionalNumber('perSecond', age), ageMs: readAgeMs(limit, 'ageMs'),
	};
}

function parseSuspect(value: unknown): [string, number] {
	const suspect = Fields.openTuple(value);
	return [suspect.readText('0'), suspect.readNumber('1')];
}

function parseSound(value: unknown): [string, number] {
	const sound = Fields.openTuple(value);
	return [sound.readText('0'), readAgeMs(sound, '1')];
}

function parseTrial(value: unknown): [string, number, number] {
	const trial = Fields.openTuple(value);
	return [trial.readText('0'), readAgeMs(trial, '1'), trial.readNumber('2', wholeNumber)];
}

function parseWorkspaceCount(value: unknown): WorkspaceCount {
	const count = Fields.openTuple(value);
	return [count.readString('0'), count.readNumber('1', wholeNumber)];
}

function parseWindowTotals(value: unknown, onLeftOut: ElementListener): WindowTotals {
	const totals = Fields.openTuple(value);
	return [totals.readNumber('0', wholeNumber), readEach(totals.readList('1'), parseWorkspaceCount, onLeftOut)];
}

function readUsageReply(fields: Fields): UsageReply {
	return {
		...(fields.has('term') && {term: fields.readNumber('term', wholeNumber)}),
		...(fields.has('decidedTo') && {decidedTo: fields.readNumber('decidedTo', {...wholeNumber, min: -1})}),
	};
}

const readMembers = (fields: Fields, onLeftOut: ElementListener) => readEach(fields.readList('members'), parsePeerMember, onLeftOut);
const readReports = (fields: Fields, onLeftOut: ElementListener) => readEach(fields.readList('reports'), parseServerRecord, onLeftOut);

/** The methods between edges. Those between the daemons of the product are parsed by their handlers. */
const doors: {[M in PeerMethodName]?: Door<M>} = {
	'mesh.exchange': {
		params: (fields, onLeftOut) => ({members: readMembers(fields, onLeftOut)}),
		result: (fields, onLeftOut) => ({members: readMembers(fields, onLeftOut), count: fields.readOptionalNumber('count', wholeNumber)}),
	},
	'core.join': {
		params: fields => ({address: fields.readString('address'), folder: fields.readText('folder')}),
		result: fields => ({leader: readOptionalText(fields, 'leader'), isVoter: fields.has('isVoter') ? fields.get('isVoter') === true : undefined}),
	},
	'core.leave': {params: fields => ({address: fields.readString('address')})},
	'configuration.announce': {
		params: fields => ({leader: fields.readString('leader'), term: fields.readNumber('term', wholeNumber), version: fields.readNumber('version', wholeNumber)}),
	},
	'configuration.install': {params: fields => ({stored: readStored(fields)})},
	'configuration.fetch': {params: () => ({}), result: fields => ({stored: fields.has('stored') ? readStored(fields) : undefined})},
	'configuration.put': {
		params: fields => ({stored: readStored(fields)}),
		result: fields => ({outcome: fields.has('outcome') ? fields.readOneOf('outcome', putOutcomes) : undefined}),
	},
	'configuration.read': {
		params: () => ({}),
		result: fields => ({isConfirmed: fields.get('isConfirmed') === true, stored: fields.has('stored') ? readStored(fields) : undefined}),
	},
	'configuration.lease': {
		params: () => ({}),
		result: fields => ({version: fields.readOptionalNumber('version', wholeNumber), ageMs: fields.has('ageMs') ? readAgeMs(fields, 'ageMs') : undefined}),
	},
	'origins.write': {
		params: (fields, onLeftOut) => ({admitted: readEach(fields.readList('admitted'), parseAdmitted, onLeftOut), streams: readEach(fields.readList('streams'), parseOriginStream, onLeftOut)}),
		result: fields => ({view: readView(fields)}),
	},
	'origins.find': {
		params: fields => ({services: fields.readTexts('services'), stream: readOptionalText(fields, 'stream')}),
		result: fields => ({view: readView(fields)}),
	},
	'origins.recall': {
		params: fields => ({stream: fields.readText('stream')}),
		result(fields) {
			const origin = fields.readOptionalFields('origin');
			return {origin: origin && {service: origin.readText('service'), version: origin.readText('version')}};
		},
	},
	'registry.repeat': {params: (fields, onLeftOut) => ({repeats: readEach(fields.readList('repeats'), parseRepeat, onLeftOut)})},
	'registry.fetch': {
		params: fields => ({servers: fields.readTexts('servers')}),
		result: (fields, onLeftOut) => ({reports: readReports(fields, onLeftOut)}),
	},
	'registry.note': {
		params: (fields, onLeftOut) => ({reports: readReports(fields, onLeftOut)}),
		result: fields => ({count: fields.readNumber('count', wholeNumber)}),
	},
	'stage.note': {
		params: fields => ({server: fields.readText('server'), startedAt: fields.readNumber('startedAt', wholeNumber), stage: fields.readOneOf('stage', stages)}),
	},
	'load.share': {params: readShare},
	'capacity.note': {params: (fields, onLeftOut) => ({instances: readEach(fields.readList('instances'), parseCapacity, onLeftOut)})},
	'limit.note': {params: (fields, onLeftOut) => ({limits: readEach(fields.readList('limits'), parseLimit, onLeftOut)})},
	'limit.acquire': {
		params: fields => ({
			server: fields.readText('server'), startedAt: fields.readNumber('startedAt', wholeNumber), perSecond: fields.readNumber('perSecond', age), maxDelayMs: readAgeMs(fields, 'maxDelayMs'), count: fields.readNumber('count', grantCount),
		}),
		result: fields => ({isIssuer: fields.get('isIssuer') === true, granted: fields.readNumber('granted', grantCount), delayMs: readAgeMs(fields, 'delayMs')}),
	},
	'limit.reach': {params: fields => ({address: fields.readText('address')}), result: fields => ({isConnected: fields.get('isConnected') === true})},
	'crash.note': {
		params: (fields, onLeftOut) => ({
			id: fields.readText('id'), traits: readEach(fields.readList('traits'), parseSuspect, onLeftOut), ageMs: fields.has('ageMs') ? readAgeMs(fields, 'ageMs') : undefined, reporter: readOptionalText(fields, 'reporter'),
		}),
	},
	'crash.sound': {params: (fields, onLeftOut) => ({sound: readEach(fields.readList('sound'), parseSound, onLeftOut)})},
	'usage.report': {
		params: (fields, onLeftOut) => ({
			sender: fields.readString('sender'), ...(fields.has('base') && {base: fields.readNumber('base', wholeNumber)}), until: fields.readNumber('until', notNegative), windows: readEach(fields.readList('windows'), value => parseWindowTotals(value, onLeftOut), onLeftOut),
		}),
		result: readUsageReply,
	},
	'crash.trial': {params: (fields, onLeftOut) => ({trials: readEach(fields.readList('trials'), parseTrial, onLeftOut)})},
};

/** Throws a `FieldError` if the parameters can't be used. */
export function parsePeerParams<M extends PeerMethodName>(method: M, params: unknown, onLeftOut: ElementListener): PeerMethods[M]['params'] {
	const door = doors[method];
	return door ? door.params(new Fields(params, {name: `the parameters of ${method}`}), onLeftOut) : params as PeerMethods[M]['params'];
}

/** Throws a `FieldError` if the result can't be used. */
export function parsePeerResult<M extends PeerMethodName>(method: M, result: unknown, onLeftOut: ElementListener): PeerMethods[M]['result'] {
	const door = doors[method];
	return door?.result ? door.result(new Fields(result, {name: `the result of ${method}`}), onLeftOut) : (result ?? undefined);
}
