/**
 * One instance's use of rates that all instances share. Before a request to a limited server is sent, it needs a grant of the
 * instance that issues them for the server. A grant whose request no server has received serves the next one. While no
 * issuer can be reached, an equal part of the rate is used, so that instances that are cut off from each other do not each use
 * all of it.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {Subject} from './limit-news.js';
import {RateIssuer, type GrantRequest, type GrantReply} from './rate-issuer.js';

export type SharedRateOptions = {
	clock: Clock;
	random: Random;
	/** Requests grants from the instance that issues them for the server. Resolves with undefined if none could be reached. Never rejects. */
	requestGrants: (subject: Subject, request: GrantRequest) => Promise<GrantReply | undefined>;
	/** Number of instances among which a rate is divided while no issuer can be reached. */
	countInstances: () => number;
};

export type GrantOptions = {
	/** Limit of the server, in requests per second. */
	perSecond: number;
	/** How long the request may wait, in milliseconds. */
	maxWaitMs: number;
	signal: AbortSignal;
};

/** The right to send one request to a server. */
export type RateGrant = {
	/** Called when the request is written. */
	recordUse(): void;
	/** Returns the grant if it was not used; further calls have no effect. */
	release(): void;
};

/** Requests that were sent within this time tell how many grants are requested at once. */
const batchMs = 50;
/** Requests within this time tell the rate at which this instance sends. */
const rateWindowMs = 4000;
/** An unused grant expires after this time: others may need it more. */
const grantTtlMs = 250;
/** After a request to the issuer has failed, no other one is sent to it for this time. */
const failureBackoffMs = 500;
/** Each denial in a row makes an instance wait longer by this part before its next request, so that many do not come at once. */
const backoffPerDenial = 0.25;
const maxBackoffDenials = 8;

type Account = {
	startedAt: number;
	/** Monotonic times at which unused grants expire. */
	grants: number[];
	/** Monotonic times of the requests sent of late. */
	sentAt: number[];
	/** Monotonic time before which no request may be sent without a wait, as far as known. */
	closedUntil: number;
	/** Denials since the last grant. */
	denials: number;
	/** Ends with the reply of the issuer that is awaited; requests that come meanwhile wait for it too. */
	pending?: Promise<void>;
	waiting: number;
	isolatedUntil: number;
	usedAt: number;
};

/** An account that nobody has used for this time is dropped. */
const retentionMs = 60_000;

export class SharedRate {
	readonly #opts: SharedRateOptions;
	/** By server id. */
	readonly #accounts = new Map<string, Account>();
	readonly #isolated: RateIssuer;

	constructor(opts: SharedRateOptions) {
		this.#opts = opts;
		this.#isolated = new RateIssuer(opts.clock);
	}

	/** Returns the time until the server may get a request, in milliseconds, as far as this instance knows; 0 if it may get one now. */
	estimateWaitMs({id, startedAt}: Subject): number {
		const account = this.#accounts.get(id);
		const now = this.#opts.clock.monotonic();
		return account?.startedAt === startedAt && !hasGrant(account, now) ? Math.max(0, account.closedUntil - now) : 0;
	}

