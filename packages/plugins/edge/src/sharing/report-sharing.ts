/**
 * Spreads the reports of servers to all instances. A report that changes something goes out at once; for a server that
 * leaves, the other instances confirm it. Most reports only repeat the one before; these go out as short entries, which a
 * hub collects for its leaves. In a large mesh an instance sends its reports to every hub, and each hub forwards them to
 * the leaves that use it as their relay. So the loss of a hub, or a cut between hubs, delays reports only until its leaves
 * use another one, and then they get the whole registry.
 */
import type {Clock} from '@hickorytrack/clock';
import {
	isRepeat, serverStates, type EndpointRegistry, type KnownServer, type ReportRepeat, type ServerReport,
} from '@hickorytrack/endpoint-registry';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {peerFeatures, type PeerMethods} from '@hickorytrack/types/peer-methods';

/** A connection to another instance, as far as reports need it. */
export type ReportPeer = Pick<PeerConnection, 'remote' | 'notify' | 'request'>;

export type ReportSharingOptions = {
	clock: Clock;
	registry: EndpointRegistry;
	/** Instances that reports of this instance's own servers are sent to. */
	listPeers: () => readonly ReportPeer[];
	/** Instances that this one forwards the reports of others to. */
	listLeaves: () => readonly ReportPeer[];
	/** Called when another instance has told of a server that said in an answer that it leaves. */
	onLeaving: (report: ServerReport, from: ReportPeer) => void;
	/** Called when not every instance has confirmed that a server leaves. */
	onUnconfirmed: (server: string, missing: number) => void;
};

/** Timeout for the other instances to confirm that a server leaves, and for the leaves of a hub within it. */
const confirmTimeoutMs = 400;
const leafConfirmTimeoutMs = 250;
/** Interval at which a hub forwards repeated reports; short against the interval of the reports themselves. */
const repeatIntervalMs = 300;

type Repeat = [id: string, startedAt: number, sequence: number];

export class ReportSharing {
	readonly #opts: ReportSharingOptions;
	/** Repeated reports for the leaves, by server. */
	readonly #repeats = new Map<string, Repeat>();

	constructor(opts: ReportSharingOptions) {
		this.#opts = opts;
	}

	/** Forwards collected repeats to the leaves until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(repeatIntervalMs, signal);
			this.sendRepeats();
		}
	}

	/**
	 * Sends a report of one of this instance's own servers. For a leaving server, resolves when the others have confirmed it
	 * or the timeout has expired.
	 */
	async send(report: ServerReport, previous: KnownServer | undefined): Promise<void> {
		const {listPeers, listLeaves, onUnconfirmed} = this.#opts;
		const leaves = listLeaves();
		const peers = listDistinct([...listPeers(), ...leaves]);
		if (previous && isRepeat(report, previous)) {
			const repeat = createRepeat(report);
			this.#collectRepeat(repeat);
			for (const peer of withoutAll(peers, leaves)) {
				this.#notifyRepeats(peer, [repeat]);
			}
		} else if (report.state === serverStates.ready) {
			for (const peer of peers) {
				peer.notify('registry.note', {reports: [report]});
			}
		} else {
			const missing = await requestAll(peers, [report], confirmTimeoutMs);
			if (missing > 0) {
				onUnconfirmed(report.id, missing);
			}
		}
	}

	/** Records reports from another instance and forwards them to the leaves. Resolves when the leaves know of leaving servers. */
	async handleNote(reports: readonly ServerReport[], from: ReportPeer): Promise<PeerMethods['registry.note']['result']> {
		const changed = reports.filter(report => this.#opts.registry.recordReport(report));
		for (const report of changed.filter(({state}) => state === serverStates.leaving)) {
			this.#opts.onLeaving(report, from);
		}

		const leaves = withoutAll(this.#opts.listLeaves(), [from]);
		const leaving = changed.filter(report => report.state !== serverStates.ready);
		const ready = changed.filter(report => report.state === serverStates.ready);
		if (ready.length > 0) {
			for (const leaf of leaves) {
				leaf.notify('registry.note', {reports: ready});
			}
		}

		const missing = leaving.length > 0 ? await requestAll(leaves, leaving, leafConfirmTimeoutMs) : 0;
		for (const report of missing > 0 ? leaving : []) {
			this.#opts.onUnconfirmed(report.id, missing);
		}

		return {count: reports.length};
	}

	/** Records repeated reports, and fetches the ones that this instance has missed. */
	async handleRepeats(repeats: readonly Repeat[], from: ReportPeer): Promise<void> {
		const missed: string[] = [];
		for (const repeat of repeats) {
			if (this.#opts.registry.recordRepeat(parseRepeat(repeat))) {
				this.#collectRepeat(repeat);
			} else {
				missed.push(repeat[0]);
			}
		}

		if (missed.length > 0) {
			const reply = await from.request('registry.fetch', {servers: missed});
			if (reply.isOk()) {
				await this.handleNote(reply.value.reports, from);
			}
		}
	}

	listReports(servers: readonly string[]): ServerReport[] {
		const requested = new Set(servers);
		return this.#opts.registry.list().filter(report => requested.has(report.id));
	}

	/** Sends the collected repeats to the leaves. */
	sendRepeats(): void {
		const repeats = [...this.#repeats.values()];
		this.#repeats.clear();
		if (repeats.length > 0) {
			for (const leaf of this.#opts.listLeaves()) {
				this.#notifyRepeats(leaf, repeats);
			}
		}
	}

	/** An instance of an older version gets the reports in full. */
	#notifyRepeats(peer: ReportPeer, repeats: Repeat[]): void {
		if (peer.remote.features?.includes(peerFeatures.reportRepeats)) {
			peer.notify('registry.repeat', {repeats});
		} else {
			peer.notify('registry.note', {reports: this.listReports(repeats.map(([id]) => id))});
		}
	}

	#collectRepeat(repeat: Repeat): void {
		this.#repeats.set(repeat[0], repeat);
	}
}

function createRepeat({id, startedAt, sequence}: ServerReport): Repeat {
	return [id, startedAt, sequence];
}

function parseRepeat([id, startedAt, sequence]: Repeat): ReportRepeat {
	return {id, startedAt, sequence};
}

/** A leaf that connects to its relay appears in both lists. */
function listDistinct(peers: readonly ReportPeer[]): ReportPeer[] {
	return [...new Map(peers.map(peer => [peer.remote.address, peer])).values()];
}

function withoutAll(peers: readonly ReportPeer[], removed: readonly ReportPeer[]): ReportPeer[] {
	const addresses = new Set(removed.map(peer => peer.remote.address));
	return peers.filter(peer => !addresses.has(peer.remote.address));
}

/** Returns the number of peers that did not confirm. */
async function requestAll(peers: readonly ReportPeer[], reports: ServerReport[], timeoutMs: number): Promise<number> {
	const replies = await Promise.all(peers.map(async peer => peer.request('registry.note', {reports}, {timeoutMs})));
	return replies.filter(reply => reply.isErr()).length;
}
