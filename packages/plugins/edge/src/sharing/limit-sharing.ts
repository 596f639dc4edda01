/**
 * What edges tell each other about the limits of servers: news of them, and grants to send. For each limited server one
 * member of the core issues the grants, the first in an order that all edges compute alike. A member that can't reach one
 * before it does not know whether that one still issues, so it issues a small part of the limit only, until no instance that
 * it reaches has a connection to that one. So does a member that reaches at most half of the instances.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {Mesh} from '@hickorytrack/mesh';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {RendezvousRanking} from '@hickorytrack/placement/rendezvous-ranking';
import {coreRole} from '@hickorytrack/route-store/core-member';
import type {LimitNews, LimitNote, Subject} from '@hickorytrack/shared-rate/limit-news';
import {RateIssuer, type GrantRequest, type GrantReply} from '@hickorytrack/shared-rate/rate-issuer';

export type LimitSharingOptions = {
	clock: Clock;
	tasks: BackgroundTasks;
	mesh: Mesh;
	news: LimitNews;
	/** Instances to which this one passes on what others tell. */
	listLeaves: () => readonly PeerConnection[];
	/** Called for each limit that another instance has told and that was news here, with what held before. */
	onNews: (note: LimitNote, opts: {formerly: number | undefined; peer: string}) => void;
};

/** News goes out after this time at the latest, together with other news of the meantime. */
const noteIntervalMs = 50;
/** An issuer that takes longer than usual by this time, for a pause of its process or a lost packet, is treated as unreachable. */
const replyMarginMs = 150;
/** The usual round trip counts this many times, since it varies. */
const roundTripFactor = 3;
const smoothingFactor = 0.2;
/** Interval at which the other instances are asked whether they reach a member, and the time for which the replies count. */
const reachIntervalMs = 500;
const reachTtlMs = 1500;
/** Part of a limit that is issued while a member that comes first can't be reached and may still issue all of it. */
const unconfirmedFraction = 0.25;

export class LimitSharing {
	readonly #opts: LimitSharingOptions;
	readonly #issuer: RateIssuer;
	readonly #ranking = new RendezvousRanking();
	/** Members that this one can't reach, by address, with what the other instances said of them last. */
	readonly #unreachable = new Map<string, {isLost: boolean; checkedAt: number}>();
	/** Servers with news that has not been sent, by id. */
	readonly #unsent = new Set<string>();
	#isSendDue = false;
	/** Usual time until the reply of an issuer, which may be in another region, in milliseconds. */
	#roundTripMs = 0;

	constructor(opts: LimitSharingOptions) {
		this.#opts = opts;
		this.#issuer = new RateIssuer(opts.clock);
		const {mesh, news} = opts;
		mesh.peers.handle('limit.note', ({limits}, connection) => {
			this.#handleNotes(limits, connection);
		});
		mesh.peers.handle('limit.acquire', ({server, startedAt, ...request}) => {
			const reply = this.#acquireGrants({id: server, startedAt}, request);
			return reply ? {isIssuer: true, ...reply} : {isIssuer: false, granted: 0, delayMs: 0};
		});
		mesh.peers.handle('limit.reach', ({address}) => ({isConnected: mesh.findConnection(address) !== undefined}));
		mesh.onConnected(connection => {
			this.sendAll(connection);
		});
	}

