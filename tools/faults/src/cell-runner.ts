/** Runs one cell: the operations of the step, the faults when the step is reached, the end of the faults, the invariant checks. */
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
	seed: number;
	/** Called before the operations start; tests use it to introduce a defect that a check must detect. */
	onFleetReady?: (fleet: FaultFleet) => void;
	checks?: readonly Invariant[];
};

const missedChangeCount = 500;
const concurrentChanges = 25;
/** A step in the background, such as the end of a change, can be reached after the operation is answered. */
const stepTimeoutMs = 8000;
const longStreamTokens = 400;
const shortStreamTokens = 40;

export async function runCell(cell: Cell, opts: CellRunOptions): Promise<CellResult> {
	const {clock} = opts;
	const startedAt = clock.monotonic();
	const fleet = new FaultFleet(opts);
	const observations = createObservations();
	const createResult = (outcome: CellResult['outcome'], failures: string[]): CellResult => ({
		cell, outcome, failures, seconds: (clock.monotonic() - startedAt) / 1000,
	});
	try {
		await fleet.start();
		await waitUntil(fleet.clock, () => fleet.findLeader() !== undefined);
		const names = fleet.instances.map(instance => instance.name);
		await putContract(fleet, observations, {share: 1, expectedVersion: 0, instances: [...names, ...names, ...names, ...names]});
		const isServing = await waitUntilServing(fleet);
		if (!isServing || observations.writes[0]?.outcome !== 'accepted') {
			return createResult('failed', [`the fleet did not start: ${JSON.stringify(observations.writes)}`]);
		}

		opts.onFleetReady?.(fleet);
		const isReached = await runWithFault(fleet, observations, cell);
		const failures = await checkInvariants(fleet, observations, opts.checks ?? invariants);
		return createResult(failures.length > 0 ? 'failed' : (isReached ? 'passed' : 'not-reached'), failures);
	} catch (error) {
		return createResult('failed', [`the cell stopped with an error: ${error instanceof Error ? error.stack ?? error.message : String(error)}`]);
	} finally {
		await fleet.stop();
	}
}

async function checkInvariants(fleet: FaultFleet, observations: Observations, checks: readonly Invariant[]): Promise<string[]> {
	const failures: string[] = [];
	for (const {name, check} of checks) {
		const violations = await check(fleet, observations);
		failures.push(...violations.map(text => `${name}: ${text}`));
	}

	return failures;
}

/** Runs the operations and injects the faults when the step is reached for the first time. */
async function runWithFault(fleet: FaultFleet, observations: Observations, cell: Cell): Promise<boolean> {
	let reached: {owner: string} | undefined;
	let faultsEnded: Promise<void> | undefined;
	fleet.onStep = (step, owner) => {
		if (step !== cell.step || reached) {
			return;
		}

		reached = {owner};
		faultsEnded = applyFaults(fleet, observations, {cell, owner});
	};

	await runOperations(fleet, observations, cell);
	await waitUntil(fleet.clock, () => reached !== undefined, stepTimeoutMs);
	await faultsEnded;
	fleet.clearFaults();
	await startStoppedProcesses(fleet);
	return reached !== undefined;
}

async function startStoppedProcesses(fleet: FaultFleet): Promise<void> {
	for (const fleetProcess of fleet.processes.values()) {
		if (!fleetProcess.kernel) {
			await fleet.startProcess(fleetProcess.name);
		}
	}
}

async function runOperations(fleet: FaultFleet, observations: Observations, cell: Cell): Promise<void> {
	if (cell.step.startsWith('request.')) {
		await runRequests(fleet, observations);
	} else if (cell.step.startsWith('control.')) {
		await runWrites(fleet, observations);
	} else if (cell.step.startsWith('change.')) {
		await runRoleChange(fleet, observations);
	} else {
		await runMembershipOperations(fleet, observations, cell.step);
	}
}

async function runRequests(fleet: FaultFleet, observations: Observations): Promise<void> {
	const names = fleet.instances.map(instance => instance.name);
	await Promise.all([
		...names.map(async (entry, index) => runGeneration(fleet, observations, {entry, prompt: `long question ${index}`, maxTokens: longStreamTokens})),
		...names.map(async (entry, index) => runGeneration(fleet, observations, {entry, prompt: `short question ${index}`, maxTokens: shortStreamTokens})),
		...names.map(async (_, index) => runDispatch(fleet, observations, {entries: [names[index]!, names[(index + 1) % 3]!, names[(index + 2) % 3]!]})),
	]);
}

