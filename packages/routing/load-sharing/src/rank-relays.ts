/**
 * Rendezvous hashing of relays: an instance prefers the relays of its own zone, and instances spread evenly over the
 * relays of a zone.
 */
import {createHash} from 'node:crypto';
import type {PeerMember} from '@hickorytrack/types/peer-methods';

export type RelayCandidate = {
	readonly remote: PeerMember;
};

/** Returns the candidates, best first. */
export function rankRelays<T extends RelayCandidate>(candidates: readonly T[], member: Pick<PeerMember, 'instance' | 'availabilityZone'>): T[] {
	const rank = (candidate: T) => ({
		candidate,
		zoneDistance: candidate.remote.availabilityZone === member.availabilityZone ? 0 : 1,
		hash: createHash('sha256').update(`${member.instance} ${candidate.remote.instance}`).digest('hex'),
	});
	return candidates.map(candidate => rank(candidate))
		.sort((a, b) => a.zoneDistance - b.zoneDistance || (a.hash < b.hash ? -1 : 1))
		.map(({candidate}) => candidate);
}
