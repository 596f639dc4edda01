/** How the answer to a request proves that it is that request's own, and the report about an answer that does not. */
import type {ResponseHead} from './endpoint-client.js';

export type AnswerIdentity = {
	/** Id that the answer must bear. */
	readonly expectedId: string;
	/** Returns the id that an answer bears; undefined when it bears none. */
	readId(head: ResponseHead): string | undefined;
};

/** An answer that was read where the answer to a request was due, and is not that request's own. */
export type ForeignAnswer = {
	address: string;
	/** Kind of the call whose answer was due. */
	callKind: string;
	expectedId: string;
	receivedId: string | undefined;
	status: number;
	/** Complete exchanges that the connection had carried before; without any, the answer can't be a late one. */
	exchanges: number;
	/** The head was cut and goes on with that of another answer, so that its id proves nothing. */
	isJoined: boolean;
};

/** A late answer may end inside a value. The status line of the next answer is then the end of that value. */
const statusLinePattern = /HTTP\/1\.\d \d{3}(?: |$)/;

/** Tells whether a head contains the status line of another answer: in the reason of its status, or in a value. */
export function isJoinedHead({headers}: ResponseHead, reason: string | undefined): boolean {
	return statusLinePattern.test(reason ?? '') || Object.values(headers).flat().some(value => value !== undefined && statusLinePattern.test(value));
}
