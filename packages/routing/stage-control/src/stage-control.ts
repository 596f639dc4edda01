/**
 * Carries out the planner's changes. Only the leader of the core gives orders, under its term, which no other leader ever
 * has; it waits out a lease first, so that orders of two leaders never mix. Before an order it reads the server's own
 * report, and the order holds only as long as nobody else has changed the server since. An order without an answer may
 * still be carried out later, so its server counts as changing until its reports show the stage. All instances note that,
 * so a new leader knows the changes that its predecessor began.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EndpointRegistry, KnownServer, ServerStage} from '@hickorytrack/endpoint-registry';
import type {EventLog} from '@hickorytrack/events';
import type {StageChange, StagePlanner, StageServer} from './stage-planner.js';
import {LoadObserver} from './load-observer.js';

/** The core's leadership as this instance sees it. */
export type Leadership = {
	/** Time for which this instance has led without a break, in milliseconds; undefined while it doesn't lead. */
	readonly ledForMs: number | undefined;
	/** Returns the term once a majority has confirmed that this instance leads. */
	confirm(): Promise<number | undefined>;
};

export type StageOrder = {
	stage: ServerStage;
	holder: string;
	fencingToken: number;
	/** The order is void if the server has carried out another one since. */
	expectedSequence: number;
};

export type ServerStageStatus = {
	stage: ServerStage;
	sequence: number;
	isBusy: boolean;
};

export const orderOutcomes = {
	accepted: 'accepted',
	/** Another order is being carried out, or the server has changed since its report. */
	conflict: 'conflict',
	/** Another leader has given an order under a later term. */
	overtaken: 'overtaken',
	refused: 'refused',
	/** No answer; the order may be carried out or not, now or later. */
	unknown: 'unknown',
} as const;
export type OrderOutcome = typeof orderOutcomes[keyof typeof orderOutcomes];

/** Calls to servers about their stage. */
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
	/** Name of this instance. */
	holder: string;
	/** Time for which orders of a former leader may still count, in milliseconds. */
	leaseMs: number;
	/** Lists the services whose servers have stages. */
	listServices: () => readonly string[];
	readLoad: (server: string) => {streams: number; promptTokens: number};
	/** Tells the other instances that the server will have the stage, so that they leave it out until then. */
	broadcastPendingStage: (server: KnownServer, stage: ServerStage) => void;
};

/** Interval at which work is watched and a change considered, in milliseconds. */
const watchMs = 100;
/** Beyond the lease: an order of the former leader may have been on its way. */
const leaseMarginMs = 1000;
/** Share of a service's servers that may change at once, one at least. */
const changingShare = 0.1;
/** A server that refused an order, or could not be read, is left alone for this time. */
const retryMs = 3000;

export class StageControl {
	readonly #opts: StageControlOptions;
	readonly #observers = new Map<string, LoadObserver>();
	readonly #avoidedUntil = new Map<string, number>();
	#overtakenTerm = -1;

	constructor(opts: StageControlOptions) {
		this.#opts = opts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(watchMs, signal);
			await this.runOnce();
		}
	}

	/** Watches the work and, while this instance leads, has at most one change of each service begun. */
	async runOnce(): Promise<void> {
		for (const service of this.#opts.listServices()) {
			const servers = this.#listServers(service);
			const observer = this.#findObserver(service);
			observer.observe(servers);
			if (this.#mayOrder() && this.#hasRoom(servers)) {
				await this.#change(servers, observer);
			}
		}
	}

	dump(): unknown {
		return {
			services: Object.fromEntries([...this.#observers].map(([service, {peakStreams, readingShare, isWarm}]) => [service, {peakStreams, readingShare, isWarm}])),
		};
	}

	#mayOrder(): boolean {
		const {ledForMs} = this.#opts.leadership;
		return ledForMs !== undefined && ledForMs > this.#opts.leaseMs + leaseMarginMs;
	}

	#hasRoom(servers: readonly StageServer[]): boolean {
		const changing = servers.filter(server => server.isChanging).length;
		return changing < Math.max(1, Math.floor(servers.length * changingShare));
	}

	async #change(servers: readonly StageServer[], observer: LoadObserver): Promise<void> {
		const {planner, registry} = this.#opts;
		const {hasTraffic, isWarm, peakStreams, readingShare} = observer;
		const now = this.#opts.clock.monotonic();
		const candidates = servers.map(server => ({...server, isChanging: server.isChanging || (this.#avoidedUntil.get(server.id) ?? 0) > now}));
		const change = planner.plan({
			servers: candidates, hasTraffic, isWarm, peakStreams, readingShare,
		});
		const server = change && registry.find(change.server);
		if (server) {
			await this.#order(server, change);
		}
	}

	async #order(server: KnownServer, change: StageChange): Promise<void> {
		const {client, leadership, holder, events} = this.#opts;
		const condition = await client.readStatus(server);
		if (!condition || condition.isBusy || condition.stage === change.stage) {
			this.#avoid(server);
			return;
		}

		const term = await leadership.confirm();
		if (term === undefined || term === this.#overtakenTerm) {
			return;
		}

		this.#await(server, change.stage);
		const outcome = await client.sendOrder(server, {
			stage: change.stage, holder, fencingToken: term, expectedSequence: condition.sequence,
		});
		events.emit('stageOrdered', {
			server: server.id, stage: change.stage, term, sequence: condition.sequence, outcome, reason: change.reason,
		});
		if (outcome === orderOutcomes.accepted || outcome === orderOutcomes.unknown) {
			return;
		}

		if (outcome === orderOutcomes.overtaken) {
			this.#overtakenTerm = term;
		}

		this.#avoid(server);
		this.#await(server, condition.stage);
	}

	/** Has every instance leave the server out until its reports show the stage. */
	#await(server: KnownServer, stage: ServerStage): void {
		this.#opts.registry.setPendingStage(server.id, {startedAt: server.startedAt, stage});
		this.#opts.broadcastPendingStage(server, stage);
	}

	#avoid(server: KnownServer): void {
		this.#avoidedUntil.set(server.id, this.#opts.clock.monotonic() + retryMs);
	}

	/** Lists servers as they will be once the changes under way are done. */
	#listServers(service: string): StageServer[] {
		const {registry, readLoad} = this.#opts;
		const servers: StageServer[] = [];
		for (const server of registry.listReady(service)) {
			const {id, stage, slots} = server;
			if (stage !== undefined) {
				const awaited = registry.findPendingStage(server);
				const {streams, promptTokens} = readLoad(id);
				servers.push({
					id, slots, streams, promptTokens, stage: awaited ?? stage, isChanging: awaited !== undefined,
				});
			}
		}

		return servers;
	}

	#findObserver(service: string): LoadObserver {
		let observer = this.#observers.get(service);
		if (!observer) {
			observer = new LoadObserver(this.#opts.clock);
			this.#observers.set(service, observer);
		}

		return observer;
	}
}
