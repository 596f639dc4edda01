/**
 * The fields of what comes to the system from outside, each with its domain, values in it and odd values. Tests and the soak
 * draw from this table, so that a value that is checked by one rule and used by a stricter one is met. A value is the text of
 * a JSON value, since some of them (1e400, half a document) can't be told from others once they are parsed. A value that is
 * neither sound nor refused is one on which the users' pages don't decide.
 */
import {isIPv4} from 'node:net';
import type {Random} from '@hickorytrack/random';

/** Text of a JSON value; undefined if the field is missing. */
export type JsonText = string | undefined;

export type WireField = {
	/** Path of names on the wire; `[]` stands for each element of a list. */
	name: string;
	domain: string;
	sound: readonly JsonText[];
	/** Tells whether the pages refuse the value, whatever the other fields are. */
	isRefused: (value: unknown) => boolean;
	/** Odd values beside those of all fields. */
	odd?: readonly JsonText[];
};

export type HeaderField = {
	name: string;
	domain: string;
	sound: readonly string[];
	odd: readonly string[];
};

const longText = 'x'.repeat(20_000);
const maxPort = 65_535;

/** Odd values of a field of any type. */
export const oddJson: readonly JsonText[] = [
	undefined, 'null', 'true', '[]', '{}', '[null]', '[[]]', '{"constructor":1}', '{"__proto__":1}', '""', '"x"', '" "', '"-1"', '-1', '0', '-0', '0.5', '1.5', '1e308', '-1e308', '1e400', '-1e400', '9007199254740992', '4294967296', JSON.stringify(longText), String.raw`"a\r\nb: c"`, String.raw`"\u0000"`, '".."', '"../.."', '"é日"',
];

/** Addresses that look like one and are none, and some of another form. */
export const oddAddresses: readonly string[] = [
	'127.0.0.1:99999', '300.1.1.1:80', '010.1.1.1:80', '1.2.3:80', '127.0.0.1:0', '127.0.0.1:', '127.0.0.1', ':80', '127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1:8.5', '127.0.0.1:080', '0x7f.0.0.1:80', '1.2.3.4.5:80', '999.1.1.1:80', ' 127.0.0.1:80', '127.0.0.1:80 ', '127.0.0.1:80/x', 'a@127.0.0.1:80', '[::1]:80', 'localhost:80', '１２７.0.0.1:80',
];

/** Bodies that are no JSON document. */
export const unreadableBodies: readonly string[] = ['', ' ', '{', '{"service":"plain","address":"127.0.', '{"version":7,"routes":[{', 'no JSON', '{]', '\u0000\u0001', '{"a":1}{"b":2}', 'NaN', '{\'a\':1}', '\uFEFF{', '['.repeat(5000)];

/** JSON documents that are no objects. */
export const otherDocuments: readonly string[] = ['null', '1', '1e400', 'true', '""', '"x"', '[]', '[{}]'];

const isText = (value: unknown) => typeof value === 'string' && value !== '';
const isNumber = (value: unknown) => typeof value === 'number' && Number.isFinite(value);
const isOptional = (isValue: (value: unknown) => boolean) => (value: unknown) => value !== undefined && !isValue(value);
/** A value of another type is refused; whether none is, the pages don't say. */
const isOtherType = (type: 'string' | 'number') => (value: unknown) => value !== undefined && value !== null && typeof value !== type;
const isNever = () => false;

function isAddress(value: unknown): boolean {
	const groups = typeof value === 'string' ? /^(?<host>[\d.]+):(?<port>[1-9]\d{0,4})$/.exec(value)?.groups : undefined;
	return groups !== undefined && isIPv4(groups.host!) && Number(groups.port) <= maxPort;
}

