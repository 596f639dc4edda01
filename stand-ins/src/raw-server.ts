/** A TCP server that answers each request with bytes of a test's choice, also without an end. */
import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

export type RawAnswer = {
	/** Written once. */
	start: string;
	/** Written after the start until the client closes the connection. */
	endless?: string;
	/** How the connection ends after the start; without it, it stays open. */
	end?: 'close' | 'reset';
};

/** Bytes of one write of an answer without an end. */
const endlessWriteBytes = 65_536;

export class RawServer {
	answer: RawAnswer;
	/** Bytes of all answers that the system has accepted. */
	sentBytes = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(answer: RawAnswer) {
		this.answer = answer;
		this.#server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => {
				// Clients reset connections whose answers they give up.
			});
			socket.once('data', () => {
				this.#send(socket);
			});
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	get openConnections(): number {
		return this.#sockets.size;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#send(socket: Socket): void {
		const {start, endless, end} = this.answer;
		socket.write(start, () => {
			if (endless !== undefined) {
				this.#sendEndlessly(socket, Buffer.from(endless.repeat(Math.ceil(endlessWriteBytes / endless.length))));
			} else if (end === 'close') {
				socket.end();
			} else if (end === 'reset') {
				socket.resetAndDestroy();
			}
		});
	}

	#sendEndlessly(socket: Socket, bytes: Buffer): void {
		socket.write(bytes, error => {
			if (!error && !socket.destroyed) {
				this.sentBytes += bytes.length;
				setImmediate(() => {
					this.#sendEndlessly(socket, bytes);
				});
			}
		});
	}
}
