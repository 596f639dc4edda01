/**
 * The wait for the instance's own processor: how late the event loop runs what is due, and which part of a core the process
 * uses. A process that may use a fraction of a core is stopped for a part of the time, which shows as late timers too.
 */
import process from 'node:process';
import type {Clock} from '@hickorytrack/clock';

export type ProcessorMeterOptions = {
	clock: Clock;
	/** Part of a core that the instance may use. */
	processorShare: number;
	/** Processor time of the process since its start, in milliseconds. */
	readUsedMs?: () => number;
};

/** Interval of the timer whose lateness is measured; the timer costs under 0.1 % of a core. */
const intervalMs = 100;
/** Timers of Node.js are up to one millisecond late on an idle processor. */
const timerGranularityMs = 1;
/** Weight of a new sample in the moving averages; about half a second counts. */
const sampleWeight = 0.2;

export class ProcessorMeter {
	readonly #opts: Required<ProcessorMeterOptions>;
	#delayMs = 0;
	#used = 0;
	#readAt: number;
	#usedMs: number;

	constructor({readUsedMs = readProcessMs, ...opts}: ProcessorMeterOptions) {
		this.#opts = {...opts, readUsedMs};
		this.#readAt = opts.clock.monotonic();
		this.#usedMs = readUsedMs();
	}

	/** Smoothed time by which the event loop runs late, in milliseconds; 0 until `run` is called. */
	get delayMs(): number {
		return this.#delayMs;
	}

	/** Part of a core that the process uses. */
	get used(): number {
		this.#readUse();
		return this.#used;
	}

	/** Part of the instance's share that the process uses. */
	get use(): number {
		return this.used / this.#opts.processorShare;
	}

	/** Measures the delay of the event loop until the signal aborts. */
	run(signal: AbortSignal): void {
		const {clock} = this.#opts;
		let cancelTimer: (() => void) | undefined;
		const startNext = () => {
			if (signal.aborted) {
				return;
			}

			const dueAt = clock.monotonic() + intervalMs;
			cancelTimer = clock.startTimer(intervalMs, () => {
				const lateMs = Math.max(0, clock.monotonic() - dueAt - timerGranularityMs);
				this.#delayMs += (lateMs - this.#delayMs) * sampleWeight;
				this.#readUse();
				startNext();
			});
		};

		signal.addEventListener('abort', () => {
			cancelTimer?.();
		}, {once: true});
		startNext();
	}

	#readUse(): void {
		const {clock, readUsedMs} = this.#opts;
		const now = clock.monotonic();
		const elapsedMs = now - this.#readAt;
		if (elapsedMs < intervalMs) {
			return;
		}

		const usedMs = readUsedMs();
		// A reading after a longer time counts for all the samples that it stands for.
		const weight = 1 - ((1 - sampleWeight) ** (elapsedMs / intervalMs));
		this.#used += (((usedMs - this.#usedMs) / elapsedMs) - this.#used) * weight;
		this.#usedMs = usedMs;
		this.#readAt = now;
	}
}

function readProcessMs(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
}
