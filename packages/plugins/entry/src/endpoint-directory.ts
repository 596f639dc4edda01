/**
 * The endpoints that this entry uses: a subset of all endpoints, selected by rendezvous hashing so that each endpoint is
 * in about the same number of subsets, with a persistent link to the agent of each. Holds the last load report of each
 * endpoint and the work that this entry has sent since.
 */
import {createHash} from 'node:crypto';
import type {Clock} from '@hickorytrack/clock';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {PersistentLink, PeerNode} from '@hickorytrack/peer-link/peer-node';
import {CacheView} from '@hickorytrack/placement/cache-view';
import type {PlacementCandidate} from '@hickorytrack/placement';
import type {ControlItem, EndpointRecord} from '@hickorytrack/types/control';
import type {EndpointLoad, EndpointPhase} from '@hickorytrack/types/endpoint';

/** Maximum number of endpoints per model or service to which an entry keeps links. */
export const maximumEndpointsPerName = 48;

type OutstandingWork = {
	sentAt: number;
	prefillTokens: number;
	decodeTokens: number;
};

export type EndpointFilter = {
	excluded?: ReadonlySet<string>;
	/** A generation that has output goes on only at endpoints with the software version that began it. Those that state none count as one version. */
	begunAt?: {softwareVersion: string | undefined};
};

export class EndpointHandle {
	record: EndpointRecord;
	phase: EndpointPhase = 'serving';
	load: EndpointLoad | undefined;
	loadReceivedAt = Number.NEGATIVE_INFINITY;
	readonly cache = new CacheView();
	readonly link: PersistentLink;
	readonly #outstanding = new Map<string, OutstandingWork>();
	#isDiscarded = false;
	/** Monotonic time until which the endpoint is not selected, because a submission to it failed or it was not ready. */
	backOffUntil = Number.NEGATIVE_INFINITY;

	constructor(record: EndpointRecord, link: PersistentLink) {
		this.record = record;
		this.link = link;
	}

	get endpoint(): string {
		return this.record.announcement.endpoint;
	}

	get softwareVersion(): string | undefined {
		return this.record.announcement.softwareVersion;
	}

	get connection(): PeerConnection | undefined {
		return this.link.connection;
	}

	recordSent(attempt: string, work: OutstandingWork): void {
		this.#outstanding.set(attempt, work);
	}

	recordFinished(attempt: string): void {
		this.#outstanding.delete(attempt);
		this.#stopUnusedLink();
	}

	/** Stops the link once no attempt runs over it. The endpoint gets no others. */
	discard(): void {
		this.#isDiscarded = true;
		this.#stopUnusedLink();
	}

	updateLoad(load: EndpointLoad, at: number): void {
		if (!this.load || load.sequence > this.load.sequence || at - this.loadReceivedAt > staleLoadMs) {
			this.load = load;
			this.loadReceivedAt = at;
		}
	}

	/** Computes the total of the outstanding work that was sent after the last load report. */
	computeUnreportedWork(): {requests: number; prefillTokens: number; decodeTokens: number} {
		const sum = {requests: 0, prefillTokens: 0, decodeTokens: 0};
		for (const work of this.#outstanding.values()) {
			if (work.sentAt > this.loadReceivedAt) {
				sum.requests++;
				sum.prefillTokens += work.prefillTokens;
				sum.decodeTokens += work.decodeTokens;
			}
		}

		return sum;
	}

	#stopUnusedLink(): void {
		if (this.#isDiscarded && this.#outstanding.size === 0) {
			this.link.stop();
		}
	}
}

/** A load report that was received longer ago than this is replaced by any new one whatever its sequence, as the agent may have restarted. */
const staleLoadMs = 5000;

export type EndpointDirectoryOptions = {
	clock: Clock;
	peers: PeerNode;
};

export class EndpointDirectory {
	readonly #opts: EndpointDirectoryOptions;
	readonly #records = new Map<string, EndpointRecord>();
	readonly #phases = new Map<string, EndpointPhase>();
	readonly #handles = new Map<string, EndpointHandle>();
	/** Each agent serves one endpoint. */
	readonly #handleByAgent = new Map<string, EndpointHandle>();

	constructor(opts: EndpointDirectoryOptions) {
		this.#opts = opts;
	}

	get handles(): ReadonlyMap<string, EndpointHandle> {
		return this.#handles;
	}

	applyItems(items: readonly ControlItem[]): void {
		for (const {key, value} of items) {
			if (value.kind === 'endpoint') {
				this.#records.set(value.record.announcement.endpoint, value.record);
			} else if (key.startsWith('endpoint/')) {
				// Any other value under an endpoint's key means that the endpoint was removed.
				this.#records.delete(key.slice('endpoint/'.length));
			} else if (value.kind === 'directive') {
				this.#phases.set(value.directive.endpoint, value.directive.phase);
			}
		}

		this.#updateHandles();
	}

