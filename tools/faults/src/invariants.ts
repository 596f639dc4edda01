/** The invariants that are checked from outside after each cell. Each returns what it found wrong. */
import type {LedgerOrder} from '@hickorytrack/stand-ins/engine-messages';
import type {ModelEngine} from '@hickorytrack/stand-ins/model-engine';
import type {Contract} from '@hickorytrack/types/contract';
import type {FaultFleet} from './fault-fleet.js';
import {type Observations, createObservations} from './observations.js';
import {
	callAnyInstance, readChange, runGeneration, workspaceName, waitUntil,
} from './operations.js';

export type Invariant = {
	name: string;
	check: (fleet: FaultFleet, seen: Observations) => Promise<string[]> | string[];
};

type VersionView = {version: number; changeId: string; contract: Contract};

const recoveryMs = 15_000;

function compareTokens(a: LedgerOrder['fence'], b: LedgerOrder['fence']): number {
	return (a.term - b.term) || (a.epoch - b.epoch) || (a.orderNumber - b.orderNumber);
}

/** Orders carried out by one engine never fall back behind a newer authority and never conflict under one token. */
export function checkOrders(name: string, engine: Pick<ModelEngine, 'orders'>): string[] {
	const faults: string[] = [];
	let last: LedgerOrder | undefined;
	for (const order of engine.orders.filter(one => one.isAccepted)) {
		if (last && compareTokens(order.fence, last.fence) < 0) {
			faults.push(`${name} carried out an order of ${JSON.stringify(order.fence)} after one of ${JSON.stringify(last.fence)}`);
		}

		if (last && compareTokens(order.fence, last.fence) === 0 && JSON.stringify(order.order) !== JSON.stringify(last.order)) {
			faults.push(`${name} got two orders under ${JSON.stringify(order.fence)}`);
		}

		last = order;
	}

	return faults;
}

export const invariants: Invariant[] = [
	{
		name: 'orders',
		check: fleet => [...fleet.engines].flatMap(([name, engine]) => checkOrders(name, engine)),
	},
	{
		name: 'answers',
		check: (_fleet, seen) => seen.generations.flatMap(({entry, record}) => {
			const isConnectionLost = record.detail !== undefined && seen.affectedEntries.has(entry);
			if (record.outcome === 'answered' || record.outcome === 'refused' || isConnectionLost) {
				return [];
			}

			return [`an answer through ${entry} is ${record.outcome}: ${JSON.stringify({refusal: record.refusal, detail: record.detail, length: record.text.length})}`];
		}),
	},
	{
		name: 'at-most-once',
		check(fleet) {
			const counts = new Map<string, number>();
			for (const call of [...fleet.services.values()].flatMap(service => service.calls).filter(one => one.method === 'POST')) {
				counts.set(call.body, (counts.get(call.body) ?? 0) + 1);
			}

			return [...counts].filter(([, count]) => count > 1).map(([body, count]) => `${body} ran ${count} times`);
		},
	},
	{
		name: 'true-refusals',
		check(fleet, seen) {
			const ran = new Set([...fleet.services.values()].flatMap(service => service.calls).map(call => call.body));
			const faults: string[] = [];
			for (const key of new Set(seen.dispatches.map(one => one.key))) {
				const records = seen.dispatches.filter(one => one.key === key).map(one => one.record);
				const last = records.at(-1)!;
				const didRun = ran.has(JSON.stringify({sheet: key}));
				if (last.refusal?.run === 'not-run' && didRun) {
					faults.push(`${key} was refused as not run (${last.refusal.code}) and ran`);
				}

				if (records.some(record => record.status === 200) && !didRun) {
					faults.push(`${key} was answered and never ran`);
				}

				const answers = new Set(records.filter(record => record.status === 200).map(record => record.body));
				if (answers.size > 1) {
					faults.push(`${key} got ${answers.size} different answers`);
				}
			}

			return faults;
		},
	},
	{
		name: 'versions',
		async check(fleet, seen) {
			const faults = [...fleet.revisionRegressions];
			const accepted = seen.writes.filter(write => write.outcome === 'accepted');
			let versions: VersionView[] | undefined;
			await waitUntil(fleet.clock, async () => {
				const history = await callAnyInstance<{versions: VersionView[]}>(fleet, 'contract.history', {workspace: workspaceName});
				versions = history?.versions;
				return versions !== undefined;
			}, recoveryMs);
			if (!versions) {
				return [...faults, 'the history of the contract can\'t be read'];
			}

			for (const write of accepted) {
				const found = versions.find(one => one.changeId === write.changeId);
				if (found?.version !== write.version || found?.contract.share !== write.share) {
					faults.push(`the acknowledged change to share ${write.share} is not in the history`);
				}
			}

			const perVersion = new Set(accepted.map(write => write.version));
			if (perVersion.size !== accepted.length) {
				faults.push('two different changes won under one version');
			}

			return faults;
		},
	},
	{
		name: 'in-force',
		async check(fleet) {
			const isInForce = await waitUntil(fleet.clock, async () => {
				const current = await callAnyInstance<{revision: number; contract: Contract}>(fleet, 'contract.get', {workspace: workspaceName});
				return current !== undefined && [...fleet.processes.values()].every(({kernel}) => {
					const value = kernel?.context.control.items.read(`contract/${workspaceName}`)?.value;
					return value?.kind === 'contract' && value.contract.share === current.contract.share;
				});
			}, recoveryMs);
			return isInForce ? [] : ['the contract is not in force on every live process'];
		},
	},
	{
		name: 'changes-end',
		async check(fleet, seen) {
			const faults: string[] = [];
			for (const changeId of seen.changeIds) {
				const hasEnded = await waitUntil(fleet.clock, async () => {
					const change = await readChange(fleet, changeId);
					return change === undefined || ['finished', 'failed', 'cancelled'].includes(change.step);
				}, recoveryMs);
				if (!hasEnded) {
					const change = await readChange(fleet, changeId);
					faults.push(`the change ${change?.kind} is stuck at ${change?.step}`);
				}
			}

			return faults;
		},
	},
	{
		name: 'serves-again',
		async check(fleet) {
			const seen = createObservations();
			const isServing = await waitUntil(fleet.clock, async () => {
				seen.generations.length = 0;
				await Promise.all(fleet.instances.map(async instance => runGeneration(fleet, seen, {entry: instance.name, prompt: `after the fault through ${instance.name}`, maxTokens: 5})));
				return seen.generations.every(one => one.record.outcome === 'answered');
			}, recoveryMs);
			return isServing ? [] : [`the fleet does not serve after the fault: ${JSON.stringify(seen.generations.map(one => [one.entry, one.record.outcome, one.record.refusal?.code, one.record.detail]))}`];
		},
	},
];
