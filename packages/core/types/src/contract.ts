/** The contract of a workspace: permitted models and calls, limits, latency targets, priority and share of the fleet. */

export type ApiKey = {
	/** Name of the key as shown to operators. */
	id: string;
	/** SHA-256 of the key in lower-case hex; the key itself is never stored. */
	sha256: string;
};

export type ServiceCall = {
	method: string;
	/** Path relative to the service, matched as a prefix. */
	path: string;
	/** Whether the call is idempotent, so that it may be retried. */
	repeatable: boolean;
};

export type ServiceGrant = {
	name: string;
	calls: ServiceCall[];
};

export type ContractLimits = {
	requestsPerSecond: number;
	/** Burst size of the rate limit, in requests. */
	burst: number;
	/** Maximum number of concurrent requests across the fleet. */
	concurrency: number;
	bodyBytes: number;
	/** Maximum time in queue in milliseconds; a request that waits longer is refused as not run. */
	queueMs: number;
};

export type ContractTargets = {
	firstTokenMs: number;
	betweenTokensMs: number;
};

export type Contract = {
	workspace: string;
	apiKeys: ApiKey[];
	models: string[];
	services: ServiceGrant[];
	/** Strict priority: requests with a lower number run first. */
	priority: number;
	/** Weight of the workspace when engine time is divided among workspaces of the same priority. */
	share: number;
	limits: ContractLimits;
	targets: ContractTargets;
	/** How long the answers to non-idempotent calls are retained, in seconds. */
	answerRetentionSeconds: number;
};
