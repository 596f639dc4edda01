/**
 * Forwards a stream of events to a caller. Another server can resume the stream after the last complete event, and the response
 * ends only by the verdict on the server's answer.
 *
 * The system closes the connections of a process that has ended in order, which ends a response without chunks. So the
 * terminator of the last event of such a response is held back until the next event or the end: what the caller has ends inside
 * an event, which shows the break.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Clock} from '@hickorytrack/clock';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {answerFramings, findFraming} from '@hickorytrack/http-answer/answer-framing';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import {breakOff} from '@hickorytrack/lingering-close/break-off';
import {writeUndelimitedHead} from '../front/responses.js';
import {findLastEventId} from './find-last-event-id.js';

const terminatorBytes = 2; // An empty line, or its CR and LF.

/** Receives the events of a stream. */
export type EventSink = {
	open(head: ResponseHead): void;
	/** Returns false when no more events should come until the sink has drained. */
	write(events: Buffer): boolean;
	onDrain(listener: () => void): void;
};

export class EventRelay implements EventSink {
	/** Id of the last event that was forwarded. */
	lastEventId: string | undefined;
	/** Monotonic time at which it was forwarded, in milliseconds. */
	lastEventAt: number | undefined;
	readonly #response: ServerResponse;
	readonly #clock: Clock;
	readonly #isResumable: boolean;
	/** The first server delimits its answer by its connection alone. */
	#isDelimitedByConnection = false;
	/** A server broke off inside an event behind the last one, so that there is more to come. */
	#isEventOpen = false;
	/** The terminator of the last event of a response without chunks. */
	#heldBytes = Buffer.alloc(0);

	/** `isResumable`: a server may be asked for what comes behind the last event. */
	constructor(response: ServerResponse, opts: {clock: Clock; isResumable: boolean}) {
		this.#response = response;
		this.#clock = opts.clock;
		this.#isResumable = opts.isResumable;
	}

	get isOpen(): boolean {
		return this.#response.headersSent;
	}

	/** Sends the response head of the first server; the heads of later servers are dropped. */
	open(head: ResponseHead): void {
		if (this.isOpen || this.#response.destroyed) {
			return;
		}

		this.#isDelimitedByConnection = findFraming(head) === answerFramings.connection;
		writeUndelimitedHead(this.#response, head);
		// A head without an event would look like an empty stream.
		if (this.#response.chunkedEncoding) {
			this.#response.flushHeaders();
		}
	}

	/** Forwards complete events. Returns false when the caller reads more slowly than the server writes. */
	write(events: Buffer): boolean {
		this.lastEventId = findLastEventId(events) ?? this.lastEventId;
		this.lastEventAt = this.#clock.monotonic();
		this.#isEventOpen = false;
		return this.#response.destroyed || this.#response.write(this.#holdTerminator(events));
	}

	/** Call this when a server has broken off, with what it has sent. */
	recordBreak({heldBytes}: ReceivedAnswer): void {
		this.#isEventOpen = heldBytes > 0;
	}

	/**
	 * Tells whether the response may end with such an answer, whose server runs if the verdict is unknown. An empty answer of a
	 * server that was asked to go on may as well be a failure, and is one if an event is missing. If the first server delimited its
	 * answer, one of unknown end ends the stream only if no server may be asked for more.
	 */
	canEnd({verdict, bodyBytes}: ReceivedAnswer): boolean {
		if (this.#isEventOpen) {
			return false;
		}

		const isEmptyContinuation = bodyBytes === 0 && this.lastEventId !== undefined;
		const isExpectedEnd = this.#isDelimitedByConnection || !this.#isResumable;
		return verdict === answerVerdicts.whole || (verdict === answerVerdicts.unknown && isExpectedEnd && !isEmptyContinuation);
	}

	/**
	 * Ends the response after the last server has ended its answer. Returns false, and leaves the response open, when that would
	 * declare a stream complete whose completeness can't be told.
	 */
	finish(answer: ReceivedAnswer): boolean {
		if (!this.canEnd(answer)) {
			return false;
		}

		this.#response.end(this.#heldBytes);
		return true;
	}

	/** Breaks the connection, so that the truncated stream does not look complete. Its events are complete, because a reset shows the break. */
	abort(): void {
		this.#response.flushHeaders();
		if (this.#heldBytes.length > 0) {
			this.#response.write(this.#heldBytes);
		}

		breakOff(this.#response, this.#clock);
	}

	onDrain(listener: () => void): void {
		this.#response.once('drain', listener);
	}

	/** Returns the bytes to be sent now: those held back before and these, without the last terminator if chunks don't show a break. */
	#holdTerminator(events: Buffer): Buffer {
		if (this.#response.chunkedEncoding) {
			return events;
		}

		const bytes = Buffer.concat([this.#heldBytes, events]);
		this.#heldBytes = bytes.subarray(-terminatorBytes);
		return bytes.subarray(0, -terminatorBytes);
	}
}
