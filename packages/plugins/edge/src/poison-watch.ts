/**
 * Requests that crash the servers that run them. Each crash while a request ran counts against its fingerprint, at every
 * instance; a success clears it. A request that was running in several crashes is refused without being run.
 */
import type {Clock} from '@hickorytrack/clock';

type Suspect = {
	/** One name for each crash, so that a crash reported twice counts once. */
	crashes: Set<string>;
	notedAt: number;
};

const crashesToBlock = 2;
/** A suspect that is not seen for so long is forgotten. */
const forgetMs = 60_000;
const maxSuspects = 2000;

export class PoisonWatch {
	readonly #clock: Clock;
	readonly #suspects = new Map<string, Suspect>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	noteCrash(fingerprint: string, crash: string): void {
		const suspect = this.#suspects.get(fingerprint) ?? {crashes: new Set(), notedAt: 0};
		suspect.crashes.add(crash);
		suspect.notedAt = this.#clock.monotonic();
		this.#suspects.delete(fingerprint);
		this.#suspects.set(fingerprint, suspect);
		this.#forgetOld();
	}

	noteSuccess(fingerprint: string): void {
		this.#suspects.delete(fingerprint);
	}

	isBlocked(fingerprint: string): boolean {
		const suspect = this.#suspects.get(fingerprint);
		return suspect !== undefined && suspect.crashes.size >= crashesToBlock && this.#clock.monotonic() - suspect.notedAt < forgetMs;
	}

	#forgetOld(): void {
		for (const [fingerprint, suspect] of this.#suspects) {
			if (this.#suspects.size <= maxSuspects && this.#clock.monotonic() - suspect.notedAt < forgetMs) {
				return;
			}

			this.#suspects.delete(fingerprint);
		}
	}
}
