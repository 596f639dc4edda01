/**
 * Sends the answers on one connection a second time, each just before the next answer on the connection is due. An answer that
 * came while the connection is idle would make the client close it.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export class AnswerRepeater {
	readonly #write: Socket['write'];
	#chunks: Buffer[] = [];
	#lastClosed: Promise<unknown> = Promise.resolve();

	constructor(socket: Socket) {
		this.#write = socket.write.bind(socket);
		socket.write = ((chunk: Buffer | string, ...rest: unknown[]) => {
			this.#chunks.push(typeof chunk === 'string' ? Buffer.from(chunk, rest.find(argument => typeof argument === 'string') as 'latin1' | undefined) : Buffer.from(chunk));
			return (this.#write as (...writeArguments: unknown[]) => boolean)(chunk, ...rest);
		});
	}

	/** Waits for the end of the answer before; sends that one again if asked to. Returns whether it did. */
	async startAnswer(response: ServerResponse, opts: {isRepeating: boolean}): Promise<boolean> {
		const lastClosed = this.#lastClosed;
		this.#lastClosed = new Promise(resolve => {
			response.on('close', resolve);
		});
		await lastClosed;
		const previous = Buffer.concat(this.#chunks);
		this.#chunks = [];
		if (!opts.isRepeating || previous.length === 0) {
			return false;
		}

		this.#write(previous);
		return true;
	}
}
