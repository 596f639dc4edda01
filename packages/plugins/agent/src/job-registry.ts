/**
 * The attempts known to the agent: open ones, ended ones whose answer can still be requested, and tombstones of attempts
 * that must be refused if a delayed submission arrives.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Job} from './job.js';

/** How long an ended attempt is kept, in milliseconds. */
const generationRetentionMs = 30_000;
const serviceRetentionMs = 600_000;
const maximumEndedJobs = 20_000;
const maximumAttemptIds = 50_000;

export class JobRegistry {
	readonly #clock: Clock;
	readonly #open = new Map<string, Job>();
	readonly #ended = new Map<string, Job>();
	readonly #evicted = new Set<string>();
	readonly #tombstones = new Set<string>();

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
		return [...this.#ended.values()].some(job => !job.writer.isConfirmed);
	}

	/** Adds a tombstone for an attempt that has not arrived, so that a later arrival is refused; returns false if it has arrived. */
	addTombstone(attempt: string): boolean {
		if (this.find(attempt)) {
			return false;
		}

		this.#addBounded(this.#tombstones, attempt);
		return true;
	}

	hasTombstone(attempt: string): boolean {
		return this.#tombstones.has(attempt);
	}

	/** Returns whether the attempt was known and has been evicted, so that its outcome is no longer known. */
	isEvicted(attempt: string): boolean {
		return this.#evicted.has(attempt);
	}

	/** Evicts ended attempts in the order in which they ended, by age and while there are too many. */
	evictEnded(): void {
		const now = this.#clock.monotonic();
		for (const [attempt, job] of this.#ended) {
			const retentionMs = job.submission.work.kind === 'service' ? serviceRetentionMs : generationRetentionMs;
			if (now - job.endedAt > retentionMs || this.#ended.size > maximumEndedJobs) {
				this.#ended.delete(attempt);
				this.#addBounded(this.#evicted, attempt);
			}
		}
	}

	#addBounded(attemptIds: Set<string>, attempt: string): void {
		attemptIds.add(attempt);
		if (attemptIds.size > maximumAttemptIds) {
			attemptIds.delete(attemptIds.values().next().value!);
		}
	}
}
