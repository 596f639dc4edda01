/** Watches how the server ends a connection. The HTTP client completes a body without a length also when a reset ended it. */
import type {Socket} from 'node:net';

/** How the server's side of a connection ended. */
export const connectionEnds = {open: 'open', closed: 'closed', reset: 'reset'} as const;
export type ConnectionEnd = typeof connectionEnds[keyof typeof connectionEnds];

export class ConnectionWatch {
	#end: ConnectionEnd = connectionEnds.open;

	get end(): ConnectionEnd {
		return this.#end;
	}

	/** Watches a socket that has just connected, instead of the one before. Its listeners run before those of the HTTP client. */
	watch(socket: Socket): void {
		this.#end = connectionEnds.open;
		socket.prependListener('error', () => {
			this.#end = connectionEnds.reset;
		});
		socket.prependListener('end', () => {
			this.#end = connectionEnds.closed;
		});
	}
}
