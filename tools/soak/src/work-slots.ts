/** The slots of a server: a fixed number of requests run, a few more wait, and the rest is refused. */
import type {Clock} from '@hickorytrack/clock';

export type SlotOutcome = 'acquired' | 'full' | 'expired' | 'abandoned';

type Waiter = {
	settle: (outcome: SlotOutcome) => void;
};

export class WorkSlots {
	readonly #clock: Clock;
	readonly #maxWaiting: number;
	readonly #waiting: Waiter[] = [];
	#free: number;

	constructor(opts: {clock: Clock; slots: number; maxWaiting: number}) {
		this.#clock = opts.clock;
		this.#free = opts.slots;
		this.#maxWaiting = opts.maxWaiting;
	}

	/** Waits for a slot, at most for `waitMs` and until `signal` aborts. */
	async acquire(waitMs: number, signal: AbortSignal): Promise<SlotOutcome> {
		if (this.#free > 0) {
			this.#free--;
			return 'acquired';
		}

		if (this.#waiting.length >= this.#maxWaiting) {
			return 'full';
		}

		return new Promise(resolve => {
			const settle = (outcome: SlotOutcome) => {
				const index = this.#waiting.indexOf(waiter);
				if (index !== -1) {
					this.#waiting.splice(index, 1);
				}

				cancelTimer();
				signal.removeEventListener('abort', onAbort);
				resolve(outcome);
			};

			const onAbort = () => {
				settle('abandoned');
			};

			const waiter: Waiter = {settle};
			this.#waiting.push(waiter);
			const cancelTimer = this.#clock.startTimer(waitMs, () => {
				settle('expired');
			});
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}

	release(): void {
		this.#free++;
		const next = this.#waiting[0];
		if (next) {
			this.#free--;
			next.settle('acquired');
		}
	}
}
