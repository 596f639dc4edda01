/** The prefix cache of a model engine stand-in: chained digests of text blocks, with LRU eviction. */
import {createHash} from 'node:crypto';

const blockCharacters = 1024;
const digestDigits = 16;

export type CacheEvent = {
	kind: 'stored' | 'evicted';
	block: string;
};

export class PrefixCache {
	readonly #maximumBlocks: number;
	readonly #blocks = new Set<string>();
	#events: CacheEvent[] = [];
	#firstEvent = 0;

	constructor(maximumBlocks: number) {
		this.#maximumBlocks = maximumBlocks;
	}

	/** Stores the blocks of a prompt and returns the number of leading characters that were already cached. */
	addPrompt(prompt: string): number {
		const blocks = this.#computeBlockDigests(prompt);
		const firstMiss = blocks.findIndex(block => !this.#blocks.has(block));
		const hits = firstMiss === -1 ? blocks.length : firstMiss;
		for (const block of blocks) {
			if (!this.#blocks.delete(block)) {
				this.#recordEvent({kind: 'stored', block});
			}

			this.#blocks.add(block);
		}

		this.#evict();
		return hits * blockCharacters;
	}

	clear(): void {
		this.#blocks.clear();
	}

	/** Returns the retained events from sequence number `since`. If `first` is greater than `since`, the events between were discarded. */
	listEvents(since: number): {first: number; next: number; events: CacheEvent[]} {
		const first = Math.max(since, this.#firstEvent);
		return {first, next: this.#firstEvent + this.#events.length, events: this.#events.slice(first - this.#firstEvent)};
	}

	#computeBlockDigests(prompt: string): string[] {
		const blocks: string[] = [];
		let previous = '';
		for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
			previous = createHash('sha1').update(previous).update(prompt.slice(start, start + blockCharacters)).digest('hex').slice(0, digestDigits);
			blocks.push(previous);
		}

		return blocks;
	}

	#evict(): void {
		while (this.#blocks.size > this.#maximumBlocks) {
			const oldest = this.#blocks.values().next().value!;
			this.#blocks.delete(oldest);
			this.#recordEvent({kind: 'evicted', block: oldest});
		}
	}

	#recordEvent(event: CacheEvent): void {
		this.#events.push(event);
		if (this.#events.length > 1000) {
			this.#events = this.#events.slice(500);
			this.#firstEvent += 500;
		}
	}
}
