/**
 * Reads one answer and decides whether it is whole. The decision is made here, once, before anything above acts on the end of
 * an answer: from its framing, the end of its connection and its format.
 */
import type {Buffer} from 'node:buffer';
import {
	answerFramings, findFraming, type AnswerFraming, type AnswerHead,
} from './answer-framing.js';
import {createBodyFormat, type BodyFormat} from './body-format.js';
import {connectionEnds, type ConnectionEnd} from './connection-watch.js';

export const answerVerdicts = {
	/** The framing shows that all of the answer has arrived. */
	whole: 'whole',
	brokenOff: 'broken-off',
	/** The connection ended the answer, and nothing shows whether it was complete. */
	unknown: 'unknown',
} as const;
export type AnswerVerdict = typeof answerVerdicts[keyof typeof answerVerdicts];

/** What was received of an answer when it ended or broke off. */
export type ReceivedAnswer = {
	framing: AnswerFraming;
	verdict: AnswerVerdict;
	bodyBytes: number;
	/** Bytes behind the last complete unit of the body's format. */
	heldBytes: number;
	connectionEnd: ConnectionEnd;
};

export class AnswerReader {
	readonly framing: AnswerFraming;
	readonly #format: BodyFormat;
	readonly #mayBeEmpty: boolean;
	#bodyBytes = 0;

	/** `mayBeEmpty`: the answer goes on with an earlier one and may have nothing left to send. */
	constructor(head: AnswerHead, opts: {method: string; mayBeEmpty?: boolean}) {
		this.#mayBeEmpty = opts.mayBeEmpty ?? false;
		this.framing = findFraming(head, opts.method);
		this.#format = createBodyFormat(head.headers['content-type']);
	}

	get heldBytes(): number {
		return this.#format.heldBytes;
	}

	/** Takes the next bytes of the body and returns those that may be released. */
	read(chunk: Buffer): Buffer {
		this.#bodyBytes += chunk.length;
		return this.#format.read(chunk);
	}

	/** Returns the bytes that were held back from a whole answer. */
	finish(): Buffer {
		return this.#format.finish();
	}

	/**
	 * Describes an answer whose end was reported. `isRequestUnread`: a part of the request has not left this process, so a server
	 * that ended the connection has given up rather than answered.
	 */
	describeEnd(connectionEnd: ConnectionEnd, {isRequestUnread = false}: {isRequestUnread?: boolean} = {}): ReceivedAnswer {
		return this.#describe(connectionEnd, this.#resolveVerdict(connectionEnd, isRequestUnread));
	}

	/** Describes an answer that failed before its end. */
	describeFailure(connectionEnd: ConnectionEnd): ReceivedAnswer {
		return this.#describe(connectionEnd, answerVerdicts.brokenOff);
	}

	#describe(connectionEnd: ConnectionEnd, verdict: AnswerVerdict): ReceivedAnswer {
		return {
			framing: this.framing, verdict, bodyBytes: this.#bodyBytes, heldBytes: this.heldBytes, connectionEnd,
		};
	}

	#resolveVerdict(connectionEnd: ConnectionEnd, isRequestUnread: boolean): AnswerVerdict {
		if (this.framing === answerFramings.noBody) {
			return answerVerdicts.whole;
		}

		if (this.#format.isInsideUnit) {
			return answerVerdicts.brokenOff;
		}

		if (this.framing !== answerFramings.connection) {
			return answerVerdicts.whole;
		}

		const isCutBefore = this.#format.isWithoutUnit && !this.#mayBeEmpty;
		return connectionEnd === connectionEnds.reset || isRequestUnread || isCutBefore ? answerVerdicts.brokenOff : answerVerdicts.unknown;
	}
}
