/**
 * The connections of callers. Bytes that are no request get a status only while no call of their connection runs: its
 * caller would take that status for the answer to the call, so the connection closes after the answer instead.
 */
import {
	STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {LingeringClose} from './lingering-close.js';
import {onClosed} from './on-closed.js';

/** Status by the error code of the HTTP parser; any other error is a bad request. */
const statuses: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_HEADER_OVERFLOW: 431,
};
const badRequestStatus = 400;

type OpenCall = {request: IncomingMessage; response: ServerResponse; closesConnection: boolean};

export class CallerConnections {
	readonly #openCalls = new WeakMap<Socket, Set<OpenCall>>();
	readonly #closing = new WeakSet<Socket>();

	readonly #closes: LingeringClose;

	constructor(server: Server, closes: LingeringClose) {
		this.#closes = closes;
		server.on('timeout', (socket: Socket) => {
			closes.end(socket);
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#handleError(error, socket as Socket);
		});
	}

	/** Returns whether further calls of the connection are read. */
	recordCall(request: IncomingMessage, response: ServerResponse): boolean {
		const {socket} = request;
		const calls = this.#openCalls.get(socket) ?? new Set();
		const hasAnnouncedClose = [...calls].some(call => call.closesConnection && call.response.headersSent);
		if (this.#closing.has(socket) || socket.writableEnded || hasAnnouncedClose) {
			return false;
		}

		this.#openCalls.set(socket, calls);
		const call = {request, response, closesConnection: false};
		calls.add(call);
		onClosed(response, () => {
			calls.delete(call);
		});
		return true;
	}

	/** Waits for the answers to the earlier calls of the connection. Returns false if one of them has ended it: the call can't be answered. */
	async waitForEarlier({socket}: IncomingMessage, response: ServerResponse): Promise<boolean> {
		for (let earlier = this.#findEarlier(socket, response); earlier; earlier = this.#findEarlier(socket, response)) {
			const {response: open} = earlier;
			await new Promise<void>(resolve => {
				onClosed(open, resolve);
			});
		}

		return !socket.destroyed && !socket.writableEnded;
	}

	#findEarlier(socket: Socket, response: ServerResponse): OpenCall | undefined {
		const calls = [...this.#openCalls.get(socket) ?? []];
		return calls[calls.findIndex(call => call.response === response) - 1];
	}

	/** Lets the connection close after the response, unless further calls wait behind it: the last response says it then. */
	announceClose({socket}: IncomingMessage, response: ServerResponse): void {
		const calls = [...this.#openCalls.get(socket) ?? []];
		const last = calls.pop();
		if (last?.response !== response) {
			return;
		}

		for (const earlier of calls) {
			if (earlier.closesConnection && !earlier.response.headersSent && earlier.response.shouldKeepAlive) {
				earlier.closesConnection = false;
				earlier.response.setHeader('connection', 'keep-alive');
			}
		}

		last.closesConnection = true;
		response.setHeader('connection', 'close');
	}

	#handleError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (this.#closes.has(socket)) {
			return;
		}

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
