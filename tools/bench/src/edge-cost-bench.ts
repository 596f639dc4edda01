/**
 * Processor time, wake-ups, system calls and bytes of an edge for each request and for each idle second, on a leaf and on a
 * member of the core. Ten edges of the bundled daemon, thirty servers and their callers run on loopback.
 * `npm run bench -- edge-cost --seed N [--seconds S] [--cpu-prof EDGE] [--against BUNDLE] [--node-flags LIST]
 * [--against-flags LIST]`; with a profile, the largest self times under load are printed.
 */
import {fork, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdir, mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@hickorytrack/clock';
import {Random} from '@hickorytrack/random';
import {acquireAddressBlock} from '@hickorytrack/stand-ins/address-block';
import {request} from 'undici';
import {edgePorts} from './edge-process.js';
import {costHost, type EdgeCostCommand, type EdgeCostCounts} from './edge-cost-names.js';
import {readActivity, type ProcessActivity} from './process-usage.js';
import {listSelfTimes, type CpuProfile, type SelfTime} from './self-times.js';

export type EdgeCostOptions = {
	clock: Clock;
	seed: number;
	/** Length of each of the two measurements, in seconds. */
	seconds: number;
	/** Name of the edge of which a profile is taken, for example `edge-4`. */
	profiled?: string;
	/** Path of another bundle, which every second edge runs, so that both are measured under the same conditions. */
	against?: string;
	/** Flags of Node.js for the edges, and for those that run the other bundle. */
	nodeFlags: readonly string[];
	againstFlags: readonly string[];
};

/** Means over the edges of one kind. */
type Cost = {
	cpuMs: number;
	helperMs: number;
	wakeups: number;
	systemCalls: number;
	readKb: number;
	writtenKb: number;
	/** Largest of the edges, since their starts. */
	peakMb: number;
};

export type EdgeCosts = {
	/** For each second without requests. */
	idleSecond: {leaf: Cost; core: Cost};
	/** For each request, idle work included. */
	request: {leaf: Cost; core: Cost};
};

export type EdgeCostResult = EdgeCosts & {
	/** Of the other bundle. */
	against?: EdgeCosts;
	requests: number;
	answers: Record<string, number>;
	/** Calls to servers during the load, by kind. */
	calls: Record<string, number>;
};

const rootUrl = new URL('../../../../', import.meta.url);
const bundlePath = fileURLToPath(new URL('target/hickorytrackd.mjs', rootUrl));
const profilePath = fileURLToPath(new URL('target/edge-cost.cpuprofile', rootUrl));
const loadPath = fileURLToPath(new URL('edge-cost-load.js', import.meta.url));
const edges = 10;
const coreMembers = 4;
const zones = 3;
const firstHost = 10;
const requestsPerSecond = 22;
const heapMb = 160;
const memoryMb = 250;
const settleMs = 6000;
const pollMs = 50;
const bytesPerKb = 1024;
const bytesPerMb = 1024 * 1024;
const listedSelfTimes = 45;
/** Longer than those of a deployment, so that a busy machine causes no refusals. */
const objectiveMs = 900;
const timeoutMs = 14_000;

const route = {host: costHost, priority: 0, 'max-attempts': 2};
const configuration = {
	version: 1,
	services: [
		{
			name: 'model', 'health-path': '/healthz', 'max-conns': 64, engine: {
				slots: 16, 'kv-tokens': 400_000, 'handle-ttl-s': 10, 'switch-s': 2,
			},
		},
		{name: 'plain', 'health-path': '/healthz', 'max-conns': 64},
	],
	routes: [
		{
			...route, name: 'dossier', kind: 'streaming', 'path-prefix': '/dossier/', service: 'model', 'timeout-ms': timeoutMs, 'slo-ms': objectiveMs, 'gap-slo-ms': objectiveMs, sticky: true,
		},
		{
			...route, name: 'payout', kind: 'non_idempotent', 'path-prefix': '/payout/', service: 'plain', 'timeout-ms': timeoutMs, 'slo-ms': objectiveMs,
		},
		{
			...route, name: 'status', kind: 'idempotent', 'path-prefix': '/status/', service: 'plain', 'timeout-ms': timeoutMs, 'slo-ms': objectiveMs,
		},
	],
};

type Bundle = {path: string; flags: readonly string[]};
type Edge = {name: string; ip: string; isCore: boolean; bundle: Bundle; child: ChildProcess};

export async function benchEdgeCost(opts: EdgeCostOptions): Promise<EdgeCostResult> {
	const {clock, seed, seconds, profiled, against, nodeFlags, againstFlags} = opts;
	const bundles = {own: {path: bundlePath, flags: nodeFlags}, other: {path: path.resolve(against ?? bundlePath), flags: againstFlags}};
	await once(spawn(process.execPath, ['scripts/bundle.mjs'], {cwd: rootUrl, stdio: 'inherit'}), 'exit');
	const block = await acquireAddressBlock(new Random(seed));
	const folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-cost-'));
	const ips = Array.from({length: edges}, (_, index) => block.getIp(firstHost + index));
	const fleet = await Promise.all(ips.map(async (_, index) => startEdge(index, {
		ips, folder, profiled, bundle: against !== undefined && index % 2 === 1 ? bundles.other : bundles.own,
	})));
	const load = fork(loadPath);
	try {
		await putConfiguration(clock, ips[0]!);
		const fronts = ips.map(ip => `${ip}:${edgePorts.front}`);
		await runCommand(load, {kind: 'serve', controls: ips.map(ip => `${ip}:${edgePorts.control}`), seed});
		await clock.sleep(settleMs);
		const idle = await measure(clock, fleet, seconds);
		await runCommand(load, {kind: 'load', fronts, perSecond: requestsPerSecond});
		await clock.sleep(settleMs);
		const countsBefore = await runCommand(load, {kind: 'count'});
		const before = sumCounts(countsBefore, fronts);
		const beganAt = process.hrtime.bigint();
		const busy = await measure(clock, fleet, seconds);
		const endedAt = process.hrtime.bigint();
		const countsAfter = await runCommand(load, {kind: 'count'});
		const after = sumCounts(countsAfter, fronts);
		await runCommand(load, {kind: 'load', fronts, perSecond: 0});
		const answers = Object.fromEntries(Object.entries(after).map(([status, count]) => [status, count - (before[status] ?? 0)]));
		const requests = Object.values(answers).reduce((sum, count) => sum + count, 0);
		if (profiled !== undefined) {
			printSelfTimes(await readProfile({
				fleet, folder, profiled, beganAt, endedAt,
			}), seconds);
		}

		const computeCosts = (bundle: Bundle): EdgeCosts => {
			const ofBundle = fleet.filter(edge => edge.bundle === bundle);
			const averageOf = (usages: readonly ProcessActivity[], units: number) => ({leaf: average(usages, {fleet, chosen: ofBundle.filter(edge => !edge.isCore), units}), core: average(usages, {fleet, chosen: ofBundle.filter(edge => edge.isCore), units})});
			return {idleSecond: averageOf(idle, seconds), request: averageOf(busy, requests / edges)};
		};

		return {
			...computeCosts(bundles.own), against: against === undefined ? undefined : computeCosts(bundles.other), requests, answers, calls: Object.fromEntries(Object.entries(countsAfter.calls!).map(([kind, count]) => [kind, count - countsBefore.calls![kind]!])),
		};
	} finally {
		load.disconnect();
		await Promise.all(fleet.map(async edge => stopEdge(edge, 'SIGKILL')));
		await rm(folder, {recursive: true, force: true});
		block.release();
	}
}

async function startEdge(index: number, {ips, folder, profiled, bundle}: {ips: readonly string[]; folder: string; profiled: string | undefined; bundle: Bundle}): Promise<Edge> {
	const name = `edge-${index + 1}`;
	const ip = ips[index]!;
	const isCore = index < coreMembers;
	const dataFolder = path.join(folder, name);
	await mkdir(dataFolder);
	const settingsPath = path.join(folder, `${name}.json`);
	await writeFile(settingsPath, JSON.stringify({
		'node-name': name,
		zone: `z${index % zones}`,
		ip,
		listen: {front: `${ip}:${edgePorts.front}`, 'ready-addr': `${ip}:${edgePorts.ready}`, control: `${ip}:${edgePorts.control}`},
		'port-range': [edgePorts.peer, edgePorts.peer],
		seeds: ips.slice(0, coreMembers).map(seed => `${seed}:${edgePorts.control}`),
		bootstrap: true,
		'bears-loss': isCore,
		'data-dir': isCore ? dataFolder : undefined,
		'heartbeat-ms': 1200,
		'fault-tolerance': {machines: 1},
		limits: {'memory-mb': memoryMb},
	}));
	const profileFlags = name === profiled ? ['--cpu-prof', `--cpu-prof-dir=${dataFolder}`] : [];
	const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, ...bundle.flags, ...profileFlags, bundle.path, '--stage-planner', 'keep-stages'], {env: {HICKORYTRACK_BOOT: settingsPath}, stdio: 'ignore'});
	return {
		name, ip, isCore, bundle, child,
	};
}

