/** Endpoints: what one announces about itself, the load it reports, and the orders its engine takes. */

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

/** What an endpoint announces about itself through its agent. */
export type EndpointAnnouncement = {
	endpoint: string;
	kind: EndpointKind;
	/** Models or, for a plain service, the name of the service. */
	names: string[];
	adapters: string[];
	roles: EngineRole[];
	role: EngineRole;
	/** Requests the engine runs at once. */
	capacity: number;
	/** Speed in the present role. */
	speed: EndpointSpeed;
	/** Speed as a mixed engine, in which demand is measured. */
	mixedSpeed: EndpointSpeed;
	availabilityZone: string;
	/** Differs for every start of the engine process. */
	incarnation: string;
	checksFencing: boolean;
};

/** Load of an endpoint, as its agent sees it; carried on every reply. */
export type EndpointLoad = {
	running: number;
	queued: number;
	/** Requests the agent lets run at once now. */
	slots: number;
	/** Prefill tokens that wait in queue or are being computed. */
	pendingPrefillTokens: number;
	/** Decode tokens still to be produced for running and queued work, by estimate. */
	pendingDecodeTokens: number;
	role: EngineRole;
	phase: EndpointPhase;
	/** Rises with every report of one agent. */
	sequence: number;
};

/** Fencing of an order. Compared in this order: term, epoch, order number. */
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
	/** The order is not written to the engine later than this many milliseconds after the agent took it. */
	timeLimitMs: number;
};
