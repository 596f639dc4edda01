/**
 * Watches how the server ends a connection. The HTTP client completes a body without a length also when the connection was
 * reset, and Node.js reports a reset that arrives together with data as an orderly close.
 */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {HickorytrackError} from '@hickorytrack/errors';
import type {ByteBound} from './byte-budget.js';
import {HeadMeter} from './head-meter.js';

/** How the server's side of a connection ended. */
export const connectionEnds = {open: 'open', closed: 'closed', reset: 'reset'} as const;
export type ConnectionEnd = typeof connectionEnds[keyof typeof connectionEnds];

const resetCode = 'ECONNRESET';
/** Undici ends a body without a length on the code of a reset; with another one it fails the request. */
const watchedResetCode = 'ERR_HICKORYTRACK_CONNECTION_RESET';

/** Bytes of an answer beside its body that are accepted: a head, and what the socket buffers. */
const maxOverheadBytes = 262_144;
/** Accepted overhead of chunks for each byte of a body; a chunk of one byte has five others. */
const maxChunkOverhead = 8;
/** Heads that cost less count in no bound, so that large ones can't keep the answers of others out. */
const freeHeadBytes = 8192;

export class ConnectionWatch {
	#socket: Socket | undefined;
	/** Bytes that the connection had received before the current answer, and bytes of its body. */
	#bytesBefore = 0;
	#bodyBytes = 0;
	#end: ConnectionEnd = connectionEnds.open;
	#isRequestUnread = false;
	#isPaused = false;
	/** Emits the end of the connection, which came while the reader was paused. */
	#emitEnd: (() => void) | undefined;
	readonly #headBound: ByteBound | undefined;
	#headMeter = new HeadMeter();
	/** Bytes that the head of the current answer has acquired. */
	#heldHeadBytes = 0;

	/** The bound is one for what the heads of all answers cost together while they are read. */
	constructor(headBound?: ByteBound) {
		this.#headBound = headBound;
	}

	get end(): ConnectionEnd {
		return this.#end;
	}

	/** Tells whether bytes of the request still waited in this process when the server ended the connection. */
	get isRequestUnread(): boolean {
		return this.#isRequestUnread;
	}

	/** Call this before each request on the connection. */
	startAnswer(): void {
		this.#bytesBefore = this.#socket?.bytesRead ?? 0;
		this.#bodyBytes = 0;
		this.#clearHead();
	}

	/** Call this when an answer has ended and its connection is kept: its reader may have paused at the last part. */
	finishAnswer(): void {
		this.#isPaused = false;
		this.#releaseHead();
	}

	/** Call this for the bytes of the answer's body. What is received beyond them and is no body is limited. */
	recordBody(bytes: number): void {
		this.#bodyBytes += bytes;
	}

	/** Call this when the reader of the answer pauses: undici throws out of the event loop if a connection ends meanwhile. */
	pause(): void {
		this.#isPaused = true;
	}

	/** Resumes the reader of the answer, and ends the connection for it unless it pauses again. */
	resume(resumeReader: () => void): void {
		this.#isPaused = false;
		resumeReader();
		if (!this.#isPaused) {
			this.#emitEnd?.();
			this.#emitEnd = undefined;
		}
	}

	/** Watches a socket that has just connected, instead of the one before. Its listeners run before those of the HTTP client. */
	watch(socket: Socket): void {
		this.#socket = socket;
		this.#bytesBefore = 0;
		this.#bodyBytes = 0;
		this.#end = connectionEnds.open;
		this.#isRequestUnread = false;
		this.#isPaused = false;
		this.#emitEnd = undefined;
		this.#clearHead();
		this.#pauseEndEvent(socket);
		this.#measureHeads(socket);
		socket.prependListener('readable', () => {
			this.#checkOverhead(socket);
		});
		socket.prependListener('error', (error: NodeJS.ErrnoException) => {
			this.#end = connectionEnds.reset;
			if (error.code === resetCode) {
				error.code = watchedResetCode;
			}
		});
		socket.prependListener('end', () => {
			// After a reset the system no longer knows a peer, after an orderly close it does. Node.js keeps an address that it has read before.
			this.#end = socket.remoteAddress === undefined ? connectionEnds.reset : connectionEnds.closed;
			// The HTTP client destroys the socket before it reports the end of the answer.
			this.#isRequestUnread = socket.writableLength > 0;
		});
	}

	/** Closes a connection that sends a head, chunk extensions or trailers without an end. */
	#checkOverhead(socket: Socket): void {
		const overhead = socket.bytesRead - this.#bytesBefore - this.#bodyBytes;
		if (overhead > maxOverheadBytes + (this.#bodyBytes * maxChunkOverhead)) {
			socket.destroy(new HickorytrackError('ERR_HICKORYTRACK_ANSWER_UNREADABLE', `The answer has ${overhead} bytes beside its body`));
		}
	}

	/** Looks at the bytes of heads before the HTTP client does, which has no bound for the number of headers. */
	#measureHeads(socket: Socket): void {
		if (!this.#headBound) {
			return;
		}

		const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
		socket.read = (size?: number) => {
			const chunk = read(size);
			if (chunk === null || this.#socket !== socket) {
				return chunk;
			}

			this.#headMeter.read(chunk);
			if (this.#acquireHead()) {
				return chunk;
			}

			socket.destroy(new HickorytrackError('ERR_HICKORYTRACK_ANSWER_TOO_LARGE', `The head of the answer takes ${this.#headMeter.cost} bytes, and heads together may take ${this.#headBound!.limit}`));
			return null;
		};

		socket.once('close', () => {
			if (this.#socket === socket) {
				this.#releaseHead();
			}
		});
	}

	#acquireHead(): boolean {
		const {cost} = this.#headMeter;
		const bytes = cost > freeHeadBytes ? cost - this.#heldHeadBytes : 0;
		if (bytes > 0 && !this.#headBound!.acquire(bytes)) {
			return false;
		}

		this.#heldHeadBytes += bytes;
		return true;
	}

	#clearHead(): void {
		this.#releaseHead();
		this.#headMeter = new HeadMeter();
	}

	#releaseHead(): void {
		this.#headBound?.release(this.#heldHeadBytes);
		this.#heldHeadBytes = 0;
	}

	/** Holds the event back while the reader is paused. Half-open, the socket stays usable until then; undici closes it on the event. */
	#pauseEndEvent(socket: Socket): void {
		socket.allowHalfOpen = true;
		const emit = socket.emit.bind(socket) as (name: string | symbol, ...parameters: unknown[]) => boolean;
		socket.emit = (name: string | symbol, ...parameters: unknown[]) => {
			if (name !== 'end' || !this.#isPaused) {
				return emit(name, ...parameters);
			}

			this.#emitEnd = () => {
				emit(name);
			};

			return true;
		};
	}
}
