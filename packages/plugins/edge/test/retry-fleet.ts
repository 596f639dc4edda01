/**
 * Several edges that forward seeded random requests to simulated servers, on a manual clock and without a network. The
 * forwarders, their placement and the retry budgets are the real ones; each edge has a budget of its own. Servers record
 * every call that arrives, so that the retries of all edges can be judged together.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {
	EndpointClientError, type EndpointClient, type OutboundRequest, type ResponseHandler,
} from '@hickorytrack/endpoint-client';
import {answerFramings} from '@hickorytrack/http-answer/answer-framing';
import {answerVerdicts} from '@hickorytrack/http-answer/answer-reader';
import {ByteBudget} from '@hickorytrack/http-answer/byte-budget';
import {connectionEnds} from '@hickorytrack/http-answer/connection-watch';
import {EndpointRegistry} from '@hickorytrack/endpoint-registry';
import {ExpectedWork} from '@hickorytrack/expected-work';
import {EngineProfile} from '@hickorytrack/engine-profile';
import {EventLog} from '@hickorytrack/events';
import {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {PromptPlacement} from '@hickorytrack/prompt-placement';
import {LeastLoadPlacement} from '@hickorytrack/prompt-placement/least-load-placement';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {Random} from '@hickorytrack/random';
import {StreamOrigins} from '@hickorytrack/stream-origins';
import {SharedRate} from '@hickorytrack/shared-rate';
import {LimitNews} from '@hickorytrack/shared-rate/limit-news';
import {requestKinds, type Route} from '@hickorytrack/route-table/route-types';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {StartProof} from '../src/streams/start-proof.js';
import {AnswerMeasurements} from '../src/calls/answer-measurements.js';
import {BufferedForwarder} from '../src/buffered/buffered-forwarder.js';
import type {RequestResult} from '../src/front/caller-request.js';
import type {ForwardContext} from '../src/calls/forward-context.js';
import {RateLimitedEventLog} from '../src/front/rate-limited-event-log.js';
import type {ForwardMetadata, RequestCodec} from '../src/request-codec.js';
import {RetryBudget} from '../src/limits/retry-budget.js';
import {ServerHealth} from '../src/calls/server-health.js';
import {ServerLimits} from '../src/limits/server-limits.js';
import {ServiceAdmission} from '../src/limits/service-admission.js';
import {ServerPauses} from '../src/limits/server-pauses.js';
import {StreamingForwarder} from '../src/streams/streaming-forwarder.js';

export const budgetBounds = {ratio: 0.2, allowance: 64, windowMs: 10_000} as const;

/** Probabilities with which a server rejects a call when it arrives or after a wait, or breaks the connection after a wait. */
export type ServerFaults = {
	rejectsAtOnce?: number;
	rejectsLate?: number;
	breaks?: number;
	/** Status with which the server answers each call at once. */
	errorStatus?: number;
	/** Factor by which calls take longer. */
	slowness?: number;
};

type Arrival = {at: number; requestId: string; isPrefill: boolean; isRejected: boolean};

type Attempt = {requestId: string; isPrefill: boolean; isPrefilled: boolean; handler: ResponseHandler};

const timeoutMs = 4000;
const reportIntervalMs = 1000;
const prefillMs = {least: 100, most: 600} as const;
const decodeMs = {least: 5, most: 40} as const;
const serversPerStage = 4;
const wholeAnswer = {
	framing: answerFramings.chunks, verdict: answerVerdicts.whole, bodyBytes: 0, heldBytes: 0, connectionEnd: connectionEnds.open,
};
const eventBytes = Buffer.from('id: 1\ndata: a\n\n');

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: requestKinds.streaming, timeoutMs, objectiveMs: 2000, priority: 0, targets: [{service: 's', weight: 1}], maxServers: 4, usesPromptCache: true, isResumable: true,
};

const codec = {
	encodeForwardHeaders: (headers: string[], {isPrefillOnly, kvHandle, lastEventId}: ForwardMetadata) => [...headers, isPrefillOnly ? 'prefill' : 'run', kvHandle ?? lastEventId ? 'prefilled' : 'whole'],
	createAnswerIdentity: (requestId: string) => ({expectedId: requestId, readId: ({headers}: {headers: Record<string, string>}) => headers.id}),
	decodeResponseHead: ({headers}: {headers: Record<string, string>}) => ({isNotExecuted: headers.rejected !== undefined, isAuthentic: true}),
	decodeKvHandle: (address: string, handle: string) => ({address, handle}),
	createReleaseCall: () => ({method: 'DELETE', path: '/release'}),
	encodeRetryAfter: () => ({}),
} as unknown as RequestCodec;

