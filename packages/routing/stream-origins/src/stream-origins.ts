/**
 * What an instance knows and tells of the versions that begin streams. A resumable stream may begin only at a version that
 * the core has admitted for its service, so that the core knows all versions that can have begun one. While a service has one
 * version, nothing else is stored. While it has several, each stream is recorded with the version of the server that it is
 * sent to, without waiting for the record: a stream whose record is lost is unknown, and no unknown stream is continued.
 */
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {StreamOriginView} from '@hickorytrack/types/peer-methods';
import {
	createStreamKey, mayHaveReached, OpenStream, type OriginServer, type StreamOptions, type StreamOwner,
} from './open-stream.js';
import {unknownVersion} from './origin-store.js';
import {OriginWriter, type BegunStream, type OriginLeader} from './origin-writer.js';

export type StreamOriginsOptions = {
	clock: Clock;
	leader: OriginLeader;
	/** Tells whether servers of the version have been heard of lately. */
	hasVersion: (service: string, version: string) => boolean;
	/** Returns the newest start of a server. */
	findServer: (id: string) => OriginServer | undefined;
	/** Without it, errors of tasks are printed as warnings. */
	tasks?: BackgroundTasks;
};

export const originGrounds = {
	/** The stream was recorded. */
	record: 'record',
	/** An instance that runs has begun it. */
	instance: 'instance',
	/** Its service has had no other version since the stream can have begun. */
	onlyVersion: 'only-version',
	/** Several versions may have begun it, and it has no record. */
	noRecord: 'no-record',
	/** It was sent to servers of several versions, to one whose version is unknown, or to another service. */
	ambiguous: 'ambiguous',
	/** The core did not confirm an answer in time. */
	unconfirmed: 'unconfirmed',
} as const;
export type OriginGround = typeof originGrounds[keyof typeof originGrounds];

/** The origin of a stream; without a version it is unknown. */
export type FoundOrigin = {ground: OriginGround; service?: string; version?: string};

/** The core admits a version within the time of a few syncs. */
const admissionTimeoutMs = 300;
const refreshIntervalMs = 2000;
const maxRemembered = 20_000;

type Remembered = {origin: BegunStream | undefined; expiresAt: number};

export class StreamOrigins implements StreamOwner {
	readonly tasks: BackgroundTasks;
	readonly #opts: StreamOriginsOptions;
	readonly #writer: OriginWriter;
	readonly #abortController = new AbortController();
	/** Versions of each service by the newest view of the core. */
	readonly #versions = new Map<string, ReadonlySet<string>>();
	/** Versions at which streams may begin here, by service. */
	readonly #admitted = new Map<string, Set<string>>();
	readonly #requested = new Set<string>();
	/** Open streams, and those that ended too early, by the id of the attempt that began them. */
	readonly #open = new Set<OpenStream>();
	readonly #brokenOff = new Map<string, {stream: OpenStream; expiresAt: number}>();
	readonly #viewListeners: Array<() => void> = [];
	/** Recorded streams that this instance has begun. */
	readonly #remembered = new Map<string, Remembered>();

