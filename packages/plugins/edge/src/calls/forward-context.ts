/** State and services that all forwarders of an instance share. */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {EndpointClient, OutboundRequest, ResponseHead} from '@hickorytrack/endpoint-client';
import type {SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {AnswerIdentity} from '@hickorytrack/endpoint-client/answer-identity';
import type {EngineProfile} from '@hickorytrack/engine-profile';
import type {ExpectedWork} from '@hickorytrack/expected-work';
import type {EndpointRegistry, KnownServer} from '@hickorytrack/endpoint-registry';
import type {OwnResources} from '@hickorytrack/own-resources';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {LeastLoadPlacement} from '@hickorytrack/prompt-placement/least-load-placement';
import type {PromptPlacement} from '@hickorytrack/prompt-placement';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {Random} from '@hickorytrack/random';
import type {StreamOrigins} from '@hickorytrack/stream-origins';
import type {CallerRequest} from '../front/caller-request.js';
import type {RateLimitedEventLog} from '../front/rate-limited-event-log.js';
import type {CrashReports} from '../crashes/crash-reports.js';
import type {RequestCodec, ForwardMetadata} from '../request-codec.js';
import type {RetryBudget} from '../limits/retry-budget.js';
import type {SendPermit} from '../limits/send-permits.js';
import type {StartProof} from '../streams/start-proof.js';
import type {ServiceAdmission} from '../limits/service-admission.js';
import type {ServerLimits} from '../limits/server-limits.js';
import type {ServerPauses} from '../limits/server-pauses.js';
import type {ServerHealth} from './server-health.js';
import type {AnswerMeasurements} from './answer-measurements.js';
import {callKinds} from './call-kinds.js';

export type ForwardContext = {
	clock: Clock;
	tasks: BackgroundTasks;
	random: Random;
	client: EndpointClient;
	registry: EndpointRegistry;
	health: ServerHealth;
	pauses: ServerPauses;
	limits: ServerLimits;
	loadTracker: LoadTracker;
	profile: EngineProfile;
	/** Of requests to services without prompt placement. */
	expectedWork: ExpectedWork;
	measurements: AnswerMeasurements;
	/** The link and processor of this instance; undefined unless one of them is weak. */
	ownResources?: OwnResources;
	leastLoadPlacement: LeastLoadPlacement;
	promptPlacement: PromptPlacement;
	admission: ServiceAdmission;
	retryBudget: RetryBudget;
	origins: StreamOrigins;
	startProof: StartProof;
	crashReports: Pick<CrashReports, 'handleLoss' | 'checkEnd' | 'recordAnswer' | 'findBan'>;
	codec: RequestCodec;
	eventLog: RateLimitedEventLog;
	metrics: Pick<MetricsRegistry, 'count'>;
	availabilityZone: string;
	/** Number of connections that this instance may open to one server of the service. */
	getConnectionLimit: (service: string) => number;
};

/** Size of the head of a call, without its path. */
const callHeadBytes = 500;
/** Part of the caller's deadline that is reserved for returning the response, in milliseconds. */
const responseMarginMs = 8;
/** Retry-After of 503 responses without a better estimate, in milliseconds. */
export const defaultRetryAfterMs = 150;

/** Bytes that a call to a server sends for a caller's request. */
export function countCallBytes({body}: CallerRequest): number {
	return body.length + callHeadBytes;
}

export function computeRemainingMs(context: ForwardContext, request: CallerRequest): number {
	return request.deadlineAt - context.clock.monotonic();
}

/** Creates the proof that an answer belongs to the request; undefined for a request without an id. */
export function createAnswerIdentity({codec}: ForwardContext, {metadata: {requestId}}: CallerRequest): AnswerIdentity | undefined {
	return requestId === undefined ? undefined : codec.createAnswerIdentity(requestId);
}

/** Counts the request when the head of an answer says that a server has run it. */
export function countAnsweredRun({codec}: ForwardContext, {countRun}: CallerRequest, head: ResponseHead): void {
	if (countRun && !codec.decodeResponseHead(head).isNotExecuted) {
		countRun();
	}
}

/** Creates the request to a server for a caller's request, which is sent at once. */
export function createOutboundRequest(context: ForwardContext, request: CallerRequest, metadata: Omit<ForwardMetadata, 'remainingMs'> & {needsVerifiedConnection: boolean; permit: SendPermit; grant: SendGrant}): OutboundRequest {
	const {needsVerifiedConnection, permit, grant, ...rest} = metadata;
	permit.start();
	context.health.recordSending(metadata.server);
	const remainingMs = Math.max(1, Math.floor(computeRemainingMs(context, request) - responseMarginMs));
	return {
		callKind: metadata.isPrefillOnly ? callKinds.prefill : callKinds.run,
		recipient: metadata.server,
		identity: createAnswerIdentity(context, request),
		method: request.method,
		path: request.path,
		body: request.body,
		headers: context.codec.encodeForwardHeaders(request.metadata.headers, {...rest, workspace: request.workspace, remainingMs}),
		grant,
		isContinuation: metadata.lastEventId !== undefined,
		needsVerifiedConnection,
		connectionLimit: context.getConnectionLimit(request.service),
	};
}