/** Keeps the time in whole milliseconds, so that a timer never fires a rounding error before its time. */
export class WholeMsClock extends ManualClock {
	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		return super.sleep(Math.ceil(ms), signal);
	}

	override startTimer(ms: number, onExpired: () => void): () => void {
		return super.startTimer(Math.ceil(ms), onExpired);
	}
}

export class RetryFleet {
	/** Times at which callers sent requests. */
	readonly requests: number[] = [];
	readonly arrivals: Arrival[] = [];
	/** Calls that count a request for its workspace, by request id. */
	readonly runCounts = new Map<string, number>();
	/** What ended attempts without a stream told the admission about the work, in milliseconds. */
	readonly runTimes: Array<number | undefined> = [];
	/** Whether the ends of attempts without a stream were samples of work. */
	readonly workSamples: boolean[] = [];
	/** Times until first bytes that were samples of the speed of model servers, in milliseconds. */
	readonly firstByteTimes: number[] = [];
	readonly results: RequestResult[] = [];
	readonly faults = new Map<string, ServerFaults>();
	readonly #clock: ManualClock;
	readonly #random: Random;
	readonly #contexts: ForwardContext[] = [];
	#reports = 0;

	constructor(clock: ManualClock, random: Random) {
		this.#clock = clock;
		this.#random = random;
	}

	/** Starts an edge, or starts it again without what it knew; its callers are the same. */
	startEdge(index: number, opts: {isFirstStart: boolean; countInstances: () => number}): void {
		this.#contexts[index] = this.#createContext(opts);
		this.reportServers();
	}

	reportServers(): void {
		this.#reports++;
		for (const {registry} of this.#contexts) {
			for (let index = 0; index < serversPerStage * 2; index++) {
				registry.recordReport({
					id: `s${index}`, startedAt: 1, sequence: this.#reports, service: 's', address: `s${index}` as SocketAddress, availabilityZone: 'z', slots: 100, state: 'ready', coldMs: 0, stage: index < serversPerStage ? 'prefill' : 'decode',
				});
			}
		}
	}

