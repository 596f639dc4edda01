/**
 * The requests of one service that wait at this instance for a free slot. Requests wait only while the known slots are taken.
 * More urgent ones go first; among these, workspaces share the slots by start-time fair queueing over expected work, and
 * a caller that was refused before and has returned goes before the new requests of its workspace. A request is refused as
 * soon as no server could answer it in time any more, which may be on its arrival.
 */
import type {Clock} from '@hickorytrack/clock';
import {FairQueue} from '@hickorytrack/fair-queue';

export const admissionDecisions = {
	admitted: 'admitted',
	/** No server can answer the request in time any more. */
	late: 'late',
	/** Others that wait leave no place. */
	full: 'full',
	/** This instance stops before there is room. */
	stopping: 'stopping',
	/** The caller has gone. */
	cancelled: 'cancelled',
} as const;
export type AdmissionDecision = typeof admissionDecisions[keyof typeof admissionDecisions];

export type AdmissionRequest = {
	/** Requests without a workspace share one place in the order. */
	workspace?: string;
	/** 0 is the most urgent. */
	priority: number;
	/** The caller was refused before and has come back. */
	isReturning: boolean;
	/** Expected time at a server, in milliseconds. */
	expectedMs: number;
	/** Time for which the request may wait here and still be answered in time, in milliseconds. */
	maxWaitMs: number;
	signal?: AbortSignal;
};

export type AdmissionQueueOptions = {
	clock: Clock;
	/** Returns how many requests this instance may send to the service now. */
	countRoom: () => number;
	/** Returns the number of slots by which the work that waits here is served, at least 1. */
	countOwnSlots: () => number;
};

type Waiter = {
	decide: (decision: AdmissionDecision) => void;
};

/** Room appears with answers, of which those of other instances are known up to this late. */
const updateIntervalMs = 10;
/** More requests than a server could answer within any usual deadline; bounds the memory of waiting requests. */
const maxWaiting = 2000;
/** Work by which a workspace that used less than its share goes before the others, in milliseconds. */
const burstMs = 100;
const equalShare = 1;
const noWorkspace = '';

export class AdmissionQueue {
	readonly #opts: AdmissionQueueOptions;
	readonly #queue: FairQueue<Waiter>;
	#cancelTimer: (() => void) | undefined;

	constructor(opts: AdmissionQueueOptions) {
		this.#opts = opts;
		this.#queue = new FairQueue({clock: opts.clock, maximumLength: maxWaiting, burstMs});
	}

	/** Number of requests that wait. */
	get length(): number {
		return this.#queue.length;
	}

	/** Time in which the work that waits will have been served, in milliseconds. */
	get backlogMs(): number {
		return this.#queue.costMs / Math.max(1, this.#opts.countOwnSlots());
	}

	/**
	 * Returns the decision, or a promise of it while the request waits. A request that is admitted must be sent in the same turn
	 * of the event loop, so that the next decision knows of it.
	 */
	acquire(request: AdmissionRequest): AdmissionDecision | Promise<AdmissionDecision> {
		if (request.signal?.aborted) {
			return admissionDecisions.cancelled;
		}

		if (this.#queue.length === 0 && this.#opts.countRoom() > 0) {
			return admissionDecisions.admitted;
		}

		if (request.maxWaitMs <= 0 || this.#estimateWaitMs(request) > request.maxWaitMs) {
			return admissionDecisions.late;
		}

		return this.#wait(request);
	}

	/** Admits waiting requests while there is room, and refuses those that have become late. */
	update(): void {
		for (const {item} of this.#queue.removeExpired()) {
			item.decide(admissionDecisions.late);
		}

		for (let room = this.#queue.length > 0 ? this.#opts.countRoom() : 0; room > 0; room--) {
			const next = this.#queue.pop();
			if (!next) {
				break;
			}

			next.item.decide(admissionDecisions.admitted);
		}

		if (this.#queue.length === 0) {
			this.#cancelTimer?.();
			this.#cancelTimer = undefined;
		}
	}

	/** Refuses all that wait, when the instance stops. Returns their number. */
	close(): number {
		const refused = this.#queue.removeWhere(() => true);
		for (const {item} of refused) {
			item.decide(admissionDecisions.stopping);
		}

		this.update();
		return refused.length;
	}

	#estimateWaitMs({workspace = noWorkspace, priority}: AdmissionRequest): number {
		return this.#queue.estimateCostAhead({workspace, priority, share: equalShare}) / Math.max(1, this.#opts.countOwnSlots());
	}

	async #wait(request: AdmissionRequest): Promise<AdmissionDecision> {
		const {workspace = noWorkspace, priority, isReturning, expectedMs, maxWaitMs, signal} = request;
		return new Promise(resolve => {
			const waiter: Waiter = {
				decide(decision) {
					signal?.removeEventListener('abort', cancel);
					resolve(decision);
				},
			};
			const cancel = () => {
				this.#queue.removeWhere(item => item === waiter);
				waiter.decide(admissionDecisions.cancelled);
			};

			const isAccepted = this.#queue.push({
				workspace, priority, share: equalShare, costMs: expectedMs, queueMs: maxWaitMs, item: waiter, isFirst: isReturning,
			}, {
				onEvicted(evicted) {
					evicted.decide(admissionDecisions.full);
				},
			});
			if (!isAccepted) {
				resolve(admissionDecisions.full);
				return;
			}

			signal?.addEventListener('abort', cancel, {once: true});
			this.#startTimer();
		});
	}

	#startTimer(): void {
		this.#cancelTimer ??= this.#opts.clock.startTimer(updateIntervalMs, () => {
			this.#cancelTimer = undefined;
			this.update();
			if (this.#queue.length > 0) {
				this.#startTimer();
			}
		});
	}
}
