/**
 * An entry's view of the prefix cache of one endpoint: the chained digests of the cached blocks of prompt text. The view
 * is an estimate and may be wrong. It is updated from the entry's own submissions and from the endpoint's cache events,
 * which arrive late and with gaps. A gap clears the view, because blocks may have been evicted unnoticed.
 */
import {createHash} from 'node:crypto';

/** Length of a block of prompt text in characters. */
export const blockCharacters = 1024;
const blockDigestHexDigits = 16;
const confidenceLearningRate = 0.1;
const minimumConfidence = 0.1;

/** Returns the chained digests of the complete blocks of a prompt. */
export function computeBlockDigests(prompt: string, maximumBlocks = 256): string[] {
	const blocks: string[] = [];
	let previous = '';
	const count = Math.min(maximumBlocks, Math.floor(prompt.length / blockCharacters));
	for (let index = 0; index < count; index++) {
		const text = prompt.slice(index * blockCharacters, (index + 1) * blockCharacters);
		previous = createHash('sha1').update(previous).update(text).digest('hex').slice(0, blockDigestHexDigits);
		blocks.push(previous);
	}

	return blocks;
}

export class CacheView {
	readonly #maximumBlocks: number;
	/** Ordered by last use, least recently used first. */
	readonly #blocks = new Set<string>();
	#nextEvent = 0;
	/** Moving average of the actual cache hits as a fraction of the expected ones. */
	#confidence = 1;

	constructor(maximumBlocks = 4096) {
		this.#maximumBlocks = maximumBlocks;
	}

	get size(): number {
		return this.#blocks.size;
	}

	/**
	 * Returns the expected fraction of the blocks that hit the cache: the cached prefix, weighted by the confidence.
	 */
	computeHitFraction(blocks: readonly string[]): number {
		if (blocks.length === 0) {
			return 0;
		}

		const miss = blocks.findIndex(block => !this.#blocks.has(block));
		return (miss === -1 ? blocks.length : miss) / blocks.length * this.#confidence;
	}

	/** Updates the confidence from the expected and the actual number of cached tokens of an answered request. */
	updateConfidence(expectedTokens: number, actualTokens: number): void {
		if (expectedTokens > 0) {
			this.#confidence += (Math.min(1, actualTokens / expectedTokens) - this.#confidence) * confidenceLearningRate;
			this.#confidence = Math.max(minimumConfidence, this.#confidence);
		}
	}

	addBlocks(blocks: readonly string[]): void {
		for (const block of blocks) {
			this.#blocks.delete(block);
			this.#blocks.add(block);
		}

		while (this.#blocks.size > this.#maximumBlocks) {
			this.#blocks.delete(this.#blocks.values().next().value!);
		}
	}

	/** Applies a page of cache events. A gap before the page clears the view first. */
	applyEvents(page: {first: number; next: number; events: ReadonlyArray<{kind: 'stored' | 'evicted'; block: string}>}): void {
		if (page.first > this.#nextEvent) {
			this.#blocks.clear();
		}

		this.#nextEvent = Math.max(this.#nextEvent, page.next);
		for (const event of page.events) {
			if (event.kind === 'stored') {
				this.addBlocks([event.block]);
			} else {
				this.#blocks.delete(event.block);
			}
		}
	}

	clear(): void {
		this.#blocks.clear();
	}
}
