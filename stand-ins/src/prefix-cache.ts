/** The prefix cache of a model engine stand-in: chained digests of blocks of text, least recently used dropped first. */
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

	/** Looks a prompt up, stores it, and returns the number of its characters that were there. */
	addPrompt(prompt: string): number {
		const blocks = this.#digest(prompt);
		const miss = blocks.findIndex(block => !this.#blocks.has(block));
		const hits = miss === -1 ? blocks.length : miss;
		for (const block of blocks) {
			if (!this.#blocks.delete(block)) {
				this.#note({kind: 'stored', block});
			}

			this.#blocks.add(block);
		}

		this.#evict();
		return hits * blockCharacters;
	}

	clear(): void {
		this.#blocks.clear();
	}

	/** Returns the kept events from a sequence number on; a first number above it means a gap. */
	listEvents(since: number): {first: number; next: number; events: CacheEvent[]} {
		const first = Math.max(since, this.#firstEvent);
		return {first, next: this.#firstEvent + this.#events.length, events: this.#events.slice(first - this.#firstEvent)};
	}

	#digest(prompt: string): string[] {
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
			this.#note({kind: 'evicted', block: oldest});
		}
	}

	#note(event: CacheEvent): void {
		this.#events.push(event);
		if (this.#events.length > 1000) {
			this.#events = this.#events.slice(500);
			this.#firstEvent += 500;
		}
	}
}
