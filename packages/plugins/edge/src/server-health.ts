/**
 * Health of servers as the requests themselves show it. A server that broke off or was unreachable is left out for a
 * while that doubles with each failure; failures among finished requests weigh on its share of the work.
 */
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';

type Health = {
	startedAt: number;
	/** Share of recent requests that failed. */
	failureShare: number;
	breaks: number;
	excludedUntil: number;
	/** Monotonic time at which the server fell silent; it is left out until it reports again. */
	silentSince?: number;
};

const weightOfNew = 0.1;
const baseExclusionMs = 400;
const maxExclusionMs = 5000;

export class ServerHealth {
	readonly #clock: Clock;
	readonly #servers = new Map<string, Health>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	noteSuccess(server: KnownServer): void {
		const health = this.#read(server);
		health.failureShare -= health.failureShare * weightOfNew;
		health.breaks = 0;
		health.excludedUntil = 0;
		health.silentSince = undefined;
	}

	/** Notes an answer that is a failure of the server's own. */
	noteFailure(server: KnownServer): void {
		const health = this.#read(server);
		health.failureShare += (1 - health.failureShare) * weightOfNew;
	}

	/** Notes that the server could not be reached or broke off. */
	noteBreak(server: KnownServer): void {
		const health = this.#read(server);
		this.noteFailure(server);
		health.breaks++;
		const exclusionMs = Math.min(maxExclusionMs, baseExclusionMs * (2 ** (health.breaks - 1)));
		health.excludedUntil = this.#clock.monotonic() + exclusionMs;
	}

	/** Notes that the server did not answer or could not be reached; it may be gone without a word. */
	noteSilence(server: KnownServer): void {
		this.noteBreak(server);
		this.#read(server).silentSince ??= this.#clock.monotonic();
	}

	readFailureShare(server: KnownServer): number {
		return this.#read(server).failureShare;
	}

	/** Leaves out servers that broke off lately, unless none would remain. */
	filter(servers: readonly KnownServer[]): KnownServer[] {
		const now = this.#clock.monotonic();
		const sound = servers.filter(server => this.#isSound(server, now));
		return sound.length > 0 ? sound : [...servers];
	}

	#isSound(server: KnownServer, now: number): boolean {
		const {excludedUntil, silentSince} = this.#read(server);
		return excludedUntil <= now && (silentSince === undefined || server.heardAt > silentSince);
	}

	#read(server: KnownServer): Health {
		let health = this.#servers.get(server.id);
		if (health?.startedAt !== server.startedAt) {
			health = {
				startedAt: server.startedAt, failureShare: 0, breaks: 0, excludedUntil: 0,
			};
			this.#servers.set(server.id, health);
		}

		return health;
	}
}
