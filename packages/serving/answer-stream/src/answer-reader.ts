/**
 * The receiving side of an answer, at the entry. It accepts the pieces of one attempt in order, drops duplicates, and
 * passes the pieces to one consumer. Each attempt has its own reader, so a reader never receives pieces of another attempt.
 */
import type {AttemptEnd, PieceRun, Stall} from '@hickorytrack/types/work';

export type ReadItem =
	| {kind: 'texts'; texts: string[]}
	| {kind: 'end'; end: AttemptEnd}
	/** The engine is silent; pieces may still follow. */
	| {kind: 'stalled'; stall: Stall}
	/** The connection to the agent broke, or a piece is missing. The reader has all pieces before its `next`. */
	| {kind: 'broken'};

export class AnswerReader {
	readonly attempt: string;
	#next = 0;
	#texts: string[] = [];
	#end: AttemptEnd | undefined;
	#stall: Stall | undefined;
	#isBroken = false;
	#notifyConsumer: (() => void) | undefined;

	constructor(attempt: string) {
		this.attempt = attempt;
	}

	/** Sequence number of the next expected piece. The end has the one after the last piece. */
	get next(): number {
		return this.#next;
	}

	/** Whether pieces or the end of the whole answer wait to be read. */
	get hasProgress(): boolean {
		return this.#texts.length > 0 || this.#end?.kind === 'complete';
	}

	/** The end of the answer, also while pieces before it wait to be read. */
	get end(): AttemptEnd | undefined {
		return this.#end;
	}

	append(run: PieceRun): void {
		if (this.#end) {
			return;
		}

		if (run.first > this.#next) {
			this.setBroken();
			return;
		}

		const newTexts = run.texts.slice(this.#next - run.first);
		this.#texts.push(...newTexts);
		this.#next += newTexts.length;
		this.#stall = run.stall;
		if (run.end && run.first + run.texts.length === this.#next) {
			this.#end = run.end;
		}

		this.#notifyConsumer?.();
	}

	setBroken(): void {
		this.#isBroken = true;
		this.#notifyConsumer?.();
	}

	/** Clears the broken state, so that reading can go on over a new connection. */
	resume(): void {
		this.#isBroken = false;
	}

	/**
	 * Returns the pieces received since the last call, waiting if there are none; `undefined` if the signal is
	 * aborted.
	 */
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

			if (this.#stall) {
				const stall = this.#stall;
				this.#stall = undefined;
				return {kind: 'stalled', stall};
			}

			if (signal.aborted) {
				return undefined;
			}

			await this.waitForMore(signal);
		}
	}

	/** Waits for the next pieces, the end, a stall or a break. Only while nothing is read. */
	async waitForMore(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				signal.removeEventListener('abort', finish);
				this.#notifyConsumer = undefined;
				resolve();
			};

			this.#notifyConsumer = finish;
			signal.addEventListener('abort', finish, {once: true});
		});
	}
}
