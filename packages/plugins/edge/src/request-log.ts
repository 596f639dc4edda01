/** Logs and counts how requests end. */
import type {Clock} from '@hickorytrack/clock';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {requestOutcomes, type CallerRequest, type RequestResult} from './caller-request.js';
import type {RateLimitedEventLog} from './rate-limited-event-log.js';
import type {RejectedRequest} from './http-frontend.js';

export type RequestLogOptions = {
	clock: Clock;
	eventLog: RateLimitedEventLog;
	metrics: MetricsRegistry;
	/** Version of the route configuration in force. */
	readVersion: () => number | undefined;
};

export class RequestLog {
	readonly #opts: RequestLogOptions;

	constructor(opts: RequestLogOptions) {
		this.#opts = opts;
	}

	noteEnd(request: CallerRequest, end: RequestResult): void {
		const {eventLog, clock, readVersion} = this.#opts;
		this.#measure(request, end);
		const fields = {
			request: request.metadata.requestId,
			route: request.route.name,
			version: readVersion(),
			elapsedMs: Math.round(clock.monotonic() - request.arrivedAt),
			...end,
			firstByteMs: roundMs(end.firstByteMs),
			predictedMs: roundMs(end.predictedMs),
		};
		switch (end.outcome) {
			case requestOutcomes.answered: {
				eventLog.emitAnswered(fields);
				break;
			}

			case requestOutcomes.refused: {
				eventLog.emit('forwardRefused', fields);
				break;
			}

			case requestOutcomes.callerGone: {
				eventLog.emit('callerLeft', fields);
				break;
			}

			default: {
				eventLog.emit('forwardFailed', fields);
			}
		}
	}

	/** Notes a request that the front did not run. */
	recordRejected({requestId, ...rejected}: RejectedRequest): void {
		const {eventLog, metrics, readVersion} = this.#opts;
		metrics.count('turned_away_total', {reason: rejected.reason});
		eventLog.emit('turnedAway', {request: requestId, version: readVersion(), ...rejected});
	}

	#measure(request: CallerRequest, end: RequestResult): void {
		const {metrics, clock} = this.#opts;
		const route = request.route.name;
		metrics.count('requests_total', {route, outcome: end.outcome});
		metrics.observe('request_ms', clock.monotonic() - request.arrivedAt, {route});
		metrics.observe('servers_per_request', end.servers.length, {route});
		if (end.firstByteMs !== undefined) {
			metrics.observe('first_byte_ms', end.firstByteMs, {route});
		}
	}
}

function roundMs(ms: number | undefined): number | undefined {
	return ms === undefined ? undefined : Math.round(ms);
}
