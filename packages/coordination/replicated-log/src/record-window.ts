/** The records of the log that a member holds in memory: all those behind its snapshot. */
import type {LogRecord} from '@hickorytrack/log-storage';

export class RecordWindow {
	#records: LogRecord[];
	#baseIndex: number;
	#baseTerm: number;

	constructor(baseIndex: number, baseTerm: number, records: LogRecord[]) {
		this.#baseIndex = baseIndex;
		this.#baseTerm = baseTerm;
		this.#records = records;
	}

	get baseIndex(): number {
		return this.#baseIndex;
	}

	get lastIndex(): number {
		return this.#baseIndex + this.#records.length;
	}

	get lastTerm(): number {
		return this.#records.at(-1)?.term ?? this.#baseTerm;
	}

	get length(): number {
		return this.#records.length;
	}

	read(index: number): LogRecord | undefined {
		return this.#records[index - this.#baseIndex - 1];
	}

	/** Returns the term of the record, or `undefined` when the window does not reach it. */
	readTerm(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.read(index)?.term;
	}

	append(records: readonly LogRecord[]): void {
		this.#records.push(...records);
	}

	truncateFrom(index: number): void {
		this.#records.length = Math.max(0, index - this.#baseIndex - 1);
	}

	/** Returns up to `limit` records from `index` on. */
	slice(index: number, limit: number): LogRecord[] {
		const start = index - this.#baseIndex - 1;
		return this.#records.slice(start, start + limit);
	}

	/** Drops the records up to `index`, which a snapshot now covers. */
	compact(index: number, term: number): void {
		this.#records = this.#records.slice(index - this.#baseIndex);
		this.#baseIndex = index;
		this.#baseTerm = term;
	}

	/** Starts anew behind a snapshot that was installed. */
	reset(index: number, term: number): void {
		this.#records = [];
		this.#baseIndex = index;
		this.#baseTerm = term;
	}

	findLast(predicate: (record: LogRecord) => boolean): LogRecord | undefined {
		return this.#records.findLast(record => predicate(record));
	}
}
