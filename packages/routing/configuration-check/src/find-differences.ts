/**
 * Finds what differs between two decoded configurations. Routes, services and workspaces are matched by name; the order of
 * entries has no effect in the system and is not compared. Keys are compared but only counted.
 */
import {isDeepStrictEqual} from 'node:util';
import type {
	Route, RouteConfiguration, ServiceDefinition, WorkspaceDefinition,
} from '@hickorytrack/route-table/route-types';
import type {Difference} from './check-report.js';

type FieldValues = Readonly<Record<string, unknown>>;

type Entry = {
	name: string;
	fields: FieldValues;
	/** Only of workspaces. */
	keys?: ReadonlySet<string>;
};

export function findDifferences(before: RouteConfiguration, after: RouteConfiguration): Difference[] {
	const hasWorkspaces = (configuration: RouteConfiguration) => configuration.workspaces !== undefined;
	return [
		...compareFields('configuration-changed', {version: before.version, needsKeys: hasWorkspaces(before)}, {version: after.version, needsKeys: hasWorkspaces(after)}),
		...compareFields('limits-changed', collectLeaves(before.limits), collectLeaves(after.limits)),
		...compareEntries('route', before.routes.map(route => convertRoute(route)), after.routes.map(route => convertRoute(route))),
		...compareEntries('service', before.services.map(service => convertService(service)), after.services.map(service => convertService(service))),
		...compareEntries('workspace', (before.workspaces ?? []).map(workspace => convertWorkspace(workspace)), (after.workspaces ?? []).map(workspace => convertWorkspace(workspace))),
	];
}

function convertRoute({name, targets, ...fields}: Route): Entry {
	const sorted = [...targets].sort((a, b) => a.service === b.service ? a.weight - b.weight : (a.service < b.service ? -1 : 1));
	return {name, fields: {...collectLeaves(fields), targets: sorted.map(({service, weight}) => `${service}:${weight}`).join(' ')}};
}

function convertService({name, ...fields}: ServiceDefinition): Entry {
	return {name, fields: collectLeaves(fields)};
}

function convertWorkspace({name, keys, ...fields}: WorkspaceDefinition): Entry {
	return {name, fields: collectLeaves(fields), keys: new Set(keys)};
}

/** Returns the fields of an object and of the objects in it by their paths. */
function collectLeaves(value: object, path = ''): Record<string, unknown> {
	return Object.assign({}, ...Object.entries(value).map(([name, inner]: [string, unknown]) => typeof inner === 'object' && inner !== null && !Array.isArray(inner)
		? collectLeaves(inner, `${path}${name}.`)
		: {[`${path}${name}`]: inner})) as Record<string, unknown>;
}

function compareEntries(subject: string, before: readonly Entry[], after: readonly Entry[]): Difference[] {
	const oldEntries = indexEntries(before);
	const newEntries = indexEntries(after);
	const removed = [...oldEntries].filter(([id]) => !newEntries.has(id)).map(([, {name, keys}]) => ({code: `${subject}-removed`, name, ...(keys && {keysRemoved: keys.size})}));
	return [...removed, ...[...newEntries].flatMap(([id, entry]) => {
		const {name, fields, keys} = entry;
		const old = oldEntries.get(id);
		return old
			? [...compareFields(`${subject}-changed`, old.fields, fields, name), ...compareKeys(subject, old, entry)]
			: [{code: `${subject}-added`, name, ...(keys && {keysAdded: keys.size})}];
	})];
}

/** Entries with the same name are told apart by their position among them. */
function indexEntries(entries: readonly Entry[]): Map<string, Entry> {
	const counts = new Map<string, number>();
	return new Map(entries.map(entry => {
		const count = counts.get(entry.name) ?? 0;
		counts.set(entry.name, count + 1);
		return [`${count} ${entry.name}`, entry];
	}));
}

function compareFields(code: string, before: FieldValues, after: FieldValues, name?: string): Difference[] {
	const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
	return fields.filter(field => !isDeepStrictEqual(before[field], after[field])).map(field => ({
		code, ...(name !== undefined && {name}), field, before: before[field], after: after[field],
	}));
}

function compareKeys(subject: string, {keys: before = new Set()}: Entry, {name, keys: after = new Set()}: Entry): Difference[] {
	const keysAdded = [...after].filter(key => !before.has(key)).length;
	const keysRemoved = [...before].filter(key => !after.has(key)).length;
	return keysAdded + keysRemoved > 0
		? [{
			code: `${subject}-keys-changed`, name, keysAdded, keysRemoved,
		}]
		: [];
}
