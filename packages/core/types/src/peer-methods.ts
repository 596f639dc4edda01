/** Every JSON-RPC method that processes call on one another, with its parameters and its result. */
import type {EndpointPhase, FencedOrder} from './endpoint.js';
import type {
	AttemptResolution, PieceBatch, SubmissionReply, WorkSubmission,
} from './work.js';
import type {
	CommandOutcome, ControlCommand, EndpointRegistration, EpochGrant, ItemPage,
} from './control.js';
import type {ClaimReadResult} from './claim.js';

export type PeerMember = {
	instance: string;
	roles: string[];
	availabilityZone: string;
	address: string;
	incarnation: string;
};

/** Demand of one workspace at one entry, in requests a second, over the last reporting interval. */
export type WorkspaceDemand = {
	workspace: string;
	requestsPerSecond: number;
};

export type WorkspaceShare = {
	workspace: string;
	/** Fraction of the workspace's fleet-wide limits that this entry may use. */
	fraction: number;
};

/** Work that one endpoint did over the last interval, in engine seconds, and whether it kept its targets. */
export type DemandReport = {
	endpoint: string;
	model: string;
	prefillSeconds: number;
	decodeSeconds: number;
	requests: number;
	intervalMs: number;
};

export type SubscribeParams = {
	member: PeerMember;
	revision: number;
	/** Prefixes of the item keys that the subscriber wants. */
	topics: string[];
};

export type SubscribeResult = {
	page: ItemPage;
	leaseMs: number;
};

export type LeaseRenewal = {
	revision: number;
	/** Age in milliseconds of the last evidence that a majority of the controllers is in touch with the sender. */
	quorumAgeMs: number;
	term: number;
	/** What the subscriber misses up to the revision. */
	page: ItemPage;
};

export type LeaseReply = {
	/** Revision that is in force at the subscriber. */
	revision: number;
	demands: WorkspaceDemand[];
	reports: DemandReport[];
};

export type DrainProgress = {
	endpoint: string;
	phase: EndpointPhase;
	running: number;
	queued: number;
};

export type OrderReply = {
	accepted: boolean;
	/** True once the engine has carried the order out. */
	done: boolean;
	/** True when sending the order again can't help. */
	isFinal: boolean;
	message: string;
};

export type SubscriberView = {
	member: PeerMember;
	/** Revision that the subscriber has confirmed as in force. */
	revision: number;
	demands: WorkspaceDemand[];
	reports: DemandReport[];
};

export type ProposeReply =
	| {kind: 'outcome'; outcome: CommandOutcome}
	/** There is no acknowledgement; `applied` tells whether the command can still have an effect. */
	| {kind: 'unavailable'; applied: 'no' | 'unknown'; message: string};

/** A call of the operators' interface, passed on to a process that can answer it. */
export type OperatorCall = {
	method: string;
	params: unknown;
	/** Processes that the call went through; bounds forwarding. */
	hops: number;
};

export type OperatorReply =
	| {ok: true; result: unknown}
	| {ok: false; code: string; message: string; hint?: string};

/** A route configuration as the operator wrote it, with the version and the digest under which the core holds it. */
export type ConfigurationDocument = {
	version: number;
	digest: string;
	document: unknown;
};

/** What a server said of itself, as instances pass it on; `@hickorytrack/endpoint-registry` explains the fields. */
export type ServerRecord = {
	id: string;
	startedAt: number;
	sequence: number;
	service: string;
	address: string;
	availabilityZone: string;
	slots: number;
	state: 'ready' | 'draining' | 'left';
	coldMs: number;
	stage?: 'prefill' | 'decode';
};

/** One server's work in flight. A tuple, because shares are the most frequent messages between instances. */
export type LoadEntry = [server: string, promptTokens: number, requests: number, streams: number];

