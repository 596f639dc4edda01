/**
 * Reports the work that each instance has in flight at the servers to all other instances: at once when it changes, but no
 * more often than every `shareIntervalMs`, and otherwise every `refreshIntervalMs`.
 *
 * A few instances send their load to each other directly. The number of messages grows with the square of the number of
 * instances, so with many instances this would saturate the links of small machines. Then some instances are relays and
 * the others are leaves. Each leaf sends its load to one relay, relays send each other the sum of their region (the
 * relay and its leaves), and each leaf receives one message with the sum of all other instances. A leaf whose relay
 * stops sending switches to another relay.
 */
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {
	shareScopes, type LoadShare, type PeerMember, type SpeedNote, type StoredPrompt,
} from '@hickorytrack/types/peer-methods';
import {countSpareNotes, fitShare} from './fit-share.js';
import {rankRelays} from './rank-relays.js';

/** An open connection to another instance. */
export type SharePeer = {
	readonly remote: PeerMember;
	readonly isOpen: boolean;
	notify(method: 'load.share', share: LoadShare): void;
};

export type LoadSharingOptions<Peer extends SharePeer> = {
	clock: Clock;
	events: EventLog;
	loadTracker: LoadTracker;
	cacheIndex: PrefixCacheIndex;
	/** Name and zone of this instance; its roles tell whether it is a relay. */
	member: Pick<PeerMember, 'instance' | 'availabilityZone' | 'roles'>;
	/** Role of the instances that act as relays. */
	relayRole: string;
	listPeers: () => readonly Peer[];
	/** Tells whether there are too many instances for direct shares. */
	usesRelays: () => boolean;
	/** Called on a relay when an instance starts to use it. */
	onLeafAdded?: (peer: Peer) => void;
	/** Called with the prompts that other instances report as stored. */
	onStored: (stored: readonly StoredPrompt[]) => void;
	/** Shortest interval between two shares of this instance, and of its relay to it, while it is a leaf; in milliseconds. */
	leafIntervalMs?: number;
	/** Returns measured speeds for the other instances, at most as many as given. */
	drainSpeeds?: (maxNotes: number) => SpeedNote[];
	/** Called with the speeds that other instances have measured. */
	onSpeeds?: (speeds: readonly SpeedNote[]) => void;
	/** Without it, errors of tasks are printed as warnings. */
	tasks?: BackgroundTasks;
};

/** Shortest interval at which changed load is shared, in milliseconds. A server prefills about 4,000 tokens meanwhile, half of a long prompt. */
export const shareIntervalMs = 20;
/**
 * A relay sends each leaf a message of its own. With more leaves than these in the shortest interval, it sends less often, so
 * that its cost does not grow with the fleet.
 */
const maxLeavesPerMs = 0.35;
/** Unchanged load is shared at this interval, because receivers discard a share after one second. */
const refreshIntervalMs = 400;
/** A leaf switches to another relay when its own has sent nothing for this time, a little more than two refresh intervals. */
const relayTimeoutMs = 900;
/** A relay that has timed out is not selected again for this time, as long as another one is connected. */
const relayBackoffMs = 5000;
/** A relay removes a leaf that has sent nothing for this time. */
const leafTimeoutMs = 1000;

type Leaf<Peer> = {
	peer: Peer;
	heardAt: number;
	/** Shortest interval at which the leaf takes shares, in milliseconds. */
	intervalMs: number;
	sentAt: number;
	/** What changed since the last share to the leaf, if anything has. */
	pending?: {speeds: SpeedNote[]; stored: StoredPrompt[]};
};

type Relay = {
	instance: string;
	heardAt: number;
};

/** Stored prompts from another instance, which this relay forwards with its next shares. */
type PendingForward = {
	from: string;
	isFromLeaf: boolean;
	stored: readonly StoredPrompt[];
	speeds: readonly SpeedNote[];
};

export class LoadSharing<Peer extends SharePeer = SharePeer> {
	readonly #opts: LoadSharingOptions<Peer>;
	readonly #tasks: BackgroundTasks;
	readonly #leaves = new Map<string, Leaf<Peer>>();
	readonly #backoffUntil = new Map<string, number>();
	#pendingForwards: PendingForward[] = [];
	#relay: Relay | undefined;
	#lastRefreshAt = Number.NEGATIVE_INFINITY;
	#hasNewShares = false;
	#onChange: (() => void) | undefined;

