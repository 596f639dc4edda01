import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {ServerPauses} from '../src/limits/server-pauses.js';

describe('server pauses', () => {
	let clock: ManualClock;
	let loadTracker: LoadTracker;
	let pauses: ServerPauses;
	const server: KnownServer = {
		id: 's1', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 8, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
	};
	const other = {...server, id: 's2'};

	beforeEach(() => {
		clock = new ManualClock();
		loadTracker = new LoadTracker(clock);
		pauses = new ServerPauses({clock, loadTracker});
	});

	// Requests were sent to a server that had asked for a time without any.
	it('leaves out a server for the time that it asked for, and no other one', async () => {
		pauses.record(server, 2000);
		expect(pauses.selectOpen([server, other])).to.deep.equal([other]);
		await clock.advance(1999);
		expect(pauses.isPaused(server)).to.equal(true);
		expect(pauses.selectOpen([server])).to.deep.equal([]);
		await clock.advance(1);
		expect(pauses.isPaused(server)).to.equal(false);
		expect(pauses.selectOpen([server, other])).to.deep.equal([server, other]);
	});

	it('keeps the longer of two pauses', async () => {
		pauses.record(server, 2000);
		pauses.record(server, 100);
		await clock.advance(1000);
		expect(pauses.isPaused(server)).to.equal(true);
		pauses.record(server, 5000);
		await clock.advance(4999);
		expect(pauses.isPaused(server)).to.equal(true);
	});

	it('ends with the start of the server that asked for it', () => {
		pauses.record(server, 2000);
		const restarted = {...server, startedAt: 2000};
		expect(pauses.isPaused(restarted)).to.equal(false);
		expect(pauses.selectOpen([restarted])).to.deep.equal([restarted]);
	});

	// All instances that had waited for the end would send what they have at once.
	it('lets the load return over a time as long as the pause', async () => {
		pauses.record(server, 2000);
		await clock.advance(2000);
		expect(pauses.selectOpen([server])).to.deep.equal([server]);
		const loads = [loadTracker.add(server.id, 0)];
		expect(pauses.selectOpen([server])).to.deep.equal([]);
		await clock.advance(1000);
		for (let count = 1; count < 4; count++) {
			expect(pauses.selectOpen([server])).to.deep.equal([server]);
			loads.push(loadTracker.add(server.id, 0));
		}

		expect(pauses.selectOpen([server])).to.deep.equal([]);
		await clock.advance(1000);
		expect(pauses.selectOpen([server])).to.deep.equal([server]);
	});

	it('tells when the first of several servers takes requests again', async () => {
		pauses.record(server, 2000);
		pauses.record(other, 3000);
		await clock.advance(500);
		expect(pauses.estimateWaitMs([server, other])).to.equal(1500);
		expect(pauses.estimateWaitMs([server, other, {...server, id: 's3'}])).to.equal(0);
		expect(pauses.estimateWaitMs([])).to.equal(0);
	});

	it('cuts a pause that is too long to be meant', async () => {
		pauses.record(server, 1e12);
		await clock.advance(600_000);
		expect(pauses.isPaused(server)).to.equal(false);
	});
});