/** Whose load a share holds, and what the receiver does with it. */
export const shareScopes = {
	/** The sender's; the receiver counts it. */
	own: 'own',
	/** The sender's; the receiver counts it, passes it on, and tells the sender the load of all others. */
	leaf: 'leaf',
	/** The sender's and that of its leaves; one relay tells it to another. */
	region: 'region',
	/** That of all instances but the receiver; a relay tells it to a leaf. */
	rest: 'rest',
} as const;

export type ShareScope = typeof shareScopes[keyof typeof shareScopes];

/** Prompts that a server has read or taken over. */
export type StoredPrompt = {server: string; parts: Array<{id: string; tokens: number}>};

/** Work that instances have sent to servers and that has not ended, and what servers have stored since the last share. */
export type LoadShare = {
	instance: string;
	scope: ShareScope;
	servers: LoadEntry[];
	stored: StoredPrompt[];
};

/** Parameters and result by method name. Notifications have the result `void`. */
export type PeerMethods = {
	'log.message': {params: {payload: unknown}; result: {payload: unknown}};
	'control.propose': {params: {command: ControlCommand; forwarded?: boolean}; result: ProposeReply};
	'control.subscribe': {params: SubscribeParams; result: SubscribeResult};
	'control.items': {params: {page: ItemPage}; result: void};
	'control.lease': {params: LeaseRenewal; result: LeaseReply};
	'control.shares': {params: {shares: WorkspaceShare[]}; result: void};
	'control.status': {params: Record<string, never>; result: {instance: string; leader?: string; term: number; quorumAgeMs: number; revision: number}};
	'control.subscribers': {params: Record<string, never>; result: {subscribers: SubscriberView[]}};
	'control.read-claim': {params: {workspace: string; key: string; forwarded?: boolean}; result: ClaimReadResult};
	'agent.register': {params: {record: EndpointRegistration}; result: EpochGrant};
	'agent.order': {params: {order: FencedOrder}; result: OrderReply};
	'agent.progress': {params: Record<string, never>; result: DrainProgress};
	'agent.hand-over': {params: {fence: FencedOrder['fence']}; result: {handedOver: number}};
	'operator.call': {params: OperatorCall; result: OperatorReply};
	'work.submit': {params: WorkSubmission; result: SubmissionReply};
	'work.pieces': {params: PieceBatch; result: void};
	'work.acknowledge': {params: {received: Array<{attempt: string; next: number}>}; result: void};
	'work.resume': {params: {attempt: string; from: number}; result: {known: boolean}};
	'work.cancel': {params: {attempt: string}; result: void};
	'work.resolve': {params: {attempt: string; cancel: boolean}; result: AttemptResolution};
	'items.fetch': {params: {revision: number}; result: ItemPage};
	'mesh.exchange': {params: {members: PeerMember[]}; result: {members: PeerMember[]}};
	'core.join': {params: {address: string; folder: string}; result: {leader?: string}};
	'configuration.announce': {params: {leader: string; term: number; version: number}; result: void};
	'configuration.install': {params: {stored: ConfigurationDocument}; result: void};
	'configuration.fetch': {params: Record<string, never>; result: {stored?: ConfigurationDocument}};
	/** No outcome means that the change may or may not come into force. */
	'configuration.put': {params: {stored: ConfigurationDocument}; result: {outcome?: 'stored' | 'same' | 'overtaken' | 'conflict'}};
	'configuration.read': {params: Record<string, never>; result: {isConfirmed: boolean; stored?: ConfigurationDocument}};
	'registry.note': {params: {reports: ServerRecord[]}; result: {count: number}};
	/** A server was ordered to change its stage; it is left out until its reports show it. */
	'stage.note': {params: {server: string; startedAt: number; stage: 'prefill' | 'decode'}; result: void};
	'load.share': {params: LoadShare; result: void};
	'poison.note': {params: {fingerprint: string; crash: string}; result: void};
	'state.dump': {params: Record<string, never>; result: {state: unknown}};
};

export type PeerMethodName = keyof PeerMethods;
