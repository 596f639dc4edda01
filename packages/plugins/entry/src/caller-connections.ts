/**
 * The connections of callers. Bytes that are no request get a status only while no call of their connection runs: its
 * caller would take that status for the answer to the call, so the connection closes after the answer instead.
 */
import {
	STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

/** Status by the error code of the HTTP parser; any other error is a bad request. */
const statuses: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_HEADER_OVERFLOW: 431,
};
const badRequestStatus = 400;

type OpenCall = {request: IncomingMessage; response: ServerResponse};

export class CallerConnections {
	readonly #openCalls = new WeakMap<Socket, Set<OpenCall>>();
	readonly #closing = new WeakSet<Socket>();

	constructor(server: Server) {
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#handleError(error, socket as Socket);
		});
	}

	/** Returns whether further calls of the connection are read. */
	recordCall(request: IncomingMessage, response: ServerResponse): boolean {
		const {socket} = request;
		if (this.#closing.has(socket)) {
			return false;
		}

		const calls = this.#openCalls.get(socket) ?? new Set();
		this.#openCalls.set(socket, calls);
		const call = {request, response};
		calls.add(call);
		response.once('close', () => {
			calls.delete(call);
		});
		return true;
	}

	#handleError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable) {
			socket.destroy(error);
			return;
		}

		if (this.#closing.has(socket)) {
			return;
		}

		this.#closing.add(socket);
		const call = [...this.#openCalls.get(socket) ?? []].findLast(({request}) => request.complete);
		if (!call) {
			const status = statuses[error.code ?? ''] ?? badRequestStatus;
			socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
			socket.destroySoon();
			return;
		}

		call.response.once('close', () => {
			socket.destroySoon();
		});
		if (!call.response.headersSent) {
			call.response.setHeader('connection', 'close');
		}
	}
}
