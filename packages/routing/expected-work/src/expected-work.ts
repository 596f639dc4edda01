/**
 * Predicts when a server would complete a request: the work of the request and what the server still has to do, divided by
 * the speed of the server. Work and speed are learned from answers; what this instance has in flight is known exactly, that
 * of the others by their load shares.
 */
import type {Clock} from '@hickorytrack/clock';
import {
	addOverdue, ServerSpeeds, type Overdue, type SpeedSubject,
} from './server-speeds.js';
import {WorkEstimates, type WorkKind} from './work-estimates.js';

export type WorkServer = SpeedSubject & {readonly service: string; readonly slots: number};

/** What the other instances have in flight at a server. */
export type RemoteWork = {
	readonly requests: number;
	/** Expected work of the requests of which it is known, in milliseconds. */
	readonly workMs: number;
	/** Number of the requests of which it is not known. */
	readonly unknownWork: number;
};

export type RunningWork = {
	/** Expected work, in milliseconds at a server of mean speed; 0 while the service is unknown. */
	readonly workMs: number;
	/** Ends the request. Only the time of a whole answer is a sample. */
	end(opts: {isSample: boolean}): void;
};

type Running = {
	/** Time at which the request is expected to leave this instance. */
	sentAt: number;
	/** Expected wait for a slot. */
	waitMs: number;
	workMs: number;
};

/** A request that runs counts for at least this part of its work, however long it has run. */
const minRemainingFraction = 0.1;
/** On average, half of the work of a request that runs is done. */
const meanRemainingFraction = 0.5;
/** Speeds are measured by answers to which this many of the service have come before; earlier ones teach the work of its requests. */
const minWorkSamples = 100;
/** An answer tells a speed if at least this part of the slots was free; what other instances have sent is known a little late. */
const minFreeFraction = 0.25;
/** At least this fraction of a request's time counts as the server's; the wait at the own instance is an estimate. */
const minServerFraction = 0.25;

export class ExpectedWork {
	readonly speeds: ServerSpeeds;
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #estimates = new WorkEstimates();
	/** Requests of this instance by server id. */
	readonly #running = new Map<string, Running[]>();
	/** Reused by `#measureOverdue`, which is called for each server of a placement. */
	readonly #overdue = {count: 0, sum: 0};

	/** `onChange` is called with the name of a service whose servers have proved to be uneven, or no longer do. */
	constructor(clock: Pick<Clock, 'monotonic'>, onChange?: (service: string, isUneven: boolean) => void) {
		this.#clock = clock;
		this.speeds = new ServerSpeeds(clock, onChange);
	}

	/** Returns whether placement by expected work applies to the service. */
	isUneven(service: string): boolean {
		return this.speeds.isUneven(service);
	}

	/** Estimates the work of a request, in milliseconds at a server of mean speed; 0 while the service is unknown. */
	estimateMs(kind: WorkKind): number {
		return this.#estimates.estimateMs(kind);
	}

	/** Mean work of the requests of a service; 0 while it is unknown. */
	getMeanMs(service: string): number {
		return this.#estimates.getMeanMs(service);
	}

