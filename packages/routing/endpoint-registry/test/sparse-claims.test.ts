/**
 * A server whose reports go to its instances in turn. A report that a record holds back changes nothing and is not passed on
 * (`ServerNews.handleReport`), so each instance sees only its own share of them.
 */
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const intervalMs = 1200;
const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0,
};
const foreign = {...report, startedAt: 2000, address: '10.0.0.9:80' as SocketAddress};

describe('a server behind a record that is not its own', () => {
	for (const instances of [1, 2, 3, 7]) {
		it(`is used again within 60 s when it reports to ${instances} instances in turn`, async () => {
			const clock = new ManualClock();
			const registries = Array.from({length: instances}, () => new EndpointRegistry({clock, reportTimeoutMs: 5 * intervalMs}));
			for (const registry of registries) {
				registry.recordReport(report);
				registry.recordReport(foreign);
			}

			for (let sequence = 2; sequence < 52; sequence++) {
				await clock.advance(intervalMs);
				const own = {...report, sequence};
				const first = registries[sequence % instances]!;
				if (first.recordReport(own)) {
					for (const other of registries.filter(registry => registry !== first)) {
						other.recordReport(own);
					}
				}
			}

			expect(registries.map(registry => registry.listUsable('s')[0]?.startedAt)).to.deep.equal(registries.map(() => 1000));
		});
	}
});
