/**
 * Reads the fields of a document from outside, such as a settings file, a report or a message. Each field is read once, by
 * its type and its range, into a value that its users need not check again. What is missing or of another type is an error;
 * a number out of its range is one too, unless the reader takes the nearest number of the range for it.
 */
import type {ErrorCode} from '@hickorytrack/errors';

export class FieldError extends TypeError {
	readonly code: ErrorCode = 'ERR_HICKORYTRACK_FIELD';
	readonly hint = 'Correct the field and send the document again.';
}

export type NumberRange = {
	min?: number;
	max?: number;
	isInteger?: boolean;
	/** Used if the field is missing. */
	defaultValue?: number;
};

export type FieldsOptions = {
	/** Name of the document or of the part of it, for errors. */
	name: string;
	/** Called for each number out of its range, which then counts as the nearest one of it; without it, such a number is an error. */
	onOutOfRange?: (error: FieldError) => void;
};

/** Longest time in milliseconds that a timer of Node.js takes; a longer one would end at once. */
export const maxDurationMs = (2 ** 31) - 1;

export class Fields {
	readonly #fields: Readonly<Record<string, unknown>>;
	readonly #opts: FieldsOptions;

	/** Throws a `FieldError` if the value is not an object. */
	constructor(value: unknown, opts: FieldsOptions) {
		if (typeof value !== 'object' || value === null || Array.isArray(value)) {
			throw new FieldError(`${opts.name} is not an object`);
		}

		this.#fields = value as Readonly<Record<string, unknown>>;
		this.#opts = opts;
	}

	/** Opens the elements of an array by their positions. Throws a `FieldError` if the value is none. */
	static openTuple(value: unknown): Fields {
		if (!Array.isArray(value)) {
			throw new FieldError('an element is not an array');
		}

		return new Fields({...value as unknown[]}, {name: 'an element'});
	}

	/** Names of the fields that are there. */
	get names(): string[] {
		return Object.keys(this.#fields).filter(name => this.has(name));
	}

	/** Tells whether the field is there. */
	has(name: string): boolean {
		return Object.hasOwn(this.#fields, name) && this.#fields[name] !== undefined && this.#fields[name] !== null;
	}

	isNull(name: string): boolean {
		return Object.hasOwn(this.#fields, name) && this.#fields[name] === null;
	}

	get(name: string): unknown {
		return this.has(name) ? this.#fields[name] : undefined;
	}

	/** Throws a `FieldError` unless the field is a string of 1 to `maxLength` characters. */
	readString(name: string, {maxLength = Number.POSITIVE_INFINITY}: {maxLength?: number} = {}): string {
		const value = this.get(name);
		if (typeof value !== 'string' || value === '') {
			throw new FieldError(`"${name}" of ${this.#opts.name} is missing or not a string`);
		}

		if (value.length > maxLength) {
			throw new FieldError(`"${name}" of ${this.#opts.name} has more than ${maxLength} characters`);
		}

		return value;
	}

	/** Throws a `FieldError` unless the field is a string, which may be empty. */
	readText(name: string, opts: {maxLength?: number} = {}): string {
		return this.get(name) === '' ? '' : this.readString(name, opts);
	}

	/** Throws a `FieldError` unless the field is an array of strings. */
	readTexts(name: string): string[] {
		const values = this.readList(name);
		if (!values.every(value => typeof value === 'string')) {
			throw new FieldError(`"${name}" of ${this.#opts.name} is not an array of strings`);
		}

		return [...values];
	}

	/** Throws a `FieldError` if the field is neither missing nor a string. An empty string counts as missing. */
	readOptionalString(name: string, opts: {maxLength?: number} = {}): string | undefined {
		return this.has(name) && this.get(name) !== '' ? this.readString(name, opts) : undefined;
	}

	/** Throws a `FieldError` unless the field is one of the values. */
	readOneOf<T extends string>(name: string, values: readonly T[]): T {
		const value = this.get(name);
		if (!(values as readonly unknown[]).includes(value)) {
			throw new FieldError(`"${name}" of ${this.#opts.name} is none of ${values.join(', ')}`);
		}

		return value as T;
	}

	/** Throws a `FieldError` unless the field is a number, and see `onOutOfRange`. */
	readNumber(name: string, {min = -Number.MAX_VALUE, max = Number.MAX_VALUE, isInteger = false, defaultValue}: NumberRange = {}): number {
		const value = this.get(name) ?? defaultValue;
		if (typeof value !== 'number' || Number.isNaN(value)) {
			throw new FieldError(`"${name}" of ${this.#opts.name} is missing or not a number`);
		}

		const nearest = Math.min(max, Math.max(min, isInteger ? Math.trunc(value) : value));
		if (nearest !== value) {
			this.#reportOutOfRange(new FieldError(`"${name}" of ${this.#opts.name} is ${value}, which is not ${isInteger ? 'an integer' : 'a number'} from ${min} to ${max}`));
		}

		return nearest;
	}

	/** Returns undefined if the field is missing; otherwise like `readNumber`. */
	readOptionalNumber(name: string, range: NumberRange = {}): number | undefined {
		return this.has(name) ? this.readNumber(name, range) : undefined;
	}

	/** Throws a `FieldError` unless the field is an array. */
	readList(name: string): readonly unknown[] {
		const value = this.get(name);
		if (!Array.isArray(value)) {
			throw new FieldError(`"${name}" of ${this.#opts.name} is not an array`);
		}

		return value as unknown[];
	}

	/** Reads the objects of an array. Throws a `FieldError` unless all its elements are objects. */
	readFieldsList(name: string): Fields[] {
		return this.readList(name).map(value => new Fields(value, {...this.#opts, name: `an element of "${name}"`}));
	}

	/** Throws a `FieldError` unless the field is an object. */
	readFields(name: string): Fields {
		return new Fields(this.get(name), {...this.#opts, name: `"${name}"`});
	}

	/** Returns undefined if the field is missing; otherwise like `readFields`. */
	readOptionalFields(name: string): Fields | undefined {
		return this.has(name) ? this.readFields(name) : undefined;
	}

	#reportOutOfRange(error: FieldError): void {
		if (!this.#opts.onOutOfRange) {
			throw error;
		}

		this.#opts.onOutOfRange(error);
	}
}
