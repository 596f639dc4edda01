/**
 * Passive health checks: the health of servers as forwarded requests show it. A server that breaks a connection or is
 * unreachable is excluded for a time that doubles with each such failure up to a maximum; an unresponsive server stays
 * excluded until it reports again. Its reports alone don't show that it can be reached, so after the time one request at a
 * time tries it, until it answers. Failed responses raise the failure rate of a server, which placement takes into
 * account.
 */
import type {Clock} from '@hickorytrack/clock';
import type {ForeignAnswer} from '@hickorytrack/endpoint-client/answer-identity';
import type {KnownServer} from '@hickorytrack/endpoint-registry';

type Health = {
	startedAt: number;
	/** Exponential moving average of the fraction of requests that failed. */
	failureRate: number;
	brokenResponses: number;
	excludedUntil: number;
	/** It has failed and answered nothing since; `running` while a request tries it. */
	trial?: 'due' | 'running';
	/** Monotonic time at which the server became unresponsive; it is excluded until it reports again. */
	unresponsiveSince?: number;
	/** Monotonic time of the last response or prefill that this or another instance saw from the server. */
	aliveAt?: number;
};

const smoothingFactor = 0.1;
const baseExclusionMs = 400;
const maxExclusionMs = 5000;

function computeExclusionMs({brokenResponses}: Pick<Health, 'brokenResponses'>): number {
	return Math.min(maxExclusionMs, baseExclusionMs * (2 ** (brokenResponses - 1)));
}

export class ServerHealth {
	readonly #clock: Clock;
	readonly #servers = new Map<string, Health>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	recordSuccess(server: KnownServer): void {
		const health = this.#getHealth(server);
		this.recordSignOfLife(server);
		health.failureRate -= health.failureRate * smoothingFactor;
		health.brokenResponses = 0;
		health.excludedUntil = 0;
		health.unresponsiveSince = undefined;
	}

	/** Records that the server has answered a request of this or another instance. */
	recordSignOfLife(server: KnownServer): void {
		this.recordAnswer(server);
		this.#getHealth(server).aliveAt = this.#clock.monotonic();
	}

	/** Records that a request is sent to the server. One that tries an excluded server keeps the others from it meanwhile. */
	recordSending(server: KnownServer): void {
		const health = this.#getHealth(server);
		const now = this.#clock.monotonic();
		if (health.trial !== undefined && health.excludedUntil <= now) {
			health.trial = 'running';
			health.excludedUntil = now + computeExclusionMs(health);
		}
	}

	/** Records an answer of any kind, which ends a trial. */
	recordAnswer(server: KnownServer): void {
		const health = this.#getHealth(server);
		if (health.trial === 'running') {
			health.excludedUntil = 0;
		}

		health.trial = undefined;
	}

	/** Returns whether any instance has had an answer of the server since then. */
	isAliveSince(server: KnownServer, since: number): boolean {
		return (this.#getHealth(server).aliveAt ?? Number.NEGATIVE_INFINITY) > since;
	}

	/** Returns the time since any instance had an answer of the server, in milliseconds; undefined if none is known. */
	measureSilence(server: KnownServer): number | undefined {
		const {aliveAt} = this.#getHealth(server);
		return aliveAt === undefined ? undefined : Math.round(this.#clock.monotonic() - aliveAt);
	}

	/** Records a response that reports a failure of the server itself. */
	recordFailure(server: KnownServer): void {
		const health = this.#getHealth(server);
		health.failureRate += (1 - health.failureRate) * smoothingFactor;
	}

	/** Records that a response broke off or was invalid, or that the server could not be reached. */
	recordBrokenResponse(server: KnownServer): void {
		const health = this.#getHealth(server);
		this.recordFailure(server);
		health.brokenResponses++;
		health.trial = 'due';
		health.excludedUntil = this.#clock.monotonic() + computeExclusionMs(health);
	}

	/** Records an answer of the server to another request. A late one says that the server works; any other one that it does not. */
	recordForeignAnswer(server: KnownServer, {exchanges}: ForeignAnswer): void {
		if (exchanges > 0) {
			this.recordSignOfLife(server);
		} else {
			this.recordBrokenResponse(server);
		}
	}

	/** Records that the server did not respond or could not be reached; it may have stopped without deregistering. */
	recordUnresponsive(server: KnownServer): void {
		this.recordBrokenResponse(server);
		this.#getHealth(server).unresponsiveSince ??= this.#clock.monotonic();
	}

	/** Records that the server sends nothing where more was due. It may be sound, so only new requests avoid it until it reports or answers again. */
	recordSilent(server: KnownServer): void {
		this.#getHealth(server).unresponsiveSince ??= this.#clock.monotonic();
	}

	getFailureRate(server: KnownServer): number {
		return this.#getHealth(server).failureRate;
	}

	/** Returns the servers that are not excluded; if none would remain, or none that generates, those that would be missing as well. */
	selectHealthy(servers: readonly KnownServer[]): KnownServer[] {
		const now = this.#clock.monotonic();
		const canGenerate = ({stage}: KnownServer) => stage !== 'prefill';
		const healthy = servers.filter(server => this.#isHealthy(server, now));
		if (healthy.some(server => canGenerate(server))) {
			return healthy;
		}

		const generating = servers.filter(server => canGenerate(server));
		const remaining = [...healthy, ...generating];
		return remaining.length > 0 ? remaining : [...servers];
	}

	/** Discards what is known of a server that is no longer known itself. */
	remove(id: string): void {
		this.#servers.delete(id);
	}

	#isHealthy(server: KnownServer, now: number): boolean {
		const {excludedUntil, unresponsiveSince} = this.#getHealth(server);
		return excludedUntil <= now && (unresponsiveSince === undefined || server.heardAt > unresponsiveSince);
	}

	#getHealth(server: KnownServer): Health {
		let health = this.#servers.get(server.id);
		if (health?.startedAt !== server.startedAt) {
			health = {
				startedAt: server.startedAt, failureRate: 0, brokenResponses: 0, excludedUntil: 0,
			};
			this.#servers.set(server.id, health);
		}

		return health;
	}
}
