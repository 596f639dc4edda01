/**
 * Fakes at the interfaces for the benchmarks of policy: engines after the stand-in's batching model under a clock that
 * the benchmark moves, each with the product's fair queue and adaptive limit before it, and entries that choose with the
 * product's placers from reports that come late. Decisions are the product's; time and transport are not.
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
		throw new Error('A stepped clock is moved, not waited for');
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
	/** Part of the prompt that other requests share, by its name. */
	prefix: string;
	prefixTokens: number;
	outputTokens: number;
	entry: number;
	firstAt?: number;
	doneAt?: number;
	/** Tokens produced so far, over all attempts. */
	produced: number;
	outcome?: 'complete' | 'refused';
	attempts: number;
	cachedTokens: number;
	/** Tokens of the prompt that the entry expects in the cache. */
	expectedCached: number;
};

export const engineSpeed: BatchSpeed = {
	prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 1600, sequenceTokensPerSecond: 60, capacity: 32,
};

const msPerSecond = 1000;
const blockTokens = 256;
const adaptWindowMs = 1000;
const betweenTargetMs = 79;
const firstTargetMs = 460;

/** Names the blocks of the shared part of a prompt. */
export function nameBlocks(request: SimulatedRequest): string[] {
	return Array.from({length: Math.floor(request.prefixTokens / blockTokens)}, (_, index) => `${request.prefix}/${index}`);
}

export function isGood(request: SimulatedRequest): boolean {
	if (request.outcome !== 'complete') {
		return false;
	}

	const between = request.outputTokens > 1 ? (request.doneAt! - request.firstAt!) / (request.outputTokens - 1) : 0;
	return request.firstAt! - request.arrivedAt <= firstTargetMs && between <= betweenTargetMs;
}

export type EngineOptions = {
	clock: Clock;
	name: string;
	availabilityZone: string;
	speed?: BatchSpeed;
	cacheTokens: number;
	role?: ModelRole;
	maximumQueue?: number;
};

