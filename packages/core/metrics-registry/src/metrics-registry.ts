/**
 * The metrics of one process. Every metric is defined in the catalogue below, from which `docs/metrics.md` is generated;
 * only these can be recorded.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

export const metricKinds = {counter: 'counter', gauge: 'gauge', histogram: 'histogram'} as const;

export type MetricDefinition = {
	kind: typeof metricKinds[keyof typeof metricKinds];
	help: string;
	labels: readonly string[];
};

export const metricsCatalogue = {
	requests_total: {kind: 'counter', help: 'Requests received from callers, by route and outcome.', labels: ['route', 'outcome']},
	turned_away_total: {kind: 'counter', help: 'Requests that the HTTP front end rejected without running them, by reason.', labels: ['reason']},
	serving_lease_ms: {kind: 'gauge', help: 'Time for which this instance may still serve requests with keys without another confirmation of the core, in milliseconds; only where the settings say strict revocation.', labels: []},
	requests_dropped_total: {kind: 'counter', help: 'Requests that were read whole and whose connection this side ended without a complete answer, by reason.', labels: ['reason']},
	closes_cut_total: {kind: 'counter', help: 'Connections of callers that were closed before the callers had closed their side, by address (front, control) and bound: time, count or stop.', labels: ['address', 'bound']},
	requests_overrun_total: {kind: 'counter', help: 'Requests that were ended after their deadline because the work on them did not end, by route; a bug.', labels: ['route']},
	slow_readers_total: {kind: 'counter', help: 'Callers whose connection was reset because they had not read their answer after its deadline, by route.', labels: ['route']},
	held_bytes: {kind: 'gauge', help: 'Bytes held for others, by part of the memory account.', labels: ['part']},
	held_bytes_limit: {kind: 'gauge', help: 'Most bytes that a part of the memory account can hold: its reserve and what is common to all parts.', labels: ['part']},
	held_bytes_waits_total: {kind: 'gauge', help: 'Number of times since the start that something waited for room, by part of the memory account.', labels: ['part']},
	held_bytes_refusals_total: {kind: 'gauge', help: 'Number of times since the start that something was refused for lack of room, by part of the memory account.', labels: ['part']},
	foreign_answers_total: {kind: 'counter', help: 'Answers of servers that were not the own answer of the request, by kind of call.', labels: ['call']},
	server_answers_total: {kind: 'counter', help: 'Last answers of servers to requests, by what delimits them, how the server had ended the connection by then, and the outcome of the request.', labels: ['framing', 'connection', 'outcome']},
	servers_leaving_total: {kind: 'counter', help: 'Starts of servers that said in an answer that they leave, by source of the news: an answer, or another instance.', labels: ['source']},
	silent_servers_total: {kind: 'counter', help: 'Requests whose server sent nothing where more was due, by service and decision: wait, or start the request at another server beside it.', labels: ['service', 'decision']},
	stream_takeups_total: {kind: 'counter', help: 'Streams that callers took up, by what is known of the version that began them: record and only-version go on, the others are refused.', labels: ['ground']},
	takeovers_total: {kind: 'counter', help: 'Requests at a silent server that were started at another one, by service and by who answered.', labels: ['service', 'by']},
	server_crashes_total: {kind: 'counter', help: 'Crashes of servers that this instance has noticed, by service.', labels: ['service']},
	banned_requests_total: {kind: 'counter', help: 'Requests with a trait that is held to crash servers, by decision: refused, or trial.', labels: ['decision']},
	crash_causes: {kind: 'gauge', help: 'Requests and parts of prompts that are held to crash servers and are refused.', labels: []},
	duty_calls_total: {kind: 'counter', help: 'Calls to the infrastructure that this instance made while it led the core, by duty and outcome.', labels: ['duty', 'outcome']},
	usage_windows_waiting: {kind: 'gauge', help: 'Windows of usage that are decided and that the infrastructure has not accepted, as the log of this member of the core says.', labels: []},
	links_refused_total: {kind: 'counter', help: 'Connections of other instances that were closed because of what they sent or did not read, by whether they had proved the key.', labels: ['proven']},
	peer_messages_unusable_total: {kind: 'counter', help: 'Messages of other instances, or elements of them, that could not be used, by method.', labels: ['method']},
	task_failures_total: {kind: 'counter', help: 'Errors that background tasks, timers or listeners threw, by task; a bug.', labels: ['task']},
	fatal_errors_total: {kind: 'counter', help: 'Errors that reached the top of the process, which then stops; a bug.', labels: []},
	links_unproven: {kind: 'gauge', help: 'Open connections to this instance that have not proved the key.', labels: []},
	control_refused_total: {kind: 'counter', help: 'Control calls that were refused, or whose connection was closed, for others, by reason.', labels: ['reason']},
	control_held_bytes: {kind: 'gauge', help: 'Bytes that control calls hold: bodies until they are answered, answers until they have left.', labels: ['kind']},
	control_limit_bytes: {kind: 'gauge', help: 'Most bytes that control calls can hold, by kind: all, or those of small calls.', labels: ['kind']},
	server_pauses_total: {kind: 'counter', help: 'Rejections of servers that asked for a time without requests.', labels: []},
	server_limits_total: {kind: 'counter', help: 'Limits that servers named, changed or ended, by source of the news: an answer, or another instance.', labels: ['source']},
	server_limits_invalid_total: {kind: 'counter', help: 'Answers that named a limit which is no decimal number.', labels: []},
	limited_answers_total: {kind: 'counter', help: 'Answers of servers that named a limit, by kind of call.', labels: ['call']},
	limited_calls_total: {kind: 'counter', help: 'Calls planned to servers that have named a limit, by kind of call and decision: granted, or denied because the limit was used up.', labels: ['call', 'decision']},
	servers_uneven: {kind: 'gauge', help: '1 while the servers of a service without prompt placement have proved to be uneven, so that requests are placed by expected work, by service.', labels: ['service']},
	limited_servers: {kind: 'gauge', help: 'Usable servers that have named a limit, by service.', labels: ['service']},
	limit_per_second: {kind: 'gauge', help: 'Sum of the limits of the usable servers, for all instances together, by service.', labels: ['service']},
	limit_used_per_second: {kind: 'gauge', help: 'Requests per second of this instance to servers that have named a limit, by service.', labels: ['service']},
	admission_wait_ms: {kind: 'histogram', help: 'Time for which requests waited here for a free slot of their service, in milliseconds.', labels: ['service']},
	admission_refused_total: {kind: 'counter', help: 'Requests that were not admitted to a service, by reason: late, full, stopping or cancelled.', labels: ['service', 'reason']},
	admission_waiting: {kind: 'gauge', help: 'Requests that wait here for a free slot, by service.', labels: ['service']},
	first_byte_ms: {kind: 'histogram', help: 'Time to the first byte of a streamed answer, in milliseconds.', labels: ['route']},
	request_ms: {kind: 'histogram', help: 'Time to the end of a request, in milliseconds.', labels: ['route']},
	servers_per_request: {kind: 'histogram', help: 'Number of servers that a request was sent to.', labels: ['route']},
	core_voter: {kind: 'gauge', help: '1 while this member of the core is a voter, 0 while it is a learner or has been removed; absent on instances outside the core.', labels: []},
	core_voters: {kind: 'gauge', help: 'Voters of the core by the log of this member; more than it needs only while a machine is being replaced. Absent on instances outside the core.', labels: []},
	configuration_version: {kind: 'gauge', help: 'Version of the route configuration in force.', labels: []},
	ready: {kind: 'gauge', help: '1 while the instance is ready for new connections, otherwise 0.', labels: []},
	own_link_wait_ms: {kind: 'gauge', help: 'Time for which bytes that are written now wait for the link of the instance, by the model of its speed; only where the link or the processor is weak.', labels: []},
	own_processor_wait_ms: {kind: 'gauge', help: 'Smoothed time by which the event loop runs late; only where the link or the processor is weak.', labels: []},
	ready_set_size: {kind: 'gauge', help: 'Instances of the zone that are ready by their capacity, as this instance sees it; only where the processor is weak.', labels: []},
	members: {kind: 'gauge', help: 'Other instances with an open link.', labels: []},
	servers: {kind: 'gauge', help: 'Usable servers by service.', labels: ['service']},
	open_requests: {kind: 'gauge', help: 'Requests from callers in progress.', labels: []},
	retries_total: {kind: 'counter', help: 'Calls to servers that count against the retry budget, by service and kind.', labels: ['service', 'kind']},
	retries_denied_total: {kind: 'counter', help: 'Calls to servers that were not made because the retry budget was used up, by service and kind.', labels: ['service', 'kind']},
	retry_budget_left: {kind: 'gauge', help: 'Retries that this instance may still make in the current window, by service.', labels: ['service']},
	retry_budget_instances: {kind: 'gauge', help: 'Instances by which the allowance of the retry budget is divided.', labels: []},
	log_lines_dropped_total: {kind: 'gauge', help: 'Event log lines dropped since the start to limit the log volume.', labels: []},
} as const satisfies Record<string, MetricDefinition>;

export type MetricName = keyof typeof metricsCatalogue;

const prefix = 'hickorytrack_';
/** Upper bounds in milliseconds, close together around the latency objectives of the routes. */
const msBuckets = [5, 10, 20, 50, 80, 120, 160, 200, 250, 300, 400, 600, 1000, 2000, 5000, 15_000];
const countBuckets = [0, 1, 2, 3, 5];

