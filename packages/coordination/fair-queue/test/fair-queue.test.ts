import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {FairQueue, type QueuedWork} from '../src/fair-queue.js';

const createWork = (workspace: string, opts: Partial<QueuedWork<string>> = {}): QueuedWork<string> => ({
	workspace, priority: 1, share: 1, costMs: 10, queueMs: 1000, item: workspace, ...opts,
});

describe('fair queue', () => {
	let clock: ManualClock;
	let queue: FairQueue<string>;

	beforeEach(() => {
		clock = new ManualClock();
		queue = new FairQueue({clock, maximumLength: 100});
	});

	const popAll = (count: number): string[] => Array.from({length: count}, () => queue.pop()!.item);

	it('divides engine time by share, however much work one workspace queues', () => {
		for (let index = 0; index < 60; index++) {
			queue.push(createWork('flood'));
		}

		for (let index = 0; index < 10; index++) {
			queue.push(createWork('small', {share: 1}));
		}

		const first = popAll(20);
		expect(first.filter(workspace => workspace === 'small')).to.have.length(10);
	});

	it('counts engine time, not requests', () => {
		for (let index = 0; index < 20; index++) {
			queue.push(createWork('long', {costMs: 40}));
			queue.push(createWork('short', {costMs: 10}));
		}

		const first = popAll(20);
		expect(first.filter(workspace => workspace === 'short').length).to.be.within(15, 17);
	});

	it('gives an unused share to other workspaces without accumulating credit for idle time', () => {
		for (let index = 0; index < 10; index++) {
			queue.push(createWork('busy'));
		}

		popAll(10);
		for (let index = 0; index < 10; index++) {
			queue.push(createWork('busy'));
			queue.push(createWork('late'));
		}

		const first = popAll(10);
		expect(first.filter(workspace => workspace === 'late').length).to.be.within(4, 6);
	});

	it('estimates the cost ahead of a workspace without the work that is served after it', () => {
		for (let index = 0; index < 50; index++) {
			queue.push(createWork('flood'));
		}

		expect(queue.estimateCostAhead({workspace: 'flood', priority: 1, share: 1})).to.equal(500);
		expect(queue.estimateCostAhead({workspace: 'small', priority: 1, share: 1})).to.equal(10);
		expect(queue.estimateCostAhead({workspace: 'urgent', priority: 0, share: 1})).to.equal(0);
	});

	it('serves a workspace under its share ahead of the others by no more than the burst', () => {
		queue = new FairQueue({clock, maximumLength: 100, burstMs: 50});
		for (let index = 0; index < 30; index++) {
			queue.push(createWork('flood'));
		}

		popAll(20);
		for (let index = 0; index < 20; index++) {
			queue.push(createWork('late'));
		}

		const first = popAll(16);
		expect(first.slice(0, 5)).to.deep.equal(['late', 'late', 'late', 'late', 'late']);
		expect(first.filter(workspace => workspace === 'flood').length).to.be.within(4, 6);
	});

	it('serves a lower priority number first', () => {
		queue.push(createWork('later', {priority: 2}));
		queue.push(createWork('first', {priority: 0}));
		expect(popAll(2)).to.deep.equal(['first', 'later']);
	});

	it('returns work that exceeded its time limit in the queue', async () => {
		queue.push(createWork('long-limit', {queueMs: 500}));
		queue.push(createWork('short-limit', {queueMs: 100}));
		await clock.advance(101);
		expect(queue.removeExpired().map(work => work.item)).to.deep.equal(['short-limit']);
		expect(queue.length).to.equal(1);
		expect(queue.costMs).to.equal(10);
	});

	it('evicts an entry of the largest holder when a workspace with few entries adds work to a full queue', () => {
		const evicted: string[] = [];
		const onEvicted = (item: string) => {
			evicted.push(item);
		};

		for (let index = 0; index < 100; index++) {
			queue.push(createWork('flood'));
		}

		expect(queue.push(createWork('flood'), {onEvicted})).to.equal(false);
		expect(queue.push(createWork('small'), {onEvicted})).to.equal(true);
		expect(evicted).to.deep.equal(['flood']);
		expect(queue.length).to.equal(100);
	});
});
