/** Sends the answers of a server, regular ones and those of a server that misbehaves. */
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {
	countEvents, createEvent, createPlainBody, createStamp,
} from './expected-body.js';
import {formatChunk, formatMessage, type HttpMessage} from './http-message-reader.js';
import type {ServerChannel} from './server-channel.js';
import type {ServerFault} from './server-faults.js';
import type {ServerOperations} from './server-operations.js';

export type Arrival = {
	message: HttpMessage;
	path: string;
	requestId: string;
	/** Counts the arrivals of one start of the server. */
	number: number;
	deadlineAt: number;
};

export type ServerAnswersOptions = {
	clock: Clock;
	random: Random;
	faults: ReadonlySet<string>;
	operations: ServerOperations;
	crash: () => void;
};

const maxEventMs = 8;
const closeRate = 0.02;
/** A truncated stream lacks the end of its last event. */
const truncatedCharacters = 8;

export class ServerAnswers {
	readonly #opts: ServerAnswersOptions;

	constructor(opts: ServerAnswersOptions) {
		this.#opts = opts;
	}

	send(channel: ServerChannel, {requestId}: Arrival, {status, headers, body}: {status: number; headers: Record<string, string>; body: string}): void {
		const isLast = this.#opts.faults.has('idle-close') && this.#opts.random.next() < closeRate;
		channel.send(formatMessage(`HTTP/1.1 ${status} Status`, {'x-request-id': requestId, ...headers, ...(isLast ? {connection: 'close'} : {})}, body));
		if (isLast) {
			channel.end();
		} else {
			channel.finish();
		}
	}

	async sendEvents(channel: ServerChannel, {message, path, requestId}: Arrival, fault: ServerFault | undefined): Promise<void> {
		const {clock, random, operations} = this.#opts;
		const count = countEvents(path);
		const first = Number(message.headers['last-event-id'] ?? 0) + 1;
		const backup = message.headers['x-kv-backup'];
		channel.send(formatMessage('HTTP/1.1 200 OK', {
			'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked',
		}));
		for (let event = first; event <= count && !channel.signal.aborted; event++) {
			const text = createEvent(requestId, event, count);
			if (fault === 'truncated' && event === count) {
				channel.send(formatChunk(text.slice(0, -truncatedCharacters)));
				channel.reset();
				return;
			}

			channel.send(formatChunk(text));
			if (backup !== undefined) {
				void operations.copyKv(backup, requestId);
			}

			await clock.sleep(random.nextBetween(1, maxEventMs));
		}

		channel.send(formatChunk(''));
		channel.finish();
	}

	/** Returns true if the request gets no regular answer. */
	applyFault(channel: ServerChannel, {message, path, requestId}: Arrival, fault: ServerFault | undefined): boolean {
		switch (fault) {
			case 'crash': {
				this.#opts.crash();
				return true;
			}

			case 'lost': {
				channel.reset();
				return true;
			}

			case 'silent': {
				return true;
			}

			case 'garbage': {
				channel.send(`${requestId} is no answer\r\n\r\n`);
				channel.end();
				return true;
			}

			case 'truncated': {
				// A stream is truncated while it is sent.
				if (this.#opts.operations.stage !== undefined && message.headers['x-stage'] !== 'prefill') {
					return false;
				}

				const body = createPlainBody(requestId, path);
				channel.send(formatMessage('HTTP/1.1 200 OK', {'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path), 'content-length': String(body.length)}, body.slice(0, body.length / 2)));
				channel.end();
				return true;
			}

			default: {
				return false;
			}
		}
	}
}
