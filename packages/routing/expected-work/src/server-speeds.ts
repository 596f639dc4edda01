/**
 * The speed of each server relative to the others of its group, as the logarithm of the factor by which its answers take
 * longer than expected. There are two time scales: hardware, over a hundred answers, and phases of some hundred
 * milliseconds, from the last few answers and from requests that are overdue. Evidence of a phase loses its weight within a
 * second, so that a server that gets few requests soon counts as its hardware says, and is measured again.
 *
 * Answers vary for other reasons too. The spread between successive answers of a server tells how much, and evidence counts
 * only as far as it exceeds that. Delays of this instance lengthen all answers alike and are removed as a common part.
 */
import type {Clock} from '@hickorytrack/clock';
import type {SpeedNote} from '@hickorytrack/types/peer-methods';

/** One start of a server. */
export type SpeedSubject = {readonly id: string; readonly startedAt: number};

/** The requests at a server that run longer than expected. */
export type Overdue = {
	count: number;
	/** Sum of the logarithms of the ratios between the time of a request and what was expected. */
	sum: number;
};

type Entry = {
	startedAt: number;
	samples: number;
	slow: number;
	fast: number;
	fastWeight: number;
	recordedAt: number;
	usedAt: number;
	previous: number;
	/** Monotonic time since which the answers show a phase. */
	phaseSince: number | undefined;
	isPhaseCounted: boolean;
	unsentSamples: number;
	unsentSum: number;
};

type Group = {
	name: string;
	entries: Map<string, Entry>;
	/** Recent deviation of all servers together. */
	common: number;
	/** Variance of the answers of one server at a constant speed. */
	noise: number;
	/** Variance of all answers of one server. */
	spread: number;
	/** Mean of `slow`. */
	mean: number;
	checkedAt: number;
	unevenUntil: number;
	/** What the listener was told last. */
	wasUneven: boolean;
	/** Monotonic times of the last phases that were seen. */
	phases: number[];
};

/** Bounds of a ratio; an answer beyond them says that the server is unhealthy rather than slow. */
const maxLogarithm = Math.log(5);
/** A request that runs longer than this many times what was expected is overdue. */
const overdueFactor = 1.3;
const slowWeight = 0.01;
/** A sample moves the slow estimate at most by this much of its weight, so that phases change it little. */
const maxSlowStep = 0.3;
/** The slow estimate of a server that has got no request for this time counts no more; it gets one as a server of mean speed. */
const slowRetentionMs = 5000;
/** Time constant with which evidence of a phase loses its weight. */
const fastMemoryMs = 300;
/** Weight that evidence of a phase keeps with each new answer. */
const fastRetention = 0.7;
/** Variance of the speed of a server that has phases at 2.5 times the time for 15 in 100 of it. */
const phaseVariance = 0.12;
const initialNoise = 0.3;
const minNoise = 0.05;
const noiseWeight = 0.02;
const commonWeight = 0.05;
/** Successive answers further apart than this don't tell the noise, because a phase may lie between them. */
const successiveMs = 500;
const checkIntervalMs = 250;
/** The fastest and the slowest quarter of even servers differ less than this. */
const unevenLogarithm = Math.log(1.3);
const minCheckedSamples = 50;
const slowSampleCount = 150;
/** A phase counts as proved if it exceeds its standard error by this factor. */
const proofFactor = 5;
/** The same for hardware. The answers of a server that is full are not independent, so that the standard error is too small. */
const hardwareProofFactor = 8;
const phaseLogarithm = Math.log(1.6);
const phaseEndLogarithm = Math.log(1.2);
const minPhaseWeight = 2.5;
/** Waits of some requests that arrive together end earlier than a phase. */
const minPhaseMs = 150;
/** This many phases within the time prove that the servers have phases; with fewer, even servers under load passed for uneven ones. */
const minPhases = 5;
const phasesWithinMs = 20_000;
const unevenRetentionMs = 60_000;
/** Samples of a note count as at most this many. */
const maxNoteSamples = 20;

export class ServerSpeeds {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #groups = new Map<string, Group>();
	readonly #onChange: ((group: string, isUneven: boolean) => void) | undefined;

	/** `onChange` is called when the servers of a group have proved to be uneven, and with the first answer after that has lapsed. */
	constructor(clock: Pick<Clock, 'monotonic'>, onChange?: (group: string, isUneven: boolean) => void) {
		this.#clock = clock;
		this.#onChange = onChange;
	}

	/**
	 * Records an answer that took the given multiple of the time that a server of mean speed was expected to take. One that may
	 * have waited at the server tells its hardware in the long run, but no phase.
	 */
	record(group: string, server: SpeedSubject, ratio: number, {isWaitKnown = true}: {isWaitKnown?: boolean} = {}): void {
		if (!(ratio > 0)) {
			return;
		}

