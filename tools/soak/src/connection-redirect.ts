/**
 * Loaded into each edge before its program: binds outgoing connections to the edge's own address and sends those to other
 * edges through relays. The program itself needs no change, and a relay can tell the edges apart.
 */
import {Socket, type TcpSocketConnectOpts} from 'node:net';
import process from 'node:process';

export type RedirectOptions = {
	localIp: string;
	/** Addresses to which connections go instead, by HOST:PORT. */
	targets: Record<string, {host: string; port: number}>;
};

export const redirectVariable = 'HICKORYTRACK_SOAK_REDIRECT';

const {localIp, targets} = JSON.parse(process.env[redirectVariable] ?? '{"targets":{}}') as RedirectOptions;
const connect = Socket.prototype.connect as (...args: unknown[]) => Socket;

if (localIp !== undefined) {
	// `net.connect` passes its arguments as an array.
	Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
		const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as TcpSocketConnectOpts;
		Object.assign(options, {localAddress: localIp}, targets[`${options.host}:${options.port}`]);
		return connect.apply(this, args);
	};
}
