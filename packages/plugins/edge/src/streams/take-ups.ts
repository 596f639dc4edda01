/** Streams that callers take up: finds the version that began them, and refuses those for which it is not known. */
import {waitWithTimeout} from '@hickorytrack/clock';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {requestKinds} from '@hickorytrack/route-table/route-types';
import {originGrounds, type FoundOrigin, type StreamOrigins} from '@hickorytrack/stream-origins';
import {defaultRetryAfterMs, type ForwardContext} from '../calls/forward-context.js';
import {requestOutcomes, type CallerRequest} from '../front/caller-request.js';
import type {RequestLog} from '../front/request-log.js';
import {sendProblem} from '../front/responses.js';

/** Part of a caller's time that is left for a refusal when the version of its stream is not found, in milliseconds. */
const refusalMarginMs = 20;

export type TakeUpsOptions = Pick<ForwardContext, 'clock' | 'codec' | 'eventLog'> & {
	origins: Pick<StreamOrigins, 'findOrigin'>;
	requestLog: RequestLog;
	metrics: Pick<MetricsRegistry, 'count'>;
};

export class TakeUps {
	readonly #opts: TakeUpsOptions;

	constructor(opts: TakeUpsOptions) {
		this.#opts = opts;
	}

	/**
	 * Returns the request with the version that began the stream which it takes up, or as it is if it takes up none. If the
	 * version is not known, the request is refused and the result is undefined: another version must not go on with the stream.
	 */
	async find(request: CallerRequest): Promise<CallerRequest | undefined> {
		const {metadata: {requestId, lastEventId, begunAs}, route} = request;
		if (route.kind !== requestKinds.streaming || lastEventId === undefined) {
			return request;
		}

		const {origins, requestLog, metrics, eventLog, clock} = this.#opts;
		const search = origins.findOrigin(begunAs, route.targets.map(target => target.service));
		const remainingMs = request.deadlineAt - clock.monotonic() - refusalMarginMs;
		const {ground, service, version}: FoundOrigin = await waitWithTimeout(search, Math.max(0, remainingMs), clock) ?? {ground: originGrounds.unconfirmed};
		if (request.signal.aborted) {
			requestLog.recordResult(request, {outcome: requestOutcomes.callerGone, servers: []});
			return undefined;
		}

		metrics.count('stream_takeups_total', {ground});
		eventLog.emit('streamTakenUp', {
			request: requestId, begunAs, lastEvent: lastEventId, ground, service, version,
		});
		if (version !== undefined) {
			return {...request, service: service!, takenUp: {version}};
		}

		this.#refuse(request, ground);
		return undefined;
	}

	#refuse(request: CallerRequest, ground: FoundOrigin['ground']): void {
		const {requestLog, codec} = this.#opts;
		// The core may answer soon; whatever else is unknown stays so.
		const retryAfterMs = ground === originGrounds.unconfirmed ? defaultRetryAfterMs : request.route.timeoutMs;
		requestLog.recordResult(request, {
			outcome: requestOutcomes.refused, status: 503, reason: `the version that began the stream is not known: ${ground}`, retryAfterMs, servers: [],
		});
		sendProblem(request.response, {
			status: 503, code: 'unknown-version', detail: 'The request has not run: it is not known which software version began the stream.', headers: codec.encodeRetryAfter(retryAfterMs),
		});
	}
}
