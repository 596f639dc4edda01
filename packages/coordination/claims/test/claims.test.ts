import {expect} from 'chai';
import type {ClaimRequest} from '@hickorytrack/types/claim';
import {ClaimTable, computeClaimGroup} from '../src/claims.js';

const createRequest = (attempt: string, opts: Partial<ClaimRequest> = {}): ClaimRequest => ({
	workspace: 'cuenca', key: 'k1', bodyDigest: 'd1', endpoint: 'dispatch-1', agentIncarnation: 'i1', attempt, owner: 'entry-1', retentionSeconds: 60, ...opts,
});

describe('claim table', () => {
	let table: ClaimTable;

	beforeEach(() => {
		table = new ClaimTable();
	});

	it('grants a key to one attempt and returns its claim to every other attempt', () => {
		expect(table.open(createRequest('a1'), 0).granted).to.equal(true);
		const second = table.open(createRequest('a2'), 1);
		expect(second.granted).to.equal(false);
		expect(second.claim.attempt).to.equal('a1');
	});

	it('reports a conflict when a key is reused with a different body', () => {
		table.open(createRequest('a1'), 0);
		const second = table.open(createRequest('a2', {bodyDigest: 'd2'}), 1);
		expect(second).to.include({granted: false, conflict: true});
	});

	it('never grants a claim again whose outcome was lost', () => {
		table.open(createRequest('a1'), 0);
		table.settle({
			workspace: 'cuenca', key: 'k1', attempt: 'a1', state: 'may-have-run',
		});
		expect(table.open(createRequest('a2'), 1).granted).to.equal(false);
	});

	it('lets a new attempt take over a claim confirmed as not run, and then ignores the old attempt', () => {
		table.open(createRequest('a1'), 0);
		table.settle({
			workspace: 'cuenca', key: 'k1', attempt: 'a1', state: 'not-run',
		});
		const second = table.open(createRequest('a2'), 1);
		expect(second.granted).to.equal(true);
		expect(second.claim.attemptNumber).to.equal(2);
		table.settle({
			workspace: 'cuenca', key: 'k1', attempt: 'a1', state: 'answered', answer: {status: 200, contentType: 'text/plain', body: 'old'},
		});
		expect(table.read('cuenca', 'k1')!.state).to.equal('open');
	});

	it('keeps the answer for retries until the retention period ends', () => {
		table.open(createRequest('a1'), 0);
		const answer = {status: 201, contentType: 'application/json', body: '{"truck":7}'};
		table.settle({
			workspace: 'cuenca', key: 'k1', attempt: 'a1', state: 'answered', answer,
		});
		expect(table.open(createRequest('a2'), 59_999).claim.answer).to.deep.equal(answer);
		expect(table.expire(60_000)).to.equal(1);
		expect(table.open(createRequest('a3'), 60_001).granted).to.equal(true);
	});

	it('distributes keys over all groups', () => {
		const groups = new Set(Array.from({length: 100}, (_, index) => computeClaimGroup('cuenca', `k${index}`, 8)));
		expect(groups.size).to.equal(8);
	});
});
