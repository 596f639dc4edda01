/**
 * A stream that may be taken up later, while an instance serves it: the servers that it was sent to, the version that began
 * it, and when that must be recorded.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {StreamSend} from '@hickorytrack/types/peer-methods';
import {unknownVersion} from './origin-store.js';
import type {BegunStream} from './origin-writer.js';

/** A start of a server, as far as the origin of streams needs it. */
export type OriginServer = {
	id: string;
	startedAt: number;
	service: string;
	version?: string;
};

export type StreamOptions = {
	/** Id of the caller's attempt. */
	stream: string | undefined;
	/** Services that the route of the stream may select. */
	services: readonly string[];
	service: string;
	/** Time for which callers may take the stream up, in milliseconds. */
	lifetimeMs: number;
};

/** The instance that serves the stream. */
export type StreamOwner = {
	/** Wall time in milliseconds. */
	readonly now: number;
	readonly tasks: BackgroundTasks;
	/** Tells whether streams of these services may have begun at several versions. */
	hasSeveralVersions(services: readonly string[]): boolean;
	/** Queues the record of a stream. */
	record(stream: OpenStream, change: {added?: string[]; dropped?: string[]}): void;
	/** Resolves with true once the core has stored the record of a stream. */
	recordConfirmed(stream: OpenStream, added: string[]): Promise<boolean>;
	/** Keeps the version of a recorded stream. */
	remember(stream: OpenStream, version: string): void;
	/** Ends the stream; one that is not complete may be taken up. */
	close(stream: OpenStream, end: {isComplete: boolean}): void;
};

/** Longer ids are not recorded. */
const maxIdCharacters = 128;
/** Difference between the clocks of two machines that is allowed for. */
export const clockSkewMs = 250;

/** A stream that may be taken up later, while this instance serves it. */
export class OpenStream {
	readonly key: string | undefined;
	readonly service: string;
	readonly lifetimeMs: number;
	readonly #owner: StreamOwner;
	readonly #services: readonly string[];
	/** Versions of the servers to which it was sent, or would have been if the core had confirmed the record. */
	readonly #sentVersions = new Set<string>();
	/** Versions to whose servers it may be sent: the first one, and those whose record is confirmed. */
	readonly #preparedVersions = new Set<string>();
	readonly #confirmations = new Map<string, Promise<boolean>>();
	readonly #sends: Array<{server: OriginServer; sentAt: number}> = [];
	/** Starts with another version that may have got a request which was meant for the start before. */
	readonly #laterStarts: OriginServer[] = [];
	#isRecorded = false;
	#isDisowned = false;
	/** The server that sent the first event. */
	#beginner: OriginServer | undefined;

	constructor(owner: StreamOwner, {stream, service, services, lifetimeMs}: StreamOptions) {
		this.#owner = owner;
		this.#services = services;
		this.key = createStreamKey(stream);
		this.service = service;
		this.lifetimeMs = lifetimeMs;
	}

	/**
	 * Called before the stream is sent to a server that may begin it. False if it must not be: a second version has to be
	 * recorded beforehand, or the record would name the first one. Only this takes time.
	 */
	prepare(server: OriginServer): boolean | Promise<boolean> {
		const {version = unknownVersion} = server;
		this.#sends.push({server, sentAt: this.#owner.now});
		this.#sentVersions.add(version);
		if (this.#preparedVersions.size > 0) {
			return this.#preparedVersions.has(version) || this.#confirmVersion(version);
		}

		this.#preparedVersions.add(version);
		this.recordIfNeeded();
		return true;
	}

	/** The starts of servers that may have begun it: once it has a first event, the one that sent it. */
	get sends(): StreamSend[] {
		const sends = this.#sends.filter(({server}) => !this.#beginner || isSameStart(server, this.#beginner));
		return sends.map(({server: {id, startedAt}, sentAt}) => [id, startedAt, sentAt]);
	}

