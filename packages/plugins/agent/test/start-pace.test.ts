import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {StartPace} from '../src/start-pace.js';

describe('StartPace', () => {
	const countStarts = async (clock: ManualClock, pace: StartPace, seconds: number) => {
		let count = 0;
		for (let step = 0; step < seconds * 40; step++) {
			await clock.advance(25);
			while (count < 10_000 && pace.acquire()) {
				count++;
			}
		}

		return count;
	};

	// An engine that names a rate got as many requests as it has slots, whatever the rate.
	it('starts requests at the rate that the engine names, and any number without one', async () => {
		const clock = new ManualClock();
		const pace = new StartPace(clock);
		expect(pace.acquire()).to.equal(true);
		pace.setRate(5);
		expect(await countStarts(clock, pace, 10)).to.be.within(47, 53);
		pace.setRate(20);
		expect(await countStarts(clock, pace, 10)).to.be.within(195, 213);
		pace.setRate(0);
		await clock.advance(4000);
		expect(await countStarts(clock, pace, 20)).to.be.within(4, 6);
		pace.setRate(undefined);
		expect(await countStarts(clock, pace, 1)).to.equal(10_000);
	});

	it('estimates the wait behind queued requests', async () => {
		const clock = new ManualClock();
		const pace = new StartPace(clock);
		expect(pace.estimateWaitMs(100)).to.equal(0);
		pace.setRate(10);
		expect(pace.estimateWaitMs(3)).to.equal(400);
		await clock.advance(1000);
		expect(pace.estimateWaitMs(0)).to.equal(0);
	});
});
