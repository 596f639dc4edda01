/** Endpoints: their announcements, their load reports, and the orders that their engines carry out. */

export const engineRoles = {mixed: 'mixed', prefill: 'prefill', decode: 'decode'} as const;
export type EngineRole = typeof engineRoles[keyof typeof engineRoles];

export const endpointKinds = {model: 'model', service: 'service'} as const;
export type EndpointKind = typeof endpointKinds[keyof typeof endpointKinds];

export const endpointPhases = {serving: 'serving', draining: 'draining', withdrawn: 'withdrawn'} as const;
export type EndpointPhase = typeof endpointPhases[keyof typeof endpointPhases];

export type EndpointSpeed = {
	prefillTokensPerSecond: number;
	decodeTokensPerSecond: number;
};

/** Properties of an endpoint, announced by its agent. */
export type EndpointAnnouncement = {
	endpoint: string;
	kind: EndpointKind;
	/** Names of the models or, for a plain service, the name of the service. */
	names: string[];
	adapters: string[];
	roles: EngineRole[];
	role: EngineRole;
	/** Maximum number of requests that the engine runs concurrently. */
	capacity: number;
	/** Speed in the current role. */
	speed: EndpointSpeed;
	/** Speed in the role `mixed`, which is the reference for measuring demand. */
	mixedSpeed: EndpointSpeed;
	availabilityZone: string;
	/** Unique for each start of the engine process. */
	incarnation: string;
	checksFencing: boolean;
	/** Version of the engine's software; undefined if it states none. */
	softwareVersion?: string;
};

/** Load of an endpoint as measured by its agent; included in every reply. */
export type EndpointLoad = {
	running: number;
	queued: number;
	/** Current concurrency limit of the agent, in requests. */
	slots: number;
	/** Prefill tokens that are queued or being processed. */
	pendingPrefillTokens: number;
	/** Estimated number of decode tokens still to be generated for running and queued work. */
	pendingDecodeTokens: number;
	role: EngineRole;
	phase: EndpointPhase;
	/** Increases with every report of the same agent. */
	sequence: number;
};

/** Fencing token of an order. Tokens are compared by term, then epoch, then order number. */
export type FenceToken = {
	term: number;
	epoch: number;
	orderNumber: number;
};

export type EngineOrder =
	| {kind: 'set-role'; role: EngineRole}
	| {kind: 'load-model'; model: string; version: string}
	| {kind: 'load-adapter'; adapter: string}
	| {kind: 'set-phase'; phase: EndpointPhase};

export type FencedOrder = {
	fence: FenceToken;
	changeId: string;
	order: EngineOrder;
	/** Time limit in milliseconds from the receipt by the agent, after which the order is not written to the engine. */
	timeLimitMs: number;
};
