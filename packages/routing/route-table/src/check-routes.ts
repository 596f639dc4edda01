/** Validation of a decoded route configuration. */
import type {Route, RouteConfiguration, WorkspaceDefinition} from './route-types.js';

/** Codes of mistakes; scripts of operators depend on them. */
export const routeMistakeCodes = {
	unknownService: 'unknown-service',
	negativeWeight: 'negative-weight',
	noWeight: 'no-weight',
	noTimeout: 'no-timeout',
	invalidPrefix: 'invalid-prefix',
	duplicateRoute: 'duplicate-route',
	invalidWorkspaceName: 'invalid-workspace-name',
	emptyKey: 'empty-key',
	sharedKey: 'shared-key',
} as const;

export type RouteMistake = {
	code: typeof routeMistakeCodes[keyof typeof routeMistakeCodes];
	/** One sentence; never contains a key. */
	message: string;
};

/** Returns one sentence for each mistake; an empty list means that the configuration is valid. */
export function checkRoutes(configuration: RouteConfiguration): string[] {
	return findRouteMistakes(configuration).map(({message}) => message);
}

/** Returns the mistakes with their codes; an empty list means that the configuration is valid. */
export function findRouteMistakes(configuration: RouteConfiguration): RouteMistake[] {
	const services = new Set(configuration.services.map(service => service.name));
	const mistakes = configuration.routes.flatMap(route => checkRoute(route, services));
	return [...mistakes, ...findDuplicates(configuration), ...checkWorkspaces(configuration.workspaces ?? [])];
}

function checkRoute(route: Route, services: ReadonlySet<string>): RouteMistake[] {
	const mistakes: RouteMistake[] = [];
	for (const {service, weight} of route.targets) {
		if (!services.has(service)) {
			mistakes.push({code: routeMistakeCodes.unknownService, message: `route "${route.name}" names the service "${service}", which is not defined`});
		}

		if (weight < 0) {
			mistakes.push({code: routeMistakeCodes.negativeWeight, message: `route "${route.name}" gives the service "${service}" a negative weight`});
		}
	}

	if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
		mistakes.push({code: routeMistakeCodes.noWeight, message: `the weights of route "${route.name}" add up to 0`});
	}

	if (route.timeoutMs <= 0) {
		mistakes.push({code: routeMistakeCodes.noTimeout, message: `route "${route.name}" has a timeout of 0`});
	}

	if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
		mistakes.push({code: routeMistakeCodes.invalidPrefix, message: `the prefix "${route.pathPrefix}" of route "${route.name}" does not begin and end with a slash`});
	}

	return mistakes;
}

function findDuplicates(configuration: RouteConfiguration): RouteMistake[] {
	const seen = new Set<string>();
	const mistakes: RouteMistake[] = [];
	for (const {name, host, pathPrefix} of configuration.routes) {
		const key = `${host} ${pathPrefix}`;
		if (seen.has(key)) {
			mistakes.push({code: routeMistakeCodes.duplicateRoute, message: `route "${name}" has the host and prefix of another route: ${key}`});
		}

		seen.add(key);
	}

	return mistakes;
}

/** A mistake names workspaces, never their keys. */
function checkWorkspaces(workspaces: readonly WorkspaceDefinition[]): RouteMistake[] {
	const mistakes: RouteMistake[] = [];
	const holders = new Map<string, WorkspaceDefinition>();
	for (const workspace of workspaces) {
		const {name, keys} = workspace;
		if (hasControlCharacters(name)) {
			mistakes.push({code: routeMistakeCodes.invalidWorkspaceName, message: `the name of workspace ${JSON.stringify(name)} has control characters`});
		}

		if (keys.includes('')) {
			mistakes.push({code: routeMistakeCodes.emptyKey, message: `workspace "${name}" has an empty key`});
		}

		const rivals = new Set<string>();
		for (const key of keys) {
			const holder = holders.get(key) ?? workspace;
			holders.set(key, holder);
			if (holder !== workspace && key !== '') {
				rivals.add(holder.name);
			}
		}

		mistakes.push(...[...rivals].map(rival => ({code: routeMistakeCodes.sharedKey, message: `workspaces "${rival}" and "${name}" hold the same key`})));
	}

	return mistakes;
}

/** Servers get the name in a header, which can't have them. */
function hasControlCharacters(name: string): boolean {
	return [...name].some(character => character < ' ' || character === '\u007F');
}
