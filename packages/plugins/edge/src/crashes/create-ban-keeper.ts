/** Puts together the part of the core's leader that keeps bans in the replicated log. */
import type {Clock} from '@hickorytrack/clock';
import type {CrashAttribution} from '@hickorytrack/crash-attribution';
import {BanKeeper} from '@hickorytrack/crash-attribution/ban-keeper';
import type {Mesh} from '@hickorytrack/mesh';
import {coreRole, type CoreMember} from '@hickorytrack/route-store/core-member';
import {peerFeatures} from '@hickorytrack/types/peer-methods';

export function createBanKeeper({clock, attribution, core, mesh}: {clock: Clock; attribution: CrashAttribution; core: CoreMember; mesh: Mesh}): BanKeeper {
	// A member of an older version would take such a record for a configuration.
	const areRecordsKnown = () => mesh.listMembers(coreRole).every(({features}) => features?.includes(peerFeatures.crashBans));
	return new BanKeeper({
		clock, attribution, store: core.banStore, canStore: () => core.leadershipAgeMs !== undefined && areRecordsKnown(), propose: async command => core.putBans(command),
	});
}
