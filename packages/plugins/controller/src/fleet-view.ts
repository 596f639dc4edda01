/**
 * What a controller knows of the whole fleet: its own subscribers and, asked once a second, those of the other
 * controllers. It is a hint with an age: liveness of endpoints, demand, and who has confirmed a revision.
 */
import type {DemandReport, SubscriberView, WorkspaceShare} from '@hickorytrack/types/peer-methods';
import {computeShares} from '@hickorytrack/rate-limit/share-divider';
import type {ControllerCore} from './controller-core.js';
import type {SubscriberDesk} from './subscriber-desk.js';

const pollMs = 1000;
const pollTimeoutMs = 800;

type RemoteView = {
	subscribers: SubscriberView[];
	seenAt: number;
};

export class FleetView {
	readonly #core: ControllerCore;
	readonly #desk: SubscriberDesk;
	readonly #remote = new Map<string, RemoteView>();
	readonly #seenAt = new Map<string, number>();

	constructor(core: ControllerCore, desk: SubscriberDesk) {
		this.#core = core;
		this.#desk = desk;
	}

	start(): void {
		void this.#run();
	}

	/** Returns all subscribers of which there is news not older than two polls, each once. */
	list(): SubscriberView[] {
		const now = this.#core.context.clock.monotonic();
		const views = new Map<string, SubscriberView>();
		for (const view of [...this.#remote.values()].filter(remote => now - remote.seenAt < 2 * pollMs).flatMap(remote => remote.subscribers)) {
			views.set(view.member.instance, view);
		}

		for (const view of this.#desk.list()) {
			views.set(view.member.instance, view);
		}

		return [...views.values()];
	}

	listReports(): DemandReport[] {
		return this.list().flatMap(view => view.reports);
	}

	/** Returns how long ago an instance was last seen by any controller, in milliseconds. */
	computeSilence(instance: string): number {
		const seenAt = this.#seenAt.get(instance);
		return seenAt === undefined ? Number.POSITIVE_INFINITY : this.#core.context.clock.monotonic() - seenAt;
	}

	/** Starts the count of silence for an instance that was never seen. */
	noteKnown(instance: string): void {
		if (!this.#seenAt.has(instance)) {
			this.#seenAt.set(instance, this.#core.context.clock.monotonic());
		}
	}

	async #run(): Promise<void> {
		const {clock} = this.#core.context;
		while (!this.#core.stopped.signal.aborted) {
			await Promise.all(this.#core.log.getStatus().members.map(async member => this.#ask(member.id, member.address)));
			for (const view of this.list()) {
				this.#seenAt.set(view.member.instance, clock.monotonic());
			}

			this.#shareLimits();
			await clock.sleep(pollMs, this.#core.stopped.signal);
		}
	}

	async #ask(id: string, address: string): Promise<void> {
		if (id === this.#core.log.id) {
			return;
		}

		const reply = await this.#core.transport.findLink(address).connection?.request('control.subscribers', {}, {timeoutMs: pollTimeoutMs});
		if (reply?.isOk()) {
			this.#remote.set(id, {subscribers: reply.value.subscribers, seenAt: this.#core.context.clock.monotonic()});
		}
	}

	/** Tells each entry subscribed here which part of the fleet-wide limits it may use. */
	#shareLimits(): void {
		const entries = this.list().filter(view => view.member.roles.includes('entry'));
		const workspaces = new Set(entries.flatMap(view => view.demands.map(demand => demand.workspace)));
		const shares = new Map<string, WorkspaceShare[]>(entries.map(view => [view.member.instance, []]));
		for (const workspace of workspaces) {
			const demands = entries.map(view => ({holder: view.member.instance, demand: view.demands.find(demand => demand.workspace === workspace)?.requestsPerSecond ?? 0}));
			for (const [holder, fraction] of computeShares(demands)) {
				shares.get(holder)!.push({workspace, fraction});
			}
		}

		for (const [instance, list] of shares) {
			// The fraction under the empty name is for workspaces without demand anywhere.
			this.#desk.sendShares(instance, [...list, {workspace: '', fraction: 1 / entries.length}]);
		}
	}
}
