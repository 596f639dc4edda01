/**
 * The side of the route configuration that every instance has: it follows the leader's announcements, fetches what is
 * newer, never goes back, and passes changes and reads on to the leader.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {Mesh} from '@hickorytrack/mesh';
import {CoreMemberError, coreRole, type CoreMember} from './core-member.js';
import type {StoredConfiguration, StoreOutcome} from './route-store.js';

export type ConfigurationFollowerOptions = {
	mesh: Mesh;
	clock: Clock;
	events: EventLog;
	/** Puts a configuration in force at this instance. Called with rising versions only. */
	install: (stored: StoredConfiguration) => void;
};

const announceIntervalMs = 250;
/** Leaders that announced themselves longer ago than this are not asked. */
const leaderFreshMs = 1500;
const callTimeoutMs = 950; // The caller gives up after a second.
const retryMs = 60;

export class ConfigurationFollower {
	readonly #opts: ConfigurationFollowerOptions;
	readonly #ended = new AbortController();
	#core: CoreMember | undefined;
	#held: StoredConfiguration | undefined;
	#leader: {address: string; term: number; heardAt: number} | undefined;
	#isConfirmed = false;
	#isFetching = false;

	constructor(opts: ConfigurationFollowerOptions) {
		this.#opts = opts;
		const {peers} = opts.mesh;
		peers.handle('configuration.announce', announcement => {
			this.#noteLeader(announcement);
		});
		peers.handle('configuration.install', ({stored}) => {
			this.update(stored);
		});
		peers.handle('configuration.fetch', () => ({stored: this.#held}));
		peers.handle('configuration.put', async ({stored}) => {
			const outcome = await this.#core?.put(stored);
			return {outcome: outcome?.isOk() ? outcome.value : undefined};
		});
		peers.handle('configuration.read', async () => {
			const reading = await this.#core?.read();
			return {isConfirmed: reading?.isOk() ?? false, stored: reading?.isOk() ? reading.value : undefined};
		});
	}

	/** The newest configuration that this instance knows. */
	get current(): StoredConfiguration | undefined {
		return this.#held;
	}

	/** True once the core has confirmed, since this start, that nothing newer was acknowledged before. */
	get isConfirmed(): boolean {
		return this.#isConfirmed && this.#held !== undefined;
	}

	start(core: CoreMember | undefined): void {
		this.#core = core;
		void this.#announce();
		void this.#confirm();
	}

	stop(): void {
		this.#ended.abort();
	}

	/** Takes a configuration from the core; older ones are ignored. */
	update(stored: StoredConfiguration): void {
		if (this.#held && stored.version <= this.#held.version) {
			return;
		}

		this.#held = stored;
		this.#opts.install(stored);
	}

	async put(stored: StoredConfiguration): Promise<Result<StoreOutcome, CoreMemberError>> {
		return this.#askLeader(async remainingMs => {
			if (this.#core?.isLeader) {
				const outcome = await this.#core.put(stored);
				return outcome.isOk() ? outcome.value : undefined;
			}

			const reply = await this.#findLeaderConnection()?.request('configuration.put', {stored}, {timeoutMs: remainingMs});
			return reply?.isOk() ? reply.value.outcome : undefined;
		});
	}

	/** Returns the newest acknowledged configuration, confirmed by the core; an error when it can't be confirmed now. */
	async read(): Promise<Result<StoredConfiguration | undefined, CoreMemberError>> {
		const reading = await this.#askLeader(async remainingMs => {
			if (this.#core?.isLeader) {
				const own = await this.#core.read();
				return own.isOk() ? {stored: own.value} : undefined;
			}

			const reply = await this.#findLeaderConnection()?.request('configuration.read', {}, {timeoutMs: remainingMs});
			return reply?.isOk() && reply.value.isConfirmed ? {stored: reply.value.stored} : undefined;
		});
		return reading.map(({stored}) => {
			if (stored) {
				this.update(stored);
			}

			return stored;
		});
	}

	dump(): unknown {
		return {
			version: this.#held?.version, isConfirmed: this.#isConfirmed, leader: this.#leader?.address, core: this.#core?.dump(),
		};
	}

	/** Repeats the question until it is answered or the caller's patience ends. */
	async #askLeader<T>(ask: (remainingMs: number) => Promise<T | undefined>): Promise<Result<T, CoreMemberError>> {
		const {clock} = this.#opts;
		const until = clock.monotonic() + callTimeoutMs;
		while (clock.monotonic() < until && !this.#ended.signal.aborted) {
			const answer = await ask(until - clock.monotonic());
			if (answer !== undefined) {
				return ok(answer);
			}

			await clock.sleep(retryMs, this.#ended.signal);
		}

		return err(new CoreMemberError('ERR_HICKORYTRACK_CORE_UNAVAILABLE', 'No leader of the core answered in time', {hint: 'Send the same call again.'}));
	}

	#findLeaderConnection() {
		const leader = this.#leader;
		if (!leader || this.#opts.clock.monotonic() - leader.heardAt > leaderFreshMs) {
			return undefined;
		}

		return this.#opts.mesh.findConnection(leader.address);
	}

	#noteLeader(announcement: {leader: string; term: number; version: number}): void {
		const {leader, term, version} = announcement;
		if (this.#leader && term < this.#leader.term) {
			return;
		}

		if (leader !== this.#leader?.address) {
			this.#opts.events.emit('leaderFollowed', {leader, term});
		}

		this.#leader = {address: leader, term, heardAt: this.#opts.clock.monotonic()};
		if (version > (this.#held?.version ?? 0)) {
			void this.#fetch(leader);
		}
	}

	async #fetch(leader: string): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		const reply = await this.#opts.mesh.findConnection(leader)?.request('configuration.fetch', {});
		this.#isFetching = false;
		if (reply?.isOk() && reply.value.stored) {
			this.update(reply.value.stored);
		}
	}

	/** Asks the core once after the start, so that an instance that forgot everything does not serve what is old. */
	async #confirm(): Promise<void> {
		while (!this.isConfirmed && !this.#ended.signal.aborted) {
			const reading = await this.read();
			this.#isConfirmed = reading.isOk();
			await this.#opts.clock.sleep(retryMs, this.#ended.signal);
		}
	}

	/** As the leader: tells every instance who leads and which version is in force, and pushes a new one at once. */
	async #announce(): Promise<void> {
		const {mesh, clock} = this.#opts;
		let pushed: number | undefined;
		let announcedAt = Number.NEGATIVE_INFINITY;
		while (!this.#ended.signal.aborted) {
			const version = this.#core?.store.current?.version ?? 0;
			if (this.#core?.isLeader) {
				if (pushed !== undefined && version > pushed) {
					this.#push();
				}

				pushed = version;
				if (clock.monotonic() - announcedAt >= announceIntervalMs) {
					announcedAt = clock.monotonic();
					const announcement = {leader: mesh.address, term: this.#core.term, version};
					this.#noteLeader(announcement);
					mesh.broadcast('configuration.announce', announcement);
				}
			} else {
				pushed = undefined;
			}

			await clock.sleep(retryMs, this.#ended.signal);
		}
	}

	#push(): void {
		const stored = this.#core?.store.current;
		if (stored) {
			this.#opts.mesh.broadcast('configuration.install', {stored});
		}
	}
}

export {coreRole} from './core-member.js';
