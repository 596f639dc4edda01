/** Types of the route configuration: which requests go to which service, and what the operator promises for them. */

export const requestKinds = {
	/** May run more than once. */
	idempotent: 'idempotent',
	/** May run at most once. */
	nonIdempotent: 'non-idempotent',
	/** Answered by a stream of events; runs at most once unless the route is resumable. */
	streaming: 'streaming',
} as const;
export type RequestKind = typeof requestKinds[keyof typeof requestKinds];

export type RouteTarget = {
	service: string;
	/** Share of the route's requests in proportion to the other targets. */
	weight: number;
};

export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** Longest time that a caller is kept waiting, in milliseconds. */
	timeoutMs: number;
	/** Time to a whole answer, or to the first event of a stream, within which it earns its full value. */
	objectiveMs: number;
	/** Rank; 0 is the most urgent. */
	priority: number;
	targets: readonly RouteTarget[];
	/** Servers that one request may be sent to. */
	maxServers: number;
	/** The requests carry prompts whose parts servers cache. */
	usesPromptCache: boolean;
	/** A stream may go on at another server behind the last event that arrived. */
	isResumable: boolean;
	/** Longest pause between two events of a stream that is still on time. */
	pauseObjectiveMs?: number;
};

/** What the operator says of the model servers of a service. */
export type ModelServerTraits = {
	/** Requests that run at once. */
	slots: number;
	/** Tokens that fit into the memory. */
	memoryTokens: number;
	/** Time that a prompt which was read is kept for another server to take. */
	handleTtlMs: number;
	/** Time without service after a change of stage. */
	stageSwitchMs: number;
};

export type ServiceDefinition = {
	name: string;
	healthPath: string;
	/** Connections that one server takes from all callers together. */
	maxConnections: number;
	modelServer?: ModelServerTraits;
};

/** What a caller may send. */
export type CallerLimits = {
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};

export type RouteConfiguration = {
	version: number;
	routes: readonly Route[];
	services: readonly ServiceDefinition[];
	limits: CallerLimits;
};
