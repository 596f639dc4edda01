/**
 * Simulated engines and entries for the benchmarks of placement, queueing and role planning. An engine runs the batching
 * model of the stand-in under a clock that the benchmark advances, behind the fair queue and the adaptive limit of the
 * product. An entry selects engines with a placer of the product, from delayed load reports. The product's code makes the
 * decisions; time and transport are simulated.
 */
import type {Clock} from '@hickorytrack/clock';
import {AdaptiveLimit} from '@hickorytrack/rate-limit/adaptive-limit';
import {RetryBudget} from '@hickorytrack/rate-limit/retry-budget';
import {FairQueue, type QueuedWork} from '@hickorytrack/fair-queue';
import {canMeetFirstTokenTarget} from '@hickorytrack/fair-queue/first-token-estimate';
import {CacheView} from '@hickorytrack/placement/cache-view';
import type {PlacementCandidate, Placer} from '@hickorytrack/placement';
import {
	BatchModel, roleFactors, type BatchSpeed, type ModelRole,
} from '@hickorytrack/stand-ins/batch-model';
import type {EndpointLoad, EndpointSpeed} from '@hickorytrack/types/endpoint';

export class SteppedClock implements Clock {
	time = 0;

	now(): number {
		return this.time;
	}

	monotonic(): number {
		return this.time;
	}

	async sleep(): Promise<void> {
		throw new Error('SteppedClock cannot sleep; advance its time instead');
	}

	startTimer(): () => void {
		throw new Error('SteppedClock has no timers; advance its time instead');
	}
}

export type SimulatedRequest = {
	id: string;
	workspace: string;
	model: string;
	priority: number;
	share: number;
	queueMs: number;
	arrivedAt: number;
	promptTokens: number;
	/** Id of the prompt prefix that other requests share. */
	prefixId: string;
	prefixTokens: number;
	outputTokens: number;
	entryIndex: number;
	firstTokenAt?: number;
	completedAt?: number;
	/** Output tokens of all attempts. */
	producedTokens: number;
	outcome?: 'complete' | 'refused';
	attempts: number;
	cachedTokens: number;
	/** Prompt tokens that the entry expects in the KV cache of the engine. */
	expectedCachedTokens: number;
};

export const engineSpeed: BatchSpeed = {
	prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 1600, sequenceTokensPerSecond: 60, capacity: 32,
};

const msPerSecond = 1000;
const blockTokens = 256;
const limitWindowMs = 1000;
const betweenTokensTargetMs = 79;
const firstTokenTargetMs = 460;

/** Returns the ids of the full blocks in the shared prefix of a prompt. */
export function createBlockIds(request: SimulatedRequest): string[] {
	return Array.from({length: Math.floor(request.prefixTokens / blockTokens)}, (_, index) => `${request.prefixId}/${index}`);
}

/** Tells whether a request completed within the targets for the first token and for the time between tokens. */
export function isWithinTargets(request: SimulatedRequest): boolean {
	if (request.outcome !== 'complete') {
		return false;
	}

	const betweenTokensMs = request.outputTokens > 1 ? (request.completedAt! - request.firstTokenAt!) / (request.outputTokens - 1) : 0;
	return request.firstTokenAt! - request.arrivedAt <= firstTokenTargetMs && betweenTokensMs <= betweenTokensTargetMs;
}

export type EngineOptions = {
	clock: Clock;
	name: string;
	availabilityZone: string;
	speed?: BatchSpeed;
	cacheTokens: number;
	role?: ModelRole;
	maximumQueueLength?: number;
};

export class SimulatedEngine {
	readonly name: string;
	readonly batch: BatchModel;
	readonly availabilityZone: string;
	readonly running = new Map<string, SimulatedRequest>();
	readonly work = {prefillSeconds: 0, decodeSeconds: 0};
	/** Prefill and decode seconds of the completed requests, by model. */
	readonly engineSecondsByModel = new Map<string, {prefillSeconds: number; decodeSeconds: number}>();
	isDraining = false;
	unavailableUntil = 0;
	nextRole: ModelRole | undefined;
	crashedUntil = 0;
	readonly #opts: EngineOptions;
	readonly #queue: FairQueue<SimulatedRequest>;
	readonly #limit: AdaptiveLimit;
	readonly #cache = new Map<string, number>();
	#cachedTokens = 0;
	readonly #waiting = new Set<SimulatedRequest>();

