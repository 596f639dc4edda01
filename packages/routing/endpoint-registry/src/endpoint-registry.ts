/**
 * What is known of the servers. They announce themselves; reports arrive late, twice and out of order, and also from
 * starts of a server that have ended. A report is newer when its start is later or, within one start, when its sequence
 * number is higher. A server that left is remembered for a while, so that a late report can't revive it, and an address
 * belongs to the server that started last at it.
 */
import type {Clock} from '@hickorytrack/clock';

export const serverStates = {ready: 'ready', draining: 'draining', left: 'left'} as const;
export type ServerState = typeof serverStates[keyof typeof serverStates];

export const serverStages = {prefill: 'prefill', decode: 'decode'} as const;
export type ServerStage = typeof serverStages[keyof typeof serverStages];

export type ServerReport = {
	/** Name of the server; another start may have the same one. */
	id: string;
	/** Wall time in milliseconds at which this start of the server began; 0 where it does not tell. */
	startedAt: number;
	/** Rises with each report of one start. */
	sequence: number;
	service: string;
	/** IP and port. */
	address: string;
	availabilityZone: string;
	slots: number;
	state: ServerState;
	/** Time for which the server is still slow after its start, in milliseconds. */
	coldMs: number;
	/** Only of model servers. */
	stage?: ServerStage;
};

export type KnownServer = ServerReport & {
	/** Monotonic time at which the newest report arrived here. */
	heardAt: number;
	/** Place among all starts of servers in the order in which they became known here. */
	order: number;
};

export type RegistryOptions = {
	clock: Clock;
	/** Time without reports after which a server is no longer used. */
	reportTimeoutMs: number;
};

/** A server that was ordered to change its stage is used again after this time, whatever its reports say. */
const stageTimeoutMs = 12_000;

type AwaitedStage = {
	startedAt: number;
	stage: ServerStage;
	until: number;
};

/** Servers that left or fell silent are remembered this long, against late reports. */
const rememberMs = 120_000;

export class EndpointRegistry {
	readonly #opts: RegistryOptions;
	readonly #servers = new Map<string, KnownServer>();
	readonly #byService = new Map<string, KnownServer[]>();
	/** Stages that servers were ordered to have. */
	readonly #awaitedStages = new Map<string, AwaitedStage>();
	#starts = 0;

	constructor(opts: RegistryOptions) {
		this.#opts = opts;
	}

	/** Takes a report; false when it is older than what is known. */
	recordReport(report: ServerReport): boolean {
		const known = this.#servers.get(report.id);
		if (known && !isNewer(report, known)) {
			return false;
		}

		const isSameStart = known?.startedAt === report.startedAt;
		const server = {...report, heardAt: this.#opts.clock.monotonic(), order: isSameStart ? known.order : this.#starts + 1};
		if (this.#isOvertakenAtItsAddress(server)) {
			return false;
		}

		this.#starts = Math.max(this.#starts, server.order);
		this.#servers.set(report.id, server);
		this.#byService.clear();
		return true;
	}

	/** Marks a server as gone. Without a start the newest known one is meant. */
	recordDeparture(id: string, startedAt?: number): ServerReport | undefined {
		const known = this.#servers.get(id);
		if (!known || (startedAt !== undefined && startedAt !== known.startedAt)) {
			return undefined;
		}

		const report = describe(known);
		// No later report of this start counts.
		const left = {...report, state: serverStates.left, sequence: Number.MAX_SAFE_INTEGER};
		this.recordReport(left);
		return left;
	}

	/** Leaves a server out until its reports show the stage that it was ordered to have. */
	setPendingStage(id: string, awaited: {startedAt: number; stage: ServerStage}): void {
		this.#awaitedStages.set(id, {...awaited, until: this.#opts.clock.monotonic() + stageTimeoutMs});
	}

	/** Returns the stage that the server was ordered to have, until its reports show it or it has started again. */
	findPendingStage(server: KnownServer): ServerStage | undefined {
		const awaited = this.#awaitedStages.get(server.id);
		if (!awaited) {
			return undefined;
		}

		const isOver = awaited.startedAt !== server.startedAt || awaited.stage === server.stage || this.#opts.clock.monotonic() > awaited.until;
		if (isOver) {
			this.#awaitedStages.delete(server.id);
			return undefined;
		}

		return awaited.stage;
	}

	/** Lists the servers of a service that may be sent new requests. */
	listUsable(service: string): KnownServer[] {
		const ready = this.listReady(service);
		return this.#awaitedStages.size === 0 ? ready : ready.filter(server => this.findPendingStage(server) === undefined);
	}

	/** Lists the servers of a service that are ready, also those that are changing their stage. */
	listReady(service: string): KnownServer[] {
		const now = this.#opts.clock.monotonic();
		let servers = this.#byService.get(service);
		if (!servers) {
			servers = [...this.#servers.values()].filter(server => server.service === service && server.state === serverStates.ready && !this.#isOvertakenAtItsAddress(server));
			this.#byService.set(service, servers);
		}

		return servers.filter(server => now - server.heardAt <= this.#opts.reportTimeoutMs);
	}

	/** Tells whether the server, as it was when it was chosen, may still be sent a request. */
	isUsable(server: ServerReport): boolean {
		const known = this.#servers.get(server.id);
		return known?.startedAt === server.startedAt && known.state === serverStates.ready && !this.#isOvertakenAtItsAddress(known);
	}

	find(id: string): KnownServer | undefined {
		return this.#servers.get(id);
	}

	/** Lists everything that is known, for an instance that has just connected. */
	list(): ServerReport[] {
		this.#forgetOld();
		return [...this.#servers.values()].sort((a, b) => a.order - b.order).map(server => describe(server));
	}

	/** Without known starts, the server that became known last holds the address. */
	#isOvertakenAtItsAddress(server: KnownServer): boolean {
		for (const other of this.#servers.values()) {
			const isLater = other.startedAt === server.startedAt ? other.order > server.order : other.startedAt > server.startedAt;
			if (other.address === server.address && other.id !== server.id && isLater) {
				return true;
			}
		}

		return false;
	}

	#forgetOld(): void {
		const now = this.#opts.clock.monotonic();
		for (const [id, server] of this.#servers) {
			if (now - server.heardAt > rememberMs) {
				this.#servers.delete(id);
				this.#awaitedStages.delete(id);
				this.#byService.clear();
			}
		}
	}
}

function describe({heardAt: _heardAt, order: _order, ...report}: KnownServer): ServerReport {
	return report;
}

function isNewer(report: ServerReport, known: ServerReport): boolean {
	return report.startedAt === known.startedAt ? report.sequence > known.sequence : report.startedAt > known.startedAt;
}
