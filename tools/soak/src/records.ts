/** What callers, servers and the operator record; the checks compare nothing else. Times are wall times of one machine. */
import type {WorkspaceBounds} from './workspaces.js';

export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming';

export type SoakRoute = {
	name: string;
	kind: RouteKind;
	/** The service at first; the operator moves the route between it and the second one of its kind. */
	service: string;
	isResumable: boolean;
	maxServers: number;
	/** In a configuration with workspaces: callers need no key. */
	isPublic?: boolean;
	/** The operator adds and removes the route. */
	isOptional?: boolean;
};

/** One attempt of a caller, with its own request id. */
export type CallerRecord = {
	requestId: string;
	caller: number;
	edge: string;
	route: string;
	path: string;
	sentBody: string;
	/** Key of a workspace that the caller sent. */
	key?: string;
	sentAt: number;
	endedAt: number;
	/** Time that the request had left when it was sent. */
	deadlineMs: number;
	/** The caller meant to leave early. */
	hasLeft: boolean;
	/** `closed`: the connection ended first, `late`: no answer in time, `invalid`: the bytes were no HTTP message. */
	end: 'answered' | 'closed' | 'late' | 'invalid';
	/** An answer before it on its connection ended with the connection, and so did this request. */
	isBehindEnd?: boolean;
	/** The caller has read with pauses of up to this time. */
	readPauseMs?: number;
	/** Neither a length nor chunks declared the answer complete; an orderly close ended it. */
	hasUnknownEnd?: boolean;
	/** Status, headers and body of the answer, or of the part that arrived. */
	status?: number;
	stamp?: string;
	answerId?: string;
	body: string;
	/** The prompt has the part that crashes servers; undefined for a request without a prompt. */
	isCrashing?: boolean;
	/** The event after which the caller asked the stream to go on, and the attempt that had brought the first event. */
	lastEventId: number;
	begunAs?: string;
	/** Answers on the same connection while no request was waiting for one. */
	extraAnswers: number;
};

/** A request that reached a server; `number` counts those of one start of the server. */
export type ArrivalRecord = {
	type: 'arrival';
	at: number;
	server: string;
	startedAt: number;
	number: number;
	service: string;
	requestId: string;
	path: string;
	body: string;
	isPrefill: boolean;
	/** The workspace that the request names to the server. */
	workspace?: string;
	/** A key stands somewhere in the request. */
	hasKey?: boolean;
};

/** What a server did with an arrival; a request that waited when its server crashed has none. */
export type OutcomeRecord = {
	type: 'outcome';
	at: number;
	server: string;
	startedAt: number;
	number: number;
	requestId: string;
	/** True once the server works on the request; a call that only prefills does not count. */
	hasRun: boolean;
	/** When a run that generates events got its slot; undefined if its connection had closed before. */
	begunAt?: number;
	/** The run goes on from the copy that another server made of the same run. */
	isSameRun?: boolean;
	/** What the server sent, or how it misbehaved. */
	answer: string;
	status?: number;
	stamp?: string;
	handle?: string;
	/** The request whose prefill or run made the handle. */
	handleOwner?: string;
};

/** A server has sent its answer to an arrival, or the connection was gone first. */
export type EndRecord = {
	type: 'end';
	at: number;
	server: string;
	startedAt: number;
	number: number;
	requestId: string;
	/** False if the server had closed the connection before the request came, or had sent an answer twice on it. */
	isSound: boolean;
	/** The other side closed the connection first. */
	hasLeft: boolean;
	/** Only the end of the connection ended the answer. */
	hasUnknownEnd: boolean;
	/** The server was done, or saw the connection close. What it had to send may have waited longer. */
	workedUntil: number;
};

/** The event loop of a process stood still for this long until `at`. */
export type LagRecord = {
	type: 'lag';
	at: number;
	server: string;
	delayMs: number;
};

/** A call to a server that is no request of a caller, such as the release of a KV cache. */
export type CallRecord = {
	type: 'call';
	at: number;
	server: string;
	startedAt: number;
	requestId: string;
	path: string;
	/** A key stands somewhere in the call. */
	hasKey?: boolean;
};