async function stopEdge({child}: Edge, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
	if (child.exitCode === null && child.signalCode === null) {
		const ended = once(child, 'exit');
		child.kill(signal);
		await ended;
	}
}

async function putConfiguration(clock: Clock, ip: string): Promise<void> {
	for (;;) {
		try {
			const response = await request(`http://${ip}:${edgePorts.control}/api/Config.Put`, {method: 'POST', body: JSON.stringify(configuration)});
			await response.body.dump();
			if (response.statusCode === 200) {
				return;
			}
		} catch {
			// It does not listen yet.
		}

		await clock.sleep(pollMs);
	}
}

/** Commands run one at a time. */
async function runCommand(load: ChildProcess, command: EdgeCostCommand): Promise<EdgeCostCounts> {
	const answered = once(load, 'message');
	load.send(command);
	const [counts] = await answered as [EdgeCostCounts];
	return counts;
}

async function measure(clock: Clock, fleet: readonly Edge[], seconds: number): Promise<ProcessActivity[]> {
	const read = async () => Promise.all(fleet.map(async ({child}) => readActivity(child.pid!)));
	const before = await read();
	await clock.sleep(seconds * 1000);
	const after = await read();
	return after.map((usage, index) => {
		const earlier = before[index]!;
		return {
			cpuMs: usage.cpuMs - earlier.cpuMs, helperMs: usage.helperMs - earlier.helperMs, wakeups: usage.wakeups - earlier.wakeups, systemCalls: usage.systemCalls - earlier.systemCalls, readBytes: usage.readBytes - earlier.readBytes, writtenBytes: usage.writtenBytes - earlier.writtenBytes, peakBytes: usage.peakBytes,
		};
	});
}

