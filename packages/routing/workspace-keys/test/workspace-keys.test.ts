import {expect} from 'chai';
import {WorkspaceKeys} from '../src/workspace-keys.js';

describe('keys of workspaces', () => {
	it('find their workspace, however many there are and however long they are', () => {
		const long = 'k'.repeat(50_000);
		const workspaces = Array.from({length: 10_000}, (_, index) => ({name: `w${index}`, keys: [`k${index}`, `${long}${index}`]}));
		const keys = new WorkspaceKeys(workspaces);
		for (const index of [0, 1, 9999, 0]) {
			expect(keys.find(`k${index}`)?.name).to.equal(`w${index}`);
			expect(keys.find(`${long}${index}`)?.name).to.equal(`w${index}`);
		}

		expect(keys.find(long)).to.equal(undefined);
		expect(keys.find('k10000')).to.equal(undefined);
	});

	it('belong to the workspace of their own configuration when they move', () => {
		const before = new WorkspaceKeys([{name: 'a', keys: ['k', 'l']}, {name: 'b', keys: []}]);
		expect(before.find('k')?.name).to.equal('a');
		const after = new WorkspaceKeys([{name: 'a', keys: ['l']}, {name: 'b', keys: ['k']}]);
		expect(after.find('k')?.name).to.equal('b');
		expect(after.find('l')?.name).to.equal('a');
	});

	// A document that an earlier version has stored was not checked.
	it('of several workspaces find none, and an empty one neither', () => {
		const keys = new WorkspaceKeys([{name: 'a', keys: ['k', '', 'l', 'l']}, {name: 'b', keys: ['k']}]);
		expect(['k', '', 'l'].map(key => keys.find(key)?.name)).to.deep.equal([undefined, undefined, 'a']);
	});

	it('are found after more than are remembered were used', () => {
		const keys = new WorkspaceKeys([{name: 'a', keys: Array.from({length: 5000}, (_, index) => `k${index}`)}]);
		for (let round = 0; round < 2; round++) {
			for (let index = 0; index < 5000; index++) {
				expect(keys.find(`k${index}`)?.name).to.equal('a');
			}
		}
	});
});
