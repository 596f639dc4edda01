/**
 * The state machine of the replicated route configuration. It holds one document, the one with the highest version that
 * was committed. A document under a version that is held already, with other content, is a conflict and changes nothing.
 */
import type {StateMachine} from '@hickorytrack/replicated-log';

export type StoredConfiguration = {
	version: number;
	/** Digest of the content, to tell documents under one version apart. */
	digest: string;
	/** The configuration as the operator wrote it. */
	document: unknown;
};

export const storeOutcomes = {
	stored: 'stored',
	/** The same document is held already. */
	same: 'same',
	/** A higher version is held. */
	overtaken: 'overtaken',
	/** Another document is held under this version. */
	conflict: 'conflict',
} as const;
export type StoreOutcome = typeof storeOutcomes[keyof typeof storeOutcomes];

export class RouteStore implements StateMachine {
	#held: StoredConfiguration | undefined;
	readonly #onStored: (stored: StoredConfiguration) => void;

	constructor(onStored: (stored: StoredConfiguration) => void) {
		this.#onStored = onStored;
	}

	get current(): StoredConfiguration | undefined {
		return this.#held;
	}

	/** Tells what `apply` would do with the document. */
	getOutcome(candidate: StoredConfiguration): StoreOutcome {
		const held = this.#held;
		if (!held || candidate.version > held.version) {
			return storeOutcomes.stored;
		}

		if (candidate.version < held.version) {
			return storeOutcomes.overtaken;
		}

		return candidate.digest === held.digest ? storeOutcomes.same : storeOutcomes.conflict;
	}

	apply(command: unknown): StoreOutcome {
		const candidate = command as StoredConfiguration;
		const outcome = this.getOutcome(candidate);
		if (outcome === storeOutcomes.stored) {
			this.#hold(candidate);
		}

		return outcome;
	}

	takeSnapshot(): unknown {
		return this.#held ?? null;
	}

	restoreSnapshot(state: unknown): void {
		if (state !== null) {
			this.#hold(state as StoredConfiguration);
		}
	}

	#hold(stored: StoredConfiguration): void {
		this.#held = stored;
		this.#onStored(stored);
	}
}
