/** `fairness`: one workspace offers ten times its share; every other workspace is compared with what it has alone. */
import {Random} from '@hickorytrack/random';
import {ExpectedTimePlacer} from '@hickorytrack/placement';
import {round} from './placement-bench.js';
import {runFleet} from './simulated-run.js';
import {isWithinTargets} from './simulated-fleet.js';
import {createArrivals, mergeArrivals, type RequestShape} from './traces.js';

const durationMs = 60_000;
const workspaces = 4;
/** Requests a second that a workspace's share of the fleet can carry: a quarter of eight engines. */
const fairRate = 50;
const victimRate = 40;

const createShape = (workspace: string): RequestShape => ({
	workspace, model: 'drafting', promptTokens: 120, prefixTokens: 0, prefixCount: 1, outputTokens: 60, share: 1, queueMs: 2000,
});

export function benchFairness(seed: number): Record<string, unknown> {
	const draw = (workspace: string, rate: number, index: number) => createArrivals(createShape(workspace), {
		random: new Random(seed + index), durationMs, getRate: () => rate, maximumRate: rate,
	});
	const run = (lists: Array<ReturnType<typeof draw>>) => runFleet({
		arrivals: mergeArrivals(...lists), durationMs, random: new Random(seed), reportDelayMs: 1000, createPlacer: () => new ExpectedTimePlacer({random: new Random(seed), crossZoneMs: 3}),
	});
	const victims = Array.from({length: workspaces - 1}, (_, index) => `victim-${index}`);
	const alone = victims.map((victim, index) => run([draw(victim, victimRate, index)]).goodByWorkspace.get(victim) ?? 0);
	const together = run([...victims.map((victim, index) => draw(victim, victimRate, index)), draw('flood', fairRate * 10, 99)]);
	const kept = victims.map((victim, index) => (together.goodByWorkspace.get(victim) ?? 0) / alone[index]!);
	const victimRequests = together.requests.filter(one => one.workspace !== 'flood');
	const refused = victimRequests.filter(one => one.outcome === 'refused').length;
	const late = victimRequests.filter(one => one.outcome === 'complete' && !isWithinTargets(one)).length;
	const lent = run([draw('flood', fairRate * 10, 99)]);
	return {
		worstVictimShareKept: round(Math.min(...kept)),
		shareKeptByVictim: kept.map(one => round(one)),
		victimsRefused: refused,
		victimsLate: late,
		victimsOffered: victimRequests.length,
		utilisation: round(together.utilisation),
		utilisationOfOneWorkspaceAlone: round(lent.utilisation),
	};
}
