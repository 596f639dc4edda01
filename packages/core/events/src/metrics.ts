/** Metrics sent by StatsD. The catalogue lists each of them; nothing is sent when no address is set. */
import {StatsD} from 'hot-shots';

export const metricCatalogue = {
	'entry.requests': 'Requests by workspace and outcome.',
	'entry.first_token_ms': 'Time to the first token, measured at the entry, in milliseconds.',
	'entry.attempts': 'Attempts by outcome.',
	'entry.in_flight': 'Requests in flight.',
	'agent.queue_length': 'Requests queued in the agent.',
	'agent.running': 'Requests running on the engine.',
	'agent.queue_ms': 'Time in queue, in milliseconds.',
	'agent.engine_crashes': 'Crashes of the engine.',
	'controller.commit_ms': 'Time from proposal to acknowledgement, in milliseconds.',
	'controller.subscribers': 'Entries and agents subscribed to this controller.',
	'controller.changes': 'Planned changes by kind and outcome.',
} as const;

export type MetricName = keyof typeof metricCatalogue;

export type MetricsOptions = {
	/** Host and port of the StatsD listener. */
	address?: string;
	instance: string;
};

export class Metrics {
	readonly #client: StatsD;

	constructor(opts: MetricsOptions) {
		const split = opts.address?.lastIndexOf(':') ?? -1;
		this.#client = new StatsD({
			prefix: 'hickorytrack.',
			globalTags: {instance: opts.instance},
			mock: opts.address === undefined,
			host: opts.address?.slice(0, split),
			port: opts.address === undefined ? undefined : Number(opts.address.slice(split + 1)),
			errorHandler() {
				// Errors are ignored, so that a failing metrics listener does not affect requests.
			},
		});
	}

	count(name: MetricName, tags: Record<string, string> = {}): void {
		this.#client.increment(name, 1, tags);
	}

	gauge(name: MetricName, value: number): void {
		this.#client.gauge(name, value);
	}

	time(name: MetricName, ms: number, tags: Record<string, string> = {}): void {
		this.#client.timing(name, ms, tags);
	}

	close(): void {
		this.#client.close(() => {
			// The callback is required, but there is nothing to do after the close.
		});
	}
}
