/** Types of the route configuration: which requests go to which service, and with which limits and latency objectives. */

export const requestKinds = {
	/** May run more than once. */
	idempotent: 'idempotent',
	/** May run at most once. */
	nonIdempotent: 'non-idempotent',
	/** The response is a stream of events; runs at most once unless the route is resumable. */
	streaming: 'streaming',
} as const;
export type RequestKind = typeof requestKinds[keyof typeof requestKinds];

export type RouteTarget = {
	service: string;
	/** Share of the route's requests, relative to the weights of the other targets. */
	weight: number;
};

export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** Maximum time that a caller waits for a response, in milliseconds. */
	timeoutMs: number;
	/** Latency objective for a complete response, or for the first event of a stream; a later one has a lower value to the caller. */
	objectiveMs: number;
	/** Time without an event after which callers of a stream give up, in milliseconds; undefined if they wait for the timeout. */
	patienceMs?: number;
	/** 0 is the highest priority. */
	priority: number;
	targets: readonly RouteTarget[];
	/** Maximum number of servers that one request may be sent to. */
	maxServers: number;
	/** The requests contain prompts, and the servers cache parts of them. */
	usesPromptCache: boolean;
	/** A stream may continue at another server after the last event that was received. */
	isResumable: boolean;
	/** Latency objective for the time between two events of a stream. */
	pauseObjectiveMs?: number;
	/** Requests need no key and belong to no workspace, also if the configuration has workspaces. */
	isPublic?: boolean;
};

/** A group of callers that share keys. */
export type WorkspaceDefinition = {
	name: string;
	/** Each authorises its caller for the workspace; secret. */
	keys: readonly string[];
	/** Takes precedence over the priority of the route; 0 is the highest priority. */
	priority?: number;
};

/** Properties of the model servers of a service, as the operator configures them. */
export type ModelServerTraits = {
	/** Maximum number of requests that run concurrently. */
	slots: number;
	/** Capacity of the KV cache, in tokens. */
	memoryTokens: number;
	/** Time for which the KV cache of a prefilled prompt is kept for another server to fetch. */
	handleTtlMs: number;
	/** Time for which a server is out of service after a stage change. */
	stageSwitchMs: number;
};

export type ServiceDefinition = {
	name: string;
	healthPath: string;
	/** Maximum number of connections that one server accepts from all callers together. */
	maxConnections: number;
	modelServer?: ModelServerTraits;
};

/** Limits on the requests of callers. */
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
	/** If present, even without an element, each route that is not public requires a key of a workspace. */
	workspaces?: readonly WorkspaceDefinition[];
};