/** Fields of a server's report, and of its deregistration as far as it has them. */
export const reportFields: readonly WireField[] = [
	{
		name: 'service', domain: 'the name of a service', sound: ['"plain"', '"model"', '"plain-b"', '"model-b"'], isRefused: value => !isText(value), odd: ['"no-such-service"'],
	},
	{
		name: 'address', domain: 'an IPv4 address and a port from 1', sound: ['"127.0.0.1:9"'], isRefused: value => !isAddress(value), odd: oddAddresses.map(address => JSON.stringify(address)),
	},
	{
		name: 'zone', domain: 'the name of a zone', sound: ['"z"'], isRefused: value => typeof value !== 'string',
	},
	{
		name: 'version', domain: 'the version of its software, a text; may be missing', sound: ['"v1"', undefined], isRefused: isOptional(value => typeof value === 'string'),
	},
	{
		name: 'slots', domain: 'a number above 0', sound: ['8'], isRefused: value => !isNumber(value) || (value as number) <= 0, odd: ['1e9', '1e-300'],
	},
	{
		name: 'state', domain: 'ready or draining', sound: ['"ready"'], isRefused: value => value !== 'ready' && value !== 'draining', odd: ['"READY"', '"left"', '"leaving"', '"constructor"'],
	},
	{
		name: 'cold-left-ms', domain: 'a time of 0 or more', sound: ['0'], isRefused: isOtherType('number'),
	},
	{
		name: 'stage', domain: 'prefill or decode; missing for a plain service', sound: [undefined, '"prefill"', '"decode"'], isRefused: isOptional(value => value === 'prefill' || value === 'decode'), odd: ['"Prefill"', '"prefill,decode"'],
	},
	{
		name: 'seq', domain: 'a whole number that grows with each report', sound: ['1'], isRefused: value => !Number.isSafeInteger(value), odd: ['9007199254740991'],
	},
	{
		name: 'born', domain: 'the Unix millisecond of its start, a whole number; may be missing', sound: ['1700000000000', undefined], isRefused: isOptional(value => isNumber(value) && Number.isInteger(value)), odd: ['9007199254740991', '32503680000000'],
	},
	{
		name: 'models', domain: 'a list of name, version and adapters; may be missing', sound: [undefined, '[{"name":"m","version":1,"adapters":[]}]'], isRefused: isNever, odd: ['[{"name":1}]', '[{"name":"m","version":1e400}]'],
	},
];

/** Ids in the path of a report or a deregistration, as they are sent. */
export const idField: HeaderField = {
	name: 'id', domain: 'a text of printable ASCII', sound: ['i-7f3a91c2'], odd: ['%00', '%0D%0Aa:%20b', '..', '%2E%2E', '%2F', '%', '%E9', '%FF%FE', '%E6%97%A5', '%20', 'a%20', '__proto__', 'constructor', '-1', '1e400', 'x'.repeat(2000), '?a=b', 'a/b', ';', '%22'],
};

/** Fields of a deregistration. */
export const deregistrationFields: readonly WireField[] = reportFields.filter(({name}) => name === 'born');

