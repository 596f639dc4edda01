/**
 * Named points in the product's code. Production uses `noStepPoints`, which does nothing; fault tests pass an
 * implementation that acts at a chosen point. A point may throw to stand for a failure at exactly that step.
 */

export const stepNames = [
	'request.authenticated',
	'request.claimed',
	'request.handed-to-agent',
	'request.handed-to-engine',
	'request.first-piece',
	'request.mid-stream',
	'request.last-piece',
	'request.outcome-recorded',
	'request.answered',
	'control.proposed',
	'control.synced-on-leader',
	'control.committed',
	'control.answered',
	'control.pushed',
	'control.confirmed',
	'change.started',
	'change.drained',
	'change.ordered',
	'change.finished',
	'election.started',
	'election.won',
	'snapshot.installed',
	'member.added',
] as const;

export type StepName = typeof stepNames[number];

export type StepPoints = {
	/** Called when the code reaches the step; `owner` names the process or member that does. */
	onStep(step: StepName, owner: string): Promise<void> | void;
};

export const noStepPoints: StepPoints = {
	onStep() {
		// Production has no one to tell.
	},
};
