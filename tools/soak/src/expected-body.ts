/** The answers of the soak's servers. They follow from the request alone, so that the checks can tell a foreign or damaged one. */
import {createHash} from 'node:crypto';

const fillerBytes = 200;
const stampCharacters = 20;

export function createPlainBody(requestId: string, path: string): string {
	return `${requestId} ${path} ${'.'.repeat(fillerBytes)} ${requestId}`;
}

/** Returns event `number` of a stream of `count` events, as a server of this version writes it. */
export function createEvent(requestId: string, number: number, count: number, version = 'model/v1'): string {
	return `id: ${number}\ndata: ${requestId} ${number}/${count} ${version}\n\n`;
}

/** Versions of the servers that wrote the events, in their order. */
export function listEventVersions(body: string): string[] {
	return [...body.matchAll(/^data: \S+ \d+\/\d+ (?<version>\S+)$/gm)].map(match => match.groups!.version!);
}

/** Number of events of the stream at this path: its last part. */
export function countEvents(path: string): number {
	return Number(path.split('/').at(-1));
}

export function createStamp(requestId: string, path: string): string {
	return createHash('sha256').update(`${requestId} ${path}`).digest('hex').slice(0, stampCharacters);
}
