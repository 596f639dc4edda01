/**
 * State machine of the replicated route configuration. It keeps one document: the committed one with the highest version.
 * A document with the same version but other content is a conflict and changes nothing.
 */
import {Fields} from '@hickorytrack/fields';
import type {StateMachine} from '@hickorytrack/replicated-log';

export type StoredConfiguration = {
	version: number;
	/** Digest of the content; distinguishes documents with the same version. */
	digest: string;
	/** The configuration as the operator wrote it. */
	document: unknown;
};

export const storeOutcomes = {
	stored: 'stored',
	/** The current document has the same version and content. */
	same: 'same',
	/** The current document has a higher version. */
	overtaken: 'overtaken',
	/** The current document has the same version but other content. */
	conflict: 'conflict',
} as const;
export type StoreOutcome = typeof storeOutcomes[keyof typeof storeOutcomes];

export class RouteStore implements StateMachine {
	#current: StoredConfiguration | undefined;
	readonly #onStored: (stored: StoredConfiguration) => void;

	constructor(onStored: (stored: StoredConfiguration) => void) {
		this.#onStored = onStored;
	}

	get current(): StoredConfiguration | undefined {
		return this.#current;
	}

	/** Returns the outcome that `apply` would have for the document, without applying it. */
	getOutcome(candidate: StoredConfiguration): StoreOutcome {
		const current = this.#current;
		if (!current || candidate.version > current.version) {
			return storeOutcomes.stored;
		}

		if (candidate.version < current.version) {
			return storeOutcomes.overtaken;
		}

		return candidate.digest === current.digest ? storeOutcomes.same : storeOutcomes.conflict;
	}

	/** Throws a `FieldError`, and changes nothing, if the command is no stored configuration. */
	apply(command: unknown): StoreOutcome {
		const candidate = parseStored(command);
		const outcome = this.getOutcome(candidate);
		if (outcome === storeOutcomes.stored) {
			this.#setCurrent(candidate);
		}

		return outcome;
	}

	createSnapshot(): unknown {
		return this.#current ?? null;
	}

	/** Throws a `FieldError`, and changes nothing, if the snapshot is no stored configuration. */
	restoreSnapshot(state: unknown): void {
		if (state !== null) {
			this.#setCurrent(parseStored(state));
		}
	}

	#setCurrent(stored: StoredConfiguration): void {
		this.#current = stored;
		this.#onStored(stored);
	}
}

function parseStored(value: unknown): StoredConfiguration {
	const fields = new Fields(value, {name: 'the stored configuration'});
	return {
		version: fields.readNumber('version', {min: 0, max: Number.MAX_SAFE_INTEGER, isInteger: true}),
		digest: fields.readString('digest'),
		document: fields.get('document'),
	};
}
