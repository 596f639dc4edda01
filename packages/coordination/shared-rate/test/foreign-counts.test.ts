/** Counts that the door of peer messages lets through: any whole number up to the largest one. */
import {performance} from 'node:perf_hooks';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import {RateIssuer} from '../src/rate-issuer.js';
import {SharedRate} from '../src/shared-rate.js';

const subject = {id: 'a', startedAt: 1000};

describe('counts of another instance', () => {
	it('do not keep the issuer busy', async () => {
		const clock = new ManualClock();
		const issuer = new RateIssuer(clock);
		issuer.acquire(subject, {perSecond: 1e12, maxDelayMs: 0, count: 1});
		await clock.advance(2000);
		const startedAt = performance.now();
		issuer.acquire(subject, {perSecond: 1e12, maxDelayMs: 0, count: 20_000_000});
		expect(performance.now() - startedAt).to.be.below(100);
	});

	it('do not throw at the instance that gets the grants', async () => {
		const rate = new SharedRate({
			clock: new ManualClock(), random: new Random(1), requestGrants: async () => ({granted: (2 ** 32) + 1, delayMs: 0}), countInstances: () => 2,
		});
		const grant = await rate.acquire(subject, {perSecond: 10, maxWaitMs: 100, signal: new AbortController().signal});
		expect(grant).to.not.equal(undefined);
	});
});
