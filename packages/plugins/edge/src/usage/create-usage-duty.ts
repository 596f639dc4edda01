/** Puts together the duty to report usage, which the leader of the core has. */
import {coreRole, type CoreMember} from '@hickorytrack/route-store/core-member';
import type {Mesh} from '@hickorytrack/mesh';
import {SingletonDuty} from '@hickorytrack/singleton-duty';
import {peerFeatures} from '@hickorytrack/types/peer-methods';
import {UsageWindows} from '@hickorytrack/usage-windows';
import {UsageDuty, type WindowReport} from '@hickorytrack/usage-windows/usage-duty';
import type {EdgeOptions, UsageSettings} from '../edge-settings.js';
import type {UsageLink} from './usage-link.js';

export type UsageDutyOptions = Pick<EdgeOptions, 'clock' | 'events' | 'metrics' | 'settings' | 'dutyTransport'> & {
	usage: UsageSettings;
	core: CoreMember;
	mesh: Mesh;
	link: UsageLink;
};

export type UsageDutyParts = {windows: UsageWindows; duty: SingletonDuty<WindowReport> | undefined};

export function createUsageDuty({clock, events, metrics, settings, dutyTransport, usage, core, mesh, link}: UsageDutyOptions): UsageDutyParts {
	const hasFeature = ({features}: {features?: string[]}) => features?.includes(peerFeatures.usageWindows) ?? false;
	// A member of an older version would skip such a record and lead without it.
	const areRecordsKnown = () => mesh.listMembers(coreRole).every(member => hasFeature(member));
	const getTerm = () => core.isLeader && areRecordsKnown() ? core.term : undefined;
	const windows = new UsageWindows({
		clock, events, windowMs: usage.windowMs, dueMs: usage.dueMs, counter: link.counter, store: core.usageStore, getTerm, listSenders: () => mesh.listConnections().map(({remote}) => remote).filter(remote => hasFeature(remote)).map(({incarnation}) => incarnation), propose: async command => core.putUsage(command),
	});
	metrics.onRead(() => {
		metrics.set('usage_windows_waiting', core.usageStore.waitingCount, {});
	});
	const duty = dutyTransport && new SingletonDuty({
		clock, events, onCall(name, {outcome}) {
			metrics.count('duty_calls_total', {duty: name, outcome});
		}, leadership: {
			get term() {
				return core.isLeader ? core.term : undefined;
			},
			confirm: async () => core.confirmLeadership(),
		}, duties: [new UsageDuty({store: core.usageStore, propose: async command => core.putUsage(command)})], transport: dutyTransport, holder: settings.instance, leaseMs: settings.leaseMs, callsPerSecond: usage.callsPerSecond,
	});
	return {windows, duty};
}
