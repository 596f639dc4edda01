/** The steps of planned changes: their order, and the steps in which a change can be cancelled. */
import type {ChangeKind, ChangeStep, PlannedChange} from '@hickorytrack/types/control';

const stepsByKind: Record<ChangeKind, readonly ChangeStep[]> = {
	drain: ['planned', 'draining', 'finished'],
	withdraw: ['planned', 'draining', 'finished'],
	replace: ['planned', 'draining', 'ordering', 'restoring', 'finished'],
	'set-role': ['planned', 'draining', 'ordering', 'restoring', 'finished'],
	'load-model': ['planned', 'ordering', 'finished'],
	'load-adapter': ['planned', 'ordering', 'finished'],
	restore: ['planned', 'restoring', 'finished'],
};

const endSteps: ReadonlySet<ChangeStep> = new Set(['finished', 'cancelled', 'failed']);
const cancellableSteps: ReadonlySet<ChangeStep> = new Set(['planned', 'draining']);

export function isEnded(change: PlannedChange): boolean {
	return endSteps.has(change.step);
}

export function isCancellable(change: PlannedChange): boolean {
	return cancellableSteps.has(change.step);
}

/** Tells whether this kind of change drains the endpoint, which removes its capacity while the change lasts. */
export function hasDrainingStep(kind: ChangeKind): boolean {
	return stepsByKind[kind].includes('draining');
}

/** Tells whether the current step of the change reads from the weight store. */
export function isLoadingWeights(change: PlannedChange): boolean {
	return change.step === 'ordering' && change.kind !== 'replace';
}

export function findNextStep(change: PlannedChange): ChangeStep | undefined {
	const steps = stepsByKind[change.kind];
	return steps[steps.indexOf(change.step) + 1];
}

/** Tells whether a change may move to a step. A change can fail in any step before it has ended. */
export function isAllowedTransition(change: PlannedChange, to: ChangeStep): boolean {
	return !isEnded(change) && (to === 'failed' || findNextStep(change) === to);
}
