/**
 * The servers known to this instance. Servers announce themselves with reports, which may arrive late, twice, out of order
 * or from an earlier incarnation of a server. A report is newer when its incarnation started later or, within one
 * incarnation, when its sequence number is higher. A server may also say in an answer that it leaves; this is final for its
 * incarnation, whatever the reports say, because a report may have been sent before the answer and arrive after it. A
 * server that has left is kept for a while, so that a late report can't restore it. An address belongs to the server that
 * started last at it.
 *
 * A record may be wrong: a report with a number or a start time that its server never reaches would outdate all of the
 * server's own, and one with another server's address would take it. So a ready server that has not been heard of for the
 * report timeout yields to one whose own reports it holds back, once these have kept arriving, with rising numbers, for
 * another timeout. Late reports of a dead boot come in a burst or thin out; a server that drains, leaves or has left never
 * yields to reports under its own id.
 */
import type {Clock} from '@hickorytrack/clock';
import type {SocketAddress} from '@hickorytrack/socket-address';

export const serverStates = {
	ready: 'ready',
	draining: 'draining',
	/** Said in an answer that it leaves. No report of the same incarnation restores it. */
	leaving: 'leaving',
	left: 'left',
} as const;
export type ServerState = typeof serverStates[keyof typeof serverStates];

export const serverStages = {prefill: 'prefill', decode: 'decode'} as const;
export type ServerStage = typeof serverStages[keyof typeof serverStages];

export type ServerReport = {
	/** Name of the server; all its incarnations may have the same one if it reports when it started. */
	id: string;
	/** Wall time in milliseconds at which this incarnation started; 0 when the server does not report it. */
	startedAt: number;
	/** Increases with each report of one incarnation. */
	sequence: number;
	service: string;
	address: SocketAddress;
	availabilityZone: string;
	slots: number;
	state: ServerState;
	/** Remaining warm-up time after the start, during which the server is slow, in milliseconds. */
	coldMs: number;
	/** Set for model servers only. */
	stage?: ServerStage;
	/** Version of the server's software; undefined when the server does not report it. */
	version?: string;
};

/** One start of a server. */
export type Incarnation = Pick<ServerReport, 'id' | 'startedAt'>;

/** A report that differs from the previous one of its server in its sequence number only. */
export type ReportRepeat = Pick<ServerReport, 'id' | 'startedAt' | 'sequence'>;

export type KnownServer = ServerReport & {
	/** Monotonic time at which this instance received the newest report. */
	heardAt: number;
	/** Monotonic time at which this instance received the newest answer since that report. */
	answeredAt?: number;
	/** Position among all incarnations of servers, in the order in which this instance learned of them. */
	order: number;
};

export type RegistryOptions = {
	clock: Clock;
	/** Time without reports and answers after which a server is no longer used. */
	reportTimeoutMs: number;
	/** Called when the first report of a start of a server is recorded. */
	onStarted?: (server: KnownServer) => void;
	/** Called with the id of each server that is no longer known. */
	onForgotten?: (id: string) => void;
};

/** A server with a pending stage is used again after this time, whatever its reports say. */
const pendingStageTimeoutMs = 12_000;

/** A server whose reports are held back by a record, while that is silent. */
type Claim = {
	startedAt: number;
	sequence: number;
	reports: number;
	/** Monotonic times of the first and the newest of its reports. */
	beganAt: number;
	heardAt: number;
};

/** Reports that a claim takes, as two late ones are not enough. Those of a server may go to several instances in turn. */
const minClaimReports = 3;

type PendingStage = {
	startedAt: number;
	stage: ServerStage;
	expiresAt: number;
};

/** Fields that change what is known of a server; the sequence number only orders the reports. */
const comparedFields = ['id', 'startedAt', 'service', 'address', 'availabilityZone', 'slots', 'state', 'coldMs', 'stage', 'version'] as const satisfies ReadonlyArray<keyof ServerReport>;

/** Servers that left or stopped reporting are kept for this time, so that late reports of them are recognised. */
const retentionMs = 120_000;
/** Interval at which reports remove servers that are no longer known. */
const removalIntervalMs = 1000;

export class EndpointRegistry {
	readonly #opts: RegistryOptions;
	readonly #servers = new Map<string, KnownServer>();
	readonly #byService = new Map<string, KnownServer[]>();
	/** Ids of the servers at each address. */
	readonly #byAddress = new Map<string, Set<string>>();
	/** The server that has started last at each address, as far as it was looked for since the last change there. */
	readonly #owners = new Map<string, KnownServer>();
	/** Stages that servers were ordered to change to, by server id. */
	readonly #pendingStages = new Map<string, PendingStage>();
	/** By server id. */
	readonly #claims = new Map<string, Claim>();
	#lastOrder = 0;
	#removedAt = Number.NEGATIVE_INFINITY;

