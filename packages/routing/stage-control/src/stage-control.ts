/**
 * Carries out the changes of a server's stage (prefill or decode) that the planner requests. Only the leader of the core
 * sends orders, with its term as fencing token; no other leader ever has the same term. A new leader first waits for the
 * duration of a lease, so that the orders of two leaders never interleave. Before it sends an order, it reads the
 * server's status, and the order is valid only if no other order has changed the server since. An order without a
 * response may still be carried out later, so its server counts as changing until its reports show the stage. All
 * instances record the pending stage, so a new leader knows the changes that its predecessor started.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EndpointRegistry, KnownServer, ServerStage} from '@hickorytrack/endpoint-registry';
import type {EventLog} from '@hickorytrack/events';
import type {StageChange, StagePlanner, StageServer} from './stage-planner.js';
import {LoadObserver} from './load-observer.js';

/** The leadership of the core, as this instance knows it. */
export type Leadership = {
	/** Time for which this instance has led without interruption, in milliseconds; undefined while it doesn't lead. */
	readonly leadershipAgeMs: number | undefined;
	/** Returns the term once a majority has confirmed that this instance leads. */
	confirm(): Promise<number | undefined>;
};

export type StageOrder = {
	stage: ServerStage;
	holder: string;
	fencingToken: number;
	/** The server rejects the order if it has carried out another one since this sequence number. */
	expectedSequence: number;
};

export type ServerStageStatus = {
	stage: ServerStage;
	sequence: number;
	isBusy: boolean;
};

export const orderOutcomes = {
	accepted: 'accepted',
	/** Another order is being carried out, or the server has changed since its status was read. */
	conflict: 'conflict',
	/** Another leader has sent an order with a later term. */
	overtaken: 'overtaken',
	refused: 'refused',
	/** No response; the order may be carried out now, later or never. */
	unknown: 'unknown',
} as const;
export type OrderOutcome = typeof orderOutcomes[keyof typeof orderOutcomes];

/** Reads and changes the stage of servers. */
export type StageClient = {
	readStatus(server: KnownServer): Promise<ServerStageStatus | undefined>;
	sendOrder(server: KnownServer, order: StageOrder): Promise<OrderOutcome>;
};

export type StageControlOptions = {
	clock: Clock;
	events: EventLog;
	registry: EndpointRegistry;
	planner: StagePlanner;
	client: StageClient;
	leadership: Leadership;
	/** Name of this instance, which its orders carry. */
	holder: string;
	/** Time for which orders of a former leader may still be valid, in milliseconds. */
	leaseMs: number;
	/** Lists the services whose servers have stages. */
	listServices: () => readonly string[];
	readLoad: (server: string) => {streams: number; promptTokens: number};
	/** Tells the other instances which stage the server will have, so that they exclude it until then. */
	broadcastPendingStage: (server: KnownServer, stage: ServerStage) => void;
};

/** Interval at which the load is observed and a change is planned, in milliseconds. */
const checkIntervalMs = 100;
/** Added to the lease, because an order of the former leader may still be in transit. */
const leaseMarginMs = 1000;
/** Fraction of a service's servers that may change at the same time; one server always may. */
const maxChangingFraction = 0.1;
/** A server that refused an order, or whose status could not be read, gets no further order for this time. */
const retryDelayMs = 3000;

export class StageControl {
	readonly #opts: StageControlOptions;
	readonly #observers = new Map<string, LoadObserver>();
	readonly #backoffUntil = new Map<string, number>();
	#supersededTerm = -1;

