/**
 * Tracks poison requests, which crash the servers that run them. Each crash is counted, at every instance, for the
 * fingerprint (digest) of the request that was running; a success removes the count. A request that was running in two
 * crashes is refused without being run until `suspectTtlMs` has passed without a new crash.
 */
import type {Clock} from '@hickorytrack/clock';

type Suspect = {
	/** One id for each crash, so that a crash that is reported twice counts once. */
	crashIds: Set<string>;
	lastCrashAt: number;
};

const blockThreshold = 2;
/** A suspect without a new crash for this long is removed. */
const suspectTtlMs = 60_000;
const maxSuspects = 2000;

export class PoisonRequestTracker {
	readonly #clock: Clock;
	readonly #suspects = new Map<string, Suspect>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	recordCrash(fingerprint: string, crashId: string): void {
		const suspect = this.#suspects.get(fingerprint) ?? {crashIds: new Set(), lastCrashAt: 0};
		if (suspect.crashIds.has(crashId)) {
			return;
		}

		suspect.crashIds.add(crashId);
		suspect.lastCrashAt = this.#clock.monotonic();
		this.#suspects.delete(fingerprint);
		this.#suspects.set(fingerprint, suspect);
		this.#removeOld();
	}

	recordSuccess(fingerprint: string): void {
		this.#suspects.delete(fingerprint);
	}

	/** Lists the crashes of all suspects, for instances that have not heard of them. */
	listCrashes(): Array<{fingerprint: string; crash: string}> {
		this.#removeOld();
		return [...this.#suspects].flatMap(([fingerprint, {crashIds}]) => [...crashIds].map(crash => ({fingerprint, crash})));
	}

	isBlocked(fingerprint: string): boolean {
		const suspect = this.#suspects.get(fingerprint);
		return suspect !== undefined && suspect.crashIds.size >= blockThreshold && this.#clock.monotonic() - suspect.lastCrashAt < suspectTtlMs;
	}

	#removeOld(): void {
		for (const [fingerprint, suspect] of this.#suspects) {
			if (this.#suspects.size <= maxSuspects && this.#clock.monotonic() - suspect.lastCrashAt < suspectTtlMs) {
				return;
			}

			this.#suspects.delete(fingerprint);
		}
	}
}
