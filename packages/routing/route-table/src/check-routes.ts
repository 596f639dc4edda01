/** Validation of a decoded route configuration. */
import type {Route, RouteConfiguration, WorkspaceDefinition} from './route-types.js';

/** Returns one sentence for each mistake; an empty list means that the configuration is valid. */
export function checkRoutes(configuration: RouteConfiguration): string[] {
	const services = new Set(configuration.services.map(service => service.name));
	const mistakes = configuration.routes.flatMap(route => checkRoute(route, services));
	return [...mistakes, ...findDuplicates(configuration), ...checkWorkspaces(configuration.workspaces ?? [])];
}

function checkRoute(route: Route, services: ReadonlySet<string>): string[] {
	const mistakes: string[] = [];
	for (const {service, weight} of route.targets) {
		if (!services.has(service)) {
			mistakes.push(`route "${route.name}" names the service "${service}", which is not defined`);
		}

		if (weight < 0) {
			mistakes.push(`route "${route.name}" gives the service "${service}" a negative weight`);
		}
	}

	if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
		mistakes.push(`the weights of route "${route.name}" add up to 0`);
	}

	if (route.timeoutMs <= 0) {
		mistakes.push(`route "${route.name}" has a timeout of 0`);
	}

	if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
		mistakes.push(`the prefix "${route.pathPrefix}" of route "${route.name}" does not begin and end with a slash`);
	}

	return mistakes;
}

function findDuplicates(configuration: RouteConfiguration): string[] {
	const seen = new Set<string>();
	const mistakes: string[] = [];
	for (const {name, host, pathPrefix} of configuration.routes) {
		const key = `${host} ${pathPrefix}`;
		if (seen.has(key)) {
			mistakes.push(`route "${name}" has the host and prefix of another route: ${key}`);
		}

		seen.add(key);
	}

	return mistakes;
}

/** A mistake names workspaces, never their keys. */
function checkWorkspaces(workspaces: readonly WorkspaceDefinition[]): string[] {
	const mistakes: string[] = [];
	const holders = new Map<string, WorkspaceDefinition>();
	for (const workspace of workspaces) {
		const {name, keys} = workspace;
		if (hasControlCharacters(name)) {
			mistakes.push(`the name of workspace ${JSON.stringify(name)} has control characters`);
		}

		if (keys.includes('')) {
			mistakes.push(`workspace "${name}" has an empty key`);
		}

		const rivals = new Set<string>();
		for (const key of keys) {
			const holder = holders.get(key) ?? workspace;
			holders.set(key, holder);
			if (holder !== workspace && key !== '') {
				rivals.add(holder.name);
			}
		}

		mistakes.push(...[...rivals].map(rival => `workspaces "${rival}" and "${name}" hold the same key`));
	}

	return mistakes;
}

/** Servers get the name in a header, which can't have them. */
function hasControlCharacters(name: string): boolean {
	return [...name].some(character => character < ' ' || character === '\u007F');
}
