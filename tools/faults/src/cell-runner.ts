/** Runs one cell: the operations of the step, the fault when the step is reached, the end of the fault, the invariants. */
import type {Clock} from '@hickorytrack/clock';
import type {StepName} from '@hickorytrack/step-points';
import {OperatorClient} from '@hickorytrack/hickorytrack/operator-client';
import type {Cell, FaultName} from './cells.js';
import {FaultFleet, leaseMs} from './fault-fleet.js';
import {invariants, type Invariant} from './invariants.js';
import {createObservations, type Observations} from './observations.js';
import {
	putContract, runDispatch, runGeneration, startChange, waitUntil, waitUntilServing,
} from './operations.js';

export type CellResult = {
	cell: Cell;
	outcome: 'passed' | 'failed' | 'not-reached';
	failures: string[];
	seconds: number;
};

export type CellRunOptions = {
	clock: Clock;
	slot: number;
	seed: number;
	/** Changes the fleet before the operations; tests break the product with it. */
	onFleetReady?: (fleet: FaultFleet) => void;
	checks?: readonly Invariant[];
};

const missedChanges = 500;
const changesAtOnce = 25;
/** A step behind the operation, such as the end of a change, may come later than its answer. */
const stepPatienceMs = 8000;
const longStreamTokens = 400;
const shortStreamTokens = 40;

export async function runCell(cell: Cell, opts: CellRunOptions): Promise<CellResult> {
	const {clock} = opts;
	const startedAt = clock.monotonic();
	const fleet = new FaultFleet(opts);
	const seen = createObservations();
	const finish = (outcome: CellResult['outcome'], faults: string[]): CellResult => ({
		cell, outcome, failures: faults, seconds: (clock.monotonic() - startedAt) / 1000,
	});
	try {
		await fleet.start();
		await waitUntil(fleet.clock, () => fleet.findLeader() !== undefined);
		const names = fleet.instances.map(instance => instance.name);
		await putContract(fleet, seen, {share: 1, expectedVersion: 0, instances: [...names, ...names, ...names, ...names]});
		const isServing = await waitUntilServing(fleet);
		if (!isServing || seen.writes[0]?.outcome !== 'accepted') {
			return finish('failed', [`the fleet did not start: ${JSON.stringify(seen.writes)}`]);
		}

		opts.onFleetReady?.(fleet);
		const isReached = await runWithFault(fleet, seen, cell);
		const faults = await collectFaults(fleet, seen, opts.checks ?? invariants);
		return finish(faults.length > 0 ? 'failed' : (isReached ? 'passed' : 'not-reached'), faults);
	} catch (error) {
		return finish('failed', [`the cell broke: ${error instanceof Error ? error.stack ?? error.message : String(error)}`]);
	} finally {
		await fleet.stop();
	}
}

async function collectFaults(fleet: FaultFleet, seen: Observations, checks: readonly Invariant[]): Promise<string[]> {
	const faults: string[] = [];
	for (const {name, check} of checks) {
		const found = await check(fleet, seen);
		faults.push(...found.map(text => `${name}: ${text}`));
	}

	return faults;
}

/** Runs the operations and applies the faults at the first time that the step is reached. */
async function runWithFault(fleet: FaultFleet, seen: Observations, cell: Cell): Promise<boolean> {
	let reached: {owner: string} | undefined;
	let endFaults: Promise<void> | undefined;
	fleet.listener = (step, owner) => {
		if (step !== cell.step || reached) {
			return;
		}

		reached = {owner};
		endFaults = applyFaults(fleet, seen, {cell, owner});
	};

	await runOperations(fleet, seen, cell);
	await waitUntil(fleet.clock, () => reached !== undefined, stepPatienceMs);
	await endFaults;
	fleet.clearFaults();
	await reviveAll(fleet);
	return reached !== undefined;
}

async function reviveAll(fleet: FaultFleet): Promise<void> {
	for (const one of fleet.processes.values()) {
		if (!one.kernel) {
			await fleet.startProcess(one.name);
		}
	}
}

async function runOperations(fleet: FaultFleet, seen: Observations, cell: Cell): Promise<void> {
	if (cell.step.startsWith('request.')) {
		await runRequests(fleet, seen);
	} else if (cell.step.startsWith('control.')) {
		await runWrites(fleet, seen);
	} else if (cell.step.startsWith('change.')) {
		await runRoleChange(fleet, seen);
	} else {
		await runMemberWork(fleet, seen, cell.step);
	}
}

async function runRequests(fleet: FaultFleet, seen: Observations): Promise<void> {
	const names = fleet.instances.map(instance => instance.name);
	await Promise.all([
		...names.map(async (entry, index) => runGeneration(fleet, seen, {entry, prompt: `long question ${index}`, maxTokens: longStreamTokens})),
		...names.map(async (entry, index) => runGeneration(fleet, seen, {entry, prompt: `short question ${index}`, maxTokens: shortStreamTokens})),
		...names.map(async (_, index) => runDispatch(fleet, seen, {entries: [names[index]!, names[(index + 1) % 3]!, names[(index + 2) % 3]!]})),
	]);
}

async function runWrites(fleet: FaultFleet, seen: Observations): Promise<void> {
	const names = fleet.instances.map(instance => instance.name);
	await Promise.all([
		putContract(fleet, seen, {share: 2, expectedVersion: 1, instances: names}),
		putContract(fleet, seen, {share: 3, expectedVersion: 1, instances: [...names].reverse()}),
		runGeneration(fleet, seen, {entry: names[1]!, prompt: 'question during a change', maxTokens: shortStreamTokens}),
	]);
	await putContract(fleet, seen, {share: 4, expectedVersion: 2, instances: [...names, ...names]});
}

