import {expect} from 'chai';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {CrashAttribution} from '@hickorytrack/crash-attribution';
import {EndpointRegistry, type KnownServer, type ServerReport} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import {answerVerdicts} from '@hickorytrack/http-answer/answer-reader';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {CallerRequest} from '../src/front/caller-request.js';
import {CrashReports, type ServerCondition} from '../src/crashes/crash-reports.js';
import {RateLimitedEventLog} from '../src/front/rate-limited-event-log.js';
import {ServerHealth} from '../src/calls/server-health.js';

const reportIntervalMs = 1000;
/** The time after which a server has been probed. */
const probedMs = 30;
/** A report within this time may have been sent before the crash. */
const lateReportMs = 250;
const deadlineMs = 1000;
/** For this long after its deadline a request waits for all that is asked about its servers. */
const settleMs = 250;

describe('crash reports', () => {
	let clock: ManualClock;
	let registry: EndpointRegistry;
	let attribution: CrashAttribution;
	let reports: CrashReports;
	let events: EventLog;
	let running: Set<string>;
	let told: Array<{method: string; params: unknown}>;
	let requests = 0;
	let probe: (address: string) => Promise<ServerCondition>;

	beforeEach(() => {
		clock = new ManualClock();
		events = new EventLog({clock});
		running = new Set();
		probe = async address => running.has(address) ? 'running' : 'crashed';
		told = [];
		attribution = new CrashAttribution({clock});
		registry = new EndpointRegistry({
			clock, reportTimeoutMs: 5000, onStarted() {
				reports.handleStart();
			},
		});
		reports = new CrashReports({
			tasks: new BackgroundTasks(),
			clock, attribution, instance: 'edge-1', registry, eventLog: new RateLimitedEventLog(clock, events), health: new ServerHealth(clock), metrics: new MetricsRegistry(), reportIntervalMs, probe: async address => probe(address), mesh: {
				broadcast(method, params) {
					told.push({method, params});
				},
			},
		});
	});

	const addServer = (id: string, changes: Partial<ServerReport> = {}): KnownServer => {
		registry.recordReport({
			id, startedAt: 1, sequence: 1, service: 's', address: `${id}:1` as SocketAddress, availabilityZone: 'z', slots: 8, state: 'ready', coldMs: 0, ...changes,
		});
		return registry.find(id)!;
	};

	const createRequest = (...parts: string[]) => {
		requests++;
		return {traits: {request: `r${requests}`, parts}, metadata: {requestId: `r${requests}`, headers: []}, deadlineAt: clock.monotonic() + deadlineMs} as unknown as CallerRequest;
	};

	const loseAll = async (server: KnownServer, ...lost: CallerRequest[]) => {
		const checks = lost.map(async request => reports.checkForCrash(request, server));
		await clock.advance(probedMs);
		return Promise.all(checks);
	};

	const listCrashes = () => attribution.listCrashes().map(({id, traits}) => [id, traits.map(([trait]) => trait).filter(trait => trait.startsWith('part:'))]);

	it('tells of a crash once, with all runs that it has ended', async () => {
		const server = addServer('a');
		expect(await loseAll(server, createRequest('x'), createRequest('y'))).to.deep.equal(['crashed', 'crashed']);
		expect(listCrashes()).to.deep.equal([['a/1', ['part:x', 'part:y']]]);
		expect(told.map(({method}) => method)).to.deep.equal(['crash.note']);
		expect(told[0]!.params).to.include({id: 'a/1', ageMs: probedMs, reporter: 'edge-1'});
	});

	// A connection that breaks while its server goes on, or an announced end, is no evidence against a request.
	it('counts no loss at a server that goes on, or that had said that it leaves', async () => {
		running.add('a:1');
		const leaving = addServer('b', {state: 'draining'});
		expect(await loseAll(addServer('a'), createRequest('x'))).to.deep.equal(['running']);
		await loseAll(leaving, createRequest('x'));
		expect(listCrashes()).to.deep.equal([]);
		expect(told).to.deep.equal([]);
	});

	for (const [name, successor] of [['under its id', {}], ['under another id', {id: 'c'}], ['under another id, without start times', {id: 'c', startedAt: 0}]] as const) {
		it(`notices that a server listens again ${name}, by its first report`, async () => {
			running.add('a:1');
			const first = addServer('a', {startedAt: 'startedAt' in successor ? successor.startedAt : 1});
			expect(await loseAll(first, createRequest('x'))).to.deep.equal(['running']);
			await loseAll(first, createRequest('y'));
			addServer('id' in successor ? successor.id : 'a', {address: 'a:1' as SocketAddress, startedAt: clock.now(), ...successor});
			expect(listCrashes()).to.deep.equal([[`a/${first.startedAt}`, ['part:y', 'part:x']]]);
		});
	}

	it('takes a later start for no crash', async () => {
		running.add('a:1');
		await loseAll(addServer('a'), createRequest('x'));
		await clock.advance(20 * reportIntervalMs);
		addServer('a', {startedAt: clock.now()});
		expect(listCrashes()).to.deep.equal([]);
	});

	// A request reached the next start of a server before its first report, and its sound answer was taken for broken off.
	it('takes a start that began before the loss for the one that had the run', async () => {
		running.add('a:1');
		const server = addServer('a');
		const startedAt = clock.now();
		await clock.advance(1000);
		const condition = reports.checkEnd(createRequest('x'), server);
		addServer('a', {startedAt});
		await clock.advance(probedMs);
		expect(await condition).to.equal('running');
		expect(listCrashes()).to.deep.equal([]);
	});

	it('takes a server that reports again for running', async () => {
		running.add('a:1');
		await loseAll(addServer('a'), createRequest('x'));
		await clock.advance(lateReportMs);
		addServer('a', {sequence: 2});
		await clock.advance(reportIntervalMs);
		addServer('a', {startedAt: clock.now()});
		expect(listCrashes()).to.deep.equal([]);
	});

	it('lets the next attempt of a suspect wait for the outcome, and that of another request go on', async () => {
		await loseAll(addServer('a'), createRequest('x'));
		const server = addServer('b');
		await reports.handleLoss(createRequest('y'), server);
		let hasEnded = false;
		const waiting = reports.handleLoss(createRequest('x'), server).then(() => {
			hasEnded = true;
		});
		await clock.advance(probedMs - 1);
		expect(hasEnded).to.equal(false);
		await clock.advance(1);
		await waiting;
		expect(listCrashes()).to.have.length(2);
	});

	// The check of an answer's end, the one for its attempt and that of its beginning came one after another behind the deadline.
	it('lets a request wait for a bounded time behind its deadline, for all checks together', async () => {
		await loseAll(addServer('a'), createRequest('x'));
		probe = async () => new Promise(() => {/* The server does not respond. */});
		const server = addServer('b');
		const request = createRequest('x');
		const ended: string[] = [];
		const waiting = (async () => {
			ended.push(await reports.checkEnd(request, server));
			await reports.handleLoss(request, server);
			ended.push('lost');
		})();
		await clock.advance(deadlineMs + settleMs - 1);
		expect(ended).to.deep.equal([]);
		await clock.advance(1);
		await waiting;
		expect(ended).to.deep.equal(['silent', 'lost']);
	});

	it('lets a suspect wait no longer than until its deadline, behind which it is sent to no other server', async () => {
		await loseAll(addServer('a'), createRequest('x'));
		const request = createRequest('x');
		await clock.advance(deadlineMs - 1);
		let hasEnded = false;
		const waiting = reports.handleLoss(request, addServer('b')).then(() => {
			hasEnded = true;
		});
		await clock.advance(0);
		expect(hasEnded).to.equal(false);
		await clock.advance(1);
		expect(hasEnded).to.equal(true);
		await clock.advance(probedMs);
		await waiting;
		expect(listCrashes()).to.have.length(2);
	});

	it('refuses a banned part, tries one request, and tells the others of the trial and of its answer', async () => {
		for (const id of ['a', 'b', 'c']) {
			await loseAll(addServer(id), createRequest('x'));
		}

		expect(reports.checkArrival(createRequest('x').traits).ban).to.include({trait: 'part:x'});
		expect(reports.findBan(createRequest('x'))).to.include({trait: 'part:x'});
		expect(events.listSince(0).map(({name}) => name)).to.include('crashCauseFound');
		await clock.advance(10_000);
		told = [];
		const tried = createRequest('x');
		expect(reports.checkArrival(tried.traits)).to.deep.equal({isTrial: true});
		expect(reports.findBan({...tried, isTrial: true})).to.equal(undefined);
		expect(reports.checkArrival(createRequest('x').traits).isTrial).to.equal(false);
		reports.recordAnswer(tried, registry.find('a')!, answerVerdicts.whole);
		expect(told).to.deep.equal([{method: 'crash.trial', params: {trials: [['part:x', 0, 0]]}}, {method: 'crash.sound', params: {sound: [['part:x', 0]]}}]);
		expect(events.listSince(0).map(({name}) => name)).to.include('crashCauseCleared');
		expect(reports.checkArrival(createRequest('x').traits)).to.deep.equal({isTrial: false});
	});

	// An answer that only its connection delimits may have been ended by a crash, while something before the server listens.
	it('clears a part by an answer of unknown end only once the same start of the server has reported again', async () => {
		const countCrashes = () => listCrashes().filter(([, parts]) => parts?.includes('part:x')).length;
		await loseAll(addServer('a'), createRequest('x'));
		const server = addServer('b');
		reports.recordAnswer(createRequest('x'), server, answerVerdicts.unknown);
		await clock.advance(probedMs);
		expect(countCrashes()).to.equal(2);
		for (const [id, next, crashes] of [['c', undefined, 2], ['d', 'start', 3], ['e', 'report', 0]] as const) {
			running.add(`${id}:1`);
			reports.recordAnswer(createRequest('x'), addServer(id), answerVerdicts.unknown);

			await clock.advance(probedMs);
			await clock.advance(lateReportMs);
			if (next) {
				addServer(id, next === 'start' ? {startedAt: clock.now()} : {sequence: 2});
			}

			await clock.advance(2 * reportIntervalMs);
			expect(countCrashes()).to.equal(crashes);
		}
	});

	it('lifts a ban at all instances', async () => {
		for (const id of ['a', 'b', 'c']) {
			await loseAll(addServer(id), createRequest('x'));
		}

		told = [];
		expect(reports.clearBan('part:y')).to.equal(false);
		expect(reports.clearBan('part:x')).to.equal(true);
		expect(told).to.deep.equal([{method: 'crash.sound', params: {sound: [['part:x', 0]]}}]);
		expect(reports.findBan(createRequest('x'))).to.equal(undefined);
	});

	// Guards against a check that rejected because its probe threw, and that all later checks of that server joined for good.
	it('leaves a probe that throws to the reports of the server, and probes it again at the next loss', async () => {
		const server = addServer('a');
		const sound = probe;
		probe = async () => {
			throw new RangeError('planted');
		};

		const failed = reports.checkForCrash(createRequest('x'), server);
		await clock.advance(probedMs);
		expect(await failed).to.equal('silent');
		expect(listCrashes()).to.have.length(0);
		expect(events.listSince(0).map(({name}) => name)).to.include('crashProbeFailed');
		probe = sound;
		const repeated = reports.checkForCrash(createRequest('x'), server);
		await clock.advance(probedMs);
		expect(await repeated).to.equal('crashed');
		expect(listCrashes()).to.have.length(1);
	});

	it('does not reject when the address of the server can\'t be dialled', async () => {
		const known = addServer('a');
		const checks = new CrashReports({
			clock, tasks: new BackgroundTasks(), attribution, instance: 'edge-1', registry, eventLog: new RateLimitedEventLog(clock, events), health: new ServerHealth(clock), metrics: new MetricsRegistry(), reportIntervalMs, mesh: {
				broadcast() {/* Nobody listens. */},
			},
		});
		const check = checks.checkForCrash(createRequest('x'), {...known, address: '127.0.0.1:99999' as SocketAddress});
		await clock.advance(probedMs);
		expect(await check).to.equal('silent');
		checks.stop();
	});
});
