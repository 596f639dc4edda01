/**
 * Named points in the production code at which fault tests inject failures. Production uses `noStepPoints`, which does
 * nothing; fault tests pass an implementation that acts at a chosen point. It may throw to simulate a failure at that step.
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
	/** Called when the code reaches the step; `owner` is the name of the process or member that runs it. */
	onStep(step: StepName, owner: string): Promise<void> | void;
};

export const noStepPoints: StepPoints = {
	onStep() {
		// No faults are injected in production.
	},
};
