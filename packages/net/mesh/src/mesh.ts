/**
 * Membership and links between all instances. Each instance is configured with a few seed addresses. It connects to them,
 * exchanges member lists, and keeps persistent links to other members. Links send their own heartbeats, so a link on which
 * nothing arrives is closed and reopened. A member that stays unreachable is removed.
 *
 * A few instances form a full mesh. With many of them, the number of links would grow with its square, so the members with
 * the hub role become hubs: every instance links to every hub, hubs to each other, and nobody to the rest. The cost of an
 * instance that is no hub then depends on the number of hubs only. Hubs know every member from its link; the others ask a
 * hub regularly for the hubs and the number of members.
 */
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {PersistentLink, PeerNode} from '@hickorytrack/peer-link/peer-node';
import {
	peerFeatures, type PeerMember, type PeerMethodName, type PeerMethods,
} from '@hickorytrack/types/peer-methods';
import {RecentMaximum} from './recent-maximum.js';

export type MeshOptions = {
	peers: PeerNode;
	clock: Clock;
	events: EventLog;
	/** Configured peer addresses to connect to first; some may be wrong or no longer in use. */
	seeds: readonly string[];
	/** Links are opened to members with one of these roles. Members without one open connections but receive none. */
	linkedRoles: readonly string[];
	/** Members with this role are the hubs of a large mesh; without it the mesh is always full. */
	hubRole?: string;
	/** Without it, errors of tasks and listeners are printed as warnings. */
	tasks?: BackgroundTasks;
};

/** A member that is not a seed is removed after it has been unreachable for this long. */
const unreachableMemberTtlMs = 30_000;
/** With more peers than this, hubs are used. */
export const maxFullMeshPeers = 8;
/** The mesh becomes a full one again only with this many peers fewer, so that one instance that comes and goes changes nothing. */
const hubModeHysteresis = 2;
/** Interval at which an instance asks another one for members. */
const refreshIntervalMs = 1000;
/**
 * After a stop of all machines the members start a little apart. The core elects no leader, and nobody serves, before a
 * majority has found each other, so a member that does not respond is soon tried again. A connection opens in milliseconds.
 */
const connectTimeoutMs = 250;
const reconnectCapMs = 300;
/** The number of members that a hub has told counts for this time. */
const memberCountTtlMs = 5000;
/** An instance that can't be reached may be cut off and still running; a cut is taken to end within this time. */
const memberMemoryMs = 120_000;

type MemberEntry = {
	member?: PeerMember;
	link?: PersistentLink;
	/** The newest connection that the member has opened. */
	incoming?: PeerConnection;
	lastReachableAt: number;
	/** The last attempt to connect was refused: no process listens there. */
	isRefused?: boolean;
};

export class Mesh {
	readonly peers: PeerNode;
	readonly #opts: MeshOptions;
	readonly #tasks: BackgroundTasks;
	readonly #entries = new Map<string, MemberEntry>();
	readonly #listeners: Array<(connection: PeerConnection) => Promise<void> | void> = [];
	/** Numbers of members that hubs have told, by hub. */
	readonly #reportedCounts = new Map<string, {count: number; heardAt: number}>();
	readonly #highestCount: RecentMaximum;
	readonly #abortController = new AbortController();
	#seeds: readonly string[];
	#isStarted = false;
	#usesHubs = false;
	#refreshes = 0;

	constructor(opts: MeshOptions) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
		this.peers = opts.peers;
		this.#seeds = opts.seeds;
		this.#highestCount = new RecentMaximum(opts.clock, memberMemoryMs);
		this.peers.handle('mesh.exchange', ({members}, connection) => this.#handleExchange(members, connection));
	}

	/** Address at which other instances connect to this one. */
	get address(): string {
		return this.peers.member.address;
	}

	/** True while the mesh is too large for links between all instances. */
	get usesHubs(): boolean {
		return this.#usesHubs;
	}

	/** Number of instances, this one included, as far as it knows. */
	get memberCount(): number {
		const now = this.#opts.clock.monotonic();
		let count = this.listMembers().length + 1;
		for (const reported of this.#reportedCounts.values()) {
			count = now - reported.heardAt <= memberCountTtlMs ? Math.max(count, reported.count) : count;
		}

		return count;
	}

	/**
	 * The highest number of instances in the last minutes. Limits that all instances share are divided by it, because those
	 * that are cut off from this one use their shares too.
	 */
	get highestMemberCount(): number {
		this.#highestCount.record(this.memberCount);
		return this.#highestCount.value;
	}

