/** Each check of keys, leases and usage finds the fault that it is there for, planted in records that keep the rules. */
import {expect} from 'chai';
import {Random} from '@hickorytrack/random';
import {checkKeys, checkKeysInLogs} from '../src/check-keys.js';
import {checkDuties, checkUsage, countUsageWindows} from '../src/check-usage.js';
import {createSchedule, outsideFaults} from '../src/fault-schedule.js';
import type {
	ArrivalRecord, CallerRecord, Disturbance, DutyCall, EndRecord, OperatorRecord, OutcomeRecord, RuleCase, SoakRecords, SoakRoute,
} from '../src/records.js';
import {createSpreadRandom} from '../src/spread-random.js';
import {
	createKeyTimes, keyMark, KeyOwners, workspaceBounds,
} from '../src/workspaces.js';

const requestId = 'r1';
const key = `${keyMark}1`;
const workspaces = {revocationMs: 3000, leaseMs: 2000, windowMs: 1000};
const routes: readonly SoakRoute[] = ['once', 'again'].map(name => ({
	name, kind: 'idempotent', service: 'service', isResumable: false, maxServers: 2, isPublic: name === 'again',
}));

const createCaller = (changes: Partial<CallerRecord> = {}): CallerRecord => ({
	requestId, caller: 0, edge: 'edge-1', route: 'once', path: '/once/1', sentBody: '', key, sentAt: 5000, endedAt: 5020, deadlineMs: 1000, hasLeft: false, end: 'answered', status: 200, body: '', lastEventId: 0, extraAnswers: 0, ...changes,
});
const createArrival = (changes: Partial<ArrivalRecord> = {}): ArrivalRecord => ({
	type: 'arrival', at: 5005, server: 's1', startedAt: 1, number: 1, service: 'service', requestId, path: '/once/1', body: '', isPrefill: false, workspace: 'w1', ...changes,
});
const createOutcome = (changes: Partial<OutcomeRecord> = {}): OutcomeRecord => ({
	type: 'outcome', at: 5006, server: 's1', startedAt: 1, number: 1, requestId, hasRun: true, answer: 'answered', status: 200, ...changes,
});
const createVersion = (version: number, sentAt: number, keys: Record<string, string>, acknowledgedAt: number | undefined = sentAt): OperatorRecord => ({
	version, sentAt, acknowledgedAt, document: {}, routes: {}, keys,
});
const createDutyCall = (at: number, holder: string, token: number, body = '{"window-id":5,"counts":{"w1":1}}'): DutyCall => ({
	at, holder, token, path: '/usage', body, status: 200,
});

const createRecords = (changes: Partial<SoakRecords> = {}): SoakRecords => ({
	routes, workspaces, bounds: {ratio: 0.1, slack: 2, windowMs: 1000}, edges: ['edge-1', 'edge-2'], callers: [createCaller()], calls: [], limits: [], starts: [], lags: [], arrivals: [createArrival()], outcomes: [createOutcome()], ends: [], operator: [createVersion(1, 0, {[key]: 'w1'})], readBacks: [], readRequests: new Map(), processEnds: [], disturbances: [], graceMs: 6000, ...changes,
});
const listRules = (cases: readonly RuleCase[]) => cases.map(({rule}) => rule);

