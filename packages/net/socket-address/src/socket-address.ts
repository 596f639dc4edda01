/**
 * Addresses to which a connection can be opened. Text from outside becomes one only here, so that whatever holds one can
 * open a connection to it, over TCP or HTTP, without an exception.
 */
import {isIPv4} from 'node:net';

declare const brand: unique symbol;

/** A host and a port, such as `10.0.0.4:8080`. */
export type SocketAddress = string & {readonly [brand]: 'SocketAddress'};

const addressPattern = /^(?<host>[a-z\d.-]{1,253}):(?<port>[1-9]\d{0,4})$/i;
const maxPort = 65_535;

/** Returns the address, or undefined if no connection can be opened to it. A host is an IPv4 address or a name. */
export function parseSocketAddress(value: unknown): SocketAddress | undefined {
	const groups = typeof value === 'string' ? addressPattern.exec(value)?.groups : undefined;
	if (!groups || Number(groups.port) > maxPort || !isHost(groups.host!)) {
		return undefined;
	}

	return value as SocketAddress;
}

/** Returns the address if its host is an IPv4 address. */
export function parseIpv4Address(value: unknown): SocketAddress | undefined {
	const address = parseSocketAddress(value);
	return address !== undefined && isIPv4(splitAddress(address).host) ? address : undefined;
}

export function splitAddress(address: SocketAddress): {host: string; port: number} {
	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
}

/** The HTTP client takes a host for an IPv4 address if its last label is a number, and rejects some names that look valid. */
function isHost(host: string): boolean {
	return isIPv4(host) || (URL.canParse(`http://${host}`) && new URL(`http://${host}`).hostname === host.toLowerCase());
}
