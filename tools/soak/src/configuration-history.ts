/** What the configurations that may be in force at a time say of a route. */
import type {OperatorRecord, RouteVersion} from './records.js';

/** A configuration that was acknowledged at one edge reaches the others within this time. */
const applyMs = 1000;

/** Returns it for each version that was sent by then and not overtaken well before by an acknowledged one. */
export function listRouteVersions(operator: readonly OperatorRecord[], route: string, at: number): RouteVersion[] {
	const overtakenBy = Math.max(0, ...operator.filter(({acknowledgedAt}) => acknowledgedAt !== undefined && acknowledgedAt + applyMs < at).map(({version}) => version));
	return operator.filter(({version, sentAt}) => version >= overtakenBy && sentAt <= at).flatMap(({routes}) => routes[route] ?? []);
}
