/** `control`: failover, changes in force, throughput of changes, catching up, and the cost of control at three sizes. */
import {stat, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {build} from 'hdr-histogram-js';
import type {Clock} from '@hickorytrack/clock';
import {FaultFleet} from '@hickorytrack/faults/fault-fleet';
import {createObservations} from '@hickorytrack/faults/observations';
import {putContract, waitUntil, waitUntilServing} from '@hickorytrack/faults/operations';
import {OperatorClient} from '@hickorytrack/hickorytrack/operator-client';
import {Fleet} from '@hickorytrack/stand-ins/fleet';
import {round} from './placement-bench.js';
import {readUsage} from './process-usage.js';

const failovers = 8;
const changes = 1000;
const inForceSamples = 30;
const idleMs = 8000;
const sizes = [4, 8, 16];
const productTiming = {
	leaseMs: 6000, heartbeatMs: 500, silenceMs: 2000, electionMs: 600, snapshotRecords: 5000,
};

async function pin(fleet: FaultFleet, instance: string, changeId: string): Promise<{revision: number} | undefined> {
	const result = await new OperatorClient({server: fleet.getOperatorUrl(instance), timeoutMs: 3000}).call<{revision: number}>('role.pin', {changeId, endpoint: 'engine-1', pinned: changeId.length % 2 === 0});
	return result.isOk() ? result.value : undefined;
}

async function measureFailover(fleet: FaultFleet, round: number): Promise<number> {
	await waitUntil(fleet.clock, () => fleet.findLeader() !== undefined);
	const leader = fleet.findLeader()!;
	const others = fleet.instances.map(one => one.name).filter(name => name !== leader);
	const startedAt = performance.now();
	await fleet.kill(leader);
	for (let attempt = 0; ; attempt++) {
		const written = await pin(fleet, others[attempt % others.length]!, `failover-${round}-${attempt}`);
		if (written) {
			break;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	const elapsed = performance.now() - startedAt;
	await fleet.startProcess(leader);
	await waitUntilServing(fleet);
	return elapsed;
}

async function measureInForce(fleet: FaultFleet, name: string, index: number): Promise<number> {
	const startedAt = performance.now();
	const written = await pin(fleet, name, `force-${index}${'x'.repeat(index % 2)}`);
	await waitUntil(fleet.clock, () => [...fleet.processes.values()].filter(one => one.kernel).every(one => one.kernel!.context.control.revision >= written!.revision));
	return performance.now() - startedAt;
}

async function measureChanges(fleet: FaultFleet): Promise<{perSecond: number; bytes: number}> {
	const leader = fleet.findLeader()!;
	const file = path.join(fleet.find(leader).settings.data!, 'log');
	const before = await stat(file);
	const startedAt = performance.now();
	let next = 0;
	await Promise.all(Array.from({length: 64}, async () => {
		while (next < changes) {
			next++;
			await pin(fleet, leader, `change-${next}`);
		}
	}));
	const seconds = (performance.now() - startedAt) / 1000;
	const after = await stat(file);
	return {perSecond: changes / seconds, bytes: (after.size - before.size) / changes};
}

async function measureCatchUp(fleet: FaultFleet): Promise<number> {
	await fleet.kill('engine-3');
	await measureChanges2(fleet);
	const {revision} = fleet.find('engine-1').kernel!.context.control;
	const startedAt = performance.now();
	await fleet.startProcess('engine-3');
	await waitUntil(fleet.clock, () => fleet.find('engine-3').kernel!.context.control.revision >= revision);
	return performance.now() - startedAt;
}

async function measureChanges2(fleet: FaultFleet): Promise<void> {
	let next = 0;
	await Promise.all(Array.from({length: 64}, async () => {
		while (next < changes) {
			next++;
			await pin(fleet, fleet.findLeader()!, `catch-up-${next}`);
		}
	}));
}

/** Processor time and traffic of idle processes, in real processes. */
async function measureIdle(agents: number, {clock}: {clock: Clock}): Promise<{agents: number; agentCpuPercent: number; instanceCpuPercent: number; agentMegabytes: number; bytesPerSecond: number}> {
	const fleet = new Fleet({
		clock, basePort: 23_000, zones: ['a', 'b', 'c'], engines: agents, services: [], daemonFlags: ['--log-level', 'warn'],
	});
	try {
		await fleet.start();
		const file = path.join(fleet.folder, 'idle.yaml');
		await writeFile(file, 'workspace: idle\napiKeys: [{id: idle, key: idle-key}]\nmodels: [drafting]\n');
		await fleet.runCli('contract', 'apply', '-f', file, '--wait-seconds', '10');
		const members = [...fleet.agents, ...fleet.instances];
		const before = await Promise.all(members.map(async one => readUsage(one.child.pid!)));
		const bytesBefore = await Promise.all(fleet.agents.map(async one => readTraffic(one.operatorUrl)));
		await new Promise(resolve => {
			setTimeout(resolve, idleMs);
		});
		const after = await Promise.all(members.map(async one => readUsage(one.child.pid!)));
		const bytesAfter = await Promise.all(fleet.agents.map(async one => readTraffic(one.operatorUrl)));
		const percent = (index: number) => (after[index]!.cpuSeconds - before[index]!.cpuSeconds) / idleMs * 1000 * 100;
		const mean = (values: number[]) => values.reduce((sum, one) => sum + one, 0) / values.length;
		return {
			agents,
			agentCpuPercent: round(mean(fleet.agents.map((_, index) => percent(index)))),
			instanceCpuPercent: round(mean(fleet.instances.map((_, index) => percent(agents + index)))),
			agentMegabytes: Math.round(mean(fleet.agents.map((_, index) => after[index]!.residentBytes)) / 1e6),
			bytesPerSecond: Math.round(mean(bytesAfter.map((bytes, index) => bytes - bytesBefore[index]!)) / idleMs * 1000),
		};
	} finally {
		await fleet.stop();
	}
}

async function readTraffic(server: string): Promise<number> {
	const result = await new OperatorClient({server}).call<{traffic: {sentBytes: number; receivedBytes: number}}>('state.dump');
	return result.map(state => state.traffic.sentBytes + state.traffic.receivedBytes).unwrapOr(0);
}

export async function benchControl(seed: number, {clock}: {clock: Clock}): Promise<Record<string, unknown>> {
	const fleet = new FaultFleet({
		clock, slot: 41, seed, settings: productTiming,
	});
	const seen = createObservations();
	const failover = build();
	const inForce = build();
	try {
		await fleet.start();
		await waitUntil(fleet.clock, () => fleet.findLeader() !== undefined);
		const names = fleet.instances.map(one => one.name);
		await putContract(fleet, seen, {share: 1, expectedVersion: 0, instances: [...names, ...names, ...names]});
		await waitUntilServing(fleet);
		const throughput = await measureChanges(fleet);
		console.log('changes', JSON.stringify(throughput));
		const catchUp = await measureCatchUp(fleet);
		console.log('catch up', catchUp);
		for (let index = 0; index < failovers; index++) {
			const elapsed = await measureFailover(fleet, index);
			console.log('failover', elapsed);
			failover.recordValue(elapsed);
		}

		const dead = names.find(name => name !== fleet.findLeader())!;
		await fleet.kill(dead);
		for (let index = 0; index < inForceSamples; index++) {
			inForce.recordValue(Math.max(1, Math.round(await measureInForce(fleet, fleet.findLeader()!, index))));
		}

		await fleet.startProcess(dead);
		await fleet.stop();
		const bySize = [];
		for (const agents of sizes) {
			bySize.push(await measureIdle(agents, {clock}));
		}

		return {
			failoverP95Ms: failover.getValueAtPercentile(95),
			changeInForceP95Ms: inForce.getValueAtPercentile(95),
			changesPerSecond: Math.round(throughput.perSecond),
			catchUpMsPer1000Changes: Math.round(catchUp / changes * 1000),
			logBytesPerChange: Math.round(throughput.bytes),
			controlBytesPerSecondPerNode: Math.max(...bySize.map(one => one.bytesPerSecond)),
			controlCpuPercentPerNode: Math.max(...bySize.map(one => one.agentCpuPercent)),
			bySize,
		};
	} finally {
		await fleet.stop().catch(() => undefined);
	}
}
