/**
 * Ends the time for which a version counts as one that may have begun streams. The leader of the core retires a version when
 * no server of it has been heard of for as long as a stream may be taken up, and no instance is missing that might know one.
 */
import type {Clock} from '@hickorytrack/clock';
import type {OriginCore} from './origin-core.js';
import type {OriginStore} from './origin-store.js';

export type VersionRetirementOptions = {
	clock: Clock;
	core: Pick<OriginCore, 'retire'>;
	store: Pick<OriginStore, 'listVersions'>;
	/** Time since this instance became the leader, in milliseconds; undefined while it does not lead. */
	getLeadershipAgeMs: () => number | undefined;
	/** True while all instances that were heard of in the last minutes are in contact. */
	isComplete: () => boolean;
	/** Tells whether servers of the version have been heard of lately. */
	hasVersion: (service: string, version: string) => boolean;
	/** Longest time for which a stream of the service may be taken up, in milliseconds. */
	getLifetimeMs: (service: string) => number;
};

const intervalMs = 1000;

type VersionTrace = {
	/** Monotonic time in milliseconds. */
	lastHeardAt: number;
	/** The longest time so far: streams that began under an earlier configuration keep theirs. */
	lifetimeMs: number;
};

export class VersionRetirement {
	readonly #opts: VersionRetirementOptions;
	/** By service and version. */
	readonly #traces = new Map<string, VersionTrace>();

	constructor(opts: VersionRetirementOptions) {
		this.#opts = opts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(intervalMs, signal);
			await this.retireGone();
		}
	}

	/** Retires the versions that are due. The last version of a service stays. */
	async retireGone(): Promise<void> {
		const {clock, core, store, getLeadershipAgeMs, isComplete, hasVersion, getLifetimeMs} = this.#opts;
		const ageMs = getLeadershipAgeMs();
		if (ageMs === undefined) {
			this.#traces.clear();
			return;
		}

		const now = clock.monotonic();
		const retired: Array<[service: string, version: string]> = [];
		for (const [service, versions] of store.listVersions()) {
			const gone = versions.filter(version => {
				const key = `${service}\n${version}`;
				const known = this.#traces.get(key) ?? {lastHeardAt: now, lifetimeMs: 0};
				const trace = {lastHeardAt: hasVersion(service, version) ? now : known.lastHeardAt, lifetimeMs: Math.max(known.lifetimeMs, getLifetimeMs(service))};
				this.#traces.set(key, trace);
				return now - trace.lastHeardAt > trace.lifetimeMs;
			});
			retired.push(...gone.slice(0, versions.length - 1).map((version): [string, string] => [service, version]));
		}

		if (retired.length > 0 && isComplete()) {
			await core.retire(retired);
		}
	}
}
