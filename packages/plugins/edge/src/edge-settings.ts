/** Settings and dependencies of an edge instance. */
import type {ByteAccount} from '@hickorytrack/byte-account';
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {LogStorage} from '@hickorytrack/log-storage';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {ResourceLimits} from '@hickorytrack/own-resources';
import type {Random} from '@hickorytrack/random';
import type {RouteConfiguration} from '@hickorytrack/route-table/route-types';
import type {DutyTransport} from '@hickorytrack/singleton-duty/duty';
import {TrafficMixStagePlanner, StaticStagePlanner} from '@hickorytrack/stage-control/stage-planner';
import type {WindowReport} from '@hickorytrack/usage-windows/usage-duty';
import type {RequestCodec} from './request-codec.js';

/** Stage planners by their name in the settings. */
export const stagePlanners = {
	'follow-mix': new TrafficMixStagePlanner(),
	'keep-stages': new StaticStagePlanner(),
} as const;

export type EdgeSettings = {
	instance: string;
	availabilityZone: string;
	/** IP address and port for connections of other instances. */
	peerAddress: string;
	peerKey: string;
	frontAddress: string;
	/** Peer addresses of the seed instances. */
	seeds: readonly string[];
	isFirstStart: boolean;
	/** Number of core members that may fail at the same time. */
	toleratedLosses: number;
	/** Interval between two reports of a server, in milliseconds. */
	reportIntervalMs: number;
	retryRatio: number;
	retryAllowance: number;
	retryWindowMs: number;
	/** Time for which a stage order of a former leader may still take effect, in milliseconds. */
	leaseMs: number;
	stagePlanner: keyof typeof stagePlanners;
	/** Time from the stop signal until the process is killed, in milliseconds. */
	graceMs: number;
	/** Time after the ack of a configuration from which no request with a removed key may run, in milliseconds; undefined if it need not be kept. */
	revocationMs?: number;
	/** What the machine gives the instance; a resource that is missing counts as unlimited. */
	ownResources?: ResourceLimits;
	/** A weak instance is ready only while its zone needs it; on unless false. */
	hasCapacityReadiness?: boolean;
	/** One answer may hold a quarter of this in memory; all together are bounded by the account. */
	answerMemoryBytes: number;
	/** Without it, requests are not counted. */
	usage?: UsageSettings;
};

/** How the requests of workspaces are counted and reported. */
export type UsageSettings = {
	windowMs: number;
	/** Time after the end of a window at which its report is due, in milliseconds. */
	dueMs: number;
	/** Calls to the infrastructure that all instances together may make. */
	callsPerSecond: number;
};

export type EdgeOptions = {
	settings: EdgeSettings;
	clock: Clock;
	random: Random;
	events: EventLog;
	codec: RequestCodec;
	/** Decodes a stored document; the document was validated before it was stored. */
	decodeConfiguration: (document: unknown) => RouteConfiguration;
	/** Sends the calls to the infrastructure that one instance makes at a time; without it, none are made. */
	dutyTransport?: DutyTransport<WindowReport>;
	/** Only on core machines. */
	storage?: LogStorage;
	incarnation: string;
	metrics: MetricsRegistry;
	/** Bounds the bytes that the instance holds for others. */
	account: ByteAccount;
};