	/** Sends all limits to an instance that has started, was cut off or uses another relay, and has missed the news of the meantime. */
	sendAll(connection: PeerConnection): void {
		connection.notify('limit.note', {limits: this.#opts.news.list()});
	}

	/** Tells the other instances what is known of the limit of a server. */
	sendNews({id}: Subject): void {
		this.#unsent.add(id);
		if (!this.#isSendDue) {
			this.#isSendDue = true;
			const {clock, tasks} = this.#opts;
			clock.startTimer(noteIntervalMs, tasks.createListener('limit-news', () => {
				this.#isSendDue = false;
				this.#opts.mesh.broadcast('limit.note', {limits: this.#drainUnsent()});
			}));
		}
	}

	/** Requests grants from the instance that issues them for the server. Undefined if none could be reached. */
	async requestGrants(subject: Subject, request: GrantRequest): Promise<GrantReply | undefined> {
		const {mesh} = this.#opts;
		for (const address of this.#rankIssuers(subject)) {
			if (address === mesh.address) {
				return this.#acquireGrants(subject, request);
			}

			const connection = mesh.findConnection(address);
			if (connection) {
				return this.#requestFrom(connection, subject, request);
			}
		}

		return undefined;
	}

	/** Undefined without a reply in time; a later one still tells how long replies take. */
	async #requestFrom(connection: PeerConnection, subject: Subject, request: GrantRequest): Promise<GrantReply | undefined> {
		const {clock} = this.#opts;
		const sentAt = clock.monotonic();
		const replied = connection.request('limit.acquire', {server: subject.id, startedAt: subject.startedAt, ...request}).then(reply => {
			if (reply.isErr()) {
				return undefined;
			}

			this.#roundTripMs += (clock.monotonic() - sentAt - this.#roundTripMs) * smoothingFactor;
			return reply.value.isIssuer ? reply.value : undefined;
		});
		return waitWithTimeout(replied, this.#replyTimeoutMs, clock);
	}

	get #replyTimeoutMs(): number {
		return replyMarginMs + (this.#roundTripMs * roundTripFactor);
	}

	/** Undefined if another member issues the grants for this server. */
	#acquireGrants(subject: Subject, request: GrantRequest): GrantReply | undefined {
		const fraction = this.#computeFraction(subject);
		const perSecond = this.#opts.news.getRate(subject) ?? request.perSecond;
		return fraction === 0 ? undefined : this.#issuer.acquire(subject, {...request, perSecond}, {fraction});
	}

	/** Returns the part of the server's limit that this member issues. */
	#computeFraction(subject: Subject): number {
		const {mesh} = this.#opts;
		let fraction = this.#isCutOff ? unconfirmedFraction : 1;
		for (const address of this.#rankIssuers(subject)) {
			if (address === mesh.address) {
				return fraction;
			}

			if (mesh.findConnection(address)) {
				return 0;
			}

			fraction = mesh.isRefused(address) || this.#checkLost(address) ? fraction : unconfirmedFraction;
		}

		return 0;
	}

	/** True while this member reaches at most half of the instances: the others may have another issuer. */
	get #isCutOff(): boolean {
		const {mesh} = this.#opts;
		const running = mesh.listMembers().filter(({address}) => !mesh.isRefused(address)).length + 1;
		return (mesh.listConnections().length + 1) * 2 <= running;
	}

	/** Tells whether no instance that this one reaches had a connection to the member at the last check, and starts the next check. */
	#checkLost(address: string): boolean {
		const now = this.#opts.clock.monotonic();
		let known = this.#unreachable.get(address);
		if (!known || now - known.checkedAt > reachIntervalMs) {
			known = {isLost: known !== undefined && known.isLost && now - known.checkedAt < reachTtlMs, checkedAt: now};
			this.#unreachable.set(address, known);
			const checked = known;
			this.#opts.tasks.start('check-reach', async () => this.#updateReach(address, checked));
		}

		return known.isLost;
	}

	async #updateReach(address: string, known: {isLost: boolean}): Promise<void> {
		const connections = this.#opts.mesh.listConnections();
		const replies = await Promise.all(connections.map(async connection => connection.request('limit.reach', {address}, {timeoutMs: this.#replyTimeoutMs})));
		known.isLost = replies.length > 0 && replies.every(reply => reply.isOk() && !reply.value.isConnected);
	}

	/** Addresses of the members of the core, the one that issues grants for the server first. */
	#rankIssuers({id, startedAt}: Subject): string[] {
		const {mesh} = this.#opts;
		const own = mesh.peers.member.roles.includes(coreRole) ? [mesh.address] : [];
		const addresses = [...own, ...mesh.listMembers(coreRole).map(({address}) => address)].sort();
		const ranks = this.#ranking.computeRanks(`${id} ${startedAt}`, addresses);
		return addresses.sort((a, b) => ranks.get(a)! - ranks.get(b)!);
	}

	#handleNotes(notes: readonly LimitNote[], {remote}: PeerConnection): void {
		const {news, listLeaves, onNews} = this.#opts;
		const formerly = new Map(notes.map(note => [note.id, news.find(note)]));
		const changed = news.merge(notes);
		for (const note of changed) {
			onNews(note, {formerly: formerly.get(note.id), peer: remote.instance});
		}

		for (const leaf of changed.length > 0 ? listLeaves() : []) {
			if (leaf.remote.address !== remote.address) {
				leaf.notify('limit.note', {limits: changed});
			}
		}
	}

	#drainUnsent(): LimitNote[] {
		const ids = new Set(this.#unsent);
		this.#unsent.clear();
		return this.#opts.news.list().filter(({id}) => ids.has(id));
	}
}
