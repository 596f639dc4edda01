import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {FenceGuard} from '../src/fence.js';
import {computeSuccessorWaitMs, Lease} from '../src/lease.js';

describe('fence guard', () => {
	it('rejects orders until it has an epoch', () => {
		expect(new FenceGuard().checkToken({term: 1, epoch: 1, orderNumber: 1})).to.equal('no-epoch');
	});

	it('rejects older terms, other epochs and older orders', () => {
		const guard = new FenceGuard();
		guard.updateEpoch(4);
		expect(guard.checkToken({term: 2, epoch: 4, orderNumber: 7})).to.equal('admitted');
		expect(guard.checkToken({term: 2, epoch: 4, orderNumber: 7})).to.equal('repeated');
		expect(guard.checkToken({term: 1, epoch: 4, orderNumber: 9})).to.equal('stale');
		expect(guard.checkToken({term: 3, epoch: 3, orderNumber: 9})).to.equal('stale');
		expect(guard.checkToken({term: 2, epoch: 4, orderNumber: 6})).to.equal('stale');
		guard.updateEpoch(3);
		expect(guard.epoch).to.equal(4);
	});
});

describe('lease', () => {
	it('expires by the clock of its holder and is not shortened by an older confirmation', async () => {
		const clock = new ManualClock();
		const lease = new Lease(clock, 1000);
		expect(lease.isHeld).to.equal(false);
		lease.renew(200);
		lease.renew(900);
		expect(lease.computeRemainingMs()).to.equal(800);
		await clock.advance(801);
		expect(lease.isHeld).to.equal(false);
	});

	it('makes a successor wait longer than any order of its predecessor can stay valid', () => {
		expect(computeSuccessorWaitMs({leaseMs: 1000, orderTimeLimitMs: 500})).to.be.greaterThan(1500);
	});
});