describe('checks of workspaces', () => {
	const listKeyCases = (changes: Partial<SoakRecords>) => listRules(checkKeys(createRecords(changes)));

	// A check that reports correct records as violations would hide real ones.
	it('report nothing for records that keep the rules, or without workspaces', () => {
		expect(listKeyCases({})).to.deep.equal([]);
		expect(listKeyCases({callers: [createCaller({route: 'again'})], arrivals: [createArrival({workspace: undefined})]})).to.deep.equal([]);
		expect(listKeyCases({workspaces: undefined, arrivals: [createArrival({hasKey: true})]})).to.deep.equal([]);
	});

	// A key that is passed on lets a server, the infrastructure or a reader of logs act for its workspace.
	it('report a key that is passed on', () => {
		expect(listKeyCases({arrivals: [createArrival({hasKey: true})]})).to.deep.equal(['LEAK']);
		expect(listKeyCases({
			calls: [{
				type: 'call', at: 1, server: 's1', startedAt: 1, requestId: '', path: '/api/order', hasKey: true,
			}],
		})).to.deep.equal(['LEAK']);
		expect(listKeyCases({dutyCalls: [createDutyCall(1, 'edge-1', 1, `{"window-id":5,"counts":{"${key}":1}}`)]})).to.deep.equal(['LEAK']);
		expect(listRules(checkKeysInLogs(['{"event":1}', `{"event":2,"headers":"Bearer ${key}"}`]))).to.deep.equal(['LEAK']);
	});

	// A server that is told another workspace, or the caller's own word, serves the wrong one.
	it('report a workspace that does not hold the key of the request', () => {
		for (const workspace of ['w2', undefined]) {
			expect(listKeyCases({arrivals: [createArrival({workspace})]})).to.deep.equal(['WORKSPACE']);
		}

		expect(listKeyCases({callers: [createCaller({route: 'again'})]})).to.deep.equal(['WORKSPACE']);
		// A key that has moved may be of either workspace until the revocation time has passed.
		const listMoved = (workspace: string, sentAt: number) => listKeyCases({operator: [createVersion(1, 0, {[key]: 'w1'}), createVersion(2, 1000, {[key]: 'w2'})], callers: [createCaller({sentAt})], arrivals: [createArrival({workspace})]});
		expect([listMoved('w1', 4000), listMoved('w1', 4001), listMoved('w2', 4001)]).to.deep.equal([[], ['WORKSPACE'], []]);
		expect(listKeyCases({operator: [createVersion(1, 0, {[key]: 'w1'}), createVersion(2, 5006, {[key]: 'w2'})], arrivals: [createArrival({workspace: 'w2'})]})).to.deep.equal(['WORKSPACE']);
	});

	// An edge that serves without a lease runs requests with a key that was removed while it was out of touch.
	it('report a request that runs with an unknown or no key, or later than the revocation time after the ack that removed its key', () => {
		expect([listKeyCases({callers: [createCaller({key: `${keyMark}unknown`})]}), listKeyCases({callers: [createCaller({key: undefined})]})]).to.deep.equal([['REVOKED'], ['REVOKED']]);
		const listRemoved = (changes: Partial<CallerRecord>, acknowledgedAt: number | undefined, others: Partial<SoakRecords> = {}) => listKeyCases({operator: [createVersion(1, 0, {[key]: 'w1'}), {...createVersion(2, 500, {}), acknowledgedAt}], callers: [createCaller(changes)], ...others});
		expect([listRemoved({sentAt: 4000}, 1000), listRemoved({sentAt: 4001}, 1000), listRemoved({sentAt: 4001}, undefined)]).to.deep.equal([[], ['REVOKED'], []]);
		expect([listRemoved({}, 1000, {outcomes: [createOutcome({hasRun: false})]}), listRemoved({}, 1000, {outcomes: [createOutcome({number: 2})]})]).to.deep.equal([[], []]);
		expect(listRemoved({}, 1000, {outcomes: [createOutcome(), createOutcome({server: 's2', hasRun: false})], arrivals: [createArrival(), createArrival({server: 's2'})]})).to.deep.equal(['REVOKED']);
		expect(listRemoved({route: 'again'}, 1000, {arrivals: [createArrival({workspace: undefined})]})).to.deep.equal([]);
	});
});

