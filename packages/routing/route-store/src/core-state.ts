/**
 * State machine of the core: the route configuration, which versions have begun streams, what is banned because it crashes
 * servers, and the decided windows of usage. A snapshot is the stored configuration with further fields, so that a member of an older version can read it.
 *
 * Whatever a record or a snapshot says, it is applied without an exception, since it would end all members, and again at each
 * start. What can't be used changes nothing, which each member decides alike, from the record alone.
 */
import {isBanCommand, type BanStore} from '@hickorytrack/crash-attribution/ban-store';
import {FieldError} from '@hickorytrack/fields';
import type {StateMachine} from '@hickorytrack/replicated-log';
import {isOriginCommand, type OriginStore} from '@hickorytrack/stream-origins/origin-store';
import {isUsageCommand, type UsageStore} from '@hickorytrack/usage-windows/usage-store';
import type {RouteStore, StoredConfiguration} from './route-store.js';

type Snapshot = Partial<StoredConfiguration> & {streamOrigins?: unknown; crashBans?: unknown; usageWindows?: unknown};

export class CoreState implements StateMachine {
	readonly #routes: RouteStore;
	readonly #origins: OriginStore;

	readonly #bans: BanStore;

	readonly #usage: UsageStore;

	constructor(routes: RouteStore, parts: {origins: OriginStore; bans: BanStore; usage: UsageStore}) {
		this.#routes = routes;
		this.#origins = parts.origins;
		this.#bans = parts.bans;
		this.#usage = parts.usage;
	}

	/** Returns undefined for a command that changes no configuration. */
	apply(command: unknown): unknown {
		return runOrSkip(() => this.#applyCommand(command));
	}

	/** Streams begin, servers crash and requests are counted only under a configuration, so there is no state without one. */
	createSnapshot(): unknown {
		const configuration = this.#routes.createSnapshot() as StoredConfiguration | null;
		return configuration && {
			...configuration, streamOrigins: this.#origins.createSnapshot(), crashBans: this.#bans.createSnapshot(), usageWindows: this.#usage.createSnapshot(),
		};
	}

	restoreSnapshot(state: unknown): void {
		if (state === null) {
			return;
		}

		runOrSkip(() => {
			this.#routes.restoreSnapshot(state);
		});
		const {streamOrigins, crashBans, usageWindows} = (state ?? {}) as Snapshot;
		if (streamOrigins !== undefined) {
			runOrSkip(() => {
				this.#origins.restoreSnapshot(streamOrigins);
			});
		}

		if (crashBans !== undefined) {
			this.#bans.restoreSnapshot(crashBans);
		}

		if (usageWindows !== undefined) {
			runOrSkip(() => {
				this.#usage.restoreSnapshot(usageWindows);
			});
		}
	}

	#applyCommand(command: unknown): unknown {
		if (isBanCommand(command)) {
			this.#bans.apply(command);
			return undefined;
		}

		if (isUsageCommand(command)) {
			this.#usage.apply(command);
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