/** A server names another limit in its answers from now on, in requests per second, or none. */
export type LimitRecord = {
	type: 'limit';
	at: number;
	server: string;
	startedAt: number;
	perSecond?: number;
};

/** A server has started. */
export type StartRecord = {
	type: 'start';
	at: number;
	server: string;
	startedAt: number;
	service: string;
	version: string;
	isGenerating: boolean;
};

export type ServerRecord = StartRecord | ArrivalRecord | OutcomeRecord | EndRecord | CallRecord | LimitRecord | LagRecord;

export type OperatorRecord = {
	version: number;
	sentAt: number;
	/** Undefined if no edge acknowledged the version. */
	acknowledgedAt?: number;
	document: unknown;
	/** What the document says of the routes, by their names. */
	routes: Readonly<Record<string, RouteVersion>>;
	/** The workspaces by the keys that they hold; undefined without workspaces. */
	keys?: Readonly<Record<string, string>>;
};

export type RouteVersion = {
	service: string;
	timeoutMs: number;
};

/** The configuration that an edge returned at the end. */
export type ReadBack = {
	edge: string;
	document?: {version: number};
};

export type RetryBounds = {
	ratio: number;
	slack: number;
	windowMs: number;
};

export type ProcessEnd = {
	/** Of an edge or a server. */
	name: string;
	at: number;
};

/** A fault from outside, as it was carried out. */
export type Disturbance = {
	kind: string;
	/** The edge or server, and the edge whose link to it was meant; undefined for all links. */
	target: string;
	source?: string;
	from: number;
	until: number;
};

/** A call of another writer to the control address of an edge. */
export type ForeignCall = {
	edge: string;
	sentAt: number;
	endedAt: number;
	call: 'odd-report' | 'closed-report' | 'own-report' | 'own-leave' | 'foreign-leave' | 'configuration';
	/** What the rules say of the answer. */
	expected: 'accepted' | 'refused' | 'clear';
	/** The path and the begin of the body. */
	text: string;
	/** Undefined without an answer. */
	status?: number;
	failure?: string;
};

/** A call to the infrastructure that is the duty of one edge at a time. */
export type DutyCall = {
	at: number;
	holder: string;
	token: number;
	path: string;
	body: string;
	/** The answer. */
	status: number;
};

export type SoakRecords = {
	processEnds: readonly ProcessEnd[];
	disturbances: readonly Disturbance[];
	routes: readonly SoakRoute[];
	callers: readonly CallerRecord[];
	arrivals: readonly ArrivalRecord[];
	outcomes: readonly OutcomeRecord[];
	ends: readonly EndRecord[];
	calls: readonly CallRecord[];
	limits: readonly LimitRecord[];
	starts: readonly StartRecord[];
	lags: readonly LagRecord[];
	/** Names of the edges. */
	edges: readonly string[];
	/** When a process of an edge has read each request, by id; in milliseconds since the epoch. */
	readRequests: ReadonlyMap<string, number>;
	operator: readonly OperatorRecord[];
	/** Undefined if no other writer took part. */
	foreignCalls?: readonly ForeignCall[];
	/** Undefined if the configurations have no workspaces. */
	workspaces?: WorkspaceBounds;
	/** In the order of their arrival. */
	dutyCalls?: readonly DutyCall[];
	readBacks: readonly ReadBack[];
	bounds: RetryBounds;
	/** Between SIGTERM and SIGKILL of an edge. */
	graceMs: number;
};

export type RuleCase = {
	rule: 'MIXED' | 'REFUSED' | 'TWICE' | 'BUDGET' | 'ORDER' | 'LOST' | 'LIMIT' | 'CONFIG' | 'UNASKED' | 'ENDED' | 'UNCLEAR' | 'ERROR' | 'FAILED' | 'GATE' | 'LEAK' | 'WORKSPACE' | 'REVOKED' | 'FENCE' | 'USAGE';
	requestId?: string;
	detail: string;
};
