/** Holds back everything that a server sends on a connection, until the server goes on. */
import type {Socket} from 'node:net';

export class AnswerHold {
	readonly #socket: Socket;
	readonly #uncork: () => void;
	#isHeld = false;

	constructor(socket: Socket) {
		this.#socket = socket;
		this.#uncork = socket.uncork.bind(socket);
		// The end of a response uncorks its socket, however often it was corked.
		socket.uncork = () => {
			if (!this.#isHeld) {
				this.#uncork();
			}
		};
	}

	pause(): void {
		this.#isHeld = true;
		this.#socket.cork();
	}

	resume(): void {
		this.#isHeld = false;
		while (this.#socket.writableCorked > 0) {
			this.#uncork();
		}
	}
}