function average(usages: readonly ProcessActivity[], {fleet, chosen: edgesOfKind, units}: {fleet: readonly Edge[]; chosen: readonly Edge[]; units: number}): Cost {
	const chosen = usages.filter((_, index) => edgesOfKind.includes(fleet[index]!));
	const compute = (read: (usage: ProcessActivity) => number, divisor = 1) => Number((chosen.reduce((sum, usage) => sum + read(usage), 0) / chosen.length / units / divisor).toFixed(2));
	return {
		cpuMs: compute(usage => usage.cpuMs), helperMs: compute(usage => usage.helperMs), wakeups: compute(usage => usage.wakeups), systemCalls: compute(usage => usage.systemCalls), readKb: compute(usage => usage.readBytes, bytesPerKb), writtenKb: compute(usage => usage.writtenBytes, bytesPerKb), peakMb: Math.round(Math.max(...chosen.map(usage => usage.peakBytes)) / bytesPerMb),
	};
}

function sumCounts(counts: EdgeCostCounts, fronts: readonly string[]): Record<string, number> {
	const sum: Record<string, number> = {};
	for (const front of fronts) {
		for (const [status, count] of Object.entries(counts[front] ?? {})) {
			sum[status] = (sum[status] ?? 0) + count;
		}
	}

	return sum;
}

/** An edge writes its profile when it ends by itself. */
async function readProfile({fleet, folder, profiled, beganAt, endedAt}: {fleet: readonly Edge[]; folder: string; profiled: string; beganAt: bigint; endedAt: bigint}): Promise<SelfTime[]> {
	const edge = fleet.find(({name}) => name === profiled);
	if (!edge) {
		throw new Error(`There is no edge "${profiled}"`);
	}

	await stopEdge(edge, 'SIGTERM');
	const names = await readdir(path.join(folder, profiled));
	const name = names.find(file => file.endsWith('.cpuprofile'))!;
	const text = await readFile(path.join(folder, profiled, name), 'utf8');
	await writeFile(profilePath, text);
	return listSelfTimes(JSON.parse(text) as CpuProfile, {fromUs: Number(beganAt / 1000n), toUs: Number(endedAt / 1000n)});
}

function printSelfTimes(selfTimes: readonly SelfTime[], seconds: number): void {
	for (const {place, ms} of selfTimes.slice(0, listedSelfTimes)) {
		console.log(`${(ms / seconds).toFixed(2).padStart(8)} ms/s  ${place}`);
	}
}