/** Fields of a configuration. */
export const configurationFields: readonly WireField[] = [
	{
		name: 'version', domain: 'a whole number of 0 or more', sound: ['1'], isRefused: value => !Number.isSafeInteger(value) || (value as number) < 0,
	},
	{
		name: 'routes', domain: 'a list of routes', sound: [], isRefused: value => !Array.isArray(value) || value.some(element => typeof element !== 'object' || element === null || Object.keys(element as object).length === 0),
	},
	{
		name: 'routes[].name', domain: 'a text', sound: ['"r"'], isRefused: value => !isText(value),
	},
	{
		name: 'routes[].host', domain: 'the name of a host', sound: ['"a.example"'], isRefused: value => !isText(value),
	},
	{
		name: 'routes[].path-prefix', domain: 'begins and ends with a slash', sound: ['"/r/"'], isRefused: value => !isText(value), odd: ['"r"', '"/r"', '"//"'],
	},
	{
		name: 'routes[].kind', domain: 'idempotent, non_idempotent or streaming', sound: ['"idempotent"'], isRefused: value => value !== 'idempotent' && value !== 'non_idempotent' && value !== 'streaming', odd: ['"constructor"', '"Streaming"'],
	},
	{
		name: 'routes[].timeout-ms', domain: 'a time above 0', sound: ['2000'], isRefused: value => !isNumber(value) || value === 0,
	},
	{
		name: 'routes[].slo-ms', domain: 'a time above 0', sound: ['200'], isRefused: isOtherType('number'),
	},
	{
		name: 'routes[].gap-slo-ms', domain: 'a time above 0; may be missing', sound: [undefined, '200'], isRefused: isOtherType('number'),
	},
	{
		name: 'routes[].priority', domain: 'a rank, 0 is the highest', sound: ['0'], isRefused: isOtherType('number'),
	},
	{
		name: 'routes[].max-attempts', domain: 'a whole number from 1', sound: ['2'], isRefused: isOtherType('number'),
	},
	{
		name: 'routes[].service', domain: 'the name of a service of the configuration', sound: ['"plain"'], isRefused: value => value !== 'plain',
	},
	{
		name: 'routes[].split', domain: 'a list of services and weights with a sum above 0; may be missing', sound: [undefined], isRefused: value => value !== undefined && value !== null && !(Array.isArray(value) && value.length > 0), odd: ['[{"service":"plain","weight":0}]', '[{"service":"plain","weight":1e400}]', '[{"weight":1}]'],
	},
	{
		name: 'services', domain: 'a list of services', sound: [], isRefused: value => !Array.isArray(value) || value.length === 0 || value.some(element => typeof element !== 'object' || element === null || Object.keys(element as object).length === 0),
	},
	{
		name: 'services[].name', domain: 'a text', sound: ['"plain"'], isRefused: value => value !== 'plain',
	},
	{
		name: 'services[].health-path', domain: 'a path', sound: ['"/healthz"'], isRefused: isNever,
	},
	{
		name: 'services[].max-conns', domain: 'a whole number from 1', sound: ['100'], isRefused: isOtherType('number'),
	},
	{
		name: 'services[].engine', domain: 'slots, kv-tokens, handle-ttl-s, switch-s and others; may be missing', sound: [undefined], isRefused: value => value !== undefined && value !== null && (typeof value !== 'object' || Array.isArray(value)), odd: ['{"slots":-1}', '{"slots":1e400}', '{"handle-ttl-s":1e308}'],
	},
	{
		name: 'limits', domain: 'max-header-bytes, max-body-bytes, header-timeout-ms and idle-timeout-ms', sound: ['{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":15000}'], isRefused: value => value !== undefined && value !== null && (typeof value !== 'object' || Array.isArray(value)), odd: ['{"idle-timeout-ms":-1}', '{"idle-timeout-ms":1e308}', '{"max-header-bytes":0}', '{"max-body-bytes":"x"}'],
	},
];

/** Fields of the bodies of servers' answers: of the prefill and of the status report. */
export const serverAnswerFields: readonly WireField[] = [
	{
		name: 'kv-handle', domain: 'a text of hexadecimal digits', sound: ['"3fa09c41b7d5"'], isRefused: value => !isText(value), odd: ['"a/b"', '"?x"', JSON.stringify('%0d%0a')],
	},
	{
		name: 'tokens', domain: 'a whole number of 0 or more', sound: ['1460'], isRefused: value => !isNumber(value),
	},
	{
		name: 'stage', domain: 'prefill or decode', sound: ['"prefill"', '"decode"'], isRefused: value => value !== 'prefill' && value !== 'decode',
	},
	{
		name: 'seq', domain: 'the number of accepted orders', sound: ['2'], isRefused: value => !Number.isSafeInteger(value),
	},
	{
		name: 'born', domain: 'as in the report', sound: ['1700000000000', undefined], isRefused: isOptional(value => isNumber(value) && Number.isInteger(value)),
	},
	{
		name: 'busy', domain: 'true or false', sound: ['false'], isRefused: value => typeof value !== 'boolean',
	},
];

const oddNumbers = ['', '-1', '0', '0.5', '1e308', '1e400', '9007199254740992', 'NaN', 'Infinity', 'x', '1,1', '0x10', ' 1', 'é', longText] as const;

