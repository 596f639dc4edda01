import {expect} from 'chai';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {CrashAttribution} from '@hickorytrack/crash-attribution';
import {mergeTraits, verdicts} from '@hickorytrack/crash-attribution/run-traits';
import {EndpointRegistry} from '@hickorytrack/endpoint-registry';
import {ExpectedWork} from '@hickorytrack/expected-work';
import {EngineProfile} from '@hickorytrack/engine-profile';
import {EventLog} from '@hickorytrack/events';
import type {Mesh} from '@hickorytrack/mesh';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {ServerHealth} from '../src/calls/server-health.js';
import {StateSharing} from '../src/sharing/state-sharing.js';

type Handler = (params: unknown, connection: unknown) => unknown;

/** What an edge shares, without a network. */
class Instance {
	readonly crashAttribution: CrashAttribution;
	readonly handlers = new Map<string, Handler>();
	readonly addedLeaves: PeerConnection[] = [];
	connect!: (connection: PeerConnection) => Promise<void>;

	constructor(clock: ManualClock) {
		this.crashAttribution = new CrashAttribution({clock});
		const mesh = {
			peers: {member: {address: 'a', roles: []}, handle: (method: string, handler: Handler) => this.handlers.set(method, handler)},
			onConnected: (listener: (connection: PeerConnection) => Promise<void>) => {
				this.connect = listener;
			},
			listConnections: () => [],
		};
		const sharing = new StateSharing({
			tasks: new BackgroundTasks(),
			clock, events: new EventLog({clock}), mesh: mesh as unknown as Mesh, registry: new EndpointRegistry({clock, reportTimeoutMs: 1000}), loadTracker: new LoadTracker(clock), cacheIndex: new PrefixCacheIndex({getKvCapacity: () => 0}), partUsage: new PartUsage(clock), context: {profile: new EngineProfile(), expectedWork: new ExpectedWork(clock), health: new ServerHealth(clock)}, crashAttribution: this.crashAttribution, crashReports: {
				mergeCrash: report => this.crashAttribution.recordCrash(report),
				mergeSound: sound => {
					this.crashAttribution.mergeSound(sound);
				},
			},
			onLeaving() {
				// No server leaves here.
			},
			onLeafAdded: leaf => {
				this.addedLeaves.push(leaf);
			},
		});
		expect(sharing.relay).to.equal(undefined);
	}
}

describe('state sharing', () => {
	// A leaf that its relay had dropped for a moment, on a connection that stayed open, never heard of the crashes of that time:
	// relays pass crashes on to those that they count as their leaves, and only the reports of servers were sent again.
	it('tells a leaf about the requests that crash servers whenever it is added', async () => {
		const clock = new ManualClock();
		const [relay, leaf] = [new Instance(clock), new Instance(clock)];
		const run = {request: 'f', parts: ['bad']};
		const connection = {
			remote: {address: 'b', instance: 'b'}, isOpen: true,
			notify(method: string, params: unknown) {
				leaf.handlers.get(method)!(params, {remote: {address: 'a'}});
			},
		} as unknown as PeerConnection;
		const share = {
			instance: 'b', scope: 'leaf', servers: [], stored: [],
		};
		relay.handlers.get('load.share')!(share, connection);
		for (const id of ['server/1', 'server/2']) {
			relay.crashAttribution.recordCrash({id, traits: mergeTraits([run])});
		}

		expect(leaf.crashAttribution.checkRun(run).verdict).to.equal(verdicts.allowed);
		relay.handlers.get('load.share')!(share, connection);
		expect(relay.addedLeaves).to.have.length(1);
		// The relay drops a leaf that it has not heard of for a second.
		await clock.advance(1500);
		relay.handlers.get('crash.note')!({id: 'server/3', traits: mergeTraits([{request: 'g', parts: []}])}, {remote: {address: 'c'}});
		relay.handlers.get('load.share')!(share, connection);
		expect(relay.addedLeaves).to.have.length(2);
		expect(leaf.crashAttribution.checkRun(run).verdict).to.equal(verdicts.refused);
		expect(leaf.crashAttribution.listCrashes().map(({id}) => id)).to.include('server/3');
	});

	// Guards against an edge that starts after a poison request has crashed servers, and sends it to further ones.
	it('tells an instance that connects about the requests that crash servers', async () => {
		const clock = new ManualClock();
		const [informed, started] = [new Instance(clock), new Instance(clock)];
		const run = {request: 'f', parts: ['bad']};
		for (const id of ['server/1', 'server/2']) {
			informed.crashAttribution.recordCrash({id, traits: mergeTraits([run])});
		}

		const connection = {
			remote: {address: 'b'},
			notify(method: string, params: unknown) {
				started.handlers.get(method)!(params, {remote: {address: 'a'}});
			},
			async request() {/* The reports are not looked at here. */},
		} as unknown as PeerConnection;
		await informed.connect(connection);
		expect(started.crashAttribution.checkRun(run).verdict).to.equal(verdicts.refused);
		await clock.advance(8000);
		informed.crashAttribution.recordTrial('request:f');
		await informed.connect(connection);
		await clock.advance(4999);
		expect(started.crashAttribution.checkRun(run).verdict).to.equal(verdicts.refused);
		await clock.advance(1);
		expect(started.crashAttribution.checkRun(run).verdict).to.equal(verdicts.trial);
		informed.crashAttribution.recordSound(run);
		informed.crashAttribution.recordCrash({id: 'server/3', traits: mergeTraits([{request: 'g', parts: ['bad']}])});
		await informed.connect(connection);
		expect(started.crashAttribution.listCrashes().map(({id}) => id)).to.include('server/3');
	});
});
