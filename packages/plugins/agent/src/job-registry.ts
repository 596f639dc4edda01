/**
 * The attempts that the agent knows: open ones, ended ones whose answer may still be asked for, and barred ones that must
 * be refused if a late copy arrives.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Job} from './job.js';

/** How long an ended attempt is kept, in milliseconds. */
const generationKeptMs = 30_000;
const serviceKeptMs = 600_000;
const maximumEnded = 20_000;
const maximumNames = 50_000;

export class JobRegistry {
	readonly #clock: Clock;
	readonly #open = new Map<string, Job>();
	readonly #ended = new Map<string, Job>();
	readonly #forgotten = new Set<string>();
	readonly #barred = new Set<string>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get size(): number {
		return this.#open.size + this.#ended.size;
	}

	add(job: Job): void {
		this.#open.set(job.attempt, job);
	}

	find(attempt: string): Job | undefined {
		return this.#open.get(attempt) ?? this.#ended.get(attempt);
	}

	listOpen(): Job[] {
		return [...this.#open.values()];
	}

	recordEnded(job: Job): void {
		if (this.#open.delete(job.attempt)) {
			this.#ended.set(job.attempt, job);
		}
	}

	hasUnconfirmed(): boolean {
		return [...this.#ended.values()].some(job => !job.tail.isConfirmed);
	}

	/** Refuses an attempt for ever that has not arrived; false when it has. */
	addTombstone(attempt: string): boolean {
		if (this.find(attempt)) {
			return false;
		}

		this.#remember(this.#barred, attempt);
		return true;
	}

	hasTombstone(attempt: string): boolean {
		return this.#barred.has(attempt);
	}

	/** Tells whether the attempt was known once, so that nothing certain can be said about it now. */
	isEvicted(attempt: string): boolean {
		return this.#forgotten.has(attempt);
	}

	/** Forgets ended attempts in the order in which they ended. */
	evictEnded(): void {
		const now = this.#clock.monotonic();
		for (const [attempt, job] of this.#ended) {
			const keptMs = job.submission.work.kind === 'service' ? serviceKeptMs : generationKeptMs;
			if (now - job.endedAt > keptMs || this.#ended.size > maximumEnded) {
				this.#ended.delete(attempt);
				this.#remember(this.#forgotten, attempt);
			}
		}
	}

	#remember(names: Set<string>, attempt: string): void {
		names.add(attempt);
		if (names.size > maximumNames) {
			names.delete(names.values().next().value!);
		}
	}
}
