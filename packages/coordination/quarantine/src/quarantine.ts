/**
 * Quarantine for requests that crash the endpoint that runs them. Every request that was running when an endpoint crashed
 * becomes a suspect. A suspect runs again only under a permit, which one attempt holds at a time, and with no other work on
 * the engine. A request seen in two crashes is quarantined; a suspect that finishes is cleared. Since the second run is
 * isolated, a poison request causes two crashes, and no other request is quarantined because of it. The table is
 * deterministic, so it can be part of a replicated state machine.
 */
import type {QuarantineEntry} from '@hickorytrack/types/control';

export const suspectDurationMs = 10 * 60 * 1000;
export const quarantineDurationMs = 60 * 60 * 1000;
export const permitDurationMs = 30 * 1000;
const quarantineCrashThreshold = 2;

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

	/** Records a crash for each suspect and returns the changed entries. */
	recordCrash(suspects: ReadonlyArray<{fingerprint: string; workspace: string}>, at: number): QuarantineEntry[] {
		return suspects.map(({fingerprint, workspace}) => {
			const existing = this.#entries.get(fingerprint);
			const crashes = (existing && existing.until > at ? existing.crashes : 0) + 1;
			const isQuarantined = crashes >= quarantineCrashThreshold;
			const entry: QuarantineEntry = {
				fingerprint, workspace, crashes, state: isQuarantined ? 'quarantined' : 'suspect', until: at + (isQuarantined ? quarantineDurationMs : suspectDurationMs),
			};
			this.#entries.set(fingerprint, entry);
			this.#permits.delete(fingerprint);
			return entry;
		});
	}

	/**
	 * Acquires the permit to run a suspect; returns false if the request is quarantined or another attempt holds the
	 * permit.
	 */
	acquirePermit(fingerprint: string, attempt: string, at: number): boolean {
		const entry = this.#entries.get(fingerprint);
		if (entry?.state === 'quarantined' && entry.until > at) {
			return false;
		}

		const existing = this.#permits.get(fingerprint);
		if (existing && existing.until > at && existing.attempt !== attempt) {
			return false;
		}

		this.#permits.set(fingerprint, {fingerprint, attempt, until: at + permitDurationMs});
		return true;
	}

	/**
	 * Clears a suspect whose attempt finished. Only the attempt that holds the permit can clear it. Returns the
	 * cleared entry.
	 */
	clear(fingerprint: string, attempt: string): QuarantineEntry | undefined {
		if (this.#permits.get(fingerprint)?.attempt !== attempt) {
			return undefined;
		}

		return this.remove(fingerprint);
	}

	/** Removes the entry and the permit of a fingerprint, whatever its state. Returns the entry as cleared. */
	remove(fingerprint: string): QuarantineEntry | undefined {
		const entry = this.#entries.get(fingerprint);
		this.#entries.delete(fingerprint);
		this.#permits.delete(fingerprint);
		return entry && {...entry, state: 'cleared'};
	}

	/** Removes and returns the entries whose time has passed. */
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
