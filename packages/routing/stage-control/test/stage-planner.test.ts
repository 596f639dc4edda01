import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {
	TrafficMixStagePlanner, StaticStagePlanner, type StagePlannerInput, type StageServer,
} from '../src/stage-planner.js';
import {LoadObserver} from '../src/load-observer.js';

const createServers = (prefillCount: number, decodeCount: number, opts: Partial<StageServer> = {}): StageServer[] => [
	...Array.from({length: prefillCount}, (_, index) => createServer(`r${index}`, 'prefill')),
	...Array.from({length: decodeCount}, (_, index) => createServer(`g${index}`, 'decode', opts)),
];

function createServer(id: string, stage: 'prefill' | 'decode', opts: Partial<StageServer> = {}): StageServer {
	return {
		id, stage, slots: 64, streams: 0, promptTokens: 0, isChanging: false, ...opts,
	};
}

const createInput = (servers: StageServer[], opts: Partial<StagePlannerInput> = {}): StagePlannerInput => ({
	servers, hasTraffic: true, isWarm: true, peakStreams: 0, readingShare: 0.8, ...opts,
});

describe('stage planner', () => {
	const planner = new TrafficMixStagePlanner();

	// Long prompts with short responses: the prefill servers are busy while the decode servers are idle.
	it('changes an idle decode server to prefill while the prefill servers are busy', () => {
		const change = planner.plan(createInput(createServers(3, 5), {peakStreams: 50}));
		expect(change?.stage).to.equal('prefill');
		expect(change?.server).to.match(/^g/);
	});

	it('keeps enough decode servers for the peak of streams and a burst beyond it', () => {
		expect(planner.plan(createInput(createServers(5, 3), {peakStreams: 120}))).to.equal(undefined);
		expect(planner.plan(createInput(createServers(4, 4), {peakStreams: 200}))).to.equal(undefined);
		expect(planner.plan(createInput(createServers(5, 3)))).to.equal(undefined);
	});

	it('changes nothing while the prefill utilisation is low', () => {
		expect(planner.plan(createInput(createServers(3, 5), {readingShare: 0.1}))).to.equal(undefined);
	});

	it('selects no server that has streams or prompts or is already changing', () => {
		for (const opts of [{streams: 1}, {promptTokens: 500}, {isChanging: true}]) {
			expect(planner.plan(createInput(createServers(3, 5, opts)))).to.equal(undefined);
		}
	});

	// The traffic changes from long prompts to long responses.
	it('changes prefill servers to decode when streams need more servers, and keeps one prefill server', () => {
		const servers = [...createServers(5, 3), createServer('r9', 'prefill', {promptTokens: 900})];
		const change = planner.plan(createInput(servers, {peakStreams: 300}));
		expect(change?.stage).to.equal('decode');
		expect(change?.server).not.to.equal('r9');
		expect(planner.plan(createInput(createServers(1, 3), {peakStreams: 900}))).to.equal(undefined);
	});

	it('tolerates one missing decode server, which may come back', () => {
		expect(planner.plan(createInput(createServers(5, 2), {peakStreams: 120}))).to.equal(undefined);
	});

	it('starts with a split for long prompts, and then waits until it has observed the load', () => {
		const before = {hasTraffic: false, isWarm: false, readingShare: 0};
		expect(planner.plan(createInput(createServers(3, 5), before))?.stage).to.equal('prefill');
		expect(planner.plan(createInput(createServers(4, 4), before))).to.equal(undefined);
		expect(planner.plan(createInput(createServers(3, 5), {isWarm: false}))).to.equal(undefined);
	});

	it('changes nothing in a small service, and the static planner never does', () => {
		expect(planner.plan(createInput(createServers(1, 2)))).to.equal(undefined);
		expect(new StaticStagePlanner().plan()).to.equal(undefined);
	});
});

describe('load observer', () => {
	it('keeps the peak of streams for a minute, and averages the prefill utilisation', async () => {
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
