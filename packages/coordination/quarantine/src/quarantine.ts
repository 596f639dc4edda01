/**
 * Requests that crash the endpoint that runs them. Every request that was running when an endpoint crashed becomes a
 * suspect; a suspect runs again only under a permit, of which there is one at a time, and with no other work on the
 * engine. A request seen in two crashes is quarantined; one that finishes is cleared. Since the second run is alone, one
 * poisonous request costs two crashes and takes no neighbour with it. The table is deterministic.
 */
import type {QuarantineEntry} from '@hickorytrack/types/control';

export const suspectDurationMs = 10 * 60 * 1000;
export const quarantineDurationMs = 60 * 60 * 1000;
export const permitDurationMs = 30 * 1000;
const crashesToQuarantine = 2;

export type SuspectPermit = {
	fingerprint: string;
	attempt: string;
	/** Wall time in milliseconds. */
	until: number;
};

export type QuarantineDump = {
	entries: QuarantineEntry[];
	permits: SuspectPermit[];
};

export class QuarantineTable {
	readonly #entries = new Map<string, QuarantineEntry>();
	readonly #permits = new Map<string, SuspectPermit>();

	list(): QuarantineEntry[] {
		return [...this.#entries.values()];
	}

	read(fingerprint: string): QuarantineEntry | undefined {
		return this.#entries.get(fingerprint);
	}

	/** Notes a crash and returns the entries that changed. */
	recordCrash(suspects: ReadonlyArray<{fingerprint: string; workspace: string}>, at: number): QuarantineEntry[] {
		return suspects.map(({fingerprint, workspace}) => {
			const held = this.#entries.get(fingerprint);
			const crashes = (held && held.until > at ? held.crashes : 0) + 1;
			const isQuarantined = crashes >= crashesToQuarantine;
			const entry: QuarantineEntry = {
				fingerprint, workspace, crashes, state: isQuarantined ? 'quarantined' : 'suspect', until: at + (isQuarantined ? quarantineDurationMs : suspectDurationMs),
			};
			this.#entries.set(fingerprint, entry);
			this.#permits.delete(fingerprint);
			return entry;
		});
	}

	/** Allows one attempt to run a suspect, unless another one holds the permit. */
	acquirePermit(fingerprint: string, attempt: string, at: number): boolean {
		const entry = this.#entries.get(fingerprint);
		if (entry?.state === 'quarantined' && entry.until > at) {
			return false;
		}

		const held = this.#permits.get(fingerprint);
		if (held && held.until > at && held.attempt !== attempt) {
			return false;
		}

		this.#permits.set(fingerprint, {fingerprint, attempt, until: at + permitDurationMs});
		return true;
	}

	/** Clears a suspect whose attempt finished; only the holder of the permit can. Returns the cleared entry. */
	clear(fingerprint: string, attempt: string): QuarantineEntry | undefined {
		if (this.#permits.get(fingerprint)?.attempt !== attempt) {
			return undefined;
		}

		return this.remove(fingerprint);
	}

	/** Forgets a fingerprint, whatever its state. */
	remove(fingerprint: string): QuarantineEntry | undefined {
		const entry = this.#entries.get(fingerprint);
		this.#entries.delete(fingerprint);
		this.#permits.delete(fingerprint);
		return entry && {...entry, state: 'cleared'};
	}

	/** Returns the entries whose time has passed and forgets them. */
	expire(at: number): QuarantineEntry[] {
		const expired = this.list().filter(entry => entry.until <= at);
		return expired.map(entry => this.remove(entry.fingerprint)!);
	}

	dump(): QuarantineDump {
		return structuredClone({entries: this.list(), permits: [...this.#permits.values()]});
	}

	restore(dump: QuarantineDump): void {
		this.#entries.clear();
		this.#permits.clear();
		for (const entry of dump.entries) {
			this.#entries.set(entry.fingerprint, entry);
		}

		for (const permit of dump.permits) {
			this.#permits.set(permit.fingerprint, permit);
		}
	}
}
