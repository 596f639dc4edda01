/**
 * Ends a request that is still being forwarded after its deadline. Each attempt ends by its own timers; this is the last
 * resort when one of them does not, and its event shows a bug.
 */
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import {breakOff} from '@hickorytrack/lingering-close/break-off';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {requestOutcomes, type CallerRequest, type RequestResult} from './caller-request.js';
import type {RateLimitedEventLog} from './rate-limited-event-log.js';
import {sendProblem} from './responses.js';

/** Attempts end at the deadline; what is asked about their servers then takes less than this. */
const allowanceMs = 350;

export type DeadlineGuardOptions = {
	clock: Clock;
	eventLog: Pick<RateLimitedEventLog, 'emit'>;
	metrics: Pick<MetricsRegistry, 'count'>;
};

export class DeadlineGuard {
	readonly #opts: DeadlineGuardOptions;

	constructor(opts: DeadlineGuardOptions) {
		this.#opts = opts;
	}

	/** Forwards the request. After its deadline and an allowance, cancels its attempts and ends its response. */
	async run(request: CallerRequest, forward: (request: CallerRequest) => Promise<RequestResult>): Promise<RequestResult> {
		const {clock} = this.#opts;
		const abortController = new AbortController();
		const abort = () => {
			abortController.abort(request.signal.reason);
		};

		request.signal.addEventListener('abort', abort, {once: true});
		if (request.signal.aborted) {
			abort();
		}

		try {
			const work = forward({...request, signal: abortController.signal});
			// Two timers: a process that has not run for a while finds the first one late, and lets the attempts end.
			return await waitWithTimeout(work, Math.max(0, request.deadlineAt - clock.monotonic()), clock)
				?? await waitWithTimeout(work, allowanceMs, clock)
				?? this.#end(request, abortController);
		} finally {
			request.signal.removeEventListener('abort', abort);
		}
	}

	#end({response, metadata, route, routing, deadlineAt}: CallerRequest, abortController: AbortController): RequestResult {
		const {clock, eventLog, metrics} = this.#opts;
		const isBegun = response.headersSent;
		metrics.count('requests_overrun_total', {route: route.name});
		eventLog.emit('requestOverrun', {
			request: metadata.requestId, route: route.name, routedVersion: routing?.version, lateMs: Math.round(clock.monotonic() - deadlineAt), isBegun,
		});
		// An attempt that writes later must not end the process.
		response.on('error', () => {/* The response has ended. */});
		abortController.abort();
		if (isBegun) {
			breakOff(response, clock);
		} else {
			sendProblem(response, {status: 504, code: 'may-have-run', detail: 'The request may have run: it was not answered before its deadline.'});
		}

		return {
			outcome: isBegun ? requestOutcomes.cut : requestOutcomes.timedOut, status: isBegun ? undefined : 504, reason: 'the work on the request did not end at its deadline', servers: [],
		};
	}
}
