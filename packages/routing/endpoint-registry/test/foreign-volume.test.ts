/** Reports of thousands of servers, all at one address, as another writer may send them: each changed report lets the next choice list them all again. */
import {performance} from 'node:perf_hooks';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0,
};

function measureListing(count: number, createAddress: (index: number) => string): number {
	const registry = new EndpointRegistry({clock: new ManualClock(), reportTimeoutMs: 5000});
	for (let index = 0; index < count; index++) {
		registry.recordReport({
			...report, id: `a${index}`, startedAt: index + 1, address: createAddress(index) as SocketAddress,
		});
	}

	const startedAt = performance.now();
	registry.listReady('s');
	return performance.now() - startedAt;
}

describe('listing many servers', () => {
	it('takes less than 100 ms with 3000 servers at as many addresses', () => {
		expect(measureListing(3000, index => `10.0.${Math.floor(index / 250)}.${index % 250}:80`)).to.be.below(100);
	});

	it('takes less than 100 ms with 3000 servers at one address', () => {
		expect(measureListing(3000, () => '10.0.0.1:80')).to.be.below(100);
	});
});
