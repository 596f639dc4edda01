/** Finds the id of the last event in bytes of an event stream, without reading the data of its events as text. */
import type {Buffer} from 'node:buffer';

const field = 'id:';
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const space = 0x20;

/** Returns the id that is in force behind complete events, or undefined if none of them names one. */
export function findLastEventId(events: Buffer): string | undefined {
	const lineEndAt = Math.max(events.lastIndexOf(`\n${field}`), events.lastIndexOf(`\r${field}`));
	if (lineEndAt !== -1) {
		return readValue(events, lineEndAt + 1 + field.length);
	}

	return events.toString('latin1', 0, field.length) === field ? readValue(events, field.length) : undefined;
}

function readValue(events: Buffer, colonEnd: number): string {
	const start = events[colonEnd] === space ? colonEnd + 1 : colonEnd;
	let end = start;
	while (end < events.length && !isLineEnd(events[end])) {
		end++;
	}

	return events.toString('latin1', start, end);
}

function isLineEnd(byte: number | undefined): boolean {
	return byte === lineFeed || byte === carriageReturn;
}
