/** The contract of a workspace: what it may call, how much, how fast it is to be answered, and its share of the fleet. */

export type ApiKey = {
	/** Name of the key, shown to operators. */
	id: string;
	/** SHA-256 of the key in lower-case hex; the key itself is never stored. */
	sha256: string;
};

export type ServiceCall = {
	method: string;
	/** Path below the service, matched as a prefix. */
	path: string;
	/** Whether the call may run more than once without harm. */
	repeatable: boolean;
};

export type ServiceGrant = {
	name: string;
	calls: ServiceCall[];
};

export type ContractLimits = {
	requestsPerSecond: number;
	/** Requests that may arrive at once above the rate. */
	burst: number;
	/** Requests in flight at once, over the whole fleet. */
	concurrency: number;
	bodyBytes: number;
	/** Longest time in queue before the request is refused as not run, in milliseconds. */
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
	/** Strict priority: a lower number goes first. */
	priority: number;
	/** Weight of the workspace in the division of engine time among workspaces of one priority. */
	share: number;
	limits: ContractLimits;
	targets: ContractTargets;
	/** How long answers to calls that may not be repeated are kept, in seconds. */
	answerRetentionSeconds: number;
};
