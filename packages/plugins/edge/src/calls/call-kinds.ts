/** Kinds of calls to servers, as events and metrics name them. */
export const callKinds = {
	run: 'run',
	prefill: 'prefill',
	release: 'release',
	stageStatus: 'stage-status',
	stageOrder: 'stage-order',
} as const;
export type CallKind = typeof callKinds[keyof typeof callKinds];
