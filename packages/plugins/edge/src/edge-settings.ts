/** Settings and dependencies of an edge instance. */
import type {ByteAccount} from '@hickorytrack/byte-account';
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {LogStorage} from '@hickorytrack/log-storage';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {ResourceLimits} from '@hickorytrack/own-resources';
import type {Random} from '@hickorytrack/random';
import type {RouteConfiguration} from '@hickorytrack/route-table/route-types';
import {TrafficMixStagePlanner, StaticStagePlanner} from '@hickorytrack/stage-control/stage-planner';
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
	/** What the machine gives the instance; a resource that is missing counts as unlimited. */
	ownResources?: ResourceLimits;
	/** A weak instance is ready only while its zone needs it; on unless false. */
	hasCapacityReadiness?: boolean;
	/** One answer may hold a quarter of this in memory; all together are bounded by the account. */
	answerMemoryBytes: number;
};

export type EdgeOptions = {
	settings: EdgeSettings;
	clock: Clock;
	random: Random;
	events: EventLog;
	codec: RequestCodec;
	/** Decodes a stored document; the document was validated before it was stored. */
	decodeConfiguration: (document: unknown) => RouteConfiguration;
	/** Only on core machines. */
	storage?: LogStorage;
	incarnation: string;
	metrics: MetricsRegistry;
	/** Bounds the bytes that the instance holds for others. */
	account: ByteAccount;
};
