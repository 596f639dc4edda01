import {expect} from 'chai';
import type {Contract} from '@hickorytrack/types/contract';
import type {CommandOutcome, ControlCommand, EndpointRegistration} from '@hickorytrack/types/control';
import {ControlState} from '../src/control-state.js';

const createContract = (workspace: string, sha256 = workspace): Contract => ({
	workspace, apiKeys: [{id: `${workspace}-key`, sha256}], models: ['m'], services: [], priority: 1, share: 1,
	limits: {
		requestsPerSecond: 10, burst: 10, concurrency: 10, bodyBytes: 1000, queueMs: 1000,
	},
	targets: {firstTokenMs: 460, betweenTokensMs: 79}, answerRetentionSeconds: 60,
});

const createRecord = (endpoint: string, agentIncarnation = 'i1'): EndpointRegistration => ({
	announcement: {
		endpoint, kind: 'model', names: ['m'], adapters: [], roles: ['mixed', 'prefill', 'decode'], role: 'mixed', capacity: 8,
		speed: {prefillTokensPerSecond: 1000, decodeTokensPerSecond: 100}, mixedSpeed: {prefillTokensPerSecond: 1000, decodeTokensPerSecond: 100}, availabilityZone: 'z', incarnation: 'e1', checksFencing: true,
	},
	agent: `agent of ${endpoint}`, agentIncarnation, agentAddress: '127.0.0.1:1',
});

describe('control state', () => {
	let state: ControlState;
	let index: number;

	const apply = (command: ControlCommand): CommandOutcome => state.apply(structuredClone(command), ++index);
	const putContract = (changeId: string, expectedVersion: number, contract = createContract('cuenca')): CommandOutcome =>
		apply({
			kind: 'put-contract', changeId, expectedVersion, workspace: contract.workspace, contract,
		});
	const startChange = (changeId: string, endpoint: string, changeKind: 'drain' | 'set-role' | 'withdraw' = 'drain'): CommandOutcome =>
		apply({
			kind: 'start-change', changeId, changeKind, endpoint, requestedBy: 'test', at: 0, ...(changeKind === 'set-role' && {order: {kind: 'set-role', role: 'decode'}}),
		});
	const advanceChange = (changeId: string, from: 'planned' | 'draining' | 'ordering', to: 'draining' | 'ordering' | 'finished'): CommandOutcome =>
		apply({
			kind: 'advance-change', changeId, from, to, message: '', at: 1,
		});

	beforeEach(() => {
		state = new ControlState();
		index = 0;
		for (const endpoint of ['a', 'b', 'c', 'd']) {
			apply({kind: 'grant-epoch', record: createRecord(endpoint)});
		}
	});

	it('accepts only one of two changes that expect the same version', () => {
		expect(putContract('c1', 0).ok).to.equal(true);
		expect(putContract('c2', 0)).to.include({ok: false, code: 'conflict'});
	});

	it('returns the first outcome for a resent change, also after a snapshot, and refuses different content under the same change id', () => {
		const first = putContract('c1', 0);
		const restored = new ControlState();
		const text = JSON.stringify(state.createSnapshot());
		restored.restoreSnapshot(JSON.parse(text));
		state = restored;
		expect(putContract('c1', 0)).to.deep.equal(first);
		expect(putContract('c1', 0, {...createContract('cuenca'), share: 2})).to.include({ok: false, code: 'reused-change-id'});
	});

	it('refuses an API key that another workspace uses', () => {
		putContract('c1', 0);
		expect(putContract('c2', 0, createContract('maraval', 'cuenca'))).to.include({ok: false, code: 'refused'});
	});

	it('increments the epoch for a new agent incarnation and keeps it for the same one', () => {
		expect(state.endpoints.get('a')!.epoch).to.equal(1);
		apply({kind: 'grant-epoch', record: createRecord('a')});
		expect(state.endpoints.get('a')!.epoch).to.equal(1);
		apply({kind: 'grant-epoch', record: createRecord('a', 'i2')});
		expect(state.endpoints.get('a')!.epoch).to.equal(2);
	});

	it('advances a change only from its current step and updates the directive together with the step', () => {
		startChange('x', 'a', 'set-role');
		expect(advanceChange('x', 'draining', 'ordering')).to.include({ok: false, code: 'conflict'});
		advanceChange('x', 'planned', 'draining');
		expect(state.readDirective('a').phase).to.equal('draining');
		expect(advanceChange('x', 'planned', 'draining').ok, 'a repeated step is idempotent').to.equal(true);
		expect(advanceChange('x', 'draining', 'finished')).to.include({ok: false, code: 'invalid'});
	});

	it('cancels a change that is draining and refuses to cancel one that is ordering', () => {
		startChange('x', 'a', 'set-role');
		advanceChange('x', 'planned', 'draining');
		expect(apply({kind: 'cancel-change', changeId: 'x', at: 2}).ok).to.equal(true);
		expect(state.readDirective('a').phase).to.equal('serving');
		startChange('y', 'a', 'set-role');
		advanceChange('y', 'planned', 'draining');
		advanceChange('y', 'draining', 'ordering');
		expect(apply({kind: 'cancel-change', changeId: 'y', at: 3})).to.include({ok: false, code: 'refused'});
	});

	it('limits the number of open changes and keeps the minimum capacity', () => {
		startChange('x', 'a');
		startChange('y', 'b');
		expect(startChange('z', 'c')).to.include({ok: false, code: 'refused'});
		for (const id of ['x', 'y']) {
			advanceChange(id, 'planned', 'draining');
			advanceChange(id, 'draining', 'finished');
		}

		startChange('z2', 'c');
		advanceChange('z2', 'planned', 'draining');
		expect((startChange('w', 'd') as {message: string}).message).to.contain('minimumPerModel');
	});

	it('counts a repeated crash report once', () => {
		const report = {
			kind: 'report-crash', reportId: 'r1', endpoint: 'a', suspects: [{fingerprint: 'f', workspace: 't'}], at: 0,
		} as const;
		apply({...report, suspects: [...report.suspects]});
		apply({...report, suspects: [...report.suspects]});
		expect(state.quarantine.read('f')!.crashes).to.equal(1);
	});

	it('tells entries of a part of prompts that is quarantined, and that it was cleared', () => {
		for (const index of [1, 2, 3]) {
			apply({
				kind: 'report-crash', reportId: `r${index}`, endpoint: 'a', suspects: [{fingerprint: `f${index}`, workspace: 't', parts: ['bad']}], at: index,
			});
		}

		const readState = () => (state.items.read('quarantine/part:bad')!.value as {entry: {state: string}}).entry.state;
		expect(readState()).to.equal('quarantined');
		apply({kind: 'clear-parts', parts: ['bad', 'unknown'], at: 10});
		expect(readState()).to.equal('cleared');
	});

	it('validates settings', () => {
		expect(apply({
			kind: 'put-setting', changeId: 's1', expectedVersion: 0, name: 'changes.atOnce', value: 0,
		})).to.include({ok: false, code: 'invalid'});
		expect(apply({
			kind: 'put-setting', changeId: 's2', expectedVersion: 0, name: 'changes.atOnce', value: 5,
		}).ok).to.equal(true);
		expect(state.readSetting('changes.atOnce').value).to.equal(5);
	});
});
