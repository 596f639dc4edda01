import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {AdaptiveLimit} from '../src/adaptive-limit.js';
import {RetryBudget} from '../src/retry-budget.js';
import {computeShares} from '../src/share-divider.js';
import {TokenBucket} from '../src/token-bucket.js';

describe('token bucket', () => {
	it('allows the burst, then the rate, and returns the time to wait', async () => {
		const clock = new ManualClock();
		const bucket = new TokenBucket(clock, 10, 2);
		expect([bucket.acquire(), bucket.acquire(), bucket.acquire()]).to.deep.equal([0, 0, 100]);
		await clock.advance(100);
		expect(bucket.acquire()).to.equal(0);
	});
});

describe('share divider', () => {
	it('divides in proportion to demand, gives every holder a share and divides the whole limit', () => {
		const shares = computeShares([{holder: 'a', demand: 90}, {holder: 'b', demand: 10}, {holder: 'c', demand: 0}]);
		expect(shares.get('a')).to.be.greaterThan(0.7);
		expect(shares.get('c')).to.be.greaterThan(0);
		expect([...shares.values()].reduce((sum, share) => sum + share, 0)).to.be.closeTo(1, 1e-9);
	});
});

describe('retry budget', () => {
	it('limits retries during an outage', () => {
		const budget = new RetryBudget(new ManualClock(), {ratio: 0.1, maximum: 10, minimumRetriesPerSecond: 0});
		let granted = 0;
		for (let request = 0; request < 1000; request++) {
			granted += budget.acquire() ? 1 : 0;
		}

		expect(granted).to.equal(1);
		for (let success = 0; success < 50; success++) {
			budget.recordSuccess();
		}

		expect(budget.acquire()).to.equal(true);
	});
});

describe('adaptive limit', () => {
	it('falls while requests are late and recovers when they are not', async () => {
		const clock = new ManualClock();
		const limit = new AdaptiveLimit({
			clock, minimum: 2, maximum: 16, windowMs: 100,
		});
		const observeFor = async (rounds: number, latencyMs: number) => {
			for (let round = 0; round < rounds; round++) {
				await clock.advance(20);
				limit.observe(latencyMs, {targetMs: 100, concurrency: limit.value});
			}
		};

		await observeFor(400, 200);
		expect(limit.value).to.equal(2);
		await observeFor(400, 50);
		expect(limit.value).to.equal(16);
	});
});