export class SimulatedEngine {
	readonly name: string;
	readonly batch: BatchModel;
	readonly availabilityZone: string;
	readonly running = new Map<string, SimulatedRequest>();
	readonly work = {prefillSeconds: 0, decodeSeconds: 0};
	/** Prefill and decode seconds by model since the last collection. */
	readonly byModel = new Map<string, {prefillSeconds: number; decodeSeconds: number}>();
	isDraining = false;
	awayUntil = 0;
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
		this.#queue = new FairQueue({clock: opts.clock, maximumLength: opts.maximumQueue ?? 2000, burstMs: 500});
		this.#limit = new AdaptiveLimit({
			clock: opts.clock, minimum: this.batch.speed.capacity / 4, maximum: this.batch.speed.capacity, windowMs: adaptWindowMs,
		});
	}

	get isServing(): boolean {
		return !this.isDraining && this.#opts.clock.monotonic() >= this.awayUntil;
	}

	/** Speed in the present role. */
	get speed(): EndpointSpeed {
		const {prefill, decode} = roleFactors[this.batch.role];
		const {prefillTokensPerSecond, decodeTokensPerSecond} = this.batch.speed;
		return {prefillTokensPerSecond: prefillTokensPerSecond * prefill, decodeTokensPerSecond: decodeTokensPerSecond * decode};
	}

	get queued(): number {
		return this.#queue.length;
	}

	/** Takes a request or answers a true not-run, as an agent does. */
	offer(request: SimulatedRequest): boolean {
		const prefillTokens = request.promptTokens - request.expectedCached;
		const costAheadMs = this.#queue.estimateCostAhead(request);
		const budgetMs = firstTargetMs - (this.#opts.clock.monotonic() - request.arrivedAt);
		const isInTime = canMeetFirstTokenTarget({
			speed: this.speed, costAheadMs, running: this.running.size, slots: this.#limit.value, runningPrefillTokens: this.#sumRunningPrefill(), ownPrefillTokens: prefillTokens,
		}, budgetMs);
		const isLate = this.running.size > 0 && request.produced === 0 && !isInTime;
		if (!this.isServing || isLate || (this.running.size >= this.#limit.value && costAheadMs > request.queueMs)) {
			return false;
		}

		const work: QueuedWork<SimulatedRequest> = {
			workspace: request.workspace, priority: request.priority, share: request.share, item: request,
			queueMs: request.produced > 0 ? request.queueMs : Math.min(request.queueMs, Math.max(1, budgetMs)),
			costMs: ((prefillTokens / this.speed.prefillTokensPerSecond) + (request.outputTokens / this.speed.decodeTokensPerSecond)) * msPerSecond,
		};
		const isTaken = this.#queue.push(work, {
			onEvicted(displaced) {
				displaced.outcome = 'refused';
			},
		});
		if (isTaken) {
			this.#waiting.add(request);
		}

		return isTaken;
	}

	/** Moves the engine to the clock's time over `seconds`. */
	step(seconds: number): void {
		const now = this.#opts.clock.monotonic();
		for (const expired of this.#queue.removeExpired()) {
			expired.item.outcome = 'refused';
			this.#waiting.delete(expired.item);
		}

		if (now < this.awayUntil) {
			return;
		}

		this.#pump();
		const {produced, finished} = this.batch.step(seconds);
		for (const {id, count} of produced) {
			const request = this.running.get(id)!;
			request.firstAt ??= now;
			request.produced += count;
		}

		for (const id of finished) {
			this.#finish(this.running.get(id)!, now);
		}
	}

	/** Takes everything back that waits or runs, to be placed elsewhere. */
	takeAll(): SimulatedRequest[] {
		const waiting = this.takeQueued();
		const taken = [...waiting, ...this.running.values()];
		this.running.clear();
		this.batch.clear();
		return taken;
	}

	takeQueued(): SimulatedRequest[] {
		this.#waiting.clear();
		return this.#queue.removeWhere(() => true).map(work => work.item);
	}

	get #queuedPrefillTokens(): number {
		let sum = 0;
		for (const request of this.#waiting) {
			sum += request.promptTokens - request.expectedCached;
		}

		return sum;
	}

	#sumRunningPrefill(): number {
		let sum = 0;
		for (const request of this.running.values()) {
			sum += request.firstAt === undefined ? request.promptTokens - request.cachedTokens : 0;
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
			pendingPrefillTokens += request.firstAt === undefined ? request.promptTokens - request.cachedTokens : 0;
			pendingDecodeTokens += request.outputTokens - request.produced;
		}

		return {
			running: this.running.size, queued: this.#queue.length, slots: this.#limit.value,
			pendingPrefillTokens: pendingPrefillTokens + this.#queuedPrefillTokens,
			pendingDecodeTokens, role: this.batch.role, phase: this.isServing ? 'serving' : 'draining', sequence: 0,
		};
	}

	#pump(): void {
		while (this.running.size < this.#limit.value) {
			const request = this.#queue.pop()?.item;
			if (!request) {
				return;
			}

			this.#waiting.delete(request);
			const cached = this.#useCache(request);
			request.cachedTokens = cached;
			this.running.set(request.id, request);
			this.batch.add({
				id: request.id, priority: request.priority, prefillLeft: Math.max(1, request.promptTokens - cached + request.produced), decodeLeft: request.outputTokens - request.produced, partial: 0,
			});
		}
	}

	#useCache(request: SimulatedRequest): number {
		if (request.prefixTokens === 0) {
			return 0;
		}

		const held = this.#cache.get(request.prefix);
		this.#cache.delete(request.prefix);
		this.#cache.set(request.prefix, request.prefixTokens);
		this.#cachedTokens += held === undefined ? request.prefixTokens : 0;
		for (const [prefix, tokens] of this.#cache) {
			if (this.#cachedTokens <= this.#opts.cacheTokens) {
				break;
			}

			this.#cache.delete(prefix);
			this.#cachedTokens -= tokens;
		}

		return held ?? 0;
	}

	#finish(request: SimulatedRequest, now: number): void {
		this.running.delete(request.id);
		request.doneAt = now;
		request.outcome = 'complete';
		const between = request.outputTokens > 1 ? (now - request.firstAt!) / (request.outputTokens - 1) : 0;
		this.#limit.observe(between, {targetMs: betweenTargetMs, concurrency: this.running.size + 1});
		const seconds = this.byModel.get(request.model) ?? {prefillSeconds: 0, decodeSeconds: 0};
		seconds.prefillSeconds += (request.promptTokens - request.cachedTokens) / this.batch.speed.prefillTokensPerSecond;
		seconds.decodeSeconds += request.outputTokens / this.batch.speed.decodeTokensPerSecond;
		this.byModel.set(request.model, seconds);
	}
}

