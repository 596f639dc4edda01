/**
 * A TCP relay that tests place in front of a listener. A rule, chosen by the caller's address, decides what is forwarded.
 * Tests can partition any two processes in one direction or both, stop delivery on the open connections permanently while
 * new connections work, and hold or delay bytes.
 */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {Buffer} from 'node:buffer';

/**
 * What happens to the bytes of one direction: they are forwarded, discarded, or buffered until `release` or `setRule` is
 * called while the rule no longer holds them.
 */
export type RelayAction = 'pass' | 'drop' | 'hold';

export type RelayRule = {
	/** From the caller to the listener. */
	forward: RelayAction;
	/** From the listener to the caller. */
	back: RelayAction;
	/** Delay of the bytes in both directions. */
	delayMs: number;
};

export const passThroughRule: RelayRule = {forward: 'pass', back: 'pass', delayMs: 0};

type RelayedConnection = {
	source: string;
	callerSocket: Socket;
	listenerSocket: Socket;
	isDeliveryStopped: boolean;
	held: Array<() => void>;
};

export class Relay {
	readonly #target: {host: string; port: number};
	readonly #connections = new Set<RelayedConnection>();
	#findRule: (source: string) => RelayRule = () => passThroughRule;
	#server: Server | undefined;

	constructor(target: {host: string; port: number}) {
		this.#target = target;
	}

	get port(): number {
		return (this.#server!.address() as AddressInfo).port;
	}

	async start(address: {host: string; port: number}): Promise<void> {
		const server = createServer(callerSocket => {
			this.#accept(callerSocket);
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(address.port, address.host, resolve);
		});
	}

	/** Sets the function that returns the rule for a source address, and applies the new rules to the held bytes. */
	setRule(findRule: (source: string) => RelayRule): void {
		this.#findRule = findRule;
		this.release();
	}

	/** Applies the current rule to the held bytes: forwards them, discards them or keeps them held. */
	release(): void {
		for (const connection of this.#connections) {
			for (const deliver of connection.held.splice(0)) {
				deliver();
			}
		}
	}

	/** Stops delivery on the open connections permanently, without closing them; new connections work. */
	stopDelivery(): void {
		for (const connection of this.#connections) {
			connection.isDeliveryStopped = true;
		}
	}

	resetConnections(): void {
		for (const {callerSocket, listenerSocket} of this.#connections) {
			callerSocket.resetAndDestroy();
			listenerSocket.resetAndDestroy();
		}
	}

	async stop(): Promise<void> {
		this.resetConnections();
		await new Promise<void>(resolve => {
			this.#server?.close(() => {
				resolve();
			});
		});
	}

	#accept(callerSocket: Socket): void {
		const listenerSocket = connect(this.#target);
		const connection: RelayedConnection = {
			source: callerSocket.remoteAddress ?? '', callerSocket, listenerSocket, isDeliveryStopped: false, held: [],
		};
		this.#connections.add(connection);
		callerSocket.on('data', chunk => {
			this.#forward(connection, 'forward', chunk);
		});
		listenerSocket.on('data', chunk => {
			this.#forward(connection, 'back', chunk);
		});
		this.#forwardClose(connection, callerSocket, listenerSocket);
		this.#forwardClose(connection, listenerSocket, callerSocket);
	}

	#forward(connection: RelayedConnection, direction: 'forward' | 'back', chunk: Buffer): void {
		const rule = this.#findRule(connection.source);
		if (connection.isDeliveryStopped || rule[direction] === 'drop') {
			return;
		}

		const deliver = () => {
			this.#forward(connection, direction, chunk);
		};

		// A chunk of a direction that passes is queued behind the held chunks.
		if (rule[direction] === 'hold' || connection.held.length > 0) {
			this.#enqueueDelivery(connection, rule[direction] === 'hold', deliver);
			return;
		}

		const target = direction === 'forward' ? connection.listenerSocket : connection.callerSocket;
		if (rule.delayMs > 0) {
			setTimeout(() => {
				target.write(chunk);
			}, rule.delayMs);
		} else {
			target.write(chunk);
		}
	}

	#enqueueDelivery(connection: RelayedConnection, isDirectionHeld: boolean, deliver: () => void): void {
		connection.held.push(deliver);
		if (!isDirectionHeld) {
			this.release();
		}
	}

	/** Forwards a close to the other socket, unless its delivery is stopped or a direction does not pass. */
	#forwardClose(connection: RelayedConnection, from: Socket, to: Socket): void {
		from.on('error', () => undefined);
		from.on('close', () => {
			const rule = this.#findRule(connection.source);
			const isForwarded = !connection.isDeliveryStopped && rule.forward === 'pass' && rule.back === 'pass';
			if (isForwarded) {
				to.destroy();
			}

			if (from.destroyed && to.destroyed) {
				this.#connections.delete(connection);
			}
		});
	}
}
