/**
 * The speed of the servers of each service, learnt from the time that answered prefills and hand-overs took. Prefill servers
 * and decode servers have a fit each; a factor for each server covers servers that are faster or slower than the others.
 * All instances share their samples, so each of them knows the speed after the first answers of any instance.
 *
 * Where the servers have proved to be uneven, the factors are those of `ServerSpeeds`, which follow phases of some hundred
 * milliseconds too, and a prefill of this instance that is overdue counts as evidence of a phase.
 */
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {addOverdue, type Overdue, type ServerSpeeds} from '@hickorytrack/expected-work/server-speeds';
import {LatencyFit} from './latency-fit.js';

export type PrefillSample = {
	/** Prompt tokens that the server had to prefill until the end of this prompt, those of the prompts queued before it included. */
	tokens: number;
	/** Time from sending the request to the end of its prefill, in milliseconds. */
	elapsedMs: number;
	/** Nothing else ran or waited at the server, as far as known; the time is that of the prefill alone. */
	isIdle: boolean;
};

/** A decode server prefills at half the speed of a prefill server; used while only one of the two has samples. */
const decodeSlowdown = 2;
/** Weight of a sample from a busy server, whose queue is known a little late; it counts until there are better ones. */
const busySampleWeight = 0.05;
/** Weight of a new sample in the moving average of a server's factor. */
const factorWeight = 0.1;
/** Bounds of a server's factor; a server outside them is unhealthy rather than slow. */
const maxFactor = 5;

/** Weight of a new sample in the moving average of the time for which a slot is held. */
const holdWeight = 0.1;

type ServerFactor = {
	startedAt: number;
	/** Logarithm of the ratio between the server's latency and that of the average server. */
	logarithm: number;
};

const ownDelayWeight = 0.02;
/** At least this fraction of a prefill's time counts as the server's; the wait for the own link and processor is an estimate. */
const minServerFraction = 0.25;
/** Samples after which the fit tells what a server of mean speed takes. */
const minFitSamples = 30;

export type EngineProfileOptions = {
	clock: Pick<Clock, 'monotonic'>;
	/** Of model servers only; their samples arrive by `record`. */
	speeds: ServerSpeeds;
};

export type RunningPrefill = {
	/** Ends the prefill. Only the time of a whole prefill is a sample. */
	end(opts: {isSample: boolean}): void;
};

export class EngineProfile {
	readonly #opts: EngineProfileOptions | undefined;
	/** Prefills of this instance by server id. */
	readonly #running = new Map<string, Set<{sentAt: number; expectedMs: number}>>();
	/** Logarithm of the factor by which prefills take longer at this instance than at all together. */
	#ownDelay = 0;
	readonly #overdue = {count: 0, sum: 0};
	readonly #fits = new Map<string, LatencyFit>();
	readonly #factors = new Map<string, ServerFactor>();
	readonly #holdMs = new Map<string, number>();

	/** Without options, the factors follow no phases. */
	constructor(opts?: EngineProfileOptions) {
		this.#opts = opts;
	}

	record(server: KnownServer, {tokens, elapsedMs, isIdle}: PrefillSample): void {
		if (!(tokens > 0 && elapsedMs > 0)) {
			return;
		}

