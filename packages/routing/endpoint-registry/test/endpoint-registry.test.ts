import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80', availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0,
};

describe('endpoint registry', () => {
	let clock: ManualClock;
	let registry: EndpointRegistry;
	const listIds = () => registry.listUsable('s').map(server => server.id);

	beforeEach(() => {
		clock = new ManualClock();
		registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
		registry.recordReport(report);
	});

	it('orders the reports of one incarnation by sequence number', () => {
		expect(registry.recordReport({...report, sequence: 3, state: 'draining'})).to.equal(true);
		expect(registry.recordReport({...report, sequence: 2})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
	});

	it('accepts a new incarnation under the same id, whose sequence starts again', () => {
		registry.recordReport({...report, sequence: 9, state: 'draining'});
		expect(registry.recordReport({...report, startedAt: 2000, sequence: 1})).to.equal(true);
		expect(listIds()).to.deep.equal(['a']);
		expect(registry.recordReport({...report, sequence: 10})).to.equal(false);
	});

	it('excludes a server until its reports show the stage that it was ordered to change to', async () => {
		const model: ServerReport = {...report, stage: 'decode', sequence: 2};
		registry.recordReport(model);
		registry.setPendingStage('a', {startedAt: 1000, stage: 'prefill'});
		expect(listIds()).to.deep.equal([]);
		expect(registry.listReady('s')).to.have.length(1);
		registry.recordReport({...model, sequence: 3});
		expect(registry.findPendingStage(registry.find('a')!)).to.equal('prefill');
		registry.recordReport({...model, sequence: 4, stage: 'prefill'});
		expect(listIds()).to.deep.equal(['a']);
		registry.setPendingStage('a', {startedAt: 1000, stage: 'decode'});
		registry.recordReport({
			...model, startedAt: 2000, sequence: 1, stage: 'prefill',
		});
		expect(listIds(), 'a new incarnation has no pending stage').to.deep.equal(['a']);
		registry.setPendingStage('a', {startedAt: 2000, stage: 'decode'});
		for (let sequence = 2; sequence < 9; sequence++) {
			await clock.advance(2000);
			registry.recordReport({
				...model, startedAt: 2000, sequence, stage: 'prefill',
			});
		}

		expect(listIds(), 'a pending stage that is never reported expires').to.deep.equal(['a']);
	});

	it('does not restore a server that has left on a late report', () => {
		registry.recordDeparture('a', 1000);
		expect(registry.recordReport({...report, sequence: 50})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, startedAt: 3000});
		expect(registry.recordDeparture('a', 1000)).to.equal(undefined);
		expect(listIds()).to.deep.equal(['a']);
	});

	it('assigns an address to the server that started last at it', () => {
		registry.recordReport({
			...report, id: 'b', startedAt: 2000, service: 't',
		});
		expect(listIds()).to.deep.equal([]);
		expect(registry.isUsable(report)).to.equal(false);
		expect(registry.recordReport({...report, sequence: 8})).to.equal(false);
	});

	it('orders servers that report no start time by when they became known', () => {
		const first = {
			...report, startedAt: 0, address: '10.0.0.2:80', id: 'first',
		};
		registry.recordReport(first);
		registry.recordReport({...first, id: 'second'});
		expect(registry.recordReport({...first, sequence: 9})).to.equal(false);
		expect(listIds()).to.deep.equal(['a', 'second']);
	});

	it('stops using a server that no longer reports', async () => {
		await clock.advance(5001);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, sequence: 2});
		expect(listIds()).to.deep.equal(['a']);
	});
});
