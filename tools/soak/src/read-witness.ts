/**
 * Loaded into each edge before its program: appends the time and the id of each request that the process has read to a file.
 * No one else can tell a request that an edge has dropped or kept too long from one that was still on its way.
 */
import {openSync, writeSync} from 'node:fs';
import {Server, type IncomingMessage} from 'node:http';
import process from 'node:process';
import {SystemClock} from '@hickorytrack/clock/system-clock';

export const readPathVariable = 'HICKORYTRACK_SOAK_READ_PATH';

const clock = new SystemClock();
const path = process.env[readPathVariable];
const emit = Server.prototype.emit as (name: string, ...args: unknown[]) => boolean;

if (path !== undefined) {
	const file = openSync(path, 'a');
	Server.prototype.emit = function (this: Server, name: string, ...args: unknown[]): boolean {
		const requestId = name === 'request' && (args[0] as IncomingMessage).headers['x-request-id'];
		if (requestId) {
			writeSync(file, `${clock.now()} ${String(requestId)}\n`);
		}

		return emit.call(this, name, ...args);
	} as typeof Server.prototype.emit;
}
