/** The cells of the fault matrix: every fault at every step of every operation, and randomly sampled pairs of faults. */
import {Random} from '@hickorytrack/random';
import {stepNames, type StepName} from '@hickorytrack/step-points';

export const faultNames = [
	'kill', 'pause', 'partition', 'partition-in', 'partition-out', 'silent-connections', 'reset', 'late', 'engine-crash', 'operators-race', 'missed-500', 'second-loss',
] as const;
export type FaultName = typeof faultNames[number];

export type Cell = {
	step: StepName;
	/** One fault, or two that are injected at the same time. */
	faults: FaultName[];
};

const processFaults: FaultName[] = ['kill', 'pause', 'partition', 'partition-in', 'partition-out', 'silent-connections', 'reset', 'late'];

function listFaults(step: StepName): FaultName[] {
	if (step.startsWith('request.') || step.startsWith('change.')) {
		return [...processFaults, 'engine-crash'];
	}

	if (step.startsWith('control.')) {
		return [...processFaults, 'operators-race', 'missed-500'];
	}

	return step === 'member.added' || step === 'snapshot.installed' ? [...processFaults, 'second-loss'] : processFaults;
}

/** Lists a cell for every fault that applies to each step, then `pairs` cells of two faults, sampled with the seed. */
export function listCells(opts: {seed: number; pairs: number}): Cell[] {
	const cells: Cell[] = stepNames.flatMap(step => listFaults(step).map(fault => ({step, faults: [fault]})));
	const random = new Random(opts.seed);
	for (let index = 0; index < opts.pairs; index++) {
		const step = random.select(stepNames);
		const first = random.select(listFaults(step));
		const second = random.select(listFaults(step).filter(fault => fault !== first));
		cells.push({step, faults: [first, second]});
	}

	return cells;
}

export function formatCell(cell: Cell): string {
	return `${cell.step}/${cell.faults.join('+')}`;
}
