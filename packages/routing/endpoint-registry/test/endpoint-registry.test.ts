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

	it('orders the reports of one start by their sequence', () => {
		expect(registry.recordReport({...report, sequence: 3, state: 'draining'})).to.equal(true);
		expect(registry.recordReport({...report, sequence: 2})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
	});

	it('takes a new start under the same id, whose sequence begins anew', () => {
		registry.recordReport({...report, sequence: 9, state: 'draining'});
		expect(registry.recordReport({...report, startedAt: 2000, sequence: 1})).to.equal(true);
		expect(listIds()).to.deep.equal(['a']);
		expect(registry.recordReport({...report, sequence: 10})).to.equal(false);
	});

	it('leaves a server out until its reports show the stage that it was ordered to have', async () => {
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
		expect(listIds(), 'a new start has no order').to.deep.equal(['a']);
		registry.setPendingStage('a', {startedAt: 2000, stage: 'decode'});
		for (let sequence = 2; sequence < 9; sequence++) {
			await clock.advance(2000);
			registry.recordReport({
				...model, startedAt: 2000, sequence, stage: 'prefill',
			});
		}

		expect(listIds(), 'an order that never acts is given up').to.deep.equal(['a']);
	});

	it('is not revived by a late report after it left', () => {
		registry.recordDeparture('a', 1000);
		expect(registry.recordReport({...report, sequence: 50})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, startedAt: 3000});
		expect(registry.recordDeparture('a', 1000)).to.equal(undefined);
		expect(listIds()).to.deep.equal(['a']);
	});

	it('gives an address to the server that started last at it', () => {
		registry.recordReport({
			...report, id: 'b', startedAt: 2000, service: 't',
		});
		expect(listIds()).to.deep.equal([]);
		expect(registry.isUsable(report)).to.equal(false);
		expect(registry.recordReport({...report, sequence: 8})).to.equal(false);
	});

	it('orders servers that do not tell their start by the time at which they became known', () => {
		const first = {
			...report, startedAt: 0, address: '10.0.0.2:80', id: 'first',
		};
		registry.recordReport(first);
		registry.recordReport({...first, id: 'second'});
		expect(registry.recordReport({...first, sequence: 9})).to.equal(false);
		expect(listIds()).to.deep.equal(['a', 'second']);
	});

	it('no longer uses a server that is silent', async () => {
		await clock.advance(5001);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, sequence: 2});
		expect(listIds()).to.deep.equal(['a']);
	});
});
