import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import {RateIssuer, type GrantRequest, type GrantReply} from '../src/rate-issuer.js';
import {SharedRate} from '../src/shared-rate.js';

const server = {id: 's1', startedAt: 1000};
const windowMs = 4000;
const hopMs = 2;

/** Instances that send to one limited server on a manual clock; requests that get no grant go elsewhere. */
class Fleet {
	readonly clock = new ManualClock();
	readonly sentAt: number[] = [];
	readonly instances: SharedRate[];
	requests = 0;
	/** The issuer that an instance reaches; by default the same for all. */
	findIssuer: (index: number) => RateIssuer | undefined;
	readonly #random: Random;

	constructor(count: number, seed: number) {
		this.#random = new Random(seed);
		const issuer = new RateIssuer(this.clock);
		this.findIssuer = () => issuer;
		this.instances = Array.from({length: count}, (_, index) => new SharedRate({
			clock: this.clock, random: new Random(seed + index), countInstances: () => count, requestGrants: async (subject, request): Promise<GrantReply | undefined> => {
				this.requests++;
				await this.clock.sleep(hopMs);
				const reply = this.findIssuer(index)?.acquire(subject, request);
				await this.clock.sleep(hopMs);
				return reply;
			},
		}));
	}

	send(index: number, opts: {perSecond: number; maxWaitMs?: number}): void {
		const {maxWaitMs = 0, perSecond} = opts;
		void this.instances[index]!.acquire(server, {perSecond, maxWaitMs, signal: new AbortController().signal}).then(grant => {
			if (grant) {
				grant.recordUse();
				this.sentAt.push(this.clock.monotonic());
			}
		});
	}

