import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EndpointRegistry, type KnownServer} from '@hickorytrack/endpoint-registry';
import {EventLog} from '@hickorytrack/events';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {Random} from '@hickorytrack/random';
import {SharedRate} from '@hickorytrack/shared-rate';
import {LimitNews} from '@hickorytrack/shared-rate/limit-news';
import {RateIssuer} from '@hickorytrack/shared-rate/rate-issuer';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {CallerRequest} from '../src/front/caller-request.js';
import {AttemptCanceller} from '../src/calls/attempt.js';
import type {ForwardContext} from '../src/calls/forward-context.js';
import {RateLimitedEventLog} from '../src/front/rate-limited-event-log.js';
import type {RequestOrigin} from '../src/streams/request-origin.js';
import type {SendPermits} from '../src/limits/send-permits.js';
import {ServerLimits} from '../src/limits/server-limits.js';
import {ServerPauses} from '../src/limits/server-pauses.js';
import {StreamPlanner} from '../src/streams/stream-planner.js';
import type {StreamRun} from '../src/streams/stream-run.js';

describe('StreamPlanner', () => {
	// The time for which a caller waits for the first event was taken; in a long stream it is over, and each resumption was denied.
	it('lets a long stream go on at a limited server', async () => {
		const clock = new ManualClock();
		const registry = new EndpointRegistry({clock, reportTimeoutMs: 60_000});
		registry.recordReport({
			id: 's1', startedAt: 1, sequence: 1, service: 's', address: 'a' as SocketAddress, availabilityZone: 'z', slots: 8, state: 'ready', coldMs: 0,
		});
		const server: KnownServer = registry.find('s1')!;
		const news = new LimitNews(clock);
		news.record(server, 10);
		const issuer = new RateIssuer(clock);
		const limits = new ServerLimits({
			clock, news, metrics: new MetricsRegistry(), eventLog: new RateLimitedEventLog(clock, new EventLog({clock})), onNews() {/* Nobody else. */}, rate: new SharedRate({
				clock, random: new Random(1), countInstances: () => 1, requestGrants: async (subject, request) => issuer.acquire(subject, request),
			}),
		});
		const context = {
			clock, registry, limits, pauses: new ServerPauses({clock, loadTracker: new LoadTracker(clock)}),
		} as unknown as ForwardContext;
		const request = {
			arrivedAt: 0, deadlineAt: 15_000, route: {patienceMs: 2000, objectiveMs: 300, priority: 1}, priority: 1, signal: new AbortController().signal,
		} as unknown as CallerRequest;
		const planner = new StreamPlanner(context, request, {
			permits: {} as unknown as SendPermits, prompt: {parts: [], tokens: 0, maxOutputTokens: 0}, origin: {} as unknown as RequestOrigin, relay: {lastEventAt: undefined},
		});
		await clock.advance(10_000);
		const grant = planner.acquireResumption(server, {canceller: new AttemptCanceller()} as StreamRun);
		await clock.advance(1000);
		expect(await grant).not.to.equal(undefined);
	});

	// A stream that had gone on for longer than its caller waits for the first event was left at its silent server, because any
	// other one seemed too slow.
	it('counts the time for which a caller waits from the last event', async () => {
		const clock = new ManualClock();
		const waits: number[] = [];
		const context = {
			clock, registry: {listUsable: () => []}, pauses: {selectOpen: () => []}, limits: {hasLimits: false}, health: {selectHealthy: () => []}, promptPlacement: {
				plan({maxWaitMs}: {maxWaitMs: number}) {
					waits.push(maxWaitMs);
					return {kind: 'refuse'};
				},
			},
		} as unknown as ForwardContext;
		const request = {
			arrivedAt: 0, deadlineAt: 15_000, route: {patienceMs: 2000, objectiveMs: 300, priority: 1}, priority: 1, signal: new AbortController().signal,
		} as unknown as CallerRequest;
		const relay: {lastEventAt: number | undefined} = {lastEventAt: undefined};
		const planner = new StreamPlanner(context, request, {
			permits: {} as unknown as SendPermits, prompt: {parts: [], tokens: 0, maxOutputTokens: 0}, origin: {} as unknown as RequestOrigin, relay,
		});
		const run = {listServers: () => []} as unknown as StreamRun;
		await clock.advance(500);
		planner.plan(run);
		await clock.advance(9500);
		relay.lastEventAt = 9500;
		planner.plan(run);
		expect(waits).to.deep.equal([1500, 1500]);
	});
});
