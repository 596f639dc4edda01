import {expect} from 'chai';
import type {Clock} from '@hickorytrack/clock';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {LinkMeter} from '../src/link-meter.js';
import {OwnResources} from '../src/own-resources.js';
import {ProcessorMeter} from '../src/processor-meter.js';

describe('own resources', () => {
	it('lets bytes wait for those before them, until the link has transmitted these', async () => {
		const clock = new ManualClock();
		const link = new LinkMeter({clock, linkMbps: 8});
		link.record(10_000);
		expect(link.estimateWaitMs()).to.equal(10);
		expect(link.estimateSendMs(9000)).to.equal(9);
		await clock.advance(4);
		link.record(4000);
		expect(link.estimateWaitMs()).to.equal(10);
		await clock.advance(60_000);
		// An idle link saves up no credit: the next bytes take their full time.
		link.record(1000);
		expect(link.estimateWaitMs()).to.equal(1);
	});

	// A hand-over writes the prompt a second time, when the present queue has left; a link with steady load delays it again.
	it('expects a mean wait for bytes that are written later', async () => {
		const clock = new ManualClock();
		const link = new LinkMeter({clock, linkMbps: 8});
		for (let time = 0; time < 5000; time += 20) {
			link.record(18_000);
			await clock.advance(20);
		}

		expect(link.estimateMeanWaitMs()).to.be.within(7, 9);
		await clock.advance(5000);
		expect(link.estimateMeanWaitMs()).to.be.lessThan(0.01);
	});

	it('measures by how much the event loop is late, and the part of a core that is used', () => {
		let now = 0;
		let expire = (): void => undefined;
		const clock: Clock = {
			now: () => now, monotonic: () => now, sleep: async () => undefined, startTimer(_ms, onExpired) {
				expire = onExpired;
				return () => undefined;
			},
		};
		const processor = new ProcessorMeter({clock, processorShare: 0.2, readUsedMs: () => now * 0.15});
		processor.run(new AbortController().signal);
		for (let sample = 0; sample < 50; sample++) {
			now += 121;
			expire();
		}

		expect(processor.delayMs).to.be.closeTo(20, 0.1);
		expect(processor.used).to.be.closeTo(0.15, 0.001);
		expect(processor.use).to.be.closeTo(0.75, 0.01);
	});

	it('counts the bytes of a hand-over twice, and is weak by its limits alone', () => {
		const clock = new ManualClock();
		const resources = new OwnResources({clock, linkMbps: 8, readUsedMs: () => 0});
		resources.recordSent(20_000);
		expect(resources.estimate(9000)).to.deep.equal({waitMs: 20, directMs: 29, handOverMs: 38});
		const isWeak = (limits: {linkMbps?: number; processorShare?: number}) => new OwnResources({clock, ...limits}).isWeak;
		expect([isWeak({}), isWeak({linkMbps: 50, processorShare: 0.5}), isWeak({linkMbps: 49}), isWeak({processorShare: 0.49})]).to.deep.equal([false, false, true, true]);
	});

	// An instance of half a core on a fast link heard of load every 60 ms instead of 20, though a share costs it little.
	it('lengthens the interval of load shares no further than its limits call for', () => {
		const findInterval = (limits: {linkMbps?: number; processorShare?: number}) => new OwnResources({clock: new ManualClock(), ...limits}).shareIntervalMs;
		expect(findInterval({linkMbps: 1000, processorShare: 0.71})).to.equal(undefined);
		expect(findInterval({linkMbps: 1000, processorShare: 0.49})).to.be.at.most(25);
		expect(findInterval({linkMbps: 7.5, processorShare: 0.184})).to.be.within(60, 70);
		expect(findInterval({linkMbps: 1, processorShare: 0.1})).to.equal(100);
	});
});
