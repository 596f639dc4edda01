/** The operations that callers and operators run in a cell. Each of them adds its results to the observations. */
import {randomUUID} from 'node:crypto';
import type {Clock} from '@hickorytrack/clock';
import {computeKeyDigest} from '@hickorytrack/contract-schema';
import {OperatorClient} from '@hickorytrack/hickorytrack/operator-client';
import {requestGeneration, callService} from '@hickorytrack/stand-ins/load-generator';
import type {Contract} from '@hickorytrack/types/contract';
import type {PlannedChange} from '@hickorytrack/types/control';
import {modelName, serviceName, type FaultFleet} from './fault-fleet.js';
import type {Observations} from './observations.js';

export const callerKey = 'fault-matrix-caller';
export const workspaceName = 'maraval';
const pollIntervalMs = 20;
const retryDelayMs = 200;
const defaultTimeoutMs = 12_000;

/** Polls until the condition holds; returns false on a timeout. */
export async function waitUntil(clock: Clock, condition: () => Promise<boolean> | boolean, timeoutMs = defaultTimeoutMs): Promise<boolean> {
	const until = clock.monotonic() + timeoutMs;
	while (clock.monotonic() < until) {
		if (await condition()) {
			return true;
		}

		await clock.sleep(pollIntervalMs);
	}

	return false;
}

export function createContract(share: number): Contract {
	return {
		workspace: workspaceName,
		apiKeys: [{id: 'caller', sha256: computeKeyDigest(callerKey)}],
		models: [modelName],
		services: [{name: serviceName, calls: [{method: 'POST', path: '/sheets', repeatable: false}, {method: 'GET', path: '/sheets', repeatable: true}]}],
		priority: 1,
		share,
		limits: {
			requestsPerSecond: 1000, burst: 1000, concurrency: 1000, bodyBytes: 100_000, queueMs: 5000,
		},
		targets: {firstTokenMs: 460, betweenTokensMs: 79},
		answerRetentionSeconds: 3600,
	};
}

export async function runGeneration(fleet: FaultFleet, observations: Observations, opts: {entry: string; prompt: string; maxTokens: number}): Promise<void> {
	const record = await requestGeneration({
		clock: fleet.clock, url: fleet.getCallerUrl(opts.entry), key: callerKey, model: modelName, prompt: opts.prompt, maxTokens: opts.maxTokens, signal: AbortSignal.timeout(defaultTimeoutMs * 2),
	});
	observations.generations.push({entry: opts.entry, record});
}

/** Sends a call that must not run twice through each of the entries in turn, with the same idempotency key. */
export async function runDispatch(fleet: FaultFleet, observations: Observations, opts: {entries: readonly string[]; key?: string}): Promise<void> {
	const key = opts.key ?? randomUUID();
	for (const entry of opts.entries) {
		const record = await callService({
			url: fleet.getCallerUrl(entry), key: callerKey, service: serviceName, method: 'POST', path: '/sheets', body: JSON.stringify({sheet: key}), idempotencyKey: key,
		});
		observations.dispatches.push({key, entry, record});
	}
}

type PutReply = {revision: number; value: {version: number}};

/** Writes a contract. After a lost answer, it retries through the next instance with the same change id. */
export async function putContract(fleet: FaultFleet, observations: Observations, opts: {share: number; expectedVersion: number; instances: readonly string[]; changeId?: string}): Promise<void> {
	const changeId = opts.changeId ?? randomUUID();
	const base = {
		workspace: workspaceName, changeId, share: opts.share, expectedVersion: opts.expectedVersion,
	};
	for (const instance of opts.instances) {
		const client = new OperatorClient({server: fleet.getOperatorUrl(instance), timeoutMs: 4000});
		const result = await client.call<PutReply>('contract.put', {...base, contract: createContract(opts.share)});
		if (result.isOk()) {
			observations.writes.push({
				...base, outcome: 'accepted', version: result.value.value.version, revision: result.value.revision,
			});
			return;
		}

		if (result.error.exitCode === 3) {
			observations.writes.push({...base, outcome: 'refused'});
			return;
		}

		await fleet.clock.sleep(retryDelayMs);
	}

	observations.writes.push({...base, outcome: 'unknown'});
}

export async function startChange(fleet: FaultFleet, observations: Observations, opts: {method: string; params: Record<string, unknown>}): Promise<void> {
	const changeId = randomUUID();
	observations.changeIds.push(changeId);
	for (const instance of fleet.instances) {
		const client = new OperatorClient({server: fleet.getOperatorUrl(instance.name), timeoutMs: 4000});
		const result = await client.call(opts.method, {changeId, ...opts.params});
		if (result.isOk()) {
			return;
		}

		observations.notes.push(`change: ${result.error.message}`);
		await fleet.clock.sleep(retryDelayMs);
	}
}

/** Calls an operator method on the instances in turn and returns the first successful result. */
export async function callAnyInstance<T>(fleet: FaultFleet, method: string, params: Record<string, unknown> = {}): Promise<T | undefined> {
	for (const instance of fleet.instances) {
		const result = await new OperatorClient({server: fleet.getOperatorUrl(instance.name), timeoutMs: 3000}).call<T>(method, params);
		if (result.isOk()) {
			return result.value;
		}
	}

	return undefined;
}

/** Waits until the fleet serves: all 5 endpoints are announced and all 8 subscribers have the current revision. */
export async function waitUntilServing(fleet: FaultFleet): Promise<boolean> {
	return waitUntil(fleet.clock, async () => {
		const status = await callAnyInstance<{endpoints: number; revision: number; subscribers: Array<{revision: number}>}>(fleet, 'status.get');
		return status?.endpoints === 5 && status.subscribers.length === 8 && status.subscribers.every(subscriber => subscriber.revision >= status.revision);
	});
}

export async function readChange(fleet: FaultFleet, changeId: string): Promise<PlannedChange | undefined> {
	return callAnyInstance<PlannedChange>(fleet, 'change.get', {changeId});
}
