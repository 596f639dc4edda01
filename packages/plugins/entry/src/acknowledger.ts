/** Tells agents which pieces have been passed on, for all attempts on a connection together. */
import type {Clock} from '@hickorytrack/clock';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';

const flushMs = 40;

export class Acknowledger {
	readonly #clock: Clock;
	readonly #pending = new Map<PeerConnection, Map<string, number>>();
	#isFlushing = false;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record(connection: PeerConnection, attempt: string, next: number): void {
		let attempts = this.#pending.get(connection);
		if (!attempts) {
			attempts = new Map();
			this.#pending.set(connection, attempts);
		}

		attempts.set(attempt, next);
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			void this.#flushSoon();
		}
	}

	async #flushSoon(): Promise<void> {
		await this.#clock.sleep(flushMs);
		this.#isFlushing = false;
		for (const [connection, attempts] of this.#pending) {
			connection.notify('work.acknowledge', {received: [...attempts].map(([attempt, next]) => ({attempt, next}))});
		}

		this.#pending.clear();
	}
}
