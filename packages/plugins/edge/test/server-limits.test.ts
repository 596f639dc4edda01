import {expect} from 'chai';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import type {Mesh} from '@hickorytrack/mesh';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {Random} from '@hickorytrack/random';
import {SharedRate} from '@hickorytrack/shared-rate';
import {LimitNews, type LimitNote} from '@hickorytrack/shared-rate/limit-news';
import type {GrantReply} from '@hickorytrack/shared-rate/rate-issuer';
import {LimitSharing} from '../src/sharing/limit-sharing.js';
import {RateLimitedEventLog} from '../src/front/rate-limited-event-log.js';
import {computeLimitWaitMs, ServerLimits} from '../src/limits/server-limits.js';

type Handler = (params: unknown, connection: unknown) => unknown;

const server = {id: 's1', startedAt: 1000};
const {signal} = new AbortController();
const anyWait = {call: 'run', maxWaitMs: 10_000, signal} as const;
const noWait = {...anyWait, maxWaitMs: 0};

/** What an edge knows and shares of limits, without a network. */
class Instance {
	readonly news: LimitNews;
	readonly limits: ServerLimits;
	readonly sharing: LimitSharing;
	readonly handlers = new Map<string, Handler>();
	readonly told: LimitNote[] = [];
	readonly address: string;
	readonly roles: readonly string[];
	readonly #network: Network;

	constructor(network: Network, address: string, roles: string[]) {
		this.address = address;
		this.roles = roles;
		this.#network = network;
		const {clock} = network;
		this.news = new LimitNews(clock);
		const mesh = {
			address,
			peers: {member: {address, roles}, handle: (method: string, handler: Handler) => this.handlers.set(method, handler)},
			onConnected() {/* All are connected from the start. */},
			listMembers: (role?: string) => network.instances.filter(other => other !== this && (role === undefined || other.roles.includes(role))),
			findConnection: (other: string) => network.findConnection(this, other),
			listConnections: () => network.instances.map(other => network.findConnection(this, other.address)).filter(connection => connection !== undefined),
			isRefused: (other: string) => network.refused.has(other),
			broadcast: (method: string, params: unknown) => {
				for (const other of network.instances) {
					network.findConnection(this, other.address)?.notify(method as 'limit.note', params as {limits: LimitNote[]});
				}
			},
		};
		this.sharing = new LimitSharing({
			tasks: new BackgroundTasks(),
			clock, mesh: mesh as unknown as Mesh, news: this.news, listLeaves: () => [], onNews: note => {
				this.told.push(note);
			},
		});
		this.limits = new ServerLimits({
			clock, news: this.news, metrics: new MetricsRegistry(), eventLog: new RateLimitedEventLog(clock, new EventLog({clock})), onNews: limited => {
				this.sharing.sendNews(limited);
			}, rate: new SharedRate({
				clock, random: new Random(1), requestGrants: async (subject, request) => this.sharing.requestGrants(subject, request), countInstances: () => 4,
			}),
		});
	}

	/** Whether this instance issues grants for the server. */
	get isIssuer(): boolean {
		const reply = this.handlers.get('limit.acquire')!({
			server: server.id, startedAt: server.startedAt, perSecond: 10, maxDelayMs: 0, count: 1,
		}, undefined);
		return (reply as {isIssuer: boolean}).isIssuer;
	}

