/** A deregistration is final, whatever number a report of another writer has given the server's record. */
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0,
};

describe('the highest sequence number from another writer', () => {
	for (const state of ['ready', 'draining'] as const) {
		it(`does not keep a ${state} server that deregisters`, () => {
			const registry = new EndpointRegistry({clock: new ManualClock(), reportTimeoutMs: 5000});
			registry.recordReport({...report, state, sequence: Number.MAX_SAFE_INTEGER});
			expect(registry.recordDeparture('a', 1000)?.state).to.equal('left');
			expect([registry.find('a')?.state, registry.isUsable(report)]).to.deep.equal(['left', false]);
		});
	}

	it('does not keep a server that another instance says has left', () => {
		const registry = new EndpointRegistry({clock: new ManualClock(), reportTimeoutMs: 5000});
		registry.recordReport({...report, sequence: Number.MAX_SAFE_INTEGER});
		registry.recordReport({...report, state: 'left', sequence: Number.MAX_SAFE_INTEGER});
		expect(registry.isUsable(report)).to.equal(false);
	});
});
