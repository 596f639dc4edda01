import {expect} from 'chai';
import {countFreeSlots} from '@hickorytrack/admission-queue/slot-share';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {Random} from '@hickorytrack/random';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {CallerRequest} from '../src/front/caller-request.js';
import {ReturningCallers} from '../src/limits/returning-callers.js';
import {ServerPauses} from '../src/limits/server-pauses.js';
import {ServiceAdmission} from '../src/limits/service-admission.js';
import {RetryFleet, WholeMsClock} from './retry-fleet.js';

const server: KnownServer = {
	id: 's', startedAt: 1, sequence: 1, service: 'plain', address: '127.0.0.1:1' as SocketAddress, availabilityZone: 'z', slots: 4, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
};
/** Requests beyond which others wait. */
const fullLoad = countFreeSlots({slots: server.slots, requests: 0});
const request = {
	service: 'plain', route: {name: 'r'}, workspace: 'a', priority: 1, metadata: {}, signal: new AbortController().signal,
} as unknown as CallerRequest;

describe('admission to services', () => {
	const createAdmission = (isEnabled: boolean | (() => boolean), {servers = [server], openMs = 0}: {servers?: KnownServer[]; openMs?: number} = {}) => {
		const clock = new ManualClock();
		const loadTracker = new LoadTracker(clock);
		const pauses = new ServerPauses({clock, loadTracker});
		const admission = new ServiceAdmission({
			clock, random: new Random(1), loadTracker, metrics: new MetricsRegistry(), isEnabled: () => typeof isEnabled === 'function' ? isEnabled() : isEnabled, listServers: () => openMs === 0 ? pauses.selectOpen(servers) : [], findMaxRequests: each => pauses.findMaxRequests(each), estimateOpenMs: () => servers.length === 0 ? undefined : openMs, countInstances: () => 1,
		});
		return {
			clock, loadTracker, pauses, admission,
		};
	};

	// Guards against a change for deployments that did not ask for the queue.
	it('sends everything at once where it is not in force', () => {
		const {loadTracker, admission} = createAdmission(false);
		for (let count = 0; count < 100; count++) {
			loadTracker.add('s', 0);
		}

		expect(admission.acquire(request, 1)).to.equal('admitted');
		expect(admission.computeReturnMs('plain', 150)).to.equal(150);
	});

	// Guards against a request that waits for good: an attempt that ends is the news of a free slot.
	it('admits a waiting request once an attempt of this instance has ended', async () => {
		const {clock, loadTracker, admission} = createAdmission(true);
		const loads = Array.from({length: fullLoad}, () => loadTracker.add('s', 0));
		const decided = admission.acquire(request, 1000);
		expect(admission.countWaiting('plain')).to.equal(1);
		for (const load of loads) {
			load.release();
		}

		admission.recordEnd(request, 30);
		expect(await decided).to.equal('admitted');
		await clock.advance(100);
		expect(admission.countWaiting('plain')).to.equal(0);
	});

	it('refuses a request whose time is too short before it waits', () => {
		const {loadTracker, admission} = createAdmission(true);
		for (let count = 0; count < fullLoad; count++) {
			loadTracker.add('s', 0);
		}

		expect(admission.acquire(request, 40)).to.equal('late');
	});

	// Guards against requests that wait until their deadline although no server is known, or all of them pause for longer.
	it('lets no request wait that no server can answer in time', () => {
		expect(createAdmission(true, {servers: []}).admission.acquire(request, 1000)).to.equal('admitted');
		expect(createAdmission(true, {openMs: 950}).admission.acquire(request, 1000)).to.equal('late');
		expect(createAdmission(true, {openMs: 500}).admission.acquire(request, 1000)).to.be.a('promise');
	});

	// Guards against memory that grows with each configuration that names its routes anew.
	it('forgets the routes of former configurations', () => {
		const {loadTracker, admission} = createAdmission(true);
		for (let count = 0; count < fullLoad; count++) {
			loadTracker.add('s', 0);
		}

		for (let count = 0; count < 200; count++) {
			admission.recordEnd(request, 1);
		}

		admission.retain({routes: [request.route], services: []});
		expect(admission.acquire(request, 60)).to.be.a('promise');
		admission.retain({routes: [], services: []});
		expect(admission.acquire(request, 60)).to.equal('late');
		expect(admission.countWaiting('plain')).to.equal(1);
	});

	// Guards against requests that wait for good because the configuration loses its workspaces meanwhile.
	it('goes on to admit and to refuse those that wait when it is no longer in force', async () => {
		const settings = {isEnabled: true};
		const {clock, loadTracker, admission} = createAdmission(() => settings.isEnabled);
		const loads = Array.from({length: fullLoad}, () => loadTracker.add('s', 0));
		const admitted = admission.acquire(request, 1000);
		settings.isEnabled = false;
		expect(admission.acquire(request, 1)).to.equal('admitted');
		loads[0]!.release();
		await clock.advance(20);
		expect(await admitted).to.equal('admitted');
		settings.isEnabled = true;
		loadTracker.add('s', 0);
		const refused = admission.acquire(request, 1000);
		settings.isEnabled = false;
		await clock.advance(1000);
		expect(await refused).to.equal('late');
	});

	// Guards against requests that are admitted together when a pause ends, of which the server may have only the first.
	it('admits no more than a server may have whose load returns after a pause', async () => {
		const {clock, loadTracker, pauses, admission} = createAdmission(true);
		pauses.record(server, 100);
		const found: number[] = [];
		const requests = Array.from({length: 4}, async () => {
			expect(await admission.acquire(request, 2000)).to.equal('admitted');
			found.push(pauses.selectOpen([server]).length);
			loadTracker.add('s', 0);
		});
		await clock.advance(400);
		await Promise.all(requests);
		expect(found).to.deep.equal([1, 1, 1, 1]);
	});

	// Guards against work that looks like nothing once servers shed load, so that requests wait until their answers are late.
	it('learns the work of requests from answers alone, not from refusals', async () => {
		const clock = new WholeMsClock();
		const fleet = new RetryFleet(clock, new Random(5));
		fleet.startEdge(0, {isFirstStart: true, countInstances: () => 1});
		fleet.faults.set('run', {rejectsAtOnce: 0.4, rejectsLate: 0.2});
		await fleet.run(5000, {intervalMs: 30, streamFraction: 0});
		await clock.advance(10_000);
		const answered = fleet.arrivals.filter(({isRejected}) => !isRejected);
		expect(answered.length).to.be.within(20, fleet.arrivals.length / 2);
		expect(fleet.runTimes).to.have.length(fleet.arrivals.length);
		expect(fleet.runTimes.filter(runMs => runMs !== undefined)).to.have.length(answered.length);
		expect(fleet.workSamples.filter(Boolean)).to.have.length(answered.length);
	});

	// A server that answers 404 at once would pass for a fast one and get the requests of the others.
	for (const errorStatus of [404, 500]) {
		it(`learns neither work nor speed from answers of status ${errorStatus}`, async () => {
			const clock = new WholeMsClock();
			const fleet = new RetryFleet(clock, new Random(5));
			fleet.startEdge(0, {isFirstStart: true, countInstances: () => 1});
			fleet.faults.set('run', {errorStatus});
			await fleet.run(2000, {intervalMs: 30, streamFraction: 0});
			await clock.advance(10_000);
			expect(fleet.workSamples.length).to.be.above(20);
			expect(fleet.workSamples.filter(Boolean)).to.deep.equal([]);
			expect(fleet.runTimes.filter(runMs => runMs !== undefined)).to.deep.equal([]);
		});
	}
});

