import {expect} from 'chai';
import {parsePeerParams, parsePeerResult} from '../src/parse-peer-message.js';
import type {PeerMethodName, PeerMethods} from '../src/peer-methods.js';

const report = {
	id: 's1', startedAt: 5, sequence: 3, service: 'plain', address: '10.0.0.1:80', availabilityZone: 'z', slots: 8, state: 'ready', coldMs: 0, stage: 'decode', version: 'v1',
};
const member = {
	instance: 'edge-2', roles: ['edge', 'core'], availabilityZone: 'z', address: '10.0.0.2:7180', incarnation: 'i', features: ['hubs'],
};
const stored = {version: 3, digest: 'd', document: {version: 3}};
const view = {versions: {model: ['v1']}, stream: {service: 'model', versions: ['v1'], sends: [['s1', 5, 10]]}};

const params: Partial<Record<PeerMethodName, unknown>> = {
	'mesh.exchange': {members: [member]},
	'core.join': {address: '10.0.0.2:7180', folder: 'f'},
	'core.leave': {address: '10.0.0.2:7180'},
	'configuration.announce': {leader: '10.0.0.2:7180', term: 2, version: 3},
	'configuration.install': {stored},
	'configuration.put': {stored},
	'origins.write': {admitted: [['model', 'v1']], streams: [['stream', 'model', ['v1'], [], 2000, [['s1', 5, 10]]]]},
	'origins.find': {services: ['model'], stream: 'stream'},
	'origins.recall': {stream: 'stream'},
	'registry.repeat': {repeats: [['s1', 5, 3]]},
	'registry.fetch': {servers: ['s1']},
	'registry.note': {reports: [report]},
	'stage.note': {server: 's1', startedAt: 5, stage: 'prefill'},
	'load.share': {
		instance: 'edge-2', scope: 'own', servers: [['s1', 100, 2, 1], ['s2', 0, 1, 0, 4]], stored: [{server: 's1', parts: [{id: 'a', tokens: 10}], timing: [10, 5, true]}], speeds: [['s2', 3, -25]],
	},
	'limit.note': {
		limits: [{
			id: 's1', startedAt: 5, perSecond: 2.5, ageMs: 10,
		}],
	},
	'limit.acquire': {
		server: 's1', startedAt: 5, perSecond: 2.5, maxDelayMs: 10, count: 1,
	},
	'limit.reach': {address: '10.0.0.2:7180'},
	'crash.note': {
		id: 's1/5', traits: [['part:a', 1]], ageMs: 10, reporter: 'edge-2',
	},
	'crash.sound': {sound: [['part:a', 10]]},
	'crash.trial': {trials: [['part:a', 10, 1]]},
	'usage.report': {
		sender: 'i', base: 2, until: 1000, windows: [[3, [['w1', 4]]]],
	},
};
const results: Partial<Record<PeerMethodName, unknown>> = {
	'mesh.exchange': {members: [member], count: 4},
	'core.join': {leader: '10.0.0.2:7180', isVoter: false},
	'configuration.fetch': {stored},
	'configuration.put': {outcome: 'stored'},
	'configuration.read': {isConfirmed: true, stored},
	'configuration.lease': {version: 3, ageMs: 12.5},
	'origins.write': {view},
	'origins.find': {view},
	'origins.recall': {origin: {service: 'model', version: 'v1'}},
	'registry.fetch': {reports: [report]},
	'registry.note': {count: 1},
	'limit.acquire': {isIssuer: true, granted: 1, delayMs: 5},
	'limit.reach': {isConnected: true},
	'usage.report': {term: 2, decidedTo: 3},
};
const oddValues: unknown[] = [undefined, null, '', 'x', '127.0.0.1:99999', '300.1.1.1:80', 'a\r\nb', 'x'.repeat(20_000), -1, 0, 1.5, 1e308, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, 2 ** 53, true, [], {}, [[]], [null], {constructor: 1}];

/** Lists copies of a value in which one field or element has an odd value. */
function listVariants(value: unknown): unknown[] {
	const variants: unknown[] = [...oddValues];
	if (Array.isArray(value)) {
		for (const [index, inner] of value.entries()) {
			variants.push(...listVariants(inner).map(variant => (value as unknown[]).with(index, variant)));
		}
	} else if (typeof value === 'object' && value !== null) {
		for (const [name, inner] of Object.entries(value)) {
			variants.push(...listVariants(inner).map(variant => ({...value, [name]: variant})));
		}
	}

	return variants;
}

/** Returns the parsed value, or undefined if it is refused with a reason. */
function parseOrRefuse(parse: () => unknown): unknown {
	try {
		return parse();
	} catch (error) {
		expect(error).to.be.instanceOf(TypeError);
		expect((error as Error).message).to.match(/element|"|object|report/);
		return undefined;
	}
}

/** Lists the numbers of a parsed value that nothing can be computed with. The document of a configuration is read when it is installed. */
function listUnusable(value: unknown): unknown[] {
	if (typeof value === 'number') {
		return Number.isFinite(value) ? [] : [value];
	}

	return typeof value === 'object' && value !== null ? Object.entries(value).flatMap(([name, inner]) => name === 'document' ? [] : listUnusable(inner)) : [];
}

describe('messages between instances', () => {
	for (const [kind, examples, parse] of [['parameters', params, parsePeerParams], ['results', results, parsePeerResult]] as const) {
		for (const [method, example] of Object.entries(examples) as Array<[PeerMethodName, unknown]>) {
			it(`are taken as they are: ${kind} of ${method}`, () => {
				const leftOut: Error[] = [];
				expect(parse(method, example, error => leftOut.push(error))).to.deep.equal(example);
				expect(leftOut).to.deep.equal([]);
			});

			// Guards against values that passed the check of a message and threw an exception where they were used.
			it(`hold nothing that can't be used, whatever is sent: ${kind} of ${method}`, () => {
				for (const variant of listVariants(example)) {
					const parsed = parseOrRefuse(() => parse(method, variant, () => undefined));
					expect(listUnusable(parsed), JSON.stringify(variant)?.slice(0, 200)).to.deep.equal([]);
				}
			});
		}
	}

	// Guards against reports that an instance of an earlier version passes on as it took them.
	it('lack the reports that name no server, and hold the others', () => {
		const others = oddValues.filter(value => value !== undefined).map(value => ({...report, id: 's2', address: value}));
		const leftOut: Error[] = [];
		const reports: unknown[] = [null, 'text', ...others, report, {...report, id: 'a\nb'}, {...report, state: 'asleep'}];
		const note = parsePeerParams('registry.note', {reports}, error => leftOut.push(error));
		expect(note.reports.map(({id}) => id)).to.deep.equal(['s1']);
		expect(leftOut).to.have.length(others.length + 4);
	});
});
