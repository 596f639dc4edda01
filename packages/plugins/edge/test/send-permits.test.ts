import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {CallerRequest} from '../src/front/caller-request.js';
import {RateLimitedEventLog} from '../src/front/rate-limited-event-log.js';
import {RetryBudget, retryKinds} from '../src/limits/retry-budget.js';
import {SendPermits} from '../src/limits/send-permits.js';

// A request may be on its way to two servers at once while one of them is silent. Only one of its runs, and one accepted
// prefill, are free; with both taken for free, the retries of the service would exceed their budget unnoticed.
describe('permits of a request that is sent to two servers at once', () => {
	let budget: RetryBudget;
	let permits: SendPermits;

	beforeEach(() => {
		const clock = new ManualClock();
		budget = new RetryBudget({
			clock, ratio: 0, allowance: 10, windowMs: 10_000, isFirstStart: true, countInstances: () => 1, eventLog: new RateLimitedEventLog(clock, new EventLog({clock})), metrics: new MetricsRegistry(),
		});
		permits = new SendPermits(budget, {service: 's', metadata: {headers: []}} as unknown as CallerRequest);
	});

	const countRetries = () => {
		const {retries, reserved} = budget.describe('s');
		return retries + reserved;
	};

	it('count a second run while the first one is on its way', () => {
		const first = permits.acquire(retryKinds.run)!;
		first.start();
		const second = permits.acquire(retryKinds.run)!;
		expect(countRetries()).to.equal(1);
		second.start();
		second.finish({isWritten: true, isAccepted: true});
		first.finish({isWritten: true, isAccepted: true});
		expect(budget.describe('s')).to.include({retries: 1, reserved: 0});
	});

	it('count a second run while the first one is only permitted', () => {
		permits.acquire(retryKinds.run);
		permits.acquire(retryKinds.run);
		expect(countRetries()).to.equal(1);
	});

	it('leave the free run to the next one if no server has received the first one', () => {
		const unsent = permits.acquire(retryKinds.run)!;
		unsent.release();
		const unwritten = permits.acquire(retryKinds.run)!;
		unwritten.start();
		unwritten.finish({isWritten: false, isAccepted: true});
		permits.acquire(retryKinds.run)!.start();
		expect(countRetries()).to.equal(0);
	});

	it('return a permit once, however often it is released', () => {
		const first = permits.acquire(retryKinds.run)!;
		first.release();
		permits.acquire(retryKinds.run);
		first.release();
		permits.acquire(retryKinds.run);
		expect(countRetries()).to.equal(1);
	});

	it('count one of two prefills that were both accepted', () => {
		const both = [permits.acquire(retryKinds.prefill)!, permits.acquire(retryKinds.prefill)!];
		for (const permit of both) {
			permit.start();
		}

		for (const permit of both) {
			permit.finish({isWritten: true, isAccepted: true});
		}

		expect(budget.describe('s')).to.include({retries: 1, reserved: 0});
	});

	it('count a prefill that was rejected or given up', () => {
		const permit = permits.acquire(retryKinds.prefill)!;
		permit.start();
		permit.finish({isWritten: true, isAccepted: false});
		expect(budget.describe('s')).to.include({retries: 1, reserved: 0});
	});
});