	/** Sends requests of callers to all edges for a time, at random with this mean interval. */
	async run(durationMs: number, {intervalMs, streamFraction = 0.7}: {intervalMs: number; streamFraction?: number}): Promise<void> {
		const end = this.#clock.monotonic() + durationMs;
		let reportAt = this.#clock.monotonic();
		for (;;) {
			const waitMs = Math.round(this.#random.nextExponential(intervalMs));
			if (this.#clock.monotonic() + waitMs > end) {
				await this.#clock.advance(end - this.#clock.monotonic());
				return;
			}

			await this.#clock.advance(waitMs);
			if (this.#clock.monotonic() - reportAt >= reportIntervalMs) {
				reportAt = this.#clock.monotonic();
				this.reportServers();
			}

			this.sendRequest({edge: this.#random.nextInteger(this.#contexts.length), isStream: this.#random.next() < streamFraction});
		}
	}

	sendRequest({edge, isStream}: {edge: number; isStream: boolean}): void {
		const context = this.#contexts[edge]!;
		const now = this.#clock.monotonic();
		const requestId = `r${this.requests.length}`;
		this.requests.push(now);
		const Forwarder = isStream ? StreamingForwarder : BufferedForwarder;
		const forwarder = new Forwarder(context, {
			metadata: {
				requestId, headers: [requestId, isStream ? 'stream' : 'plain'], prompt: {parts: [{id: requestId, tokens: 8000}], tokens: 8000, maxOutputTokens: 50},
			},
			method: 'POST',
			path: '/',
			body: Buffer.alloc(0),
			route: isStream ? route : {...route, kind: requestKinds.idempotent},
			service: 's',
			priority: 0,
			arrivedAt: now,
			deadlineAt: now + timeoutMs,
			response: createResponse(),
			signal: new AbortController().signal,
			countRun: () => {
				this.runCounts.set(requestId, (this.runCounts.get(requestId) ?? 0) + 1);
			},
			traits: {request: requestId, parts: []},
		});
		void forwarder.forward().then(result => {
			this.results.push(result);
		});
	}

	/** Times of the arrivals that count as retries. A prefill counts unless it is the first accepted one of its request. */
	listRetries(): number[] {
		const prefilled = new Set<string>();
		const run = new Set<string>();
		const retries: number[] = [];
		for (const {at, requestId, isPrefill, isRejected} of this.arrivals) {
			const seen = isPrefill ? prefilled : run;
			if (seen.has(requestId) || (isPrefill && isRejected)) {
				retries.push(at);
			} else {
				seen.add(requestId);
			}
		}

		return retries;
	}

	/** Returns the most by which the retries of a window exceed its budget; negative when they stay below it in each window. */
	computeExcess(): number {
		const {ratio, allowance, windowMs} = budgetBounds;
		const retries = this.listRetries();
		const starts = retries.flatMap(at => [at - 1, at - windowMs]);
		return Math.max(...starts.map(start => {
			const requests = Math.max(...[0, windowMs / 2, windowMs].map(shiftMs => countBetween(this.requests, start - shiftMs, windowMs)));
			return countBetween(retries, start, windowMs) - (ratio * requests) - allowance;
		}), Number.NEGATIVE_INFINITY);
	}

	countAnswered(): number {
		return this.results.filter(result => result.outcome === 'answered').length;
	}

	#createContext({isFirstStart, countInstances}: {isFirstStart: boolean; countInstances: () => number}): ForwardContext {
		const clock = this.#clock;
		const random = this.#random;
		const health = new ServerHealth(clock);
		const loadTracker = new LoadTracker(clock);
		const profile = new EngineProfile();
		const cacheIndex = new PrefixCacheIndex({getKvCapacity: () => 1e6});
		const expectedWork = new ExpectedWork(clock);
		const measurements = new AnswerMeasurements({cacheIndex, profile, health});
		const recordFirstByte = measurements.recordFirstByte.bind(measurements);
		measurements.recordFirstByte = (server, opts) => {
			this.firstByteTimes.push(opts.elapsedMs);
			recordFirstByte(server, opts);
		};

		const begin = expectedWork.begin.bind(expectedWork);
		expectedWork.begin = (...args) => {
			const running = begin(...args);
			return {
				...running, end: opts => {
					this.workSamples.push(opts.isSample);
					running.end(opts);
				},
			};
		};

		const eventLog = new RateLimitedEventLog(clock, new EventLog({clock}));
		const admission = new ServiceAdmission({
			clock, random, loadTracker, metrics: new MetricsRegistry(), isEnabled: () => false, listServers: () => [], findMaxRequests: () => undefined, estimateOpenMs: () => 0, countInstances,
		});
		admission.recordEnd = (_request, runMs) => {
			this.runTimes.push(runMs);
		};

		return {
			clock,
			tasks: new BackgroundTasks(),
			random,
			codec,
			health,
			pauses: new ServerPauses({clock, loadTracker}),
			loadTracker,
			profile,
			expectedWork,
			eventLog,
			client: {limits: {maxAnswerBytes: 1e6, budget: new ByteBudget(1e9)}, send: (_address: string, request: OutboundRequest, handler: ResponseHandler) => this.#handleCall(request, handler)} as unknown as EndpointClient,
			registry: new EndpointRegistry({clock, reportTimeoutMs: 60_000}),
			measurements,
			leastLoadPlacement: new LeastLoadPlacement({loadTracker, random, getFailureRate: () => 0}),
			// No server names a limit here.
			limits: createUnlimited(),
			promptPlacement: new PromptPlacement({
				random, loadTracker, cacheIndex, usage: new PartUsage(clock), profile, getKvCapacity: () => 1e6,
			}),
			admission,
			retryBudget: new RetryBudget({
				clock, ...budgetBounds, isFirstStart, countInstances, eventLog, metrics: new MetricsRegistry(),
			}),
			// All servers have the same version, and no server starts again.
			origins: new StreamOrigins({
				clock, hasVersion: () => true, findServer: () => undefined, leader: {
					isSupported: false, write: async () => undefined, findOrigin: async () => undefined, recall: async () => undefined,
				},
			}),
			startProof: {check: async () => 'proved', ask: async () => 'proved'} as unknown as StartProof,
			// No server crashes here.
			crashReports: {
				async handleLoss() {/* Nothing is lost by a crash. */},
				checkEnd: async () => 'running',
				recordAnswer() {/* Nothing is suspect. */},
				findBan: () => undefined,
			},
			availabilityZone: 'z',
			getConnectionLimit: () => 100,
			metrics: new MetricsRegistry(),
		};
	}

	#handleCall({headers}: OutboundRequest, handler: ResponseHandler): ReturnType<EndpointClient['send']> {
		const [requestId, answer, call, prompt] = headers as [string | undefined, string, string, string];
		const abortController = new AbortController();
		if (requestId !== undefined) {
			void this.#answer({
				requestId, isPrefill: call === 'prefill', isPrefilled: prompt === 'prefilled' || answer === 'plain', handler,
			}, abortController.signal);
		}

		return {
			isWritten: true,
			cancel() {
				if (!abortController.signal.aborted) {
					abortController.abort();
					handler.onFailure(new EndpointClientError('ERR_HICKORYTRACK_ENDPOINT_CANCELLED', 'cancelled', {isWritten: true, isCancelled: true}));
				}
			},
			pause() {/* The stream is short. */},
			resume() {/* The stream is short. */},
		};
	}

