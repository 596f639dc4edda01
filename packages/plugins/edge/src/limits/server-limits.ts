/**
 * The limits that servers name for the requests of all instances together. A limit is what its server offers: it is used
 * wherever requests arrive, before servers without a limit get more. A server whose limit is used up takes no requests, but
 * keeps its role in placement, so that prompts do not change their homes with each grant.
 */
import type {Clock} from '@hickorytrack/clock';
import type {AnsweredRequest} from '@hickorytrack/endpoint-client';
import {unlimitedGrant, type SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {Incarnation} from '@hickorytrack/endpoint-registry';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {LimitNews} from '@hickorytrack/shared-rate/limit-news';
import type {SharedRate} from '@hickorytrack/shared-rate';
import type {CallKind} from '../calls/call-kinds.js';
import type {CallerRequest} from '../front/caller-request.js';
import type {RateLimitedEventLog} from '../front/rate-limited-event-log.js';
import type {LimitStatement} from '../request-codec.js';

/** How this instance has learnt what a server said in an answer. */
export const newsSources = {answer: 'answer', peer: 'peer'} as const;
export type NewsSource = typeof newsSources[keyof typeof newsSources];

export type ServerLimitsOptions = {
	clock: Clock;
	news: LimitNews;
	rate: SharedRate;
	eventLog: Pick<RateLimitedEventLog, 'emit'>;
	metrics: Pick<MetricsRegistry, 'count'>;
	/** Called when an answer has changed what is known of the limit of a server. */
	onNews: (server: Incarnation) => void;
};

export type AcquireOptions = {
	call: CallKind;
	maxWaitMs: number;
	signal: AbortSignal;
};

/** The most urgent requests wait for their turn at limited servers up to this fraction of their objective. */
const maxWaitFraction = 0.4;

/** Returns how long a request may wait for its turn at a limited server, in milliseconds. The more urgent one may wait longer, and so comes first. */
export function computeLimitWaitMs({route, priority, deadlineAt}: Pick<CallerRequest, 'route' | 'priority' | 'deadlineAt'>, now: number): number {
	return Math.max(0, Math.min(route.objectiveMs, deadlineAt - now) * maxWaitFraction / (1 + priority));
}

export class ServerLimits {
	readonly #opts: ServerLimitsOptions;

	constructor(opts: ServerLimitsOptions) {
		this.#opts = opts;
	}

	/** Records what an answer says of the limit of its server. */
	recordAnswer(server: Incarnation, limit: LimitStatement | undefined, {callKind, sentAt, isProved}: AnsweredRequest): void {
		const {news, metrics, eventLog, onNews} = this.#opts;
		const formerly = news.find(server);
		if (limit?.kind === 'invalid') {
			metrics.count('server_limits_invalid_total');
			eventLog.emit('serverLimitInvalid', {server: server.id, startedAt: server.startedAt, text: limit.text});
			return;
		}

		if (limit?.kind === 'rate') {
			metrics.count('limited_answers_total', {call: callKind});
		}

		const isNews = limit?.kind === 'rate' ? news.record(server, limit.perSecond) : limit?.kind === 'none' && isProved && news.recordNone(server, sentAt);
		if (isNews) {
			this.reportNews(server, {formerly, source: newsSources.answer});
			onNews(server);
		}
	}

	/** Logs and counts news of a limit. */
	reportNews(server: Incarnation, told: {formerly: number | undefined; source: NewsSource; peer?: string}): void {
		const {news, metrics, eventLog} = this.#opts;
		metrics.count('server_limits_total', {source: told.source});
		eventLog.emit('serverLimited', {
			server: server.id, startedAt: server.startedAt, perSecond: news.find(server), ...told,
		});
	}

	/** True unless no server has named a limit. */
	get hasLimits(): boolean {
		return !this.#opts.news.isEmpty;
	}

	isLimited(server: Incarnation): boolean {
		return this.#opts.news.getRate(server) !== undefined;
	}

	/** Tells whether the server may get a request within this time, in milliseconds, as far as this instance knows. */
	isOpen(server: Incarnation, maxWaitMs = 0): boolean {
		return !this.isLimited(server) || this.#canTakeRest(server, maxWaitMs) || this.#opts.rate.estimateWaitMs(server) <= maxWaitMs;
	}

	/** Returns the time until the server may get a request, in milliseconds; 0 if it may now. */
	estimateWaitMs(server: Incarnation): number {
		return this.#opts.news.find(server) === undefined ? 0 : this.#opts.rate.estimateWaitMs(server);
	}

	/** Waits for the right to send a call to the server. Undefined if the limit is used up; it counts as closed from then on. */
	async acquire(server: Incarnation, {call, maxWaitMs, signal}: AcquireOptions): Promise<SendGrant | undefined> {
		const perSecond = this.#opts.news.getRate(server);
		if (perSecond === undefined || this.#canTakeRest(server, maxWaitMs)) {
			return unlimitedGrant;
		}

		const grant = await this.#opts.rate.acquire(server, {perSecond, maxWaitMs, signal});
		this.#opts.metrics.count('limited_calls_total', {call, decision: grant ? 'granted' : 'denied'});
		return grant;
	}

	/** After its limit has ended, the load of a server returns gradually, but it takes at once what no other server takes without a wait. */
	#canTakeRest(server: Incarnation, maxWaitMs: number): boolean {
		return maxWaitMs > 0 && this.#opts.news.find(server) === undefined;
	}

	/** Describes the limits of the given servers, with what this instance sends to them, in requests per second. */
	describe(servers: readonly Incarnation[]): Array<{server: string; startedAt: number; perSecond: number; ownPerSecond: number; waitMs: number}> {
		const {news, rate} = this.#opts;
		return servers.filter(server => this.isLimited(server)).map(server => ({
			server: server.id, startedAt: server.startedAt, perSecond: news.getRate(server)!, ownPerSecond: rate.measureRate(server), waitMs: Math.round(rate.estimateWaitMs(server)),
		}));
	}
}
