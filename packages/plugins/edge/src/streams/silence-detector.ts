/**
 * Decides whether a server that has not sent the first byte of its answer counts as lost. A long queue is not a loss: a
 * server that answers other requests meanwhile is waited for, because a second server would have to prefill the prompt
 * again. Only when the wait is far longer than any queue that was predicted, the request itself counts as lost.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {ServerHealth} from '../calls/server-health.js';

/** A server that takes longer than the predicted time, multiplied by this factor, plus the margin is checked. */
const checkFactor = 2;
/** Covers pauses of processes and lost packets, in milliseconds. */
const checkMarginMs = 250;
/** After this many checks, signs of life of the server no longer help. */
const maxChecks = 4;

export class SilenceDetector {
	/** Time between two checks, in milliseconds; undefined when no prediction is known, so that nothing is cancelled on a guess. */
	readonly intervalMs: number | undefined;
	readonly #health: ServerHealth;
	readonly #server: KnownServer;
	readonly #predictedMs: number;
	#lastCheckAt: number;
	#checks = 0;

	constructor(health: ServerHealth, opts: {server: KnownServer; predictedMs: number | undefined; startedAt: number}) {
		this.#health = health;
		this.#server = opts.server;
		this.#predictedMs = opts.predictedMs ?? 0;
		this.#lastCheckAt = opts.startedAt;
		this.intervalMs = opts.predictedMs === undefined ? undefined : (opts.predictedMs * checkFactor) + checkMarginMs;
	}

	/** Checks the server after an interval without a first byte. Returns whether it counts as lost. */
	isLost(now: number, remainingMs: number): boolean {
		const isAlive = this.#health.isAliveSince(this.#server, this.#lastCheckAt);
		this.#lastCheckAt = now;
		this.#checks++;
		// With too little time for another server, waiting costs nothing.
		return remainingMs > this.#predictedMs && (!isAlive || this.#checks >= maxChecks);
	}
}
