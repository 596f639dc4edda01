import {expect} from 'chai';
import type {ItemValue} from '@hickorytrack/types/control';
import {ItemStore} from '../src/item-store.js';

const createValue = (version: number): ItemValue => ({
	kind: 'setting', version, name: 'x', value: version,
});

describe('item store', () => {
	it('brings a store that missed 500 changes up to date with one page', () => {
		const ahead = new ItemStore();
		const behind = new ItemStore();
		for (let revision = 1; revision <= 500; revision++) {
			ahead.write(`setting/${revision % 7}`, createValue(revision), revision);
		}

		const page = ahead.listSince(behind.revision);
		expect(page.items).to.have.length(7);
		behind.merge(page);
		expect(behind.revision).to.equal(500);
		expect(behind.listSince(0).items).to.deep.equal(ahead.listSince(0).items);
	});

	it('never returns to a lower revision', () => {
		const store = new ItemStore();
		store.merge({since: 0, revision: 9, items: [{key: 'a', revision: 9, value: createValue(9)}]});
		const changed = store.merge({since: 0, revision: 4, items: [{key: 'a', revision: 4, value: createValue(4)}]});
		expect(changed).to.deep.equal([]);
		expect(store.revision).to.equal(9);
		expect(store.read('a')!.revision).to.equal(9);
	});

	it('does not adopt the revision of a page that leaves a gap', () => {
		const store = new ItemStore();
		store.merge({since: 5, revision: 6, items: [{key: 'b', revision: 6, value: createValue(6)}]});
		expect(store.revision).to.equal(0);
		store.merge({since: 0, revision: 6, items: [{key: 'a', revision: 3, value: createValue(3)}, {key: 'b', revision: 6, value: createValue(6)}]});
		expect(store.revision).to.equal(6);
	});
});
