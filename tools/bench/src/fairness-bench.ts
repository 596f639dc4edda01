/** `fairness`: one workspace sends ten times the load of its fair share; compares the goodput of every other workspace with its goodput alone. */
import {Random} from '@hickorytrack/random';
import {ExpectedTimePlacer} from '@hickorytrack/placement';
import {roundToThousandths} from './placement-bench.js';
import {runFleet} from './simulated-run.js';
import {isWithinTargets} from './simulated-fleet.js';
import {createArrivals, mergeArrivals, type RequestShape} from './traces.js';

const durationMs = 60_000;
const workspaceCount = 4;
/** Requests per second that the fair share of one workspace can serve: a quarter of eight engines. */
const fairShareRate = 50;
const victimRate = 40;

const createShape = (workspace: string): RequestShape => ({
	workspace, model: 'drafting', promptTokens: 120, prefixTokens: 0, prefixCount: 1, outputTokens: 60, share: 1, queueMs: 2000,
});

export function benchFairness(seed: number): Record<string, unknown> {
	const createTrace = (workspace: string, rate: number, index: number) => createArrivals(createShape(workspace), {
		random: new Random(seed + index), durationMs, getRate: () => rate, maximumRate: rate,
	});
	const run = (traces: Array<ReturnType<typeof createTrace>>) => runFleet({
		arrivals: mergeArrivals(...traces), durationMs, random: new Random(seed), reportDelayMs: 1000, createPlacer: () => new ExpectedTimePlacer({random: new Random(seed), crossZoneMs: 3}),
	});
	const victims = Array.from({length: workspaceCount - 1}, (_, index) => `victim-${index}`);
	const goodAlone = victims.map((victim, index) => run([createTrace(victim, victimRate, index)]).goodByWorkspace.get(victim) ?? 0);
	const together = run([...victims.map((victim, index) => createTrace(victim, victimRate, index)), createTrace('flood', fairShareRate * 10, 99)]);
	const sharesKept = victims.map((victim, index) => (together.goodByWorkspace.get(victim) ?? 0) / goodAlone[index]!);
	const victimRequests = together.requests.filter(request => request.workspace !== 'flood');
	const refusedCount = victimRequests.filter(request => request.outcome === 'refused').length;
	const lateCount = victimRequests.filter(request => request.outcome === 'complete' && !isWithinTargets(request)).length;
	const floodAlone = run([createTrace('flood', fairShareRate * 10, 99)]);
	return {
		worstVictimShareKept: roundToThousandths(Math.min(...sharesKept)),
		shareKeptByVictim: sharesKept.map(share => roundToThousandths(share)),
		victimsRefused: refusedCount,
		victimsLate: lateCount,
		victimsOffered: victimRequests.length,
		utilisation: roundToThousandths(together.utilisation),
		utilisationOfOneWorkspaceAlone: roundToThousandths(floodAlone.utilisation),
	};
}
