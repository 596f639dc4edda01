/** Self times of functions in a CPU profile of V8, within a period. */

export type CpuProfile = {
	nodes: ReadonlyArray<{id: number; callFrame: {functionName: string; url: string; lineNumber: number}}>;
	/** In microseconds of the monotonic clock. */
	startTime: number;
	samples: readonly number[];
	/** Microseconds between each sample and the one before it. */
	timeDeltas: readonly number[];
};

export type SelfTime = {place: string; ms: number};

const usPerMs = 1000;
/** A sample that comes later than this was taken after the process had waited for a processor. */
const maxSampleUs = 2000;

/** Lists functions by self time, largest first; time without work is left out. */
export function listSelfTimes({nodes, startTime, samples, timeDeltas}: CpuProfile, {fromUs, toUs}: {fromUs: number; toUs: number}): SelfTime[] {
	const places = new Map(nodes.map(({id, callFrame}) => [id, formatPlace(callFrame)]));
	const times = new Map<string, number>();
	let at = startTime;
	for (const [index, sample] of samples.entries()) {
		at += timeDeltas[index]!;
		// A sample stands for the time until the next one.
		const place = places.get(sample)!;
		if (at >= fromUs && at < toUs && !place.startsWith('(idle)')) {
			times.set(place, (times.get(place) ?? 0) + (Math.min(timeDeltas[index + 1] ?? 0, maxSampleUs) / usPerMs));
		}
	}

	return [...times].map(([place, ms]) => ({place, ms})).sort((a, b) => b.ms - a.ms);
}

function formatPlace({functionName, url, lineNumber}: CpuProfile['nodes'][number]['callFrame']): string {
	return `${functionName || '(anonymous)'} ${url.split('/').at(-1)}:${lineNumber + 1}`;
}
