/** The operator: puts configurations, at any edge and until an answer is clear, and reads the newest one back at the end. */
import {request} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {OperatorRecord, ReadBack, SoakRoute} from './records.js';
import {encodeWorkspaces, type KeyOwners} from './workspaces.js';

type Route = SoakRoute & {timeoutMs: number; isInForce: boolean};

export type OperatorOptions = {
	clock: Clock;
	random: Random;
	host: string;
	routes: readonly SoakRoute[];
	/** Names and control addresses of the edges. */
	edges: ReadonlyArray<{name: string; controlAddress: string}>;
	faults: readonly string[];
	/** The configurations have workspaces with these keys. */
	keyOwners?: KeyOwners;
};

/** The operator allows few connections to servers, fewer than callers keep busy. */
export const fewConnectionsFault = 'few-connections';

const callTimeoutMs = 1500;
const pauseMs = 100;
const readBackTimeoutMs = 60_000;
const maxVersionStep = 5;
const headerTimeouts = [1000, 3000, 10_000] as const;
const idleTimeouts = [700, 1500, 4000, 15_000] as const;
/** A calm answer takes a fifth of the shortest at most. */
const routeTimeouts = [1500, 2500, 4000, 8000] as const;
const maxConnections = [30, 60, 100] as const;
const fewConnections = [2, 5, 10] as const;

/** The second service of the same kind. */
export function getSecondService(service: string): string {
	return `${service}-b`;
}

export class Operator {
	readonly records: OperatorRecord[] = [];
	readonly #opts: OperatorOptions;
	readonly #routes: Route[];
	readonly #services: string[];
	readonly #maxConnections = new Map<string, number>();
	#limits = {headerTimeoutMs: 3000, idleTimeoutMs: 15_000};
	readonly #acknowledgementListeners: Array<() => void> = [];
	#acknowledgedIdleMs = 0;
	#version = 0;

	constructor(opts: OperatorOptions) {
		this.#opts = opts;
		this.#routes = opts.routes.map(route => ({...route, timeoutMs: 4000, isInForce: true}));
		this.#services = [...new Set(opts.routes.flatMap(({service}) => [service, getSecondService(service)]))];
	}

	/** Idle limit of the newest configuration that was acknowledged. */
	get idleTimeoutMs(): number {
		return this.#acknowledgedIdleMs;
	}

	/** Resolves as soon as a change has been acknowledged. */
	async waitForAcknowledgement(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#acknowledgementListeners.push(resolve);
		});
	}

	/** Changes the configuration, and keys, at the given times, or as soon as the change before is acknowledged, until the signal aborts. */
	async run(timesMs: readonly number[], signal: AbortSignal, keysAtMs: readonly number[] = []): Promise<void> {
		const {clock, keyOwners} = this.#opts;
		const startedAt = clock.monotonic();
		const changes = [...timesMs.map(timeMs => ({timeMs, isOfKeys: false})), ...keysAtMs.map(timeMs => ({timeMs, isOfKeys: true}))];
		for (const {timeMs, isOfKeys} of changes.sort((a, b) => a.timeMs - b.timeMs)) {
			await clock.sleep(Math.max(0, startedAt + timeMs - clock.monotonic()), signal);
			if (isOfKeys) {
				keyOwners?.change();
			} else {
				this.#change();
			}

			await this.putNext(signal);
		}
	}

	#change(): void {
		const {random} = this.#opts;
		const route = random.select(this.#routes);
		switch (random.select(['timeout', 'move', 'route', 'limits', 'connections'] as const)) {
			case 'timeout': {
				route.timeoutMs = random.select(routeTimeouts);
				break;
			}

			case 'move': {
				const first = this.#opts.routes.find(({name}) => name === route.name)!.service;
				route.service = route.service === first ? getSecondService(first) : first;
				break;
			}

			case 'route': {
				const optional = random.select(this.#routes.filter(({isOptional}) => isOptional));
				optional.isInForce = !optional.isInForce;
				break;
			}

			case 'limits': {
				this.#limits = {headerTimeoutMs: random.select(headerTimeouts), idleTimeoutMs: random.select(idleTimeouts)};
				break;
			}

			case 'connections': {
				this.#maxConnections.set(random.select(this.#services), random.select(this.#opts.faults.includes(fewConnectionsFault) ? fewConnections : maxConnections));
				break;
			}
		}
	}

	/** Puts the next version, again and again until it is acknowledged or the signal aborts. */
	async putNext(signal: AbortSignal): Promise<void> {
		const {clock, random, edges} = this.#opts;
		this.#version += 1 + random.nextInteger(maxVersionStep);
		const {idleTimeoutMs} = this.#limits;
		const record: OperatorRecord = {
			version: this.#version, sentAt: clock.now(), document: this.#createDocument(this.#version), routes: Object.fromEntries(this.#routes.map(({name, service, timeoutMs}) => [name, {service, timeoutMs}])), keys: this.#opts.keyOwners?.list(),
		};
		this.records.push(record);
		while (!signal.aborted) {
			const {status} = await call(random.select(edges).controlAddress, 'POST', '/api/Config.Put', record.document);
			if (status === 200) {
				record.acknowledgedAt = clock.now();
				this.#acknowledgedIdleMs = idleTimeoutMs;
				for (const listener of this.#acknowledgementListeners.splice(0)) {
					listener();
				}

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
		const {host, routes, keyOwners} = this.#opts;
		const inForce = this.#routes.filter(({isInForce}) => isInForce);
		return {
			version,
			routes: [...inForce, {...inForce[0]!, name: `added-${version}`}].map(route => ({
				name: route.name, host, 'path-prefix': `/${route.name}/`, kind: route.kind, 'timeout-ms': route.timeoutMs, 'slo-ms': 400, priority: 0, service: route.service, 'max-attempts': route.maxServers, ...(route.kind === 'streaming' ? {sticky: true, resumable: route.isResumable, 'gap-slo-ms': 200} : {}), ...(route.isPublic ? {public: true} : {}),
			})),
			...(keyOwners ? {tenants: encodeWorkspaces(keyOwners.list())} : {}),
			services: this.#services.map(name => ({
				name, 'health-path': '/healthz', 'max-conns': this.#maxConnections.get(name) ?? 100, ...(routes.some(({service, kind}) => kind === 'streaming' && [service, getSecondService(service)].includes(name))
					? {
						engine: {
							slots: 8, 'kv-tokens': 200_000, 'handle-ttl-s': 5, 'switch-s': 1,
						},
					}
					: {}),
			})),
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout-ms': this.#limits.headerTimeoutMs, 'idle-timeout-ms': this.#limits.idleTimeoutMs,
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
