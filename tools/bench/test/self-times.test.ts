import {expect} from 'chai';
import {listSelfTimes} from '../src/self-times.js';

const createNode = (id: number, functionName: string) => ({id, callFrame: {functionName, url: 'file:///a/b.mjs', lineNumber: 9}});

describe('self times', () => {
	// On a busy machine, the function that ran before a wait for a processor looked like the most expensive one.
	it('count no wait for a processor, no idle time and nothing outside the period', () => {
		const selfTimes = listSelfTimes({
			nodes: [createNode(1, 'busy'), createNode(2, 'waiting'), createNode(3, '(idle)')],
			startTime: 0,
			samples: [1, 1, 1, 2, 3, 1],
			timeDeltas: [0, 1000, 1000, 1000, 500_000, 1000],
		}, {fromUs: 1000, toUs: 503_000});
		expect(selfTimes).to.deep.equal([{place: 'busy b.mjs:10', ms: 2}, {place: 'waiting b.mjs:10', ms: 2}]);
	});
});