	/** Sends requests at random times; `select` names the instance that each one comes to. */
	async run({seconds, demand, perSecond, maxWaitMs, select}: {seconds: number; demand: number; perSecond: number; maxWaitMs?: number; select: (random: Random, atMs: number) => number}): Promise<void> {
		const end = this.clock.monotonic() + (seconds * 1000);
		while (this.clock.monotonic() < end) {
			this.send(select(this.#random, this.clock.monotonic()), {perSecond, maxWaitMs});
			await this.clock.advance(this.#random.nextExponential(1000 / demand));
		}
	}

	/** The most requests in any window, as a part of what the rule allows. */
	computeWorst(perSecond: number): number {
		const most = Math.max(0, ...this.sentAt.map((start, index) => this.sentAt.slice(index).filter(time => time <= start + windowMs).length));
		return most / ((1.5 * perSecond * windowMs / 1000) + 5);
	}
}

const first = () => 0;
const selectUneven = (count: number) => (random: Random) => random.next() < 0.95 ? 0 : random.nextInteger(count);
const selectEven = (count: number) => (random: Random) => random.nextInteger(count);
/** All requests come to one instance, and to another one in each second. */
const selectInTurn = (count: number) => (_random: Random, atMs: number) => Math.floor(atMs / 1000) % count;

describe('SharedRate', () => {
	// With an equal share for each instance, most of the rate of an uneven fleet was not used.
	for (const [name, count, select] of [
		['one instance', 1, first],
		['eight with the same demand', 8, selectEven(8)],
		['twelve with most of the demand at one', 12, selectUneven(12)],
		['twelve with the demand at another one each second', 12, selectInTurn(12)],
		['300 with the same demand', 300, selectEven(300)],
	] as const) {
		for (const perSecond of [18.8, 1.7, 0.25]) {
			it(`keeps and uses a limit of ${perSecond} a second: ${name}`, async () => {
				const fleet = new Fleet(count, 17);
				const seconds = 40;
				await fleet.run({
					seconds, demand: 160, perSecond, select,
				});
				expect(fleet.computeWorst(perSecond)).to.be.below(0.85);
				expect(fleet.sentAt.length / (perSecond * seconds)).to.be.above(0.85);
			}).timeout(60_000);
		}
	}

	it('serves what comes below the limit, wherever, when requests may wait', async () => {
		const fleet = new Fleet(8, 5);
		await fleet.run({
			seconds: 20, demand: 15, perSecond: 18.8, maxWaitMs: 400, select: selectInTurn(8),
		});
		await fleet.clock.advance(1000);
		expect(fleet.sentAt.length).to.be.above(20 * 15 * 0.9);
		expect(fleet.computeWorst(18.8)).to.be.below(0.85);
	});

	// A burst, a rounding up or a first token of each would be as many requests as there are instances.
	it('sends few requests at once when many instances hear of a small limit', async () => {
		const fleet = new Fleet(300, 3);
		for (let index = 0; index < 300; index++) {
			fleet.send(index, {perSecond: 1.7});
		}

		await fleet.clock.advance(windowMs);
		expect(fleet.sentAt.length).to.be.below(0.85 * ((1.5 * 1.7 * 4) + 5));
	});

	it('uses an equal part while no issuer can be reached', async () => {
		const fleet = new Fleet(8, 11);
		fleet.findIssuer = () => undefined;
		await fleet.run({
			seconds: 40, demand: 160, perSecond: 18.8, select: selectEven(8),
		});
		expect(fleet.computeWorst(18.8)).to.be.below(0.85);
		expect(fleet.sentAt.length / (18.8 * 40)).to.be.within(0.8, 1.1);
	});

	it('keeps the limit when the issuer changes', async () => {
		const fleet = new Fleet(8, 23);
		let issuer = new RateIssuer(fleet.clock);
		fleet.findIssuer = () => issuer;
		for (let round = 0; round < 10; round++) {
			await fleet.run({
				seconds: 2, demand: 160, perSecond: 18.8, select: selectEven(8),
			});
			issuer = new RateIssuer(fleet.clock);
		}

		expect(fleet.computeWorst(18.8)).to.be.below(0.85);
		expect(fleet.sentAt.length / (18.8 * 20)).to.be.above(0.85);
	});

	it('gives the grant of a request that was not sent to the next one', async () => {
		const fleet = new Fleet(1, 1);
		const [instance] = fleet.instances;
		const opts = {perSecond: 2, maxWaitMs: 2000, signal: new AbortController().signal};
		const pending = instance!.acquire(server, opts);
		await fleet.clock.advance(1000);
		const grant = await pending;
		const requested = fleet.requests;
		grant!.release();
		const next = await instance!.acquire(server, opts);
		next!.recordUse();
		next!.release();
		expect(fleet.requests).to.equal(requested);
		// A used grant is gone: the next one has to be requested.
		void instance!.acquire(server, opts);
		expect(fleet.requests).to.equal(requested + 1);
	});

	it('requests grants again after a failure', async () => {
		const clock = new ManualClock();
		let requests = 0;
		const rate = new SharedRate({
			clock, random: new Random(1), countInstances: () => 1, async requestGrants() {
				requests++;
				if (requests === 1) {
					throw new Error('failed');
				}

				return {granted: 1, delayMs: 0};
			},
		});
		const opts = {perSecond: 2, maxWaitMs: 0, signal: new AbortController().signal};
		const [first, second] = await Promise.allSettled([rate.acquire(server, opts), rate.acquire(server, opts)]);
		expect(first.status).to.equal('rejected');
		expect(second.status === 'fulfilled' && second.value).to.be.an('object');
	});

	it('grants nothing to a request that can\'t be read', () => {
		const issuer = new RateIssuer(new ManualClock());
		for (const request of [{perSecond: 0, maxDelayMs: 0, count: 1}, {perSecond: 5, maxDelayMs: Number.NaN, count: 1}, {perSecond: 5, maxDelayMs: 0, count: 0}, {maxDelayMs: 0, count: 1}, {perSecond: Number.POSITIVE_INFINITY, maxDelayMs: 0, count: 1}]) {
			expect(issuer.acquire(server, request as GrantRequest).granted).to.equal(0);
		}
	});

	it('sends few requests to the issuer when the rate is used up', async () => {
		const fleet = new Fleet(1, 9);
		await fleet.run({
			seconds: 10, demand: 500, perSecond: 10, select: first,
		});
		expect(fleet.requests).to.be.below(10 * 10 * 4);
	});

	it('tells how long a server takes no request', async () => {
		const fleet = new Fleet(1, 2);
		expect(fleet.instances[0]!.estimateWaitMs(server)).to.equal(0);
		fleet.send(0, {perSecond: 0.5});
		await fleet.clock.advance(10);
		expect(fleet.instances[0]!.estimateWaitMs(server)).to.be.within(400, 500);
		expect(fleet.instances[0]!.estimateWaitMs({...server, startedAt: 2000})).to.equal(0);
	});
});