	constructor(opts: EngineOptions) {
		this.#opts = opts;
		this.name = opts.name;
		this.availabilityZone = opts.availabilityZone;
		this.batch = new BatchModel(opts.speed ?? engineSpeed, opts.role);
		this.#queue = new FairQueue({clock: opts.clock, maximumLength: opts.maximumQueueLength ?? 2000, burstMs: 500});
		this.#limit = new AdaptiveLimit({
			clock: opts.clock, minimum: this.batch.speed.capacity / 4, maximum: this.batch.speed.capacity, windowMs: limitWindowMs,
		});
	}

	get isServing(): boolean {
		return !this.isDraining && this.#opts.clock.monotonic() >= this.unavailableUntil;
	}

	/** Speed in the current role. */
	get speed(): EndpointSpeed {
		const {prefill, decode} = roleFactors[this.batch.role];
		const {prefillTokensPerSecond, decodeTokensPerSecond} = this.batch.speed;
		return {prefillTokensPerSecond: prefillTokensPerSecond * prefill, decodeTokensPerSecond: decodeTokensPerSecond * decode};
	}

	get queued(): number {
		return this.#queue.length;
	}

	/** Queues a request. Returns false if the request is refused before it runs, by the same rules as in an agent. */
	submit(request: SimulatedRequest): boolean {
		const prefillTokens = request.promptTokens - request.expectedCachedTokens;
		const costAheadMs = this.#queue.estimateCostAhead(request);
		const budgetMs = firstTokenTargetMs - (this.#opts.clock.monotonic() - request.arrivedAt);
		const canMeetTarget = canMeetFirstTokenTarget({
			speed: this.speed, costAheadMs, running: this.running.size, slots: this.#limit.value, runningPrefillTokens: this.#countRunningPrefillTokens(), ownPrefillTokens: prefillTokens,
		}, budgetMs);
		const isLate = this.running.size > 0 && request.producedTokens === 0 && !canMeetTarget;
		if (!this.isServing || isLate || (this.running.size >= this.#limit.value && costAheadMs > request.queueMs)) {
			return false;
		}

		const work: QueuedWork<SimulatedRequest> = {
			workspace: request.workspace, priority: request.priority, share: request.share, item: request,
			queueMs: request.producedTokens > 0 ? request.queueMs : Math.min(request.queueMs, Math.max(1, budgetMs)),
			costMs: ((prefillTokens / this.speed.prefillTokensPerSecond) + (request.outputTokens / this.speed.decodeTokensPerSecond)) * msPerSecond,
		};
		const isQueued = this.#queue.push(work, {
			onEvicted(evicted) {
				evicted.outcome = 'refused';
			},
		});
		if (isQueued) {
			this.#waiting.add(request);
		}

		return isQueued;
	}

	/** Simulates the `seconds` up to the current time of the clock. */
	step(seconds: number): void {
		const now = this.#opts.clock.monotonic();
		for (const expired of this.#queue.removeExpired()) {
			expired.item.outcome = 'refused';
			this.#waiting.delete(expired.item);
		}

		if (now < this.unavailableUntil) {
			return;
		}

		this.#startQueued();
		const {produced, finished} = this.batch.step(seconds);
		for (const {id, count} of produced) {
			const request = this.running.get(id)!;
			request.firstTokenAt ??= now;
			request.producedTokens += count;
		}

		for (const id of finished) {
			this.#finish(this.running.get(id)!, now);
		}
	}

	/** Removes all queued and running requests and returns them, so that they can be submitted to other engines. */
	removeAll(): SimulatedRequest[] {
		const waiting = this.removeQueued();
		const taken = [...waiting, ...this.running.values()];
		this.running.clear();
		this.batch.clear();
		return taken;
	}

	removeQueued(): SimulatedRequest[] {
		this.#waiting.clear();
		return this.#queue.removeWhere(() => true).map(work => work.item);
	}

	get #queuedPrefillTokens(): number {
		let sum = 0;
		for (const request of this.#waiting) {
			sum += request.promptTokens - request.expectedCachedTokens;
		}

		return sum;
	}

	#countRunningPrefillTokens(): number {
		let sum = 0;
		for (const request of this.running.values()) {
			sum += request.firstTokenAt === undefined ? request.promptTokens - request.cachedTokens : 0;
		}

		return sum;
	}

	clearCache(): void {
		this.#cache.clear();
		this.#cachedTokens = 0;
	}

	getLoad(): EndpointLoad {
		let pendingPrefillTokens = 0;
		let pendingDecodeTokens = 0;
		for (const request of this.running.values()) {
			pendingPrefillTokens += request.firstTokenAt === undefined ? request.promptTokens - request.cachedTokens : 0;
			pendingDecodeTokens += request.outputTokens - request.producedTokens;
		}

		return {
			running: this.running.size, queued: this.#queue.length, slots: this.#limit.value,
			pendingPrefillTokens: pendingPrefillTokens + this.#queuedPrefillTokens,
			pendingDecodeTokens, role: this.batch.role, phase: this.isServing ? 'serving' : 'draining', sequence: 0,
		};
	}

	#startQueued(): void {
		while (this.running.size < this.#limit.value) {
			const request = this.#queue.pop()?.item;
			if (!request) {
				return;
			}

			this.#waiting.delete(request);
			const cached = this.#updateCache(request);
			request.cachedTokens = cached;
			this.running.set(request.id, request);
			this.batch.add({
				id: request.id, priority: request.priority, prefillLeft: Math.max(1, request.promptTokens - cached + request.producedTokens), decodeLeft: request.outputTokens - request.producedTokens, partial: 0,
			});
		}
	}

	#updateCache(request: SimulatedRequest): number {
		if (request.prefixTokens === 0) {
			return 0;
		}

		const hitTokens = this.#cache.get(request.prefixId);
		this.#cache.delete(request.prefixId);
		this.#cache.set(request.prefixId, request.prefixTokens);
		this.#cachedTokens += hitTokens === undefined ? request.prefixTokens : 0;
		for (const [prefix, tokens] of this.#cache) {
			if (this.#cachedTokens <= this.#opts.cacheTokens) {
				break;
			}

			this.#cache.delete(prefix);
			this.#cachedTokens -= tokens;
		}

		return hitTokens ?? 0;
	}

	#finish(request: SimulatedRequest, now: number): void {
		this.running.delete(request.id);
		request.completedAt = now;
		request.outcome = 'complete';
		const betweenTokensMs = request.outputTokens > 1 ? (now - request.firstTokenAt!) / (request.outputTokens - 1) : 0;
		this.#limit.observe(betweenTokensMs, {targetMs: betweenTokensTargetMs, concurrency: this.running.size + 1});
		const seconds = this.engineSecondsByModel.get(request.model) ?? {prefillSeconds: 0, decodeSeconds: 0};
		seconds.prefillSeconds += (request.promptTokens - request.cachedTokens) / this.batch.speed.prefillTokensPerSecond;
		seconds.decodeSeconds += request.outputTokens / this.batch.speed.decodeTokensPerSecond;
		this.engineSecondsByModel.set(request.model, seconds);
	}
}

