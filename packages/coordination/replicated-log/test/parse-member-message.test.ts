import {expect} from 'chai';
import {parseMemberMessage, parseMemberReply} from '../src/parse-member-message.js';

const oddValues: unknown[] = [undefined, null, '', 'x', 'constructor', -1, 0.5, 1e308, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, 2 ** 53, true, [], [[]], [null], {}, {constructor: 1}];
const sender = {from: '10.0.0.1:1', term: 3};
const members = [{
	id: '10.0.0.1:1', address: '10.0.0.1:1', voter: true, folder: 'f', change: 'removal',
}, {id: '10.0.0.2:1', address: '10.0.0.2:1', voter: false}];
const messages = [
	{
		kind: 'pre-vote', ...sender, folder: 'f', lastIndex: 0, lastTerm: 0,
	},
	{
		kind: 'vote', ...sender, folder: 'f', lastIndex: 4, lastTerm: 2,
	},
	{kind: 'heartbeat', ...sender, quorumAgeMs: Number.MAX_SAFE_INTEGER},
	{
		kind: 'append', ...sender, previousIndex: 4, previousTerm: 2, records: [{
			index: 5, term: 3, kind: 'noop', payload: null,
		}, {
			index: 6, term: 3, kind: 'members', payload: members,
		}, {
			index: 7, term: 3, kind: 'command', payload: {version: 1},
		}], commitIndex: 4, quorumAgeMs: 1.5,
	},
	{
		kind: 'snapshot', ...sender, snapshot: {
			index: 4, term: 2, members, state: {version: 1},
		},
	},
	{
		kind: 'snapshot-part', ...sender, part: {
			index: 4, digest: 'd', totalBytes: 4, offset: 0, bytes: 'AAAA',
		},
	},
];
const replies = [
	{
		kind: 'heartbeat', folder: 'f', term: 3, accepted: true,
	},
	{
		kind: 'heartbeat', folder: 'f', term: 3, accepted: true, takesParts: true,
	},
	{
		kind: 'vote', folder: 'f', term: 3, granted: false,
	},
	{
		kind: 'append', folder: 'f', term: 3, accepted: true, lastIndex: 7, durableIndex: 0, diskFault: false,
	},
	{
		kind: 'append', folder: 'f', term: 3, accepted: true, lastIndex: 7, durableIndex: 0, diskFault: false, takesParts: true, heldBytes: 3,
	},
];

/** Lists copies of a value in which one field or element has an odd value; what the state machine reads itself is left alone. */
function listVariants(value: unknown): unknown[] {
	const variants: unknown[] = [...oddValues];
	if (typeof value === 'object' && value !== null) {
		for (const [name, inner] of Object.entries(value)) {
			const isOpaque = name === 'state' || (name === 'payload' && !Array.isArray(inner));
			variants.push(...(isOpaque ? [] : listVariants(inner)).map(variant => Array.isArray(value) ? (value as unknown[]).with(Number(name), variant) : {...value, [name]: variant}));
		}
	}

	return variants;
}

/** Lists what differs in type from the examples, by the names of the fields. */
function listUnusable(value: unknown, name = ''): string[] {
	const numbers = ['term', 'lastIndex', 'lastTerm', 'previousIndex', 'previousTerm', 'commitIndex', 'index', 'durableIndex', 'totalBytes', 'offset', 'heldBytes'];
	const texts = ['from', 'folder', 'id', 'address', 'kind', 'digest', 'bytes'];
	const isSound = (!numbers.includes(name) || Number.isSafeInteger(value)) && (!texts.includes(name) || (typeof value === 'string' && value !== '')) && (name !== 'quorumAgeMs' || Number.isFinite(value));
	const inner = typeof value === 'object' && value !== null && name !== 'state' ? Object.entries(value).flatMap(([field, part]) => listUnusable(part, field)) : [];
	return isSound ? inner : [name, ...inner];
}

describe('messages between members of a log', () => {
	for (const [name, examples, parse] of [['message', messages, parseMemberMessage], ['reply', replies, parseMemberReply]] as const) {
		for (const example of examples) {
			it(`are taken as they are: ${name} ${example.kind}`, () => {
				expect(parse(structuredClone(example))).to.deep.equal(example);
			});

			// Guards against a message of another version that throws in the middle of a vote, or that leaves a log with a record of another shape.
			it(`are refused with a reason or can be used, whatever one field is: ${name} ${example.kind}`, () => {
				for (const variant of listVariants(example)) {
					const note = JSON.stringify(variant)?.slice(0, 300);
					try {
						expect(listUnusable(parse(variant)), note).to.deep.equal([]);
					} catch (error) {
						expect(error, note).to.be.instanceOf(TypeError);
						expect((error as Error).message, note).to.match(/"\w+"|is not an object|an element/);
					}
				}
			});
		}
	}

	// Guards against a log with a gap, in which all later records stand at another index.
	it('hold records that follow each other', () => {
		const append = messages.find(({kind}) => kind === 'append');
		const [first, , third] = (append as {records: unknown[]}).records;
		for (const records of [[third], [first, third], [first, first]]) {
			expect(() => parseMemberMessage({...append, records})).to.throw(TypeError, '"index" of a record');
		}
	});
});
