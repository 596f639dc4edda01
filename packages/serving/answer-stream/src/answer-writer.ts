/**
 * The agent's side of an answer: it numbers the pieces of one attempt and keeps those that the entry has not confirmed,
 * so that a broken hop can go on from any of them. A reader that confirms nothing makes the writer wait.
 */
import type {AttemptEnd, PieceRun} from '@hickorytrack/types/work';

/** Pieces that may wait for confirmation before the writer pauses. */
export const maximumUnconfirmedPieces = 2048;

export type PieceSink = {
	send(run: PieceRun): void;
};

export class AnswerWriter {
	readonly attempt: string;
	readonly #texts: string[] = [];
	/** Sequence number of the first kept text. */
	#first = 0;
	#sent = 0;
	#end: AttemptEnd | undefined;
	#endSent = false;
	#sink: PieceSink | undefined;
	#wakeWriter: (() => void) | undefined;

	constructor(attempt: string) {
		this.attempt = attempt;
	}

	get end(): AttemptEnd | undefined {
		return this.#end;
	}

	/** Pieces written so far. */
	get length(): number {
		return this.#first + this.#texts.length;
	}

	get isConfirmed(): boolean {
		return this.#endSent && this.#texts.length === 0;
	}

	write(texts: readonly string[]): void {
		this.#texts.push(...texts);
		this.#flush();
	}

	close(end: AttemptEnd): void {
		if (this.#end === undefined) {
			this.#end = end;
			this.#flush();
			this.#wakeWriter?.();
		}
	}

	/** Waits while too many pieces are not confirmed. */
	async waitForCapacity(signal: AbortSignal): Promise<void> {
		while (this.#texts.length >= maximumUnconfirmedPieces && !signal.aborted && this.#end === undefined) {
			await new Promise<void>(resolve => {
				const finish = () => {
					signal.removeEventListener('abort', finish);
					resolve();
				};

				this.#wakeWriter = finish;
				signal.addEventListener('abort', finish, {once: true});
			});
		}
	}

	/** Sends from piece `from` on to the sink; false when that piece is no longer kept. */
	connectSink(sink: PieceSink, from: number): boolean {
		if (from < this.#first || from > this.length) {
			return false;
		}

		this.#sink = sink;
		this.#sent = from;
		this.#endSent = false;
		this.#flush();
		return true;
	}

	/** Detaches the sink, if it is still this one. */
	disconnectSink(sink: PieceSink): void {
		if (this.#sink === sink) {
			this.#sink = undefined;
		}
	}

	/** Notes that the entry holds every piece before `next`. */
	confirm(next: number): void {
		const count = Math.min(next, this.length) - this.#first;
		if (count > 0) {
			this.#texts.splice(0, count);
			this.#first += count;
			this.#wakeWriter?.();
		}
	}

	#flush(): void {
		if (!this.#sink || (this.#sent === this.length && (this.#end === undefined || this.#endSent))) {
			return;
		}

		const run: PieceRun = {attempt: this.attempt, first: this.#sent, texts: this.#texts.slice(this.#sent - this.#first)};
		if (this.#end) {
			run.end = this.#end;
			this.#endSent = true;
		}

		this.#sent = this.length;
		this.#sink.send(run);
	}
}
