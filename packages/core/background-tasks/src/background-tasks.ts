/**
 * The owner of the work that nobody waits for: tasks, timers and listeners. An error that one of them throws would otherwise
 * reach the top and end the process, with all requests that it has accepted. Here it is reported with the name of its task,
 * and a task that should go on is started again after a delay, which grows while it fails at once.
 */
import process from 'node:process';
import {inspect} from 'node:util';
import type {Clock} from '@hickorytrack/clock';

export type TaskFailure = {task: string; error: unknown};

export type BackgroundTasksOptions = {
	/** Called for each error. Without it, and for what it throws itself, Node.js prints a warning. */
	onFailed?: (failure: TaskFailure) => void;
};

const firstRestartMs = 50;
const maxRestartMs = 5000;
/** A task that ran for this long before it failed is started again with the first delay. */
const soundRunMs = 10_000;

export class BackgroundTasks {
	readonly #onFailed: (failure: TaskFailure) => void;

	constructor({onFailed = printFailure}: BackgroundTasksOptions = {}) {
		this.#onFailed = onFailed;
	}

	/** Starts a task that ends by itself. */
	start(task: string, run: () => unknown): void {
		void this.run(task, run);
	}

	/** Runs a task that ends by itself. Never rejects. */
	async run(task: string, run: () => unknown): Promise<void> {
		try {
			await run();
		} catch (error) {
			this.report(task, error);
		}
	}

	/** Starts a task that goes on until the signal aborts, and starts it again when it has thrown an error. */
	startUntil(signal: AbortSignal, {task, clock}: {task: string; clock: Clock}, run: () => Promise<void>): void {
		void this.#runUntil(signal, {task, clock}, run);
	}

	/** Returns a listener that reports what the given one throws, or what its promise rejects with. */
	createListener<A extends unknown[]>(task: string, listener: (...args: A) => unknown): (...args: A) => void {
		return (...args) => {
			try {
				const result = listener(...args);
				if (result instanceof Promise) {
					result.catch((error: unknown) => {
						this.report(task, error);
					});
				}
			} catch (error) {
				this.report(task, error);
			}
		};
	}

	/** Reports the error of a task. Never throws. */
	report(task: string, error: unknown): void {
		try {
			this.#onFailed({task, error});
		} catch (reportError) {
			printFailure({task, error});
			printFailure({task: 'report-failure', error: reportError});
		}
	}

	async #runUntil(signal: AbortSignal, {task, clock}: {task: string; clock: Clock}, run: () => Promise<void>): Promise<void> {
		let delayMs = firstRestartMs;
		while (!signal.aborted) {
			const startedAt = clock.monotonic();
			try {
				await run();
				return;
			} catch (error) {
				this.report(task, error);
				delayMs = clock.monotonic() - startedAt >= soundRunMs ? firstRestartMs : delayMs;
				await clock.sleep(delayMs, signal);
				delayMs = Math.min(maxRestartMs, delayMs * 2);
			}
		}
	}
}

function printFailure({task, error}: TaskFailure): void {
	process.emitWarning(`The task "${task}" failed: ${inspect(error)}`);
}