/** Headers of servers' answers. */
export const serverAnswerHeaders: readonly HeaderField[] = [
	{
		name: 'retry-after', domain: 'seconds, which may have fractions', sound: ['1'], odd: [...oddNumbers, 'Wed, 21 Oct 2065 07:28:00 GMT'],
	},
	{
		name: 'server-limit', domain: 'requests in a second, a decimal number', sound: ['20'], odd: oddNumbers,
	},
	{
		name: 'server-leaving', domain: '1', sound: ['1'], odd: oddNumbers,
	},
	{
		name: 'x-request-id', domain: 'the id of the request', sound: [], odd: ['', '..', longText, 'é', 'a, b'],
	},
	{
		name: 'content-length', domain: 'the number of bytes of the body', sound: [], odd: oddNumbers,
	},
];

/** Statuses of servers' answers at the edges of what an HTTP client takes. */
export const oddStatuses: readonly string[] = ['0', '99', '100', '101', '199', '204', '299', '300', '304', '399', '451', '499', '599', '600', '999', '1000', '-1', '2e2', 'x', ''];

/** Headers of callers' requests. */
export const callerHeaders: readonly HeaderField[] = [
	{
		name: 'x-deadline-ms', domain: 'milliseconds', sound: ['2000'], odd: oddNumbers,
	},
	{
		name: 'x-token-counts', domain: 'two whole numbers with a comma', sound: ['1460,80'], odd: [...oddNumbers, ',', '1,', '-1,-1', '1e400,1e400', '1,2,3'],
	},
	{
		name: 'x-prompt-prefix', domain: 'entries ID:TOKENS with commas, the id in hexadecimal', sound: ['5c1e07a2:800,e4402b7d:250'], odd: [...oddNumbers, ':', 'a:', ':1', 'a:-1', 'a:1e400', 'zz:1', 'a:1,a:1', '__proto__:1', 'a:1,'.repeat(4000)],
	},
	{
		name: 'last-event-id', domain: 'a whole number of 0 or more', sound: ['3'], odd: oddNumbers,
	},
	{
		name: 'resumes', domain: 'the id of an attempt', sound: ['9c41d07be2a35f68'], odd: ['', '..', '__proto__', 'é', longText],
	},
];

/** Values of a field that the pages refuse. */
export function listRefused(field: WireField): JsonText[] {
	return listOdd(field).filter(text => field.isRefused(parseText(text)));
}

/** Those among the refused values that look most like sound ones, or all refused ones if the field has none. */
export function listRefusedNear(field: WireField): JsonText[] {
	const near = (field.odd ?? []).filter(text => field.isRefused(parseText(text)));
	return near.length > 0 ? near : listRefused(field);
}

/** Odd values of a field; the pages don't refuse all of them. */
export function listOdd({odd = []}: WireField): JsonText[] {
	return [...oddJson, ...odd];
}

/** Formats an object of a field for each, sound but for the given texts. */
export function formatDocument(fields: readonly WireField[], random: Random, changes: Readonly<Record<string, JsonText>> = {}): string {
	const entries = fields.flatMap(({name, sound}) => {
		const text = Object.hasOwn(changes, name) ? changes[name] : random.select(sound);
		return text === undefined ? [] : [`${JSON.stringify(name.slice(name.indexOf('.') + 1))}:${text}`];
	});
	return `{${entries.join(',')}}`;
}

/** Formats a configuration of a route and a service, sound but for the given texts. */
export function formatConfiguration(random: Random, changes: Readonly<Record<string, JsonText>> = {}): string {
	const list = (prefix: string) => configurationFields.filter(({name}) => name.startsWith(`${prefix}[].`));
	const own = configurationFields.filter(({name}) => !name.includes('[]'));
	return formatDocument(own, random, {
		routes: `[${formatDocument(list('routes'), random, changes)}]`, services: `[${formatDocument(list('services'), random, changes)}]`, ...changes,
	});
}

function parseText(text: JsonText): unknown {
	return text === undefined ? undefined : JSON.parse(text) as unknown;
}
