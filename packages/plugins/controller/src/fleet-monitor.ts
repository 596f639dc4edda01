/**
 * Monitors the whole fleet from one controller: its own subscribers and, polled once a second, those of the other
 * controllers. The data may be stale. It gives the liveness of endpoints, the demand and the confirmed revisions.
 */
import type {DemandReport, SubscriberView, WorkspaceShare} from '@hickorytrack/types/peer-methods';
import {computeShares} from '@hickorytrack/rate-limit/share-divider';
import type {ControllerCore} from './controller-core.js';
import type {SubscriptionManager} from './subscription-manager.js';

const pollIntervalMs = 1000;
const pollTimeoutMs = 800;

type RemoteView = {
	subscribers: SubscriberView[];
	seenAt: number;
};

export class FleetMonitor {
	readonly #core: ControllerCore;
	readonly #subscriptions: SubscriptionManager;
	readonly #remote = new Map<string, RemoteView>();
	readonly #lastSeenAt = new Map<string, number>();

	constructor(core: ControllerCore, subscriptions: SubscriptionManager) {
		this.#core = core;
		this.#subscriptions = subscriptions;
	}

	start(): void {
		void this.#run();
	}

	/** Returns every subscriber once; views of other controllers that are older than two polls are left out. */
	listSubscribers(): SubscriberView[] {
		const now = this.#core.context.clock.monotonic();
		const views = new Map<string, SubscriberView>();
		for (const view of [...this.#remote.values()].filter(remote => now - remote.seenAt < 2 * pollIntervalMs).flatMap(remote => remote.subscribers)) {
			views.set(view.member.instance, view);
		}

		for (const view of this.#subscriptions.list()) {
			views.set(view.member.instance, view);
		}

		return [...views.values()];
	}

	listReports(): DemandReport[] {
		return this.listSubscribers().flatMap(view => view.reports);
	}

	/** Returns how long ago an instance was last seen by any controller, in milliseconds. */
	computeLastSeenAge(instance: string): number {
		const lastSeenAt = this.#lastSeenAt.get(instance);
		return lastSeenAt === undefined ? Number.POSITIVE_INFINITY : this.#core.context.clock.monotonic() - lastSeenAt;
	}

	/** Starts the last-seen age of an instance that was never seen. */
	startTracking(instance: string): void {
		if (!this.#lastSeenAt.has(instance)) {
			this.#lastSeenAt.set(instance, this.#core.context.clock.monotonic());
		}
	}

	async #run(): Promise<void> {
		const {clock} = this.#core.context;
		while (!this.#core.stopped.signal.aborted) {
			await Promise.all(this.#core.log.getStatus().members.map(async member => this.#fetchSubscribers(member.id, member.address)));
			for (const view of this.listSubscribers()) {
				this.#lastSeenAt.set(view.member.instance, clock.monotonic());
			}

			this.#sendLimitShares();
			await clock.sleep(pollIntervalMs, this.#core.stopped.signal);
		}
	}

	async #fetchSubscribers(id: string, address: string): Promise<void> {
		if (id === this.#core.log.id) {
			return;
		}

		const reply = await this.#core.transport.getLink(address).connection?.request('control.subscribers', {}, {timeoutMs: pollTimeoutMs});
		if (reply?.isOk()) {
			this.#remote.set(id, {subscribers: reply.value.subscribers, seenAt: this.#core.context.clock.monotonic()});
		}
	}

	/** Sends each entry subscribed to this controller its share of the fleet-wide limits. */
	#sendLimitShares(): void {
		const entries = this.listSubscribers().filter(view => view.member.roles.includes('entry'));
		const workspaces = new Set(entries.flatMap(view => view.demands.map(demand => demand.workspace)));
		const shares = new Map<string, WorkspaceShare[]>(entries.map(view => [view.member.instance, []]));
		for (const workspace of workspaces) {
			const demands = entries.map(view => ({holder: view.member.instance, demand: view.demands.find(demand => demand.workspace === workspace)?.requestsPerSecond ?? 0}));
			for (const [holder, fraction] of computeShares(demands)) {
				shares.get(holder)!.push({workspace, fraction});
			}
		}

		for (const [instance, entryShares] of shares) {
			// The fraction under the empty name applies to workspaces that have no demand on any entry.
			this.#subscriptions.sendShares(instance, [...entryShares, {workspace: '', fraction: 1 / entries.length}]);
		}
	}
}
