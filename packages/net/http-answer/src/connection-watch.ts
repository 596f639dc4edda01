/**
 * Watches how the server ends a connection. The HTTP client completes a body without a length also when the connection was
 * reset, and Node.js reports a reset that arrives together with data as an orderly close.
 */
import type {Socket} from 'node:net';

/** How the server's side of a connection ended. */
export const connectionEnds = {open: 'open', closed: 'closed', reset: 'reset'} as const;
export type ConnectionEnd = typeof connectionEnds[keyof typeof connectionEnds];

const resetCode = 'ECONNRESET';
/** Undici ends a body without a length on the code of a reset; with another one it fails the request. */
const watchedResetCode = 'ERR_HICKORYTRACK_CONNECTION_RESET';

export class ConnectionWatch {
	#end: ConnectionEnd = connectionEnds.open;
	#isPaused = false;
	/** Emits the end of the connection, which came while the reader was paused. */
	#emitEnd: (() => void) | undefined;

	get end(): ConnectionEnd {
		return this.#end;
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
		this.#end = connectionEnds.open;
		this.#isPaused = false;
		this.#emitEnd = undefined;
		this.#holdEnd(socket);
		socket.prependListener('error', (error: NodeJS.ErrnoException) => {
			this.#end = connectionEnds.reset;
			if (error.code === resetCode) {
				error.code = watchedResetCode;
			}
		});
		socket.prependListener('end', () => {
			// After a reset the system no longer knows a peer, after an orderly close it does. Node.js keeps an address that it has read before.
			this.#end = socket.remoteAddress === undefined ? connectionEnds.reset : connectionEnds.closed;
		});
	}

	/** Holds the event back while the reader is paused. Half-open, the socket stays usable until then; undici closes it on the event. */
	#holdEnd(socket: Socket): void {
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
