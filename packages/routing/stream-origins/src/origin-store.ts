/**
 * State of the core about streams: the versions with which each service may have begun streams that callers can still take
 * up, and, while there are several, the versions of the servers to which each begun stream was sent. It is a part of the
 * replicated state machine, so it is synced by a majority and outlives the end of all processes.
 *
 * A stream whose record has one version was begun at that version. Without a record it was begun at the only version of its
 * service, if there is only one; otherwise its version is unknown.
 */
import type {StreamOriginView, StreamOriginWrite, StreamSend} from '@hickorytrack/types/peer-methods';
import {parseOriginCommand, parseOriginSnapshot} from './parse-origin-command.js';

/** Version of a server that reports none. It equals no version, itself included. */
export const unknownVersion = '';

export type OriginCommand = {
	kind: 'stream-origins';
	/** Wall time of the proposal in milliseconds. */
	at: number;
	admitted: StreamOriginWrite['admitted'];
	/** Versions that no longer can have begun a stream that is taken up. */
	retired: StreamOriginWrite['admitted'];
	streams: StreamOriginWrite['streams'];
};

export type StreamRecord = {service: string; versions: string[]; sends: StreamSend[]; expiresAt: number};
export type OriginSnapshot = {versions: Array<[service: string, versions: string[]]>; streams: Array<[stream: string, record: StreamRecord]>};

/** About 10 MB of memory. The oldest records are dropped first, so that their streams become unknown. */
const maxStreams = 50_000;
const sweepIntervalMs = 1000;

/** Tells whether a command of the replicated log is one of this state. */
export function isOriginCommand(command: unknown): command is OriginCommand {
	return (command as Partial<OriginCommand> | null | undefined)?.kind === 'stream-origins';
}

export class OriginStore {
	readonly #versions = new Map<string, Set<string>>();
	readonly #streams = new Map<string, StreamRecord>();
	#sweptAt = 0;

	get streamCount(): number {
		return this.#streams.size;
	}

	/** Throws a `FieldError`, and changes nothing, if the command can't be used. */
	apply(command: unknown): void {
		const {at, admitted, retired, streams} = parseOriginCommand(command);
		for (const [service, version] of admitted) {
			const versions = this.#versions.get(service) ?? new Set();
			this.#versions.set(service, versions.add(version));
		}

		for (const [service, version] of retired) {
			this.#versions.get(service)?.delete(version);
		}

		for (const [stream, service, added, dropped, lifetimeMs, sends = []] of streams) {
			const earlier = this.#streams.get(stream);
			const versions = [...new Set([...earlier?.versions ?? [], ...added])].filter(version => !dropped.includes(version));
			this.#streams.set(stream, {
				service, versions, sends: sends.length > 0 ? sends : earlier?.sends ?? [], expiresAt: at + lifetimeMs,
			});
		}

		this.#removeExpired(at);
	}

	hasVersion(service: string, version: string): boolean {
		return this.#versions.get(service)?.has(version) ?? false;
	}

	/** Lists all services with their versions. */
	listVersions(): Array<[service: string, versions: string[]]> {
		return [...this.#versions].map(([service, versions]) => [service, [...versions]]);
	}

	describe(services: readonly string[], {stream, now}: {stream?: string; now: number}): StreamOriginView {
		const record = stream === undefined ? undefined : this.#streams.get(stream);
		return {
			versions: Object.fromEntries(services.map(service => [service, [...this.#versions.get(service) ?? []]])),
			stream: record && record.expiresAt > now ? {service: record.service, versions: record.versions, sends: record.sends} : undefined,
		};
	}

	createSnapshot(): OriginSnapshot {
		return {versions: this.listVersions(), streams: [...this.#streams]};
	}

	/** Throws a `FieldError`, and changes nothing, if the snapshot can't be used. */
	restoreSnapshot(state: unknown): void {
		const {versions, streams} = parseOriginSnapshot(state);
		this.#versions.clear();
		this.#streams.clear();
		for (const [service, names] of versions) {
			this.#versions.set(service, new Set(names));
		}

		for (const [stream, record] of streams) {
			this.#streams.set(stream, record);
		}
	}

	#removeExpired(at: number): void {
		if (at - this.#sweptAt >= sweepIntervalMs) {
			this.#sweptAt = at;
			for (const [stream, {expiresAt}] of this.#streams) {
				if (expiresAt <= at) {
					this.#streams.delete(stream);
				}
			}
		}

		for (const stream of this.#streams.keys()) {
			if (this.#streams.size <= maxStreams) {
				break;
			}

			this.#streams.delete(stream);
		}
	}
}
