/** What identifies a run for the attribution of crashes, and what may be done with the next run that shares it. */

/** Traits by which a run of a request is recognised in several crashes. */
export type RunTraits = {
	/** Identifies the request, with all repeats of it. */
	request: string;
	/** Parts of the content that other requests may share, in their order; one that is contained in another comes before it. */
	parts: readonly string[];
};

export const verdicts = {
	allowed: 'allowed',
	/** One run may be tried, to find out whether the trait still crashes servers. */
	trial: 'trial',
	refused: 'refused',
} as const;
export type Verdict = typeof verdicts[keyof typeof verdicts];

/** The crashes of which a trait is held to be the cause. */
export type Ban = {
	trait: string;
	/** Ids of the crashes, oldest first. */
	crashes: string[];
	/** Instances that reported the crashes. */
	reporters: string[];
	/** Time since the last of the crashes, in milliseconds. */
	lastCrashAgeMs: number;
	/** Time until one run may be tried, in milliseconds. */
	trialInMs: number;
	failedTrials: number;
};

export type Judgement =
	| {verdict: typeof verdicts.allowed}
	| {verdict: typeof verdicts.trial | typeof verdicts.refused; ban: Ban};

/** A trait of runs that a crash has ended, with the highest position that it had among those of a run. */
export type SuspectTrait = [trait: string, position: number];

/** A crash of a server with the traits of the runs that it ended. Several reports may tell of one crash. */
export type CrashReport = {
	/** Id of the start of the server that crashed. */
	id: string;
	traits: readonly SuspectTrait[];
	/** Time since the crash, in milliseconds. */
	ageMs?: number;
	/** The instance that reports the crash. */
	reporter?: string;
};

/** Traits that were in a whole answer, with the time since then in milliseconds. */
export type SoundTrait = [trait: string, ageMs: number];

/** The trials of a banned trait: the time since the last one in milliseconds, and how many have crashed a server. */
export type TrialReport = [trait: string, ageMs: number, failed: number];

const requestPrefix = 'request:';
const partPrefix = 'part:';
/** Parts beyond these are not looked at, so that a prompt of very many parts takes no memory from others. */
const maxParts = 128;

/** Returns the key of a part. */
export function formatPart(part: string): string {
	return `${partPrefix}${part}`;
}

/** Lists the traits of a run as keys; the request comes first, then the parts in order. */
export function listTraits({request, parts}: RunTraits): string[] {
	return [`${requestPrefix}${request}`, ...new Set(parts.slice(0, maxParts).map(part => formatPart(part)))];
}

export function isPartTrait(trait: string): boolean {
	return trait.startsWith(partPrefix);
}

export function isRequestTrait(trait: string): boolean {
	return trait.startsWith(requestPrefix);
}

/** Merges the traits of the runs that a crash has ended. */
export function mergeTraits(runs: readonly RunTraits[]): SuspectTrait[] {
	const positions = new Map<string, number>();
	for (const run of runs) {
		for (const [position, trait] of listTraits(run).entries()) {
			positions.set(trait, Math.max(position, positions.get(trait) ?? 0));
		}
	}

	return [...positions];
}
