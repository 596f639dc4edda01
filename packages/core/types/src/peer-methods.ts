/** The JSON-RPC methods between processes, with their parameters and results. */
import type {SocketAddress} from '@hickorytrack/socket-address';
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
	/** Messages beyond the first protocol that the instance understands; missing on older versions. */
	features?: string[];
};

export const peerFeatures = {
	/** Understands `registry.repeat`; others get each report in full. */
	reportRepeats: 'report-repeats',
	/** Forwards what others report, if it has the role of a hub. */
	hubs: 'hubs',
	/** Stores the versions that began streams, if it belongs to the core. */
	streamOrigins: 'stream-origins',
	/** Stores what is banned because it crashes servers, if it belongs to the core. */
	crashBans: 'crash-bans',
	/** Answers `configuration.lease`, if it leads the core. */
	servingLeases: 'serving-leases',
	/** Reports the requests of workspaces and, if it belongs to the core, stores decided windows. */
	usageWindows: 'usage-windows',
} as const;

/** Demand of one workspace at one entry over the last reporting interval, in requests per second. */
export type WorkspaceDemand = {
	workspace: string;
	requestsPerSecond: number;
};

export type WorkspaceShare = {
	workspace: string;
	/** Fraction of the workspace's fleet-wide limits that this entry may use. */
	fraction: number;
};

/** Work that one endpoint did over the last reporting interval: engine seconds of prefill and decode, and requests. */
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
	/** Prefixes of the item keys that the subscriber receives. */
	topics: string[];
};

export type SubscribeResult = {
	page: ItemPage;
	leaseMs: number;
};

export type LeaseRenewal = {
	revision: number;
	/** Time in milliseconds since the sender last had confirmed contact with a majority of the controllers. */
	quorumAgeMs: number;
	term: number;
	/** Items that the subscriber is missing up to the revision. */
	page: ItemPage;
};

export type LeaseReply = {
	/** Revision that the subscriber has applied. */
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
	/** True once the engine has carried out the order. */
	done: boolean;
	/** True when a retry of the order can't succeed. */
	isFinal: boolean;
	message: string;
};

export type SubscriberView = {
	member: PeerMember;
	/** Revision that the subscriber has confirmed as applied. */
	revision: number;
	demands: WorkspaceDemand[];
	reports: DemandReport[];
};

export type ProposeReply =
	| {kind: 'outcome'; outcome: CommandOutcome}
	/** The command was not acknowledged; `applied` says whether it may still take effect. */
	| {kind: 'unavailable'; applied: 'no' | 'unknown'; message: string};

/** A call to the operators' interface, forwarded to a process that can answer it. */
export type OperatorCall = {
	method: string;
	params: unknown;
	/** Number of processes that have forwarded the call; limits forwarding. */
	hops: number;
};

export type OperatorReply =
	| {ok: true; result: unknown}
	| {ok: false; code: string; message: string; hint?: string};

/** A route configuration as written by the operator, with the version and the digest that the core stores for it. */
export type ConfigurationDocument = {
	version: number;
	digest: string;
	document: unknown;
};

/** A server's report, as instances forward it; the fields are documented in `@hickorytrack/endpoint-registry`. */
export type ServerRecord = {
	id: string;
	startedAt: number;
	sequence: number;
	service: string;
	address: SocketAddress;
	availabilityZone: string;
	slots: number;
	state: 'ready' | 'draining' | 'leaving' | 'left';
	coldMs: number;
	stage?: 'prefill' | 'decode';
	version?: string;
};

/** What an instance writes about streams; the fields are documented in `@hickorytrack/stream-origins/origin-store`. */
export type StreamOriginWrite = {
	admitted: Array<[service: string, version: string]>;
	streams: Array<[stream: string, service: string, added: string[], dropped: string[], lifetimeMs: number, sends?: StreamSend[]]>;
};

/** A stream was sent to a start of a server. Times are wall times in milliseconds. */
export type StreamSend = [server: string, startedAt: number, sentAt: number];

/** The versions with which each service may have begun streams, and with which one begun stream was sent to servers. */
export type StreamOriginView = {
	versions: Record<string, string[]>;
	/** Instances of earlier versions write no sends. */
	stream?: {service: string; versions: string[]; sends?: StreamSend[]};
};

/**
 * Work in flight at one server. A tuple for a compact encoding: load shares are the most frequent peer messages. `work` is the
 * expected work of the requests in units of 10 ms, where the servers are uneven; earlier versions ignore it.
 */
export type LoadEntry = [server: string, promptTokens: number, requests: number, streams: number, work?: number];

/** Which instances' load a share contains, and what the receiver does with it. */
export const shareScopes = {
	/** The load of the sender; the receiver counts it. */
	own: 'own',
	/** The load of the sender; the receiver counts and forwards it, and sends back the load of all other instances. */
	leaf: 'leaf',
	/** The load of the sender and of its leaves; sent from one relay to another. */
	region: 'region',
	/** The load of all instances except the receiver; sent from a relay to a leaf. */
	rest: 'rest',
} as const;

export type ShareScope = typeof shareScopes[keyof typeof shareScopes];

/** Tokens that a server had to prefill until the end of a prompt, the time that it took, in milliseconds, and whether it was idle before. */
export type PrefillTiming = [tokens: number, elapsedMs: number, isIdle: boolean];

/** Prompts that a server has prefilled or whose KV cache was transferred to it. The timing is set if it was measured. */
export type StoredPrompt = {server: string; parts: Array<{id: string; tokens: number}>; timing?: PrefillTiming};

/** Answers of a server since the last share: their number, and the mean logarithm of their ratio to what was expected, in hundredths. */
export type SpeedNote = [server: string, samples: number, hundredths: number];

