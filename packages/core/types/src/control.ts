/** Control items: the state that the controllers replicate and push to every entry and agent. */
import type {ClaimRequest, ClaimSettlement} from './claim.js';
import type {Contract} from './contract.js';
import type {
	EndpointAnnouncement, EndpointPhase, EngineRole, EngineOrder,
} from './endpoint.js';

/** Desired state of an endpoint, set by the controllers. */
export type EndpointDirective = {
	endpoint: string;
	phase: EndpointPhase;
	role?: EngineRole;
	/** The role planner does not change a pinned role. */
	pinned: boolean;
};

export type QuarantineEntry = {
	/** Of a request, or `part:` and the digest of a part of prompts. */
	fingerprint: string;
	workspace: string;
	/** Number of crashes during which a request with this fingerprint or part was running. */
	crashes: number;
	state: 'suspect' | 'quarantined' | 'cleared';
	/** Wall time in milliseconds since the epoch at which the entry expires. */
	until: number;
};

export type ItemValue =
	| {kind: 'contract'; version: number; contract: Contract}
	| {kind: 'setting'; version: number; name: string; value: string | number | boolean}
	| {kind: 'directive'; directive: EndpointDirective}
	| {kind: 'quarantine'; entry: QuarantineEntry}
	| {kind: 'endpoint'; record: EndpointRecord}
	| {kind: 'removed'; was: string; version: number};

/** One versioned item. Its revision is the index of the log record that wrote it and increases monotonically. */
export type ControlItem = {
	key: string;
	revision: number;
	value: ItemValue;
};

export type ItemPage = {
	/** The page contains all items that were written after this revision. */
	since: number;
	/** Once the receiver has merged the page, it is up to date with this revision. */
	revision: number;
	items: ControlItem[];
};

export type EpochGrant = {
	endpoint: string;
	epoch: number;
	term: number;
	/** Time in milliseconds to wait before orders may be written to the engine. */
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

/** A planned change: a durable workflow whose steps are recorded in the replicated log. */
export type PlannedChange = {
	id: string;
	kind: ChangeKind;
	endpoint: string;
	order?: EngineOrder;
	step: ChangeStep;
	/** Order number in the fencing token of every order of this change. */
	orderNumber: number;
	requestedBy: string;
	/** Wall time in milliseconds since the epoch. */
	startedAt: number;
	updatedAt: number;
	message: string;
};

export type EndpointRecord = {
	announcement: EndpointAnnouncement;
	epoch: number;
	agent: string;
	agentIncarnation: string;
	/** Address of the agent's peer listener, as host and port. */
	agentAddress: string;
	/** Whether another agent owned the endpoint before, whose last orders must expire first. */
	succeeds: boolean;
};

/** The part of an endpoint record that the agent supplies; the controllers derive the rest from their state. */
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
	| {kind: 'report-crash'; reportId: string; endpoint: string; suspects: Array<{fingerprint: string; workspace: string; parts?: string[]}>; at: number}
	| {kind: 'permit-suspect'; fingerprint: string; attempt: string; at: number}
	| {kind: 'clear-suspect'; fingerprint: string; attempt: string}
	| {kind: 'clear-parts'; parts: string[]; at: number}
	| {kind: 'lift-quarantine'; changeId: string; fingerprint: string};

/** Outcome of a command, stored by change id so that a resent command is idempotent. */
export type CommandOutcome =
	| {ok: true; value: unknown; revision: number}
	| {ok: false; code: 'conflict' | 'not-found' | 'refused' | 'reused-change-id' | 'invalid'; message: string; revision: number};
