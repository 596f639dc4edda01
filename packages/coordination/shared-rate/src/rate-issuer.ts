/**
 * Grants the requests that a limited server takes to the instances that request them. One instance does so for a server at a
 * time, so that the whole rate can be used wherever requests arrive, and no more than that.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Subject} from './limit-news.js';
import {SendSchedule} from './send-schedule.js';

export type GrantRequest = {
	/** Limit of the server, in requests per second. */
	perSecond: number;
	/** How long the first of the requests may wait, in milliseconds. Further ones are granted only if they need not wait. */
	maxDelayMs: number;
	/** Number of requests, at least 1. */
	count: number;
};

export type GrantReply = {
	granted: number;
	/** Time until the first granted request may be sent, in milliseconds; if none was granted, until one could be. */
	delayMs: number;
};

/** A schedule that nobody has used for this time is dropped; the next one for the server starts without credit. */
const retentionMs = 60_000;

/** Each request is granted by itself, so that a call for more is answered in part. */
const maxGrants = 10_000;

/** A request that can't be read is denied for this time. */
const invalidDelayMs = 1000;

export class RateIssuer {
	readonly #clock: Clock;
	/** By server id. */
	readonly #schedules = new Map<string, {startedAt: number; schedule: SendSchedule; usedAt: number}>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Grants requests within the given part of the limit. A request that can't be read gets none. */
	acquire({id, startedAt}: Subject, {perSecond, maxDelayMs, count}: GrantRequest, opts: {fraction?: number} = {}): GrantReply {
		if (!(perSecond > 0) || !Number.isFinite(perSecond) || !(maxDelayMs >= 0) || !(count >= 1)) {
			return {granted: 0, delayMs: invalidDelayMs};
		}

		const rate = perSecond * (opts.fraction ?? 1);
		const now = this.#clock.monotonic();
		let entry = this.#schedules.get(id);
		if (entry?.startedAt !== startedAt) {
			this.#removeUnused(now);
			entry = {startedAt, schedule: new SendSchedule(this.#clock, rate), usedAt: now};
			this.#schedules.set(id, entry);
		}

		entry.usedAt = now;
		entry.schedule.setRate(rate);
		const {isGranted, delayMs} = entry.schedule.acquire(maxDelayMs);
		if (!isGranted) {
			return {granted: 0, delayMs};
		}

		let granted = 1;
		const maxGranted = delayMs === 0 ? Math.min(count, maxGrants) : 1;
		while (granted < maxGranted && entry.schedule.acquire(0).isGranted) {
			granted++;
		}

		return {granted, delayMs};
	}

	#removeUnused(now: number): void {
		for (const [id, {usedAt}] of this.#schedules) {
			if (now - usedAt > retentionMs) {
				this.#schedules.delete(id);
			}
		}
	}
}
