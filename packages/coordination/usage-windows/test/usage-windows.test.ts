import {expect} from 'chai';
import {callOutcomes, type CallResult} from '@hickorytrack/singleton-duty/duty';
import {UsageFleet, windowMs} from './usage-fleet.js';

const refuse = (): CallResult => ({outcome: callOutcomes.unanswered});

describe('usage', () => {
	let fleet: UsageFleet;

	beforeEach(async () => {
		fleet = new UsageFleet();
		fleet.elect(fleet.members[0]!);
	});

	/** Each instance counts one request in each step. */
	const countAll = () => {
		for (const instance of fleet.instances.filter(({isAlive}) => isAlive)) {
			instance.count('w1');
		}
	};

	it('is reported once for each window, in time, also of a window without requests', async () => {
		await fleet.run(10_000, countAll);
		await fleet.run(20_000);
		const windows = fleet.calls.map(({window}) => window);
		expect(windows).to.deep.equal([...windows.keys()].map(index => windows[0]! + index));
		expect(fleet.reported).to.deep.equal(fleet.counted);
		expect(JSON.parse(fleet.calls.at(-1)!.bytes)).to.deep.include({counts: []});
		for (const {at, window} of fleet.calls) {
			expect(at - ((window + 1) * windowMs)).to.be.within(1000, 10_000);
		}
	});

	// Guards against a holder killed between commit and send.
	it('is sent by the next holder as the log holds it', async () => {
		await fleet.run(9000, countAll);
		fleet.answer = refuse;
		const [former, next] = fleet.members;
		await fleet.runUntil(() => former!.store.findWaiting() !== undefined);
		const decided = structuredClone(next!.store.findWaiting()!);
		fleet.calls.length = 0;
		fleet.kill(former!);
		fleet.answer = () => ({outcome: callOutcomes.accepted});
		fleet.elect(next!);
		await fleet.runUntil(() => fleet.calls.length > 0);
		expect(JSON.parse(fleet.calls[0]!.bytes)).to.deep.equal({window: decided.window, counts: decided.counts});
		expect(fleet.calls[0]!.token).to.equal(2);
	});

	// Guards against a holder killed between send and answer, and against a report that another leader adds up anew.
	it('is sent again with the same bytes if the holder is killed before it has the answer', async () => {
		await fleet.run(4000, countAll);
		fleet.answer = async () => new Promise<CallResult>(() => {/* No answer comes. */});
		await fleet.runUntil(() => fleet.calls.length > 0);
		fleet.kill(fleet.members[0]!);
		fleet.others[0]!.count('w1');
		fleet.answer = () => ({outcome: callOutcomes.accepted});
		fleet.elect(fleet.members[1]!);
		await fleet.runUntil(() => fleet.calls.length > 1);
		expect(fleet.calls[1]!.bytes).to.equal(fleet.calls[0]!.bytes);
		expect(fleet.calls[1]!.holder).to.equal('b');
	});

	// Guards against the loss of what the killed leader itself had counted and collected, and against totals that count twice.
	it('loses and doubles nothing when the leader changes in each window', async () => {
		for (let round = 0; round < 6; round++) {
			await fleet.run(7300, countAll);
			fleet.elect(fleet.members[(round + 1) % 3]!);
		}

		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	it('keeps what a killed leader had stored, and what it had collected from a killed instance', async () => {
		await fleet.run(3000, countAll);
		await fleet.run(1200);
		fleet.kill(fleet.others[0]!);
		await fleet.run(1200);
		fleet.kill(fleet.members[0]!);
		await fleet.run(1000);
		fleet.elect(fleet.members[1]!);
		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	// Guards against an instance killed with counts that the leader does not have.
	it('lacks at most the last second of a killed instance', async () => {
		await fleet.run(4500, countAll);
		fleet.kill(fleet.others[0]!);
		await fleet.run(20_000);
		expect(fleet.counted.w1! - fleet.reported.w1!).to.be.within(0, 20);
	});

	// Guards against a core that is cut into members without a majority while a window closes.
	it('of a window that closes without a leader is decided later, whole', async () => {
		await fleet.run(7000, countAll);
		const [former, next] = fleet.members;
		former!.isCut = true;
		await fleet.run(8000, () => {
			fleet.others[0]!.count('w2');
		});
		former!.isCut = false;
		fleet.elect(next!);
		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	// Guards against a leader that decides before the instances have reported to it, and against a decision that waits for a lost one.
	it('waits for an instance that is late, at most 5 s', async () => {
		await fleet.run(23_000, countAll);
		const late = fleet.others[1]!;
		late.isCut = true;
		await fleet.run(4000, countAll);
		late.isCut = false;
		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
		late.isCut = true;
		const before = fleet.calls.length;
		await fleet.run(15_000);
		expect(fleet.calls.length - before).to.be.at.least(2);
	});

	// Guards against an infrastructure that is down for 8 s.
	it('arrives in order and in time when the receiver was down for 8 s', async () => {
		await fleet.run(20_000, countAll);
		fleet.answer = refuse;
		await fleet.run(8000, countAll);
		fleet.answer = () => ({outcome: callOutcomes.accepted});
		const from = fleet.calls.length;
		await fleet.run(12_000);
		const accepted = fleet.calls.slice(from);
		expect(accepted.map(({window}) => window)).to.deep.equal(accepted.map((_, index) => accepted[0]!.window + index));
		expect(Math.max(...accepted.map(({at, window}) => at - ((window + 1) * windowMs)))).to.be.below(10_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	// Guards against a window that is decided again after a restart, and against windows that are reported long after their time.
	it('goes on behind the highest decided window after a restart of the whole core', async () => {
		await fleet.run(12_000, countAll);
		fleet.restartCore();
		await fleet.run(4000);
		fleet.elect(fleet.members[0]!);
		await fleet.run(20_000);
		const windows = new Set(fleet.calls.map(({window}) => window));
		expect(Math.max(...windows) - Math.min(...windows) + 1).to.equal(windows.size);
		fleet.restartCore();
		await fleet.run(90_000);
		fleet.elect(fleet.members[0]!);
		await fleet.run(12_000);
		expect(fleet.events.filter(({name}) => name === 'usageWindowsDropped')).to.have.length(1);
		expect(fleet.calls.at(-1)!.window).to.be.above(Math.max(...windows));
	});

	// Guards against a leader whose clock is set ahead, which would decide the windows of the next hour as empty ones.
	it('is not decided by the clock of the leader alone', async () => {
		await fleet.run(12_000, countAll);
		fleet.members[0]!.clockOffsetMs = 3_600_000;
		await fleet.run(8000, countAll);
		fleet.members[0]!.clockOffsetMs = 0;
		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	// Guards against a new leader that takes what has changed since the last leader for all totals.
	it('is not decided with the changes alone that instances send to a new leader', async () => {
		await fleet.run(20_000, countAll);
		fleet.others[0]!.count('w2');
		await fleet.run(1100, countAll);
		fleet.elect(fleet.members[1]!);
		fleet.areRepliesLost = true;
		await fleet.run(7500, countAll);
		fleet.areRepliesLost = false;
		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	// Guards against a leader that forgets the totals while an older member of the core forbids records: in the same term, the
	// instances send only what has changed since its last answer.
	it('holds what a leader was told before it could not write records for a moment', async () => {
		await fleet.run(20_000, countAll);
		fleet.others[0]!.count('w2');
		await fleet.run(1100, countAll);
		const leader = fleet.members[0]!;
		leader.term = undefined;
		await fleet.run(300, countAll);
		leader.term = fleet.term;
		await fleet.run(30_000);
		expect(fleet.reported).to.deep.equal(fleet.counted);
	});

	// Guards against a leader that keeps an entry for each start of an instance that crashes again and again.
	it('forgets instances that have gone once their windows are decided', async () => {
		await fleet.run(10_000, countAll);
		for (let count = 0; count < 50; count++) {
			fleet.members[0]!.windows.collect({sender: `gone-${count}`, until: fleet.clock.now(), windows: []});
		}

		await fleet.run(30_000);
		const last = fleet.events.findLast(({name}) => name === 'usageDecided')!;
		expect(last.fields.senders).to.equal(fleet.instances.length);
	});

	// Guards against an exception in the task of a leader that loses the lead while it stores totals, and against its decision.
	it('is not decided by a leader that loses the lead while it stores totals', async () => {
		await fleet.run(20_950, countAll);
		const [former] = fleet.members;
		const {decidedTo} = former!.store;
		await fleet.clock.advance(100);
		former!.counter.count('w1');
		const finished = former!.windows.finish();
		former!.term = undefined;
		former!.windows.collect({sender: 'x', until: fleet.clock.now(), windows: []});
		await finished;
		expect(former!.store.decidedTo).to.equal(decidedTo);
	});

	// Guards against a state that grows for ever, and against a forgotten window that a late record decides again.
	it('forgets accepted windows, and never decides one again', async () => {
		await fleet.run(200_000);
		const {store} = fleet.members[0]!;
		const decidedTo = store.decidedTo!;
		expect((store.createSnapshot() as {windows: unknown[]}).windows).to.have.length(24);
		store.apply({kind: 'usage-windows', decided: [decidedTo - 30, [['w1', 7]]]});
		expect(store.findWaiting()).to.equal(undefined);
	});
});
