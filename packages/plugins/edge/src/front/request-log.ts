/** Logs the results of requests and records their metrics. */
import type {Clock} from '@hickorytrack/clock';
import {describeError} from '@hickorytrack/errors';
import {answerFramings} from '@hickorytrack/http-answer/answer-framing';
import type {ForeignAnswer} from '@hickorytrack/endpoint-client/answer-identity';
import type {CutClose} from '@hickorytrack/lingering-close';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {
	dropReasons, requestOutcomes, type CallerRequest, type RequestResult,
} from './caller-request.js';
import type {RateLimitedEventLog} from './rate-limited-event-log.js';
import type {HttpFrontendOptions} from './http-frontend.js';
import type {DroppedRequest, FailedRequest, RejectedRequest} from './frontend-reports.js';

export type RequestLogOptions = {
	clock: Clock;
	eventLog: RateLimitedEventLog;
	metrics: MetricsRegistry;
	/** Version of the active route configuration. */
	getVersion: () => number | undefined;
};

export class RequestLog {
	readonly #opts: RequestLogOptions;

	constructor(opts: RequestLogOptions) {
		this.#opts = opts;
	}

	recordResult(request: CallerRequest, forwardResult: RequestResult): void {
		const {eventLog, clock, getVersion} = this.#opts;
		const result = checkCallerGone(request, forwardResult);
		this.#recordMetrics(request, result);
		const fields = {
			request: request.metadata.requestId,
			route: request.route.name,
			workspace: request.workspace,
			version: getVersion(),
			routedVersion: request.routing?.version,
			timeoutMs: roundToWholeMs(request.routing?.timeoutMs),
			timeoutBy: request.routing?.timeoutBy,
			elapsedMs: Math.round(clock.monotonic() - request.arrivedAt),
			...result,
			firstByteMs: roundToWholeMs(result.firstByteMs),
			predictedMs: roundToWholeMs(result.predictedMs),
		};
		switch (result.outcome) {
			case requestOutcomes.answered: {
				if (result.answer?.framing === answerFramings.connection) {
					// Whether such an answer is complete can't be read from its framing.
					eventLog.emit('answerEndedByConnection', fields);
				} else {
					eventLog.emitAnswered(fields);
				}

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

	/** What the frontend tells of requests that it did not forward or that were not answered completely. */
	get frontendListeners(): Pick<HttpFrontendOptions, 'onRejected' | 'onDropped' | 'onFailed' | 'onCut'> {
		return {
			onRejected: rejected => {
				this.recordRejected(rejected);
			}, onDropped: dropped => {
				this.recordDropped(dropped);
			}, onFailed: failed => {
				this.recordFailed(failed);
			}, onCut: cut => {
				this.recordCut(cut);
			},
		};
	}

	/** Records a request that the frontend rejected. */
	recordRejected({requestId, ...rejected}: RejectedRequest): void {
		const {eventLog, metrics, getVersion} = this.#opts;
		metrics.count('turned_away_total', {reason: rejected.reason});
		eventLog.emit('turnedAway', {request: requestId, version: getVersion(), ...rejected});
	}

	/** Records a request whose connection this side ended without a complete answer. */
	recordDropped({requestId, ...dropped}: DroppedRequest): void {
		const {eventLog, metrics, getVersion} = this.#opts;
		metrics.count('requests_dropped_total', {reason: dropped.reason});
		eventLog.emit('requestDropped', {request: requestId, version: getVersion(), ...dropped});
	}

	/** Records a connection that was closed before its caller had closed its side. */
	recordCut(cut: CutClose): void {
		this.#opts.metrics.count('closes_cut_total', {address: 'front', bound: cut.bound});
		this.#opts.eventLog.emit('closeCut', {address: 'front', ...cut});
	}

	/** Records a caller that has not read its answer long after its deadline. */
	recordSlowReader({metadata, route, deadlineAt}: CallerRequest, unreadBytes: number): void {
		const {clock, eventLog, metrics} = this.#opts;
		metrics.count('slow_readers_total', {route: route.name});
		eventLog.emit('slowReaderEnded', {
			request: metadata.requestId, route: route.name, unreadBytes, lateMs: Math.round(clock.monotonic() - deadlineAt),
		});
	}

	/** Records a request whose handling threw an error. */
	recordFailed({requestId, path, error}: FailedRequest): void {
		this.#opts.eventLog.emit('unexpectedError', {
			request: requestId, call: path, message: describeError(error), stack: error instanceof Error ? error.stack : undefined,
		});
	}

	/** Records an answer that was read where that of a request was due. */
	recordForeignAnswer({expectedId, callKind, ...answer}: ForeignAnswer, server: string | undefined): void {
		const {eventLog, metrics} = this.#opts;
		metrics.count('foreign_answers_total', {call: callKind});
		eventLog.emit('foreignAnswer', {
			request: expectedId, call: callKind, server, ...answer,
		});
	}

	#recordMetrics(request: CallerRequest, result: RequestResult): void {
		const {metrics, clock} = this.#opts;
		const route = request.route.name;
		metrics.count('requests_total', {route, outcome: result.outcome});
		metrics.observe('request_ms', clock.monotonic() - request.arrivedAt, {route});
		metrics.observe('servers_per_request', result.servers.length, {route});
		if (result.answer) {
			const {framing, connectionEnd} = result.answer;
			metrics.count('server_answers_total', {framing, connection: connectionEnd, outcome: result.outcome});
		}

		if (result.firstByteMs !== undefined) {
			metrics.observe('first_byte_ms', result.firstByteMs, {route});
		}
	}
}

/** A forwarder can't tell who ended the caller's connection or the work for it; the reason of the signal can. */
function checkCallerGone({signal, response}: CallerRequest, result: RequestResult): RequestResult {
	const dropReason = Object.values(dropReasons).find(reason => reason === signal.reason);
	if (result.outcome !== requestOutcomes.callerGone || !dropReason) {
		return result;
	}

	return response.writableEnded
		? {
			...result, outcome: requestOutcomes.failed, status: response.statusCode, reason: `the request was ended here: ${dropReason}`,
		}
		: {...result, outcome: requestOutcomes.dropped, reason: `the connection of the caller was ended here: ${dropReason}`};
}

function roundToWholeMs(ms: number | undefined): number | undefined {
	return ms === undefined ? undefined : Math.round(ms);
}
