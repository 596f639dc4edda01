/** Puts together what all forwarders of an instance share, and reads what the answers of servers say about them. */
import {EndpointClient, type EndpointClientOptions} from '@hickorytrack/endpoint-client';
import type {Incarnation} from '@hickorytrack/endpoint-registry';
import {ByteBudget} from '@hickorytrack/http-answer/byte-budget';
import {PromptPlacement} from '@hickorytrack/prompt-placement';
import {LeastLoadPlacement} from '@hickorytrack/prompt-placement/least-load-placement';
import type {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import type {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import type {EdgeOptions} from '../edge-settings.js';
import {RetryBudget} from '../limits/retry-budget.js';
import {ServerPauses} from '../limits/server-pauses.js';
import {ServiceAdmission} from '../limits/service-admission.js';
import {reportFullParts} from '../report-full-parts.js';
import {StartProof} from '../streams/start-proof.js';
import {AnswerMeasurements} from './answer-measurements.js';
import {estimateOpenMs, listCandidates} from './candidate-servers.js';
import type {ForwardContext} from './forward-context.js';

export type ForwardContextOptions = Pick<EdgeOptions, 'settings' | 'clock' | 'random' | 'codec' | 'metrics' | 'account'>
	& Pick<ForwardContext, 'tasks' | 'registry' | 'health' | 'limits' | 'loadTracker' | 'profile' | 'expectedWork' | 'ownResources' | 'crashReports' | 'origins' | 'eventLog' | 'getConnectionLimit'>
	& Pick<EndpointClientOptions, 'onSent' | 'onForeignAnswer' | 'onHandlerFailed'>
	& {
		cacheIndex: PrefixCacheIndex;
		partUsage: PartUsage;
		getKvCapacity: (service: string) => number;
		/** Instances by which limits that all of them share are divided. */
		countInstances: () => number;
		/** Tells whether requests of the service wait at this instance while its slots are taken. */
		isAdmissionEnabled: (service: string) => boolean;
		/** Called when a server says in an answer that it leaves. */
		onLeaving: (server: Incarnation) => void;
		/** Called when a server says in an answer for how long it wants no requests, in milliseconds. */
		onPause: (server: Incarnation, pauseMs: number) => void;
	};

const connectTimeoutMs = 500; // Connecting takes a few milliseconds; the rest allows for one lost packet.
/** Number of the largest answers that fit into the memory for answers. */
const answersInMemory = 4;
/** Part of the memory for what is held that bounds, beside it, the heads of answers. */
const headMemoryDivisor = 8;

export function createForwardContext(opts: ForwardContextOptions): ForwardContext {
	const {settings, clock, tasks, random, codec, metrics, account, registry, health, limits, loadTracker, profile, expectedWork, cacheIndex, partUsage, eventLog, getKvCapacity, getConnectionLimit, countInstances} = opts;
	reportFullParts(account, {clock, events: eventLog});
	const client = new EndpointClient({
		clock, tasks, connectTimeoutMs, headBound: new ByteBudget(Math.floor(account.limit / headMemoryDivisor)), limits: {maxAnswerBytes: Math.floor(settings.answerMemoryBytes / answersInMemory), budget: account.getPart('answers')}, onAnswer(server, head, request) {
			const metadata = codec.decodeResponseHead(head);
			if (metadata.isLeaving) {
				opts.onLeaving(server);
			}

			if (metadata.pauseMs !== undefined && metadata.pauseMs > 0) {
				opts.onPause(server, metadata.pauseMs);
			}

			limits.recordAnswer(server, metadata.limit, request);
			if (request.isProved && !metadata.isNotExecuted) {
				registry.recordAnswer(server);
			}
		}, onSent: opts.onSent, onForeignAnswer: opts.onForeignAnswer, onHandlerFailed: opts.onHandlerFailed,
	});
	const pauses = new ServerPauses({clock, loadTracker});
	return {
		clock,
		tasks,
		random,
		codec,
		registry,
		health,
		pauses,
		limits,
		loadTracker,
		profile,
		ownResources: opts.ownResources,
		expectedWork,
		measurements: new AnswerMeasurements({cacheIndex, profile, health}),
		client,
		leastLoadPlacement: new LeastLoadPlacement({
			loadTracker, random, getFailureRate: server => health.getFailureRate(server), expectedWork,
		}),
		promptPlacement: new PromptPlacement({
			random, loadTracker, cacheIndex, usage: partUsage, profile, getKvCapacity, isLimited: server => limits.isLimited(server),
		}),
		admission: new ServiceAdmission({
			clock, random, loadTracker, metrics, isEnabled: opts.isAdmissionEnabled, listServers: service => listCandidates({
				registry, health, pauses, limits,
			}, service), findMaxRequests: server => pauses.findMaxRequests(server), estimateOpenMs: service => estimateOpenMs({registry, pauses, limits}, service), countInstances,
		}),
		retryBudget: new RetryBudget({
			clock, ratio: settings.retryRatio, allowance: settings.retryAllowance, windowMs: settings.retryWindowMs, isFirstStart: settings.isFirstStart, countInstances, eventLog, metrics,
		}),
		crashReports: opts.crashReports,
		origins: opts.origins,
		startProof: new StartProof({
			clock, client, codec, limits, registry, getConnectionLimit,
		}),
		eventLog,
		metrics,
		availabilityZone: settings.availabilityZone,
		getConnectionLimit,
	};
}
