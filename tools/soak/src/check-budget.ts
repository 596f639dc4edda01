/**
 * BUDGET: in each window, a service gets at most so many arrivals beyond the first of each request as the ratio times the
 * requests for it plus the slack. Requests are counted in that window, the one before it or the one half a window before
 * it, whichever has most. The first prefill that a server accepts is not extra.
 */
import type {
	ArrivalRecord, FateRecord, RuleCase, SoakRecords,
} from './records.js';

export function checkBudget({routes, callers, arrivals, fates, bounds}: SoakRecords): RuleCase[] {
	const services = new Set(routes.map(route => route.service));
	const serviceOfRoute = new Map(routes.map(route => [route.name, route.service]));
	const fatesByArrival = new Map(fates.map(fate => [formatArrival(fate), fate]));
	return [...services].flatMap(service => {
		const requestTimes = callers.filter(record => serviceOfRoute.get(record.route) === service).map(record => record.sentAt).sort((a, b) => a - b);
		const extra = listExtraArrivals(arrivals.filter(arrival => arrival.service === service), fatesByArrival);
		return findWorstWindow(service, {requestTimes, extra, bounds});
	});
}

/** Returns the arrivals beyond the first of each request, in the order of time. */
export function listExtraArrivals(arrivals: readonly ArrivalRecord[], fates: ReadonlyMap<string, FateRecord>): ArrivalRecord[] {
	const hasArrived = new Set<string>();
	const isPrefilled = new Set<string>();
	return [...arrivals].sort((a, b) => a.at - b.at).filter(arrival => {
		if (arrival.isPrefill) {
			const isRejected = fates.get(formatArrival(arrival))?.answer === 'refused';
			const isFirst = !isRejected && !isPrefilled.has(arrival.requestId);
			if (isFirst) {
				isPrefilled.add(arrival.requestId);
			}

			return !isFirst;
		}

		const isFirst = !hasArrived.has(arrival.requestId);
		hasArrived.add(arrival.requestId);
		return !isFirst;
	});
}

/** Returns the window in which the budget is exceeded most, as a case. */
function findWorstWindow(service: string, {requestTimes, extra, bounds}: {requestTimes: readonly number[]; extra: readonly ArrivalRecord[]; bounds: SoakRecords['bounds']}): RuleCase[] {
	const {ratio, slack, windowMs} = bounds;
	const countRequests = (end: number) => countIn(requestTimes, end - windowMs, end);
	let worst: {excess: number; detail: string; requestId: string} | undefined;
	for (const [index, {at, requestId}] of extra.entries()) {
		const first = extra.findIndex(arrival => arrival.at > at - windowMs);
		const count = index - first + 1;
		const requests = Math.max(countRequests(at), countRequests(at - windowMs), countRequests(at - (windowMs / 2)));
		const excess = count - ((ratio * requests) + slack);
		if (excess > (worst?.excess ?? 0)) {
			worst = {excess, requestId, detail: `${service} got ${count} extra arrivals for ${requests} requests in the window to ${at}`};
		}
	}

	return worst ? [{rule: 'BUDGET', requestId: worst.requestId, detail: worst.detail}] : [];
}

/** Number of sorted times after `from` and up to `to`. */
function countIn(times: readonly number[], from: number, to: number): number {
	const countUpTo = (limit: number) => {
		let low = 0;
		let high = times.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (times[middle]! <= limit) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	return countUpTo(to) - countUpTo(from);
}

function formatArrival({server, startedAt, number}: ArrivalRecord | FateRecord): string {
	return `${server} ${startedAt} ${number}`;
}
