/** Members of the core model and the simulated links between them: a mesh without sockets that can isolate members. */
import {err, ok} from 'neverthrow';
import type {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {Mesh} from '@hickorytrack/mesh';
import type {PeerMember} from '@hickorytrack/types/peer-methods';
import {coreRole, type CoreMember} from '../src/core-member.js';
import type {ModelDisk} from './model-disk.js';

type Handler = (params: unknown) => unknown;

export type ModelNode = {
	address: string;
	disk: ModelDisk;
	/** Undefined while the member is stopped. */
	core?: CoreMember;
	handlers: Map<string, Handler>;
	/** Time of the last kill. */
	killedAt?: number;
};

const linkDelayMs = 2;

export class ModelNetwork {
	readonly nodes = new Map<string, ModelNode>();
	/** Addresses of members that can neither send nor receive. */
	readonly isolated = new Set<string>();
	/** Addresses of members that are cut off from all others and reach one another. */
	readonly side = new Set<string>();
	readonly #clock: ManualClock;

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	reconnect(): void {
		this.isolated.clear();
		this.side.clear();
	}

	createMesh(node: ModelNode): Mesh {
		const describe = (address: string): PeerMember => ({
			instance: address, address, roles: [coreRole], availabilityZone: 'z', incarnation: address,
		});
		const mesh = {
			address: node.address,
			peers: {
				handle(method: string, handler: Handler) {
					node.handlers.set(method, handler);
				},
			},
			listMembers: () => [...this.nodes.keys()].filter(address => address !== node.address).map(address => describe(address)),
			findMember: (address: string) => this.nodes.has(address) ? describe(address) : undefined,
			findConnection: (address: string) => ({
				request: async (method: string, params: unknown) => this.#send(node, {address, method, params}),
			}),
		};
		return mesh as unknown as Mesh;
	}

	async #send(from: ModelNode, {address, method, params}: {address: string; method: string; params: unknown}) {
		const sender = from.core;
		await this.#clock.sleep(linkDelayMs);
		const handler = this.#isReachable(from.address, address) ? this.nodes.get(address)?.handlers.get(method) : undefined;
		if (!handler) {
			return err(new Error('unreachable'));
		}

		try {
			const reply = await handler(structuredClone(params));
			await this.#clock.sleep(linkDelayMs);
			const isDelivered = this.#isReachable(address, from.address) && from.core === sender;
			return isDelivered ? ok(structuredClone(reply)) : err(new Error('the reply was lost'));
		} catch (error) {
			return err(error as Error);
		}
	}

	#isReachable(from: string, to: string): boolean {
		return !this.isolated.has(from) && !this.isolated.has(to) && this.side.has(from) === this.side.has(to);
	}
}
