/**
 * Bounds what is read of an answer in one turn of the event loop. Node.js reads up to two megabytes of a connection before it
 * looks at the next one, so that a few servers that send without a pause would keep small requests from being answered in time.
 */

/** What Node.js reads at once. */
const maxTurnBytes = 65_536;
/** Answers that go on in one turn; all of them together take it for a few milliseconds. */
const maxResumed = 8;

/** An answer that is read, with what it has read in which turn. */
export type TurnReader = {
	turn: number;
	bytes: number;
	/** Reads on. */
	resume: () => void;
};

export class ReadTurns {
	/** Readers that wait, in the order in which they began to. */
	readonly #waiting = new Set<TurnReader>();
	#turn = 0;
	#isPlanned = false;

	/** Records bytes that were read. Returns false if the reader has to stop until it is resumed, in a later turn. */
	record(reader: TurnReader, bytes: number): boolean {
		reader.bytes = reader.turn === this.#turn ? reader.bytes + bytes : bytes;
		reader.turn = this.#turn;
		this.#planNext();
		if (reader.bytes < maxTurnBytes) {
			return true;
		}

		this.#waiting.add(reader);
		return false;
	}

	/** Call this when the reader has ended. */
	remove(reader: TurnReader): void {
		this.#waiting.delete(reader);
	}

	has(reader: TurnReader): boolean {
		return this.#waiting.has(reader);
	}

	#planNext(): void {
		if (!this.#isPlanned) {
			this.#isPlanned = true;
			setImmediate(() => {
				this.#beginTurn();
			});
		}
	}

	#beginTurn(): void {
		this.#isPlanned = false;
		this.#turn++;
		for (const reader of [...this.#waiting].slice(0, maxResumed)) {
			this.#waiting.delete(reader);
			reader.resume();
		}

		if (this.#waiting.size > 0) {
			this.#planNext();
		}
	}
}
