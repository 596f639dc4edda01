/**
 * The leader's side of the serving leases. A majority of the core confirms the leader while instances ask, at most once in an
 * interval for all of them; each answer names the version that was the newest then and the age of the confirmation.
 */
import type {Clock} from '@hickorytrack/clock';
import {ElapsedTime} from './elapsed-time.js';

export type LeaseAnswer = {
	/** Newest acknowledged version of the configuration; undefined if no majority has confirmed it. */
	version?: number;
	/** Time since the confirmation began, in milliseconds. */
	ageMs?: number;
};

export type LeaseIssuerOptions = {
	clock: Clock;
	/** Returns the newest version once a majority has confirmed this member as the leader; undefined if it is not confirmed. */
	confirm: () => Promise<number | undefined>;
};

const confirmIntervalMs = 300;

export class LeaseIssuer {
	readonly #opts: LeaseIssuerOptions;
	readonly #time: ElapsedTime;
	#last: {version: number; from: number} | undefined;
	#running: Promise<void> | undefined;

	constructor(opts: LeaseIssuerOptions) {
		this.#opts = opts;
		this.#time = new ElapsedTime(opts.clock);
	}

	/** Answers from the last confirmation if it is recent, otherwise from the one that runs or begins. */
	async answer(): Promise<LeaseAnswer> {
		if (!this.#isRecent) {
			this.#running ??= this.#confirm();
			await this.#running;
		}

		const last = this.#last;
		return last ? {version: last.version, ageMs: this.#time.read() - last.from} : {};
	}

	get #isRecent(): boolean {
		return this.#last !== undefined && this.#time.read() - this.#last.from < confirmIntervalMs;
	}

	/** The age counts from the start: what is acknowledged later may be missing in the version. */
	async #confirm(): Promise<void> {
		const from = this.#time.read();
		try {
			const version = await this.#opts.confirm();
			this.#last = version === undefined ? undefined : {version, from};
		} finally {
			this.#running = undefined;
		}
	}
}
