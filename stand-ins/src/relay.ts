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

type Direction = 'forward' | 'back';

type RelayedConnection = {
	source: string;
	callerSocket: Socket;
	listenerSocket: Socket;
	isDeliveryStopped: boolean;
	/** Bytes of each direction that are held until its rule changes. */
	held: Record<Direction, Buffer[]>;
	/** Bytes of each direction that wait for their delay, in order. */
	delayed: Record<Direction, Buffer[]>;
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
			for (const direction of ['forward', 'back'] as const) {
				for (const chunk of connection.held[direction].splice(0)) {
					this.#forward(connection, direction, chunk);
				}
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
			closeByReset(callerSocket);
			closeByReset(listenerSocket);
		}
	}

	/** Stops listening and closes the connections, as the end of a process does. */
	async stop(): Promise<void> {
		for (const {callerSocket, listenerSocket} of this.#connections) {
			callerSocket.destroy();
			listenerSocket.destroy();
		}

		const server = this.#server;
		this.#server = undefined;
		if (server) {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		}
	}

	#accept(callerSocket: Socket): void {
		const listenerSocket = connect(this.#target);
		const connection: RelayedConnection = {
			source: callerSocket.remoteAddress ?? '', callerSocket, listenerSocket, isDeliveryStopped: false, held: {forward: [], back: []}, delayed: {forward: [], back: []},
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

	#forward(connection: RelayedConnection, direction: Direction, chunk: Buffer): void {
		const rule = this.#findRule(connection.source);
		if (connection.isDeliveryStopped || rule[direction] === 'drop') {
			return;
		}

		const held = connection.held[direction];
		if (rule[direction] === 'hold') {
			held.push(chunk);
			return;
		}

		for (const next of [...held.splice(0), chunk]) {
			this.#deliver(connection, direction, {chunk: next, delayMs: rule.delayMs});
		}
	}

	/** Writes a chunk after its delay, behind the chunks that wait for theirs. */
	#deliver(connection: RelayedConnection, direction: Direction, {chunk, delayMs}: {chunk: Buffer; delayMs: number}): void {
		const delayed = connection.delayed[direction];
		if (delayMs === 0 && delayed.length === 0) {
			getTarget(connection, direction).write(chunk);
			return;
		}

		delayed.push(chunk);
		setTimeout(() => {
			writeDelayed(connection, direction, delayed.indexOf(chunk) + 1);
		}, delayMs);
	}

	/** Forwards a close to the other socket, unless its delivery is stopped or a direction does not pass. */
	#forwardClose(connection: RelayedConnection, from: Socket, to: Socket): void {
		from.on('error', () => undefined);
		from.on('close', () => {
			const rule = this.#findRule(connection.source);
			const isForwarded = !connection.isDeliveryStopped && rule.forward === 'pass' && rule.back === 'pass';
			if (isForwarded) {
				const direction = to === connection.listenerSocket ? 'forward' : 'back';
				writeDelayed(connection, direction, connection.delayed[direction].length);
				to.destroySoon();
			}

			if (from.destroyed && to.destroyed) {
				this.#connections.delete(connection);
			}
		});
	}
}

function getTarget({callerSocket, listenerSocket}: RelayedConnection, direction: Direction): Socket {
	return direction === 'forward' ? listenerSocket : callerSocket;
}

/** Node.js leaks the handle of a socket that is reset while it ends. */
function closeByReset(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** Writes the first chunks of those that wait for their delay. */
function writeDelayed(connection: RelayedConnection, direction: Direction, count: number): void {
	for (const chunk of connection.delayed[direction].splice(0, count)) {
		getTarget(connection, direction).write(chunk);
	}
}