describe('checks of duties', () => {
	const listCases = (dutyCalls: DutyCall[]) => listRules(checkDuties(createRecords({dutyCalls})));

	// A holder that sends without a confirmed lease is obeyed beside the next one.
	it('report tokens that fall or have two holders, and holders in the order A, B, A within the lease', () => {
		expect(listCases([createDutyCall(0, 'a', 1), createDutyCall(100, 'a', 1), createDutyCall(200, 'b', 2), createDutyCall(300, 'b', 2)])).to.deep.equal([]);
		expect(listCases([createDutyCall(0, 'a', 2), createDutyCall(9000, 'b', 1)])).to.deep.equal(['FENCE']);
		expect(listCases([createDutyCall(0, 'a', 1), createDutyCall(9000, 'b', 1)])).to.deep.equal(['FENCE']);
		const listSwaps = (at: number) => listCases([createDutyCall(0, 'a', 1), createDutyCall(500, 'b', 2), createDutyCall(at, 'a', 3)]);
		expect([listSwaps(2000), listSwaps(2001)]).to.deep.equal([['FENCE'], []]);
		expect(listCases([createDutyCall(0, 'a', 1), createDutyCall(100, 'b', 2), createDutyCall(200, 'c', 3), createDutyCall(300, 'a', 4)])).to.deep.equal(['FENCE']);
	});
});

describe('checks of usage', () => {
	const count = 100;
	const numbers = Array.from({length: count}, (_, index) => index);
	const callers = numbers.map(number => createCaller({requestId: `r${number}`}));
	const arrivals = numbers.map(number => createArrival({requestId: `r${number}`}));
	const outcomes = numbers.map(number => createOutcome({requestId: `r${number}`}));
	const createReport = (counts: Record<string, number>, at = 9000) => createDutyCall(at, 'edge-1', 1, JSON.stringify({'window-id': 5, counts}));
	const listCases = (dutyCalls: DutyCall[], changes: Partial<SoakRecords> = {}) => listRules(checkUsage(createRecords({
		callers, arrivals, outcomes, dutyCalls, ...changes,
	})));

	// Two reports of one window are a permanent violation, whichever of them is right; an exact repeat is harmless.
	it('report a window that is reported twice with other counts', () => {
		expect(listCases([createReport({w1: 100}), createReport({w1: 100}, 9500)])).to.deep.equal([]);
		expect(listCases([createReport({w1: 100}), createReport({w1: 101}, 9500)])).to.deep.equal(['USAGE']);
		expect(listCases([createReport({w1: 100}), createReport({w1: 100, w2: 0}, 9500)])).to.deep.equal(['USAGE']);
	});

	// Requests that are lost, counted twice or counted for another workspace.
	it('report sums that are off by more than 5 in 100 of what the servers ran', () => {
		expect([95, 105].map(w1 => listCases([createReport({w1})]))).to.deep.equal([[], []]);
		for (const counts of [{w1: 94}, {w1: 106}, {}, {w1: 100, w2: 1}] as Array<Record<string, number>>) {
			expect(listCases([createReport(counts)])).to.deep.equal(['USAGE']);
		}

		// A request that runs over the end of a window may count in either.
		const end: EndRecord = {
			type: 'end', at: 6000, server: 's1', startedAt: 1, number: 1, requestId: 'r0', isSound: true, hasLeft: false, hasUnknownEnd: false, workedUntil: 6000,
		};
		const ends = numbers.slice(0, 10).map(number => ({...end, requestId: `r${number}`}));
		expect([listCases([createReport({w1: 90})]), listCases([createReport({w1: 90})], {ends}), listCases([createReport({w1: 85})], {ends})]).to.deep.equal([['USAGE'], [], ['USAGE']]);
		// Requests on public routes count for no workspace; one that may have run counts, one that was refused does not.
		const publicCallers = callers.map(caller => ({...caller, route: 'again'}));
		expect([listCases([createReport({})], {callers: publicCallers}), listCases([createReport({w1: 100})], {callers: publicCallers})]).to.deep.equal([[], ['USAGE']]);
		const listWithout = (changes: Partial<CallerRecord>) => listCases([createReport({w1: 100})], {callers: callers.map(caller => ({...caller, ...changes})), outcomes: []});
		expect([listWithout({end: 'closed'}), listWithout({status: 502}), listWithout({status: 503}), listWithout({status: 401})]).to.deep.equal([[], [], ['USAGE'], ['USAGE']]);
	});

	// Only what an edge can't have reported is excused, as it would hide lost counts otherwise.
	it('excuse windows of edges that were killed, or out of touch when the window was decided', () => {
		const off = [createReport({w1: 50})];
		const listKilled = (name: string, at: number, disturbances: Disturbance[] = []) => listCases(off, {processEnds: [{name, at}], disturbances});
		expect([listKilled('edge-1', 5000), listKilled('edge-2', 7500), listKilled('edge-1', 4999), listKilled('edge-1', 7501), listKilled('s1', 5500)]).to.deep.equal([[], [], ['USAGE'], ['USAGE'], ['USAGE']]);
		const createDisturbance = (kind: string, from: number, until: number, target = 'edge-1'): Disturbance => ({
			kind, target, from, until,
		});
		expect(listKilled('edge-1', 5500, [createDisturbance('term', 5400, 7000)])).to.deep.equal(['USAGE']);
		expect(listKilled('edge-1', 11_400, [createDisturbance('term', 5400, 12_000)])).to.deep.equal(['USAGE']);
		const listAway = (...args: Parameters<typeof createDisturbance>) => listCases(off, {disturbances: [createDisturbance(...args)]});
		expect([listAway('freeze', 5000, 8501), listAway('cut', 10_999, 12_000)]).to.deep.equal([[], []]);
		expect([listAway('freeze', 5000, 8500), listAway('freeze', 11_000, 12_000), listAway('freeze', 5000, 12_000, 's1'), listAway('delay', 5000, 12_000)]).to.deep.equal([['USAGE'], ['USAGE'], ['USAGE'], ['USAGE']]);
		const records = createRecords({dutyCalls: off, processEnds: [{name: 'edge-1', at: 5500}]});
		expect([countUsageWindows(records), countUsageWindows({...records, processEnds: []})]).to.deep.equal([{usageWindows: 1, checkedWindows: 0}, {usageWindows: 1, checkedWindows: 1}]);
	});
});

