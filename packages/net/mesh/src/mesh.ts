/**
 * The mesh of all instances. Each instance is told a few seeds only; it connects to them, exchanges the members that both
 * sides know, and keeps a link to every member that others may call. Links carry heartbeats of their own, so a silent one
 * is replaced; a member that can't be reached for long is forgotten.
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
	/** Peer addresses that the instance was told at its start; they may be wrong or gone. */
	seeds: readonly string[];
	/** Members with one of these roles are linked to; the others call but are not called. */
	linkedRoles: readonly string[];
};

/** An unreachable member that is no seed is forgotten after this time. */
const forgetMs = 30_000;

type Entry = {
	member?: PeerMember;
	link: PersistentLink;
	reachedAt: number;
};

export class Mesh {
	readonly peers: PeerNode;
	readonly #opts: MeshOptions;
	readonly #entries = new Map<string, Entry>();
	readonly #listeners: Array<(connection: PeerConnection) => Promise<void> | void> = [];
	#seeds: readonly string[];
	#isStarted = false;

	constructor(opts: MeshOptions) {
		this.#opts = opts;
		this.peers = opts.peers;
		this.#seeds = opts.seeds;
		this.peers.handle('mesh.exchange', ({members}) => {
			this.#learn(members);
			return {members: this.#listKnown()};
		});
	}

	/** Address at which other instances reach this one. */
	get address(): string {
		return this.peers.member.address;
	}

	start(): void {
		this.#isStarted = true;
		this.setSeeds(this.#seeds);
	}

	/** Replaces the seeds, for example after the settings have changed. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
		for (const seed of seeds) {
			this.#link(seed);
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

	/** Lists the known members with a role, without this one. */
	listMembers(role?: string): PeerMember[] {
		const members = [...this.#entries.values()].map(entry => entry.member).filter(member => member !== undefined);
		return role === undefined ? members : members.filter(member => member.roles.includes(role));
	}

	findMember(address: string): PeerMember | undefined {
		return this.#entries.get(address)?.member;
	}

	/** Returns an open connection to the address, whichever side opened it. */
	findConnection(address: string): PeerConnection | undefined {
		const own = this.#entries.get(address)?.link.connection;
		if (own) {
			return own;
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

	/** Sends a notification to every linked member that can be reached now. */
	broadcast<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params']): void {
		for (const connection of this.listConnections()) {
			connection.notify(method, params);
		}
	}

	/** Calls every linked member that can be reached now and returns how many did not answer in time. */
	async requestAll<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params'], timeoutMs: number): Promise<number> {
		const replies = await Promise.all(this.listConnections().map(async connection => connection.request(method, params, {timeoutMs})));
		return replies.filter(reply => reply.isErr()).length;
	}

	#listKnown(): PeerMember[] {
		return [this.peers.member, ...this.listMembers()];
	}

	#learn(members: readonly PeerMember[]): void {
		for (const member of members) {
			if (member.address === this.address || !member.roles.some(role => this.#opts.linkedRoles.includes(role))) {
				continue;
			}

			const entry = this.#entries.get(member.address);
			if (entry) {
				entry.member = member;
			} else if (this.#isStarted) {
				this.#link(member.address).member = member;
				this.#opts.events.emit('memberLearned', {instance: member.instance, address: member.address, roles: member.roles});
			}
		}
	}

	#link(address: string): Entry {
		const known = this.#entries.get(address);
		if (known) {
			return known;
		}

		if (address === this.address) {
			return this.#createUnlinked(address);
		}

		const entry: Entry = {
			reachedAt: this.#opts.clock.monotonic(),
			link: this.peers.openLink(address, {
				onConnected: async connection => this.#greet(entry, connection),
				onFailed: () => {
					this.#forgetIfLost(address, entry);
				},
			}),
		};
		this.#entries.set(address, entry);
		return entry;
	}

	#createUnlinked(address: string): Entry {
		return {
			reachedAt: 0, link: {
				address, connection: undefined, stop() {
					// There is no link to oneself.
				},
			},
		};
	}

	async #greet(entry: Entry, connection: PeerConnection): Promise<void> {
		const {clock, events} = this.#opts;
		entry.member = connection.remote;
		entry.reachedAt = clock.monotonic();
		const reply = await connection.request('mesh.exchange', {members: this.#listKnown()});
		if (reply.isErr()) {
			throw reply.error;
		}

		events.emit('memberReached', {instance: connection.remote.instance, address: connection.remote.address});
		this.#learn(reply.value.members);
		for (const listener of this.#listeners) {
			await listener(connection);
		}

		void connection.closed.then(() => {
			entry.reachedAt = clock.monotonic();
			events.emit('memberLost', {instance: connection.remote.instance, address: connection.remote.address});
		});
	}

	#forgetIfLost(address: string, entry: Entry): void {
		const silence = this.#opts.clock.monotonic() - entry.reachedAt;
		if (silence > forgetMs && !this.#seeds.includes(address)) {
			entry.link.stop();
			this.#entries.delete(address);
			this.#opts.events.emit('memberForgotten', {address, silenceMs: Math.round(silence)});
		}
	}
}