	constructor(opts: RegistryOptions) {
		this.#opts = opts;
	}

	/** Number of known servers, with those that left or stopped reporting a while ago. */
	get size(): number {
		this.#removeExpiredIfDue();
		return this.#servers.size;
	}

	/** Records a report. Returns false when it is outdated or its address belongs to a server that started later. */
	recordReport(report: ServerReport): boolean {
		this.#removeExpiredIfDue();
		if (report.state === serverStates.ready) {
			this.#removeYielding(report);
		}

		const known = this.#servers.get(report.id);
		if (known?.startedAt === report.startedAt) {
			return report.state === serverStates.leaving ? this.recordLeaving(report) !== undefined : this.#updateIncarnation(known, report);
		}

		if (known && known.startedAt > report.startedAt) {
			return false;
		}

		const server = {...report, heardAt: this.#opts.clock.monotonic(), order: this.#createOrder(report)};
		// A leaving server is recorded at any address: its late reports must not take the address from its successor.
		if (report.state !== serverStates.leaving && this.#isAddressReassigned(server)) {
			return false;
		}

		this.#lastOrder = Math.max(this.#lastOrder, server.order);
		this.#setServer(server);
		this.#opts.onStarted?.(server);
		return true;
	}

	/**
	 * Records that an incarnation of a server has said in an answer that it leaves. Returns the report for the other instances;
	 * undefined when nothing changes because it is known already or another incarnation has started since.
	 */
	recordLeaving({id, startedAt}: Incarnation): ServerReport | undefined {
		const known = this.#servers.get(id);
		if (known?.startedAt !== startedAt || known.state === serverStates.leaving || known.state === serverStates.left) {
			return undefined;
		}

		const server = {...known, state: serverStates.leaving, heardAt: this.#opts.clock.monotonic()};
		this.#setServer(server);
		return createReport(server);
	}

	/**
	 * Records that a ready server has reported again without a change. Returns false when this instance lacks the report
	 * that it repeats.
	 */
	recordRepeat(repeat: ReportRepeat): boolean {
		const {id, startedAt, sequence} = repeat;
		const known = this.#servers.get(id);
		if (!known || known.startedAt < startedAt) {
			return false;
		}

		const isOutdated = known.startedAt > startedAt || sequence < known.sequence;
		if (isOutdated && this.#isClaimed(repeat, [known])) {
			return false;
		}

		if (known.startedAt === startedAt && known.state === serverStates.ready && sequence > known.sequence) {
			this.#removeYielding({...known, sequence});
			known.sequence = sequence;
			known.heardAt = this.#opts.clock.monotonic();
		} else if (known.startedAt === startedAt && known.state === serverStates.leaving) {
			known.heardAt = this.#opts.clock.monotonic();
		}

		return true;
	}

	/** Records that this start of a ready server has answered a request. One that is slow to report, or whose reports are lost, stays in use. */
	recordAnswer({id, startedAt}: Incarnation): void {
		const known = this.#servers.get(id);
		if (known?.startedAt === startedAt && known.state === serverStates.ready) {
			known.answeredAt = this.#opts.clock.monotonic();
		}
	}

	/** Marks a server as left. Without `startedAt`, this applies to its newest known incarnation. */
	recordDeparture(id: string, startedAt?: number): ServerReport | undefined {
		const known = this.#servers.get(id);
		if (!known || (startedAt !== undefined && startedAt !== known.startedAt)) {
			return undefined;
		}

		const report = createReport(known);
		// The highest sequence number outdates every later report of this incarnation.
		const left = {...report, state: serverStates.left, sequence: Number.MAX_SAFE_INTEGER};
		this.recordReport(left);
		return left;
	}

	/** Excludes a server from use until its reports show the stage that it was ordered to change to. */
	setPendingStage(id: string, pending: {startedAt: number; stage: ServerStage}): void {
		this.#pendingStages.set(id, {...pending, expiresAt: this.#opts.clock.monotonic() + pendingStageTimeoutMs});
	}

	/** Returns the stage that the server was ordered to change to, until its reports show it, it has restarted or the order has expired. */
	findPendingStage(server: KnownServer): ServerStage | undefined {
		const pending = this.#pendingStages.get(server.id);
		if (!pending) {
			return undefined;
		}

		const isResolved = pending.startedAt !== server.startedAt || pending.stage === server.stage || this.#opts.clock.monotonic() > pending.expiresAt;
		if (isResolved) {
			this.#pendingStages.delete(server.id);
			return undefined;
		}

		return pending.stage;
	}

	/** Lists the servers of a service that may be sent new requests. */
	listUsable(service: string): KnownServer[] {
		const ready = this.listReady(service);
		return this.#pendingStages.size === 0 ? ready : ready.filter(server => this.findPendingStage(server) === undefined);
	}

	/** Lists the servers of a service that are ready, including those that are changing their stage. */
	listReady(service: string): KnownServer[] {
		const now = this.#opts.clock.monotonic();
		let servers = this.#byService.get(service);
		if (!servers) {
			servers = [...this.#servers.values()].filter(server => server.service === service && server.state === serverStates.ready && !this.#isAddressReassigned(server));
			this.#byService.set(service, servers);
		}

		return servers.filter(({heardAt, answeredAt = heardAt}) => now - Math.max(heardAt, answeredAt) <= this.#opts.reportTimeoutMs);
	}

	/** Tells whether a server with this version of the software has been heard of lately and has not left. */
	hasVersion(service: string, version: string): boolean {
		const now = this.#opts.clock.monotonic();
		return [...this.#servers.values()].some(server => {
			const {heardAt, answeredAt = heardAt} = server;
			return server.service === service && (server.version ?? '') === version && server.state !== serverStates.left && now - Math.max(heardAt, answeredAt) <= this.#opts.reportTimeoutMs;
		});
	}

	/** Tells whether the incarnation of the server that was selected may still be sent a request. */
	isUsable(server: ServerReport): boolean {
		const known = this.#servers.get(server.id);
		return known?.startedAt === server.startedAt && known.state === serverStates.ready && !this.#isAddressReassigned(known);
	}

	find(id: string): KnownServer | undefined {
		return this.#servers.get(id);
	}

	/** Returns the server that owns the address. */
	findByAddress(address: string): KnownServer | undefined {
		return [...this.#servers.values()].find(server => server.address === address && !this.#isAddressReassigned(server));
	}

	/** Lists the newest report of every known server, for an instance that has just connected. */
	list(): ServerReport[] {
		this.#removeExpired();
		return [...this.#servers.values()].sort((a, b) => a.order - b.order).map(server => createReport(server));
	}

	/** Records a report of the known incarnation. */
	#updateIncarnation(known: KnownServer, report: ServerReport): boolean {
		const heardAt = this.#opts.clock.monotonic();
		const isLeaving = known.state === serverStates.leaving && report.state !== serverStates.left;
		if (isLeaving) {
			// Kept for as long as reports arrive, or a later one would restore it.
			known.heardAt = heardAt;
		}

		// Confirming this report promises that the server gets nothing more, whatever number outdates it.
		const isDraining = report.state === serverStates.draining && known.state === serverStates.ready && report.address === known.address;
		const isDeparture = report.state === serverStates.left && known.state !== serverStates.left;
		const isOutdated = (report.sequence <= known.sequence && !isDraining && !isDeparture) || (isLeaving && report.state === serverStates.ready);
		const server = {
			...report, sequence: Math.max(report.sequence, known.sequence), heardAt, order: known.order,
		};
		if (isOutdated || this.#isAddressReassigned(server)) {
			return false;
		}

		this.#setServer(isLeaving ? {...server, state: serverStates.leaving} : server);
		return true;
	}

	/** Removes the records that hold back the report, if they yield to its server. */
	#removeYielding(report: ServerReport): void {
		const known = this.#servers.get(report.id);
		const isOutdated = known && (known.startedAt > report.startedAt || (known.startedAt === report.startedAt && known.sequence >= report.sequence));
		const order = known?.startedAt === report.startedAt ? known.order : this.#createOrder(report);
		const holders = this.#isAddressReassigned({...report, order}) ? this.#listLaterAtAddress({...report, order}) : [];
		if (isOutdated) {
			holders.push(known);
		}

		if (holders.length > 0 && this.#isClaimed(report, holders)) {
			this.#claims.delete(report.id);
			for (const holder of holders) {
				this.#removeServer(holder.id);
			}
		}
	}

	/** Records that a server reports whose reports are held back. Tells whether it has done so for long enough. */
	#isClaimed({id, startedAt, sequence}: ReportRepeat, holders: readonly KnownServer[]): boolean {
		const {clock, reportTimeoutMs} = this.#opts;
		const now = clock.monotonic();
		if (holders.some(holder => this.#isHeld(holder, id))) {
			this.#claims.delete(id);
			return false;
		}

		const claim = this.#claims.get(id);
		if (claim?.startedAt !== startedAt || now - claim.heardAt > reportTimeoutMs) {
			this.#claims.set(id, {
				startedAt, sequence, reports: 1, beganAt: now, heardAt: now,
			});
			return false;
		}

		if (sequence > claim.sequence) {
			claim.sequence = sequence;
			claim.reports++;
			claim.heardAt = now;
		}

		return sequence === claim.sequence && claim.reports >= minClaimReports && claim.heardAt - claim.beganAt >= reportTimeoutMs;
	}

	/**
	 * Tells whether a record yields to no report of the server with this id. A start that lies ahead is not the one that answers,
	 * so only reports count for it. A record of the same id that drains or has left stays; requests name their server, so that one
	 * with another id may yield in any state.
	 */
	#isHeld({id, startedAt, state, heardAt, answeredAt = heardAt}: KnownServer, claimant: string): boolean {
		const aliveAt = startedAt > this.#opts.clock.now() ? heardAt : Math.max(heardAt, answeredAt);
		return (id === claimant && state !== serverStates.ready) || this.#opts.clock.monotonic() - aliveAt <= this.#opts.reportTimeoutMs;
	}

