/** What an edge is told at its start. */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {LogStorage} from '@hickorytrack/log-storage';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {Random} from '@hickorytrack/random';
import type {RouteConfiguration} from '@hickorytrack/route-table/route-types';
import {TrafficMixStagePlanner, StaticStagePlanner} from '@hickorytrack/stage-control/stage-planner';
import type {RequestCodec} from './request-codec.js';

/** Planners of the servers' stages by the name that settings use. */
export const stagePlanners = {
	'follow-mix': new TrafficMixStagePlanner(),
	'keep-stages': new StaticStagePlanner(),
} as const;

export type EdgeSettings = {
	instance: string;
	availabilityZone: string;
	/** IP and port for other instances. */
	peerAddress: string;
	peerKey: string;
	frontAddress: string;
	/** Peer addresses of the seeds. */
	seeds: readonly string[];
	isFirstStart: boolean;
	/** Members of the core that may be lost at once. */
	toleratedLosses: number;
	/** Interval at which servers report, in milliseconds. */
	reportIntervalMs: number;
	retryRatio: number;
	retryAllowance: number;
	retryWindowMs: number;
	/** Time for which an order to a server may still count, in milliseconds. */
	leaseMs: number;
	stagePlanner: keyof typeof stagePlanners;
	/** Time from the stop signal until the process is ended, in milliseconds. */
	graceMs: number;
};

export type EdgeOptions = {
	settings: EdgeSettings;
	clock: Clock;
	random: Random;
	events: EventLog;
	codec: RequestCodec;
	/** Turns a stored document into routes; the document was checked before it was stored. */
	decodeConfiguration: (document: unknown) => RouteConfiguration;
	/** Only on machines of the core. */
	storage?: LogStorage;
	incarnation: string;
	metrics: MetricsRegistry;
};
