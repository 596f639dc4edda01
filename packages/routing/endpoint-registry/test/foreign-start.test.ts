/** A report of another writer with a later start time, at the server's own id and address. */
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0,
};
const foreign = {...report, startedAt: Number.MAX_SAFE_INTEGER};

/** The server goes on reporting each second, and answers what it is sent by the foreign record. */
async function runBeside(registry: EndpointRegistry, clock: ManualClock, {seconds}: {seconds: number}): Promise<void> {
	for (let second = 1; second <= seconds; second++) {
		await clock.advance(1000);
		registry.recordReport({...report, sequence: second + 1});
		for (const server of registry.listUsable('s')) {
			registry.recordAnswer(server);
		}
	}
}

describe('a later start time from another writer', () => {
	it('does not hold back the reports of a server that answers', async () => {
		const clock = new ManualClock();
		const registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
		registry.recordReport(report);
		registry.recordReport(foreign);
		await runBeside(registry, clock, {seconds: 60});
		expect(registry.find('a')?.startedAt).to.equal(1000);
	});

	it('does not keep a server in use that answers, reports that it drains and deregisters', async () => {
		const clock = new ManualClock();
		const registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
		registry.recordReport(report);
		registry.recordReport(foreign);
		await runBeside(registry, clock, {seconds: 60});
		// Both calls get 200, which acknowledges them.
		registry.recordReport({...report, sequence: 100, state: 'draining'});
		registry.recordDeparture('a', 1000);
		expect(registry.listUsable('s').map(({id}) => id)).to.deep.equal([]);
	});
});