	constructor(opts: StreamOriginsOptions) {
		this.#opts = opts;
		this.tasks = opts.tasks ?? new BackgroundTasks();
		this.#writer = new OriginWriter({
			clock: opts.clock, leader: opts.leader, signal: this.#abortController.signal, tasks: this.tasks, onView: view => {
				this.#mergeView(view);
			},
		});
	}

	/** Keeps the view of the core current while a service has several versions. */
	async run(): Promise<void> {
		const {clock} = this.#opts;
		const {signal} = this.#abortController;
		while (!signal.aborted) {
			await clock.sleep(refreshIntervalMs, signal);
			this.#refresh();
		}
	}

	/** Wall time in milliseconds. */
	get now(): number {
		return this.#opts.clock.now();
	}

	stop(): void {
		this.#abortController.abort();
	}

	/** Tells whether streams may begin at a server. Otherwise its version is sent to the core for admission. */
	isAdmitted({service, version = unknownVersion}: OriginServer): boolean {
		if (this.#admitted.get(service)?.has(version) === true || !this.#opts.leader.isSupported) {
			return true;
		}

		this.#requestAdmission(service, version);
		return false;
	}

	/**
	 * Resolves when an answer of the core has made the condition true, at the latest after the timeout in milliseconds. Answers
	 * to earlier writes may come before the one to the write that the condition needs.
	 */
	async waitUntil(isMet: () => boolean, timeoutMs: number): Promise<void> {
		const {clock} = this.#opts;
		const endsAt = clock.monotonic() + timeoutMs;
		while (!isMet() && clock.monotonic() < endsAt) {
			const received = new Promise<void>(resolve => {
				this.#viewListeners.push(resolve);
			});
			await waitWithTimeout(received, endsAt - clock.monotonic(), clock);
		}
	}

	/** Opens a stream that callers may take up later. */
	open(opts: StreamOptions): OpenStream {
		const stream = new OpenStream(this, opts);
		this.#open.add(stream);
		return stream;
	}

	/** Ends an open stream. One that is not complete is kept for as long as its caller may take it up. */
	close(stream: OpenStream, {isComplete}: {isComplete: boolean}): void {
		this.#open.delete(stream);
		if (!isComplete && stream.key !== undefined) {
			this.#brokenOff.set(stream.key, {stream, expiresAt: this.#opts.clock.monotonic() + stream.lifetimeMs});
			removeOldest(this.#brokenOff);
		}
	}

	/** Returns the origin of a stream that this instance has begun; undefined if it does not know it. */
	recall(key: string): BegunStream | undefined {
		return this.#findKept(key)?.origin;
	}

	/** Tells whether streams of these services may have begun at several versions. */
	hasSeveralVersions(services: readonly string[]): boolean {
		return services.reduce((count, service) => count + (this.#versions.get(service)?.size ?? 0), 0) > 1;
	}

	/** Finds the origin of a stream that a caller takes up. */
	async findOrigin(begunAs: string | undefined, services: readonly string[]): Promise<FoundOrigin> {
		const stream = createStreamKey(begunAs);
		const own = stream === undefined ? undefined : this.#findKept(stream);
		if (own?.isDisowned) {
			return {ground: originGrounds.ambiguous};
		}

		if (own?.origin) {
			// Its route may have been moved to another service since.
			return services.includes(own.origin.service) ? {ground: originGrounds.instance, ...own.origin} : {ground: originGrounds.ambiguous};
		}

		let view = await this.#opts.leader.findOrigin(services, stream);
		if (view && !hasVersions(view) && this.#requested.size > 0) {
			// The first report of a server has just arrived.
			await this.waitUntil(() => services.some(service => this.#versions.get(service)?.size), admissionTimeoutMs);
			view = await this.#opts.leader.findOrigin(services, stream);
		}

		const found = this.#judge(view, services);
		if (found.version !== undefined || found.ground === originGrounds.ambiguous || stream === undefined) {
			return found;
		}

		// Its record may be on its way to the core.
		const recalled = await this.#opts.leader.recall(stream);
		return recalled && services.includes(recalled.service) ? {ground: originGrounds.instance, ...recalled} : found;
	}

	#findKept(key: string): {origin: BegunStream | undefined; isDisowned: boolean} | undefined {
		const kept = this.#remembered.get(key) ?? this.#brokenOff.get(key);
		if (!kept || kept.expiresAt <= this.#opts.clock.monotonic()) {
			return undefined;
		}

		return 'stream' in kept ? {origin: kept.stream.origin, isDisowned: kept.stream.isDisowned} : {origin: kept.origin, isDisowned: kept.origin === undefined};
	}

	#judge(view: StreamOriginView | undefined, services: readonly string[]): FoundOrigin {
		if (!view) {
			return {ground: originGrounds.unconfirmed};
		}

		this.#mergeView(view);
		if (view.stream) {
			const {service, versions: [version, ...others], sends = []} = view.stream;
			// The instance that began it may not have heard of a restart, and may be out of step still.
			const isReplaced = sends.some(send => {
				const server = this.#opts.findServer(send[0]);
				return server !== undefined && mayHaveReached(server, send, version);
			});
			const isKnown = version !== undefined && version !== unknownVersion && others.length === 0 && services.includes(service) && !isReplaced;
			return isKnown ? {ground: originGrounds.record, service, version} : {ground: originGrounds.ambiguous};
		}

		const [only, ...others] = services.flatMap(service => (view.versions[service] ?? []).map(version => ({service, version})));
		const isKnown = only !== undefined && only.version !== unknownVersion && others.length === 0;
		return isKnown ? {ground: originGrounds.onlyVersion, ...only} : {ground: originGrounds.noRecord};
	}

	/** Queues the record of a stream. */
	record(stream: OpenStream, {added = [], dropped = []}: {added?: string[]; dropped?: string[]}): void {
		if (stream.key !== undefined) {
			this.#writer.append({streams: [[stream.key, stream.service, added, dropped, stream.lifetimeMs, stream.sends]]});
		}
	}

	/** Resolves with true once the core has stored the record of a stream. */
	async recordConfirmed(stream: OpenStream, added: string[]): Promise<boolean> {
		return stream.key !== undefined && this.#writer.write({streams: [[stream.key, stream.service, added, [], stream.lifetimeMs, stream.sends]]});
	}

	remember({key, service, lifetimeMs}: OpenStream, version: string): void {
		if (key === undefined) {
			return;
		}

		this.#remembered.set(key, {origin: version === unknownVersion ? undefined : {service, version}, expiresAt: this.#opts.clock.monotonic() + lifetimeMs});
		removeOldest(this.#remembered);
	}

	/** Called with the first report of a start of a server, possibly under the id of an earlier start. */
	handleStart(server: OriginServer): void {
		for (const stream of this.#listKept()) {
			stream.handleStart(server);
		}

		this.isAdmitted(server);
	}

	dump(): unknown {
		return {
			versions: Object.fromEntries([...this.#versions].map(([service, versions]) => [service, [...versions]])), open: this.#open.size, brokenOff: this.#brokenOff.size, remembered: this.#remembered.size,
		};
	}

	#requestAdmission(service: string, version: string): void {
		const key = createKey(service, version);
		if (!this.#requested.has(key)) {
			this.#requested.add(key);
			this.#writer.append({admitted: [[service, version]]});
		}
	}

	#mergeView({versions}: StreamOriginView): void {
		for (const [service, names] of Object.entries(versions)) {
			this.#versions.set(service, new Set(names));
			for (const version of names) {
				this.#requested.delete(createKey(service, version));
			}

			// One that has gone may be retired at any time, so it is admitted again when it comes back.
			this.#admitted.set(service, new Set(names.filter(version => this.#opts.hasVersion(service, version))));
		}

		for (const stream of this.#listKept()) {
			stream.recordIfNeeded();
		}

		for (const resolve of this.#viewListeners.splice(0)) {
			resolve();
		}
	}

	#refresh(): void {
		const {clock, hasVersion} = this.#opts;
		const refreshed: Array<[service: string, version: string]> = [];
		for (const [service, versions] of this.#admitted) {
			for (const version of versions) {
				if (!hasVersion(service, version)) {
					versions.delete(version);
				} else if (this.hasSeveralVersions([service])) {
					refreshed.push([service, version]);
				}
			}
		}

		if (refreshed.length > 0) {
			this.#writer.append({admitted: refreshed});
		}

		for (const kept of [this.#remembered, this.#brokenOff]) {
			for (const [stream, {expiresAt}] of kept) {
				if (expiresAt <= clock.monotonic()) {
					kept.delete(stream);
				}
			}
		}
	}

	#listKept(): OpenStream[] {
		return [...this.#open, ...[...this.#brokenOff.values()].map(({stream}) => stream)];
	}
}

function createKey(service: string, version: string): string {
	return `${service}\n${version}`;
}

function hasVersions({versions}: StreamOriginView): boolean {
	return Object.values(versions).some(names => names.length > 0);
}

/** Keeps a map within its bound. The oldest entries go first. */
function removeOldest(kept: Map<string, unknown>): void {
	if (kept.size > maxRemembered) {
		kept.delete(kept.keys().next().value!);
	}
}
