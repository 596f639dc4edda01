/**
 * Bounds what the heads of requests that are not complete cost together at an HTTP server. Node.js parses them by itself and
 * bounds each of them only, so the bytes of the connections without an open request are looked at from time to time. When they
 * exceed the bound, the connection whose head costs most goes first.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';

export type OpenHeadsOptions = {
	clock: Clock;
	/** Most memory for heads that are not complete, in bytes. */
	limit: number;
	/** Most bytes of one head. */
	maxHeadBytes: number;
	/** Called for each connection that has to go; its head is not complete. */
	onEnd: (socket: Socket) => void;
};

type OpenHead = {
	/** Requests that are not complete or whose responses are not. */
	requests: number;
	/** Bytes that had been received up to the end of the last request and response. */
	bytesBefore: number;
};

/** Memory of the strings that Node.js makes of a head, for each byte of the shortest ones. */
const stringBytes = 9;
/** Node.js keeps 2,000 headers of a head; a name and a value have 32 bytes each at least. */
const maxStringBytes = 2000 * 64;
const checkIntervalMs = 100;

export class OpenHeads {
	readonly #opts: OpenHeadsOptions;
	readonly #heads = new Map<Socket, OpenHead>();
	/** Number of connections whose heads can't exceed the limit. */
	readonly #safeCount: number;
	#addedCount = 0;
	#isChecking = false;

	constructor(opts: OpenHeadsOptions) {
		this.#opts = opts;
		this.#safeCount = Math.floor(opts.limit / estimateCost(opts.maxHeadBytes));
	}

	/** Watches the connections that a server accepts from now on. Its other listeners for requests have been added before. */
	watch(server: Server): void {
		server.on('connection', (socket: Socket) => {
			this.#add(socket);
		});
		for (const name of ['request', 'checkExpectation'] as const) {
			if (name === 'request' || server.listenerCount(name) > 0) {
				server.prependListener(name, (request: IncomingMessage, response: ServerResponse) => {
					this.#recordRequest(request, response);
				});
			}
		}
	}

	#add(socket: Socket): void {
		this.#heads.set(socket, {requests: 0, bytesBefore: 0});
		socket.once('close', () => {
			this.#heads.delete(socket);
		});
		this.#addedCount++;
		if (this.#heads.size <= this.#safeCount) {
			return;
		}

		// New connections may come faster than the timer.
		if (this.#addedCount > this.#safeCount) {
			this.#check();
		}

		this.#startTimer();
	}

	#recordRequest(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const head = this.#heads.get(socket);
		if (head) {
			head.requests++;
			let openSides = 2;
			const finish = () => {
				openSides--;
				if (openSides === 0) {
					head.requests--;
					head.bytesBefore = socket.bytesRead;
				}
			};

			// The rest of a body may come behind an early response.
			request.once('close', finish);
			response.once('close', finish);
		}
	}

	#startTimer(): void {
		if (!this.#isChecking) {
			this.#isChecking = true;
			this.#opts.clock.startTimer(checkIntervalMs, () => {
				this.#isChecking = false;
				this.#check();
				if (this.#heads.size > this.#safeCount) {
					this.#startTimer();
				}
			});
		}
	}

	#check(): void {
		this.#addedCount = 0;
		const costs: Array<{socket: Socket; cost: number}> = [];
		let sum = 0;
		for (const [socket, {requests, bytesBefore}] of this.#heads) {
			// What arrives behind the end of this side is discarded.
			const bytes = requests === 0 && !socket.writableEnded ? socket.bytesRead - bytesBefore : 0;
			if (bytes > 0) {
				const cost = estimateCost(bytes);
				costs.push({socket, cost});
				sum += cost;
			}
		}

		if (sum <= this.#opts.limit) {
			return;
		}

		costs.sort((a, b) => b.cost - a.cost);
		for (const {socket, cost} of costs) {
			if (sum <= this.#opts.limit) {
				break;
			}

			sum -= cost;
			this.#heads.delete(socket);
			this.#opts.onEnd(socket);
		}
	}
}

function estimateCost(bytes: number): number {
	return bytes + Math.min(maxStringBytes, bytes * stringBytes);
}
