/**
 * Parses what is stored about usage. A record or a snapshot may come from another version, and every member has to read it
 * alike, from itself alone: totals that can't be used are left out, and a command that can't be used changes nothing.
 */
import {Fields} from '@hickorytrack/fields';
import type {SenderTotals, WindowTotals, WorkspaceCount} from '@hickorytrack/types/peer-methods';
import type {DecidedWindow, UsageCommand} from './usage-store.js';

const wholeNumber = {min: 0, max: Number.MAX_SAFE_INTEGER, isInteger: true};

/** Throws a `FieldError` if the command can't be used. */
export function parseUsageCommand(command: unknown): UsageCommand {
	const fields = new Fields(command, {name: 'the command'});
	return {
		kind: 'usage-windows',
		begin: fields.readOptionalNumber('begin', wholeNumber),
		totals: fields.has('totals') ? parseSenders(fields.readList('totals')) : undefined,
		decided: fields.has('decided') ? parseWindowTotals(fields.get('decided')) : undefined,
		accepted: fields.readOptionalNumber('accepted', wholeNumber),
	};
}

/** Lists the totals that can be used. */
export function parseSenders(values: readonly unknown[]): SenderTotals[] {
	return values.flatMap(value => {
		try {
			const sender = Fields.openTuple(value);
			return [[sender.readString('0'), sender.readList('1').map(window => parseWindowTotals(window))] satisfies SenderTotals];
		} catch {
			return [];
		}
	});
}

/** Lists the decided windows that can be used. */
export function parseDecided(values: readonly unknown[]): DecidedWindow[] {
	return values.flatMap(value => {
		try {
			const fields = new Fields(value, {name: 'a window'});
			return [{window: fields.readNumber('window', wholeNumber), counts: fields.readList('counts').map(count => parseCount(count)), isAccepted: fields.get('isAccepted') === true}];
		} catch {
			return [];
		}
	});
}

function parseWindowTotals(value: unknown): WindowTotals {
	const totals = Fields.openTuple(value);
	return [totals.readNumber('0', wholeNumber), totals.readList('1').map(count => parseCount(count))];
}

function parseCount(value: unknown): WorkspaceCount {
	const count = Fields.openTuple(value);
	return [count.readString('0'), count.readNumber('1', wholeNumber)];
}
