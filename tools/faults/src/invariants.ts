/**
 * The invariants that are checked after each cell, from operator calls, the records of the stand-ins and the state of the
 * processes. Each check returns its violations.
 */
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
	check: (fleet: FaultFleet, observations: Observations) => Promise<string[]> | string[];
};

type VersionView = {version: number; changeId: string; contract: Contract};

const recoveryTimeoutMs = 15_000;

function compareTokens(a: LedgerOrder['fence'], b: LedgerOrder['fence']): number {
	return (a.term - b.term) || (a.epoch - b.epoch) || (a.orderNumber - b.orderNumber);
}

/** Checks that the fencing tokens of the orders accepted by an engine never decrease and that no token covers two orders. */
export function checkOrders(name: string, engine: Pick<ModelEngine, 'orders'>): string[] {
	const violations: string[] = [];
	let last: LedgerOrder | undefined;
	for (const order of engine.orders.filter(candidate => candidate.isAccepted)) {
		if (last && compareTokens(order.fence, last.fence) < 0) {
			violations.push(`${name} accepted an order with fencing token ${JSON.stringify(order.fence)} after one with ${JSON.stringify(last.fence)}`);
		}

		if (last && compareTokens(order.fence, last.fence) === 0 && JSON.stringify(order.order) !== JSON.stringify(last.order)) {
			violations.push(`${name} accepted two different orders with fencing token ${JSON.stringify(order.fence)}`);
		}

		last = order;
	}

	return violations;
}

export const invariants: Invariant[] = [
	{
		name: 'orders',
		check: fleet => [...fleet.engines].flatMap(([name, engine]) => checkOrders(name, engine)),
	},
	{
		name: 'answers',
		check: (_fleet, observations) => observations.generations.flatMap(({entry, record}) => {
			const isConnectionLost = record.detail !== undefined && observations.affectedEntries.has(entry);
			if (record.outcome === 'answered' || record.outcome === 'refused' || isConnectionLost) {
				return [];
			}

			return [`the answer through ${entry} has the outcome ${record.outcome}: ${JSON.stringify({refusal: record.refusal, detail: record.detail, length: record.text.length})}`];
		}),
	},
	{
		name: 'at-most-once',
		check(fleet) {
			const counts = new Map<string, number>();
			for (const call of [...fleet.services.values()].flatMap(service => service.calls).filter(call => call.method === 'POST')) {
				counts.set(call.body, (counts.get(call.body) ?? 0) + 1);
			}

			return [...counts].filter(([, count]) => count > 1).map(([body, count]) => `${body} ran ${count} times`);
		},
	},
	{
		name: 'true-refusals',
		check(fleet, observations) {
			const ran = new Set([...fleet.services.values()].flatMap(service => service.calls).map(call => call.body));
			const violations: string[] = [];
			for (const key of new Set(observations.dispatches.map(dispatch => dispatch.key))) {
				const records = observations.dispatches.filter(dispatch => dispatch.key === key).map(dispatch => dispatch.record);
				const last = records.at(-1)!;
				const didRun = ran.has(JSON.stringify({sheet: key}));
				if (last.refusal?.run === 'not-run' && didRun) {
					violations.push(`${key} was refused as not run (${last.refusal.code}) but ran`);
				}

				if (records.some(record => record.status === 200) && !didRun) {
					violations.push(`${key} was answered with status 200 but never ran`);
				}

				const answers = new Set(records.filter(record => record.status === 200).map(record => record.body));
				if (answers.size > 1) {
					violations.push(`${key} got ${answers.size} different answers`);
				}
			}

			return violations;
		},
	},
	{
		name: 'versions',
		async check(fleet, observations) {
			const violations = [...fleet.revisionRegressions];
			const accepted = observations.writes.filter(write => write.outcome === 'accepted');
			let versions: VersionView[] | undefined;
			await waitUntil(fleet.clock, async () => {
				const history = await callAnyInstance<{versions: VersionView[]}>(fleet, 'contract.history', {workspace: workspaceName});
				versions = history?.versions;
				return versions !== undefined;
			}, recoveryTimeoutMs);
			if (!versions) {
				return [...violations, 'no instance returned the history of the contract'];
			}

			for (const write of accepted) {
				const found = versions.find(version => version.changeId === write.changeId);
				if (found?.version !== write.version || found?.contract.share !== write.share) {
					violations.push(`the accepted change to share ${write.share} is not in the history of the contract`);
				}
			}

			const acceptedVersions = new Set(accepted.map(write => write.version));
			if (acceptedVersions.size !== accepted.length) {
				violations.push('two accepted changes have the same version');
			}

			return violations;
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
			}, recoveryTimeoutMs);
			return isInForce ? [] : ['the current contract is not in force on every process'];
		},
	},
	{
		name: 'changes-end',
		async check(fleet, observations) {
			const violations: string[] = [];
			for (const changeId of observations.changeIds) {
				const hasEnded = await waitUntil(fleet.clock, async () => {
					const change = await readChange(fleet, changeId);
					return change === undefined || ['finished', 'failed', 'cancelled'].includes(change.step);
				}, recoveryTimeoutMs);
				if (!hasEnded) {
					const change = await readChange(fleet, changeId);
					violations.push(`the change ${change?.kind} did not end; its last step is ${change?.step}`);
				}
			}

			return violations;
		},
	},
	{
		name: 'serves-again',
		async check(fleet) {
			const observations = createObservations();
			const isServing = await waitUntil(fleet.clock, async () => {
				observations.generations.length = 0;
				await Promise.all(fleet.instances.map(async instance => runGeneration(fleet, observations, {entry: instance.name, prompt: `after the fault through ${instance.name}`, maxTokens: 5})));
				return observations.generations.every(generation => generation.record.outcome === 'answered');
			}, recoveryTimeoutMs);
			return isServing ? [] : [`the fleet does not serve after the fault: ${JSON.stringify(observations.generations.map(generation => [generation.entry, generation.record.outcome, generation.record.refusal?.code, generation.record.detail]))}`];
		},
	},
];
