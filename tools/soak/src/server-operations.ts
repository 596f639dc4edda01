/**
 * The calls to a server that are no requests of callers: stage orders, reports, and KV caches that servers fetch from each
 * other. Paths under `/soak/` are those between the servers of the soak.
 */
import {request} from 'undici';

/** A server with this fault does not say in its status when it started; its reports do. */
export const unbornFault = 'unborn';

export type Stage = 'prefill' | 'decode';

/** A KV cache that can be taken once; `owner` is the request that made it. */
type StoredKv = {owner: string};

type Call = {method: string; path: string; body: string};
type Reply = {status: number; body: unknown};

const transferTimeoutMs = 500;
const timeouts = {headersTimeout: transferTimeoutMs, bodyTimeout: transferTimeoutMs};

export class ServerOperations {
	stage: Stage | undefined;
	readonly #address: string;
	readonly #startedAt: number | undefined;
	/** KV caches of prefills by their handle, and copies of runs by the id of their request. */
	readonly #stored = new Map<string, StoredKv>();
	#orders = 0;
	#lastFence = 0;

	constructor(opts: {address: string; startedAt: number; isUnborn: boolean; stage?: Stage}) {
		this.#address = opts.address;
		this.#startedAt = opts.isUnborn ? undefined : opts.startedAt;
		this.stage = opts.stage;
	}

	handle({method, path, body}: Call): Reply {
		const name = path.split('/').at(-1)!;
		if (path === '/healthz') {
			return {status: 200, body: {}};
		}

		if (path === '/api/report') {
			return {
				status: 200, body: {
					born: this.#startedAt, stage: this.stage, busy: false, seq: this.#orders,
				},
			};
		}

		if (path === '/api/order') {
			return {status: this.#handleOrder(JSON.parse(body) as {stage: Stage; fence: number; precondition?: number}), body: {}};
		}

		if (path.startsWith('/soak/copy/')) {
			this.addKv(name, {owner: name});
			return {status: 200, body: {}};
		}

		if (path.startsWith('/soak/take/') || (path.startsWith('/api/kv-handle/') && method === 'DELETE')) {
			const stored = this.#takeKv(name);
			return {status: stored ? 200 : 404, body: stored ?? {}};
		}

		return {status: 404, body: {}};
	}

	addKv(name: string, stored: StoredKv): void {
		this.#stored.set(name, stored);
	}

	/** Takes a KV cache from this server or another one. Like the users' servers, it does not check whose it is. */
	async fetchKv(source: string): Promise<StoredKv | undefined> {
		const [address, name] = source.split('/') as [string, string];
		if (address === this.#address) {
			return this.#takeKv(name);
		}

		try {
			const response = await request(`http://${address}/soak/take/${name}`, {method: 'POST', reset: true, ...timeouts});
			const stored = await response.body.json() as StoredKv;
			return response.statusCode === 200 ? stored : undefined;
		} catch {
			return undefined;
		}
	}

	/** Copies the KV cache of a run to its backup server. */
	async copyKv(address: string, requestId: string): Promise<void> {
		try {
			const response = await request(`http://${address}/soak/copy/${requestId}`, {method: 'POST', ...timeouts});
			await response.body.dump();
		} catch {
			// The backup then has no copy, or an older one.
		}
	}

	#takeKv(name: string): StoredKv | undefined {
		const stored = this.#stored.get(name);
		this.#stored.delete(name);
		return stored;
	}

	#handleOrder({stage, fence, precondition}: {stage: Stage; fence: number; precondition?: number}): number {
		if (fence < this.#lastFence) {
			return 412;
		}

		if (precondition !== undefined && precondition !== this.#orders) {
			return 409;
		}

		this.#lastFence = fence;
		this.#orders++;
		this.stage = stage;
		return 202;
	}
}
