import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {SendSchedule} from '../src/send-schedule.js';

describe('SendSchedule', () => {
	it('starts without credit, and has that of half a second at most', async () => {
		const clock = new ManualClock();
		const schedule = new SendSchedule(clock, 10);
		expect(schedule.acquire(0)).to.deep.equal({isGranted: false, delayMs: 100});
		await clock.advance(60_000);
		let count = 0;
		while (schedule.acquire(0).isGranted) {
			count++;
		}

		expect(count).to.equal(6);
	});

	it('lets the first request of a small rate wait for half a second', async () => {
		const clock = new ManualClock();
		const schedule = new SendSchedule(clock, 0.25);
		expect(schedule.acquire(0)).to.deep.equal({isGranted: false, delayMs: 500});
		await clock.advance(500);
		expect(schedule.acquire(0).isGranted).to.equal(true);
		expect(schedule.acquire(0)).to.deep.equal({isGranted: false, delayMs: 4000});
	});

	it('reserves later times for requests that may wait, one after another', async () => {
		const clock = new ManualClock();
		const schedule = new SendSchedule(clock, 10);
		expect([schedule.acquire(300), schedule.acquire(300), schedule.acquire(300), schedule.acquire(300)].map(({isGranted, delayMs}) => isGranted && delayMs)).to.deep.equal([100, 200, 300, false]);
	});

	it('keeps the number of reserved requests when the rate changes', () => {
		const clock = new ManualClock();
		const schedule = new SendSchedule(clock, 10);
		schedule.acquire(1000);
		schedule.acquire(1000);
		schedule.setRate(1);
		expect(schedule.acquire(0).delayMs).to.equal(3000);
		schedule.setRate(100);
		expect(schedule.acquire(0).delayMs).to.equal(30);
	});
});
