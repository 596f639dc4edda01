/**
 * Tells every instance what all others have in flight at the servers, many times a second.
 *
 * A few instances tell each other directly. With many, that would fill the links of small machines: the messages grow with
 * the square of their number. Then each leaf tells one relay, relays tell each other the sum of their region, and each
 * leaf gets one message with the sum of everybody else. A leaf whose relay falls silent turns to the next one.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {FleetCache} from '@hickorytrack/prompt-placement/fleet-cache';
import type {LoadBoard} from '@hickorytrack/prompt-placement/load-board';
import {
	shareScopes, type LoadShare, type PeerMember, type StoredPrompt,
} from '@hickorytrack/types/peer-methods';
import {rankRelays} from './rank-relays.js';

/** An open connection to another instance. */
export type SharePeer = {
	readonly remote: PeerMember;
	readonly isOpen: boolean;
	notify(method: 'load.share', share: LoadShare): void;
};

export type LoadSharingOptions = {
	clock: Clock;
	events: EventLog;
	board: LoadBoard;
	cache: FleetCache;
	/** Name and zone of this instance; its roles say whether it is a relay. */
	member: Pick<PeerMember, 'instance' | 'availabilityZone' | 'roles'>;
	/** Role of the instances that relay. */
	relayRole: string;
	listPeers: () => readonly SharePeer[];
	/** Takes over what other instances have had stored. */
	onStored: (stored: readonly StoredPrompt[]) => void;
};

/** Interval at which changed load is shared, in milliseconds; a server reads some 4,000 tokens in it, half a long prompt. */
export const shareIntervalMs = 20;
/** Unchanged load is shared at this interval, because shares lapse after a second. */
const forcedShareMs = 400;
/** A leaf turns away from a relay that has told it nothing for so long; two forced shares may be late. */
const relaySilenceMs = 900;
/** A relay that fell silent is left alone for this time. */
const avoidMs = 5000;
/** A relay forgets a leaf that has told it nothing for so long. */
const leafSilenceMs = 1000;
/** With more peers than this, relays are used. At eight, a share of a dozen servers, some 350 bytes, makes 140 KB/s. */
const maxDirectPeers = 8;

type Leaf = {
	peer: SharePeer;
	heardAt: number;
};

type Relay = {
	instance: string;
	heardAt: number;
};

/** Prompts that another instance told this relay, to be passed on at the next share. */
type Passage = {
	from: string;
	isFromLeaf: boolean;
	stored: readonly StoredPrompt[];
};

export class LoadSharing {
	readonly #opts: LoadSharingOptions;
	readonly #leaves = new Map<string, Leaf>();
	readonly #avoidedUntil = new Map<string, number>();
	#passages: Passage[] = [];
	#relay: Relay | undefined;
	#forcedAt = Number.NEGATIVE_INFINITY;
	#isHeard = false;

	constructor(opts: LoadSharingOptions) {
		this.#opts = opts;
	}

