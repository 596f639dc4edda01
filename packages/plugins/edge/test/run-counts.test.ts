import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {Mesh} from '@hickorytrack/mesh';
import {ok} from 'neverthrow';
import {Random} from '@hickorytrack/random';
import {peerFeatures, type UsageReport} from '@hickorytrack/types/peer-methods';
import {expect} from 'chai';
import {UsageLink} from '../src/usage/usage-link.js';
import {RetryFleet, WholeMsClock} from './retry-fleet.js';

describe('counts of runs', () => {
	// Guards against requests that are counted although all servers refused them, and against lost answers that are not counted.
	for (const [kind, faults] of [
		['refuse at once', {rejectsAtOnce: 0.6}],
		['refuse late', {rejectsLate: 0.6}],
		['break', {breaks: 0.4}],
		['refuse and break', {rejectsAtOnce: 0.4, breaks: 0.4}],
		['are slow', {slowness: 60}],
	] as const) {
		it(`holds the requests that a server has run or may have run, and no others, when servers ${kind}`, async () => {
			const clock = new WholeMsClock();
			const fleet = new RetryFleet(clock, new Random(5));
			fleet.startEdge(0, {isFirstStart: true, countInstances: () => 1});
			fleet.faults.set('run', faults);
			await fleet.run(5000, {intervalMs: 30, streamFraction: 0.5});
			await clock.advance(10_000);
			expect(fleet.results).to.have.length(fleet.requests.length);
			const run = new Set(fleet.arrivals.filter(({isPrefill, isRejected}) => !isPrefill && !isRejected).map(({requestId}) => requestId));
			expect(run.size).to.be.above(20);
			expect([...fleet.runCounts.keys()].sort()).to.deep.equal([...run].sort());
		});
	}

	it('counts a request once for its workspace, and none on a public route, and sends what changed to the leader alone', async () => {
		const clock = new ManualClock(1_700_000_000_000);
		const reports: UsageReport[] = [];
		const connection = {
			remote: {features: [peerFeatures.usageWindows]}, async request(_method: string, report: UsageReport) {
				reports.push(report);
				return ok({term: 3});
			},
		};
		const link = new UsageLink({
			clock, tasks: new BackgroundTasks(), mesh: {peers: {}} as unknown as Mesh, configuration: {findLeaderConnection: () => connection as never}, windowMs: 5000, incarnation: 'i1',
		});
		const countRun = link.createRunCount('w1')!;
		countRun();
		countRun();
		expect(link.createRunCount(undefined)).to.equal(undefined);
		const abortController = new AbortController();
		const running = link.run(abortController.signal);
		await clock.advance(2500);
		link.createRunCount('w2')!();
		await clock.advance(3500);
		abortController.abort();
		await running;
		const window = 1_700_000_000_000 / 5000;
		expect(reports.map(({base, windows}) => [base, windows])).to.deep.equal([
			[undefined, [[window, [['w1', 1]]]]], [3, []], [3, [[window, [['w2', 1]]]]], [3, []], [3, []], [3, []],
		]);
		expect(reports[4]!.until).to.be.within(1_700_000_005_000, 1_700_000_005_050);
	});
});
