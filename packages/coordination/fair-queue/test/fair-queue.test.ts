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

	it('divides engine time by share, however much one workspace offers', () => {
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

	it('lends an unused share without letting idle time collect as credit', () => {
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

	it('tells a workspace what goes before it, not what a flood has queued behind it', () => {
		for (let index = 0; index < 50; index++) {
			queue.push(createWork('flood'));
		}

		expect(queue.estimateCostAhead({workspace: 'flood', priority: 1, share: 1})).to.equal(500);
		expect(queue.estimateCostAhead({workspace: 'small', priority: 1, share: 1})).to.equal(10);
		expect(queue.estimateCostAhead({workspace: 'urgent', priority: 0, share: 1})).to.equal(0);
	});

	it('lets a workspace under its share go ahead by its burst, and by no more', () => {
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

	it('gives back what waited too long', async () => {
		queue.push(createWork('patient', {queueMs: 500}));
		queue.push(createWork('hasty', {queueMs: 100}));
		await clock.advance(101);
		expect(queue.removeExpired().map(work => work.item)).to.deep.equal(['hasty']);
		expect(queue.length).to.equal(1);
		expect(queue.costMs).to.equal(10);
	});

	it('makes room in a full queue for a workspace that holds little of it', () => {
		const displaced: string[] = [];
		const onDisplaced = (item: string) => {
			displaced.push(item);
		};

		for (let index = 0; index < 100; index++) {
			queue.push(createWork('flood'));
		}

		expect(queue.push(createWork('flood'), {onEvicted: onDisplaced})).to.equal(false);
		expect(queue.push(createWork('small'), {onEvicted: onDisplaced})).to.equal(true);
		expect(displaced).to.deep.equal(['flood']);
		expect(queue.length).to.equal(100);
	});
});
