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
	const start = (changeId: string, endpoint: string, changeKind: 'drain' | 'set-role' | 'withdraw' = 'drain'): CommandOutcome =>
		apply({
			kind: 'start-change', changeId, changeKind, endpoint, requestedBy: 'test', at: 0, ...(changeKind === 'set-role' && {order: {kind: 'set-role', role: 'decode'}}),
		});
	const advance = (changeId: string, from: 'planned' | 'draining' | 'ordering', to: 'draining' | 'ordering' | 'finished'): CommandOutcome =>
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

	it('lets one of two changes under an equal version win', () => {
		expect(putContract('c1', 0).ok).to.equal(true);
		expect(putContract('c2', 0)).to.include({ok: false, code: 'conflict'});
	});

	it('gives a resend the first answer, also after a snapshot, and refuses another content', () => {
		const first = putContract('c1', 0);
		const restored = new ControlState();
		const text = JSON.stringify(state.takeSnapshot());
		restored.restoreSnapshot(JSON.parse(text));
		state = restored;
		expect(putContract('c1', 0)).to.deep.equal(first);
		expect(putContract('c1', 0, {...createContract('cuenca'), share: 2})).to.include({ok: false, code: 'reused-change-id'});
	});

	it('does not let two workspaces share a key', () => {
		putContract('c1', 0);
		expect(putContract('c2', 0, createContract('maraval', 'cuenca'))).to.include({ok: false, code: 'refused'});
	});

	it('raises the epoch for a new agent and keeps it for the same one', () => {
		expect(state.endpoints.get('a')!.epoch).to.equal(1);
		apply({kind: 'grant-epoch', record: createRecord('a')});
		expect(state.endpoints.get('a')!.epoch).to.equal(1);
		apply({kind: 'grant-epoch', record: createRecord('a', 'i2')});
		expect(state.endpoints.get('a')!.epoch).to.equal(2);
	});

	it('moves a change only from the step it is at, and writes the directive with the step', () => {
		start('x', 'a', 'set-role');
		expect(advance('x', 'draining', 'ordering')).to.include({ok: false, code: 'conflict'});
		advance('x', 'planned', 'draining');
		expect(state.readDirective('a').phase).to.equal('draining');
		expect(advance('x', 'planned', 'draining').ok, 'a repeated step is idempotent').to.equal(true);
		expect(advance('x', 'draining', 'finished')).to.include({ok: false, code: 'invalid'});
	});

	it('cancels up to the point of no return', () => {
		start('x', 'a', 'set-role');
		advance('x', 'planned', 'draining');
		expect(apply({kind: 'cancel-change', changeId: 'x', at: 2}).ok).to.equal(true);
		expect(state.readDirective('a').phase).to.equal('serving');
		start('y', 'a', 'set-role');
		advance('y', 'planned', 'draining');
		advance('y', 'draining', 'ordering');
		expect(apply({kind: 'cancel-change', changeId: 'y', at: 3})).to.include({ok: false, code: 'refused'});
	});

	it('bounds the number of changes and never goes under the minimum capacity', () => {
		start('x', 'a');
		start('y', 'b');
		expect(start('z', 'c')).to.include({ok: false, code: 'refused'});
		for (const id of ['x', 'y']) {
			advance(id, 'planned', 'draining');
			advance(id, 'draining', 'finished');
		}

		start('z2', 'c');
		advance('z2', 'planned', 'draining');
		expect((start('w', 'd') as {message: string}).message).to.contain('minimumPerModel');
	});

	it('counts a crash report once', () => {
		const report = {
			kind: 'report-crash', reportId: 'r1', endpoint: 'a', suspects: [{fingerprint: 'f', workspace: 't'}], at: 0,
		} as const;
		apply({...report, suspects: [...report.suspects]});
		apply({...report, suspects: [...report.suspects]});
		expect(state.quarantine.read('f')!.crashes).to.equal(1);
	});

	it('checks settings', () => {
		expect(apply({
			kind: 'put-setting', changeId: 's1', expectedVersion: 0, name: 'changes.atOnce', value: 0,
		})).to.include({ok: false, code: 'invalid'});
		expect(apply({
			kind: 'put-setting', changeId: 's2', expectedVersion: 0, name: 'changes.atOnce', value: 5,
		}).ok).to.equal(true);
		expect(state.readSetting('changes.atOnce').value).to.equal(5);
	});
});
