/**
 * Manages the subscriptions of entries and agents to this controller. One task per subscriber sends lease renewals and
 * stores the replies. Item changes are pushed to all subscribers at once; each receives only its subscribed topics.
 */
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {ItemPage} from '@hickorytrack/types/control';
import type {
	PeerMember, SubscribeParams, SubscribeResult, SubscriberView, WorkspaceShare,
} from '@hickorytrack/types/peer-methods';
import type {ControllerCore} from './controller-core.js';

type Subscriber = {
	connection: PeerConnection;
	member: PeerMember;
	topics: string[];
	/** Revision up to which items were sent. */
	sentRevision: number;
	confirmedRevision: number;
	demands: SubscriberView['demands'];
	reports: SubscriberView['reports'];
};

const renewalsPerLease = 6;
const maximumRenewalIntervalMs = 1000;

export class SubscriptionManager {
	readonly #core: ControllerCore;
	readonly #subscribers = new Map<string, Subscriber>();
	#isPushScheduled = false;

	constructor(core: ControllerCore) {
		this.#core = core;
		const {peers} = core.context;
		peers.handle('control.subscribe', (params, connection) => this.#subscribe(params, connection));
		peers.handle('control.subscribers', () => ({subscribers: this.list()}));
		peers.handle('items.fetch', ({revision}) => core.state.items.listSince(revision));
	}

	get size(): number {
		return this.#subscribers.size;
	}

	list(): SubscriberView[] {
		return [...this.#subscribers.values()].map(({member, confirmedRevision, demands, reports}) => ({
			member, revision: confirmedRevision, demands, reports,
		}));
	}

	/** Schedules one push for all item changes of the current turn of the event loop. */
	schedulePush(): void {
		if (this.#isPushScheduled) {
			return;
		}

		this.#isPushScheduled = true;
		setImmediate(() => {
			this.#isPushScheduled = false;
			// Most subscribers are at the same revision, so they share one page per revision.
			const pages = new Map<number, ItemPage>();
			for (const subscriber of this.#subscribers.values()) {
				this.#sendItems(subscriber, pages);
			}
		});
	}

	sendShares(instance: string, shares: WorkspaceShare[]): void {
		this.#subscribers.get(instance)?.connection.notify('control.shares', {shares});
	}

	#subscribe(params: SubscribeParams, connection: PeerConnection): SubscribeResult {
		const {member, topics, revision} = params;
		const page = this.#createPage(topics, revision);
		const subscriber: Subscriber = {
			connection, member, topics, sentRevision: page.revision, confirmedRevision: 0, demands: [], reports: [],
		};
		this.#subscribers.set(member.instance, subscriber);
		void this.#sendLeaseRenewals(subscriber);
		this.#core.context.metrics.gauge('controller.subscribers', this.#subscribers.size);
		return {page, leaseMs: this.#core.context.settings.leaseMs};
	}

	async #sendLeaseRenewals(subscriber: Subscriber): Promise<void> {
		const {clock, settings, steps} = this.#core.context;
		const intervalMs = Math.min(maximumRenewalIntervalMs, settings.leaseMs / renewalsPerLease);
		const {connection} = subscriber;
		while (connection.isOpen && !this.#core.stopped.signal.aborted) {
			const page = this.#createPage(subscriber.topics, subscriber.sentRevision);
			const quorumAgeMs = this.#core.log.computeQuorumAge();
			subscriber.sentRevision = page.revision;
			const reply = await connection.request('control.lease', {
				revision: page.revision, quorumAgeMs, term: this.#core.log.term, page,
			}, {timeoutMs: settings.silenceMs});
			if (reply.isOk()) {
				subscriber.confirmedRevision = reply.value.revision;
				subscriber.demands = reply.value.demands;
				subscriber.reports = reply.value.reports;
				await steps.onStep('control.confirmed', settings.instance);
			}

			// A subscriber that missed a page is sent everything since its confirmed revision again.
			if (reply.isErr() || reply.value.revision < page.revision) {
				subscriber.sentRevision = Math.min(subscriber.sentRevision, subscriber.confirmedRevision);
			}

			await clock.sleep(intervalMs);
		}

		if (this.#subscribers.get(subscriber.member.instance) === subscriber) {
			this.#subscribers.delete(subscriber.member.instance);
		}
	}

	#sendItems(subscriber: Subscriber, pages: Map<number, ItemPage>): void {
		const fullPage = pages.get(subscriber.sentRevision) ?? this.#core.state.items.listSince(subscriber.sentRevision);
		pages.set(subscriber.sentRevision, fullPage);
		const page = filterPage(fullPage, subscriber.topics);
		if (page.items.length > 0 && subscriber.connection.isOpen) {
			subscriber.sentRevision = page.revision;
			subscriber.connection.notify('control.items', {page});
			void this.#core.context.steps.onStep('control.pushed', this.#core.context.settings.instance);
		}
	}

	#createPage(topics: readonly string[], since: number): ItemPage {
		return filterPage(this.#core.state.items.listSince(since), topics);
	}
}

function filterPage(page: ItemPage, topics: readonly string[]): ItemPage {
	return {...page, items: page.items.filter(item => topics.some(topic => item.key.startsWith(topic)))};
}
