/** What a model engine stand-in answers: a text that follows from the prompt alone, so that anyone can check it. */
import {createHash} from 'node:crypto';

const words = ['wall', 'plaza', 'report', 'crew', 'sheet', 'layer', 'markup', 'street', 'paint', 'chapel', 'public', 'private', 'panel', 'beam', 'note', 'draft'];
const wordsPerDigest = 32;

/** Produces the tokens of the answer to a prompt, one at a time. */
export class AnswerSource {
	readonly #prompt: string;
	readonly #digests: Uint8Array[] = [];

	constructor(prompt: string) {
		this.#prompt = createHash('sha256').update(prompt).digest('hex');
	}

	getToken(index: number): string {
		const block = Math.floor(index / wordsPerDigest);
		this.#digests[block] ??= createHash('sha256').update(`${this.#prompt} ${block}`).digest();
		const byte = this.#digests[block][index % wordsPerDigest]!;
		return `${words[byte % words.length]!}${byte} `;
	}
}

/** Returns the whole answer to a prompt. */
export function computeExpectedAnswer(prompt: string, maxTokens: number): string {
	const source = new AnswerSource(prompt);
	return Array.from({length: maxTokens}, (_, index) => source.getToken(index)).join('');
}

/** Joins chat messages as the stand-in reads them. */
export function joinChatMessages(messages: ReadonlyArray<{role: string; content: string}>): string {
	return messages.map(message => `${message.role}: ${message.content}`).join('\n');
}
