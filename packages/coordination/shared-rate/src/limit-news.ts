/**
 * The rate limits that servers have named, in answers to this instance or to others. A limit holds for one start of its
 * server, from the first answer that names it until an answer to a later request names none. Answers may overtake each
 * other, so an answer without a limit ends one only if its request was sent after the limit was last named.
 */
import type {Clock} from '@hickorytrack/clock';

/** One start of a server. */
export type Subject = {readonly id: string; readonly startedAt: number};

/** A limit as instances tell each other, in requests per second; without one, the server has named none since. */
export type LimitNote = Subject & {
	perSecond?: number;
	/** Time since the server said so, in milliseconds. */
	ageMs: number;
};

type Entry = {
	startedAt: number;
	perSecond: number | undefined;
	/** Monotonic time at which the server said so, in milliseconds. */
	saidAt: number;
	/** The limit that has ended, and when this instance has learnt it. */
	ended?: {perSecond: number; at: number};
};

/** After the end of a limit, the load returns over this time: the rate is doubled again and again. */
const returnMs = 2000;
const doublingMs = 250;
/** The load returns from this rate if the limit was lower, in requests per second. */
const minReturnPerSecond = 4;
/** A server that named a lower limit, or none at all, still gets requests at this rate: only its answers can tell that the limit has ended. */
const minPerSecond = 0.25;

/** An ended limit is kept for this time, so that late news does not restore it. */
const endedRetentionMs = 120_000;
/** A limit that no answer has named for this time is forgotten; the next answer names it again. */
const limitRetentionMs = 600_000;

export class LimitNews {
	readonly #clock: Clock;
	/** By server id. */
	readonly #entries = new Map<string, Entry>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** False while no server is known to have named a limit. */
	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** Records a limit that an answer names. Returns whether it is news. */
	record({id, startedAt}: Subject, perSecond: number): boolean {
		return this.#update({id, startedAt, perSecond}, this.#clock.monotonic());
	}

	/** Records an answer that names no limit; `sentAt` is the monotonic time at which its request was sent. Returns whether this ends one. */
	recordNone({id, startedAt}: Subject, sentAt: number): boolean {
		return this.#findEntry({id, startedAt})?.perSecond !== undefined && this.#update({id, startedAt}, sentAt);
	}

	/** Records what another instance knows. Returns the notes that were news. */
	merge(notes: readonly LimitNote[]): LimitNote[] {
		const now = this.#clock.monotonic();
		return notes.filter(note => isValid(note) && this.#update(note, now - note.ageMs));
	}

	/** Returns the limit in requests per second; undefined if the server has named none. */
	find(subject: Subject): number | undefined {
		return this.#findEntry(subject)?.perSecond;
	}

	/** Returns the rate at which all instances together may send to the server, in requests per second; undefined for any rate. */
	getRate(subject: Subject): number | undefined {
		const entry = this.#findEntry(subject);
		if (entry?.perSecond !== undefined) {
			return Math.max(minPerSecond, entry.perSecond);
		}

		const endedMs = entry?.ended === undefined ? returnMs : this.#clock.monotonic() - entry.ended.at;
		return endedMs < returnMs ? Math.max(minReturnPerSecond, entry!.ended!.perSecond) * (2 ** (endedMs / doublingMs)) : undefined;
	}

	/** Lists all limits, and those that have ended of late, for an instance that may have missed them. */
	list(): LimitNote[] {
		const now = this.#clock.monotonic();
		for (const [id, {perSecond, saidAt}] of this.#entries) {
			if (now - saidAt > (perSecond === undefined ? endedRetentionMs : limitRetentionMs)) {
				this.#entries.delete(id);
			}
		}

		return [...this.#entries].map(([id, {startedAt, perSecond, saidAt}]) => ({
			id, startedAt, perSecond, ageMs: Math.round(now - saidAt),
		}));
	}

	#findEntry({id, startedAt}: Subject): Entry | undefined {
		const entry = this.#entries.get(id);
		return entry?.startedAt === startedAt ? entry : undefined;
	}

	#update({id, startedAt, perSecond}: Subject & {perSecond?: number}, saidAt: number): boolean {
		const known = this.#entries.get(id);
		const isOutdated = known !== undefined && (known.startedAt > startedAt || (known.startedAt === startedAt && known.saidAt >= saidAt));
		if (isOutdated) {
			return false;
		}

		const formerly = known?.startedAt === startedAt ? known : undefined;
		const hasEnded = perSecond === undefined && formerly?.perSecond !== undefined;
		const ended = hasEnded ? {perSecond: formerly.perSecond!, at: this.#clock.monotonic()} : (perSecond === undefined ? formerly?.ended : undefined);
		this.#entries.set(id, {
			startedAt, perSecond, saidAt, ended,
		});
		return perSecond !== formerly?.perSecond;
	}
}

/** A note may come from an instance of another version. */
function isValid({id, startedAt, perSecond, ageMs}: LimitNote): boolean {
	return typeof id === 'string' && [startedAt, ageMs, perSecond ?? 0].every(value => Number.isFinite(value) && value >= 0);
}
