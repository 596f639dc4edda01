/** The gauges of an instance and of the services that it serves. */
import type {ByteAccount} from '@hickorytrack/byte-account';
import type {EndpointRegistry} from '@hickorytrack/endpoint-registry';
import type {ExpectedWork} from '@hickorytrack/expected-work';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import type {OwnResources} from '@hickorytrack/own-resources';
import type {ForwardContext} from './calls/forward-context.js';
import type {ServerLimits} from './limits/server-limits.js';

type Gauges = Pick<MetricsRegistry, 'set'>;

export type InstanceState = {
	account: ByteAccount;
	isReady: boolean;
	/** Undefined for an instance outside the core. */
	isVoter: boolean | undefined;
	/** Undefined for an instance outside the core. */
	coreVoters: number | undefined;
	configurationVersion: number | undefined;
	members: number;
	/** Instances by which the retry budget is divided. */
	instances: number;
	openRequests: number;
	linesDropped: number;
	unprovenLinks: number;
};

export function setGauges(metrics: Gauges, state: InstanceState): void {
	setAccountGauges(metrics, state.account);
	metrics.set('ready', state.isReady ? 1 : 0);
	if (state.isVoter !== undefined) {
		metrics.set('core_voter', state.isVoter ? 1 : 0);
	}

	if (state.coreVoters !== undefined) {
		metrics.set('core_voters', state.coreVoters);
	}

	metrics.set('configuration_version', state.configurationVersion ?? 0);
	metrics.set('members', state.members);
	metrics.set('retry_budget_instances', state.instances);
	metrics.set('open_requests', state.openRequests);
	metrics.set('links_unproven', state.unprovenLinks);
	metrics.set('log_lines_dropped_total', state.linesDropped);
}

/** The ready set is undefined where the instance does not take part in readiness by capacity. */
export function setOwnGauges(metrics: Gauges, {link, processor, hasWeakProcessor}: OwnResources, readySetSize: number | undefined): void {
	metrics.set('own_link_wait_ms', link.estimateWaitMs());
	metrics.set('own_processor_wait_ms', processor.delayMs);
	if (hasWeakProcessor && readySetSize !== undefined) {
		metrics.set('ready_set_size', readySetSize);
	}
}

export function setServiceGauges(metrics: Gauges, service: string, {registry, limits, retryBudget, admission, expectedWork}: {expectedWork: ExpectedWork; registry: EndpointRegistry; limits: ServerLimits} & Pick<ForwardContext, 'retryBudget' | 'admission'>): void {
	const servers = registry.listUsable(service);
	const known = limits.describe(servers);
	metrics.set('servers', servers.length, {service});
	metrics.set('servers_uneven', expectedWork.isUneven(service) ? 1 : 0, {service});
	metrics.set('limited_servers', known.length, {service});
	metrics.set('limit_per_second', computeSum(known.map(({perSecond}) => perSecond)), {service});
	metrics.set('limit_used_per_second', computeSum(known.map(({ownPerSecond}) => ownPerSecond)), {service});
	metrics.set('admission_waiting', admission.countWaiting(service), {service});
	metrics.set('retry_budget_left', retryBudget.countLeft(service), {service});
}

function setAccountGauges(metrics: Gauges, account: ByteAccount): void {
	for (const [part, {held, limit, waits, refusals}] of account.parts) {
		metrics.set('held_bytes', held, {part});
		metrics.set('held_bytes_limit', limit, {part});
		metrics.set('held_bytes_waits_total', waits, {part});
		metrics.set('held_bytes_refusals_total', refusals, {part});
	}
}

function computeSum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
