/** Bounds the connections to this process that have not proved the key: beyond the bound the oldest one is closed. */
import type {Socket} from 'node:net';

const maxPending = 256;
/** A fleet that starts anew behind one address still gets in, in several rounds. */
const maxPendingOfAddress = 128;

export class PendingSockets {
	readonly #onClosed: (address: string) => void;
	/** Remote addresses by connection, in the order of their arrival. */
	readonly #addresses = new Map<Socket, string>();
	readonly #counts = new Map<string, number>();

	/** The callback gets the remote address of each connection that had to go. */
	constructor(onClosed: (address: string) => void) {
		this.#onClosed = onClosed;
	}

	get size(): number {
		return this.#addresses.size;
	}

	/** Adds a connection. The oldest of the same address goes if that has its share already, otherwise the oldest of all. */
	add(socket: Socket, address: string): void {
		this.#addresses.set(socket, address);
		const count = (this.#counts.get(address) ?? 0) + 1;
		this.#counts.set(address, count);
		if (count > maxPendingOfAddress) {
			this.#closeFirst(address);
		} else if (this.#addresses.size > maxPending) {
			this.#closeFirst();
		}
	}

	/** The connection has proved the key, or has closed. */
	remove(socket: Socket): void {
		const address = this.#addresses.get(socket);
		if (address === undefined) {
			return;
		}

		this.#addresses.delete(socket);
		const left = this.#counts.get(address)! - 1;
		if (left > 0) {
			this.#counts.set(address, left);
		} else {
			this.#counts.delete(address);
		}
	}

	#closeFirst(address?: string): void {
		for (const [socket, remoteAddress] of this.#addresses) {
			if (address === undefined || address === remoteAddress) {
				this.remove(socket);
				socket.destroy();
				this.#onClosed(remoteAddress);
				return;
			}
		}
	}
}
