/**
 * Sends what this instance writes about streams to the leader of the core, in batches. A batch does not wait for the one
 * before, because callers may lose a stream until its record is stored. A batch that is not confirmed is sent again with the
 * next one. Writes that arrive in another order never turn a stream of several versions into one of a single version.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {StreamOriginView, StreamOriginWrite} from '@hickorytrack/types/peer-methods';

/** A stream that an instance has begun. */
export type BegunStream = {service: string; version: string};

/** The leader of the core, wherever it is, and the other instances. Undefined when nobody confirms an answer. */
export type OriginLeader = {
	/** False if the leader runs a version of this program that does not store stream origins. */
	readonly isSupported: boolean;
	write(write: StreamOriginWrite): Promise<StreamOriginView | undefined>;
	findOrigin(services: readonly string[], stream: string | undefined): Promise<StreamOriginView | undefined>;
	/** Asks the other instances for a stream that they have begun. */
	recall(stream: string): Promise<BegunStream | undefined>;
};

export type OriginWriterOptions = {
	clock: Clock;
	leader: OriginLeader;
	/** Called with the view after each confirmed write. */
	onView: (view: StreamOriginView) => void;
	signal: AbortSignal;
	tasks: BackgroundTasks;
};

/** Interval in which writes are collected. */
const collectMs = 3;
const retryMs = 60;
/** Batches that may be on their way at the same time. */
const maxInFlight = 4;
/** A caller that waits for a confirmation goes on without it after this time. */
const confirmTimeoutMs = 500;
/** Writes kept while the leader can't be reached; the oldest are dropped first, so that their streams become unknown. */
const maxQueued = 10_000;

type Batch = StreamOriginWrite & {waiters: Array<() => void>};

export class OriginWriter {
	readonly #opts: OriginWriterOptions;
	#queued = createBatch();
	#inFlight = 0;
	#isSending = false;
	/** Monotonic time before which nothing is sent, after a batch that was not confirmed. */
	#pausedUntil = Number.NEGATIVE_INFINITY;
	#onDelivered: () => void = () => undefined;

	constructor(opts: OriginWriterOptions) {
		this.#opts = opts;
	}

	/** Queues a write. */
	append({admitted = [], streams = []}: Partial<StreamOriginWrite>): void {
		this.#queue({admitted, streams, waiters: []});
	}

	/** Queues a write and resolves with true once the core has stored it. */
	async write({admitted = [], streams = []}: Partial<StreamOriginWrite>): Promise<boolean> {
		const stored = new Promise<true>(resolve => {
			this.#queue({
				admitted, streams, waiters: [() => {
					resolve(true);
				}],
			});
		});
		return await waitWithTimeout(stored, confirmTimeoutMs, this.#opts.clock) ?? false;
	}

	#queue(batch: Batch): void {
		this.#queued = joinBatches(this.#queued, batch);
		if (!this.#isSending) {
			// Set here, since a task that has failed begins again only after a delay.
			this.#isSending = true;
			const {signal, clock, tasks} = this.#opts;
			tasks.startUntil(signal, {task: 'write-origins', clock}, async () => this.#send());
		}
	}

	async #send(): Promise<void> {
		const {clock, signal} = this.#opts;
		while (!isEmpty(this.#queued) && !signal.aborted) {
			await clock.sleep(Math.max(collectMs, this.#pausedUntil - clock.monotonic()), signal);
			const batch = this.#queued;
			this.#queued = createBatch();
			this.#opts.tasks.start('deliver-origins', async () => this.#deliver(batch));
			if (this.#inFlight >= maxInFlight) {
				await new Promise<void>(resolve => {
					this.#onDelivered = resolve;
				});
			}
		}

		this.#isSending = false;
	}

	async #deliver({waiters, ...write}: Batch): Promise<void> {
		const {clock, tasks, onView} = this.#opts;
		const view = await this.#sendBatch(write);
		if (view) {
			tasks.createListener('origins-view', onView)(view);
			for (const resolve of waiters) {
				resolve();
			}

			return;
		}

		this.#pausedUntil = clock.monotonic() + retryMs;
		const later = this.#queued;
		this.#queued = createBatch();
		this.#queue(joinBatches({...write, waiters}, later));
	}

	/** Undefined if it is not confirmed, also for an error, so that the batch is sent again. */
	async #sendBatch(write: StreamOriginWrite): Promise<StreamOriginView | undefined> {
		const {leader, tasks} = this.#opts;
		this.#inFlight++;
		try {
			return await leader.write(write);
		} catch (error) {
			tasks.report('deliver-origins', error);
			return undefined;
		} finally {
			this.#inFlight--;
			this.#onDelivered();
		}
	}
}

function createBatch(): Batch {
	return {admitted: [], streams: [], waiters: []};
}

function isEmpty({admitted, streams}: Batch): boolean {
	return admitted.length + streams.length === 0;
}

function joinBatches(first: Batch, second: Batch): Batch {
	return {
		admitted: [...first.admitted, ...second.admitted], streams: [...first.streams, ...second.streams].slice(-maxQueued), waiters: [...first.waiters, ...second.waiters],
	};
}
