/**
 * Membership and links between all instances. Each instance is configured with a few seed addresses. It connects to them,
 * exchanges member lists, and keeps a persistent link to every member that has a linked role. Links send their own
 * heartbeats, so a link on which nothing arrives is closed and reopened. A member that stays unreachable is removed.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {PersistentLink, PeerNode} from '@hickorytrack/peer-link/peer-node';
import type {PeerMember, PeerMethodName, PeerMethods} from '@hickorytrack/types/peer-methods';

export type MeshOptions = {
	peers: PeerNode;
	clock: Clock;
	events: EventLog;
	/** Configured peer addresses to connect to first; some may be wrong or no longer in use. */
	seeds: readonly string[];
	/** Links are opened to members with one of these roles. Members without one open connections but receive none. */
	linkedRoles: readonly string[];
};

/** A member that is not a seed is removed after it has been unreachable for this long. */
const unreachableMemberTtlMs = 30_000;

type MemberEntry = {
	member?: PeerMember;
	link: PersistentLink;
	lastReachableAt: number;
};

export class Mesh {
	readonly peers: PeerNode;
	readonly #opts: MeshOptions;
	readonly #entries = new Map<string, MemberEntry>();
	readonly #listeners: Array<(connection: PeerConnection) => Promise<void> | void> = [];
	#seeds: readonly string[];
	#isStarted = false;

	constructor(opts: MeshOptions) {
		this.#opts = opts;
		this.peers = opts.peers;
		this.#seeds = opts.seeds;
		this.peers.handle('mesh.exchange', ({members}) => {
			this.#mergeMembers(members);
			return {members: this.#listAllMembers()};
		});
	}

	/** Address at which other instances connect to this one. */
	get address(): string {
		return this.peers.member.address;
	}

	start(): void {
		this.#isStarted = true;
		this.setSeeds(this.#seeds);
	}

	/** Replaces the seed addresses, for example after the settings have changed. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
		for (const seed of seeds) {
			this.#getOrCreateEntry(seed);
		}
	}

	stop(): void {
		for (const {link} of this.#entries.values()) {
			link.stop();
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
		const outgoing = this.#entries.get(address)?.link.connection;
		if (outgoing) {
			return outgoing;
		}

		for (const connection of this.peers.connections) {
			if (connection.remote.address === address && connection.isOpen) {
				return connection;
			}
		}

		return undefined;
	}

	/** Lists the open connections to linked members. */
	listConnections(): PeerConnection[] {
		return [...this.#entries.values()].map(entry => entry.link.connection).filter(connection => connection !== undefined);
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

	#listAllMembers(): PeerMember[] {
		return [this.peers.member, ...this.listMembers()];
	}

	#mergeMembers(members: readonly PeerMember[]): void {
		for (const member of members) {
			if (member.address === this.address || !member.roles.some(role => this.#opts.linkedRoles.includes(role))) {
				continue;
			}

			const entry = this.#entries.get(member.address);
			if (entry) {
				entry.member = member;
			} else if (this.#isStarted) {
				this.#getOrCreateEntry(member.address).member = member;
				this.#opts.events.emit('memberLearned', {instance: member.instance, address: member.address, roles: member.roles});
			}
		}
	}

	#getOrCreateEntry(address: string): MemberEntry {
		const existing = this.#entries.get(address);
		if (existing) {
			return existing;
		}

		if (address === this.address) {
			return this.#createSelfEntry(address);
		}

		const entry: MemberEntry = {
			lastReachableAt: this.#opts.clock.monotonic(),
			link: this.peers.openLink(address, {
				onConnected: async connection => this.#exchangeMembers(entry, connection),
				onFailed: () => {
					this.#removeIfExpired(address, entry);
				},
			}),
		};
		this.#entries.set(address, entry);
		return entry;
	}

	#createSelfEntry(address: string): MemberEntry {
		return {
			lastReachableAt: 0, link: {
				address, connection: undefined, stop() {
					// An instance has no link to itself.
				},
			},
		};
	}

	async #exchangeMembers(entry: MemberEntry, connection: PeerConnection): Promise<void> {
		const {clock, events} = this.#opts;
		entry.member = connection.remote;
		entry.lastReachableAt = clock.monotonic();
		const reply = await connection.request('mesh.exchange', {members: this.#listAllMembers()});
		if (reply.isErr()) {
			throw reply.error;
		}

		events.emit('memberReached', {instance: connection.remote.instance, address: connection.remote.address});
		this.#mergeMembers(reply.value.members);
		for (const listener of this.#listeners) {
			await listener(connection);
		}

		void connection.closed.then(() => {
			entry.lastReachableAt = clock.monotonic();
			events.emit('memberLost', {instance: connection.remote.instance, address: connection.remote.address});
		});
	}

	#removeIfExpired(address: string, entry: MemberEntry): void {
		const unreachableMs = this.#opts.clock.monotonic() - entry.lastReachableAt;
		if (unreachableMs > unreachableMemberTtlMs && !this.#seeds.includes(address)) {
			entry.link.stop();
			this.#entries.delete(address);
			this.#opts.events.emit('memberForgotten', {address, silenceMs: Math.round(unreachableMs)});
		}
	}
}
