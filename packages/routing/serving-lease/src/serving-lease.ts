/**
 * The lease under which an instance serves keyed requests. It counts from the confirmation of the leader that an answer names,
 * and at the latest from the question, and holds only if the instance has installed the confirmed version. It is checked at
 * each use and by both clocks: a machine that was suspended finds it expired at the first request.
 */
import type {Clock} from '@hickorytrack/clock';
import {ElapsedTime} from './elapsed-time.js';
import type {LeaseAnswer} from './lease-issuer.js';

export type ServingLeaseOptions = {
	clock: Clock;
	lengthMs: number;
	/** Asks the leader of the core; undefined if it did not answer. */
	ask: () => Promise<LeaseAnswer | undefined>;
	/** Version of the configuration that this instance has installed. */
	getVersion: () => number | undefined;
	/** Fetches a configuration that is newer than the installed one. */
	fetch: () => Promise<void>;
	/** Called when the lease is found to hold again, or no longer. */
	onChanged: (isValid: boolean) => void;
};

type Confirmation = {version: number; from: number};

const renewalIntervalMs = 500;
/** Interval of questions while nobody answers, so that a new leader is asked soon. */
const retryIntervalMs = 150;
/** Least interval of questions for unknown keys, however many requests wait. */
const confirmPollMs = 50;

export class ServingLease {
	readonly #opts: ServingLeaseOptions;
	readonly #time: ElapsedTime;
	/** The latest confirmation of a version that is installed here. */
	#granted: Confirmation | undefined;
	/** A later confirmation, of a version that was not installed when it arrived. */
	#pending: Confirmation | undefined;
	#running: Promise<boolean> | undefined;
	#askedAt = Number.NEGATIVE_INFINITY;
	#wasValid = false;

	constructor(opts: ServingLeaseOptions) {
		this.#opts = opts;
		this.#time = new ElapsedTime(opts.clock);
	}

	get isValid(): boolean {
		const isValid = this.remainingMs > 0;
		if (isValid !== this.#wasValid) {
			this.#wasValid = isValid;
			this.#opts.onChanged(isValid);
		}

		return isValid;
	}

	/** Time for which the lease still holds, in milliseconds; 0 if it does not. */
	get remainingMs(): number {
		const granted = this.#updateGranted();
		return granted ? Math.max(0, granted.from + this.#opts.lengthMs - this.#time.read()) : 0;
	}

	/** Renews the lease until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isAnswered = await this.renew();
			const {isValid} = this;
			await this.#opts.clock.sleep(isAnswered && isValid ? renewalIntervalMs : retryIntervalMs, signal);
		}
	}

	/** Asks the leader, once at a time. Resolves with whether it has answered. */
	async renew(): Promise<boolean> {
		this.#running ??= this.#renew();
		return this.#running;
	}

	/** Resolves with true once the leader has confirmed the installed version as the newest after this call; with false if it has not within the time. */
	async confirmVersion(maxMs: number): Promise<boolean> {
		const {clock} = this.#opts;
		const since = this.#time.read();
		const until = clock.monotonic() + maxMs;
		while (clock.monotonic() < until) {
			if (this.#running !== undefined || clock.monotonic() - this.#askedAt >= confirmPollMs) {
				await this.renew();
			}

			if ((this.#updateGranted()?.from ?? Number.NEGATIVE_INFINITY) >= since) {
				return true;
			}

			await clock.sleep(confirmPollMs);
		}

		return false;
	}

	async #renew(): Promise<boolean> {
		try {
			this.#askedAt = this.#opts.clock.monotonic();
			const askedAt = this.#time.read();
			const answer = await this.#opts.ask();
			if (answer?.version === undefined || answer.ageMs === undefined) {
				return false;
			}

			// The next confirmation takes the place of the pending one, whose version may be installed by now.
			this.#updateGranted();
			const confirmation = {version: answer.version, from: askedAt - Math.max(0, answer.ageMs)};
			if (!this.#pending || confirmation.from > this.#pending.from) {
				this.#pending = confirmation;
			}

			if (answer.version > (this.#opts.getVersion() ?? -1)) {
				await this.#opts.fetch();
			}

			return true;
		} finally {
			this.#running = undefined;
		}
	}

	/** Takes the pending confirmation over once its version is installed, and returns the latest that was taken over. */
	#updateGranted(): Confirmation | undefined {
		const pending = this.#pending;
		if (pending && pending.version <= (this.#opts.getVersion() ?? -1)) {
			this.#pending = undefined;
			if (!this.#granted || pending.from > this.#granted.from) {
				this.#granted = pending;
			}
		}

		return this.#granted;
	}
}
