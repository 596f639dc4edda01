import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {ControlItem} from '@hickorytrack/types/control';
import {EndpointDirectory, maximumEndpointsPerName, type EndpointDirectoryOptions} from '../src/endpoint-directory.js';

const work = {sentAt: 0, prefillTokens: 0, decodeTokens: 0};

function createItem(endpoint: string, agentAddress = endpoint): ControlItem {
	return {
		key: `endpoint/${endpoint}`, revision: 1, value: {
			kind: 'endpoint', record: {
				agentAddress, agent: endpoint, agentIncarnation: '1', announcement: {endpoint, names: ['m'], incarnation: '1'},
			},
		},
	} as unknown as ControlItem;
}

const removal = {key: 'endpoint/e1', revision: 2, value: {kind: 'removed'}} as unknown as ControlItem;
const changes: Record<string, readonly ControlItem[]> = {
	'is removed': [removal],
	'moves to another address': [createItem('e1', 'other')],
	'is no longer one of those that this entry uses': Array.from({length: 20 * maximumEndpointsPerName}, (_, index) => createItem(`new-${index}`)),
};

describe('endpoint directory', () => {
	let stopped: string[];
	let directory: EndpointDirectory;

	beforeEach(() => {
		stopped = [];
		directory = new EndpointDirectory({
			clock: new ManualClock(),
			peers: {
				member: {instance: 'entry-1'}, openLink: (address: string) => ({
					address, connection: {}, stop() {
						stopped.push(address);
					},
				}),
			},
		} as unknown as EndpointDirectoryOptions);
		directory.applyItems([createItem('e1')]);
	});

	for (const [change, items] of Object.entries(changes)) {
		// The link was stopped at once: a call under a claim ended with an unknown outcome although its agent had the answer.
		it(`keeps the link to an endpoint that ${change} until its attempts have ended`, () => {
			const handle = directory.find('e1')!;
			handle.recordSent('a', work);
			handle.recordSent('b', work);
			directory.applyItems(items);
			expect(directory.listUsable('m')).not.to.include(handle);
			handle.recordFinished('a');
			expect(stopped).to.deep.equal([]);
			handle.recordFinished('b');
			expect(stopped).to.deep.equal(['e1']);
		});

		it(`stops the link to an endpoint that ${change} at once without attempts`, () => {
			directory.applyItems(items);
			expect(stopped).to.deep.equal(['e1']);
		});
	}
});
