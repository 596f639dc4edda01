import {createHash} from 'node:crypto';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {Contract} from '@hickorytrack/types/contract';
import {WorkspaceDirectory} from '../src/workspace-directory.js';

const key = 'k';
const contract: Contract = {
	workspace: 'w', apiKeys: [{id: 'one', sha256: createHash('sha256').update(key).digest('hex')}], models: [], services: [], priority: 0, share: 1, limits: {
		requestsPerSecond: 10, burst: 20, concurrency: 8, bodyBytes: 1000, queueMs: 100,
	}, targets: {firstTokenMs: 100, betweenTokensMs: 100}, answerRetentionSeconds: 60,
};

describe('workspace directory', () => {
	// Guards against the whole limit at every entry until the next shares arrive.
	it('gives a new workspace this entry\'s part of its limits', () => {
		const directory = new WorkspaceDirectory(new ManualClock());
		directory.setShares([{workspace: '', fraction: 0.25}]);
		directory.applyItems([{key: 'contract/w', revision: 1, value: {kind: 'contract', contract}}] as unknown as Parameters<WorkspaceDirectory['applyItems']>[0]);
		const workspace = directory.find(key)!;
		let admitted = 0;
		while (workspace.acquireRateToken() === 0) {
			admitted++;
		}

		expect(admitted).to.equal(5);
		workspace.inFlight = 2;
		expect(workspace.isAtConcurrencyLimit).to.equal(true);
	});
});
