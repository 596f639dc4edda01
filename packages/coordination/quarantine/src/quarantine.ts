/**
 * Quarantine for requests that crash the endpoint that runs them. Every request that was running when an endpoint crashed
 * becomes a suspect. A suspect runs again only under a permit, which one attempt holds at a time, and with no other work on
 * the engine. A request seen in two crashes is quarantined; a suspect that finishes is cleared. Since the second run is
 * isolated, a poison request causes two crashes, and no other request is quarantined because of it. A part of prompts that
 * crashes engines is attributed from several crashes and from the answers to other requests with it; requests with a suspect
 * part are not isolated. The table is deterministic, so it can be part of a replicated state machine.
 */
import {CrashAttribution, type CrashAttributionDump} from '@hickorytrack/crash-attribution';
import {formatPart, isPartTrait, mergeTraits} from '@hickorytrack/crash-attribution/run-traits';
import type {QuarantineEntry} from '@hickorytrack/types/control';

export const suspectDurationMs = 10 * 60 * 1000;
export const quarantineDurationMs = 60 * 60 * 1000;
/** A part that is refused can't be cleared by an answer, and each crash after the quarantine costs other requests. */
export const partQuarantineDurationMs = 24 * 60 * 60 * 1000;
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
	/** Missing in snapshots of older releases. */
	crashes?: CrashAttributionDump;
	at?: number;
};

/** A request that was running when an endpoint crashed, with the parts of its prompt that others may share. */
export type CrashSuspect = {fingerprint: string; workspace: string; parts?: readonly string[]};

export class QuarantineTable {
	readonly #entries = new Map<string, QuarantineEntry>();
	readonly #permits = new Map<string, SuspectPermit>();
	/** The time of the last command, in milliseconds. */
	#at = 0;
	readonly #attribution = new CrashAttribution({clock: {monotonic: () => this.#at}});

	list(): QuarantineEntry[] {
		return [...this.#entries.values()];
	}

	read(fingerprint: string): QuarantineEntry | undefined {
		return this.#entries.get(fingerprint);
	}

	/** Records a crash for each suspect and for the parts of their prompts. Returns the changed entries. */
	recordCrash(suspects: readonly CrashSuspect[], {id, at}: {id: string; at: number}): QuarantineEntry[] {
		this.#setTime(at);
		const workspaces = new Map(suspects.flatMap(({workspace, parts = []}) => parts.map(part => [formatPart(part), workspace])));
		this.#attribution.recordCrash({id, traits: mergeTraits(suspects.map(({fingerprint, parts = []}) => ({request: fingerprint, parts})))});
		const requests = suspects.map(({fingerprint, workspace}) => {
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
		// Entries hear of a part from its second crash on: most parts beside a crash are in none before.
		const repeated = [...workspaces].filter(([fingerprint]) => this.#attribution.countCrashes(fingerprint) > 1);
		const parts = repeated.map(([fingerprint, workspace]): QuarantineEntry => ({
			fingerprint, workspace, crashes: this.#attribution.countCrashes(fingerprint), state: 'suspect', until: at + suspectDurationMs,
		}));
		for (const entry of parts) {
			this.#entries.set(entry.fingerprint, entry);
		}

		const changed = new Map([...requests, ...parts, ...this.#updateParts(at)].map(entry => [entry.fingerprint, entry]));
		return [...changed.values()];
	}

	/** Clears the parts of a prompt that was answered. Returns the changed entries. */
	clearParts(parts: readonly string[], at: number): QuarantineEntry[] {
		this.#setTime(at);
		const names = parts.map(part => formatPart(part)).filter(name => this.#entries.has(name));
		this.#attribution.mergeSound(names.map(name => [name, 0]));
		return [...names.map(name => this.#removeEntry(name)!), ...this.#updateParts(at)];
	}

	#setTime(at: number): void {
		this.#at = Math.max(this.#at, at);
	}

	/** Applies what the crashes say now of each suspect part: quarantined, or not any more. Returns the changed entries. */
	#updateParts(at: number): QuarantineEntry[] {
		const bans = new Map(this.#attribution.listBans().map(ban => [ban.trait, ban]));
		const changed = this.list().filter(({fingerprint, state}) => isPartTrait(fingerprint) && (state === 'quarantined') !== bans.has(fingerprint)).map((entry): QuarantineEntry => {
			const ban = bans.get(entry.fingerprint);
			return ban
				? {
					...entry, state: 'quarantined', crashes: ban.crashes.length, until: at + partQuarantineDurationMs,
				}
				: {...entry, state: 'suspect', until: at + suspectDurationMs};
		});
		for (const entry of changed) {
			this.#entries.set(entry.fingerprint, entry);
		}

		return changed;
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

	/** Removes the entry and the permit of a fingerprint, whatever its state, and clears a part of its crashes. Returns the entry as cleared. */
	remove(fingerprint: string): QuarantineEntry | undefined {
		if (isPartTrait(fingerprint) && this.#entries.has(fingerprint)) {
			this.#attribution.mergeSound([[fingerprint, 0]]);
		}

		return this.#removeEntry(fingerprint);
	}

	#removeEntry(fingerprint: string): QuarantineEntry | undefined {
		const entry = this.#entries.get(fingerprint);
		this.#entries.delete(fingerprint);
		this.#permits.delete(fingerprint);
		return entry && {...entry, state: 'cleared'};
	}

	/** Removes and returns the entries whose time has passed. */
	expire(at: number): QuarantineEntry[] {
		this.#setTime(at);
		const expired = this.list().filter(entry => entry.until <= at);
		return expired.map(entry => this.#removeEntry(entry.fingerprint)!);
	}

	dump(): QuarantineDump {
		return structuredClone({
			entries: this.list(), permits: [...this.#permits.values()], crashes: this.#attribution.dump(), at: this.#at,
		});
	}

	restore(dump: QuarantineDump): void {
		this.#entries.clear();
		this.#permits.clear();
		this.#at = dump.at ?? 0;
		this.#attribution.restore(dump.crashes ?? {crashes: [], sound: [], trials: []});
		for (const entry of dump.entries) {
			this.#entries.set(entry.fingerprint, entry);
		}

		for (const permit of dump.permits) {
			this.#permits.set(permit.fingerprint, permit);
		}
	}
}
