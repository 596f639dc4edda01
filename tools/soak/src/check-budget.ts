/**
 * BUDGET: in each window, a service gets at most so many arrivals beyond the first of each request as the ratio times the
 * requests for it plus the slack. Requests are counted in that window, the one before it or the one half a window before
 * it, whichever has most; one whose route is just being moved counts for both services. The first prefill that a server accepts is not extra.
 */
import {listRouteVersions} from './configuration-history.js';
import type {
	ArrivalRecord, OutcomeRecord, RuleCase, SoakRecords,
} from './records.js';

/** The window of a service in which most of its budget was used. */
export type BudgetUse = {
	service: string;
	extra: number;
	allowed: number;
	/** The last extra arrival. */
	requestId: string;
	at: number;
};

export function checkBudget(records: SoakRecords): RuleCase[] {
	return findBudgetUses(records).filter(({extra, allowed}) => extra > allowed).map(({service, extra, allowed, requestId, at}) => ({rule: 'BUDGET', requestId, detail: `${service} got ${extra} extra arrivals in the window to ${at}, ${allowed.toFixed(1)} are allowed`}));
}

export function findBudgetUses({routes, operator, callers, arrivals, outcomes, bounds}: SoakRecords): BudgetUse[] {
	const services = new Set([...routes, ...operator.flatMap(record => Object.values(record.routes))].map(({service}) => service));
	const firstServices = new Map(routes.map(route => [route.name, route.service]));
	const requests = callers.map(({route, sentAt}) => {
		const versions = listRouteVersions(operator, route, sentAt);
		return {sentAt, services: versions.length > 0 ? versions.map(({service}) => service) : [firstServices.get(route)]};
	});
	const outcomesByArrival = new Map(outcomes.map(outcome => [formatArrival(outcome), outcome]));
	return [...services].flatMap(service => {
		const requestTimes = requests.filter(request => request.services.includes(service)).map(({sentAt}) => sentAt).sort((a, b) => a - b);
		const extra = listExtraArrivals(arrivals.filter(arrival => arrival.service === service), outcomesByArrival);
		return findFullestWindow(service, {requestTimes, extra, bounds});
	});
}

/** Returns the arrivals beyond the first of each request, in the order of time. */
export function listExtraArrivals(arrivals: readonly ArrivalRecord[], outcomes: ReadonlyMap<string, OutcomeRecord>): ArrivalRecord[] {
	const hasArrived = new Set<string>();
	const isPrefilled = new Set<string>();
	return [...arrivals].sort((a, b) => a.at - b.at).filter(arrival => {
		if (arrival.isPrefill) {
			const isRejected = outcomes.get(formatArrival(arrival))?.answer === 'refused';
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

function findFullestWindow(service: string, {requestTimes, extra, bounds}: {requestTimes: readonly number[]; extra: readonly ArrivalRecord[]; bounds: SoakRecords['bounds']}): BudgetUse[] {
	const {ratio, slack, windowMs} = bounds;
	const countRequests = (end: number) => countIn(requestTimes, end - windowMs, end);
	const uses = extra.map(({at, requestId}, index) => {
		const first = extra.findIndex(arrival => arrival.at > at - windowMs);
		const requests = Math.max(countRequests(at), countRequests(at - windowMs), countRequests(at - (windowMs / 2)));
		return {
			service, extra: index - first + 1, allowed: (ratio * requests) + slack, requestId, at,
		};
	});
	return uses.sort((a, b) => (b.extra / b.allowed) - (a.extra / a.allowed)).slice(0, 1);
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

function formatArrival({server, startedAt, number}: ArrivalRecord | OutcomeRecord): string {
	return `${server} ${startedAt} ${number}`;
}
