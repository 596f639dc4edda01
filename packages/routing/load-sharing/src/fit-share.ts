/**
 * Keeps load shares small: speeds and expected work may lengthen a share by at most a tenth. Links of small instances are
 * slow, and load shares are the most frequent messages.
 */
import type {LoadEntry, LoadShare, SpeedNote} from '@hickorytrack/types/peer-methods';

/** Part of the length of a share by which it may grow. */
const maxGrowth = 0.1;
/** Estimated lengths in JSON, with the message around the share. */
const envelopeBytes = 110;
const entryBytes = 18;
const storedBytes = 60;
export const speedNoteBytes = 18;
const workBytes = 3;

/** Estimates the number of bytes by which a share with this content may grow. */
export function measureSpareBytes({servers, stored}: Pick<LoadShare, 'servers' | 'stored'>): number {
	return (envelopeBytes + (servers.length * entryBytes) + (stored.length * storedBytes)) * maxGrowth;
}

/** Leaves out the speeds and the work of servers for which the share has no room. Servers with the most work come first. */
export function fitShare({speeds = [], ...share}: LoadShare): LoadShare {
	const spareBytes = measureSpareBytes(share);
	const kept: SpeedNote[] = speeds.slice(0, Math.floor(spareBytes / speedNoteBytes));
	const maxWorks = Math.floor((spareBytes - (kept.length * speedNoteBytes)) / workBytes);
	const works = share.servers.map(entry => entry[4] ?? 0).filter(work => work > 0);
	const minWork = works.length <= maxWorks ? 0 : works.sort((a, b) => b - a)[maxWorks]! + 1;
	const servers = minWork === 0 ? share.servers : share.servers.map((entry): LoadEntry => entry[4] !== undefined && entry[4] < minWork ? [entry[0], entry[1], entry[2], entry[3]] : entry);
	return {...share, servers, ...(kept.length > 0 && {speeds: kept})};
}