async function runRoleChange(fleet: FaultFleet, seen: Observations): Promise<void> {
	const names = fleet.instances.map(instance => instance.name);
	const streams = names.flatMap((entry, index) => [0, 1].map(async round =>
		runGeneration(fleet, seen, {entry, prompt: `stream ${index} ${round} over a role change`, maxTokens: longStreamTokens})));
	await fleet.clock.sleep(150);
	await startChange(fleet, seen, {method: 'role.set', params: {endpoint: 'engine-1', role: 'decode'}});
	await Promise.all(streams);
}

async function runMemberWork(fleet: FaultFleet, seen: Observations, step: StepName): Promise<void> {
	const leader = fleet.findLeader() ?? 'instance-1';
	const others = fleet.instances.map(instance => instance.name).filter(name => name !== leader);
	if (step.startsWith('election.')) {
		await fleet.kill(leader);
		seen.affectedEntries.add(leader);
		await Promise.all([
			putContract(fleet, seen, {share: 2, expectedVersion: 1, instances: [...others, ...others, ...others]}),
			runGeneration(fleet, seen, {entry: others[0]!, prompt: 'question during an election', maxTokens: shortStreamTokens}),
		]);
		return;
	}

	// A controller loses its disk and is taken back: a new member, a snapshot where one is needed, and its promotion.
	const lost = others[0]!;
	// Enough records for a snapshot, so that the log alone can't bring the member back.
	await Promise.all(Array.from({length: changesAtOnce}, async (_, index) => pinRole(fleet, index)));
	seen.affectedEntries.add(lost);
	await fleet.kill(lost);
	await fleet.removeData(lost);
	await putContract(fleet, seen, {share: 2, expectedVersion: 1, instances: [leader, others[1]!, leader]});
	await fleet.startProcess(lost);
	const client = new OperatorClient({server: fleet.getOperatorUrl(leader), timeoutMs: 9000});
	const replaced = await client.call('controller.replace', {id: lost});
	seen.notes.push(`replace: ${replaced.isOk() ? 'done' : replaced.error.message}`);
}

async function applyFaults(fleet: FaultFleet, seen: Observations, opts: {cell: Cell; owner: string}): Promise<void> {
	await Promise.all(opts.cell.faults.map(async (fault, index) => applyFault(fleet, seen, {
		fault, step: opts.cell.step,
		// The second of two faults hits another process.
		owner: index === 0 ? opts.owner : pickOther(fleet, opts.owner),
	})));
}

function pickOther(fleet: FaultFleet, owner: string): string {
	const peers = owner.startsWith('instance') ? fleet.instances : fleet.agents;
	return peers.find(one => one.name !== owner && one.kernel)!.name;
}

/** Applies one fault and resolves when it is over. */
async function applyFault(fleet: FaultFleet, seen: Observations, opts: {fault: FaultName; owner: string; step: StepName}): Promise<void> {
	const {fault, owner} = opts;
	if (owner.startsWith('instance')) {
		seen.affectedEntries.add(owner);
	}

	switch (fault) {
		case 'kill': {
			await fleet.kill(owner);
			await fleet.clock.sleep(leaseMs / 2);
			await fleet.startProcess(owner);
			return;
		}

		case 'pause': {
			fleet.pause(owner);
			await fleet.clock.sleep(leaseMs * 2);
			fleet.resume(owner);
			return;
		}

		case 'partition':
		case 'partition-in':
		case 'partition-out': {
			fleet.isolate(owner, {incoming: fault !== 'partition-out', outgoing: fault !== 'partition-in'});
			await fleet.clock.sleep(leaseMs * 1.5);
			fleet.clearFaults();
			return;
		}

		case 'silent-connections': {
			fleet.silenceConnections(owner);
			return;
		}

		case 'reset': {
			fleet.resetConnections(owner);
			return;
		}

		case 'late': {
			fleet.addDelay(owner, 150);
			await fleet.clock.sleep(leaseMs);
			fleet.clearFaults();
			return;
		}

		default: {
			await applyWiderFault(fleet, seen, opts);
		}
	}
}

/** Faults that touch more than one process. */
async function applyWiderFault(fleet: FaultFleet, seen: Observations, opts: {fault: FaultName; owner: string}): Promise<void> {
	const {fault, owner} = opts;
	const names = fleet.instances.map(instance => instance.name);
	switch (fault) {
		case 'engine-crash': {
			const engine = owner.startsWith('engine') ? owner : 'engine-1';
			seen.crashedEngines.add(engine);
			fleet.engines.get(engine)!.crash();

			break;
		}

		case 'operators-race': {
			await Promise.all([5, 6, 7, 8].map(async share => putContract(fleet, seen, {share, expectedVersion: 2, instances: names})));

			break;
		}

		case 'missed-500': {
			await fleet.kill('engine-3');
			for (let index = 0; index < missedChanges; index += changesAtOnce) {
				await Promise.all(Array.from({length: changesAtOnce}, async (_, offset) => pinRole(fleet, index + offset)));
			}

			await fleet.startProcess('engine-3');

			break;
		}

		default: {
			const other = names.find(name => name !== owner && name !== fleet.findLeader()) ?? names[0]!;
			seen.affectedEntries.add(other);
			await fleet.kill(other);
			await fleet.clock.sleep(leaseMs / 2);
			await fleet.startProcess(other);
		}
	}
}

async function pinRole(fleet: FaultFleet, index: number): Promise<void> {
	const client = new OperatorClient({server: fleet.getOperatorUrl('instance-1'), timeoutMs: 4000});
	await client.call('role.pin', {changeId: `missed-${index}`, endpoint: 'engine-3', pinned: index % 2 === 0});
}
