/** One run of the soak: starts the processes, lets callers, operator and faults work, stops, and checks the records. */
import {setMaxListeners} from 'node:events';
import {mkdirSync} from 'node:fs';
import {readFile, readdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {Clock} from '@hickorytrack/clock';
import {Random} from '@hickorytrack/random';
import {acquireAddressBlock} from '@hickorytrack/stand-ins/address-block';
import {Caller} from './caller.js';
import {checkAnswers} from './check-answers.js';
import {checkBudget, findBudgetUses} from './check-budget.js';
import {checkCrashingPart} from './check-crashing-part.js';
import {checkConfiguration} from './check-configuration.js';
import {checkErrorEvents, checkForeignCalls, checkSoundRequests} from './check-foreign-writer.js';
import {checkLimit, findLimitUses} from './check-limit.js';
import {checkLost} from './check-lost.js';
import {checkOverdue} from './check-overdue.js';
import {checkSharedWork} from './check-shared-work.js';
import {checkKeys, checkKeysInLogs} from './check-keys.js';
import {checkDuties, checkUsage, countUsageWindows} from './check-usage.js';
import {checkVersions, countTakeUps} from './check-versions.js';
import {edgePorts, graceMs} from './edge-process.js';
import {FaultRunner} from './fault-runner.js';
import {partCrash} from './crashing-part.js';
import {createChangeTimes, createSchedule, lateFaults} from './fault-schedule.js';
import {allOutsideFaults} from './faults.js';
import {foreignFaults, ForeignWriter} from './foreign-writer.js';
import {Infrastructure} from './infrastructure.js';
import {soakProcess, watchLoop} from './loop-lag.js';
import {Operator} from './operator.js';
import type {
	CallerRecord, ForeignCall, LagRecord, RuleCase, ServerRecord, SoakRecords, SoakRoute,
} from './records.js';
import {SoakFleet} from './soak-fleet.js';
import {createSpreadRandom} from './spread-random.js';
import {
	createKeyTimes, KeyOwners, workspaceBounds, workspaceFaults,
} from './workspaces.js';

export type SoakOptions = {
	clock: Clock;
	seed: number;
	seconds: number;
	edges: number;
	servers: number;
	callers: number;
	faults: readonly string[];
	/** Receives settings, logs and records. */
	folder: string;
};

export type SoakResult = {
	cases: RuleCase[];
	summary: Record<string, number>;
};

const host = 'soak.example';
const routes: readonly SoakRoute[] = [
	{
		name: 'once', kind: 'non_idempotent', service: 'plain', isResumable: false, maxServers: 2,
	},
	{
		name: 'again', kind: 'idempotent', service: 'plain', isResumable: false, maxServers: 3,
	},
	{
		name: 'tell', kind: 'streaming', service: 'model', isResumable: false, maxServers: 2,
	},
	{
		name: 'talk', kind: 'streaming', service: 'model', isResumable: true, maxServers: 3,
	},
	{
		name: 'spare', kind: 'non_idempotent', service: 'plain', isResumable: false, maxServers: 2, isOptional: true,
	},
	{
		name: 'spare-talk', kind: 'streaming', service: 'model', isResumable: true, maxServers: 3, isOptional: true,
	},
];
/** Callers need no key for it where the configuration has workspaces. */
const publicRoute = 'again';
const bounds = {ratio: 0.1, slack: 30, windowMs: 10_000};
/** A request that was refused may still run; the run waits this long before it stops the servers. */
const settleMs = 4000;
const seedRange = 2 ** 31;

/** Runs the soak for one seed. */
export async function runSoak(opts: SoakOptions): Promise<SoakResult> {
	const {clock, seed, folder, edges, servers, faults} = opts;
	mkdirSync(folder, {recursive: true});
	const random = new Random(seed);
	const block = await acquireAddressBlock(random);
	const fleet = new SoakFleet({
		clock, random: createRandom(random), block, edges, servers, faults, bounds, folder,
	});
	try {
		const records = await runFleet(fleet, createRandom(random), opts);
		const cases: RuleCase[] = [...checkAnswers(records), ...checkBudget(records), ...checkConfiguration(records), ...checkLost(records), ...checkLimit(records), ...checkCrashingPart(records), ...checkVersions(records), ...checkSharedWork(records), ...checkOverdue(records), ...checkKeys(records), ...checkDuties(records), ...checkUsage(records), ...(records.workspaces ? checkKeysInLogs(await readLines(folder, /^edge-\d+\.log$/)) : []), ...(records.foreignCalls ? [...checkForeignCalls(records), ...checkErrorEvents(await readLines(folder, /^edge-\d+\.log$/)), ...checkSoundRequests(records)] : []), ...records.faultCases, ...fleet.endedEdges.map(name => ({rule: 'ENDED', detail: `${name} ended by itself`} as const))];
		await writeLines(path.join(folder, 'cases.jsonl'), cases);
		return {cases, summary: createSummary(records)};
	} finally {
		await fleet.stop();
		block.release();
	}
}

async function runFleet(fleet: SoakFleet, random: Random, {clock, seed, seconds, callers: callerCount, faults, folder}: SoakOptions): Promise<SoakRecords & {faultCases: readonly RuleCase[]}> {
	const callers: CallerRecord[] = [];
	const lags: LagRecord[] = [];
	const abortController = new AbortController();
	const {signal} = abortController;
	setMaxListeners(0, signal);
	const changesAtMs = createChangeTimes(createRandom(random), seconds);
	const hasForeignWriter = Object.values(foreignFaults).some(fault => faults.includes(fault));
	const hasWorkspaces = faults.includes(workspaceFaults.workspaces);
	const usedRoutes = routes.map(route => ({...route, isPublic: hasWorkspaces && route.name === publicRoute}));
	// With a generator of their own, so that a seed keeps its other faults with and without workspaces.
	const keyRandom = createSpreadRandom(seed);
	const keysAtMs = hasWorkspaces ? createKeyTimes(createRandom(keyRandom), seconds) : [];
	const infrastructure = new Infrastructure({clock, random: createRandom(keyRandom), isDisturbed: faults.includes(workspaceFaults.infrastructure)});
	const schedule = createSchedule({
		random: createRandom(random), seconds, kinds: allOutsideFaults.filter(kind => faults.includes(kind)), lateKinds: Object.values(lateFaults).filter(kind => faults.includes(kind)), hasLeaderChanges: hasForeignWriter, edges: fleet.edges.map(({name}) => name), servers: fleet.servers.map(({name}) => name), changesAtMs, keysAtMs,
	});
	await writeLines(path.join(folder, 'schedule.jsonl'), schedule);
	if (hasWorkspaces) {
		await infrastructure.start(fleet.infrastructureAddress);
	}

	await fleet.start();
	const operator = new Operator({
		clock, random: createRandom(random), host, routes: usedRoutes, edges: fleet.edges, faults, keyOwners: hasWorkspaces ? new KeyOwners(createRandom(keyRandom)) : undefined,
	});
	await operator.putNext(signal);
	const stopping = new AbortController();
	void watchLoop({
		clock, server: soakProcess, signal: stopping.signal, record(lag) {
			lags.push(lag);
		},
	});
	const edges = fleet.edges.map(({name, ip}) => ({name, host: ip, port: edgePorts.front}));
	const work = [operator.run(changesAtMs, signal, keysAtMs), ...Array.from({length: callerCount}, async (_, index) => new Caller({
		index, clock, random: createRandom(random), host, routes: usedRoutes, edges, getIdleLimit: () => operator.idleTimeoutMs, faults: new Set(faults), record(record) {
			callers.push(record);
		},
	}).run(signal))];
	const foreignCalls: ForeignCall[] = [];
	if (hasForeignWriter) {
		// Drawn behind all others, so that these keep their times with and without it.
		work.push(new ForeignWriter({
			clock, random: createRandom(random), faults: new Set(faults), edges: fleet.edges, servers: fleet.servers.map(({name}) => name), closedAddresses: fleet.closedAddresses, record(call) {
				foreignCalls.push(call);
			},
		}).run(signal));
	}

	const faultRunner = new FaultRunner({clock, ...fleet, waitForAcknowledgement: async () => operator.waitForAcknowledgement()});
	const faultsEnded = faultRunner.run(schedule);
	await clock.sleep(seconds * 1000);
	abortController.abort();
	await Promise.all([...work, faultsEnded]);
	await clock.sleep(settleMs);
	const readBacks = await operator.readBack();
	await fleet.stopServers();
	infrastructure.stop();
	stopping.abort();
	const serverLines = await readLines(folder, /^s\d+\.jsonl$/);
	const serverRecords = serverLines.map(line => JSON.parse(line) as ServerRecord);
	const readLinesOfEdges = await readLines(folder, /^edge-\d+\.read$/);
	const readRequests = new Map(readLinesOfEdges.map(line => [line.slice(line.indexOf(' ') + 1), Number.parseInt(line, 10)]));
	await writeLines(path.join(folder, 'callers.jsonl'), callers);
	await writeLines(path.join(folder, 'operator.jsonl'), [...operator.records, ...readBacks]);
	await writeLines(path.join(folder, 'foreign.jsonl'), foreignCalls);
	await writeLines(path.join(folder, 'duty-calls.jsonl'), infrastructure.calls);
	await writeLines(path.join(folder, 'disturbances.jsonl'), faultRunner.disturbances);
	return {
		routes: usedRoutes, workspaces: hasWorkspaces ? workspaceBounds : undefined, dutyCalls: infrastructure.calls, bounds, callers, processEnds: fleet.processEnds, disturbances: faultRunner.disturbances, faultCases: faultRunner.cases, graceMs, readRequests, operator: operator.records, foreignCalls: hasForeignWriter ? foreignCalls : undefined, readBacks, edges: edges.map(({name}) => name), ...collectRecords([...serverRecords, ...lags]),
	};
}

function collectRecords(records: readonly ServerRecord[]): Pick<SoakRecords, 'arrivals' | 'outcomes' | 'ends' | 'calls' | 'limits' | 'starts' | 'lags'> {
	return {
		arrivals: records.filter(record => record.type === 'arrival'),
		outcomes: records.filter(record => record.type === 'outcome'),
		ends: records.filter(record => record.type === 'end'),
		calls: records.filter(record => record.type === 'call'),
		limits: records.filter(record => record.type === 'limit'),
		starts: records.filter(record => record.type === 'start'),
		lags: records.filter(record => record.type === 'lag'),
	};
}

function createSummary(records: SoakRecords): Record<string, number> {
	const count = (isCounted: (record: CallerRecord) => boolean) => records.callers.filter(record => isCounted(record)).length;
	return {
		requests: records.callers.length,
		served: count(({end, status}) => end === 'answered' && status === 200),
		refused: count(({end, status}) => end === 'answered' && status === 503),
		failed: count(({end, status}) => end !== 'answered' || (status !== 200 && status !== 503)),
		arrivals: records.arrivals.length,
		runs: records.outcomes.filter(outcome => outcome.hasRun).length,
		budgetUsed: Math.max(0, ...findBudgetUses(records).map(({extra, allowed}) => Math.round(100 * extra / allowed) / 100)),
		limits: records.limits.filter(({perSecond}) => perSecond !== undefined).length,
		limitUsed: Math.max(0, ...findLimitUses(records).map(({count, allowed}) => Math.round(100 * count / allowed) / 100)),
		...countTakeUps(records),
		partCrashes: records.outcomes.filter(({answer}) => answer === partCrash).length,
		configurations: records.operator.filter(({acknowledgedAt}) => acknowledgedAt !== undefined).length,
		...(records.workspaces && {unknownKeys: count(({status}) => status === 401), ...countUsageWindows(records)}),
		...(records.foreignCalls && {foreignCalls: records.foreignCalls.length}),
	};
}

/** Returns the lines of all files whose names match. */
async function readLines(folder: string, pattern: RegExp): Promise<string[]> {
	const names = await readdir(folder);
	const texts = await Promise.all(names.filter(name => pattern.test(name)).map(async name => readFile(path.join(folder, name), 'utf8')));
	return texts.flatMap(text => text.split('\n').filter(line => line !== ''));
}

async function writeLines(file: string, lines: readonly unknown[]): Promise<void> {
	await writeFile(file, lines.map(line => `${JSON.stringify(line)}\n`).join(''));
}

/** Creates a generator of its own for a part of the run, so that the parts do not disturb each other's sequences. */
function createRandom(random: Random): Random {
	return new Random(random.nextInteger(seedRange));
}