		const known = this.#getGroup(group);
		const entry = getEntry(known, server);
		const logarithm = clamp(Math.log(ratio), maxLogarithm);
		if (!isWaitKnown) {
			addSlow(known, entry, {logarithm, count: 1});
			this.#checkHardware(known);
			return;
		}

		this.#add(known, entry, {logarithm, count: 1});
		entry.unsentSamples++;
		entry.unsentSum += logarithm - known.common;
	}

	/** Records that a request is sent to the server. */
	recordSending(group: string, server: SpeedSubject): void {
		const entry = this.#groups.get(group)?.entries.get(server.id);
		if (entry?.startedAt === server.startedAt) {
			entry.usedAt = this.#clock.monotonic();
		}
	}

	/** Returns whether the servers of the group have proved to be uneven. */
	isUneven(group: string): boolean {
		const known = this.#groups.get(group);
		return known !== undefined && this.#clock.monotonic() < known.unevenUntil;
	}

	/** Returns the factor by which the hardware of the server takes longer than that of the mean server. */
	getSlowFactor(group: string, server: SpeedSubject): number {
		return Math.exp(this.#getSlow(group, server));
	}

	/**
	 * Returns the factor by which the server takes longer now than the mean server. `overdue`: its requests that run longer than
	 * expected.
	 */
	getFactor(group: string, server: SpeedSubject, overdue?: Overdue): number {
		const known = this.#groups.get(group);
		const entry = known?.entries.get(server.id);
		const isKnown = entry?.startedAt === server.startedAt;
		const count = overdue?.count ?? 0;
		if (!known || (!isKnown && count === 0)) {
			return 1;
		}

		const slow = this.#getSlow(group, server);
		const weight = isKnown ? entry.fastWeight * Math.exp((entry.recordedAt - this.#clock.monotonic()) / fastMemoryMs) : 0;
		const prior = (known.noise / phaseVariance) + 0.3;
		const sum = weight * (isKnown ? entry.fast : 0);
		const fast = sum / (weight + prior);
		return Math.exp(slow + (count === 0 ? fast : Math.max(fast, (sum + overdue!.sum) / (weight + count + prior))));
	}

	/** Adds what another instance has measured. */
	merge(group: string, server: SpeedSubject, [, samples, hundredths]: SpeedNote): void {
		if (samples >= 1 && Number.isFinite(hundredths)) {
			const known = this.#getGroup(group);
			this.#add(known, getEntry(known, server), {logarithm: clamp((hundredths / 100) + known.common, maxLogarithm), count: Math.min(maxNoteSamples, samples)});
		}
	}

	/** Returns the next notes for the other instances, at most as many as given. Until the servers prove to be uneven here, they help to find out. */
	drainNotes(maxNotes: number): SpeedNote[] {
		const notes: SpeedNote[] = [];
		for (const {entries} of this.#groups.values()) {
			for (const [id, entry] of entries) {
				if (notes.length >= maxNotes) {
					return notes;
				}

				if (entry.unsentSamples > 0) {
					notes.push([id, entry.unsentSamples, Math.round(entry.unsentSum / entry.unsentSamples * 100)]);
					entry.unsentSamples = 0;
					entry.unsentSum = 0;
					// The others come first next time. This one is visited again, and has no samples then.
					entries.delete(id);
					entries.set(id, entry);
				}
			}
		}

		return notes;
	}

	/** Discards what is known of a server that is no longer known itself. */
	remove(id: string): void {
		for (const {entries} of this.#groups.values()) {
			entries.delete(id);
		}
	}

	/** Returns the groups with the factors of their servers, for the state dump. */
	dump(): unknown {
		return Object.fromEntries([...this.#groups].map(([name, {entries, noise}]) => [name, {
			isUneven: this.isUneven(name), noise, factors: Object.fromEntries([...entries].map(([id, {startedAt}]) => [id, this.getFactor(name, {id, startedAt})])),
		}]));
	}

	#getSlow(group: string, server: SpeedSubject): number {
		const known = this.#groups.get(group);
		const entry = known?.entries.get(server.id);
		if (!known || entry?.startedAt !== server.startedAt || this.#clock.monotonic() - Math.max(entry.usedAt, entry.recordedAt) > slowRetentionMs) {
			return 0;
		}

		return (entry.slow - known.mean) * entry.samples / (entry.samples + 3);
	}

	#add(group: Group, entry: Entry, {logarithm, count}: {logarithm: number; count: number}): void {
		const now = this.#clock.monotonic();
		const elapsedMs = now - entry.recordedAt;
		const isFirst = entry.samples === 0;
		addSlow(group, entry, {logarithm, count});
		const residual = logarithm - group.common - entry.slow;
		group.common += clamp(residual, maxSlowStep) * commonWeight;
		if (!isFirst && elapsedMs < successiveMs && count === 1) {
			group.noise += ((Math.min(4, (residual - entry.previous) ** 2) / 2) - group.noise) * noiseWeight;
			group.noise = Math.max(minNoise, group.noise);
		}

