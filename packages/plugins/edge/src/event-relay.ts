/**
 * Forwards a stream of events to a caller, complete events only. A server that fails in the middle of an event leaves no
 * partial event at the caller, and another server can resume the stream after the last complete one.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {removeHopByHopHeaders} from './responses.js';

const newline = 0x0A;
const carriageReturn = 0x0D;
const idPattern = /^id: ?(.*)$/m;

export class EventRelay {
	/** Id of the last event that was forwarded. */
	lastEventId: string | undefined;
	readonly #response: ServerResponse;
	#pending: Buffer = Buffer.alloc(0);

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	get isOpen(): boolean {
		return this.#response.headersSent;
	}

	/** Bytes behind the last complete event. */
	get unfinishedBytes(): number {
		return this.#pending.length;
	}

	/** Sends the response head of the first server; the heads of later servers are dropped. */
	open(head: ResponseHead): void {
		if (this.isOpen || this.#response.destroyed) {
			return;
		}

		const headers = removeHopByHopHeaders(head.headers);
		delete headers['content-length'];
		this.#response.writeHead(head.status, headers);
		this.#response.flushHeaders();
	}

	/** Forwards the complete events. Returns false when the caller reads more slowly than the server writes. */
	write(chunk: Buffer): boolean {
		const bytes = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		const end = findLastEventEnd(bytes);
		this.#pending = bytes.subarray(end);
		return end === 0 || this.#writeEvents(bytes.subarray(0, end));
	}

	/** Drops the partial event that a failed server left in the buffer. */
	clearPartialEvent(): void {
		this.#pending = Buffer.alloc(0);
	}

	/** Ends the response after the server has completed the stream. */
	finish(): void {
		this.#response.end(this.#pending.length > 0 ? this.#pending : undefined);
	}

	/** Destroys the connection, so that the truncated stream does not look complete. */
	abort(): void {
		this.#response.destroy();
	}

	onDrain(listener: () => void): void {
		this.#response.once('drain', listener);
	}

	#writeEvents(bytes: Buffer): boolean {
		const id = idPattern.exec(findLastEvent(bytes.toString('latin1')))?.[1];
		this.lastEventId = id ?? this.lastEventId;
		return this.#response.destroyed || this.#response.write(bytes);
	}
}

/** Returns the offset after the last empty line, which ends an event. */
function findLastEventEnd(bytes: Buffer): number {
	for (let end = bytes.length; end >= 2; end--) {
		if (bytes[end - 1] !== newline) {
			continue;
		}

		if (bytes[end - 2] === newline || (bytes[end - 2] === carriageReturn && bytes[end - 3] === newline)) {
			return end;
		}
	}

	return 0;
}

function findLastEvent(text: string): string {
	const body = text.trimEnd();
	const start = Math.max(body.lastIndexOf('\n\n'), body.lastIndexOf('\n\r\n'));
	return body.slice(start + 1);
}