	/** A server without a start time that is first heard of when it leaves started before those that are known. */
	#createOrder({startedAt, state}: ServerReport): number {
		return startedAt === 0 && state === serverStates.leaving ? 0 : this.#lastOrder + 1;
	}

	#setServer(server: KnownServer): void {
		this.#removeFromAddress(server.id);
		this.#servers.set(server.id, server);
		const ids = this.#byAddress.get(server.address) ?? new Set();
		this.#byAddress.set(server.address, ids.add(server.id));
		this.#owners.delete(server.address);
		this.#byService.clear();
	}

	#removeFromAddress(id: string): void {
		const address = this.#servers.get(id)?.address;
		const ids = address === undefined ? undefined : this.#byAddress.get(address);
		ids?.delete(id);
		if (address !== undefined) {
			this.#owners.delete(address);
		}

		if (ids?.size === 0) {
			this.#byAddress.delete(address!);
		}
	}

	/** Among servers with the same or no start time, the address belongs to the one that became known last. */
	#isAddressReassigned(server: Pick<KnownServer, 'id' | 'address' | 'startedAt' | 'order'>): boolean {
		const owner = this.#findOwner(server.address);
		if (owner && owner.id !== server.id) {
			return isLaterStart(owner, server);
		}

		// Another server may come before the owner's next record.
		return owner !== undefined && isLaterStart(owner, server) && this.#listLaterAtAddress(server).length > 0;
	}

	#findOwner(address: string): KnownServer | undefined {
		let owner = this.#owners.get(address);
		if (!owner) {
			for (const id of this.#byAddress.get(address) ?? []) {
				const server = this.#servers.get(id)!;
				owner = owner === undefined || isLaterStart(server, owner) ? server : owner;
			}

			if (owner) {
				this.#owners.set(address, owner);
			}
		}

		return owner;
	}

	/** Lists the servers that have taken the address of this one. */
	#listLaterAtAddress(server: Pick<KnownServer, 'id' | 'address' | 'startedAt' | 'order'>): KnownServer[] {
		const others = [...this.#byAddress.get(server.address) ?? []].map(other => this.#servers.get(other)!);
		return others.filter(other => other.id !== server.id && isLaterStart(other, server));
	}

	/** All servers are looked at, so it is not done for each report. */
	#removeExpiredIfDue(): void {
		if (this.#opts.clock.monotonic() - this.#removedAt >= removalIntervalMs) {
			this.#removeExpired();
		}
	}

	#removeExpired(): void {
		const now = this.#opts.clock.monotonic();
		this.#removedAt = now;
		for (const [id, server] of this.#servers) {
			if (now - server.heardAt > retentionMs) {
				this.#removeServer(id);
			}
		}

		for (const [id, {heardAt}] of this.#claims) {
			if (now - heardAt > this.#opts.reportTimeoutMs) {
				this.#claims.delete(id);
			}
		}
	}

	#removeServer(id: string): void {
		this.#removeFromAddress(id);
		this.#servers.delete(id);
		this.#pendingStages.delete(id);
		this.#byService.clear();
		this.#opts.onForgotten?.(id);
	}
}

/** Returns whether a report repeats an earlier one of the same server: nothing but its sequence number differs. */
export function isRepeat(report: ServerReport, earlier: ServerReport): boolean {
	return report.state === serverStates.ready && comparedFields.every(field => report[field] === earlier[field]);
}

function isLaterStart(a: Pick<KnownServer, 'startedAt' | 'order'>, b: Pick<KnownServer, 'startedAt' | 'order'>): boolean {
	return a.startedAt === b.startedAt ? a.order > b.order : a.startedAt > b.startedAt;
}

function createReport({heardAt: _heardAt, answeredAt: _answeredAt, order: _order, ...report}: KnownServer): ServerReport {
	return report;
}
