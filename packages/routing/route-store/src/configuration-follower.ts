/**
 * Keeps the current route configuration on every instance. It receives the announcements of the core leader, fetches
 * newer versions, never installs an older one, and forwards changes and reads to the leader. On the leader it also sends
 * the announcements.
 */
import {err, ok, type Result} from 'neverthrow';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import {describeError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import type {Mesh} from '@hickorytrack/mesh';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import {CoreMemberError, coreRole, type CoreMember} from './core-member.js';
import type {StoredConfiguration, StoreOutcome} from './route-store.js';

export type ConfigurationFollowerOptions = {
	mesh: Mesh;
	clock: Clock;
	events: EventLog;
	/** Installs a configuration on this instance. Called with increasing versions only. */
	install: (stored: StoredConfiguration) => void;
	/** Without it, errors of tasks are printed as warnings. */
	tasks?: BackgroundTasks;
};

const announceIntervalMs = 250;
/** A leader whose last announcement is older than this is not called. */
const leaderTimeoutMs = 1500;
const callTimeoutMs = 950; // Below the caller's own timeout of 1 s.
const retryIntervalMs = 60;

export class ConfigurationFollower {
	readonly #opts: ConfigurationFollowerOptions;
	readonly #tasks: BackgroundTasks;
	readonly #abortController = new AbortController();
	#core: CoreMember | undefined;
	#current: StoredConfiguration | undefined;
	#leader: {address: string; term: number; heardAt: number} | undefined;
	#isConfirmed = false;
	#isFetching = false;
	/** Version of the last configuration that could not be installed. */
	#unusableVersion: number | undefined;

	constructor(opts: ConfigurationFollowerOptions) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
		const {peers} = opts.mesh;
		peers.handle('configuration.announce', announcement => {
			this.#updateLeader(announcement);
		});
		peers.handle('configuration.install', ({stored}) => {
			this.update(stored);
		});
		peers.handle('configuration.fetch', () => ({stored: this.#current}));
		peers.handle('configuration.put', async ({stored}) => {
			const outcome = await this.#core?.put(stored);
			return {outcome: outcome?.isOk() ? outcome.value : undefined};
		});
		peers.handle('configuration.read', async () => {
			const result = await this.#core?.read();
			return {isConfirmed: result?.isOk() ?? false, stored: result?.isOk() ? result.value : undefined};
		});
	}

	/** Newest configuration known to this instance. */
	get current(): StoredConfiguration | undefined {
		return this.#current;
	}

	/** True once the core has confirmed, since this start, that no newer configuration had been acknowledged. */
	get isConfirmed(): boolean {
		return this.#isConfirmed && this.#current !== undefined;
	}

	start(core: CoreMember | undefined): void {
		this.#core = core;
		const {clock} = this.#opts;
		const {signal} = this.#abortController;
		this.#tasks.startUntil(signal, {task: 'confirm-configuration', clock}, async () => this.#confirmCurrent());
		if (core) {
			this.#tasks.startUntil(signal, {task: 'announcements', clock}, async () => this.#runAnnouncements(core));
		}
	}

	stop(): void {
		this.#abortController.abort();
	}

	/**
	 * Installs a configuration received from the core, unless its version is not newer than the current one. One that this
	 * version can't use, because another version has accepted it, leaves the current one in force.
	 */
	update(stored: StoredConfiguration): void {
		if (this.#current && stored.version <= this.#current.version) {
			return;
		}

		if (stored.version === this.#unusableVersion) {
			return;
		}

		try {
			this.#opts.install(stored);
			this.#current = stored;
		} catch (error) {
			this.#unusableVersion = stored.version;
			this.#opts.events.emit('configurationUnusable', {version: stored.version, message: describeError(error)});
		}
	}

	async put(stored: StoredConfiguration): Promise<Result<StoreOutcome, CoreMemberError>> {
		return this.#callLeader(async remainingMs => {
			if (this.#core?.isLeader) {
				const outcome = await this.#core.put(stored);
				return outcome.isOk() ? outcome.value : undefined;
			}

			const reply = await this.findLeaderConnection()?.request('configuration.put', {stored}, {timeoutMs: remainingMs});
			return reply?.isOk() ? reply.value.outcome : undefined;
		});
	}

	/** Returns the newest acknowledged configuration, confirmed by the core; an error if no confirmation arrives in time. */
	async read(): Promise<Result<StoredConfiguration | undefined, CoreMemberError>> {
		const result = await this.#callLeader(async remainingMs => {
			if (this.#core?.isLeader) {
				const own = await this.#core.read();
				return own.isOk() ? {stored: own.value} : undefined;
			}

			const reply = await this.findLeaderConnection()?.request('configuration.read', {}, {timeoutMs: remainingMs});
			return reply?.isOk() && reply.value.isConfirmed ? {stored: reply.value.stored} : undefined;
		});
		return result.map(({stored}) => {
			if (stored) {
				this.update(stored);
			}

			return stored;
		});
	}

	/** The connection to the leader of the core, as far as it is known; undefined also on the leader itself. */
	findLeaderConnection(): PeerConnection | undefined {
		const leader = this.#leader;
		if (!leader || this.#opts.clock.monotonic() - leader.heardAt > leaderTimeoutMs) {
			return undefined;
		}

		return this.#opts.mesh.findConnection(leader.address);
	}

	/** Fetches the configuration of the leader and installs it if it is newer. */
	async fetchCurrent(): Promise<void> {
		const leader = this.#leader?.address;
		if (leader !== undefined) {
			await this.#fetch(leader);
		}
	}

	/** Retries the call until it has an answer or the call timeout expires; undefined without one. */
	async callLeader<T>(call: (remainingMs: number) => Promise<T | undefined>): Promise<T | undefined> {
		const result = await this.#callLeader(call);
		return result.isOk() ? result.value : undefined;
	}

	dump(): unknown {
		return {
			version: this.#current?.version, isConfirmed: this.#isConfirmed, leader: this.#leader?.address, core: this.#core?.dump(),
		};
	}

	/** Retries the call until the leader answers or the call timeout expires. */
	async #callLeader<T>(call: (remainingMs: number) => Promise<T | undefined>): Promise<Result<T, CoreMemberError>> {
		const {clock} = this.#opts;
		const until = clock.monotonic() + callTimeoutMs;
		while (clock.monotonic() < until && !this.#abortController.signal.aborted) {
			const answer = await call(until - clock.monotonic());
			if (answer !== undefined) {
				return ok(answer);
			}

			await clock.sleep(retryIntervalMs, this.#abortController.signal);
		}

		return err(new CoreMemberError('ERR_HICKORYTRACK_CORE_UNAVAILABLE', 'No core leader answered before the call timed out', {hint: 'Retry the same call.'}));
	}

	#updateLeader(announcement: {leader: string; term: number; version: number}): void {
		const {leader, term, version} = announcement;
		if (this.#leader && term < this.#leader.term) {
			return;
		}

		if (leader !== this.#leader?.address) {
			this.#opts.events.emit('leaderFollowed', {leader, term});
		}

		this.#leader = {address: leader, term, heardAt: this.#opts.clock.monotonic()};
		if (version > (this.#current?.version ?? 0)) {
			this.#tasks.start('fetch-configuration', async () => this.#fetch(leader));
		}
	}

	async #fetch(leader: string): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		try {
			const reply = await this.#opts.mesh.findConnection(leader)?.request('configuration.fetch', {});
			if (reply?.isOk() && reply.value.stored) {
				this.update(reply.value.stored);
			}
		} finally {
			this.#isFetching = false;
		}
	}

	/**
	 * Reads from the core until confirmed once, so that an instance that lost its state serves nothing outdated. If the core
	 * has no configuration yet, any that is stored later is newer than all that this instance can have served.
	 */
	async #confirmCurrent(): Promise<void> {
		while (!this.#isConfirmed && !this.#abortController.signal.aborted) {
			const result = await this.read();
			this.#isConfirmed = result.isOk();
			await this.#opts.clock.sleep(retryIntervalMs, this.#abortController.signal);
		}
	}

	/** While this member leads, announces leader and version to every instance and sends each new version at once. */
	async #runAnnouncements(core: CoreMember): Promise<void> {
		const {mesh, clock} = this.#opts;
		let broadcastVersion: number | undefined;
		let announcedAt = Number.NEGATIVE_INFINITY;
		while (!this.#abortController.signal.aborted) {
			const version = core.store.current?.version ?? 0;
			if (core.isLeader) {
				if (broadcastVersion !== undefined && version > broadcastVersion) {
					this.#broadcastCurrent();
				}

				broadcastVersion = version;
				if (clock.monotonic() - announcedAt >= announceIntervalMs) {
					announcedAt = clock.monotonic();
					const announcement = {leader: mesh.address, term: core.term, version};
					this.#updateLeader(announcement);
					mesh.broadcast('configuration.announce', announcement);
				}
			} else {
				broadcastVersion = undefined;
			}

			await clock.sleep(retryIntervalMs, this.#abortController.signal);
		}
	}

	#broadcastCurrent(): void {
		const stored = this.#core?.store.current;
		if (stored) {
			this.#opts.mesh.broadcast('configuration.install', {stored});
		}
	}
}

export {coreRole} from './core-member.js';
