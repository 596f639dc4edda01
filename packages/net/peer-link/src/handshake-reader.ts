/** Reads the messages of a handshake one at a time and returns later messages for the connection. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {FrameDecoder, maximumFrameBytes} from './frame-codec.js';

/** Frames of a handshake take a few hundred bytes; those that follow it are read after the proof. */
const maxUnprovenFrameBytes = 8192;
/** A side that has not proved the key sends a message only as the answer to one. */
const maxUnprovenMessages = 2;

export class HandshakeReader {
	readonly decoder = new FrameDecoder(maxUnprovenFrameBytes);
	readonly #messages: unknown[] = [];
	#resumeRead: (() => void) | undefined;
	#failure: string | undefined;
	#isProven = false;
	readonly #socket: Socket;
	readonly #onData: (chunk: Buffer) => void;
	readonly #onEnd: () => void;

	constructor(socket: Socket) {
		this.#socket = socket;
		this.#onData = chunk => {
			this.#read(chunk);
		};

		this.#onEnd = () => {
			this.#fail('the connection closed');
		};

		socket.on('data', this.#onData);
		socket.on('error', this.#onEnd);
		socket.on('close', this.#onEnd);
	}

	async read(): Promise<unknown> {
		while (this.#messages.length === 0) {
			if (this.#failure !== undefined) {
				throw new HickorytrackError('ERR_HICKORYTRACK_PEER_HANDSHAKE', `The handshake ended early: ${this.#failure}`);
			}

			await new Promise<void>(resolve => {
				this.#resumeRead = resolve;
			});
		}

		return this.#messages.shift();
	}

	/** The other side has proved the key: frames can be long from now on. */
	raiseLimit(): void {
		this.#isProven = true;
		this.decoder.setLimit(maximumFrameBytes);
	}

	/** Removes the listeners from the socket and returns the messages that were not read. */
	release(): unknown[] {
		this.#socket.off('data', this.#onData);
		this.#socket.off('error', this.#onEnd);
		this.#socket.off('close', this.#onEnd);
		return this.#messages.splice(0);
	}

	#read(chunk: Buffer): void {
		if (this.#failure !== undefined) {
			return;
		}

		try {
			this.#messages.push(...this.decoder.decode(chunk));
			if (!this.#isProven && this.#messages.length > maxUnprovenMessages) {
				this.#messages.length = 0;
				this.#fail('more messages than a handshake has');
			}
		} catch (error) {
			this.#fail(describeError(error));
		}

		this.#resumeRead?.();
	}

	#fail(reason: string): void {
		this.#failure ??= reason;
		this.#resumeRead?.();
	}
}
