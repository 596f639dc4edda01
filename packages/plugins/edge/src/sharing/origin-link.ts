/** Connects stream origins to the leader of the core, in this process or another one. */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Mesh} from '@hickorytrack/mesh';
import type {ConfigurationFollower} from '@hickorytrack/route-store/configuration-follower';
import type {CoreMember} from '@hickorytrack/route-store/core-member';
import type {BegunStream, OriginLeader} from '@hickorytrack/stream-origins/origin-writer';
import {peerFeatures, type StreamOriginView, type StreamOriginWrite} from '@hickorytrack/types/peer-methods';

export type OriginLinkOptions = {
	tasks: BackgroundTasks;
	mesh: Mesh;
	configuration: ConfigurationFollower;
	/** Only on core machines. */
	core: CoreMember | undefined;
	/** Returns the origin of a stream that this instance has begun. */
	recall: (stream: string) => BegunStream | undefined;
};

/** An instance answers from its memory. */
const recallTimeoutMs = 150;

export class OriginLink implements OriginLeader {
	readonly #opts: OriginLinkOptions;

	constructor(opts: OriginLinkOptions) {
		this.#opts = opts;
		const {mesh, core} = opts;
		mesh.peers.handle('origins.write', async write => ({view: await core?.origins.write(write)}));
		mesh.peers.handle('origins.recall', ({stream}) => ({origin: opts.recall(stream)}));
		mesh.peers.handle('origins.find', async ({services, stream}) => ({view: await core?.origins.findOrigin(services, stream)}));
	}

	get isSupported(): boolean {
		const leader = this.#opts.configuration.findLeaderConnection();
		return leader === undefined || (leader.remote.features?.includes(peerFeatures.streamOrigins) ?? false);
	}

	async write(write: StreamOriginWrite): Promise<StreamOriginView | undefined> {
		const {configuration, core} = this.#opts;
		return configuration.callLeader(async timeoutMs => {
			if (core?.isLeader) {
				return core.origins.write(write);
			}

			const reply = await configuration.findLeaderConnection()?.request('origins.write', write, {timeoutMs});
			return reply?.isOk() ? reply.value.view : undefined;
		});
	}

	/** Resolves with the first answer of an instance that knows the stream, or when all have answered. */
	async recall(stream: string): Promise<BegunStream | undefined> {
		const peers = this.#opts.mesh.listConnections().filter(({remote}) => remote.features?.includes(peerFeatures.streamOrigins));
		const replies = peers.map(async peer => {
			const reply = await peer.request('origins.recall', {stream}, {timeoutMs: recallTimeoutMs});
			return reply.isOk() ? reply.value.origin : undefined;
		});
		const first = new Promise<BegunStream>(resolve => {
			for (const reply of replies) {
				this.#opts.tasks.start('recall-stream', async () => {
					const origin = await reply;
					if (origin) {
						resolve(origin);
					}
				});
			}
		});
		return Promise.race([first, Promise.all(replies).then(origins => origins.find(origin => origin !== undefined))]);
	}

	async findOrigin(services: readonly string[], stream: string | undefined): Promise<StreamOriginView | undefined> {
		const {configuration, core} = this.#opts;
		return configuration.callLeader(async timeoutMs => {
			if (core?.isLeader) {
				return core.origins.findOrigin(services, stream);
			}

			const reply = await configuration.findLeaderConnection()?.request('origins.find', {services: [...services], stream}, {timeoutMs});
			return reply?.isOk() ? reply.value.view : undefined;
		});
	}
}