export class MetricsRegistry {
	readonly #registry = new Registry();
	readonly #metrics = new Map<MetricName, Counter | Gauge | Histogram>();
	readonly #readCallbacks: Array<() => void> = [];

	constructor() {
		for (const [name, definition] of Object.entries(metricsCatalogue)) {
			this.#metrics.set(name as MetricName, this.#create(name, definition));
		}
	}

	count(name: MetricName, labels: Record<string, string> = {}): void {
		(this.#metrics.get(name) as Counter).inc(labels);
	}

	observe(name: MetricName, value: number, labels: Record<string, string> = {}): void {
		(this.#metrics.get(name) as Histogram).observe(labels, value);
	}

	set(name: MetricName, value: number, labels: Record<string, string> = {}): void {
		(this.#metrics.get(name) as Gauge).set(labels, value);
	}

	/** Registers a callback that updates gauges before the metrics are read. */
	onRead(callback: () => void): void {
		this.#readCallbacks.push(callback);
	}

	/** Returns all metrics in the Prometheus text format. */
	async format(): Promise<string> {
		for (const callback of this.#readCallbacks) {
			callback();
		}

		return this.#registry.metrics();
	}

	#create(name: string, {kind, help, labels}: MetricDefinition): Counter | Gauge | Histogram {
		const options = {
			name: `${prefix}${name}`, help, labelNames: [...labels], registers: [this.#registry],
		};
		if (kind === metricKinds.counter) {
			return new Counter(options);
		}

		return kind === metricKinds.gauge ? new Gauge(options) : new Histogram({...options, buckets: name.endsWith('_ms') ? msBuckets : countBuckets});
	}
}
