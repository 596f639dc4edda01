/**
 * A clock for tests: time stands still until `advance` moves it. Timers fire in order of their deadline, and after each
 * one the event loop turns, so that the woken tasks run before the next timer fires.
 */
import type {Clock} from './clock.js';

type Timer = {
	deadline: number;
	order: number;
	fire: () => void;
};

const loopTurnsPerTimer = 3;

export class ManualClock implements Clock {
	#time = 0;
	#order = 0;
	readonly #timers = new Set<Timer>();
	readonly #wallStart: number;

	constructor(wallStart = 1_700_000_000_000) {
		this.#wallStart = wallStart;
	}

	now(): number {
		return this.#wallStart + this.#time;
	}

	monotonic(): number {
		return this.#time;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				this.#timers.delete(timer);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			this.#order++;
			const timer: Timer = {deadline: this.#time + Math.max(0, ms), order: this.#order, fire: finish};
			this.#timers.add(timer);
			signal?.addEventListener('abort', finish, {once: true});
		});
	}

	/** Moves time forward by `ms` milliseconds and lets every task that wakes on the way run. */
	async advance(ms: number): Promise<void> {
		const end = this.#time + ms;
		await this.#turn();
		for (;;) {
			const next = this.#nextTimer();
			if (!next || next.deadline > end) {
				break;
			}

			this.#time = Math.max(this.#time, next.deadline);
			next.fire();
			await this.#turn();
		}

		this.#time = end;
		await this.#turn();
	}

	#nextTimer(): Timer | undefined {
		let best: Timer | undefined;
		for (const timer of this.#timers) {
			if (!best || timer.deadline < best.deadline || (timer.deadline === best.deadline && timer.order < best.order)) {
				best = timer;
			}
		}

		return best;
	}

	async #turn(): Promise<void> {
		for (let turn = 0; turn < loopTurnsPerTimer; turn++) {
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	}
}
