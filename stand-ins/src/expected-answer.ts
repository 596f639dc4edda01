/** The answers of a model engine stand-in. The text is a function of the prompt alone, so a caller can verify it. */
import {createHash} from 'node:crypto';

const words = ['wall', 'plaza', 'report', 'crew', 'sheet', 'layer', 'markup', 'street', 'paint', 'chapel', 'public', 'private', 'panel', 'beam', 'note', 'draft'];
const wordsPerDigest = 32;

/** Generates the tokens of the answer to a prompt by index. */
export class AnswerSource {
	readonly #promptDigest: string;
	readonly #digests: Uint8Array[] = [];

	constructor(prompt: string) {
		this.#promptDigest = createHash('sha256').update(prompt).digest('hex');
	}

	getToken(index: number): string {
		const block = Math.floor(index / wordsPerDigest);
		this.#digests[block] ??= createHash('sha256').update(`${this.#promptDigest} ${block}`).digest();
		const byte = this.#digests[block][index % wordsPerDigest]!;
		return `${words[byte % words.length]!}${byte} `;
	}
}

/** Returns the complete answer to a prompt. */
export function computeExpectedAnswer(prompt: string, maxTokens: number): string {
	const source = new AnswerSource(prompt);
	return Array.from({length: maxTokens}, (_, index) => source.getToken(index)).join('');
}

/** Joins chat messages into the prompt text that the stand-in uses. */
export function joinChatMessages(messages: ReadonlyArray<{role: string; content: string}>): string {
	return messages.map(message => `${message.role}: ${message.content}`).join('\n');
}
