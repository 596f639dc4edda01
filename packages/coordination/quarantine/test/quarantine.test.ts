import {expect} from 'chai';
import {computeFingerprint} from '../src/fingerprint.js';
import {QuarantineTable} from '../src/quarantine.js';

const suspects = ['poison', 'healthy'].map(fingerprint => ({fingerprint, workspace: 'maraval'}));

describe('quarantine table', () => {
	it('quarantines a request after two crashes and clears another suspect that finished', () => {
		const table = new QuarantineTable();
		table.recordCrash(suspects, 0);
		expect(table.acquirePermit('healthy', 'n2', 1)).to.equal(true);
		expect(table.clear('healthy', 'n2')!.state).to.equal('cleared');
		expect(table.acquirePermit('poison', 'p2', 1)).to.equal(true);
		table.recordCrash(suspects.slice(0, 1), 2);
		expect(table.read('poison')!.state).to.equal('quarantined');
		expect(table.acquirePermit('poison', 'p3', 3)).to.equal(false);
		expect(table.read('healthy')).to.equal(undefined);
	});

	it('grants a suspect to one attempt at a time, until the permit expires', () => {
		const table = new QuarantineTable();
		table.recordCrash(suspects, 0);
		expect(table.acquirePermit('poison', 'p2', 0)).to.equal(true);
		expect(table.acquirePermit('poison', 'p3', 1)).to.equal(false);
		expect(table.clear('poison', 'p3')).to.equal(undefined);
		expect(table.acquirePermit('poison', 'p3', 30_001)).to.equal(true);
	});
});

describe('fingerprint', () => {
	it('ignores the order of fields and differs between workspaces', () => {
		expect(computeFingerprint('a', {x: 1, y: ' z'})).to.equal(computeFingerprint('a', {y: 'z', x: 1, stream: true}));
		expect(computeFingerprint('a', {x: 1})).to.not.equal(computeFingerprint('b', {x: 1}));
	});
});
