/**
 * Decides for requests whose answers are buffered whether they are sent now, wait for a free slot of their service, or are
 * refused. It is in force where the deployment calls for it; elsewhere every request is sent at once.
 */
import {
	AdmissionQueue, admissionDecisions, type AdmissionDecision,
} from '@hickorytrack/admission-queue';
import {computeReturnTimeMs} from '@hickorytrack/admission-queue/return-times';
import {ServiceTimes} from '@hickorytrack/admission-queue/service-times';
import {computeSlotShare, requestsPerSlot, type SlotUse} from '@hickorytrack/admission-queue/slot-share';
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {Random} from '@hickorytrack/random';
import type {RouteConfiguration} from '@hickorytrack/route-table/route-types';
import type {CallerRequest} from '../front/caller-request.js';
import {ReturningCallers} from './returning-callers.js';

export type ServiceAdmissionOptions = {
	clock: Clock;
	random: Random;
	loadTracker: LoadTracker;
	metrics: Pick<MetricsRegistry, 'count' | 'observe'>;
	/** Tells whether requests of the service wait at this instance. */
	isEnabled: (service: string) => boolean;
	/** Lists the servers of the service that take requests. */
	listServers: (service: string) => readonly KnownServer[];
	/** Returns how many requests the server may have in flight if this is less than its slots. */
	findMaxRequests: (server: KnownServer) => number | undefined;
	/** Returns the time until one of its servers takes requests, in milliseconds; undefined if none is known. */
	estimateOpenMs: (service: string) => number | undefined;
	countInstances: () => number;
};

/** Part of the expected time that is reserved for a server, which may take longer than expected. */
const reservedServiceTimes = 1.5;
/** Time that is reserved for the way to the server and back, in milliseconds. */
const transitMs = 20;

export class ServiceAdmission {
	readonly #opts: ServiceAdmissionOptions;
	readonly #queues = new Map<string, AdmissionQueue>();
	readonly #times = new ServiceTimes();
	readonly #returningCallers = new ReturningCallers();
	#isClosed = false;

	constructor(opts: ServiceAdmissionOptions) {
		this.#opts = opts;
	}

	/** Number of requests that wait for the service. */
	countWaiting(service: string): number {
		return this.#queues.get(service)?.length ?? 0;
	}

	/** Decides on a request with this time left. One that is admitted must be sent in the same turn of the event loop. */
	acquire(request: CallerRequest, remainingMs: number): AdmissionDecision | Promise<AdmissionDecision> {
		const {service, route, metadata: {waitMs}} = request;
		if (!this.#opts.isEnabled(service)) {
			return admissionDecisions.admitted;
		}

		if (this.#isClosed) {
			return this.#count(service, admissionDecisions.stopping);
		}

		const openMs = this.#opts.estimateOpenMs(service);
		if (openMs === undefined) {
			// Nobody knows of a slot to wait for; the forwarder refuses the request and says why.
			return admissionDecisions.admitted;
		}

		const expectedMs = this.#times.estimateMs(route.name);
		const maxWaitMs = remainingMs - (expectedMs * reservedServiceTimes) - transitMs;
		if (openMs > maxWaitMs) {
			return this.#count(service, admissionDecisions.late);
		}

		const decided = this.#getQueue(service).acquire({
			workspace: request.workspace,
			priority: request.priority,
			isReturning: this.#returningCallers.record(route.name, waitMs),
			expectedMs,
			maxWaitMs,
			signal: request.signal,
		});
		return typeof decided === 'string' ? this.#count(service, decided) : this.#measure(service, decided);
	}

	/**
	 * Records the end of an attempt, and admits requests that wait. `elapsedMs`: time in which a server ran the request, in
	 * milliseconds; undefined if it refused it or did not answer, which says nothing about the work.
	 */
	recordEnd({service, route}: CallerRequest, elapsedMs: number | undefined): void {
		if (this.#opts.isEnabled(service)) {
			if (elapsedMs !== undefined) {
				this.#times.record(route.name, elapsedMs);
			}

			this.#queues.get(service)?.update();
		}
	}

	/** Returns when a refused caller should return, in milliseconds, not before the given time. */
	computeReturnMs(service: string, earliestMs: number): number {
		return this.#opts.isEnabled(service)
			? computeReturnTimeMs({earliestMs, backlogMs: this.#queues.get(service)?.backlogMs ?? 0, random: this.#opts.random})
			: earliestMs;
	}

	/** Discards what is known of routes and services that a new configuration does not have. Queues stay while requests wait in them. */
	retain(configuration: Pick<RouteConfiguration, 'routes' | 'services'>): void {
		const routes = new Set(configuration.routes.map(({name}) => name));
		const services = new Set(configuration.services.map(({name}) => name));
		this.#times.retain(routes);
		this.#returningCallers.retain(routes);
		for (const [service, queue] of this.#queues) {
			if (!services.has(service) && queue.length === 0) {
				this.#queues.delete(service);
			}
		}
	}

	/** Refuses the requests that wait and those that come, when this instance stops. Returns the number of those that waited. */
	close(): number {
		this.#isClosed = true;
		let refused = 0;
		for (const queue of this.#queues.values()) {
			refused += queue.close();
		}

		return refused;
	}

	#getQueue(service: string): AdmissionQueue {
		let queue = this.#queues.get(service);
		if (!queue) {
			const {clock, random} = this.#opts;
			queue = new AdmissionQueue({
				clock,
				countRoom: () => computeSlotShare(this.#getSlotUse(service, {isNow: true}), random),
				countOwnSlots: () => Math.max(1, this.#getSlotUse(service).slots / Math.max(1, this.#opts.countInstances())),
			});
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** `isNow`: leaves out the slots that servers will offer only some time after a pause. */
	#getSlotUse(service: string, {isNow = false}: {isNow?: boolean} = {}): SlotUse {
		const {loadTracker, listServers, findMaxRequests, countInstances} = this.#opts;
		const use = {
			slots: 0, requests: 0, ownRequests: 0, instances: countInstances(),
		};
		for (const server of listServers(service)) {
			const {id, slots} = server;
			const maxRequests = isNow ? findMaxRequests(server) : undefined;
			use.slots += Math.min(slots, maxRequests === undefined ? slots : maxRequests / requestsPerSlot);
			use.requests += loadTracker.getLoad(id).requests;
			use.ownRequests += loadTracker.countOwnRequests(id);
		}

		return use;
	}

	#count(service: string, decision: AdmissionDecision): AdmissionDecision {
		if (decision !== admissionDecisions.admitted) {
			this.#opts.metrics.count('admission_refused_total', {service, reason: decision});
		}

		return decision;
	}

	async #measure(service: string, decided: Promise<AdmissionDecision>): Promise<AdmissionDecision> {
		const {clock, metrics} = this.#opts;
		const startedAt = clock.monotonic();
		const decision = await decided;
		metrics.observe('admission_wait_ms', clock.monotonic() - startedAt, {service});
		return this.#count(service, decision);
	}
}

