import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {ServerConnections} from '../src/server-connections.js';

describe('connections to servers', () => {
	// What was known of addresses that were not used again was kept for good.
	it('keep nothing of addresses that were last used a while ago', async () => {
		const clock = new ManualClock();
		const connections = new ServerConnections({clock, connectTimeoutMs: 500});
		for (let port = 1; port <= 300; port++) {
			const address = `127.0.0.1:${port}`;
			const connection = connections.acquire(address as SocketAddress, {limit: 1, needsVerifiedConnection: false, answerId: 'a'})!;
			connection.idleMsBefore = 1000;
			expect(connections.recordFailure(address as SocketAddress, connection)).to.equal(true);
			connections.recordLateAnswer(address as SocketAddress);
			connections.discard(address as SocketAddress, connection);
			await clock.advance(1000);
		}

		expect(connections.addresses).to.be.at.most(62);
		connections.close();
	});

	// Guards against an entry that was kept for good for each address to which no connection can be opened.
	it('keep nothing of an address to which no connection can be opened', () => {
		const connections = new ServerConnections({clock: new ManualClock(), connectTimeoutMs: 500});
		expect(() => connections.acquire('300.1.1.1:80' as SocketAddress, {limit: 1, needsVerifiedConnection: false, answerId: 'a'})).to.throw();
		expect(connections.addresses).to.equal(0);
	});
});