	/** The relay that this instance uses, where it does. */
	get relay(): string | undefined {
		return this.#relay?.instance;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(shareIntervalMs, signal);
			this.sendShares();
		}
	}

	/** Takes a share of another instance. */
	handleShare(share: LoadShare, peer: SharePeer): void {
		this.#opts.onStored(share.stored);
		if (share.scope === shareScopes.rest) {
			this.#receiveRest(share);
			return;
		}

		if (this.#relay && share.scope !== shareScopes.leaf) {
			return; // The relay speaks for everybody.
		}

		this.#isHeard = true;
		this.#opts.board.noteShare(share.instance, share.servers);
		if (share.scope === shareScopes.leaf) {
			this.#leaves.set(share.instance, {peer, heardAt: this.#opts.clock.monotonic()});
		}

		if (this.#isRelay && share.stored.length > 0) {
			this.#passages.push({from: share.instance, isFromLeaf: share.scope === shareScopes.leaf, stored: share.stored});
		}
	}

	/** Tells the others what has changed since the last call. */
	sendShares(): void {
		this.#forgetLeaves();
		if (!this.#takeOccasion()) {
			return;
		}

		const peers = this.#opts.listPeers();
		const isCrowd = peers.length > maxDirectPeers;
		if (this.#isRelay && (isCrowd || this.#leaves.size > 0)) {
			this.#shareAsRelay(peers);
		} else if (isCrowd) {
			this.#shareAsLeaf(peers);
		} else {
			this.#shareDirectly(peers);
		}
	}

	get #isRelay(): boolean {
		return this.#opts.member.roles.includes(this.#opts.relayRole);
	}

	#shareDirectly(peers: readonly SharePeer[]): void {
		this.#relay = undefined;
		this.#passages = [];
		const share = this.#createShare(shareScopes.own, {servers: this.#opts.board.listOwn(), stored: this.#opts.cache.takeUnsent()});
		for (const peer of peers) {
			peer.notify('load.share', share);
		}
	}

	#shareAsLeaf(peers: readonly SharePeer[]): void {
		const relay = this.#findRelay(peers);
		if (relay) {
			const {board, cache} = this.#opts;
			relay.notify('load.share', this.#createShare(shareScopes.leaf, {servers: board.listOwn(), stored: cache.takeUnsent()}));
		}
	}

	#shareAsRelay(peers: readonly SharePeer[]): void {
		this.#relay = undefined;
		const passages = this.#passages;
		this.#passages = [];
		const {board, cache, relayRole} = this.#opts;
		const stored = cache.takeUnsent();
		const region = this.#createShare(shareScopes.region, {
			servers: board.listOwn({with: this.#leaves.keys()}),
			stored: [...stored, ...passages.filter(passage => passage.isFromLeaf).flatMap(passage => passage.stored)],
		});
		for (const peer of peers) {
			if (peer.remote.roles.includes(relayRole)) {
				peer.notify('load.share', region);
			}
		}

		for (const [instance, {peer}] of this.#leaves) {
			peer.notify('load.share', this.#createShare(shareScopes.rest, {
				servers: board.listAllBut(instance),
				stored: [...stored, ...passages.filter(passage => passage.from !== instance).flatMap(passage => passage.stored)],
			}));
		}
	}

	#createShare(scope: LoadShare['scope'], content: Pick<LoadShare, 'servers' | 'stored'>): LoadShare {
		return {instance: this.#opts.member.instance, scope, ...content};
	}

	/** Tells whether there is something to share now. */
	#takeOccasion(): boolean {
		const now = this.#opts.clock.monotonic();
		const isForced = now - this.#forcedAt >= forcedShareMs;
		const isOwnChanged = this.#opts.board.takeChange();
		const isPassing = this.#isHeard && this.#leaves.size > 0;
		this.#isHeard = false;
		if (isForced) {
			this.#forcedAt = now;
		}

		return isForced || isOwnChanged || isPassing;
	}

	#receiveRest(share: LoadShare): void {
		if (share.instance !== this.#relay?.instance) {
			return; // From a relay that was left a moment ago.
		}

		this.#relay.heardAt = this.#opts.clock.monotonic();
		this.#opts.board.noteShare(share.instance, share.servers);
		this.#opts.board.forgetAllBut(share.instance);
	}

	#findRelay(peers: readonly SharePeer[]): SharePeer | undefined {
		const now = this.#opts.clock.monotonic();
		const open = peers.filter(peer => peer.isOpen && peer.remote.roles.includes(this.#opts.relayRole));
		const current = open.find(peer => peer.remote.instance === this.#relay?.instance);
		if (this.#relay && current && now - this.#relay.heardAt <= relaySilenceMs) {
			return current;
		}

		if (this.#relay && current) {
			this.#avoidedUntil.set(this.#relay.instance, now + avoidMs);
		}

		const welcome = open.filter(peer => (this.#avoidedUntil.get(peer.remote.instance) ?? 0) <= now);
		const [next] = rankRelays(welcome.length > 0 ? welcome : open, this.#opts.member);
		if (next?.remote.instance !== this.#relay?.instance) {
			this.#opts.events.emit('relayChosen', {relay: next?.remote.instance, former: this.#relay?.instance, candidates: open.length});
		}

		this.#relay = next && {instance: next.remote.instance, heardAt: now};
		return next;
	}

	#forgetLeaves(): void {
		const now = this.#opts.clock.monotonic();
		for (const [instance, {peer, heardAt}] of this.#leaves) {
			if (!peer.isOpen || now - heardAt > leafSilenceMs) {
				this.#leaves.delete(instance);
			}
		}
	}
}
