/** Acknowledges to agents the pieces forwarded to callers, in one batch for all attempts on a connection. */
import type {Clock} from '@hickorytrack/clock';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';

const acknowledgeDelayMs = 40;

export class Acknowledger {
	readonly #clock: Clock;
	readonly #pending = new Map<PeerConnection, Map<string, number>>();
	#isSendScheduled = false;

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
		if (!this.#isSendScheduled) {
			this.#isSendScheduled = true;
			void this.#sendAfterDelay();
		}
	}

	async #sendAfterDelay(): Promise<void> {
		await this.#clock.sleep(acknowledgeDelayMs);
		this.#isSendScheduled = false;
		for (const [connection, attempts] of this.#pending) {
			connection.notify('work.acknowledge', {received: [...attempts].map(([attempt, next]) => ({attempt, next}))});
		}

		this.#pending.clear();
	}
}
