/** The log records that a member keeps in memory: all records after its snapshot. */
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

	/** Returns the term of the record, or `undefined` when the record is not in memory. */
	readTerm(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.read(index)?.term;
	}

	append(records: readonly LogRecord[]): void {
		this.#records.push(...records);
	}

	truncateFrom(index: number): void {
		this.#records.length = Math.max(0, index - this.#baseIndex - 1);
	}

	/** Returns up to `limit` records, starting with `index`. */
	slice(index: number, limit: number): LogRecord[] {
		const start = index - this.#baseIndex - 1;
		return this.#records.slice(start, start + limit);
	}

	/** Removes the records up to and including `index`, which a snapshot covers. */
	compact(index: number, term: number): void {
		this.#records = this.#records.slice(index - this.#baseIndex);
		this.#baseIndex = index;
		this.#baseTerm = term;
	}

	/** Removes all records and starts after an installed snapshot. */
	reset(index: number, term: number): void {
		this.#records = [];
		this.#baseIndex = index;
		this.#baseTerm = term;
	}

	findLast(predicate: (record: LogRecord) => boolean): LogRecord | undefined {
		return this.#records.findLast(record => predicate(record));
	}
}
