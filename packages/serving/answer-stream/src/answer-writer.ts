/**
 * The sending side of an answer, at the agent. It numbers the pieces of one attempt and retains those that the entry has
 * not confirmed, so that sending can resume from any of them after a broken connection. A reader that confirms nothing
 * makes the producer wait (back-pressure).
 */
import type {AttemptEnd, PieceRun, Stall} from '@hickorytrack/types/work';

/** Maximum number of unconfirmed pieces before the producer has to wait. */
export const maximumUnconfirmedPieces = 2048;

export type PieceSink = {
	send(run: PieceRun): void;
};

export class AnswerWriter {
	readonly attempt: string;
	readonly #texts: string[] = [];
	/** Sequence number of the first retained text. */
	#first = 0;
	/** Sequence number of the next text to send. */
	#nextToSend = 0;
	#end: AttemptEnd | undefined;
	#isEndSent = false;
	#isEndConfirmed = false;
	#sink: PieceSink | undefined;
	#notifyProducer: (() => void) | undefined;

	constructor(attempt: string) {
		this.attempt = attempt;
	}

	get end(): AttemptEnd | undefined {
		return this.#end;
	}

	/** Number of pieces written so far. */
	get length(): number {
		return this.#first + this.#texts.length;
	}

	/** Whether the entry has the whole answer, or wants no more of it. */
	get isConfirmed(): boolean {
		return this.#end?.kind === 'cancelled' || this.#isEndConfirmed;
	}

	write(texts: readonly string[]): void {
		this.#texts.push(...texts);
		this.#flush();
	}

	close(end: AttemptEnd): void {
		if (this.#end === undefined) {
			this.#end = end;
			this.#flush();
			this.#notifyProducer?.();
		}
	}

	/** Reports a stall in its place behind the pieces so far. It is lost if no sink is connected. */
	reportStall(stall: Stall): void {
		if (this.#end === undefined) {
			this.#sink?.send({
				attempt: this.attempt, first: this.#nextToSend, texts: [], stall,
			});
		}
	}

	/** Waits while the number of unconfirmed pieces is at its maximum. */
	async waitForCapacity(signal: AbortSignal): Promise<void> {
		while (this.#texts.length >= maximumUnconfirmedPieces && !signal.aborted && this.#end === undefined) {
			await new Promise<void>(resolve => {
				const finish = () => {
					signal.removeEventListener('abort', finish);
					resolve();
				};

				this.#notifyProducer = finish;
				signal.addEventListener('abort', finish, {once: true});
			});
		}
	}

	/** Connects the sink and sends it all pieces starting with `from`; returns false if that piece is not available. */
	connectSink(sink: PieceSink, from: number): boolean {
		if (from < this.#first || from > this.length) {
			return false;
		}

		this.#sink = sink;
		this.#nextToSend = from;
		this.#isEndSent = false;
		this.#flush();
		return true;
	}

	/** Disconnects the sink, if it is the connected one. */
	disconnectSink(sink: PieceSink): void {
		if (this.#sink === sink) {
			this.#sink = undefined;
		}
	}

	/** Records that the entry has received every piece before `next`; the end counts as one. */
	confirm(next: number): void {
		this.#isEndConfirmed ||= this.#isEndSent && next > this.length;
		const count = Math.min(next, this.length) - this.#first;
		if (count > 0) {
			this.#texts.splice(0, count);
			this.#first += count;
			this.#notifyProducer?.();
		}
	}

	#flush(): void {
		if (!this.#sink || (this.#nextToSend === this.length && (this.#end === undefined || this.#isEndSent))) {
			return;
		}

		const run: PieceRun = {attempt: this.attempt, first: this.#nextToSend, texts: this.#texts.slice(this.#nextToSend - this.#first)};
		if (this.#end) {
			run.end = this.#end;
			this.#isEndSent = true;
		}

		this.#nextToSend = this.length;
		this.#sink.send(run);
	}
}
