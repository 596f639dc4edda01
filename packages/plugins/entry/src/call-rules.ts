/** Finds the rule of a contract that applies to a call of a service. */
import type {ServiceCall as ServiceCallRule} from '@hickorytrack/types/contract';
import type {Workspace} from './workspace-directory.js';

/** Finds the rule with the longest path prefix that matches a call. */
export function findRule(workspace: Workspace, call: {name: string; method: string; path: string}): ServiceCallRule | undefined {
	const service = workspace.contract.services.find(candidate => candidate.name === call.name);
	const path = call.path.split('?')[0]!;
	return service?.calls
		.filter(rule => rule.method === call.method && (path === rule.path || path.startsWith(rule.path.endsWith('/') ? rule.path : `${rule.path}/`)))
		.sort((a, b) => b.path.length - a.path.length)[0];
}