		const fit = this.#getFit(server.service, server.stage === 'prefill');
		const factor = this.#getFactor(server);
		const fastFactor = this.#findUnevenFactor(server);
		this.#recordSpeed(server, {
			fit, tokens, elapsedMs, isIdle,
		});
		if (fit.isKnown && isIdle) {
			const ratio = Math.log(elapsedMs / fit.estimateMs(tokens));
			const bound = Math.log(maxFactor);
			factor.logarithm += (Math.max(-bound, Math.min(bound, ratio)) - factor.logarithm) * factorWeight;
		}

		fit.record(tokens, elapsedMs / (fastFactor ?? Math.exp(factor.logarithm)), isIdle ? 1 : busySampleWeight);
	}

	/** Records the time from a hand-over of the KV cache of this many tokens to the first event of the answer. */
	recordHandOver(server: KnownServer, {tokens, elapsedMs, isIdle = false}: Omit<PrefillSample, 'isIdle'> & {isIdle?: boolean}): void {
		if (tokens > 0 && elapsedMs > 0) {
			const fit = this.#getHandOverFit(server.service);
			this.#recordSpeed(server, {
				fit, tokens, elapsedMs, isIdle,
			});
			fit.record(tokens, elapsedMs / (this.#findUnevenFactor(server) ?? 1));
		}
	}

	/** Estimates the time from a hand-over to the first event, in milliseconds; 0 before the first hand-over. */
	estimateHandOverMs(service: string, tokens: number): number {
		return this.#getHandOverFit(service).estimateMs(tokens);
	}

	/** Records for how long a request held its slot at a server of the service, from its first event to its end. */
	recordHold(service: string, {isStream, elapsedMs}: {isStream: boolean; elapsedMs: number}): void {
		const key = formatHoldKey(service, isStream);
		const known = this.#holdMs.get(key);
		this.#holdMs.set(key, known === undefined ? elapsedMs : known + ((elapsedMs - known) * holdWeight));
	}

	/** Mean time for which a request holds its slot, in milliseconds; undefined before the first one has ended. */
	estimateHoldMs(service: string, isStream: boolean): number | undefined {
		return this.#holdMs.get(formatHoldKey(service, isStream)) ?? this.#holdMs.get(formatHoldKey(service, !isStream));
	}

	/** Returns whether any prefill of the service has been observed. */
	isKnown(service: string): boolean {
		return this.#getFit(service, true).isKnown || this.#getFit(service, false).isKnown;
	}

	/** Estimates the time in which the server prefills these tokens, in milliseconds; 0 while the service is unknown. */
	estimateMs(server: KnownServer, tokens: number): number {
		const {fixedMs, msPerToken} = this.#findSpeed(server);
		return fixedMs + (msPerToken * tokens);
	}

	/** Prefill time of one more token at the server, in milliseconds; 0 while the service is unknown. */
	getMsPerToken(server: KnownServer): number {
		return this.#findSpeed(server).msPerToken;
	}

	/** Factor by which the server takes longer now than the mean one; 1 while the servers have not proved to be uneven. */
	getUnevenFactor(server: KnownServer): number {
		return this.#findUnevenFactor(server) ?? 1;
	}

	/**
	 * Begins a prefill of this instance, with the tokens that the server has to prefill until its end. `ownMs`: expected wait for
	 * the own link and processor, which is not the server's. An instance may take longer for all prefills than that says; by how
	 * much is learned from those that have ended.
	 */
	beginPrefill(server: KnownServer, tokens: number, {ownMs = 0}: {ownMs?: number} = {}): RunningPrefill {
		const opts = this.#opts;
		if (!opts || !this.isKnown(server.service)) {
			return {
				end() {
				// Nothing is expected yet.
				},
			};
		}

		const {clock, speeds} = opts;
		const startedAt = clock.monotonic();
		const meanMs = this.#getFit(server.service, server.stage === 'prefill').estimateMs(tokens);
		const prefill = {sentAt: startedAt + ownMs, expectedMs: meanMs * speeds.getSlowFactor(formatSpeedGroup(server), server) * Math.exp(this.#ownDelay)};
		const running = this.#running.get(server.id) ?? new Set();
		running.add(prefill);
		this.#running.set(server.id, running);
		return {
			end: ({isSample}) => {
				running.delete(prefill);
				if (running.size === 0 && this.#running.get(server.id) === running) {
					this.#running.delete(server.id);
				}

				const elapsedMs = clock.monotonic() - startedAt;
				if (isSample && meanMs > 0 && elapsedMs > 0) {
					const ratio = Math.log(Math.max(elapsedMs - ownMs, elapsedMs * minServerFraction) / (meanMs * this.getUnevenFactor(server)));
					this.#ownDelay += (Math.max(-Math.log(maxFactor), Math.min(Math.log(maxFactor), ratio)) - this.#ownDelay) * ownDelayWeight;
				}
			},
		};
	}

	/** Discards the factor of a server that is no longer known. */
	remove(id: string): void {
		this.#factors.delete(id);
		this.#opts?.speeds.remove(id);
	}

	/** Returns the fits, in tokens per millisecond, for the state dump. */
	dump(): unknown {
		return Object.fromEntries([...this.#fits].map(([key, fit]) => [key, {tokensPerMs: fit.isKnown ? 1 / fit.msPerToken : undefined, fixedMs: fit.fixedMs}]));
	}

	/**
	 * A busy server may have had a queue that nobody here knew of. Prefill servers have the same queues in the long run, but some
	 * decode servers are busier than others by their roles, so that only idle ones can prove that decode servers are uneven.
	 */
	#recordSpeed(server: KnownServer, {fit, tokens, elapsedMs, isIdle}: PrefillSample & {fit: LatencyFit}): void {
		if (!this.#opts || fit.samples < minFitSamples || server.coldMs > 0) {
			return;
		}

		const {speeds} = this.#opts;
		const group = formatSpeedGroup(server);
		const isWaitKnown = isIdle || speeds.isUneven(group);
		if (isWaitKnown || server.stage === 'prefill') {
			speeds.record(group, server, elapsedMs / fit.estimateMs(tokens), {isWaitKnown});
		}
	}

	/** Undefined while the servers have not proved to be uneven. */
	#findUnevenFactor(server: KnownServer): number | undefined {
		const speeds = this.#opts?.speeds;
		const group = speeds && formatSpeedGroup(server);
		return group !== undefined && speeds!.isUneven(group) ? speeds!.getFactor(group, server, this.#measureOverdue(server.id)) : undefined;
	}

	#measureOverdue(id: string): Overdue | undefined {
		const running = this.#running.get(id);
		if (!running) {
			return undefined;
		}

		const now = this.#opts!.clock.monotonic();
		this.#overdue.count = 0;
		this.#overdue.sum = 0;
		for (const {sentAt, expectedMs} of running) {
			if (expectedMs > 0) {
				addOverdue(this.#overdue, (now - sentAt) / expectedMs);
			}
		}

		return this.#overdue;
	}

	#findSpeed(server: KnownServer): {fixedMs: number; msPerToken: number} {
		const isPrefill = server.stage === 'prefill';
		const own = this.#getFit(server.service, isPrefill);
		const other = this.#getFit(server.service, !isPrefill);
		const stageFactor = isPrefill ? 1 / decodeSlowdown : decodeSlowdown;
		const factor = (this.#findUnevenFactor(server) ?? Math.exp(this.#getFactor(server).logarithm)) * (own.isKnown ? 1 : stageFactor);
		const {fixedMs, msPerToken} = own.isKnown ? own : other;
		return {fixedMs: fixedMs * factor, msPerToken: msPerToken * factor};
	}

	#getHandOverFit(service: string): LatencyFit {
		return this.#getNamedFit(`${service}/hand-over`);
	}

	#getFit(service: string, isPrefill: boolean): LatencyFit {
		return this.#getNamedFit(`${service}/${isPrefill ? 'prefill' : 'decode'}`);
	}

	#getNamedFit(key: string): LatencyFit {
		let fit = this.#fits.get(key);
		if (!fit) {
			fit = new LatencyFit();
			this.#fits.set(key, fit);
		}

		return fit;
	}

	#getFactor(server: KnownServer): ServerFactor {
		let factor = this.#factors.get(server.id);
		if (factor?.startedAt !== server.startedAt) {
			factor = {startedAt: server.startedAt, logarithm: 0};
			this.#factors.set(server.id, factor);
		}

		return factor;
	}
}

function formatHoldKey(service: string, isStream: boolean): string {
	return `${service}/${isStream ? 'stream' : 'short'}`;
}

function formatSpeedGroup({service, stage}: KnownServer): string {
	return `${service}/${stage === 'prefill' ? 'prefill' : 'decode'}`;
}
