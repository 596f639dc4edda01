/**
 * Health of servers as the requests themselves show it. A server that broke off or was unreachable is left out for a
 * while that doubles with each failure; failures among finished requests weigh on its share of the work.
 */
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';

type Health = {
	startedAt: number;
	/** Share of recent requests that failed. */
	failureRate: number;
	brokenResponses: number;
	excludedUntil: number;
	/** Monotonic time at which the server fell silent; it is left out until it reports again. */
	unresponsiveSince?: number;
};

const smoothingFactor = 0.1;
const baseExclusionMs = 400;
const maxExclusionMs = 5000;

export class ServerHealth {
	readonly #clock: Clock;
	readonly #servers = new Map<string, Health>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	recordSuccess(server: KnownServer): void {
		const health = this.#getHealth(server);
		health.failureRate -= health.failureRate * smoothingFactor;
		health.brokenResponses = 0;
		health.excludedUntil = 0;
		health.unresponsiveSince = undefined;
	}

	/** Notes an answer that is a failure of the server's own. */
	recordFailure(server: KnownServer): void {
		const health = this.#getHealth(server);
		health.failureRate += (1 - health.failureRate) * smoothingFactor;
	}

	/** Notes that the server could not be reached or broke off. */
	recordBrokenResponse(server: KnownServer): void {
		const health = this.#getHealth(server);
		this.recordFailure(server);
		health.brokenResponses++;
		const exclusionMs = Math.min(maxExclusionMs, baseExclusionMs * (2 ** (health.brokenResponses - 1)));
		health.excludedUntil = this.#clock.monotonic() + exclusionMs;
	}

	/** Notes that the server did not answer or could not be reached; it may be gone without a word. */
	recordUnresponsive(server: KnownServer): void {
		this.recordBrokenResponse(server);
		this.#getHealth(server).unresponsiveSince ??= this.#clock.monotonic();
	}

	getFailureRate(server: KnownServer): number {
		return this.#getHealth(server).failureRate;
	}

	/** Leaves out servers that broke off lately, unless none would remain. */
	selectHealthy(servers: readonly KnownServer[]): KnownServer[] {
		const now = this.#clock.monotonic();
		const healthy = servers.filter(server => this.#isHealthy(server, now));
		return healthy.length > 0 ? healthy : [...servers];
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
