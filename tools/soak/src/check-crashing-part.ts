/**
 * BUDGET: later than `contactMs` after the fifth crash by one part of prompts, at most three calls of requests with that part
 * reach servers, prefills and repeats included. Not counted are calls of edges that were out of touch: started, ended, frozen
 * or with harmed links within `contactMs` before.
 *
 * LOST: from twice that time on after the fifth crash, or the last one if there are fewer, at most half of the sound requests
 * with a prompt are refused because of what crashes servers.
 */
import {collectByKey} from './collect-by-key.js';
import {formatStart, partCrash} from './crashing-part.js';
import type {
	ArrivalRecord, CallerRecord, RuleCase, SoakRecords,
} from './records.js';

const contactMs = 3000;
const countedCrashes = 5;
const allowedArrivals = 3;
const minRequests = 20;

export function checkCrashingPart(records: SoakRecords): RuleCase[] {
	// Two runs of one start may both be recorded as its end.
	const byStart = collectByKey(records.outcomes.filter(({answer}) => answer === partCrash), outcome => formatStart(outcome));
	const crashes = [...byStart.values()].map(outcomes => Math.min(...outcomes.map(({at}) => at))).sort((a, b) => a - b);
	if (crashes.length === 0) {
		return [];
	}

	return [...checkArrivals(records, crashes), ...checkSoundRequests(records, crashes)];
}

function checkArrivals(records: SoakRecords, crashes: readonly number[]): RuleCase[] {
	const fifth = crashes.at(countedCrashes - 1);
	if (fifth === undefined) {
		return [];
	}

	const callers = new Map(records.callers.filter(({isCrashing}) => isCrashing).map(caller => [caller.requestId, caller]));
	const late = records.arrivals.filter(({requestId, at}) => callers.has(requestId) && at > fifth + contactMs && isInTouch(callers.get(requestId)!, at, records));
	return late.length > allowedArrivals ? [{rule: 'BUDGET', requestId: late.at(-1)!.requestId, detail: describeCase(late, crashes)}] : [];
}

function isInTouch({edge}: CallerRecord, at: number, {processEnds, disturbances}: SoakRecords): boolean {
	return !processEnds.some(end => end.name === edge && at - contactMs <= end.at && end.at <= at)
		&& !disturbances.some(({target, source, from, until}) => [target, source].includes(edge) && from <= at && until >= at - contactMs);
}

function checkSoundRequests({callers}: SoakRecords, crashes: readonly number[]): RuleCase[] {
	const from = (crashes.at(countedCrashes - 1) ?? crashes.at(-1)!) + (2 * contactMs);
	const sound = callers.filter(({isCrashing, sentAt}) => isCrashing === false && sentAt > from);
	const refused = sound.filter(({status, body}) => status === 503 && body.includes('"poison"'));
	return sound.length >= minRequests && refused.length > sound.length / 2 ? [{rule: 'LOST', requestId: refused[0]!.requestId, detail: `${refused.length} of ${sound.length} sound requests were refused because of a part that crashes servers`}] : [];
}

function describeCase(late: readonly ArrivalRecord[], crashes: readonly number[]): string {
	return `requests with a part under which five servers had ended reached servers ${late.length} times more; ${crashes.length} ended in all; the last at ${late.at(-1)!.server}`;
}
