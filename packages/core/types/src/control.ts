/** Control items: the state that controllers agree on and push to every entry and agent. */
import type {ClaimRequest, ClaimSettlement} from './claim.js';
import type {Contract} from './contract.js';
import type {
	EndpointAnnouncement, EndpointPhase, EngineRole, EngineOrder,
} from './endpoint.js';

/** What the controllers want of an endpoint. */
export type EndpointDirective = {
	endpoint: string;
	phase: EndpointPhase;
	role?: EngineRole;
	/** A pinned role is left alone by the planner. */
	pinned: boolean;
};

export type QuarantineEntry = {
	fingerprint: string;
	workspace: string;
	/** Crashes it was seen in. */
	crashes: number;
	state: 'suspect' | 'quarantined' | 'cleared';
	/** Wall time in milliseconds after which the entry is void. */
	until: number;
};

export type ItemValue =
	| {kind: 'contract'; version: number; contract: Contract}
	| {kind: 'setting'; version: number; name: string; value: string | number | boolean}
	| {kind: 'directive'; directive: EndpointDirective}
	| {kind: 'quarantine'; entry: QuarantineEntry}
	| {kind: 'endpoint'; record: EndpointRecord}
	| {kind: 'removed'; was: string; version: number};

/** One versioned item. Its revision is the index of the log record that wrote it and only rises. */
export type ControlItem = {
	key: string;
	revision: number;
	value: ItemValue;
};

export type ItemPage = {
	/** The page holds everything that was written after this revision. */
	since: number;
	/** The receiver has everything up to this revision once it holds the items. */
	revision: number;
	items: ControlItem[];
};

export type EpochGrant = {
	endpoint: string;
	epoch: number;
	term: number;
	/** Orders may be written to the engine after this wait, in milliseconds. */
	waitMs: number;
};

export const changeKinds = {
	drain: 'drain',
	replace: 'replace',
	withdraw: 'withdraw',
	setRole: 'set-role',
	loadModel: 'load-model',
	loadAdapter: 'load-adapter',
	restore: 'restore',
} as const;
export type ChangeKind = typeof changeKinds[keyof typeof changeKinds];

export const changeSteps = {
	planned: 'planned',
	draining: 'draining',
	ordering: 'ordering',
	restoring: 'restoring',
	finished: 'finished',
	cancelled: 'cancelled',
	failed: 'failed',
} as const;
export type ChangeStep = typeof changeSteps[keyof typeof changeSteps];

/** A planned change: a small durable workflow in the log. */
export type PlannedChange = {
	id: string;
	kind: ChangeKind;
	endpoint: string;
	order?: EngineOrder;
	step: ChangeStep;
	/** Order number used for every order of this change. */
	orderNumber: number;
	requestedBy: string;
	/** Wall time in milliseconds. */
	startedAt: number;
	updatedAt: number;
	message: string;
};

export type EndpointRecord = {
	announcement: EndpointAnnouncement;
	epoch: number;
	agent: string;
	agentIncarnation: string;
	/** Address of the agent's peer listener, host and port. */
	agentAddress: string;
	/** Whether another agent held the endpoint before, whose last orders have to be waited out. */
	succeeds: boolean;
};

/** What an agent asks to have recorded; the rest follows from the state. */
export type EndpointRegistration = Omit<EndpointRecord, 'epoch' | 'succeeds'>;

export type ControlCommand =
	| {kind: 'put-contract'; changeId: string; expectedVersion: number; workspace: string; contract?: Contract}
	| {kind: 'put-setting'; changeId: string; expectedVersion: number; name: string; value: string | number | boolean}
	| {kind: 'grant-epoch'; record: EndpointRegistration}
	| {kind: 'open-claim'; request: ClaimRequest; at: number}
	| {kind: 'settle-claim'; settlement: ClaimSettlement}
	| {kind: 'expire'; at: number}
	| {kind: 'start-change'; changeId: string; changeKind: ChangeKind; endpoint: string; order?: EngineOrder; requestedBy: string; at: number}
	| {kind: 'advance-change'; changeId: string; from: ChangeStep; to: ChangeStep; message: string; at: number}
	| {kind: 'cancel-change'; changeId: string; at: number}
	| {kind: 'pin-role'; changeId: string; endpoint: string; pinned: boolean}
	| {kind: 'forget-endpoint'; endpoint: string; agentIncarnation: string}
	| {kind: 'report-crash'; reportId: string; endpoint: string; suspects: Array<{fingerprint: string; workspace: string}>; at: number}
	| {kind: 'permit-suspect'; fingerprint: string; attempt: string; at: number}
	| {kind: 'clear-suspect'; fingerprint: string; attempt: string}
	| {kind: 'lift-quarantine'; changeId: string; fingerprint: string};

/** The answer to a command, kept for resends of its change id. */
export type CommandOutcome =
	| {ok: true; value: unknown; revision: number}
	| {ok: false; code: 'conflict' | 'not-found' | 'refused' | 'reused-change-id' | 'invalid'; message: string; revision: number};
