/**
 * ORDER: no stream holds events from servers of two versions of one service, in one answer or over the attempts of its caller.
 *
 * LOST: of 12 or more streams that callers take up at edges in touch, while two servers of their version generate, at least
 * half as large a share goes on as of the new streams that begin. An edge is in touch if for `contactMs` no edge ended and
 * neither it nor its links were disturbed.
 */
import {collectByKey} from './collect-by-key.js';
import {listEventVersions} from './expected-body.js';
import type {
	CallerRecord, RuleCase, SoakRecords, StartRecord,
} from './records.js';

const contactMs = 3000;
/** Time from the start of a server until all edges know it. */
const knownMs = 1000;
const countedTakeUps = 12;
const neededServers = 2;

export function checkVersions(records: SoakRecords): RuleCase[] {
	return [...checkStreams(records), ...checkTakeUps(records)];
}

/** Counts the streams that callers took up, and those that went on. */
export function countTakeUps({callers}: SoakRecords): {takeUps: number; takenUp: number} {
	const takeUps = callers.filter(({begunAs}) => begunAs !== undefined);
	return {takeUps: takeUps.length, takenUp: takeUps.filter(record => hasGoneOn(record)).length};
}

function checkStreams({callers}: SoakRecords): RuleCase[] {
	const streams = collectByKey(callers, ({requestId, begunAs}) => begunAs ?? requestId);
	return [...streams].flatMap(([requestId, attempts]): RuleCase[] => {
		const versions = [...new Set(attempts.flatMap(({body}) => listEventVersions(body)))];
		const services = new Set(versions.map(version => version.split('/')[0]));
		return services.size < versions.length ? [{rule: 'ORDER', requestId, detail: `events of ${versions.join(' and ')} in attempts at ${attempts.map(({edge}) => edge).join(', ')}`}] : [];
	});
}

function checkTakeUps(records: SoakRecords): RuleCase[] {
	const resumable = new Set(records.routes.filter(({isResumable}) => isResumable).map(({name}) => name));
	const attempts = records.callers.filter(caller => resumable.has(caller.route) && !caller.hasLeft && isInTouch(caller, records));
	const versions = new Map(records.callers.map(({requestId, body}) => [requestId, listEventVersions(body)[0]]));
	const takeUps = attempts.filter(({begunAs, sentAt}) => begunAs !== undefined && countServers(versions.get(begunAs)!, sentAt, records) >= neededServers);
	// A caller that is refused tries again, and its stream counts once.
	const takenUp = countStreams(collectByKey(takeUps, ({begunAs}) => begunAs!));
	const begun = countStreams(collectByKey(attempts.filter(({begunAs}) => begunAs === undefined), ({caller, path}) => `${caller} ${path}`));
	return takenUp.count >= countedTakeUps && takenUp.share < begun.share / 2
		? [{rule: 'LOST', detail: `of ${takenUp.count} streams that were taken up ${takenUp.share.toFixed(2)} went on, of new ones ${begun.share.toFixed(2)} began`}]
		: [];
}

/** Counts streams, and the share of those with an attempt that was served. */
function countStreams(streams: ReadonlyMap<string, CallerRecord[]>): {count: number; share: number} {
	const served = [...streams.values()].filter(attempts => attempts.some(attempt => hasGoneOn(attempt)));
	return {count: streams.size, share: served.length / streams.size};
}

function hasGoneOn({status}: CallerRecord): boolean {
	return status === 200;
}

function isInTouch({edge, sentAt, endedAt}: CallerRecord, {processEnds, disturbances}: SoakRecords): boolean {
	return !processEnds.some(({name, at}) => name.startsWith('edge-') && at >= sentAt - contactMs && at <= endedAt)
		&& !disturbances.some(({target, source, from, until}) => [target, source].includes(edge) && from <= endedAt && until >= sentAt - contactMs);
}

/** Counts the servers that generate at this version of a service and have run for a while. */
function countServers(version: string, at: number, {starts, processEnds}: SoakRecords): number {
	const isRunning = (start: StartRecord) => {
		const [name] = start.server.split('-');
		return start.at <= at - knownMs && !processEnds.some(end => end.name === name && end.at >= start.at && end.at <= at + knownMs);
	};

	return starts.filter(start => start.isGenerating && start.version === version && isRunning(start)).length;
}
