/** Every JSON-RPC method that processes call on one another, with its parameters and its result. */
import type {EndpointLoad, FencedOrder} from './endpoint.js';
import type {AttemptResolution, PieceBatch, SubmissionReply, WorkSubmission} from './work.js';
import type {CommandOutcome, ControlCommand, EndpointRecord, EpochGrant, ItemPage} from './control.js';
import type {Claim} from './claim.js';

export interface PeerMember {
	instance: string;
	roles: string[];
	availabilityZone: string;
	address: string;
	incarnation: string;
}

/** Demand of one tenant at one entry, in requests a second, over the last reporting interval. */
export interface TenantDemand {
	tenant: string;
	requestsPerSecond: number;
}

export interface TenantShare {
	tenant: string;
	/** Fraction of the tenant's fleet-wide limits that this entry may use. */
	fraction: number;
}

/** Work that one endpoint did over the last interval, in engine seconds, and whether it kept its targets. */
export interface DemandReport {
	endpoint: string;
	model: string;
	prefillSeconds: number;
	decodeSeconds: number;
	intervalMs: number;
}

export interface SubscribeParams {
	member: PeerMember;
	revision: number;
}

export interface LeaseTick {
	revision: number;
	/** Age in milliseconds of the last evidence that a majority of the controllers is in touch with the sender. */
	quorumAgeMs: number;
	term: number;
	leaderKnown: boolean;
}

export interface LeaseReply {
	revision: number;
	demands: TenantDemand[];
	reports: DemandReport[];
}

export interface DrainProgress {
	endpoint: string;
	running: number;
	queued: number;
}

export interface OrderReply {
	accepted: boolean;
	/** True once the engine has carried the order out. */
	done: boolean;
	message: string;
}

export interface EndpointView {
	record: EndpointRecord;
	alive: boolean;
	load?: EndpointLoad;
}

export interface SubscriberView {
	member: PeerMember;
	revision: number;
}

/** Parameters and result by method name. Notifications have the result `void`. */
export interface PeerMethods {
	'log.message': {params: {payload: unknown}; result: {payload: unknown}};
	'control.propose': {params: {command: ControlCommand}; result: CommandOutcome};
	'control.subscribe': {params: SubscribeParams; result: {page: ItemPage; controllers: string[]; endpoints: EndpointView[]; leaseMs: number}};
	'control.items': {params: {page: ItemPage}; result: void};
	'control.lease': {params: LeaseTick; result: LeaseReply};
	'control.shares': {params: {shares: TenantShare[]}; result: void};
	'control.endpoints': {params: {endpoints: EndpointView[]; complete: boolean}; result: void};
	'control.status': {params: Record<string, never>; result: {instance: string; leader?: string; term: number; quorumAgeMs: number; revision: number}};
	'control.subscribers': {params: Record<string, never>; result: {subscribers: SubscriberView[]; reports: DemandReport[]; demands: TenantDemand[]}};
	'control.read-claim': {params: {tenant: string; key: string}; result: {claim?: Claim}};
	'control.alive': {params: {instance: string; incarnation: string}; result: {alive: boolean}};
	'agent.register': {params: {record: Omit<EndpointRecord, 'epoch'>}; result: EpochGrant};
	'agent.order': {params: {order: FencedOrder}; result: OrderReply};
	'agent.progress': {params: Record<string, never>; result: DrainProgress};
	'agent.hand-over': {params: {fence: FencedOrder['fence']}; result: {handedOver: number}};
	'work.submit': {params: WorkSubmission; result: SubmissionReply};
	'work.pieces': {params: PieceBatch; result: void};
	'work.acknowledge': {params: {received: Array<{attempt: string; next: number}>}; result: void};
	'work.resume': {params: {attempt: string; from: number}; result: {known: boolean}};
	'work.cancel': {params: {attempt: string}; result: void};
	'work.resolve': {params: {attempt: string}; result: AttemptResolution};
	'items.fetch': {params: {revision: number}; result: ItemPage};
	'state.dump': {params: Record<string, never>; result: {state: unknown}};
}

export type PeerMethodName = keyof PeerMethods;