	start(): void {
		this.#isStarted = true;
		this.setSeeds(this.#seeds);
		this.#tasks.startUntil(this.#abortController.signal, {task: 'mesh-refresh', clock: this.#opts.clock}, async () => this.#runRefresh());
	}

	/** Replaces the seed addresses, for example after the settings have changed. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
		for (const seed of seeds) {
			this.#getOrCreateEntry(seed);
		}

		this.#updateLinks();
	}

	stop(): void {
		this.#abortController.abort();
		for (const {link} of this.#entries.values()) {
			link?.stop();
		}
	}

	/** Registers a listener that runs for each new connection to a member, also after a reconnect. */
	onConnected(listener: (connection: PeerConnection) => Promise<void> | void): void {
		this.#listeners.push(listener);
	}

	/** Lists the known members except this instance; with `role`, only those that have the role. */
	listMembers(role?: string): PeerMember[] {
		const members = [...this.#entries.values()].map(entry => entry.member).filter(member => member !== undefined);
		return role === undefined ? members : members.filter(member => member.roles.includes(role));
	}

	findMember(address: string): PeerMember | undefined {
		return this.#entries.get(address)?.member;
	}

	/** Returns an open connection to the address, regardless of which side opened it. */
	findConnection(address: string): PeerConnection | undefined {
		const entry = this.#entries.get(address);
		return entry && findOpenConnection(entry);
	}

	/** Tells whether the address refuses connections, so that the member there has ended. One that is silent may still be running. */
	isRefused(address: string): boolean {
		return this.findConnection(address) === undefined && (this.#entries.get(address)?.isRefused ?? false);
	}

	/** Lists one open connection to each linked member. */
	listConnections(): PeerConnection[] {
		return [...this.#entries.values()].map(entry => findOpenConnection(entry)).filter(connection => connection !== undefined);
	}

	/** Sends a notification to every linked member with an open connection. */
	broadcast<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params']): void {
		for (const connection of this.listConnections()) {
			connection.notify(method, params);
		}
	}

	/** Calls every linked member with an open connection and returns the number of calls that failed or timed out. */
	async requestAll<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params'], timeoutMs: number): Promise<number> {
		const replies = await Promise.all(this.listConnections().map(async connection => connection.request(method, params, {timeoutMs})));
		return replies.filter(reply => reply.isErr()).length;
	}

	get #isHub(): boolean {
		return isHub(this.peers.member, this.#opts.hubRole);
	}

	/** Members that another instance needs: all of a small mesh, the hubs of a large one. */
	#listAdvertisedMembers(): PeerMember[] {
		const members = this.#usesHubs ? this.listMembers(this.#opts.hubRole) : this.listMembers();
		return [this.peers.member, ...members];
	}

	#handleExchange(members: readonly PeerMember[], connection: PeerConnection): PeerMethods['mesh.exchange']['result'] {
		const {address} = connection.remote;
		this.#mergeMembers([connection.remote, ...members]);
		const entry = this.#entries.get(address);
		if (entry && entry.incoming !== connection) {
			this.#addIncoming(entry, connection);
		}

		// Numbers that other hubs have told are left out, so that hubs don't confirm an outdated one to each other.
		return {members: this.#listAdvertisedMembers(), count: this.listMembers().length + 1};
	}

	#addIncoming(entry: MemberEntry, connection: PeerConnection): void {
		entry.incoming = connection;
		entry.lastReachableAt = this.#opts.clock.monotonic();
		this.#tasks.start('mesh-incoming-closed', async () => {
			await connection.closed;
			if (entry.incoming === connection) {
				entry.incoming = undefined;
				entry.lastReachableAt = this.#opts.clock.monotonic();
			}
		});
		// In a full mesh the listeners run for the link in the other direction.
		if (!entry.link) {
			this.#tasks.start('mesh-connected', async () => this.#notifyListeners(connection));
		}
	}

	/** A listener that fails keeps neither the others from their call nor the connection from its use. */
	async #notifyListeners(connection: PeerConnection): Promise<void> {
		for (const listener of this.#listeners) {
			await this.#tasks.run('mesh-connected', async () => listener(connection));
		}
	}

	#mergeMembers(members: readonly PeerMember[]): void {
		for (const member of members) {
			if (member.address === '' || member.address === this.address || !member.roles.some(role => this.#opts.linkedRoles.includes(role))) {
				continue;
			}

			const known = this.#entries.get(member.address);
			if (known) {
				known.member = member;
			} else if (this.#isStarted) {
				this.#getOrCreateEntry(member.address).member = member;
				this.#opts.events.emit('memberLearned', {instance: member.instance, address: member.address, roles: member.roles});
			}
		}

		this.#updateLinks();
	}

	#getOrCreateEntry(address: string): MemberEntry {
		let entry = this.#entries.get(address);
		if (!entry) {
			entry = {lastReachableAt: this.#opts.clock.monotonic()};
			this.#entries.set(address, entry);
		}

		return entry;
	}

	/** Opens the links that the size of the mesh calls for and closes the others. */
	#updateLinks(): void {
		if (!this.#isStarted || this.#abortController.signal.aborted) {
			return;
		}

		this.#updateMode();
		const hasHub = this.#isHub || [...this.#entries.values()].some(entry => isHub(entry.member, this.#opts.hubRole) && findOpenConnection(entry));
		for (const [address, entry] of this.#entries) {
			if (this.#needsLink(address, entry, hasHub)) {
				entry.link ??= this.#openLink(address, entry);
			} else if (entry.link) {
				entry.link.stop();
				entry.link = undefined;
			}
		}
	}

	#updateMode(): void {
		const peers = this.memberCount - 1;
		const hubs = [this.peers.member, ...this.listMembers()].filter(member => isHub(member, this.#opts.hubRole));
		// During a rolling release, a hub of an older version forwards nothing.
		const canUseHubs = hubs.length > 0 && hubs.every(hub => hub.features?.includes(peerFeatures.hubs));
		const limit = this.#usesHubs ? maxFullMeshPeers - hubModeHysteresis : maxFullMeshPeers;
		this.#usesHubs = peers > limit && canUseHubs;
	}

	#needsLink(address: string, entry: MemberEntry, hasHub: boolean): boolean {
		if (address === this.address) {
			return false;
		}

		// A seed whose role is not known yet may be a hub, and any seed may know the hubs.
		const isNeededSeed = this.#seeds.includes(address) && (entry.member === undefined || !hasHub);
		return isNeededSeed || (entry.member !== undefined && (!this.#usesHubs || isHub(entry.member, this.#opts.hubRole)));
	}

	#openLink(address: string, entry: MemberEntry): PersistentLink {
		return this.peers.openLink(address, {
			connectTimeoutMs,
			reconnectCapMs,
			onConnected: async connection => this.#exchangeMembers(entry, connection),
			onFailed: isRefused => {
				entry.isRefused = isRefused;
				this.#removeIfExpired(address, entry);
			},
		});
	}

	async #exchangeMembers(entry: MemberEntry, connection: PeerConnection): Promise<void> {
		const {clock, events} = this.#opts;
		entry.member = connection.remote;
		entry.lastReachableAt = clock.monotonic();
		await this.#requestMembers(connection);
		events.emit('memberReached', {instance: connection.remote.instance, address: connection.remote.address});
		await this.#notifyListeners(connection);
		this.#tasks.start('mesh-link-closed', async () => {
			await connection.closed;
			entry.lastReachableAt = clock.monotonic();
			events.emit('memberLost', {instance: connection.remote.instance, address: connection.remote.address});
		});
	}

	/** Throws when the member does not answer. */
	async #requestMembers(connection: PeerConnection): Promise<void> {
		const reply = await connection.request('mesh.exchange', {members: this.#listAdvertisedMembers()});
		if (reply.isErr()) {
			throw reply.error;
		}

		const {members, count} = reply.value;
		if (count !== undefined && isHub(connection.remote, this.#opts.hubRole)) {
			this.#reportedCounts.set(connection.remote.address, {count, heardAt: this.#opts.clock.monotonic()});
		}

		this.#mergeMembers(members);
	}

	/**
	 * Asks the hubs in turn, or all members while no hub is known: one that started early may have learnt of a small part of
	 * a large mesh only. A member that does not answer is asked again in its next turn.
	 */
	async #runRefresh(): Promise<void> {
		const {clock, hubRole} = this.#opts;
		const {signal} = this.#abortController;
		while (!signal.aborted) {
			await clock.sleep(refreshIntervalMs, signal);
			this.#highestCount.record(this.memberCount);
			this.#removeExpired();
			this.#updateLinks();
			const connections = this.listConnections();
			const hubs = connections.filter(connection => isHub(connection.remote, hubRole));
			const candidates = hubs.length > 0 ? hubs : connections;
			this.#refreshes++;
			try {
				await (candidates.length > 0 ? this.#requestMembers(candidates[this.#refreshes % candidates.length]!) : undefined);
			} catch {
				// The connection is closed by its heartbeats if the hub is gone.
			}
		}
	}

	#removeExpired(): void {
		for (const [address, entry] of this.#entries) {
			if (!findOpenConnection(entry)) {
				this.#removeIfExpired(address, entry);
			}
		}
	}

	#removeIfExpired(address: string, entry: MemberEntry): void {
		const unreachableMs = this.#opts.clock.monotonic() - entry.lastReachableAt;
		if (unreachableMs > unreachableMemberTtlMs && !this.#seeds.includes(address) && !entry.incoming && this.#entries.get(address) === entry) {
			entry.link?.stop();
			this.#entries.delete(address);
			this.#reportedCounts.delete(address);
			this.#opts.events.emit('memberForgotten', {address, silenceMs: Math.round(unreachableMs)});
		}
	}
}

function isHub(member: PeerMember | undefined, hubRole: string | undefined): boolean {
	return hubRole !== undefined && (member?.roles.includes(hubRole) ?? false);
}

function findOpenConnection({link, incoming}: MemberEntry): PeerConnection | undefined {
	return link?.connection ?? (incoming?.isOpen ? incoming : undefined);
}