/** Unfinished work that instances have sent to servers, and the prompts that servers have stored since the last share. */
export type LoadShare = {
	instance: string;
	scope: ShareScope;
	servers: LoadEntry[];
	stored: StoredPrompt[];
	/** Shortest interval at which a leaf takes shares of its relay, in milliseconds; only from a weak leaf. */
	intervalMs?: number;
	/** Measured speeds of servers without prompts; earlier versions ignore them. */
	speeds?: SpeedNote[];
};

/** Requests of one workspace. */
export type WorkspaceCount = [workspace: string, count: number];
export type WindowTotals = [window: number, counts: WorkspaceCount[]];
export type SenderTotals = [sender: string, windows: WindowTotals[]];

/** Totals of one instance; the fields are documented in `@hickorytrack/usage-windows`. */
export type UsageReport = {
	/** Incarnation of the instance. */
	sender: string;
	/** Term of the leader that has all totals which are missing here; without it, none are missing. */
	base?: number;
	/** Wall time of the sender, in milliseconds, up to which the totals are complete. */
	until: number;
	windows: WindowTotals[];
};

export type UsageReply = {
	/** Term of the replying instance; missing if it does not lead. */
	term?: number;
	/** All windows up to this one are decided. */
	decidedTo?: number;
};

/** Capacity of an instance and what it uses of it; the fields are documented in `@hickorytrack/own-resources`. */
export type CapacityEntry = [instance: string, availabilityZone: string, processorShare: number, linkMbps: number, usedProcessor: number, usedMbps: number];

/** Parameters and result of each method, by name. Notifications have the result `void`. */
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
	/** `count` is the number of instances that the replying one knows, itself included. */
	'mesh.exchange': {params: {members: PeerMember[]}; result: {members: PeerMember[]; count?: number}};
	/** `isVoter` is set by the leader only: whether it counts the member with this data folder as a voter. */
	'core.join': {params: {address: string; folder: string}; result: {leader?: string; isVoter?: boolean}};
	/** Asks to be no voter any more, as far as the core has enough others; sent by a member that is stopping. */
	'core.leave': {params: {address: string}; result: void};
	'configuration.announce': {params: {leader: string; term: number; version: number}; result: void};
	'configuration.install': {params: {stored: ConfigurationDocument}; result: void};
	'configuration.fetch': {params: Record<string, never>; result: {stored?: ConfigurationDocument}};
	/** Without an outcome, it is unknown whether the change takes effect. */
	'configuration.put': {params: {stored: ConfigurationDocument}; result: {outcome?: 'stored' | 'same' | 'overtaken' | 'conflict'}};
	'configuration.read': {params: Record<string, never>; result: {isConfirmed: boolean; stored?: ConfigurationDocument}};
	/** Without a version, no majority has confirmed that the instance leads. The fields are documented in `@hickorytrack/serving-lease/lease-issuer`. */
	'configuration.lease': {params: Record<string, never>; result: {version?: number; ageMs?: number}};
	/** Without a view, the leader of the core has not confirmed the write. */
	'origins.write': {params: StreamOriginWrite; result: {view?: StreamOriginView}};
	/** Without a view, the leader of the core has not confirmed the answer. */
	'origins.find': {params: {services: string[]; stream?: string}; result: {view?: StreamOriginView}};
	/** Asks an instance for a stream that it has begun itself. */
	'origins.recall': {params: {stream: string}; result: {origin?: {service: string; version: string}}};
	/** Reports that repeat earlier ones, as id, start time and sequence number. */
	'registry.repeat': {params: {repeats: Array<[id: string, startedAt: number, sequence: number]>}; result: void};
	'registry.fetch': {params: {servers: string[]}; result: {reports: ServerRecord[]}};
	'registry.note': {params: {reports: ServerRecord[]}; result: {count: number}};
	/** A server was ordered to change its stage; it is excluded from placement until its reports show the new stage. */
	'stage.note': {params: {server: string; startedAt: number; stage: 'prefill' | 'decode'}; result: void};
	'load.share': {params: LoadShare; result: void};
	/** The sender's own capacity, and from a relay to its leaf those of other instances of the leaf's zone. */
	'capacity.note': {params: {instances: readonly CapacityEntry[]}; result: void};
	/** Limits of servers, and those that have ended; the fields are documented in `@hickorytrack/shared-rate`. */
	'limit.note': {params: {limits: ReadonlyArray<{id: string; startedAt: number; perSecond?: number; ageMs: number}>}; result: void};
	/** Asks for grants to send requests to a limited server. One that does not issue them for this server grants none. */
	'limit.acquire': {params: {server: string; startedAt: number; perSecond: number; maxDelayMs: number; count: number}; result: {isIssuer: boolean; granted: number; delayMs: number}};
	/** Asks whether the instance has a connection to the member at the address. */
	'limit.reach': {params: {address: string}; result: {isConnected: boolean}};
	/** A crash of a server with the runs that it ended; the fields are documented in `@hickorytrack/crash-attribution`. */
	'crash.note': {params: {id: string; traits: ReadonlyArray<[trait: string, position: number]>; ageMs?: number; reporter?: string}; result: void};
	/** Traits of runs that were in whole answers, with the time since then in milliseconds. */
	'crash.sound': {params: {sound: ReadonlyArray<[trait: string, ageMs: number]>}; result: void};
	/** Trials of banned traits, with the time since the last one in milliseconds and the number of failed ones. */
	'crash.trial': {params: {trials: ReadonlyArray<[trait: string, ageMs: number, failed: number]>}; result: void};
	/** Totals that have changed; the receiver is the leader of the core. */
	'usage.report': {params: UsageReport; result: UsageReply};
	'state.dump': {params: Record<string, never>; result: {state: unknown}};
};

export type PeerMethodName = keyof PeerMethods;
