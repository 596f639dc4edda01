/**
 * State machine of the core: the route configuration, which versions have begun streams, and what is banned because it crashes
 * servers. A snapshot is the stored configuration with further fields, so that a member of an older version can read it.
 *
 * Whatever a record or a snapshot says, it is applied without an exception, since it would end all members, and again at each
 * start. What can't be used changes nothing, which each member decides alike, from the record alone.
 */
import {isBanCommand, type BanStore} from '@hickorytrack/crash-attribution/ban-store';
import {FieldError} from '@hickorytrack/fields';
import type {StateMachine} from '@hickorytrack/replicated-log';
import {isOriginCommand, type OriginStore} from '@hickorytrack/stream-origins/origin-store';
import type {RouteStore, StoredConfiguration} from './route-store.js';

type Snapshot = Partial<StoredConfiguration> & {streamOrigins?: unknown; crashBans?: unknown};

export class CoreState implements StateMachine {
	readonly #routes: RouteStore;
	readonly #origins: OriginStore;

	readonly #bans: BanStore;

	constructor(routes: RouteStore, parts: {origins: OriginStore; bans: BanStore}) {
		this.#routes = routes;
		this.#origins = parts.origins;
		this.#bans = parts.bans;
	}

	/** Returns undefined for a command that changes no configuration. */
	apply(command: unknown): unknown {
		return runOrSkip(() => this.#applyCommand(command));
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

		runOrSkip(() => {
			this.#routes.restoreSnapshot(state);
		});
		const {streamOrigins, crashBans} = (state ?? {}) as Snapshot;
		if (streamOrigins !== undefined) {
			runOrSkip(() => {
				this.#origins.restoreSnapshot(streamOrigins);
			});
		}

		if (crashBans !== undefined) {
			this.#bans.restoreSnapshot(crashBans);
		}
	}

	#applyCommand(command: unknown): unknown {
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
}

/** Returns undefined for what can't be used. Another error is a fault of the program and goes on. */
function runOrSkip(step: () => unknown): unknown {
	try {
		return step();
	} catch (error) {
		if (error instanceof FieldError) {
			return undefined;
		}

		throw error;
	}
}
