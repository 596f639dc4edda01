/** How an answer says where it ends, and what was received of it. */
import type {ResponseHead} from './endpoint-client.js';

export const answerFramings = {
	/** The answer has no body, whatever its headers say. */
	noBody: 'no-body',
	length: 'length',
	chunks: 'chunks',
	/** Only the end of the connection ends the answer, so a truncated body shows no sign of it. */
	connection: 'connection',
} as const;
export type AnswerFraming = typeof answerFramings[keyof typeof answerFramings];

/** How the server's side of a connection ended. */
export const connectionEnds = {open: 'open', closed: 'closed', reset: 'reset'} as const;
export type ConnectionEnd = typeof connectionEnds[keyof typeof connectionEnds];

/** What was received of an answer when it ended or broke off. */
export type ReceivedAnswer = {
	framing: AnswerFraming;
	bodyBytes: number;
	connectionEnd: ConnectionEnd;
};

const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

export function findFraming({status, headers}: ResponseHead, method: string): AnswerFraming {
	if (method === 'HEAD' || bodylessStatuses.has(status)) {
		return answerFramings.noBody;
	}

	if (headers['transfer-encoding'] !== undefined) {
		return answerFramings.chunks;
	}

	return headers['content-length'] === undefined ? answerFramings.connection : answerFramings.length;
}