	constructor(opts: LoadSharingOptions<Peer>) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
	}

	/** The relay that this instance uses, if any. */
	get relay(): string | undefined {
		return this.#relay?.instance;
	}

	/** The instances that use this one as their relay. */
	get leaves(): Peer[] {
		this.#removeStaleLeaves();
		return [...this.#leaves.values()].map(leaf => leaf.peer);
	}

	/** Sends shares until the signal aborts: soon after a change, and at every refresh interval. */
	run(signal: AbortSignal): void {
		const {clock, loadTracker} = this.#opts;
		let cancelTimer: (() => void) | undefined;
		let sentAt = Number.NEGATIVE_INFINITY;
		let isDueSoon = false;
		const schedule = (delayMs: number) => {
			cancelTimer?.();
			if (signal.aborted) {
				return;
			}

			cancelTimer = clock.startTimer(delayMs, this.#tasks.createListener('load-sharing', () => {
				sentAt = clock.monotonic();
				isDueSoon = false;
				schedule(refreshIntervalMs);
				this.sendShares();
			}));
		};

		this.#onChange = () => {
			if (!isDueSoon) {
				isDueSoon = true;
				schedule(Math.max(0, sentAt + this.#intervalMs - clock.monotonic()));
			}
		};

		loadTracker.onChange(this.#onChange);
		signal.addEventListener('abort', () => {
			cancelTimer?.();
		}, {once: true});
		schedule(refreshIntervalMs);
	}

	/** Handles a share from another instance. */
	handleShare(share: LoadShare, peer: Peer): void {
		const {speeds = []} = share;
		this.#opts.onStored(share.stored);
		this.#opts.onSpeeds?.(speeds);
		if (share.scope === shareScopes.rest) {
			this.#handleRelayShare(share);
			return;
		}

		if (this.#relay && share.scope !== shareScopes.leaf) {
			return; // The relay's share includes the load of all other instances.
		}

		const isChanged = this.#opts.loadTracker.replaceSource(share.instance, share.servers);
		if (share.scope === shareScopes.leaf) {
			const known = this.#leaves.get(share.instance);
			const isNew = known?.peer !== peer;
			const leaf = {
				...(isNew ? {sentAt: Number.NEGATIVE_INFINITY} : known), peer, heardAt: this.#opts.clock.monotonic(), intervalMs: share.intervalMs ?? 0,
			};
			this.#leaves.set(share.instance, leaf);
			if (isNew) {
				this.#opts.onLeafAdded?.(peer);
			}
		}

		if (this.#leaves.size > 0 && (isChanged || share.stored.length > 0)) {
			this.#hasNewShares = true;
			this.#onChange?.();
		}

		if (this.#isRelay && (share.stored.length > 0 || speeds.length > 0)) {
			this.#pendingForwards.push({
				from: share.instance, isFromLeaf: share.scope === shareScopes.leaf, stored: share.stored, speeds,
			});
		}
	}

	/** Sends this instance's load to the others if it has changed since the last call or a refresh is due. */
	sendShares(): void {
		this.#removeStaleLeaves();
		if (!this.#checkShareDue()) {
			this.#sendToLeaves();
			return;
		}

		const peers = this.#opts.listPeers();
		const usesRelays = this.#opts.usesRelays();
		if (this.#isRelay && (usesRelays || this.#leaves.size > 0)) {
			this.#sendAsRelay(peers);
		} else if (usesRelays) {
			this.#sendAsLeaf(peers);
		} else {
			this.#sendDirectly(peers);
		}
	}

	/** Shortest interval between two shares of this instance, in milliseconds. */
	get #intervalMs(): number {
		return Math.max(shareIntervalMs, this.#leaves.size / maxLeavesPerMs, this.#relay ? this.#opts.leafIntervalMs ?? 0 : 0);
	}

	get #isRelay(): boolean {
		return this.#opts.member.roles.includes(this.#opts.relayRole);
	}

	#sendDirectly(peers: readonly Peer[]): void {
		this.#relay = undefined;
		this.#pendingForwards = [];
		const share = this.#createShare(shareScopes.own, this.#collectOwn());
		for (const peer of peers) {
			peer.notify('load.share', share);
		}
	}

	#sendAsLeaf(peers: readonly Peer[]): void {
		const relay = this.#findRelay(peers);
		if (relay) {
			const {leafIntervalMs: intervalMs} = this.#opts;
			const share = this.#createShare(shareScopes.leaf, this.#collectOwn());
			relay.notify('load.share', intervalMs === undefined ? share : {...share, intervalMs});
		}
	}

	#sendAsRelay(peers: readonly Peer[]): void {
		this.#relay = undefined;
		const forwards = this.#pendingForwards;
		this.#pendingForwards = [];
		const {loadTracker, cacheIndex, relayRole} = this.#opts;
		const stored = cacheIndex.drainUnsent();
		const servers = loadTracker.listOwn({with: this.#leaves.keys()});
		const speeds = this.#drainSpeeds({servers, stored});
		const region = this.#createShare(shareScopes.region, {
			servers,
			speeds: [...speeds, ...forwards.filter(forward => forward.isFromLeaf).flatMap(forward => forward.speeds)],
			stored: [...stored, ...forwards.filter(forward => forward.isFromLeaf).flatMap(forward => forward.stored)],
		});
		for (const peer of peers) {
			if (peer.remote.roles.includes(relayRole)) {
				peer.notify('load.share', region);
			}
		}

		for (const [instance, leaf] of this.#leaves) {
			const forwarded = forwards.filter(forward => forward.from !== instance);
			leaf.pending = {
				speeds: [...leaf.pending?.speeds ?? [], ...speeds, ...forwarded.flatMap(forward => forward.speeds)],
				stored: [...leaf.pending?.stored ?? [], ...stored, ...forwarded.flatMap(forward => forward.stored)],
			};
		}

		this.#sendToLeaves();
	}

	/** Sends what has changed to each leaf that takes a share by now; the others get it later. */
	#sendToLeaves(): void {
		const now = this.#opts.clock.monotonic();
		let isAnyLeft = false;
		for (const [instance, leaf] of this.#leaves) {
			const {peer, pending, sentAt, intervalMs} = leaf;
			if (pending && now - sentAt >= intervalMs) {
				leaf.pending = undefined;
				leaf.sentAt = now;
				peer.notify('load.share', this.#createShare(shareScopes.rest, {servers: this.#opts.loadTracker.listAllExcept(instance), ...pending}));
			} else {
				isAnyLeft ||= pending !== undefined;
			}
		}

		if (isAnyLeft) {
			this.#onChange?.();
		}
	}

	#collectOwn(): Pick<LoadShare, 'servers' | 'stored' | 'speeds'> {
		const {loadTracker, cacheIndex} = this.#opts;
		const content = {servers: loadTracker.listOwn(), stored: cacheIndex.drainUnsent()};
		return {...content, speeds: this.#drainSpeeds(content)};
	}

	#drainSpeeds(content: Pick<LoadShare, 'servers' | 'stored'>): SpeedNote[] {
		return this.#opts.drainSpeeds?.(countSpareNotes(content)) ?? [];
	}

	#createShare(scope: LoadShare['scope'], content: Pick<LoadShare, 'servers' | 'stored' | 'speeds'>): LoadShare {
		return fitShare({instance: this.#opts.member.instance, scope, ...content});
	}

	/** Returns whether a share is due, and clears the flags that made it due. */
	#checkShareDue(): boolean {
		const now = this.#opts.clock.monotonic();
		const isRefreshDue = now - this.#lastRefreshAt >= refreshIntervalMs;
		const isOwnChanged = this.#opts.loadTracker.clearChanged();
		const isForwardDue = this.#hasNewShares && this.#leaves.size > 0;
		this.#hasNewShares = false;
		if (isRefreshDue) {
			this.#lastRefreshAt = now;
		}

		return isRefreshDue || isOwnChanged || isForwardDue;
	}

	#handleRelayShare(share: LoadShare): void {
		if (share.instance !== this.#relay?.instance) {
			return; // From a relay that this instance no longer uses.
		}

		this.#relay.heardAt = this.#opts.clock.monotonic();
		this.#opts.loadTracker.replaceSource(share.instance, share.servers);
		this.#opts.loadTracker.removeOtherSources(share.instance);
	}

	#findRelay(peers: readonly Peer[]): Peer | undefined {
		const now = this.#opts.clock.monotonic();
		const open = peers.filter(peer => peer.isOpen && peer.remote.roles.includes(this.#opts.relayRole));
		const current = open.find(peer => peer.remote.instance === this.#relay?.instance);
		if (this.#relay && current && now - this.#relay.heardAt <= relayTimeoutMs) {
			return current;
		}

		if (this.#relay && current) {
			this.#backoffUntil.set(this.#relay.instance, now + relayBackoffMs);
		}

		const eligible = open.filter(peer => (this.#backoffUntil.get(peer.remote.instance) ?? 0) <= now);
		const [next] = rankRelays(eligible.length > 0 ? eligible : open, this.#opts.member);
		if (next?.remote.instance !== this.#relay?.instance) {
			this.#opts.events.emit('relayChosen', {relay: next?.remote.instance, former: this.#relay?.instance, candidates: open.length});
		}

		this.#relay = next && {instance: next.remote.instance, heardAt: now};
		return next;
	}

	#removeStaleLeaves(): void {
		const now = this.#opts.clock.monotonic();
		for (const [instance, {peer, heardAt}] of this.#leaves) {
			if (!peer.isOpen || now - heardAt > leafTimeoutMs) {
				this.#leaves.delete(instance);
			}
		}
	}
}
