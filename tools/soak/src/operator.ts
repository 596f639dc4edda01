/** The operator: puts configurations, at any edge and until an answer is clear, and reads the newest one back at the end. */
import {request} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {OperatorRecord, ReadBack, SoakRoute} from './records.js';

export type OperatorOptions = {
	clock: Clock;
	random: Random;
	host: string;
	routes: readonly SoakRoute[];
	/** Names and control addresses of the edges. */
	edges: ReadonlyArray<{name: string; controlAddress: string}>;
};

const callTimeoutMs = 1500;
const pauseMs = 100;
const meanChangeMs = 2500;
const readBackTimeoutMs = 60_000;
const routeTimeoutMs = 4000;
const maxVersionStep = 5;

export class Operator {
	readonly records: OperatorRecord[] = [];
	readonly #opts: OperatorOptions;
	#version = 0;

	constructor(opts: OperatorOptions) {
		this.#opts = opts;
	}

	/** Puts configurations until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(this.#opts.random.nextExponential(meanChangeMs), signal);
			await this.putNext(signal);
		}
	}

	/** Puts the next version, again and again until it is acknowledged or the signal aborts. */
	async putNext(signal: AbortSignal): Promise<void> {
		const {clock, random, edges} = this.#opts;
		this.#version += 1 + random.nextInteger(maxVersionStep);
		const record: OperatorRecord = {version: this.#version, document: this.#createDocument(this.#version), isAcknowledged: false};
		this.records.push(record);
		while (!signal.aborted) {
			const {status} = await call(random.select(edges).controlAddress, 'POST', '/api/Config.Put', record.document);
			if (status === 200) {
				record.isAcknowledged = true;
				return;
			}

			await clock.sleep(pauseMs, signal);
		}
	}

	/** Reads the configuration from each edge, until it answers or for a limited time. */
	async readBack(): Promise<ReadBack[]> {
		const {clock, edges} = this.#opts;
		return Promise.all(edges.map(async ({name, controlAddress}) => {
			const deadline = clock.monotonic() + readBackTimeoutMs;
			while (clock.monotonic() < deadline) {
				const {status, body} = await call(controlAddress, 'GET', '/api/Config.Get');
				if (status === 200) {
					return {edge: name, document: body as {version: number}};
				}

				await clock.sleep(pauseMs);
			}

			return {edge: name};
		}));
	}

	#createDocument(version: number): unknown {
		const {host, routes} = this.#opts;
		const services = [...new Set(routes.map(route => route.service))];
		return {
			version,
			routes: [...routes, {...routes[0]!, name: `added-${version}`}].map(route => ({
				name: route.name, host, 'path-prefix': `/${route.name}/`, kind: route.kind, 'timeout-ms': routeTimeoutMs, 'slo-ms': 400, priority: 0, service: route.service, 'max-attempts': route.maxServers, ...(route.kind === 'streaming' ? {sticky: true, resumable: route.isResumable, 'gap-slo-ms': 200} : {}),
			})),
			services: services.map(name => ({
				name, 'health-path': '/healthz', 'max-conns': 100, ...(routes.some(route => route.service === name && route.kind === 'streaming')
					? {
						engine: {
							slots: 8, 'kv-tokens': 200_000, 'handle-ttl-s': 5, 'switch-s': 1,
						},
					}
					: {}),
			})),
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
			},
		};
	}
}

async function call(address: string, method: 'GET' | 'POST', path: string, document?: unknown): Promise<{status: number; body?: unknown}> {
	try {
		const response = await request(`http://${address}${path}`, {
			method, body: document === undefined ? undefined : JSON.stringify(document), headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs,
		});
		return {status: response.statusCode, body: await response.body.json()};
	} catch {
		return {status: 0};
	}
}
