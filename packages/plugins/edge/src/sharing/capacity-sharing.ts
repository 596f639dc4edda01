/**
 * Readiness by capacity. Instances tell each other their capacity and how much of it they use, and one with a weak processor
 * reports ready only while it belongs to the ready set of its zone. What a relay has heard from an instance itself it passes on
 * to its leaves of the same zone. An instance with a strong processor takes part once it has heard from a weak one.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {OwnResources} from '@hickorytrack/own-resources';
import {selectReadySet, strongProcessorShare, type InstanceCapacity} from '@hickorytrack/own-resources/ready-set';
import {ReadyState} from '@hickorytrack/own-resources/ready-state';
import type {CapacityEntry, PeerMember, PeerMethods} from '@hickorytrack/types/peer-methods';

type Note = PeerMethods['capacity.note']['params'];

/** An open connection to another instance. */
export type CapacityPeer = {
	readonly remote: PeerMember;
	notify(method: 'capacity.note', note: Note): void;
};

export type CapacitySharingOptions<Peer extends CapacityPeer> = {
	clock: Clock;
	events: EventLog;
	resources: OwnResources;
	member: Pick<PeerMember, 'instance' | 'availabilityZone'>;
	/** Role of the instances that pass on what they hear. */
	relayRole: string;
	listPeers: () => readonly Peer[];
	/** Instances that use this one as their relay. */
	listLeaves: () => readonly Peer[];
	/** Tells whether the instance takes new connections, apart from the ready set. */
	isServing: () => boolean;
};

const shareIntervalMs = 1000;
/** What an instance has told holds for this time, which spans two lost or late notes. */
const entryTimeoutMs = 3000;

type Known = {entry: CapacityEntry; heardAt: number; isDirect: boolean};

export class CapacitySharing<Peer extends CapacityPeer = CapacityPeer> {
	readonly #opts: CapacitySharingOptions<Peer>;
	readonly #known = new Map<string, Known>();
	readonly #state: ReadyState;
	#readySetSize = 1;

	constructor(opts: CapacitySharingOptions<Peer>) {
		this.#opts = opts;
		this.#state = new ReadyState(opts.clock);
	}

	/** The stronger instances of the zone carry its load. */
	get isOutside(): boolean {
		return !this.#state.isReady;
	}

	/** Instances of the own zone that are ready by their capacity. */
	get readySetSize(): number {
		return this.#readySetSize;
	}

	/** Shares the capacity until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.share();
			await this.#opts.clock.sleep(shareIntervalMs, signal);
		}
	}

	/** Tells the other instances the capacity; also at the start of a stop, so that those outside the ready set enter at once. */
	share(): void {
		this.#removeStale();
		if (this.#opts.resources.hasWeakProcessor || this.#known.size > 0) {
			this.#send();
			this.#updateState();
		}
	}

	handleNote({instances}: Note, {remote}: Peer): void {
		const heardAt = this.#opts.clock.monotonic();
		for (const entry of instances) {
			const [instance, availabilityZone] = entry;
			const isDirect = instance === remote.instance;
			const isOwn = instance === this.#opts.member.instance;
			if (isOwn || (!isDirect && availabilityZone !== this.#opts.member.availabilityZone)) {
				continue;
			}

			// A relay may repeat what the instance has corrected meanwhile.
			const known = this.#known.get(instance);
			if (isDirect || !known?.isDirect) {
				this.#known.set(instance, {entry, heardAt, isDirect});
			}
		}

		this.#updateState();
	}

	#send(): void {
		const {member, resources, relayRole, listPeers, listLeaves, isServing} = this.#opts;
		const {instance, processorShare, linkMbps, usedProcessor, usedMbps} = resources.measureCapacity(member.instance);
		const own: CapacityEntry = [instance, member.availabilityZone, isServing() ? processorShare : 0, linkMbps, round(usedProcessor), round(usedMbps)];
		const leaves = new Set(listLeaves());
		const direct = [...this.#known.values()].filter(({isDirect}) => isDirect).map(({entry}) => entry);
		for (const peer of listPeers()) {
			const {remote} = peer;
			const isSameZone = remote.availabilityZone === member.availabilityZone;
			const passedOn = leaves.has(peer) ? direct.filter(([other, zone]) => zone === remote.availabilityZone && other !== remote.instance) : [];
			const instances = [...(isSameZone || remote.roles.includes(relayRole) ? [own] : []), ...passedOn];
			if (instances.length > 0) {
				peer.notify('capacity.note', {instances});
			}
		}
	}

	#updateState(): void {
		const {member, resources, events, isServing} = this.#opts;
		if (!resources.hasWeakProcessor) {
			return;
		}

		const others = [...this.#known.values()].map(({entry}) => entry).filter(([, zone]) => zone === member.availabilityZone);
		const own = resources.measureCapacity(member.instance);
		const readySet = selectReadySet([own, ...others.map(entry => convertEntry(entry))]);
		const {isReady: wasReady} = this.#state;
		// Among weak instances alone, a smaller set gains nothing.
		const hasStrong = others.some(([instance, , processorShare]) => processorShare >= strongProcessorShare && readySet.has(instance));
		// An instance that is starting or stopping begins outside the count; it is ready again as soon as it serves.
		const isInside = !hasStrong || !isServing() || readySet.has(member.instance);
		const isReady = this.#state.update(isInside);
		this.#readySetSize = readySet.size;
		if (isReady !== wasReady) {
			const fields = {
				instances: others.length + 1, readySet: [...readySet], usedProcessor: round(own.usedProcessor), usedMbps: round(own.usedMbps),
			};
			events.emit(isReady ? 'readySetEntered' : 'readySetLeft', fields);
		}
	}

	#removeStale(): void {
		const now = this.#opts.clock.monotonic();
		const connected = new Set(this.#opts.listPeers().map(({remote}) => remote.instance));
		for (const [instance, {heardAt, isDirect}] of this.#known) {
			if (now - heardAt > entryTimeoutMs || (isDirect && !connected.has(instance))) {
				this.#known.delete(instance);
			}
		}
	}
}

function convertEntry([instance, , processorShare, linkMbps, usedProcessor, usedMbps]: CapacityEntry): InstanceCapacity {
	return {
		instance, processorShare, linkMbps, usedProcessor, usedMbps,
	};
}

/** Two decimal places are enough for a choice among instances, and keep the note short. */
function round(value: number): number {
	return Math.round(value * 100) / 100;
}
