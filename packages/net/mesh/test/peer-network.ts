/** A network of peer nodes in one process, without sockets: links connect after a tick unless the other node is down. */
import {err, ok, type Result} from 'neverthrow';
import type {ManualClock} from '@hickorytrack/clock/manual-clock';
import {HickorytrackError} from '@hickorytrack/errors';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {PeerNode, PersistentLink, PersistentLinkOptions} from '@hickorytrack/peer-link/peer-node';
import type {PeerMember} from '@hickorytrack/types/peer-methods';

type Handler = (params: unknown, connection: PeerConnection) => unknown;

const reconnectMs = 100;

class Connection {
	readonly closed: Promise<void>;
	isOpen = true;
	readonly remote: PeerMember;
	other!: Connection;
	readonly #node: NetworkNode;
	#resolveClosed!: () => void;

	constructor(node: NetworkNode, remote: PeerMember) {
		this.#node = node;
		this.remote = remote;
		this.closed = new Promise(resolve => {
			this.#resolveClosed = resolve;
		});
	}

	async request(method: string, params: unknown): Promise<Result<unknown, HickorytrackError>> {
		if (!this.isOpen) {
			return err(new HickorytrackError('ERR_HICKORYTRACK_PEER_CLOSED', 'closed'));
		}

		this.#node.network.messages++;
		const copy = structuredClone(params);
		return ok(await this.other.#node.handlers.get(method)!(copy, this.other as unknown as PeerConnection));
	}

	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.#resolveClosed();
			this.other.close();
		}
	}
}

export class NetworkNode {
	readonly network: PeerNetwork;
	readonly member: PeerMember;
	readonly handlers = new Map<string, Handler>();
	readonly connections = new Set<Connection>();
	isUp = true;

	constructor(network: PeerNetwork, member: PeerMember) {
		this.network = network;
		this.member = member;
	}

	handle(method: string, handler: Handler): void {
		this.handlers.set(method, handler);
	}

	openLink(address: string, opts: PersistentLinkOptions): PersistentLink {
		const abortController = new AbortController();
		let current: Connection | undefined;
		const run = async () => {
			while (!abortController.signal.aborted) {
				await this.network.clock.sleep(reconnectMs, abortController.signal);
				const other = this.network.nodes.get(address);
				if (abortController.signal.aborted || !this.isUp) {
					continue;
				}

				if (!other?.isUp) {
					opts.onFailed?.(true);
					continue;
				}

				current = this.#connect(other);
				await opts.onConnected?.(current as unknown as PeerConnection);
				await current.closed;
			}
		};

		void run();
		return {
			address,
			get connection() {
				return current?.isOpen ? current as unknown as PeerConnection : undefined;
			},
			stop() {
				abortController.abort();
				current?.close();
			},
		};
	}

	/** Closes all connections; none opens while the node is down. */
	setUp(isUp: boolean): void {
		this.isUp = isUp;
		for (const connection of isUp ? [] : this.connections) {
			connection.close();
		}
	}

	#connect(other: NetworkNode): Connection {
		const outgoing = new Connection(this, other.member);
		const incoming = new Connection(other, this.member);
		outgoing.other = incoming;
		incoming.other = outgoing;
		for (const [node, connection] of [[this, outgoing], [other, incoming]] as const) {
			node.connections.add(connection);
			void connection.closed.then(() => node.connections.delete(connection));
		}

		return outgoing;
	}
}

export class PeerNetwork {
	readonly clock: ManualClock;
	readonly nodes = new Map<string, NetworkNode>();
	messages = 0;

	constructor(clock: ManualClock) {
		this.clock = clock;
	}

	createNode(member: PeerMember): PeerNode {
		const node = new NetworkNode(this, member);
		this.nodes.set(member.address, node);
		return node as unknown as PeerNode;
	}
}