	async #answer({requestId, isPrefill, isPrefilled, handler}: Attempt, signal: AbortSignal): Promise<void> {
		const arrival: Arrival = {
			at: this.#clock.monotonic(), requestId, isPrefill, isRejected: false,
		};
		this.arrivals.push(arrival);
		const {rejectsAtOnce = 0, rejectsLate = 0, breaks = 0, slowness = 1} = this.faults.get(isPrefill ? 'prefill' : 'run') ?? {};
		const reject = () => {
			arrival.isRejected = true;
			handler.onHead({status: 503, headers: {id: requestId, rejected: '1'}});
			handler.onEnd(wholeAnswer);
		};

		await this.#clock.sleep(2, signal);
		const {errorStatus} = this.faults.get(isPrefill ? 'prefill' : 'run') ?? {};
		if (!signal.aborted && errorStatus !== undefined) {
			handler.onHead({status: errorStatus, headers: {id: requestId}});
			handler.onData(Buffer.from('{}'));
			handler.onEnd(wholeAnswer);
			return;
		}

		if (!signal.aborted && this.#random.next() < rejectsAtOnce) {
			reject();
			return;
		}

		const {least, most} = isPrefilled ? decodeMs : prefillMs;
		await this.#clock.sleep(this.#random.nextBetween(least, most) * (isPrefill ? 1 : 2) * slowness, signal);
		if (signal.aborted) {
			return;
		}

		// The faults of a server that waits are those at the end of the wait.
		const later = this.faults.get(isPrefill ? 'prefill' : 'run') ?? {};
		if (this.#random.next() < (later.breaks ?? breaks)) {
			handler.onFailure(new EndpointClientError('ERR_HICKORYTRACK_ENDPOINT_BROKEN', 'reset', {isWritten: true}));
		} else if (this.#random.next() < (later.rejectsLate ?? rejectsLate)) {
			reject();
		} else {
			handler.onHead({status: 200, headers: {id: requestId, 'content-type': 'text/event-stream'}});
			handler.onData(isPrefill ? Buffer.from(requestId) : eventBytes);
			handler.onEnd(wholeAnswer);
		}
	}
}

function createUnlimited(): ServerLimits {
	const clock = new ManualClock();
	const metrics = new MetricsRegistry();
	return new ServerLimits({
		clock, news: new LimitNews(clock), eventLog: new RateLimitedEventLog(clock, new EventLog({clock})), metrics, onNews() {/* There is none. */}, rate: new SharedRate({
			clock, random: new Random(1), requestGrants: async () => undefined, countInstances: () => 1,
		}),
	});
}

function countBetween(times: readonly number[], start: number, lengthMs: number): number {
	return times.filter(time => time > start && time <= start + lengthMs).length;
}

function createResponse(): ServerResponse {
	const response = {
		headersSent: false,
		destroyed: false,
		writeHead() {
			response.headersSent = true;
		},
		flushHeaders() {/* Nothing is sent. */},
		removeHeader() {/* Nothing is sent. */},
		once() {/* Never full. */},
		write: () => true,
		end() {/* Nothing is sent. */},
		destroy() {
			response.destroyed = true;
		},
	};
	return response as unknown as ServerResponse;
}
