/**
 * CONFIG: a request has its final answer, or the end of its connection, within half a second after its deadline and its
 * route's timeout, whichever is earlier. Both are counted from when the edge has read the request; of the timeouts that may
 * have been in force then or since, the longest counts. Left out are requests that no edge has read and those that their
 * caller left, and excused is an edge out of touch, as for LOST (check-lost.ts). The time for which the process of the
 * callers stood still behind that moment, or for which a caller did not read, is not counted.
 */
import {isEdgeDisturbed} from './check-lost.js';
import {measureDelays, soakProcess} from './loop-lag.js';
import {listRouteVersions} from './configuration-history.js';
import type {RuleCase, SoakRecords} from './records.js';

const overdueMs = 500;

export function checkOverdue(records: SoakRecords): RuleCase[] {
	const lags = records.lags.filter(({server}) => server === soakProcess);
	return records.callers.flatMap((caller): RuleCase[] => {
		const readAt = records.readRequests.get(caller.requestId);
		if (readAt === undefined || caller.hasLeft) {
			return [];
		}

		const versions = [readAt, caller.endedAt].flatMap(at => listRouteVersions(records.operator, caller.route, at));
		const timeoutMs = Math.max(0, ...versions.map(version => version.timeoutMs)) || Number.POSITIVE_INFINITY;
		const limitMs = Math.min(caller.deadlineMs, timeoutMs);
		const elapsedMs = caller.endedAt - readAt;
		const delayedMs = measureDelays(lags, readAt + limitMs, caller.endedAt);
		return elapsedMs - delayedMs - (caller.readPauseMs ?? 0) < limitMs + overdueMs || isEdgeDisturbed(caller, records) ? [] : [{rule: 'CONFIG', requestId: caller.requestId, detail: `${caller.end} ${elapsedMs} ms (delays ${delayedMs} ms) after it was read, deadline ${caller.deadlineMs} ms, timeout ${timeoutMs} ms (${caller.edge}, ${caller.path})`}];
	});
}
