/** How an HTTP answer says where it ends. */

export type AnswerHead = {
	status: number;
	/** Names are in lower case; a repeated header has an array of values. */
	headers: Record<string, string | string[] | undefined>;
};

export const answerFramings = {
	/** The answer has no body, whatever its headers say. */
	noBody: 'no-body',
	length: 'length',
	chunks: 'chunks',
	/** Only the end of the connection ends the answer, so a truncated body shows no sign of it. */
	connection: 'connection',
} as const;
export type AnswerFraming = typeof answerFramings[keyof typeof answerFramings];

/** Lower statuses are informational: the final answer follows. */
export const firstFinalStatus = 200;
const minStatus = 100;
const maxStatus = 599;

const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);
const chunkedPattern = /(?:^|,)\s*chunked\s*$/i;

/** Returns the framing of the answer to a request with this method. */
export function findFraming({status, headers}: AnswerHead, method?: string): AnswerFraming {
	if (method === 'HEAD' || bodylessStatuses.has(status)) {
		return answerFramings.noBody;
	}

	const transferEncoding = headers['transfer-encoding'];
	if (transferEncoding !== undefined) {
		// With another coding after the chunks, only the end of the connection ends the body.
		return chunkedPattern.test(String(transferEncoding)) ? answerFramings.chunks : answerFramings.connection;
	}

	return headers['content-length'] === undefined ? answerFramings.connection : answerFramings.length;
}

/** Tells whether the protocol knows the status. An answer with another one is no answer: nobody can say what it means. */
export function isValidStatus(status: number): boolean {
	return status >= minStatus && status <= maxStatus;
}
