/**
 * The entry's side of an answer: it takes the pieces of one attempt in order, drops what it has already, and gives them
 * to one consumer. Pieces of any other attempt never get here, because each attempt has a reader of its own.
 */
import type {AttemptEnd, PieceRun} from '@hickorytrack/types/work';

export type ReadItem =
	| {kind: 'texts'; texts: string[]}
	| {kind: 'end'; end: AttemptEnd}
	/** The hop to the agent broke, or a piece is missing: the reader has all before its `next`. */
	| {kind: 'broken'};

export class AnswerReader {
	readonly attempt: string;
	#next = 0;
	#texts: string[] = [];
	#end: AttemptEnd | undefined;
	#isBroken = false;
	#wake: (() => void) | undefined;

	constructor(attempt: string) {
		this.attempt = attempt;
	}

	/** Sequence number of the next piece that is wanted. */
	get next(): number {
		return this.#next;
	}

	append(run: PieceRun): void {
		if (this.#end) {
			return;
		}

		if (run.first > this.#next) {
			this.setBroken();
			return;
		}

		const fresh = run.texts.slice(this.#next - run.first);
		this.#texts.push(...fresh);
		this.#next += fresh.length;
		if (run.end && run.first + run.texts.length === this.#next) {
			this.#end = run.end;
		}

		this.#wake?.();
	}

	setBroken(): void {
		this.#isBroken = true;
		this.#wake?.();
	}

	/** Goes on after a break. */
	resume(): void {
		this.#isBroken = false;
	}

	/** Returns what has come since the last call, waiting for it if there is nothing; `undefined` when the signal aborts. */
	async read(signal: AbortSignal): Promise<ReadItem | undefined> {
		for (;;) {
			if (this.#texts.length > 0) {
				const texts = this.#texts;
				this.#texts = [];
				return {kind: 'texts', texts};
			}

			if (this.#end) {
				return {kind: 'end', end: this.#end};
			}

			if (this.#isBroken) {
				return {kind: 'broken'};
			}

			if (signal.aborted) {
				return undefined;
			}

			await this.#waitForMore(signal);
		}
	}

	async #waitForMore(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				signal.removeEventListener('abort', finish);
				this.#wake = undefined;
				resolve();
			};

			this.#wake = finish;
			signal.addEventListener('abort', finish, {once: true});
		});
	}
}