describe('keys of a run', () => {
	// A run that removes no key while an edge is away says nothing about leases.
	it('are removed and moved while edges are away, and leave the other faults of a seed as they are', () => {
		const owners = new KeyOwners(createSpreadRandom(3));
		const first = owners.list();
		for (let change = 0; change < 20; change++) {
			owners.change();
		}

		const last = owners.list();
		expect(Object.keys(first).some(each => last[each] === undefined)).to.equal(true);
		expect(Object.entries(last).some(([each, owner]) => first[each] !== owner)).to.equal(true);
		const keysAtMs = createKeyTimes(createSpreadRandom(3), 60);
		const list = (times: readonly number[]) => createSchedule({
			random: new Random(5), seconds: 60, kinds: Object.values(outsideFaults), edges: ['edge-1', 'edge-2'], servers: ['s1', 's2'], changesAtMs: [4000, 9000], keysAtMs: times,
		});
		const others = list([]);
		const added = list(keysAtMs).filter(fault => !others.some(other => other.atMs === fault.atMs && other.kind === fault.kind && other.durationMs === fault.durationMs));
		expect(list(keysAtMs)).to.have.length(others.length + added.length);
		expect(added.length).to.be.greaterThan(5);
		expect(added.every(({target, durationMs}) => target.startsWith('edge-') && durationMs > workspaceBounds.revocationMs)).to.equal(true);
		expect(added.every(({atMs, durationMs}) => keysAtMs.some(time => time >= atMs && time + workspaceBounds.revocationMs <= atMs + durationMs))).to.equal(true);
	});
});
