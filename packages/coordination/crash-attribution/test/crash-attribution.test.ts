import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import {CrashAttribution} from '../src/crash-attribution.js';
import {mergeTraits, verdicts, type RunTraits} from '../src/run-traits.js';
import {SimulatedFleet, type FleetOptions} from './simulated-fleet.js';

const minuteMs = 60_000;
/** The users' bounds: at most three arrivals later than this after the fifth crash. */
const contactMs = 3000;

describe('crash attribution', () => {
	let clock: ManualClock;
	let attribution: CrashAttribution;
	let requests = 0;

	beforeEach(() => {
		clock = new ManualClock();
		attribution = new CrashAttribution({clock});
	});

	const createRun = (...parts: string[]): RunTraits => {
		requests++;
		return {request: `r${requests}`, parts};
	};

	const crash = (id: string, ...runs: RunTraits[]) => attribution.recordCrash({id, traits: mergeTraits(runs)});
	const checkVerdict = (run: RunTraits) => attribution.checkRun(run).verdict;
	const listBanned = () => attribution.listBans().map(({trait}) => trait);

	it('bans the part that stands in three crashes, whatever else the requests hold', () => {
		crash('1', createRun('a', 'bad', 'x'), createRun('a', 'y'));
		attribution.recordSound(createRun('a', 'z'));
		crash('2', createRun('a', 'bad', 'v'));
		expect(checkVerdict(createRun('a', 'bad'))).to.equal(verdicts.allowed);
		attribution.recordSound(createRun('a', 'z'));
		crash('3', createRun('a', 'bad', 'w'), createRun('a', 'y'));
		expect(checkVerdict(createRun('a', 'bad', 'u'))).to.equal(verdicts.refused);
		expect(checkVerdict(createRun('a', 'y'))).to.equal(verdicts.allowed);
		expect(checkVerdict(createRun('c', 'bad'))).to.equal(verdicts.refused);
	});

	it('counts a crash once that several instances report, each with its own runs', () => {
		const run = createRun('a');
		expect(crash('1', run)).to.equal(true);
		expect(crash('1', run)).to.equal(false);
		expect(crash('1', createRun('a', 'b'))).to.equal(true);
		crash('2', createRun('a', 'b'));
		expect(listBanned()).to.deep.equal([]);
		crash('3', createRun('b'));
		expect(listBanned()).to.deep.equal(['part:b']);
	});

	it('bans a request that stands in two crashes with all its repeats, until its part is found to be the cause', () => {
		const run = createRun('a', 'bad');
		crash('1', run);
		crash('2', run);
		expect(checkVerdict(run)).to.equal(verdicts.refused);
		expect(checkVerdict(createRun('a', 'bad'))).to.equal(verdicts.allowed);
		crash('3', createRun('c', 'bad'));
		expect(listBanned()).to.deep.equal(['part:bad']);
	});

	it('does not ban a request that ran beside the cause of two crashes', () => {
		const innocent = createRun('a');
		crash('1', innocent, createRun('b', 'bad'));
		crash('2', innocent, createRun('c', 'bad'));
		crash('3', createRun('d', 'bad'));
		expect(checkVerdict(innocent)).to.equal(verdicts.allowed);
	});

	it('clears a trait by a whole answer, also when a report of an earlier crash comes later', async () => {
		crash('1', createRun('a'));
		crash('2', createRun('a'));
		await clock.advance(10);
		expect(attribution.recordSound(createRun('a')).map(([trait]) => trait)).to.deep.equal(['part:a']);
		crash('1', createRun('a', 'b'));
		crash('3', createRun('a', 'c'));
		expect(listBanned()).to.deep.equal([]);
	});

	it('takes more crashes for a part that was in a whole answer, and lets a run be tried at once', async () => {
		attribution.recordSound(createRun('a'));
		await clock.advance(10);
		for (const id of ['1', '2', '3', '4']) {
			crash(id, createRun('a'));
		}

		expect(listBanned()).to.deep.equal([]);
		crash('5', createRun('a'));
		expect(listBanned()).to.deep.equal(['part:a']);
		expect(checkVerdict(createRun('a'))).to.equal(verdicts.trial);
		attribution.recordTrial('part:a');
		expect(checkVerdict(createRun('a'))).to.equal(verdicts.refused);
		attribution.recordSound(createRun('a'));
		expect(checkVerdict(createRun('a'))).to.equal(verdicts.allowed);
	});

	// Guards against a ban that leaves the cause for a part that is answered again and again, when servers also crash by themselves.
	it('keeps the ban of a part that was in no whole answer when one that was stands in more crashes', async () => {
		attribution.recordSound(createRun('answered'));
		await clock.advance(10);
		for (const id of ['1', '2', '3']) {
			crash(id, createRun('bad'), createRun('answered'));
		}

		expect(listBanned()).to.deep.equal(['part:bad']);
		for (const id of ['4', '5', '6']) {
			crash(id, createRun('answered'));
		}

		expect(listBanned()).to.deep.equal(['part:bad']);
		expect(checkVerdict(createRun('answered'))).to.equal(verdicts.allowed);
	});

	it('tells others once that a part in several crashes was in a whole answer before, which lifts their ban', async () => {
		const other = new CrashAttribution({clock});
		attribution.recordSound(createRun('a'));
		await clock.advance(10);
		for (const id of ['1', '2', '3']) {
			const report = {id, traits: mergeTraits([createRun('a')])};
			attribution.recordCrash(report);
			other.recordCrash(report);
		}

		expect(other.listBans()).to.have.length(1);
		const sound = attribution.collectDoubtful();
		expect(sound).to.deep.equal([['part:a', 10]]);
		expect(attribution.collectDoubtful()).to.deep.equal([]);
		other.mergeSound(sound);
		expect(other.listBans()).to.deep.equal([]);
		expect(other.collectDoubtful()).to.deep.equal([]);
	});

	// With few sound requests about, each part that the crashing requests share looks as guilty as the crashing one.
	it('tries a request that shows which of two parts is the cause', async () => {
		for (const id of ['1', '2', '3']) {
			crash(id, createRun('bad', 'tail'));
		}

		expect(listBanned()).to.deep.equal(['part:tail']);
		expect(checkVerdict(createRun('bad', 'tail'))).to.equal(verdicts.refused);
		await clock.advance(1000);
		expect(checkVerdict(createRun('bad', 'tail'))).to.equal(verdicts.refused);
		expect(checkVerdict(createRun('head', 'tail'))).to.equal(verdicts.trial);
		attribution.recordSound(createRun('head', 'tail'));
		expect(listBanned()).to.deep.equal(['part:bad']);
		expect(checkVerdict(createRun('head', 'tail'))).to.equal(verdicts.allowed);
	});

	// A part that is named with its service as well: it may crash that service only, or all that get it.
	it('finds out at another service whether a part crashes servers there', async () => {
		const createAt = (service: string) => createRun(`${service}/bad`, 'bad');
		for (const id of ['1', '2', '3']) {
			crash(id, createAt('a'));
		}

		expect(checkVerdict(createAt('a'))).to.equal(verdicts.refused);
		expect(checkVerdict(createAt('b'))).to.equal(verdicts.refused);
		await clock.advance(1000);
		expect(checkVerdict(createAt('b'))).to.equal(verdicts.trial);
		attribution.recordTrial('part:bad');
		attribution.recordSound(createAt('b'));
		expect(checkVerdict(createAt('b'))).to.equal(verdicts.allowed);
		expect(checkVerdict(createAt('a'))).to.equal(verdicts.refused);
		crash('4', createAt('c'));
		expect(checkVerdict(createAt('c'))).to.equal(verdicts.allowed);
	});

	it('tries a banned part ever more rarely, one run at a time, and lifts the ban when the run is answered', async () => {
		for (const id of ['1', '2', '3']) {
			crash(id, createRun('bad'));
		}

		await clock.advance(9999);
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.refused);
		await clock.advance(1);
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.trial);
		attribution.recordTrial('part:bad');
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.refused);
		crash('4', createRun('bad'));
		await clock.advance((5 * minuteMs) - 1);
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.refused);
		await clock.advance(1);
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.trial);
		attribution.recordTrial('part:bad');
		crash('5', createRun('bad'));
		await clock.advance(59 * minuteMs);
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.refused);
		attribution.recordSound(createRun('bad'));
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.allowed);
	});

	it('lets few runs of a crashing part through in a day', async () => {
		const arrivals: number[] = [];
		for (let minute = 0; minute < 24 * 60; minute++) {
			const run = createRun('bad');
			const judgement = attribution.checkRun(run);
			if (judgement.verdict !== verdicts.refused) {
				if (judgement.verdict === verdicts.trial) {
					attribution.recordTrial(judgement.ban.trait);
				}

				arrivals.push(minute);
				crash(`c${minute}`, run);
			}

			await clock.advance(minuteMs);
		}

		expect(arrivals.length).to.be.at.most(5 + 3);
	});

	it('lifts a ban for an operator', () => {
		for (const id of ['1', '2', '3']) {
			crash(id, createRun('bad'));
		}

		expect(attribution.clearBan('part:other')).to.equal(false);
		expect(attribution.clearBan('part:bad')).to.equal(true);
		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.allowed);
	});

	it('tells an instance that starts later what it knows, with the times', async () => {
		for (const id of ['1', '2', '3']) {
			crash(id, createRun('a', 'bad'));
		}

		await clock.advance(9000);
		const started = new CrashAttribution({clock});
		for (const report of attribution.listCrashes()) {
			started.recordCrash(report);
		}

		started.mergeSound(attribution.listSound());
		started.mergeTrials(attribution.listTrials());
		expect(started.checkRun(createRun('a', 'bad')).verdict).to.equal(verdicts.refused);
		await clock.advance(1000);
		expect(started.checkRun(createRun('a', 'bad')).verdict).to.equal(verdicts.trial);
		attribution.recordTrial('part:bad');
		crash('4', createRun('a', 'bad'));
		const later = new CrashAttribution({clock});
		for (const report of attribution.listCrashes()) {
			later.recordCrash(report);
		}

		later.mergeTrials(attribution.listTrials());
		await clock.advance(4 * minuteMs);
		expect(later.checkRun(createRun('a', 'bad')).verdict).to.equal(verdicts.refused);
	});

	// A caller who fills the table with crashes of its own must not make it forget a ban.
	it('keeps the crashes of a ban when the table is full', () => {
		for (const id of ['1', '2', '3']) {
			crash(id, createRun('bad'));
		}

		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.refused);
		for (let index = 0; index < 1000; index++) {
			crash(`other-${index}`, createRun(`part-${index}`));
			checkVerdict(createRun());
		}

		expect(checkVerdict(createRun('bad'))).to.equal(verdicts.refused);
		expect(attribution.listCrashes().length).to.be.at.most(200);
	});

	describe('in a simulated fleet', () => {
		const base: FleetOptions = {
			instances: 8, servers: 3, soundPerSecond: 60, longPerSecond: 10, crashingPerSecond: 1.5, crashingFrom: 10_000, outages: [], crashingPosition: 1,
		};
		const cases: Array<{name: string; opts: Partial<FleetOptions>}> = [
			{name: 'three servers', opts: {}},
			{name: 'twelve servers', opts: {servers: 12}},
			{name: 'many crashing requests', opts: {crashingPerSecond: 8}},
			{name: 'crashing requests from the first moment', opts: {crashingFrom: 0}},
			{name: 'few sound requests', opts: {soundPerSecond: 2, longPerSecond: 1}},
			{name: 'outages of all servers', opts: {outages: [5000, 12_000, 20_000]}},
			{name: 'a crashing first part', opts: {crashingPosition: 0}},
			{name: 'forty instances', opts: {instances: 40, crashingPerSecond: 4}},
		];
		for (const {name, opts} of cases) {
			// Guards against a part that ends server after server, and against sound requests that are refused for a part they share.
			it(`stops the crashes and lets sound requests through: ${name}`, () => {
				for (let seed = 1; seed <= 8; seed++) {
					const fleet = new SimulatedFleet(new Random(seed), {...base, ...opts});
					fleet.run(40_000);
					const fifth = fleet.crashTimes.at(4) ?? fleet.crashTimes.at(-1)!;
					const late = fleet.crashTimes.length < 5 ? [] : fleet.arrivals.filter(at => at > fifth + contactMs);
					expect(late.length, `arrivals after the fifth crash, seed ${seed}`).to.be.at.most(3);
					const sound = fleet.sound.filter(({at, first}) => first === 'head-0' && at > fifth + (2 * contactMs));
					const allowed = sound.filter(({isAllowed}) => isAllowed);
					expect(allowed.length, `sound requests let through of ${sound.length}, seed ${seed}`).to.be.at.least(sound.length / 2);
				}
			});
		}

		it('refuses few requests when servers crash by themselves, and bans nothing for long', () => {
			for (let seed = 1; seed <= 12; seed++) {
				const fleet = new SimulatedFleet(new Random(seed), {...base, crashingPerSecond: 0, outages: [3000, 8000, 13_000, 18_000, 23_000]});
				fleet.run(120_000);
				const refused = fleet.sound.filter(({isAllowed}) => !isAllowed);
				expect(refused.length, `refused of ${fleet.sound.length}, seed ${seed}`).to.be.at.most(fleet.sound.length / 100);
				expect(fleet.bans.flat(), `seed ${seed}`).to.deep.equal([]);
			}
		});
	});
});
