/** An instance of the version before acknowledges such a draining report and passes it on; here it is left out, and the ready one before it stays. */
import {expect} from 'chai';
import {parsePeerParams} from '../src/parse-peer-message.js';

const report = {
	id: 'a', startedAt: 1000, sequence: 2, service: 's', address: '10.0.0.1:80', availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0,
};

describe('a passed-on report that takes a server out of use', () => {
	for (const state of ['draining', 'left']) {
		it(`holds with half a slot (${state})`, () => {
			const {reports} = parsePeerParams('registry.note', {reports: [{...report, state, slots: 0.5}]}, () => undefined);
			expect(reports.map(({id, state: parsed}) => [id, parsed])).to.deep.equal([['a', state]]);
		});
	}
});
