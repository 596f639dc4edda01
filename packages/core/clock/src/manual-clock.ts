/**
 * A clock for tests: time changes only when `advance` is called. Timers fire in the order of their deadlines. The event
 * loop runs after each timer, so that the tasks that waited for it run before the next timer fires.
 */
import type {Clock} from './clock.js';

type Timer = {
	deadline: number;
	order: number;
	fire: () => void;
};

const eventLoopTurnsPerTimer = 3;

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

	startTimer(ms: number, onExpired: () => void): () => void {
		this.#order++;
		const timer: Timer = {
			deadline: this.#time + Math.max(0, ms), order: this.#order, fire: () => {
				this.#timers.delete(timer);
				onExpired();
			},
		};
		this.#timers.add(timer);
		return () => {
			this.#timers.delete(timer);
		};
	}

	/** Advances the time by `ms` milliseconds and runs every task whose timer fires in this interval. */
	async advance(ms: number): Promise<void> {
		const end = this.#time + ms;
		await this.#runEventLoop();
		for (;;) {
			const next = this.#findNextTimer();
			if (!next || next.deadline > end) {
				break;
			}

			this.#time = Math.max(this.#time, next.deadline);
			next.fire();
			await this.#runEventLoop();
		}

		this.#time = end;
		await this.#runEventLoop();
	}

	#findNextTimer(): Timer | undefined {
		let earliest: Timer | undefined;
		for (const timer of this.#timers) {
			if (!earliest || timer.deadline < earliest.deadline || (timer.deadline === earliest.deadline && timer.order < earliest.order)) {
				earliest = timer;
			}
		}

		return earliest;
	}

	async #runEventLoop(): Promise<void> {
		for (let turn = 0; turn < eventLoopTurnsPerTimer; turn++) {
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	}
}
