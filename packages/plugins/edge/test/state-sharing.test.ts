import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EndpointRegistry} from '@hickorytrack/endpoint-registry';
import {EngineProfile} from '@hickorytrack/engine-profile';
import {EventLog} from '@hickorytrack/events';
import type {Mesh} from '@hickorytrack/mesh';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {PoisonRequestTracker} from '../src/poison-request-tracker.js';
import {ServerHealth} from '../src/server-health.js';
import {StateSharing} from '../src/state-sharing.js';

type Handler = (params: unknown, connection: unknown) => unknown;

/** What an edge shares, without a network. */
class Instance {
	readonly poisonRequests: PoisonRequestTracker;
	readonly handlers = new Map<string, Handler>();
	connect!: (connection: PeerConnection) => Promise<void>;

	constructor(clock: ManualClock) {
		this.poisonRequests = new PoisonRequestTracker(clock);
		const mesh = {
			peers: {member: {address: 'a', roles: []}, handle: (method: string, handler: Handler) => this.handlers.set(method, handler)},
			onConnected: (listener: (connection: PeerConnection) => Promise<void>) => {
				this.connect = listener;
			},
			listConnections: () => [],
		};
		const sharing = new StateSharing({
			clock, events: new EventLog({clock}), mesh: mesh as unknown as Mesh, registry: new EndpointRegistry({clock, reportTimeoutMs: 1000}), loadTracker: new LoadTracker(clock), cacheIndex: new PrefixCacheIndex({getKvCapacity: () => 0}), partUsage: new PartUsage(clock), context: {profile: new EngineProfile(), health: new ServerHealth(clock), poisonRequests: this.poisonRequests},
		});
		expect(sharing.relay).to.equal(undefined);
	}
}

describe('state sharing', () => {
	// Guards against an edge that starts after a poison request has crashed servers, and sends it to further ones.
	it('tells an instance that connects about the requests that crash servers', async () => {
		const clock = new ManualClock();
		const [informed, started] = [new Instance(clock), new Instance(clock)];
		informed.poisonRequests.recordCrash('f', 'server/1');
		informed.poisonRequests.recordCrash('f', 'server/2');
		const connection = {
			remote: {address: 'b'},
			notify(method: string, params: unknown) {
				started.handlers.get(method)!(params, {remote: {address: 'a'}});
			},
			async request() {/* The reports are not looked at here. */},
		} as unknown as PeerConnection;
		await informed.connect(connection);
		expect(started.poisonRequests.isBlocked('f')).to.equal(true);
		await clock.advance(50_000);
		await informed.connect(connection);
		await clock.advance(10_001);
		expect(started.poisonRequests.isBlocked('f')).to.equal(false);
	});
});