	/** Undefined before the first event, and if the version is not known. */
	get origin(): BegunStream | undefined {
		const version = this.#beginner?.version ?? unknownVersion;
		return this.#isDisowned || version === unknownVersion ? undefined : {service: this.service, version};
	}

	/** True once it is not known which version has begun the stream. */
	get isDisowned(): boolean {
		return this.#isDisowned;
	}

	/**
	 * Called with the first report of a start of a server. The stream becomes unknown if that start may have begun it in place of
	 * the one before. Until its first event, it only may: another server may still begin it.
	 */
	handleStart(start: OriginServer): void {
		const mayHaveSentTo = this.#sends.some(({server, sentAt}) => mayHaveReached(start, [server.id, server.startedAt, sentAt], server.version));
		if (!mayHaveSentTo || this.#isDisowned) {
			return;
		}

		this.#laterStarts.push(start);
		if (this.#beginner) {
			this.#disownIfReplaced(this.#beginner);
			return;
		}

		this.#isRecorded = true;
		this.#sentVersions.add(unknownVersion);
		this.#owner.record(this, {added: [...this.#sentVersions]});
	}

	/** Called with the first event: the stream belongs to the version of the server that sent it. */
	settle(server: OriginServer): void {
		const {version = unknownVersion} = server;
		this.#beginner = server;
		this.#disownIfReplaced(server);
		if (this.#isDisowned) {
			return;
		}

		const dropped = [...this.#sentVersions].filter(other => other !== version);
		if (dropped.length > 0) {
			this.#owner.record(this, {dropped});
		}

		if (this.#isRecorded) {
			this.#owner.remember(this, version);
		}
	}

	/** Records that the version of the stream is unknown. Resolves once the core has stored it, or after a timeout. */
	async disown(): Promise<void> {
		if (this.#isDisowned) {
			return;
		}

		this.#isDisowned = true;
		this.#isRecorded = true;
		this.#owner.remember(this, unknownVersion);
		await this.#owner.recordConfirmed(this, [unknownVersion]);
	}

	recordIfNeeded(): void {
		if (!this.#isRecorded && this.#sentVersions.size > 0 && this.#owner.hasSeveralVersions(this.#services)) {
			this.#isRecorded = true;
			this.#owner.record(this, {added: this.#beginner ? [this.#beginner.version ?? unknownVersion] : [...this.#sentVersions]});
		}
	}

	close(end: {isComplete: boolean}): void {
		this.#owner.close(this, end);
	}

	/** Records a further version. Servers of it that are tried meanwhile wait for the same confirmation; a later one asks again. */
	async #confirmVersion(version: string): Promise<boolean> {
		this.#isRecorded = true;
		const confirmation = this.#confirmations.get(version) ?? this.#owner.recordConfirmed(this, [...this.#sentVersions]);
		this.#confirmations.set(version, confirmation);
		const isConfirmed = await confirmation;
		this.#confirmations.delete(version);
		if (isConfirmed) {
			this.#preparedVersions.add(version);
		}

		return isConfirmed;
	}

	#disownIfReplaced(beginner: OriginServer): void {
		if (this.#laterStarts.some(({id, startedAt}) => id === beginner.id && startedAt > beginner.startedAt)) {
			this.#owner.tasks.start('disown-stream', async () => this.disown());
		}
	}
}

function isSameStart(server: OriginServer, other: OriginServer): boolean {
	return server.id === other.id && server.startedAt === other.startedAt;
}

/** Tells whether a request that was sent to a start of a server may have reached a later start of it with another version. */
export function mayHaveReached(later: OriginServer, [server, startedAt, sentAt]: StreamSend, version: string | undefined): boolean {
	return server === later.id && startedAt < later.startedAt && sentAt >= later.startedAt - clockSkewMs && version !== later.version;
}

/** Returns the id by which a stream is recorded; undefined for one that can't be. */
export function createStreamKey(id: string | undefined): string | undefined {
	return id !== undefined && id.length <= maxIdCharacters ? id : undefined;
}
