/**
 * Forwards a stream of events to a caller. It gets complete events only, so that another server can resume the stream after
 * the last one, and it ends the response only by the verdict on the server's answer.
 */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Clock} from '@hickorytrack/clock';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {answerFramings, findFraming} from '@hickorytrack/http-answer/answer-framing';
import {answerVerdicts, type ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import {breakOff, writeUndelimitedHead} from './responses.js';

const idPattern = /^id: ?(.*)$/m;

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
	readonly #response: ServerResponse;
	readonly #clock: Clock;
	/** The caller gets the stream as the first server sent it: with neither a length nor chunks, its connection ends it. */
	#isDelimitedByConnection = false;
	/** A server broke off inside an event behind the last one, so that there is more to come. */
	#isEventOpen = false;

	constructor(response: ServerResponse, opts: {clock: Clock}) {
		this.#response = response;
		this.#clock = opts.clock;
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
		this.#response.flushHeaders();
	}

	/** Forwards complete events. Returns false when the caller reads more slowly than the server writes. */
	write(events: Buffer): boolean {
		const id = idPattern.exec(findLastEvent(events.toString('latin1')))?.[1];
		this.lastEventId = id ?? this.lastEventId;
		this.#isEventOpen = false;
		return this.#response.destroyed || this.#response.write(events);
	}

	/** Call this when a server has broken off, with what it has sent. */
	recordBreak({heldBytes}: ReceivedAnswer): void {
		this.#isEventOpen = heldBytes > 0;
	}

	/**
	 * Tells whether the response may end with such an answer: not when that would declare complete what can't be told. An empty
	 * answer of a server that was asked to go on may as well be a failure, and is one if an event is missing.
	 */
	canEnd({verdict, bodyBytes}: ReceivedAnswer): boolean {
		if (this.#isEventOpen) {
			return false;
		}

		const isEmptyContinuation = bodyBytes === 0 && this.lastEventId !== undefined;
		return verdict === answerVerdicts.whole || (verdict === answerVerdicts.unknown && this.#isDelimitedByConnection && !isEmptyContinuation);
	}

	/**
	 * Ends the response after the last server has ended its answer. Returns false, and leaves the response open, when that would
	 * declare a stream complete whose completeness can't be told.
	 */
	finish(answer: ReceivedAnswer): boolean {
		if (!this.canEnd(answer)) {
			return false;
		}

		this.#response.end();
		return true;
	}

	/** Breaks the connection, so that the truncated stream does not look complete. */
	abort(): void {
		breakOff(this.#response, this.#clock);
	}

	onDrain(listener: () => void): void {
		this.#response.once('drain', listener);
	}
}

function findLastEvent(text: string): string {
	const body = text.trimEnd();
	const start = Math.max(body.lastIndexOf('\n\n'), body.lastIndexOf('\n\r\n'));
	return body.slice(start + 1);
}