	/** Records an answer that names a limit, or none, to a request that was sent a moment ago. */
	recordAnswer(perSecond: number | undefined): void {
		this.limits.recordAnswer(server, perSecond === undefined ? {kind: 'none'} : {kind: 'rate', perSecond}, {callKind: 'run', sentAt: this.#network.clock.monotonic(), isProved: true});
	}

	/** Takes as many grants as it gets without a wait. */
	async drain(): Promise<number> {
		let count = 0;
		for (;;) {
			const grant = await this.limits.acquire(server, noWait);
			if (!grant) {
				return count;
			}

			grant.recordUse();
			count++;
		}
	}
}

/** Connects the instances; the connections can be cut. */
class Network {
	readonly clock = new ManualClock();
	readonly instances: Instance[] = [];
	/** Pairs of addresses that can't reach each other. */
	readonly cut = new Set<string>();
	readonly refused = new Set<string>();
	/** Time until a reply, in milliseconds. */
	delayMs = 0;

	add(address: string, roles: string[]): Instance {
		const instance = new Instance(this, address, roles);
		this.instances.push(instance);
		return instance;
	}

	/** Cuts an instance off from all others. */
	isolate(instance: Instance): void {
		for (const other of this.instances) {
			this.cut.add(`${instance.address} ${other.address}`);
			this.cut.add(`${other.address} ${instance.address}`);
		}
	}

	findConnection(from: Instance, to: string): PeerConnection | undefined {
		const target = this.instances.find(({address}) => address === to);
		if (!target || target === from || this.refused.has(to) || this.cut.has(`${from.address} ${to}`)) {
			return undefined;
		}

		return {
			remote: {instance: target.address, address: to},
			notify(method: string, params: unknown) {
				target.handlers.get(method)!(params, {remote: {instance: from.address, address: from.address}});
			},
			request: async (method: string, params: unknown) => {
				if (this.delayMs > 0) {
					await this.clock.sleep(this.delayMs);
				}

				const value = target.handlers.get(method)!(params, {remote: {address: from.address}}) as GrantReply;
				return {isOk: () => true, isErr: () => false, value};
			},
		} as unknown as PeerConnection;
	}
}

describe('ServerLimits', () => {
	let network: Network;
	let core: Instance[];
	let edges: Instance[];
	/** The member of the core that issues grants for the server. */
	let issuer: Instance;

	beforeEach(async () => {
		network = new Network();
		await network.clock.advance(100);
		core = ['c1', 'c2', 'c3'].map(address => network.add(address, ['core']));
		edges = ['e1', 'e2'].map(address => network.add(address, []));
		edges[0]!.recordAnswer(10);
		await network.clock.advance(100);
		issuer = core.find(member => member.isIssuer)!;
	});

	const countGranted = async (instances: readonly Instance[], seconds: number) => {
		let count = 0;
		for (let step = 0; step < seconds * 20; step++) {
			await network.clock.advance(50);
			for (const instance of instances) {
				count += await instance.drain();
			}
		}

		return count;
	};

	it('lets all edges know of a limit within half a second, and of its end', async () => {
		for (const instance of network.instances) {
			expect(instance.news.find(server), instance.address).to.equal(10);
		}

		edges[1]!.recordAnswer(undefined);
		await network.clock.advance(100);
		for (const instance of network.instances) {
			expect(instance.news.find(server), instance.address).to.equal(undefined);
		}

		expect(core[0]!.told.map(({perSecond}) => perSecond)).to.deep.equal([10, undefined]);
	});

	it('gives the whole rate to one edge, or to several together', async () => {
		expect(await countGranted([edges[0]!], 10)).to.be.within(95, 106);
		expect(await countGranted(network.instances, 10)).to.be.within(95, 106);
	});

	// Two members of the core that did not see each other both issued the whole limit.
	it('issues little more than the limit on both sides of a cut', async () => {
		await countGranted(network.instances, 1);
		network.isolate(issuer);
		const others = network.instances.filter(instance => instance !== issuer);
		expect(await countGranted([issuer], 4) + await countGranted(others, 4)).to.be.below(1.5 * 40);
	});

	it('issues the whole rate once nobody reaches the member that came first', async () => {
		network.isolate(issuer);
		const others = network.instances.filter(instance => instance !== issuer);
		await countGranted(others, 2);
		expect(await countGranted(others, 10)).to.be.within(90, 106);
	});

	it('issues a small part while others reach the member that comes first', async () => {
		const next = core.filter(member => member !== issuer);
		for (const member of next) {
			network.cut.add(`${issuer.address} ${member.address}`);
			network.cut.add(`${member.address} ${issuer.address}`);
		}

		await countGranted(network.instances, 2);
		expect(await countGranted(network.instances, 10)).to.be.below(1.3 * 100);
	});

	it('keeps the whole rate when the issuer has ended', async () => {
		network.refused.add(issuer.address);
		const others = network.instances.filter(instance => instance !== issuer);
		expect(await countGranted(others, 10)).to.be.within(90, 106);
	});

	// With a fixed time-out, an issuer in a far region was unreachable for good.
	it('learns how long replies take', async () => {
		network.delayMs = 250;
		const send = async (edge: Instance, seconds: number) => {
			let count = 0;
			for (let step = 0; step < seconds * 20; step++) {
				void edge.limits.acquire(server, noWait).then(grant => {
					grant?.recordUse();
					count += grant ? 1 : 0;
				});
				await network.clock.advance(50);
			}

			return count;
		};

		await send(edges[0]!, 5);
		expect(await send(edges[0]!, 10)).to.be.above(25);
	});

	it('takes an equal part of the rate at an edge without a core', async () => {
		network.isolate(edges[0]!);
		expect(await countGranted([edges[0]!], 10)).to.be.within(20, 28);
	});

	it('lets the load of a server return gradually, but refuses nothing that no other server takes', async () => {
		await countGranted([edges[0]!], 1);
		edges[0]!.recordAnswer(undefined);
		expect(edges[0]!.limits.isLimited(server)).to.equal(true);
		expect(await edges[0]!.limits.acquire(server, anyWait)).not.to.equal(undefined);
		expect(edges[0]!.limits.estimateWaitMs(server)).to.equal(0);
		const counts = [];
		for (let step = 0; step < 4; step++) {
			counts.push(await countGranted([edges[0]!], 0.4));
		}

		expect(counts).to.deep.equal([...counts].sort((a, b) => a - b));
		expect(counts[0]).to.be.below(20);
		expect(counts[3]).to.be.above(4 * counts[0]!);
		await network.clock.advance(500);
		expect(edges[0]!.limits.isLimited(server)).to.equal(false);
	});

	// A server that names no rate at all would never get the request that shows that it takes some again.
	it('sends a server that names a limit of 0 a request now and then', async () => {
		edges[0]!.recordAnswer(0);
		await network.clock.advance(100);
		expect(await countGranted(network.instances, 20)).to.be.within(4, 6);
	});

	it('lets more urgent requests wait longer', () => {
		const createRequest = (priority: number) => ({route: {objectiveMs: 200, priority: 0}, priority, deadlineAt: 1000}) as unknown as Parameters<typeof computeLimitWaitMs>[0];
		expect([0, 1, 3].map(priority => computeLimitWaitMs(createRequest(priority), 0))).to.deep.equal([80, 40, 20]);
		expect(computeLimitWaitMs(createRequest(0), 2000)).to.equal(0);
	});
});