	/** Number of requests that this instance has sent to the server of late, per second. */
	measureRate({id, startedAt}: Subject): number {
		const account = this.#accounts.get(id);
		return account?.startedAt === startedAt ? countSince(account.sentAt, this.#opts.clock.monotonic() - rateWindowMs) * 1000 / rateWindowMs : 0;
	}

	/** Waits for a grant, at most for `maxWaitMs` beyond the reply of the issuer. Undefined if there is none in that time. */
	async acquire(subject: Subject, {perSecond, maxWaitMs, signal}: GrantOptions): Promise<RateGrant | undefined> {
		const {clock} = this.#opts;
		const account = this.#openAccount(subject);
		for (;;) {
			const now = clock.monotonic();
			account.usedAt = now;
			if (takeGrant(account, now)) {
				return this.#createGrant(account);
			}

			if (account.closedUntil - now > maxWaitMs || signal.aborted) {
				return undefined;
			}

			if (account.pending) {
				account.waiting++;
				await account.pending;
				account.waiting--;
				continue;
			}

			let delayMs = 0;
			const pendingReply = this.#requestFromIssuer(subject, account, {perSecond, maxDelayMs: maxWaitMs}).then(reply => {
				delayMs = reply.delayMs;
				return reply.granted > 0;
			}).finally(() => {
				account.pending = undefined;
			});
			// A failure is that of the request that has caused it; the others try again.
			account.pending = pendingReply.catch(() => undefined).then(() => undefined);
			if (await pendingReply) {
				if (delayMs > 0) {
					await clock.sleep(delayMs, signal);
				}

				return this.#createGrant(account);
			}
		}
	}

	async #requestFromIssuer(subject: Subject, account: Account, {perSecond, maxDelayMs}: Pick<GrantRequest, 'perSecond' | 'maxDelayMs'>): Promise<GrantReply> {
		const {clock, random} = this.#opts;
		const startedAt = clock.monotonic();
		const count = 1 + account.waiting + countSince(account.sentAt, startedAt - batchMs);
		const request = {perSecond, maxDelayMs, count};
		const reply = await this.#requestGrants(subject, account, request);
		const now = clock.monotonic();
		if (reply.granted > 0) {
			account.denials = 0;
			account.grants.push(...Array.from({length: Math.min(reply.granted, count) - 1}, () => now + grantTtlMs));
			account.closedUntil = now;
			return reply;
		}

		account.denials = Math.min(maxBackoffDenials, account.denials + 1);
		const backoff = 1 + ((account.denials - 1) * backoffPerDenial * random.next());
		account.closedUntil = now + Math.max(1, reply.delayMs * backoff);
		return reply;
	}

	/** Requests grants from the issuer, or takes this instance's own part of the rate while there is none. */
	async #requestGrants(subject: Subject, account: Account, request: GrantRequest): Promise<GrantReply> {
		const {clock, countInstances} = this.#opts;
		if (clock.monotonic() >= account.isolatedUntil) {
			const reply = await this.#opts.requestGrants(subject, request);
			if (reply) {
				return reply;
			}

			account.isolatedUntil = clock.monotonic() + failureBackoffMs;
		}

		return this.#isolated.acquire(subject, request, {fraction: 1 / Math.max(1, countInstances())});
	}

	#createGrant(account: Account): RateGrant {
		const {clock} = this.#opts;
		let isOpen = true;
		return {
			recordUse() {
				isOpen = false;
				const now = clock.monotonic();
				account.sentAt = account.sentAt.filter(time => time >= now - rateWindowMs);
				account.sentAt.push(now);
			},
			release() {
				if (isOpen) {
					isOpen = false;
					account.grants.push(clock.monotonic() + grantTtlMs);
				}
			},
		};
	}

	#openAccount({id, startedAt}: Subject): Account {
		const known = this.#accounts.get(id);
		if (known?.startedAt === startedAt) {
			return known;
		}

		const now = this.#opts.clock.monotonic();
		for (const [other, {usedAt}] of this.#accounts) {
			if (now - usedAt > retentionMs) {
				this.#accounts.delete(other);
			}
		}

		const account: Account = {
			startedAt, grants: [], sentAt: [], closedUntil: 0, denials: 0, waiting: 0, isolatedUntil: 0, usedAt: now,
		};
		this.#accounts.set(id, account);
		return account;
	}
}

function hasGrant({grants}: Account, now: number): boolean {
	return grants.some(expiresAt => expiresAt > now);
}

function takeGrant(account: Account, now: number): boolean {
	account.grants = account.grants.filter(expiresAt => expiresAt > now);
	return account.grants.shift() !== undefined;
}

function countSince(times: readonly number[], from: number): number {
	return times.filter(time => time >= from).length;
}
