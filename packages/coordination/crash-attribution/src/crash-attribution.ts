/**
 * Finds out which trait of the runs that a server's crash has ended is the cause: a request, which may be sent again, or a part
 * of its content, which other requests share. A crash ends every run at its server, so one crash says little. Over several
 * crashes the cause stands in each, and never in a whole answer.
 *
 * - Each crash has one cause. The trait that explains the most crashes is banned, and crashes that it explains are no evidence
 *   against others.
 * - A whole answer clears the traits of its run of all crashes before it. A trait that has been in one needs more crashes, and
 *   explains only those that no other trait does.
 * - A ban is never final: after a time that grows with each trial, one run may be tried. If it is answered, the ban ends.
 *
 * The verdict is computed from the records alone, so instances that have heard the same come to the same one, and a wrong one
 * is replaced as soon as the records say so.
 */
import type {Clock} from '@hickorytrack/clock';
import {
	isRequestTrait, listTraits, verdicts, type Ban, type CrashReport, type Judgement, type RunTraits, type SoundTrait, type SuspectTrait, type TrialReport,
} from './run-traits.js';
import type {BanRecord} from './ban-store.js';
import {TraitMemory} from './trait-memory.js';

/** Crashes in which a trait must stand: two for all repeats of one request, as it has no neighbour in common with others. */
const requestThreshold = 2;
const partThreshold = 3;
/** A trait that was in a whole answer must stand in this many crashes more. */
const soundHandicap = 2;
/** Delays after the last crash until a run is tried, by the number of trials that have crashed a server, in milliseconds. */
const trialDelaysMs = [10_000, 300_000, 3_600_000, 43_200_000] as const;
/** The same for a trait that was in a whole answer before. */
const soundTrialDelaysMs = [0, 5000, ...trialDelaysMs] as const;
/** Time between two trials of a ban that other traits would explain as well. */
const doubtfulTrialIntervalMs = 1000;
/** A trial without an outcome is repeated after this time. */
const trialRetryMs = 5000;
/** Crashes that support no ban are forgotten after this time, the others after `supportingCrashTtlMs`. */
const crashTtlMs = 3_600_000;
const supportingCrashTtlMs = 86_400_000;
const maxCrashes = 200;
/** More than a ban needs, with the handicap of a trait that was in a whole answer. */
const maxKeptCrashes = 8;
/** Bounds the memory that one crash takes. */
const maxTraitsPerCrash = 4000;
const maxSoundParts = 20_000;
/** Most requests are never sent again. */
const maxSoundRequests = 2000;
/** Traits of one crash only are of no use to an instance that joins later than this. */
const singleCrashMs = 120_000;
const cleanupIntervalMs = 1000;

type Crash = {
	id: string;
	at: number;
	/** The traits of the runs that may have caused it, in the order of their reports. */
	traits: Set<string>;
	reporters: Set<string>;
};

type Suspect = {
	crashes: Set<Crash>;
	/** The highest position at which the trait stood among those of a run. */
	position: number;
};

type Cause = {
	crashes: Crash[];
	/** Other traits that explain the same crashes as well. */
	rivals: string[];
};

type Trials = {
	lastAt: number;
	failed: number;
	/** No crash is known since the last one. */
	isOpen: boolean;
};

export type CrashAttributionDump = {
	crashes: Array<{id: string; at: number; traits: SuspectTrait[]; reporters: string[]}>;
	sound: Array<[trait: string, at: number]>;
	trials: Array<[trait: string, trials: Trials]>;
};

export type CrashAttributionOptions = {
	clock: Pick<Clock, 'monotonic'>;
};

export class CrashAttribution {
	readonly #clock: Pick<Clock, 'monotonic'>;
	/** By id, oldest first. */
	readonly #crashes = new Map<string, Crash>();
	/** Traits that stand in crashes after their last whole answer. */
	readonly #suspects = new Map<string, Suspect>();
	readonly #soundParts = new TraitMemory(maxSoundParts);
	readonly #soundRequests = new TraitMemory(maxSoundRequests);
	/** Traits that others have been told of, or have told of, as having been in whole answers before a crash. */
	readonly #sharedSound = new Set<string>();
	readonly #trials = new Map<string, Trials>();
	#causes = new Map<string, Cause>();
	#isOutdated = false;
	#cleanedAt = Number.NEGATIVE_INFINITY;

	constructor({clock}: CrashAttributionOptions) {
		this.#clock = clock;
	}