async function runWrites(fleet: FaultFleet, observations: Observations): Promise<void> {
	const names = fleet.instances.map(instance => instance.name);
	await Promise.all([
		putContract(fleet, observations, {share: 2, expectedVersion: 1, instances: names}),
		putContract(fleet, observations, {share: 3, expectedVersion: 1, instances: [...names].reverse()}),
		runGeneration(fleet, observations, {entry: names[1]!, prompt: 'question during a change', maxTokens: shortStreamTokens}),
	]);
	await putContract(fleet, observations, {share: 4, expectedVersion: 2, instances: [...names, ...names]});
}

async function runRoleChange(fleet: FaultFleet, observations: Observations): Promise<void> {
	const names = fleet.instances.map(instance => instance.name);
	const streams = names.flatMap((entry, index) => [0, 1].map(async round =>
		runGeneration(fleet, observations, {entry, prompt: `stream ${index} ${round} over a role change`, maxTokens: longStreamTokens})));
	await fleet.clock.sleep(150);
	await startChange(fleet, observations, {method: 'role.set', params: {endpoint: 'engine-1', role: 'decode'}});
	await Promise.all(streams);
}

async function runMembershipOperations(fleet: FaultFleet, observations: Observations, step: StepName): Promise<void> {
	const leader = fleet.findLeader() ?? 'instance-1';
	const others = fleet.instances.map(instance => instance.name).filter(name => name !== leader);
	if (step.startsWith('election.')) {
		await fleet.kill(leader);
		observations.affectedEntries.add(leader);
		await Promise.all([
			putContract(fleet, observations, {share: 2, expectedVersion: 1, instances: [...others, ...others, ...others]}),
			runGeneration(fleet, observations, {entry: others[0]!, prompt: 'question during an election', maxTokens: shortStreamTokens}),
		]);
		return;
	}

	// A controller that lost its disk rejoins: it is added as a learner, installs a snapshot if needed, and is promoted.
	const lost = others[0]!;
	// Writes more records than `snapshotRecords`, so that the member can't catch up from the log alone and needs a snapshot.
	await Promise.all(Array.from({length: concurrentChanges}, async (_, index) => pinRole(fleet, index)));
	observations.affectedEntries.add(lost);
	await fleet.kill(lost);
	await fleet.removeData(lost);
	await putContract(fleet, observations, {share: 2, expectedVersion: 1, instances: [leader, others[1]!, leader]});
	await fleet.startProcess(lost);
	const client = new OperatorClient({server: fleet.getOperatorUrl(leader), timeoutMs: 9000});
	const replaced = await client.call('controller.replace', {id: lost});
	observations.notes.push(`replace: ${replaced.isOk() ? 'done' : replaced.error.message}`);
}

async function applyFaults(fleet: FaultFleet, observations: Observations, opts: {cell: Cell; owner: string}): Promise<void> {
	await Promise.all(opts.cell.faults.map(async (fault, index) => applyFault(fleet, observations, {
		fault, step: opts.cell.step,
		// The second fault is injected into another process.
		owner: index === 0 ? opts.owner : findOtherProcess(fleet, opts.owner),
	})));
}

function findOtherProcess(fleet: FaultFleet, owner: string): string {
	const peers = owner.startsWith('instance') ? fleet.instances : fleet.agents;
	return peers.find(peer => peer.name !== owner && peer.kernel)!.name;
}

/** Injects one fault. Resolves when a temporary fault has ended. */
async function applyFault(fleet: FaultFleet, observations: Observations, opts: {fault: FaultName; owner: string; step: StepName}): Promise<void> {
	const {fault, owner} = opts;
	if (owner.startsWith('instance')) {
		observations.affectedEntries.add(owner);
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
			fleet.stopDelivery(owner);
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
			await applyFleetFault(fleet, observations, opts);
		}
	}
}

/** Injects the faults that are not limited to the process that reached the step. */
async function applyFleetFault(fleet: FaultFleet, observations: Observations, opts: {fault: FaultName; owner: string}): Promise<void> {
	const {fault, owner} = opts;
	const names = fleet.instances.map(instance => instance.name);
	switch (fault) {
		case 'engine-crash': {
			const engine = owner.startsWith('engine') ? owner : 'engine-1';
			observations.crashedEngines.add(engine);
			fleet.engines.get(engine)!.crash();

			break;
		}

		case 'operators-race': {
			await Promise.all([5, 6, 7, 8].map(async share => putContract(fleet, observations, {share, expectedVersion: 2, instances: names})));

			break;
		}

		case 'missed-500': {
			await fleet.kill('engine-3');
			for (let index = 0; index < missedChangeCount; index += concurrentChanges) {
				await Promise.all(Array.from({length: concurrentChanges}, async (_, offset) => pinRole(fleet, index + offset)));
			}

			await fleet.startProcess('engine-3');

			break;
		}

		default: {
			const other = names.find(name => name !== owner && name !== fleet.findLeader()) ?? names[0]!;
			observations.affectedEntries.add(other);
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
