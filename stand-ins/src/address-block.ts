/**
 * A block of loopback addresses for one run: 127.X.Y.1 to 127.X.Y.254. A listener on its last address reserves it, so that
 * runs beside each other use different blocks.
 */
import {createServer, type Server} from 'node:net';
import type {Random} from '@hickorytrack/random';

const reservePort = 7399;
const firstBlock = 64;
const blocks = 128;
const maxAttempts = 50;

export class AddressBlock {
	readonly #prefix: string;
	readonly #reservation: Server;

	constructor(prefix: string, reservation: Server) {
		this.#prefix = prefix;
		this.#reservation = reservation;
	}

	getIp(host: number): string {
		return `${this.#prefix}.${host}`;
	}

	release(): void {
		this.#reservation.close();
	}
}

export async function acquireAddressBlock(random: Random): Promise<AddressBlock> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const prefix = `127.${firstBlock + random.nextInteger(blocks)}.${random.nextInteger(255)}`;
		const reservation = createServer();
		const isFree = await new Promise<boolean>(resolve => {
			reservation.once('error', () => {
				resolve(false);
			});
			reservation.listen({host: `${prefix}.254`, port: reservePort}, () => {
				resolve(true);
			});
		});
		if (isFree) {
			return new AddressBlock(prefix, reservation);
		}
	}

	throw new Error('No block of loopback addresses is free');
}
