/**
 * Holds everything that a server writes to its connections, their ends included, until it is released; then all of it is
 * sent in order. To its clients the server falls silent and goes on, while it still accepts connections and reads.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';

export class SendGate {
	#isOpen = true;
	readonly #held: Array<() => void> = [];

	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Puts a connection behind the gate. */
	watch(socket: Socket): void {
		const write = socket._write.bind(socket);
		const writeMany = socket._writev!.bind(socket);
		const finish = socket._final.bind(socket);
		// Node.js calls these one at a time for each socket, so what is held keeps its order.
		socket._write = (chunk, encoding, onWritten) => {
			this.#run(() => {
				write(chunk, encoding, onWritten);
			});
		};

		socket._writev = (chunks, onWritten) => {
			this.#run(() => {
				writeMany(chunks, onWritten);
			});
		};

		socket._final = onFinished => {
			this.#run(() => {
				finish(onFinished);
			});
		};
	}

	close(): void {
		this.#isOpen = false;
	}

	/** Closes the gate for a time, once this answer has been sent. */
	closeAfter(response: ServerResponse, {ms, clock}: {ms: number; clock: Clock}): void {
		response.once('finish', () => {
			this.close();
			void clock.sleep(ms).then(() => {
				this.open();
			});
		});
	}

	/** Sends what was held, and everything from now on. */
	open(): void {
		this.#isOpen = true;
		for (const send of this.#held.splice(0)) {
			send();
		}
	}

	#run(send: () => void): void {
		if (this.#isOpen) {
			send();
		} else {
			this.#held.push(send);
		}
	}
}
