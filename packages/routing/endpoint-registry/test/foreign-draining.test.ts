/** One report of another writer that names the address of a sound server, and says that it drains. */
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0,
};

describe('a draining report of another writer at the address of a sound server', () => {
	for (const state of ['ready', 'draining'] as const) {
		it(`yields to the server that goes on reporting (${state})`, async () => {
			const clock = new ManualClock();
			const registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
			registry.recordReport(report);
			registry.recordReport({
				...report, id: 'b', startedAt: 2000, state,
			});
			for (let second = 1; second <= 30; second++) {
				await clock.advance(1000);
				registry.recordReport({...report, sequence: second + 1});
			}

			expect(registry.listUsable('s').map(({id}) => id)).to.deep.equal(['a']);
		});
	}
});