		entry.previous = residual;
		entry.fastWeight = (entry.fastWeight * Math.exp(-elapsedMs / fastMemoryMs) * (fastRetention ** count)) + ((1 - (fastRetention ** count)) / (1 - fastRetention));
		entry.fast += (residual - entry.fast) * Math.min(1, ((1 - (fastRetention ** count)) / (1 - fastRetention)) / entry.fastWeight);
		entry.recordedAt = now;
		this.#checkPhase(group, entry, now);
		this.#checkHardware(group);
	}

	#checkHardware(group: Group): void {
		const now = this.#clock.monotonic();
		if (now - group.checkedAt >= checkIntervalMs) {
			group.checkedAt = now;
			checkHardware(group, now);
			const isUneven = now < group.unevenUntil;
			if (isUneven !== group.wasUneven) {
				group.wasUneven = isUneven;
				this.#onChange?.(group.name, isUneven);
			}
		}
	}

	#checkPhase(group: Group, entry: Entry, now: number): void {
		const fast = entry.fast * entry.fastWeight / (entry.fastWeight + (group.noise / phaseVariance) + 0.3);
		if (fast < phaseEndLogarithm) {
			entry.phaseSince = undefined;
			entry.isPhaseCounted = false;
			return;
		}

		const isProved = entry.fast * Math.sqrt(entry.fastWeight / group.noise) > proofFactor;
		if (entry.samples < minCheckedSamples || entry.fastWeight < minPhaseWeight || fast < phaseLogarithm || !isProved || entry.isPhaseCounted) {
			return;
		}

		entry.phaseSince ??= now;
		if (now - entry.phaseSince >= minPhaseMs) {
			entry.isPhaseCounted = true;
			group.phases.push(now);
			if (group.phases.length > minPhases) {
				group.phases.shift();
			}

			if (group.phases.length >= minPhases && now - group.phases[0]! < phasesWithinMs) {
				group.unevenUntil = now + unevenRetentionMs;
			}
		}
	}

	#getGroup(name: string): Group {
		let group = this.#groups.get(name);
		if (!group) {
			group = {
				name, entries: new Map(), common: 0, noise: initialNoise, spread: initialNoise, mean: 0, checkedAt: Number.NEGATIVE_INFINITY, unevenUntil: Number.NEGATIVE_INFINITY, wasUneven: false, phases: [],
			};
			this.#groups.set(name, group);
		}

		return group;
	}
}

/** Counts a request by the ratio between its time so far and what was expected. One that hangs says no more than a slow one. */
export function addOverdue(overdue: Overdue, ratio: number): void {
	if (ratio > overdueFactor) {
		overdue.count++;
		overdue.sum += clamp(Math.log(ratio), maxLogarithm);
	}
}

/** Compares the fastest and the slowest quarter of the servers that have enough samples. */
function checkHardware(group: Group, now: number): void {
	const checked = [...group.entries.values()].filter(({samples}) => samples >= minCheckedSamples);
	if (checked.length < 2) {
		return;
	}

	const sorted = checked.sort((a, b) => a.slow - b.slow);
	group.mean = sorted.reduce((sum, {slow}) => sum + slow, 0) / sorted.length;
	const count = Math.max(1, Math.floor(sorted.length / 4));
	let difference = 0;
	let variance = 0;
	for (let index = 0; index < count; index++) {
		const fastest = sorted[index]!;
		const slowest = sorted[sorted.length - 1 - index]!;
		difference += (slowest.slow - fastest.slow) / count;
		variance += (group.spread / Math.min(slowSampleCount, fastest.samples)) + (group.spread / Math.min(slowSampleCount, slowest.samples));
	}

	if (difference > unevenLogarithm && difference > hardwareProofFactor * Math.sqrt(variance) / count) {
		group.unevenUntil = now + unevenRetentionMs;
	}
}

function addSlow(group: Group, entry: Entry, {logarithm, count}: {logarithm: number; count: number}): void {
	const isFirst = entry.samples === 0;
	entry.samples += count;
	const step = logarithm - group.common - entry.slow;
	const weight = Math.max(count / entry.samples, 1 - ((1 - slowWeight) ** count));
	entry.slow += (isFirst ? step : clamp(step, entry.samples < minCheckedSamples ? maxLogarithm : maxSlowStep)) * weight;
	if (!isFirst) {
		group.spread += ((step ** 2) - group.spread) * noiseWeight;
	}
}

function getEntry(group: Group, {id, startedAt}: SpeedSubject): Entry {
	let entry = group.entries.get(id);
	if (entry?.startedAt !== startedAt) {
		entry = {
			startedAt, samples: 0, slow: 0, fast: 0, fastWeight: 0, recordedAt: 0, usedAt: 0, previous: 0, phaseSince: undefined, isPhaseCounted: false, unsentSamples: 0, unsentSum: 0,
		};
		group.entries.set(id, entry);
	}

	return entry;
}

function clamp(value: number, bound: number): number {
	return Math.max(-bound, Math.min(bound, value));
}
