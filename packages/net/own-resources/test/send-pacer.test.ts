import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {LinkMeter} from '../src/link-meter.js';
import {SendPacer} from '../src/send-pacer.js';

const promptBytes = 9700;
const shortBytes = 600;
const {signal} = new AbortController();

describe('send pacer', () => {
	let clock: ManualClock;
	let link: LinkMeter;
	let pacer: SendPacer;

	beforeEach(() => {
		clock = new ManualClock();
		link = new LinkMeter({clock, linkMbps: 7.5});
		pacer = new SendPacer({clock, link});
	});

	const send = async (bytes: number) => {
		await pacer.wait(bytes, signal);
		link.record(bytes);
		return clock.monotonic() + link.estimateWaitMs();
	};

	// Guards against short requests behind a burst of prompts: all of it was written at once, and the link took 200 ms for it.
	it('lets a short request leave soon behind a burst of twenty prompts, which take no longer in total', async () => {
		const prompts = Promise.all(Array.from({length: 20}, async () => send(promptBytes)));
		await clock.advance(20);
		const shortLeftAt = await send(shortBytes);
		expect(shortLeftAt).to.be.at.most(20 + 25);
		await clock.advance(400);
		const leftAt = Math.max(...await prompts);
		expect(leftAt).to.be.at.most(1.15 * link.estimateSendMs((20 * promptBytes) + shortBytes));
	});

	it('holds up nothing while the link is idle', () => {
		expect(pacer.wait(promptBytes, signal)).to.equal(undefined);
		expect(pacer.wait(shortBytes, signal)).to.equal(undefined);
		expect(pacer.estimateWaitMs(shortBytes)).to.equal(0);
	});

	it('forgets a request whose caller has gone', async () => {
		const caller = new AbortController();
		expect(pacer.wait(promptBytes, signal)).to.equal(undefined);
		const gone = pacer.wait(promptBytes, caller.signal);
		const last = pacer.wait(promptBytes, signal);
		caller.abort();
		await gone;
		expect(pacer.length).to.equal(1);
		await clock.advance(15);
		await last;
		expect(pacer.length).to.equal(0);
	});
});
