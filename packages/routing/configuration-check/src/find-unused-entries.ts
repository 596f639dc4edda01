/**
 * Finds entries that never match a request or never have an effect. Each of them is accepted by the system, so it is a
 * warning. Routes that share a host and prefix are not among them: they are errors, which `findRouteMistakes` reports.
 */
import type {Route, RouteConfiguration, WorkspaceDefinition} from '@hickorytrack/route-table/route-types';
import {severities, type Finding} from './check-report.js';

export function findUnusedEntries(configuration: RouteConfiguration): Finding[] {
	const {routes, services, workspaces} = configuration;
	return [
		...findRepeatedNames('route', routes),
		...findRepeatedNames('service', services),
		...findRepeatedNames('workspace', workspaces ?? []),
		...routes.flatMap(route => findUnusedParts(route)),
		...findUnusedServices(configuration),
		...(workspaces ? [...workspaces.flatMap(workspace => checkKeys(workspace)), ...findRoutesWithoutCallers(routes, workspaces)] : []),
	];
}

function createWarning(code: string, message: string): Finding {
	return {code, severity: severities.warning, message};
}

/** Of services with one name, only the last takes effect; routes and workspaces with one name can't be told apart in logs and reports. */
function findRepeatedNames(subject: string, entries: ReadonlyArray<{name: string}>): Finding[] {
	const counts = new Map<string, number>();
	for (const {name} of entries) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].filter(([, count]) => count > 1).map(([name, count]) => createWarning(`repeated-${subject}-name`, `${count} ${subject}s have the name "${name}"`));
}

function findUnusedParts({name, host, pathPrefix, targets}: Route): Finding[] {
	const findings: Finding[] = [];
	if (!canMatchHost(host)) {
		findings.push(createWarning('unmatchable-host', `route "${name}" never matches: the host of a request is compared without its port, wildcards have no meaning, and "${host}" is not such a host`));
	}

	if (/[?\s]/.test(pathPrefix)) {
		findings.push(createWarning('unmatchable-prefix', `route "${name}" never matches: the path of a request, which is compared without its query, can't begin with "${pathPrefix}"`));
	}

	if (targets.some(target => target.weight > 0)) {
		findings.push(...targets.filter(target => target.weight === 0).map(({service}) => createWarning('unused-target', `route "${name}" sends no request to the service "${service}", whose weight is 0`)));
	}

	return findings;
}

/** The route table compares the host of a request in lower case and without its port. */
function canMatchHost(host: string): boolean {
	const hasPort = host.startsWith('[') ? !host.endsWith(']') : host.includes(':');
	return host === host.toLowerCase() && !hasPort && !/[*\s/?#@]/.test(host);
}

function findUnusedServices({routes, services}: RouteConfiguration): Finding[] {
	const named = new Set(routes.flatMap(route => route.targets.map(target => target.service)));
	const unused = new Set(services.map(service => service.name).filter(name => !named.has(name)));
	return [...unused].map(name => createWarning('unused-service', `no route names the service "${name}"`));
}

function checkKeys({name, keys}: WorkspaceDefinition): Finding[] {
	if (keys.length === 0) {
		return [createWarning('workspace-without-keys', `workspace "${name}" has no keys, so no request belongs to it`)];
	}

	const repeated = keys.length - new Set(keys).size;
	return repeated > 0 ? [createWarning('repeated-key', `workspace "${name}" lists ${repeated} of its keys more than once`)] : [];
}

/** Without any key, a route that is not public answers every request with 401. */
function findRoutesWithoutCallers(routes: readonly Route[], workspaces: readonly WorkspaceDefinition[]): Finding[] {
	if (workspaces.some(workspace => workspace.keys.length > 0)) {
		return [];
	}

	return routes.filter(route => route.isPublic !== true).map(({name}) => createWarning('route-without-callers', `route "${name}" needs a key, and no workspace has one`));
}
