/**
 * The instance's own link and processor as parts of the way of a request. On a thin link, the transmission of a prompt takes
 * as long as its prefill, so where a prompt is sent to matters as much as who prefills it.
 */
import type {Clock} from '@hickorytrack/clock';
import {bytesPerMsPerMbps, LinkMeter} from './link-meter.js';
import {ProcessorMeter, type ProcessorMeterOptions} from './processor-meter.js';
import type {InstanceCapacity} from './ready-set.js';

/** What the settings say of an instance. A resource that they don't name counts as unlimited. */
export type ResourceLimits = {
	/** Speed of the link, in Mbit/s. */
	linkMbps?: number;
	/** Part of a core that the instance may use. */
	processorShare?: number;
};

export type OwnResourcesOptions = ResourceLimits & Pick<ProcessorMeterOptions, 'clock' | 'readUsedMs'>;

/** Time that a request spends at its own instance until its first event, in milliseconds. */
export type OwnCost = {
	/** Wait for the link and the processor alone; it is longer while there is more load. */
	waitMs: number;
	/** With one call that carries the prompt. */
	directMs: number;
	/** With two calls, one after another, that both carry the prompt. */
	handOverMs: number;
};

/** With a thinner link, it takes part in the latency of long prompts. */
const weakLinkMbps = 50;
/** With less of a core, the delay of the event loop takes part in the latency. */
const weakProcessorShare = 0.5;
/** Part of the link and of the processor that load shares may use. */
const maxShareFraction = 0.1;
/** With 27 servers and 250 prompts a second, a share from a relay had 1.8 KB at 50 a second, of which 0.4 KB are not prompts. */
const shareBytes = 2500;
/**
 * Assumed cost of a share in each direction on a whole core, with wake-ups, system calls and garbage. Its handlers alone take
 * 0.2 ms, and with intervals from that the played days served less.
 */
const shareProcessorMs = 1.2;
/** Load that is known later than the longest interval misleads the placement more than a share costs. */
const maxShareIntervalMs = 100;
const minUseWindowMs = 500;
/** Used where the settings name no limit; no instance uses as much. */
const unlimited = {linkMbps: 10_000, processorShare: 1} as const;

export class OwnResources {
	readonly link: LinkMeter;
	readonly processor: ProcessorMeter;
	readonly limits: Required<ResourceLimits>;
	readonly #clock: Clock;
	#usedMbps = 0;
	#readAt: number;
	#readBytes = 0;

	constructor({clock, readUsedMs, linkMbps = unlimited.linkMbps, processorShare = unlimited.processorShare}: OwnResourcesOptions) {
		this.#clock = clock;
		this.#readAt = clock.monotonic();
		this.limits = {linkMbps, processorShare};
		this.link = new LinkMeter({clock, linkMbps});
		this.processor = new ProcessorMeter({clock, processorShare, readUsedMs});
	}

	/** The link or the processor is so weak that placement takes it into account. */
	get isWeak(): boolean {
		return this.limits.linkMbps < weakLinkMbps || this.hasWeakProcessor;
	}

	get hasWeakProcessor(): boolean {
		return this.limits.processorShare < weakProcessorShare;
	}

	/** Interval at which load shares use no more of the link and processor than they may; undefined for an instance that is not weak. */
	get shareIntervalMs(): number | undefined {
		if (!this.isWeak) {
			return undefined;
		}

		const {linkMbps, processorShare} = this.limits;
		const linkMs = shareBytes / (linkMbps * bytesPerMsPerMbps) / maxShareFraction;
		const processorMs = shareProcessorMs / processorShare / maxShareFraction;
		return Math.min(maxShareIntervalMs, Math.max(linkMs, processorMs));
	}

	recordSent(bytes: number): void {
		this.link.record(bytes);
	}

	/** Estimates the time from a call that carries these bytes to its answer that is not spent at the server, in milliseconds. */
	estimateCallMs(bytes: number): number {
		return this.link.estimateWaitMs() + this.link.estimateSendMs(bytes) + this.processor.delayMs;
	}

	/** Estimates what a request whose prompt has these bytes waits for here. The event loop delays its arrival and each answer. */
	estimate(bytes: number): OwnCost {
		const {link, processor: {delayMs}} = this;
		const directMs = delayMs + this.estimateCallMs(bytes);
		return {
			waitMs: link.estimateWaitMs() + (2 * delayMs),
			directMs,
			handOverMs: directMs + link.estimateMeanWaitMs() + link.estimateSendMs(bytes) + delayMs,
		};
	}

	/** Returns the capacity, and its use over the last half second or more. */
	measureCapacity(instance: string): InstanceCapacity {
		const now = this.#clock.monotonic();
		if (now - this.#readAt >= minUseWindowMs) {
			this.#usedMbps = (this.link.sentBytes - this.#readBytes) / (now - this.#readAt) / bytesPerMsPerMbps;
			this.#readBytes = this.link.sentBytes;
			this.#readAt = now;
		}

		return {
			instance, ...this.limits, usedProcessor: this.processor.used, usedMbps: this.#usedMbps,
		};
	}
}
