/** Finds limits that contradict each other. The system accepts them, so they are warnings, or notes where they may be intended. */
import {
	requestKinds, type CallerLimits, type Route, type RouteConfiguration,
} from '@hickorytrack/route-table/route-types';
import {severities, type Finding} from './check-report.js';

export function findContradictions({routes, limits}: RouteConfiguration): Finding[] {
	return [...routes.flatMap(route => [...checkTimes(route), ...checkKind(route)]), ...checkLimits(limits)];
}

function createWarning(code: string, message: string): Finding {
	return {code, severity: severities.warning, message};
}

function checkTimes({name, timeoutMs, objectiveMs, pauseObjectiveMs}: Route): Finding[] {
	const findings: Finding[] = [];
	// A timeout of 0 is an error already.
	if (timeoutMs > 0 && timeoutMs < objectiveMs) {
		findings.push(createWarning('timeout-below-objective', `the timeout of route "${name}" (${timeoutMs} ms) is below its objective (${objectiveMs} ms)`));
	}

	if (timeoutMs > 0 && pauseObjectiveMs !== undefined && pauseObjectiveMs > timeoutMs) {
		findings.push(createWarning('pause-objective-above-timeout', `the objective of route "${name}" for the time between two events (${pauseObjectiveMs} ms) is above its timeout (${timeoutMs} ms)`));
	}

	return findings;
}

function checkKind({name, kind, maxServers, isResumable, pauseObjectiveMs}: Route): Finding[] {
	const findings: Finding[] = [];
	const isStream = kind === requestKinds.streaming;
	if (!isStream && isResumable) {
		findings.push(createWarning('resumable-without-stream', `route "${name}" is resumable, which has no effect: its answers are not streams`));
	}

	if (!isStream && pauseObjectiveMs !== undefined) {
		findings.push(createWarning('pause-objective-without-stream', `route "${name}" has an objective for the time between two events, which has no effect: its answers are not streams`));
	}

	// A note only: the further servers are used after a server has said that it did not run the request.
	if (maxServers > 1 && kind !== requestKinds.idempotent && !(isStream && isResumable)) {
		findings.push({code: 'servers-above-kind', severity: severities.note, message: `route "${name}" allows ${maxServers} servers for a request that may run once: a further server is used only after one that did not run it`});
	}

	return findings;
}

function checkLimits({idleTimeoutMs, headerTimeoutMs}: CallerLimits): Finding[] {
	return idleTimeoutMs < headerTimeoutMs
		? [createWarning('idle-timeout-below-header-timeout', `the idle timeout (${idleTimeoutMs} ms) is below the header timeout (${headerTimeoutMs} ms)`)]
		: [];
}
