/** Creates the serving lease of an instance and, on a member of the core, answers those who ask for theirs. */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import type {Mesh} from '@hickorytrack/mesh';
import type {ConfigurationFollower} from '@hickorytrack/route-store/configuration-follower';
import type {CoreMember} from '@hickorytrack/route-store/core-member';
import {ServingLease} from '@hickorytrack/serving-lease';
import {LeaseIssuer} from '@hickorytrack/serving-lease/lease-issuer';
import {peerFeatures} from '@hickorytrack/types/peer-methods';

export type ServingLeaseSources = {
	clock: Clock;
	events: EventLog;
	mesh: Mesh;
	configuration: ConfigurationFollower;
	core: CoreMember | undefined;
	/** 0 where revocation is not strict: the lease then never holds, and only confirms versions. */
	revocationMs: number;
};

/** Part of the revocation time for which a lease holds. The rest is for what is between a check and the run: forwarding, and differences of the clocks. */
const leaseFraction = 0.8;
/** Longer than a confirmation may take at the leader. */
const askTimeoutMs = 950;

export function createServingLease({clock, events, mesh, configuration, core, revocationMs}: ServingLeaseSources): ServingLease {
	const issuer = core && new LeaseIssuer({
		clock, async confirm() {
			const stored = await core.read();
			return stored.isOk() ? stored.value?.version : undefined;
		},
	});
	mesh.peers.handle('configuration.lease', async () => await issuer?.answer() ?? {});
	return new ServingLease({
		clock, lengthMs: revocationMs * leaseFraction, getVersion: () => configuration.current?.version, fetch: async () => configuration.fetchCurrent(), async ask() {
			if (core?.isLeader) {
				return issuer!.answer();
			}

			const leader = configuration.findLeaderConnection();
			if (!leader?.remote.features?.includes(peerFeatures.servingLeases)) {
				return undefined;
			}

			const reply = await leader.request('configuration.lease', {}, {timeoutMs: askTimeoutMs});
			return reply.isOk() ? reply.value : undefined;
		}, onChanged(isValid) {
			events.emit(isValid ? 'servingLeaseHeld' : 'servingLeaseLost', {version: configuration.current?.version});
		},
	});
}