	updateLoad(agent: string, load: EndpointLoad): void {
		this.#handleByAgent.get(agent)?.updateLoad(load, this.#opts.clock.monotonic());
	}

	find(endpoint: string): EndpointHandle | undefined {
		return this.#handles.get(endpoint);
	}

	/** Returns the record of any endpoint, also of one outside the subset of this entry. */
	findRecord(endpoint: string): EndpointRecord | undefined {
		return this.#records.get(endpoint);
	}

	/** Returns the endpoints of a model or service that can receive a request now. */
	listUsable(name: string, opts: EndpointFilter = {}): EndpointHandle[] {
		return this.#listServing(name, opts).filter(handle => !this.#isBackingOff(handle));
	}

	/** Returns whether an endpoint of a model or service is left out only for a while. */
	hasBackingOff(name: string, opts: EndpointFilter = {}): boolean {
		return this.#listServing(name, opts).some(handle => this.#isBackingOff(handle));
	}

	createCandidate(handle: EndpointHandle): PlacementCandidate {
		const {announcement} = handle.record;
		return {
			endpoint: handle.endpoint,
			availabilityZone: announcement.availabilityZone,
			speed: announcement.speed,
			capacity: announcement.capacity,
			role: announcement.role,
			load: handle.load,
			loadAgeMs: this.#opts.clock.monotonic() - handle.loadReceivedAt,
			unreported: handle.computeUnreportedWork(),
			cache: handle.cache,
		};
	}

	dump(): unknown {
		return [...this.#handles.values()].map(handle => ({
			endpoint: handle.endpoint, phase: handle.phase, connected: handle.connection !== undefined, isBackingOff: this.#isBackingOff(handle), load: handle.load,
		}));
	}

	#listServing(name: string, {excluded, begunAt}: EndpointFilter): EndpointHandle[] {
		return [...this.#handles.values()].filter(handle =>
			handle.record.announcement.names.includes(name)
			&& handle.phase === 'serving'
			&& handle.load?.phase !== 'draining'
			&& handle.connection !== undefined
			&& !excluded?.has(handle.endpoint)
			&& (!begunAt || handle.softwareVersion === begunAt.softwareVersion));
	}

	#isBackingOff(handle: EndpointHandle): boolean {
		return handle.backOffUntil > this.#opts.clock.monotonic();
	}

	#updateHandles(): void {
		const selected = this.#selectSubset();
		for (const [endpoint, handle] of this.#handles) {
			const record = selected.get(endpoint);
			if (record?.agentAddress !== handle.record.agentAddress) {
				handle.discard();
				this.#handles.delete(endpoint);
				this.#handleByAgent.delete(handle.record.agent);
			}
		}

		for (const [endpoint, record] of selected) {
			const handle = this.#handles.get(endpoint) ?? this.#createHandle(record);
			if (handle.record.announcement.incarnation !== record.announcement.incarnation) {
				handle.cache.clear();
				handle.backOffUntil = Number.NEGATIVE_INFINITY;
			}

			if (handle.record.agentIncarnation !== record.agentIncarnation) {
				handle.load = undefined;
			}

			handle.record = record;
			handle.phase = this.#phases.get(endpoint) ?? 'serving';
			if (handle.load && handle.phase === 'serving' && handle.load.phase === 'draining') {
				// Assumes that the load report is older than the directive.
				handle.load = undefined;
			}

			this.#handleByAgent.set(record.agent, handle);
		}
	}

	#createHandle(record: EndpointRecord): EndpointHandle {
		const handle = new EndpointHandle(record, this.#opts.peers.openLink(record.agentAddress));
		this.#handles.set(record.announcement.endpoint, handle);
		return handle;
	}

	/** Selects, for each model or service, at most `maximumEndpointsPerName` endpoints: those with the highest hash of entry and endpoint. */
	#selectSubset(): Map<string, EndpointRecord> {
		const byName = new Map<string, EndpointRecord[]>();
		for (const record of this.#records.values()) {
			for (const name of record.announcement.names) {
				byName.set(name, [...byName.get(name) ?? [], record]);
			}
		}

		const selected = new Map<string, EndpointRecord>();
		for (const records of byName.values()) {
			const ranked = records.length <= maximumEndpointsPerName ? records : this.#sortByHash(records).slice(0, maximumEndpointsPerName);
			for (const record of ranked) {
				selected.set(record.announcement.endpoint, record);
			}
		}

		return selected;
	}

	#sortByHash(records: readonly EndpointRecord[]): EndpointRecord[] {
		const entry = this.#opts.peers.member.instance;
		return records
			.map(record => ({record, hash: createHash('sha1').update(`${entry} ${record.announcement.endpoint}`).digest('hex')}))
			.sort((a, b) => (a.hash < b.hash ? 1 : -1))
			.map(ranked => ranked.record);
	}
}
