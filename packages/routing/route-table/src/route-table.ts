/** The active routes, indexed for lookup by host and longest matching path prefix. */
import type {Random} from '@hickorytrack/random';
import type {Route, RouteConfiguration, ServiceDefinition} from './route-types.js';

export class RouteTable {
	readonly configuration: RouteConfiguration;
	readonly #byHost = new Map<string, Route[]>();
	readonly #services = new Map<string, ServiceDefinition>();

	constructor(configuration: RouteConfiguration) {
		this.configuration = configuration;
		for (const route of configuration.routes) {
			const routes = this.#byHost.get(route.host) ?? [];
			routes.push(route);
			this.#byHost.set(route.host, routes);
		}

		for (const routes of this.#byHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const service of configuration.services) {
			this.#services.set(service.name, service);
		}
	}

	/** Returns the route of the host with the longest path prefix that matches. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#byHost.get(normaliseHost(host))?.find(route => path.startsWith(route.pathPrefix));
	}

	findService(name: string): ServiceDefinition | undefined {
		return this.#services.get(name);
	}
}

/** Selects one target of a split route in proportion to the weights. */
export function selectTarget(route: Route, random: Random): string {
	const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
	let rest = random.next() * total;
	for (const {service, weight} of route.targets) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return route.targets.findLast(target => target.weight > 0)!.service;
}

function normaliseHost(host: string): string {
	const name = host.toLowerCase();
	return name.includes(':') ? name.slice(0, name.lastIndexOf(':')) : name;
}
