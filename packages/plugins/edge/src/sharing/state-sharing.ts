/**
 * What an edge shares with the other instances: reports of servers, work in flight, prompts that servers hold, measured speeds,
 * and crashes of servers with the runs that they ended.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {CrashAttribution} from '@hickorytrack/crash-attribution';
import type {EndpointRegistry, KnownServer, ServerReport} from '@hickorytrack/endpoint-registry';
import type {EventLog} from '@hickorytrack/events';
import {LoadSharing} from '@hickorytrack/load-sharing';
import {maxFullMeshPeers, type Mesh} from '@hickorytrack/mesh';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import type {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {coreRole} from '@hickorytrack/route-store/core-member';
import type {
	PeerMethodName, PeerMethods, SpeedNote, StoredPrompt,
} from '@hickorytrack/types/peer-methods';
import type {CrashReports} from '../crashes/crash-reports.js';
import type {ForwardContext} from '../calls/forward-context.js';
import {ReportSharing} from './report-sharing.js';

export type StateSharingOptions = {
	clock: Clock;
	tasks: BackgroundTasks;
	events: EventLog;
	mesh: Mesh;
	registry: EndpointRegistry;
	loadTracker: LoadTracker;
	cacheIndex: PrefixCacheIndex;
	partUsage: PartUsage;
	/** Receives the measured speeds and signs of life that other instances report. */
	context: Pick<ForwardContext, 'profile' | 'health' | 'expectedWork'>;
	/** Shortest interval between two shares of this instance while it uses a relay; see `LoadSharing`. */
	leafIntervalMs?: number;
	crashAttribution: CrashAttribution;
	/** Receives what other instances report of crashes. */
	crashReports: Pick<CrashReports, 'mergeCrash' | 'mergeSound'>;
	/** Called when another instance has told of a server that said in an answer that it leaves. */
	onLeaving: (report: ServerReport, peer: string) => void;
	/** Called when an instance starts to use this one as its relay. */
	onLeafAdded: (leaf: PeerConnection) => void;
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

	/** Instances that use this one as their relay, to which it passes on what others tell everybody. */
	get leaves(): readonly PeerConnection[] {
		return this.#loadSharing.leaves;
	}

	/** Shares state until the signal aborts. */
	run(signal: AbortSignal): void {
		this.#loadSharing.run(signal);
		const {tasks, clock} = this.#opts;
		tasks.startUntil(signal, {task: 'report-sharing', clock}, async () => this.#reportSharing.run(signal));
	}

	/** Sends a report of one of this instance's own servers; see `ReportSharing.send`. */
	async sendReport(report: ServerReport, previous: KnownServer | undefined): Promise<void> {
		return this.#reportSharing.send(report, previous);
	}

	#addPeerMethods(): void {
		const {mesh, registry, crashAttribution, crashReports} = this.#opts;
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
		peers.handle('crash.note', (report, connection) => {
			crashReports.mergeCrash(report);
			this.#forward('crash.note', report, connection);
		});
		peers.handle('crash.sound', ({sound}, connection) => {
			crashReports.mergeSound(sound);
			this.#forward('crash.sound', {sound}, connection);
		});
		peers.handle('crash.trial', ({trials}, connection) => {
			crashAttribution.mergeTrials(trials);
			this.#forward('crash.trial', {trials}, connection);
		});
		mesh.onConnected(async connection => {
			// An instance that has started or was cut off has missed the crashes that were reported meanwhile.
			this.#sendCrashes(connection);
			await connection.request('registry.note', {reports: registry.list()});
		});
	}

	#sendCrashes(connection: PeerConnection): void {
		const {crashAttribution} = this.#opts;
		for (const report of crashAttribution.listCrashes()) {
			connection.notify('crash.note', report);
		}

		connection.notify('crash.sound', {sound: crashAttribution.listSound()});
		connection.notify('crash.trial', {trials: crashAttribution.listTrials()});
	}

	/** Passes on to the leaves of this instance what another one tells everybody. */
	#forward<M extends PeerMethodName>(method: M, params: PeerMethods[M]['params'], sender: PeerConnection): void {
		for (const leaf of this.#loadSharing.leaves) {
			if (leaf.remote.address !== sender.remote.address) {
				leaf.notify(method, params);
			}
		}
	}

	#createLoadSharing(): LoadSharing<PeerConnection> {
		const {clock, tasks, events, mesh, registry, loadTracker, cacheIndex, leafIntervalMs, onLeafAdded} = this.#opts;
		return new LoadSharing<PeerConnection>({
			clock,
			tasks,
			events,
			loadTracker,
			cacheIndex,
			leafIntervalMs,
			member: mesh.peers.member,
			relayRole: coreRole,
			listPeers: () => mesh.listConnections(),
			usesRelays: () => mesh.usesHubs || mesh.listConnections().length > maxFullMeshPeers,
			onLeafAdded: leaf => {
				// While its relay did not count it as a leaf, it has missed what relays pass on.
				leaf.notify('registry.note', {reports: registry.list()});
				this.#sendCrashes(leaf);
				onLeafAdded(leaf);
			},
			onStored: stored => {
				this.#recordStored(stored);
			},
			drainSpeeds: maxNotes => this.#opts.context.expectedWork.speeds.drainNotes(maxNotes),
			onSpeeds: speeds => {
				this.#recordSpeeds(speeds);
			},
		});
	}

	#createReportSharing(): ReportSharing {
		const {clock, events, mesh, registry, onLeaving} = this.#opts;
		return new ReportSharing({
			clock,
			registry,
			listPeers: () => mesh.listConnections().filter(({remote}) => !mesh.usesHubs || remote.roles.includes(coreRole)),
			listLeaves: () => this.#loadSharing.leaves,
			onLeaving(report, {remote}) {
				onLeaving(report, remote.instance);
			},
			onUnconfirmed(server, missing) {
				events.emit('spreadIncomplete', {server, missing});
			},
		});
	}

	#recordSpeeds(speeds: readonly SpeedNote[]): void {
		const {registry, context} = this.#opts;
		for (const note of speeds) {
			const server = registry.find(note[0]);
			if (server) {
				context.expectedWork.speeds.merge(server.service, server, note);
			}
		}
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
