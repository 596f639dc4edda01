import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {ExpectedWork} from '../src/expected-work.js';
import {WorkEstimates} from '../src/work-estimates.js';

const kind = {service: 'p', route: 'r'};
const noRemote = {requests: 0, workMs: 0, unknownWork: 0};
const createServer = (id: string) => ({
	id, startedAt: 0, service: 'p', slots: 4,
});

describe('work estimates', () => {
	// One sample of a new subject said little and was taken for its work.
	it('shrink towards the coarser estimate while samples are few', () => {
		const estimates = new WorkEstimates();
		for (let count = 0; count < 100; count++) {
			estimates.record({...kind, subject: 'small'}, 10);
		}

		estimates.record({...kind, subject: 'large'}, 100);
		expect(estimates.estimateMs({...kind, subject: 'large'})).to.be.within(20, 50);
		for (let count = 0; count < 50; count++) {
			estimates.record({...kind, subject: 'large'}, 100);
		}

		expect(estimates.estimateMs({...kind, subject: 'large'})).to.be.above(85);
		expect(estimates.estimateMs({...kind, subject: 'small'})).to.be.below(15);
	});

	it('keep a bounded number of subjects', () => {
		const estimates = new WorkEstimates();
		for (let count = 0; count < 5000; count++) {
			estimates.record({...kind, subject: `s${count}`}, count === 0 ? 1000 : 10);
		}

		expect(estimates.estimateMs({...kind, subject: 's0'})).to.equal(estimates.estimateMs({...kind, subject: 'unknown'}));
	});
});

describe('expected work', () => {
	/** Sends requests one after another to two servers, of which the second one takes longer. */
	const learn = async (factor: number) => {
		const clock = new ManualClock();
		const work = new ExpectedWork(clock);
		const servers = [createServer('fast'), createServer('slow')] as const;
		for (let count = 0; count < 300; count++) {
			for (const [index, server] of servers.entries()) {
				const running = work.begin(server, kind, noRemote);
				await clock.advance(index === 0 ? 20 : 20 * factor);
				running.end({isSample: true});
			}
		}

		return {clock, work, servers};
	};

	// A server that was slow once and got no requests would never have been measured again.
	it('proves uneven hardware, and forgets it at a server that gets no requests', async () => {
		const {clock, work, servers: [fast, slow]} = await learn(2);
		expect(work.isUneven('p')).to.equal(true);
		expect(work.getFactor(slow) / work.getFactor(fast)).to.be.within(1.7, 2.3);
		expect(work.estimateCompletionMs(slow, {remote: noRemote, workMs: 20})).to.be.above(work.estimateCompletionMs(fast, {remote: noRemote, workMs: 20}));
		await clock.advance(6000);
		expect(work.getFactor(slow)).to.be.within(0.95, 1.05);
		await clock.advance(60_000);
		expect(work.isUneven('p')).to.equal(false);
		expect((await learn(1.1)).work.isUneven('p')).to.equal(false);
	});

	it('takes requests that are overdue as evidence of a slow phase', async () => {
		const {clock, work, servers: [fast]} = await learn(2);
		const before = work.getFactor(fast);
		const running = work.begin(fast, kind, noRemote);
		await clock.advance(100);
		expect(work.getFactor(fast)).to.be.above(before * 1.5);
		running.end({isSample: false});
		expect(work.getFactor(fast)).to.be.below(before * 1.2);
	});

	// One request that hung in one of its slots kept all others away from a server for as long.
	it('bounds what one request that hangs says about its server', async () => {
		const {clock, work, servers: [fast]} = await learn(2);
		const before = work.getFactor(fast);
		work.begin(fast, kind, noRemote);
		await clock.advance(4000);
		expect(work.getFactor(fast) / before).to.be.within(1.5, 5);
	});

	it('learns nothing of an earlier start of a server', async () => {
		const {work, servers: [, slow]} = await learn(2);
		expect(work.getFactor({...slow, startedAt: 1})).to.equal(1);
	});

	// A weak instance told the others of several times the work, and its thin link made servers look slow.
	it('counts the wait at the own instance neither as work nor as slowness', async () => {
		const runAfterWait = async (ownMs: number) => {
			const {clock, work, servers: [fast]} = await learn(2);
			const factors: number[] = [];
			for (let count = 0; count < 100; count++) {
				await clock.advance(80 - ownMs);
				const running = work.begin(fast, kind, noRemote, {ownMs});
				await clock.advance(20 + ownMs);
				factors.push(work.getFactor(fast));
				running.end({isSample: true});
			}

			return {factors, workMs: work.estimateMs(kind)};
		};

		const weak = await runAfterWait(60);
		const strong = await runAfterWait(0);
		expect(weak.workMs).to.be.closeTo(strong.workMs, 0.001);
		expect(Math.max(...weak.factors.map((factor, index) => Math.abs(factor - strong.factors[index]!)))).to.be.below(0.001);
	});
});