type EngineView = {
	load: EndpointLoad;
	reportedAt: number;
	cache: CacheView;
	sent: Array<{at: number; request: SimulatedRequest}>;
};

export type EntryOptions = {
	clock: Clock;
	placer: Placer;
	engines: readonly SimulatedEngine[];
	availabilityZone: string;
	/** Delay after which a load report takes effect. */
	reportDelayMs: number;
	/** Maximum number of endpoints that are tried each time a request is submitted. */
	maximumAttempts?: number;
	/** KV cache size of an engine in tokens; it bounds the entry's view of the cache. */
	cacheTokens: number;
};

export class SimulatedEntry {
	readonly #opts: EntryOptions;
	readonly #views = new Map<string, EngineView>();
	/** One retry budget per workspace, so that no workspace can use up the budget of another. */
	readonly #retryBudgets = new Map<string, RetryBudget>();
	readonly #reports: Array<{at: number; engine: string; load: EndpointLoad}> = [];

	constructor(opts: EntryOptions) {
		this.#opts = opts;
		for (const engine of opts.engines) {
			this.#views.set(engine.name, {
				load: engine.getLoad(), reportedAt: 0, cache: new CacheView(Math.floor(opts.cacheTokens / blockTokens)), sent: [],
			});
		}
	}

	/** Adds a load report of the engine, which takes effect after `reportDelayMs`. */
	addReport(engine: SimulatedEngine): void {
		this.#reports.push({at: this.#opts.clock.monotonic(), engine: engine.name, load: engine.getLoad()});
	}

	/** Submits a request to the best-ranked endpoint that accepts it. Returns false if no endpoint accepts it or the retry budget is used up. */
	submit(request: SimulatedRequest): boolean {
		this.#applyReports();
		const blocks = createBlockIds(request);
		const candidates = this.#opts.engines.map(engine => this.#createCandidate(engine));
		const usable = candidates.filter(candidate => candidate.load?.phase === 'serving');
		const ranked = this.#opts.placer.rank({
			promptTokens: request.promptTokens, maxTokens: request.outputTokens, blocks, availabilityZone: this.#opts.availabilityZone,
		}, usable);
		for (const [index, candidate] of ranked.slice(0, this.#opts.maximumAttempts ?? 3).entries()) {
			if (index > 0 && !this.#getRetryBudget(request.workspace).acquire()) {
				return false;
			}

			request.attempts++;
			const engine = this.#opts.engines.find(other => other.name === candidate.endpoint)!;
			const view = this.#views.get(engine.name)!;
			request.expectedCachedTokens = Math.floor(view.cache.computeHitFraction(blocks) * request.prefixTokens);
			if (engine.submit(request)) {
				view.cache.addBlocks(blocks);
				view.sent.push({at: this.#opts.clock.monotonic(), request});
				return true;
			}
		}

		return false;
	}

	clearCache(engine: string): void {
		this.#views.get(engine)!.cache.clear();
	}

	#getRetryBudget(workspace: string): RetryBudget {
		const budget = this.#retryBudgets.get(workspace) ?? new RetryBudget(this.#opts.clock);
		this.#retryBudgets.set(workspace, budget);
		return budget;
	}

	#applyReports(): void {
		const due = this.#opts.clock.monotonic() - this.#opts.reportDelayMs;
		while (this.#reports.length > 0 && this.#reports[0]!.at <= due) {
			const report = this.#reports.shift()!;
			const view = this.#views.get(report.engine)!;
			view.load = report.load;
			view.reportedAt = report.at;
			for (const {request} of view.sent.filter(sent => sent.request.outcome === 'complete')) {
				view.cache.updateConfidence(request.expectedCachedTokens, request.cachedTokens);
				this.#getRetryBudget(request.workspace).recordSuccess();
			}

			view.sent = view.sent.filter(sent => sent.at > report.at && sent.request.outcome === undefined);
		}
	}

	#createCandidate(engine: SimulatedEngine): PlacementCandidate {
		const view = this.#views.get(engine.name)!;
		const openRequests = view.sent.filter(sent => sent.request.outcome === undefined);
		return {
			endpoint: engine.name,
			availabilityZone: engine.availabilityZone,
			speed: engine.speed,
			capacity: engine.batch.speed.capacity,
			role: engine.batch.role,
			load: view.load,
			loadAgeMs: this.#opts.clock.monotonic() - view.reportedAt,
			unreported: {
				requests: openRequests.length,
				prefillTokens: openRequests.reduce((sum, sent) => sum + (sent.request.firstTokenAt === undefined ? sent.request.promptTokens - sent.request.expectedCachedTokens : 0), 0),
				decodeTokens: openRequests.reduce((sum, sent) => sum + sent.request.outputTokens - sent.request.producedTokens, 0),
			},
			cache: view.cache,
		};
	}
}
