/**
 * Keeps load shares small: speeds and expected work may lengthen a share by at most a tenth. Links of small instances are
 * slow, and load shares are the most frequent messages. Lengths are those of the JSON text, with numbers of one digit.
 */
import type {LoadEntry, LoadShare, SpeedNote} from '@hickorytrack/types/peer-methods';

/** Part of the length of a share by which it may grow. */
const maxGrowth = 0.1;
/** The message around the share. */
const envelopeBytes = 110;
/** Lengths of elements without their ids. */
const entryBytes = 10;
const storedBytes = 24;
const partBytes = 18;
/** Of the list of speeds without its elements, and of an element with an id of 12 characters. */
const speedListBytes = 12;
const speedNoteBytes = 26;
const workBytes = 4;

/** Estimates the number of speeds for which a share with this content has room. */
export function countSpareNotes(content: Pick<LoadShare, 'servers' | 'stored'>): number {
	return Math.max(0, Math.floor((measureSpareBytes(content) - speedListBytes) / speedNoteBytes));
}

/** Leaves out the speeds and the work of servers for which the share has no room. Servers with the most work come first. */
export function fitShare({speeds = [], ...share}: LoadShare): LoadShare {
	let spareBytes = measureSpareBytes(share);
	const kept: SpeedNote[] = speeds.slice(0, countSpareNotes(share));
	spareBytes -= kept.length === 0 ? 0 : speedListBytes + (kept.length * speedNoteBytes);
	const maxWorks = Math.max(0, Math.floor(spareBytes / workBytes));
	const works = share.servers.map(entry => entry[4] ?? 0).filter(work => work > 0);
	const minWork = works.length <= maxWorks ? 0 : works.sort((a, b) => b - a)[maxWorks]! + 1;
	const servers = minWork === 0 ? share.servers : share.servers.map((entry): LoadEntry => entry[4] !== undefined && entry[4] < minWork ? [entry[0], entry[1], entry[2], entry[3]] : entry);
	return {...share, servers, ...(kept.length > 0 && {speeds: kept})};
}

function measureSpareBytes({servers, stored}: Pick<LoadShare, 'servers' | 'stored'>): number {
	let bytes = envelopeBytes;
	for (const [id] of servers) {
		bytes += entryBytes + id.length;
	}

	for (const {server, parts} of stored) {
		bytes += storedBytes + server.length;
		for (const {id} of parts) {
			bytes += partBytes + id.length;
		}
	}

	return bytes * maxGrowth;
}
