import {expect} from 'chai';
import {computeFingerprint} from '../src/fingerprint.js';
import {computePromptParts} from '../src/prompt-parts.js';
import {partQuarantineDurationMs, QuarantineTable} from '../src/quarantine.js';

const suspects = ['poison', 'healthy'].map(fingerprint => ({fingerprint, workspace: 'maraval'}));

describe('quarantine table', () => {
	it('quarantines a request after two crashes and clears another suspect that finished', () => {
		const table = new QuarantineTable();
		table.recordCrash(suspects, {id: '1', at: 0});
		expect(table.acquirePermit('healthy', 'n2', 1)).to.equal(true);
		expect(table.clear('healthy', 'n2')!.state).to.equal('cleared');
		expect(table.acquirePermit('poison', 'p2', 1)).to.equal(true);
		table.recordCrash(suspects.slice(0, 1), {id: '2', at: 2});
		expect(table.read('poison')!.state).to.equal('quarantined');
		expect(table.acquirePermit('poison', 'p3', 3)).to.equal(false);
		expect(table.read('healthy')).to.equal(undefined);
	});

	it('grants a suspect to one attempt at a time, until the permit expires', () => {
		const table = new QuarantineTable();
		table.recordCrash(suspects, {id: '1', at: 0});
		expect(table.acquirePermit('poison', 'p2', 0)).to.equal(true);
		expect(table.acquirePermit('poison', 'p3', 1)).to.equal(false);
		expect(table.clear('poison', 'p3')).to.equal(undefined);
		expect(table.acquirePermit('poison', 'p3', 30_001)).to.equal(true);
	});
});

// Requests that share a part of their prompt ended an engine each, and a second one when they were tried again.
describe('quarantine of a part of prompts', () => {
	const createTable = () => {
		const table = new QuarantineTable();
		for (const [index, at] of [0, 1000, 2000].entries()) {
			table.recordCrash([
				{fingerprint: `poison-${index}`, workspace: 'maraval', parts: ['system', 'bad']}, {fingerprint: `healthy-${index}`, workspace: 'maraval', parts: ['system', `document-${index}`]},
			], {id: `engine/${index}`, at});
			table.clearParts(['system'], at + 500);
		}

		return table;
	};

	it('begins with the third crash and spares the parts that were answered', () => {
		const table = createTable();
		expect(table.read('part:bad')).to.deep.equal({
			fingerprint: 'part:bad', workspace: 'maraval', crashes: 3, state: 'quarantined', until: 2000 + partQuarantineDurationMs,
		});
		expect(table.read('part:system')).to.equal(undefined);
		expect(table.list().map(({fingerprint}) => fingerprint).filter(name => name.startsWith('part:'))).to.deep.equal(['part:bad']);
	});

	it('goes on for as long after each further crash', () => {
		const table = createTable();
		table.recordCrash([{fingerprint: 'other', workspace: 'maraval', parts: ['bad']}], {id: 'engine/4', at: 4000});
		expect(table.read('part:bad')).to.include({state: 'quarantined', crashes: 4, until: 4000 + partQuarantineDurationMs});
	});

	it('ends with an answer, or for an operator', () => {
		for (const end of [(table: QuarantineTable) => table.clearParts(['bad'], 3000), (table: QuarantineTable) => [table.remove('part:bad')!]]) {
			const table = createTable();
			expect(end(table).map(({fingerprint, state}) => [fingerprint, state])).to.deep.include(['part:bad', 'cleared']);
			table.recordCrash([{fingerprint: 'other', workspace: 'maraval', parts: ['bad']}], {id: 'engine/4', at: 4000});
			expect(table.read('part:bad')).to.equal(undefined);
			table.recordCrash([{fingerprint: 'other', workspace: 'maraval', parts: ['bad']}], {id: 'engine/5', at: 5000});
			expect(table.read('part:bad')!.state).to.equal('suspect');
		}
	});

	it('moves to another part that explains the crashes better', () => {
		const table = new QuarantineTable();
		for (const [index, at] of [0, 1000, 2000].entries()) {
			table.recordCrash([{fingerprint: `f${index}`, workspace: 'maraval', parts: ['bad', 'beside']}], {id: `${index}`, at});
		}

		expect(table.read('part:beside')!.state).to.equal('quarantined');
		const changed = table.recordCrash([{fingerprint: 'g', workspace: 'maraval', parts: ['bad']}], {id: '3', at: 3000});
		expect(changed.filter(({fingerprint}) => fingerprint.startsWith('part:')).map(({fingerprint, state}) => [fingerprint, state])).to.deep.equal([['part:bad', 'quarantined'], ['part:beside', 'suspect']]);
	});

	it('is in a snapshot, with the crashes', () => {
		const table = createTable();
		const restored = new QuarantineTable();
		restored.restore(structuredClone(table.dump()));
		const next = [{fingerprint: 'h', workspace: 'maraval', parts: ['bad', 'document-2']}];
		expect(restored.recordCrash(next, {id: 'x', at: 5000})).to.deep.equal(table.recordCrash(next, {id: 'x', at: 5000}));
		expect(restored.remove('part:bad')).to.deep.equal(table.remove('part:bad'));
		expect(restored.dump()).to.deep.equal(table.dump());
		restored.restore({entries: [], permits: []});
		expect(restored.list()).to.deep.equal([]);
	});
});

describe('parts of a prompt', () => {
	it('are the messages but the last, or the beginnings of the text, by workspace and model', () => {
		const messages = ['a', 'b', 'c'].map(content => ({role: 'user', content}));
		const compute = (workspace: string, model: string) => computePromptParts(workspace, {model, body: {messages}, prefixes: ['x']});
		expect(compute('t', 'm')).to.have.length(2);
		expect(compute('t', 'm')).to.not.have.members(compute('u', 'm'));
		expect(compute('t', 'm')).to.not.have.members(compute('t', 'n'));
		expect(computePromptParts('t', {model: 'm', body: {prompt: 'p'}, prefixes: ['x', 'y']})).to.have.length(2);
	});
});

describe('fingerprint', () => {
	it('ignores the order of fields and differs between workspaces', () => {
		expect(computeFingerprint('a', {x: 1, y: ' z'})).to.equal(computeFingerprint('a', {y: 'z', x: 1, stream: true}));
		expect(computeFingerprint('a', {x: 1})).to.not.equal(computeFingerprint('b', {x: 1}));
	});
});