	/** Records a crash, or further runs that it has ended. Returns false if nothing in it was new. */
	recordCrash({id, traits, ageMs = 0, reporter = ''}: CrashReport): boolean {
		const at = this.#clock.monotonic() - ageMs;
		const crash = this.#crashes.get(id) ?? {
			id, at, traits: new Set(), reporters: new Set(),
		};
		crash.at = Math.min(crash.at, at);
		const added = traits.filter(([trait, position]) => this.#addSuspect(crash, trait, position));
		if (added.length === 0) {
			return false;
		}

		crash.reporters.add(reporter);
		this.#crashes.set(id, crash);
		this.#isOutdated = true;
		return true;
	}

	/** Records a whole answer of a run, now or some time ago. Returns the traits that other instances may hold to be the cause of a crash. */
	recordSound(run: RunTraits, ageMs = 0): SoundTrait[] {
		const sound = listTraits(run).map((trait): SoundTrait => [trait, ageMs]);
		const suspected = sound.filter(([trait]) => this.#suspects.has(trait));
		this.mergeSound(sound);
		return suspected;
	}

	/** Merges what other instances have told of whole answers. */
	mergeSound(sound: readonly SoundTrait[]): void {
		for (const [trait, ageMs] of sound) {
			const at = this.#clock.monotonic() - ageMs;
			this.#getMemory(trait).record(trait, at);
			const suspect = this.#suspects.get(trait);
			if (suspect) {
				this.#isOutdated = true;
				this.#sharedSound.add(trait);
				for (const crash of suspect.crashes) {
					if (crash.at <= at) {
						this.#removeSuspect(crash, trait);
					}
				}
			}
		}
	}

	/**
	 * Collects the traits that stand in two crashes or more and are remembered from whole answers before them, for the other
	 * instances. Each is returned once for all these crashes.
	 */
	collectDoubtful(): SoundTrait[] {
		const now = this.#clock.monotonic();
		const doubtful = [...this.#suspects].filter(([trait, {crashes}]) => crashes.size > 1 && this.#isKnownSound(trait) && !this.#sharedSound.has(trait));
		return doubtful.map(([trait]) => {
			this.#sharedSound.add(trait);
			return [trait, now - this.#getMemory(trait).read(trait)!];
		});
	}

	/** Tells whether the run may start. For a trial, the caller records its start with `recordTrial`. */
	checkRun(run: RunTraits): Judgement {
		this.#update();
		if (this.#causes.size === 0) {
			return {verdict: verdicts.allowed};
		}

		const traits = listTraits(run);
		const bans = traits.filter(trait => this.#causes.has(trait)).map(trait => this.#describeBan(trait, traits));
		const refusing = bans.find(({trialInMs}) => trialInMs > 0) ?? bans.at(0);
		return refusing ? {verdict: refusing.trialInMs > 0 ? verdicts.refused : verdicts.trial, ban: refusing} : {verdict: verdicts.allowed};
	}

	/** Records that a run with the banned trait is tried, here or elsewhere; no other one is, until it has had time to end. */
	recordTrial(trait: string): void {
		this.mergeTrials([[trait, 0, this.#trials.get(trait)?.failed ?? 0]]);
	}

	/** Merges what another instance knows of trials. */
	mergeTrials(reports: readonly TrialReport[]): void {
		for (const [trait, ageMs, failed] of reports) {
			const known = this.#trials.get(trait);
			const lastAt = this.#clock.monotonic() - ageMs;
			if (this.#suspects.has(trait)) {
				this.#trials.set(trait, {
					lastAt: Math.max(lastAt, known?.lastAt ?? lastAt), failed: Math.max(failed, known?.failed ?? 0), isOpen: lastAt > (known?.lastAt ?? Number.NEGATIVE_INFINITY) || known!.isOpen,
				});
			}
		}
	}

	listTrials(): TrialReport[] {
		const now = this.#clock.monotonic();
		return [...this.#trials].map(([trait, {lastAt, failed}]) => [trait, now - lastAt, failed]);
	}

	/** Number of crashes in which the trait stands after its last whole answer. */
	countCrashes(trait: string): number {
		return this.#suspects.get(trait)?.crashes.size ?? 0;
	}

	/** True if a trait of the run stands in a crash and has not been in a whole answer. */
	isSuspect(run: RunTraits): boolean {
		return this.#suspects.size > 0 && listTraits(run).some(trait => this.#suspects.has(trait) && !this.#isKnownSound(trait));
	}

	/** Lists the bans, for operators. */
	listBans(): Ban[] {
		this.#update();
		return [...this.#causes.keys()].map(trait => this.#describeBan(trait, [trait, ...this.#causes.get(trait)!.rivals]));
	}

	/** Lists the bans with what they rest on, for the replicated log; `now` is the wall time in milliseconds. */
	listBanRecords(now: number): BanRecord[] {
		this.#update();
		const toWallTime = (at: number) => Math.round(now - (this.#clock.monotonic() - at));
		return [...this.#causes].map(([trait, {crashes, rivals}]) => {
			const trials = this.#trials.get(trait);
			return {
				trait,
				suspects: [trait, ...rivals].map((name): SuspectTrait => [name, this.#suspects.get(name)?.position ?? 0]),
				crashes: crashes.slice(-maxKeptCrashes).map(({id, at}): [string, number] => [id, toWallTime(at)]),
				triedAt: trials && toWallTime(trials.lastAt),
				failedTrials: trials?.failed ?? 0,
			};
		});
	}

	/** Lists the crashes with their suspects, for an instance that has not heard of them. */
	listCrashes(): CrashReport[] {
		this.#update();
		const now = this.#clock.monotonic();
		return [...this.#crashes.values()].map(({id, at, traits, reporters}) => {
			const suspects = [...traits].map((trait): SuspectTrait => [trait, this.#suspects.get(trait)!.position]);
			return {
				id, ageMs: now - at, reporter: [...reporters].at(0), traits: suspects.filter(([trait]) => now - at < singleCrashMs || this.#suspects.get(trait)!.crashes.size > 1),
			};
		}).filter(({traits}) => traits.length > 0);
	}

	/** Lists the suspects that are remembered from whole answers, for the same instance. */
	listSound(): SoundTrait[] {
		const now = this.#clock.monotonic();
		return [...this.#suspects.keys()].filter(trait => this.#isKnownSound(trait)).map(trait => [trait, now - this.#getMemory(trait).read(trait)!]);
	}

	/** Returns all records, for a snapshot; times are those of the clock. */
	dump(): CrashAttributionDump {
		return {
			crashes: [...this.#crashes.values()].map(({id, at, traits, reporters}) => ({
				id, at, traits: [...traits].map(trait => [trait, this.#suspects.get(trait)!.position]), reporters: [...reporters],
			})),
			sound: [...this.#soundParts.list(), ...this.#soundRequests.list()],
			trials: [...this.#trials].map(([trait, trials]) => [trait, {...trials}]),
		};
	}

	/** Replaces all records by those of a snapshot. */
	restore({crashes, sound, trials}: CrashAttributionDump): void {
		this.#crashes.clear();
		this.#suspects.clear();
		this.#sharedSound.clear();
		this.#trials.clear();
		this.#soundParts.clear();
		this.#soundRequests.clear();
		for (const [trait, at] of sound) {
			this.#getMemory(trait).record(trait, at);
		}

		for (const {id, at, traits, reporters} of crashes) {
			const crash: Crash = {
				id, at, traits: new Set(), reporters: new Set(reporters),
			};
			this.#crashes.set(id, crash);
			for (const [trait, position] of traits) {
				this.#addSuspect(crash, trait, position);
			}
		}

		for (const [trait, state] of trials) {
			this.#trials.set(trait, {...state});
		}

		this.#causes = this.#findCauses();
		this.#isOutdated = false;
	}

	/** Ends the ban of a trait, as for a whole answer. Returns false if it is not banned. */
	clearBan(trait: string): boolean {
		this.#update();
		const isBanned = this.#causes.has(trait);
		if (isBanned) {
			this.mergeSound([[trait, 0]]);
		}

		return isBanned;
	}

	#getMemory(trait: string): TraitMemory {
		return isRequestTrait(trait) ? this.#soundRequests : this.#soundParts;
	}

	#isKnownSound(trait: string): boolean {
		return this.#getMemory(trait).has(trait);
	}

	#addSuspect(crash: Crash, trait: string, position: number): boolean {
		const soundAt = this.#getMemory(trait).read(trait);
		if (crash.traits.has(trait) || crash.traits.size >= maxTraitsPerCrash || (soundAt !== undefined && soundAt >= crash.at)) {
			return false;
		}

		crash.traits.add(trait);
		const suspect = this.#suspects.get(trait) ?? {crashes: new Set(), position};
		suspect.crashes.add(crash);
		suspect.position = Math.max(suspect.position, position);
		this.#suspects.set(trait, suspect);
		const trials = this.#trials.get(trait);
		if (trials?.isOpen && crash.at >= trials.lastAt) {
			trials.failed++;
			trials.isOpen = false;
		}

		return true;
	}

	#removeSuspect(crash: Crash, trait: string): void {
		const suspect = this.#suspects.get(trait);
		crash.traits.delete(trait);
		suspect?.crashes.delete(crash);
		if (suspect?.crashes.size === 0) {
			this.#suspects.delete(trait);
			this.#trials.delete(trait);
			this.#sharedSound.delete(trait);
		}

		this.#isOutdated = true;
	}

	#removeCrash(crash: Crash): void {
		this.#crashes.delete(crash.id);
		for (const trait of crash.traits) {
			this.#removeSuspect(crash, trait);
		}
	}

	/** Removes what is too old, and the oldest beyond the limit. Crashes that support a ban stay longest. */
	#removeOldCrashes(): void {
		const now = this.#clock.monotonic();
		if (now - this.#cleanedAt < cleanupIntervalMs && this.#crashes.size <= maxCrashes) {
			return;
		}

		this.#cleanedAt = now;
		const supporting = new Set([...this.#causes.values()].flatMap(({crashes}) => crashes));
		for (const crash of this.#crashes.values()) {
			if (now - crash.at > (supporting.has(crash) ? supportingCrashTtlMs : crashTtlMs)) {
				this.#removeCrash(crash);
			}
		}

		const excess = this.#crashes.size - maxCrashes;
		if (excess > 0) {
			const ranked = [...this.#crashes.values()].sort((a, b) => (Number(supporting.has(a)) - Number(supporting.has(b))) || (a.at - b.at));
			for (const crash of ranked.slice(0, excess)) {
				this.#removeCrash(crash);
			}
		}
	}

	#update(): void {
		this.#removeOldCrashes();
		if (this.#isOutdated) {
			this.#isOutdated = false;
			this.#causes = this.#findCauses();
		}
	}

	/** Finds the traits that explain the crashes, the one that explains most first. */
	#findCauses(): Map<string, Cause> {
		const causes = new Map<string, Cause>();
		const candidates = [...this.#suspects].filter(([trait, {crashes}]) => crashes.size >= this.#computeThreshold(trait));
		const explained = new Set<Crash>();
		for (;;) {
			const ranked = candidates
				.map(([trait, {crashes, position}]) => ({trait, position, crashes: [...crashes].filter(crash => !explained.has(crash))}))
				.filter(({trait, crashes}) => crashes.length >= this.#computeThreshold(trait))
				.sort((a, b) => this.#rankCandidates(a, b));
			const best = ranked.at(0);
			if (!best) {
				return causes;
			}

			const rivals = ranked.slice(1).filter(({trait, crashes}) => !this.#isKnownSound(trait) && !isRequestTrait(trait) && crashes.length === best.crashes.length && crashes.every(crash => best.crashes.includes(crash)));
			causes.set(best.trait, {crashes: best.crashes.sort((a, b) => a.at - b.at), rivals: rivals.map(({trait}) => trait)});
			for (const crash of best.crashes) {
				explained.add(crash);
			}
		}
	}

	/**
	 * Orders by whether the trait was in no whole answer, by the crashes beyond what is needed, then by their number. Of equals,
	 * the one that the fewest requests share is first.
	 */
	#rankCandidates(a: {trait: string; position: number; crashes: Crash[]}, b: {trait: string; position: number; crashes: Crash[]}): number {
		// What is answered between crashes runs beside the cause, and beside crashes that have none, more often than the cause itself.
		const sound = Number(this.#isKnownSound(a.trait)) - Number(this.#isKnownSound(b.trait));
		const excess = (b.crashes.length - this.#computeThreshold(b.trait)) - (a.crashes.length - this.#computeThreshold(a.trait));
		return sound || excess || b.crashes.length - a.crashes.length || Number(isRequestTrait(b.trait)) - Number(isRequestTrait(a.trait)) || b.position - a.position || (a.trait < b.trait ? -1 : 1);
	}

	#computeThreshold(trait: string): number {
		return (isRequestTrait(trait) ? requestThreshold : partThreshold) + (this.#isKnownSound(trait) ? soundHandicap : 0);
	}

	/** Describes the ban of a trait for a run with these traits. */
	#describeBan(trait: string, traits: readonly string[]): Ban {
		const {crashes, rivals} = this.#causes.get(trait)!;
		const now = this.#clock.monotonic();
		const lastCrashAt = crashes.at(-1)!.at;
		const delays = this.#isKnownSound(trait) ? soundTrialDelaysMs : trialDelaysMs;
		const {lastAt: lastTrialAt, failed: failedTrials} = this.#trials.get(trait) ?? {lastAt: Number.NEGATIVE_INFINITY, failed: 0};
		const delayMs = delays[Math.min(delays.length - 1, failedTrials)]!;
		// Without the rival, the run shows which of the two it is.
		const isDoubtful = rivals.some(rival => !traits.includes(rival));
		const trialAt = isDoubtful ? Math.max(lastCrashAt, lastTrialAt) + doubtfulTrialIntervalMs : Math.max(lastCrashAt + delayMs, lastTrialAt + trialRetryMs);
		return {
			trait, crashes: crashes.map(({id}) => id), reporters: [...new Set(crashes.flatMap(({reporters}) => [...reporters]))], lastCrashAgeMs: now - lastCrashAt, trialInMs: Math.max(0, trialAt - now), failedTrials,
		};
	}
}
