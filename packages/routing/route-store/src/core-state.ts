/**
 * State machine of the core: the route configuration, which versions have begun streams, and what is banned because it crashes
 * servers. A snapshot is the stored configuration with further fields, so that a member of an older version can read it.
 */
import {isBanCommand, type BanStore} from '@hickorytrack/crash-attribution/ban-store';
import type {StateMachine} from '@hickorytrack/replicated-log';
import {isOriginCommand, type OriginStore} from '@hickorytrack/stream-origins/origin-store';
import type {RouteStore, StoredConfiguration} from './route-store.js';

type Snapshot = StoredConfiguration & {streamOrigins?: unknown; crashBans?: unknown};

export class CoreState implements StateMachine {
	readonly #routes: RouteStore;
	readonly #origins: OriginStore;

	readonly #bans: BanStore;

	constructor(routes: RouteStore, parts: {origins: OriginStore; bans: BanStore}) {
		this.#routes = routes;
		this.#origins = parts.origins;
		this.#bans = parts.bans;
	}

	apply(command: unknown): unknown {
		if (isBanCommand(command)) {
			this.#bans.apply(command);
			return undefined;
		}

		if (!isOriginCommand(command)) {
			return this.#routes.apply(command);
		}

		this.#origins.apply(command);
		return undefined;
	}

	/** Streams begin and servers crash only under a configuration, so there is no state without one. */
	createSnapshot(): unknown {
		const configuration = this.#routes.createSnapshot() as StoredConfiguration | null;
		return configuration && {...configuration, streamOrigins: this.#origins.createSnapshot(), crashBans: this.#bans.createSnapshot()};
	}

	restoreSnapshot(state: unknown): void {
		if (state === null) {
			return;
		}

		const {streamOrigins, crashBans, ...configuration} = state as Snapshot;
		this.#routes.restoreSnapshot(configuration);
		if (streamOrigins !== undefined) {
			this.#origins.restoreSnapshot(streamOrigins);
		}

		if (crashBans !== undefined) {
			this.#bans.restoreSnapshot(crashBans);
		}
	}
}