describe('the speed of model servers', () => {
	// A server that refuses at once passed for one that prefills a prompt in 2 ms, and for a holder of the prompt.
	it('is not learned from refusals', async () => {
		const clock = new WholeMsClock();
		const fleet = new RetryFleet(clock, new Random(5));
		fleet.startEdge(0, {isFirstStart: true, countInstances: () => 1});
		fleet.faults.set('run', {errorStatus: 503});
		await fleet.run(2000, {intervalMs: 30, streamFraction: 1});
		await clock.advance(10_000);
		expect(fleet.arrivals.filter(({isPrefill}) => !isPrefill).length).to.be.above(20);
		expect(fleet.firstByteTimes).to.deep.equal([]);
		fleet.faults.clear();
		await fleet.run(2000, {intervalMs: 30, streamFraction: 1});
		await clock.advance(10_000);
		expect(fleet.firstByteTimes.length).to.be.above(20);
	});
});

describe('callers that return', () => {
	it('are told from new ones by the time for which they still wait', () => {
		const callers = new ReturningCallers();
		expect([1500, 1500, 1200, 1490, undefined].map(waitMs => callers.record('r', waitMs))).to.deep.equal([false, false, true, false, false]);
		callers.retain(new Set());
		expect(callers.record('r', 1200)).to.equal(false);
	});
});
