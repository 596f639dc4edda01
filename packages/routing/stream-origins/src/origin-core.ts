/**
 * The part of the core's leader in stream origins: collects what the instances write into few records of the replicated log,
 * and answers from the state that a majority has confirmed.
 */
import type {Clock} from '@hickorytrack/clock';
import type {StreamOriginView, StreamOriginWrite} from '@hickorytrack/types/peer-methods';
import type {OriginCommand, OriginStore} from './origin-store.js';

export type OriginCoreOptions = {
	clock: Clock;
	store: OriginStore;
	/** Appends a command to the replicated log; resolves with false if this member does not lead or got no confirmation. */
	propose: (command: OriginCommand) => Promise<boolean>;
	/** Resolves with true once a majority has confirmed that this member leads and has the newest state. */
	confirm: () => Promise<boolean>;
};

/** Interval between two records of the log; each one costs a sync on every member. */
const proposeIntervalMs = 15;

type Batch = Pick<OriginCommand, 'admitted' | 'retired' | 'streams'>;

export class OriginCore {
	readonly #opts: OriginCoreOptions;
	#pending: Batch = createBatch();
	/** The record that will contain what is pending. */
	#next: Promise<boolean> | undefined;
	#last: Promise<boolean> | undefined;
	#proposedAt = Number.NEGATIVE_INFINITY;

	constructor(opts: OriginCoreOptions) {
		this.#opts = opts;
	}

	/** Stores what an instance writes. Undefined without a confirmation; it may then be stored or not. */
	async write({admitted, streams}: StreamOriginWrite): Promise<StreamOriginView | undefined> {
		const {store, confirm, clock} = this.#opts;
		const missing = admitted.filter(([service, version]) => !store.hasVersion(service, version));
		// A record of the log is a confirmation itself.
		const isStored = missing.length + streams.length === 0 ? await confirm() : await this.#store({admitted: missing, retired: [], streams});
		return isStored ? store.describe(listServices(admitted, streams), {now: clock.now()}) : undefined;
	}

	/** Removes versions that can no longer have begun a stream that is taken up. */
	async retire(retired: StreamOriginWrite['admitted']): Promise<boolean> {
		return this.#store({admitted: [], retired, streams: []});
	}

	/** Answers a take-up, after all writes that have arrived before it. */
	async findOrigin(services: readonly string[], stream: string | undefined): Promise<StreamOriginView | undefined> {
		const {store, confirm, clock} = this.#opts;
		await (this.#next ?? this.#last);
		return await confirm() ? store.describe(services, {stream, now: clock.now()}) : undefined;
	}

	async #store(batch: Batch): Promise<boolean> {
		this.#pending.admitted.push(...batch.admitted);
		this.#pending.retired.push(...batch.retired);
		this.#pending.streams.push(...batch.streams);
		this.#next ??= this.#proposePending();
		return this.#next;
	}

	async #proposePending(): Promise<boolean> {
		const {clock, propose} = this.#opts;
		await this.#last;
		await clock.sleep(Math.max(0, this.#proposedAt + proposeIntervalMs - clock.monotonic()));
		const batch = this.#pending;
		this.#pending = createBatch();
		this.#last = this.#next;
		this.#next = undefined;
		this.#proposedAt = clock.monotonic();
		return propose({kind: 'stream-origins', at: clock.now(), ...batch});
	}
}

function createBatch(): Batch {
	return {admitted: [], retired: [], streams: []};
}

function listServices(admitted: StreamOriginWrite['admitted'], streams: StreamOriginWrite['streams']): string[] {
	return [...new Set([...admitted.map(([service]) => service), ...streams.map(([, service]) => service)])];
}