type View = {
	load: EndpointLoad;
	takenAt: number;
	cache: CacheView;
	sent: Array<{at: number; request: SimulatedRequest}>;
};

export type EntryOptions = {
	clock: Clock;
	placer: Placer;
	engines: readonly SimulatedEngine[];
	availabilityZone: string;
	/** Age of the load reports in milliseconds. */
	reportDelayMs: number;
	/** Endpoints that are tried for one request. */
	maximumTries?: number;
	/** Cache tokens of an engine, which bound the entry's view of it. */
	cacheTokens: number;
};

export class SimulatedEntry {
	readonly #opts: EntryOptions;
	readonly #views = new Map<string, View>();
	/** Each workspace has a budget of its own, so that none can spend another's. */
	readonly #retryBudgets = new Map<string, RetryBudget>();
	readonly #reports: Array<{at: number; engine: string; load: EndpointLoad}> = [];

	constructor(opts: EntryOptions) {
		this.#opts = opts;
		for (const engine of opts.engines) {
			this.#views.set(engine.name, {
				load: engine.getLoad(), takenAt: 0, cache: new CacheView(Math.floor(opts.cacheTokens / blockTokens)), sent: [],
			});
		}
	}

	/** Notes a report, which takes effect after the delay. */
	report(engine: SimulatedEngine): void {
		this.#reports.push({at: this.#opts.clock.monotonic(), engine: engine.name, load: engine.getLoad()});
	}

	/** Places a request; false when every endpoint that was tried refused it. */
	place(request: SimulatedRequest): boolean {
		this.#applyReports();
		const blocks = nameBlocks(request);
		const candidates = this.#opts.engines.map(engine => this.#createCandidate(engine));
		const usable = candidates.filter(candidate => candidate.load?.phase === 'serving');
		const ranked = this.#opts.placer.rank({
			promptTokens: request.promptTokens, maxTokens: request.outputTokens, blocks, availabilityZone: this.#opts.availabilityZone,
		}, usable);
		for (const [index, candidate] of ranked.slice(0, this.#opts.maximumTries ?? 3).entries()) {
			if (index > 0 && !this.#findBudget(request.workspace).acquire()) {
				return false;
			}

			request.attempts++;
			const engine = this.#opts.engines.find(one => one.name === candidate.endpoint)!;
			const view = this.#views.get(engine.name)!;
			request.expectedCached = Math.floor(view.cache.computeHitFraction(blocks) * request.prefixTokens);
			if (engine.offer(request)) {
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

	#findBudget(workspace: string): RetryBudget {
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
			view.takenAt = report.at;
			for (const {request} of view.sent.filter(one => one.request.outcome === 'complete')) {
				view.cache.updateConfidence(request.expectedCached, request.cachedTokens);
				this.#findBudget(request.workspace).recordSuccess();
			}

			view.sent = view.sent.filter(one => one.at > report.at && one.request.outcome === undefined);
		}
	}

	#createCandidate(engine: SimulatedEngine): PlacementCandidate {
		const view = this.#views.get(engine.name)!;
		const open = view.sent.filter(one => one.request.outcome === undefined);
		return {
			endpoint: engine.name,
			availabilityZone: engine.availabilityZone,
			speed: engine.speed,
			capacity: engine.batch.speed.capacity,
			role: engine.batch.role,
			load: view.load,
			loadAgeMs: this.#opts.clock.monotonic() - view.takenAt,
			unreported: {
				requests: open.length,
				prefillTokens: open.reduce((sum, one) => sum + (one.request.firstAt === undefined ? one.request.promptTokens - one.request.expectedCached : 0), 0),
				decodeTokens: open.reduce((sum, one) => sum + one.request.outputTokens - one.request.produced, 0),
			},
			cache: view.cache,
		};
	}
}
