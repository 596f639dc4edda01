import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {
	TrafficMixStagePlanner, StaticStagePlanner, type StagePlannerInput, type StageServer,
} from '../src/stage-planner.js';
import {LoadObserver} from '../src/load-observer.js';

const createServers = (readers: number, generators: number, opts: Partial<StageServer> = {}): StageServer[] => [
	...Array.from({length: readers}, (_, index) => createServer(`r${index}`, 'prefill')),
	...Array.from({length: generators}, (_, index) => createServer(`g${index}`, 'decode', opts)),
];

function createServer(id: string, stage: 'prefill' | 'decode', opts: Partial<StageServer> = {}): StageServer {
	return {
		id, stage, slots: 64, streams: 0, promptTokens: 0, isChanging: false, ...opts,
	};
}

const createView = (servers: StageServer[], opts: Partial<StagePlannerInput> = {}): StagePlannerInput => ({
	servers, hasTraffic: true, isWarm: true, peakStreams: 0, readingShare: 0.8, ...opts,
});

describe('stage planner', () => {
	const planner = new TrafficMixStagePlanner();

	// Pattern: long prompts with short answers; readers are busy while generators idle.
	it('has an idle generating server read while the readers are busy', () => {
		const change = planner.plan(createView(createServers(3, 5), {peakStreams: 50}));
		expect(change?.stage).to.equal('prefill');
		expect(change?.server).to.match(/^g/);
	});

	it('keeps as many generating servers as the peak of streams and a burst beyond it need', () => {
		expect(planner.plan(createView(createServers(5, 3), {peakStreams: 120}))).to.equal(undefined);
		expect(planner.plan(createView(createServers(4, 4), {peakStreams: 200}))).to.equal(undefined);
		expect(planner.plan(createView(createServers(5, 3)))).to.equal(undefined);
	});

	it('changes nothing while the readers have time to spare', () => {
		expect(planner.plan(createView(createServers(3, 5), {readingShare: 0.1}))).to.equal(undefined);
	});

	it('takes no server that streams, reads or changes already', () => {
		for (const opts of [{streams: 1}, {promptTokens: 500}, {isChanging: true}]) {
			expect(planner.plan(createView(createServers(3, 5, opts)))).to.equal(undefined);
		}
	});

	// Pattern: the mix turns from long prompts to long answers.
	it('has readers generate when streams need more servers, and leaves one reader', () => {
		const servers = [...createServers(5, 3), createServer('r9', 'prefill', {promptTokens: 900})];
		const change = planner.plan(createView(servers, {peakStreams: 300}));
		expect(change?.stage).to.equal('decode');
		expect(change?.server).not.to.equal('r9');
		expect(planner.plan(createView(createServers(1, 3), {peakStreams: 900}))).to.equal(undefined);
	});

	it('bears one generating server too few, which may come back', () => {
		expect(planner.plan(createView(createServers(5, 2), {peakStreams: 120}))).to.equal(undefined);
	});

	it('sets out from a mix of long prompts, and then waits until it has seen the work', () => {
		const before = {hasTraffic: false, isWarm: false, readingShare: 0};
		expect(planner.plan(createView(createServers(3, 5), before))?.stage).to.equal('prefill');
		expect(planner.plan(createView(createServers(4, 4), before))).to.equal(undefined);
		expect(planner.plan(createView(createServers(3, 5), {isWarm: false}))).to.equal(undefined);
	});

	it('leaves a handful of servers alone, and the baseline leaves all', () => {
		expect(planner.plan(createView(createServers(1, 2)))).to.equal(undefined);
		expect(new StaticStagePlanner().plan()).to.equal(undefined);
	});
});

describe('work observer', () => {
	it('keeps the peak of streams for a minute, and how busy reading is', async () => {
		const clock = new ManualClock();
		const observer = new LoadObserver(clock);
		expect(observer.hasTraffic).to.equal(false);
		const busy = [createServer('r', 'prefill', {promptTokens: 5}), createServer('g', 'decode', {streams: 40})];
		for (let i = 0; i < 200; i++) {
			observer.observe(busy);
			await clock.advance(100);
		}

		expect(observer.isWarm).to.equal(true);
		expect(observer.peakStreams).to.equal(40);
		expect(observer.readingShare).to.be.greaterThan(0.8);
		for (let i = 0; i < 700; i++) {
			observer.observe([createServer('r', 'prefill')]);
			await clock.advance(100);
		}

		expect(observer.peakStreams).to.equal(0);
		expect(observer.readingShare).to.be.lessThan(0.1);
	});
});
