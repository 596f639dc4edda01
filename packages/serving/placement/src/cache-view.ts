/**
 * What an entry believes about the prefix cache of one endpoint: blocks of prompt text by chained digest. The view is a
 * hint. It is fed by the entry's own submissions and by the endpoint's cache events, which come late and with gaps; a gap
 * empties the view, since it can no longer be trusted.
 */
import {createHash} from 'node:crypto';

/** Characters of prompt text in one block. */
export const blockCharacters = 1024;
const blockDigits = 16;
const learningRate = 0.1;
const leastConfidence = 0.1;

/** Returns the chained digests of the whole blocks of a prompt. */
export function computeBlockDigests(prompt: string, maximumBlocks = 256): string[] {
	const blocks: string[] = [];
	let previous = '';
	const count = Math.min(maximumBlocks, Math.floor(prompt.length / blockCharacters));
	for (let index = 0; index < count; index++) {
		const text = prompt.slice(index * blockCharacters, (index + 1) * blockCharacters);
		previous = createHash('sha1').update(previous).update(text).digest('hex').slice(0, blockDigits);
		blocks.push(previous);
	}

	return blocks;
}

export class CacheView {
	readonly #maximumBlocks: number;
	/** In order of last use. */
	readonly #blocks = new Set<string>();
	#nextEvent = 0;
	/** How much of what was expected in the cache was really there, over the last outcomes. */
	#confidence = 1;

	constructor(maximumBlocks = 4096) {
		this.#maximumBlocks = maximumBlocks;
	}

	get size(): number {
		return this.#blocks.size;
	}

	/** Returns the fraction of the blocks that lie in an unbroken run from the start. */
	computeHitFraction(blocks: readonly string[]): number {
		if (blocks.length === 0) {
			return 0;
		}

		const miss = blocks.findIndex(block => !this.#blocks.has(block));
		return (miss === -1 ? blocks.length : miss) / blocks.length * this.#confidence;
	}

	/** Learns from an answer how far the view can be trusted; both numbers are tokens. */
	updateConfidence(expected: number, actual: number): void {
		if (expected > 0) {
			this.#confidence += (Math.min(1, actual / expected) - this.#confidence) * learningRate;
			this.#confidence = Math.max(leastConfidence, this.#confidence);
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

	/** Takes a page of events; a gap before it empties the view first. */
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
