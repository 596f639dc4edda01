/** What servers say of themselves, in reports and in answers: it is recorded, told to the other instances, and logged. */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {EndpointClient} from '@hickorytrack/endpoint-client';
import type {EndpointRegistry, Incarnation, ServerReport} from '@hickorytrack/endpoint-registry';
import type {EventLog} from '@hickorytrack/events';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {RateLimitedEventLog} from '../front/rate-limited-event-log.js';
import {newsSources, type NewsSource} from '../limits/server-limits.js';
import type {ServerPauses} from '../limits/server-pauses.js';
import type {StateSharing} from './state-sharing.js';

export type ServerNewsOptions = {
	tasks: BackgroundTasks;
	registry: EndpointRegistry;
	pauses: ServerPauses;
	client: Pick<EndpointClient, 'closeIdle'>;
	stateSharing: Pick<StateSharing, 'sendReport'>;
	events: EventLog;
	eventLog: RateLimitedEventLog;
	metrics: Pick<MetricsRegistry, 'count'>;
};

export class ServerNews {
	readonly #opts: ServerNewsOptions;

	constructor(opts: ServerNewsOptions) {
		this.#opts = opts;
	}

	/**
	 * Records a server's report and sends it to the other instances. For a leaving server, resolves when they have confirmed it
	 * or a timeout has expired; from then on the server gets no new requests.
	 */
	async handleReport(report: ServerReport): Promise<void> {
		const {registry, events, stateSharing} = this.#opts;
		const previous = registry.find(report.id);
		const isChanged = registry.recordReport(report);
		if (!isChanged) {
			return;
		}

		if (previous?.state !== registry.find(report.id)?.state || previous?.startedAt !== report.startedAt) {
			events.emit('serverReported', {
				server: report.id, service: report.service, address: report.address, state: report.state, stage: report.stage, version: report.version, startedAt: report.startedAt, sequence: report.sequence,
			});
		}

		await stateSharing.sendReport(report, previous);
	}

	/** Records that a server has deregistered and tells the other instances. */
	async handleDeregistration(id: string, startedAt?: number): Promise<void> {
		const {registry, events, client, stateSharing} = this.#opts;
		const report = registry.recordDeparture(id, startedAt);
		if (report) {
			events.emit('serverLeft', {server: id, address: report.address});
			client.closeIdle(report.address);
			await stateSharing.sendReport(report, undefined);
		}
	}

	/** Records that a server has said in an answer that it leaves, and tells the other instances. */
	recordLeaving(server: Incarnation): void {
		const report = this.#opts.registry.recordLeaving(server);
		if (report) {
			this.reportLeaving(report, {source: newsSources.answer});
			const {tasks, stateSharing} = this.#opts;
			tasks.start('send-report', async () => stateSharing.sendReport(report, undefined));
		}
	}

	/** Records that a server wants no requests of this instance for a while. */
	recordPause(server: Incarnation, pauseMs: number): void {
		const {pauses, metrics, eventLog} = this.#opts;
		pauses.record(server, pauseMs);
		metrics.count('server_pauses_total');
		eventLog.emit('serverPaused', {server: server.id, startedAt: server.startedAt, pauseMs});
	}

	reportLeaving({id, service, address, startedAt}: ServerReport, told: {source: NewsSource; peer?: string}): void {
		this.#opts.metrics.count('servers_leaving_total', {source: told.source});
		this.#opts.events.emit('serverLeaving', {
			server: id, service, address, startedAt, ...told,
		});
	}
}