	/** Returns the factor by which the server takes longer now than the mean server. */
	getFactor(server: WorkServer): number {
		return this.speeds.getFactor(server.service, server, this.#measureOverdue(server));
	}

	/** Estimates the work that the server has still to do, in milliseconds at a server of mean speed. */
	estimateRemainingMs(server: WorkServer, remote: RemoteWork, {slots = server.slots, factor = this.getFactor(server)}: {slots?: number; factor?: number} = {}): number {
		const running = this.#running.get(server.id);
		const now = this.#clock.monotonic();
		let remainingMs = 0;
		if (running) {
			for (const {sentAt, waitMs, workMs} of running) {
				remainingMs += Math.max(workMs * minRemainingFraction, workMs - (Math.max(0, now - sentAt - waitMs) / factor));
			}
		}

		if (remote.requests <= 0) {
			return remainingMs;
		}

		const remoteMs = Math.max(0, remote.workMs) + (this.#estimates.getMeanMs(server.service) * Math.max(0, remote.unknownWork));
		const runningFraction = Math.min(1, slots / remote.requests);
		return remainingMs + (remoteMs * (1 - (runningFraction * (1 - meanRemainingFraction))));
	}

	/**
	 * Estimates the time in which the server would complete a request, in milliseconds. The work in flight counts by its part
	 * for each slot even while a slot is free, so that servers of the same speed are used evenly. `slots` are those that the
	 * server counts for.
	 */
	estimateCompletionMs(server: WorkServer, {remote, workMs, slots = server.slots}: {remote: RemoteWork; workMs: number; slots?: number}): number {
		const factor = this.getFactor(server);
		return ((this.estimateRemainingMs(server, remote, {slots, factor}) / Math.max(1, slots)) + workMs) * factor;
	}

	/** Begins a request that is sent to a server. `ownMs`: expected wait for the link and processor of this instance. */
	begin(server: WorkServer, kind: WorkKind, remote: RemoteWork, {ownMs = 0}: {ownMs?: number} = {}): RunningWork {
		const startedAt = this.#clock.monotonic();
		const requests = (this.#running.get(server.id)?.length ?? 0) + Math.max(0, remote.requests);
		const hasFreeSlot = requests < server.slots;
		const isMeasured = requests + 1 <= server.slots * (1 - minFreeFraction) || requests === 0;
		const workMs = this.#estimates.estimateMs(kind);
		const meanWaitMs = hasFreeSlot ? 0 : this.estimateRemainingMs(server, remote) / Math.max(1, server.slots);
		const waitMs = meanWaitMs * this.getFactor(server);
		const running = {sentAt: startedAt + ownMs, waitMs, workMs};
		this.speeds.recordSending(server.service, server);
		const list = this.#running.get(server.id);
		if (list) {
			list.push(running);
		} else {
			this.#running.set(server.id, [running]);
		}

		return {
			workMs,
			end: ({isSample}) => {
				this.#remove(server.id, running);
				if (isSample) {
					const totalMs = this.#clock.monotonic() - startedAt;
					const elapsedMs = Math.max(totalMs - ownMs, totalMs * minServerFraction);
					const isWaitKnown = isMeasured || (hasFreeSlot && this.isUneven(server.service));
					this.#record(server, kind, {
						elapsedMs, expectedMs: workMs + meanWaitMs, isWaitKnown, hasFreeSlot,
					});
				}
			},
		};
	}

	/** A wait for a slot is known too inaccurately to tell a phase or the work of a request. */
	#record(server: WorkServer, kind: WorkKind, {elapsedMs, expectedMs, isWaitKnown, hasFreeSlot}: {elapsedMs: number; expectedMs: number; isWaitKnown: boolean; hasFreeSlot: boolean}): void {
		if (!(elapsedMs > 0)) {
			return;
		}

		const {service} = server;
		const samples = this.#estimates.countSamples(service);
		if (samples >= minWorkSamples) {
			this.speeds.record(service, server, elapsedMs / expectedMs, {isWaitKnown});
		}

		if (hasFreeSlot || samples < minWorkSamples) {
			this.#estimates.record(kind, this.speeds.isUneven(service) ? elapsedMs / this.speeds.getFactor(service, server) : elapsedMs);
		}
	}

	#measureOverdue(server: WorkServer): Overdue {
		const overdue = this.#overdue;
		overdue.count = 0;
		overdue.sum = 0;
		const running = this.#running.get(server.id);
		if (!running) {
			return overdue;
		}

		const now = this.#clock.monotonic();
		const slowFactor = this.speeds.getSlowFactor(server.service, server);
		for (const {sentAt, waitMs, workMs} of running) {
			if (workMs > 0) {
				addOverdue(overdue, (now - sentAt - waitMs) / (workMs * slowFactor));
			}
		}

		return overdue;
	}

	#remove(id: string, running: Running): void {
		const list = this.#running.get(id);
		const index = list?.indexOf(running) ?? -1;
		if (index === -1) {
			return;
		}

		if (list!.length === 1) {
			this.#running.delete(id);
		} else {
			list!.splice(index, 1);
		}
	}
}
