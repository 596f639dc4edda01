/**
 * What an edge shares with the other instances: reports of servers, work in flight, prompts that servers hold, measured speeds,
 * and requests that crash servers.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EndpointRegistry, KnownServer, ServerReport} from '@hickorytrack/endpoint-registry';
import type {EventLog} from '@hickorytrack/events';
import {LoadSharing} from '@hickorytrack/load-sharing';
import {maxFullMeshPeers, type Mesh} from '@hickorytrack/mesh';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import type {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {coreRole} from '@hickorytrack/route-store/core-member';
import type {StoredPrompt} from '@hickorytrack/types/peer-methods';
import type {ForwardContext} from './forward-context.js';
import {ReportSharing} from './report-sharing.js';

export type StateSharingOptions = {
	clock: Clock;
	events: EventLog;
	mesh: Mesh;
	registry: EndpointRegistry;
	loadTracker: LoadTracker;
	cacheIndex: PrefixCacheIndex;
	partUsage: PartUsage;
	/** Receives the measured speeds, signs of life and crashes that other instances report. */
	context: Pick<ForwardContext, 'profile' | 'health' | 'poisonRequests'>;
};

export class StateSharing {
	readonly #opts: StateSharingOptions;
	readonly #loadSharing: LoadSharing<PeerConnection>;
	readonly #reportSharing: ReportSharing;

	constructor(opts: StateSharingOptions) {
		this.#opts = opts;
		this.#loadSharing = this.#createLoadSharing();
		this.#reportSharing = this.#createReportSharing();
		this.#addPeerMethods();
	}

	/** The relay that this instance uses, if any. */
	get relay(): string | undefined {
		return this.#loadSharing.relay;
	}

	/** Shares state until the signal aborts. */
	run(signal: AbortSignal): void {
		this.#loadSharing.run(signal);
		void this.#reportSharing.run(signal);
	}

	/** Sends a report of one of this instance's own servers; see `ReportSharing.send`. */
	async sendReport(report: ServerReport, previous: KnownServer | undefined): Promise<void> {
		return this.#reportSharing.send(report, previous);
	}

	#addPeerMethods(): void {
		const {mesh, registry, context} = this.#opts;
		const {peers} = mesh;
		peers.handle('registry.note', async ({reports}, connection) => this.#reportSharing.handleNote(reports, connection));
		peers.handle('registry.repeat', async ({repeats}, connection) => this.#reportSharing.handleRepeats(repeats, connection));
		peers.handle('registry.fetch', ({servers}) => ({reports: this.#reportSharing.listReports(servers)}));
		peers.handle('load.share', (share, connection) => {
			this.#loadSharing.handleShare(share, connection);
		});
		peers.handle('stage.note', ({server, ...awaited}) => {
			registry.setPendingStage(server, awaited);
		});
		peers.handle('poison.note', ({fingerprint, crash}, connection) => {
			context.poisonRequests.recordCrash(fingerprint, crash);
			for (const leaf of this.#loadSharing.leaves) {
				if (leaf.remote.address !== connection.remote.address) {
					leaf.notify('poison.note', {fingerprint, crash});
				}
			}
		});
		mesh.onConnected(async connection => {
			// An instance that has started or was cut off has missed the crashes that were reported meanwhile.
			for (const crash of context.poisonRequests.listCrashes()) {
				connection.notify('poison.note', crash);
			}

			await connection.request('registry.note', {reports: registry.list()});
		});
	}

	#createLoadSharing(): LoadSharing<PeerConnection> {
		const {clock, events, mesh, registry, loadTracker, cacheIndex} = this.#opts;
		return new LoadSharing<PeerConnection>({
			clock,
			events,
			loadTracker,
			cacheIndex,
			member: mesh.peers.member,
			relayRole: coreRole,
			listPeers: () => mesh.listConnections(),
			usesRelays: () => mesh.usesHubs || mesh.listConnections().length > maxFullMeshPeers,
			onLeafAdded(leaf) {
				// While it changed its relay, it may have missed reports.
				leaf.notify('registry.note', {reports: registry.list()});
			},
			onStored: stored => {
				this.#recordStored(stored);
			},
		});
	}

	#createReportSharing(): ReportSharing {
		const {clock, events, mesh, registry} = this.#opts;
		return new ReportSharing({
			clock,
			registry,
			listPeers: () => mesh.listConnections().filter(({remote}) => !mesh.usesHubs || remote.roles.includes(coreRole)),
			listLeaves: () => this.#loadSharing.leaves,
			onUnconfirmed(server, missing) {
				events.emit('spreadIncomplete', {server, missing});
			},
		});
	}

	#recordStored(stored: readonly StoredPrompt[]): void {
		const {registry, cacheIndex, partUsage, context} = this.#opts;
		cacheIndex.mergeRemotePrompts(stored, id => registry.find(id));
		for (const {server: id, parts, timing} of stored) {
			partUsage.record(parts.slice(0, -1));
			const server = registry.find(id);
			if (server && timing) {
				const [tokens, elapsedMs, isIdle] = timing;
				context.profile.record(server, {tokens, elapsedMs, isIdle});
				context.health.recordSignOfLife(server);
			}
		}
	}
}
