/** Tells the table of runs what its decisions depend on, and reserves the retries that a decision needs. */
import {listCandidates} from '../calls/candidate-servers.js';
import type {ForwardContext} from '../calls/forward-context.js';
import type {CallerRequest} from '../front/caller-request.js';
import {retryKinds} from '../limits/retry-budget.js';
import type {SendPermit, SendPermits} from '../limits/send-permits.js';
import type {EventRelay} from './event-relay.js';
import type {StreamPlanner} from './stream-planner.js';
import type {StreamProgress} from './stream-progress.js';
import type {StreamRun} from './stream-run.js';
import {runWays, type RunFacts, type RunWay} from './stream-runs.js';

export type RunFactsSourceOptions = {
	relay: Pick<EventRelay, 'lastEventId'>;
	permits: SendPermits;
	planner: StreamPlanner;
	progress: StreamProgress;
	/** The runs that are not finished. */
	runs: ReadonlyMap<number, StreamRun>;
};

export class RunFactsSource {
	readonly #context: ForwardContext;
	readonly #request: CallerRequest;
	readonly #opts: RunFactsSourceOptions;
	#reserved: SendPermit[] = [];

	constructor(context: ForwardContext, request: CallerRequest, opts: RunFactsSourceOptions) {
		this.#context = context;
		this.#request = request;
		this.#opts = opts;
	}

	/** Ids of the servers that may generate when the request must not be sent to another one: those that have not failed it. */
	get allowedServers(): ReadonlySet<string> | undefined {
		const {progress, planner, runs} = this.#opts;
		if (progress.allowsServer) {
			return undefined;
		}

		const atWork = new Set([...runs.values()].map(({server}) => server?.id));
		return new Set(progress.servers.filter(server => !atWork.has(server.id) && !planner.isRejected(server)).map(({id}) => id));
	}

	/** `run`: the run that an event is about. */
	read(run?: StreamRun): RunFacts {
		const {progress} = this.#opts;
		return {
			isBanned: progress.isBanned, isNotExecuted: progress.isNotExecuted, canRunAnew: this.#canRunAnew, hasCopy: run !== undefined && this.#hasCopy(run), reserve: (way, count) => this.#reserve(way, count),
		};
	}

	/** Returns a reserved retry for a run that starts. */
	takeReserved(): SendPermit | undefined {
		return this.#reserved.shift();
	}

	/** Gives back what the decision has not used. */
	releaseReserved(): void {
		for (const permit of this.#reserved.splice(0)) {
			permit.release();
		}
	}

	get #canRunAnew(): boolean {
		const allowed = this.allowedServers;
		return this.#opts.progress.hasTime && (allowed === undefined || (this.#request.route.isResumable && allowed.size > 0));
	}

	#hasCopy({backupServer}: StreamRun): boolean {
		return backupServer !== undefined && this.#opts.relay.lastEventId !== undefined
			&& listCandidates(this.#context, this.#request.service, {canRun: server => server.version === backupServer.version}).some(({id}) => id === backupServer.id);
	}

	#reserve(way: RunWay, count: number): boolean {
		const permits: SendPermit[] = [];
		while (permits.length < count) {
			const permit = this.#opts.permits.acquire(way === runWays.copy && permits.length === 0 ? retryKinds.resume : retryKinds.run);
			if (!permit) {
				for (const reserved of permits) {
					reserved.release();
				}

				return false;
			}

			permits.push(permit);
		}

		this.#reserved = permits;
		return true;
	}
}