	constructor(opts: StageControlOptions) {
		this.#opts = opts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(checkIntervalMs, signal);
			await this.runOnce();
		}
	}

	/** Observes the load and, while this instance leads, starts at most one change in each service. */
	async runOnce(): Promise<void> {
		for (const service of this.#opts.listServices()) {
			const servers = this.#listServers(service);
			const observer = this.#getObserver(service);
			observer.observe(servers);
			if (this.#canSendOrders() && this.#canStartChange(servers)) {
				await this.#planChange(servers, observer);
			}
		}
	}

	dump(): unknown {
		return {
			services: Object.fromEntries([...this.#observers].map(([service, {peakStreams, readingShare, isWarm}]) => [service, {peakStreams, readingShare, isWarm}])),
		};
	}

	#canSendOrders(): boolean {
		const {leadershipAgeMs} = this.#opts.leadership;
		return leadershipAgeMs !== undefined && leadershipAgeMs > this.#opts.leaseMs + leaseMarginMs;
	}

	#canStartChange(servers: readonly StageServer[]): boolean {
		const changing = servers.filter(server => server.isChanging).length;
		return changing < Math.max(1, Math.floor(servers.length * maxChangingFraction));
	}

	async #planChange(servers: readonly StageServer[], observer: LoadObserver): Promise<void> {
		const {planner, registry} = this.#opts;
		const {hasTraffic, isWarm, peakStreams, readingShare} = observer;
		const now = this.#opts.clock.monotonic();
		const candidates = servers.map(server => ({...server, isChanging: server.isChanging || (this.#backoffUntil.get(server.id) ?? 0) > now}));
		const change = planner.plan({
			servers: candidates, hasTraffic, isWarm, peakStreams, readingShare,
		});
		const server = change && registry.find(change.server);
		if (server) {
			await this.#sendOrder(server, change);
		}
	}

	async #sendOrder(server: KnownServer, change: StageChange): Promise<void> {
		const {client, leadership, holder, events} = this.#opts;
		const status = await client.readStatus(server);
		if (!status || status.isBusy || status.stage === change.stage) {
			this.#setBackoff(server);
			return;
		}

		const term = await leadership.confirm();
		const mayOrder = term !== undefined && term !== this.#supersededTerm;
		if (!mayOrder || !this.#opts.registry.isUsable(server)) {
			return;
		}

		this.#setPendingStage(server, change.stage);
		const outcome = await client.sendOrder(server, {
			stage: change.stage, holder, fencingToken: term, expectedSequence: status.sequence,
		});
		events.emit('stageOrdered', {
			server: server.id, stage: change.stage, term, sequence: status.sequence, outcome, reason: change.reason,
		});
		if (outcome === orderOutcomes.accepted || outcome === orderOutcomes.unknown) {
			return;
		}

		if (outcome === orderOutcomes.overtaken) {
			this.#supersededTerm = term;
		}

		this.#setBackoff(server);
		this.#setPendingStage(server, status.stage);
	}

	/** Makes every instance exclude the server until its reports show the stage. */
	#setPendingStage(server: KnownServer, stage: ServerStage): void {
		this.#opts.registry.setPendingStage(server.id, {startedAt: server.startedAt, stage});
		this.#opts.broadcastPendingStage(server, stage);
	}

	#setBackoff(server: KnownServer): void {
		this.#backoffUntil.set(server.id, this.#opts.clock.monotonic() + retryDelayMs);
	}

	/** Lists the servers with the stages that they will have after the pending changes. */
	#listServers(service: string): StageServer[] {
		const {registry, readLoad} = this.#opts;
		const servers: StageServer[] = [];
		for (const server of registry.listReady(service)) {
			const {id, stage, slots} = server;
			if (stage !== undefined) {
				const pending = registry.findPendingStage(server);
				const {streams, promptTokens} = readLoad(id);
				servers.push({
					id, slots, streams, promptTokens, stage: pending ?? stage, isChanging: pending !== undefined,
				});
			}
		}

		return servers;
	}

	#getObserver(service: string): LoadObserver {
		let observer = this.#observers.get(service);
		if (!observer) {
			observer = new LoadObserver(this.#opts.clock);
			this.#observers.set(service, observer);
		}

		return observer;
	}
}
