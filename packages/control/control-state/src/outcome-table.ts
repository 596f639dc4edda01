/** Stores the outcome of each change id, so that a resent command gets the outcome of the first one. */
import {createHash} from 'node:crypto';
import type {CommandOutcome} from '@hickorytrack/types/control';

/** Outcomes that are kept; the oldest ones are evicted first. */
const maximumOutcomes = 20_000;

export type StoredOutcome = {
	changeId: string;
	digest: string;
	outcome: CommandOutcome;
};

export function computeCommandDigest(command: unknown): string {
	return createHash('sha256').update(JSON.stringify(command)).digest('hex');
}

export class OutcomeTable {
	readonly #outcomes = new Map<string, StoredOutcome>();

	find(changeId: string): StoredOutcome | undefined {
		return this.#outcomes.get(changeId);
	}

	add(entry: StoredOutcome): void {
		this.#outcomes.set(entry.changeId, entry);
		if (this.#outcomes.size > maximumOutcomes) {
			this.#outcomes.delete(this.#outcomes.keys().next().value!);
		}
	}

	dump(): StoredOutcome[] {
		return structuredClone([...this.#outcomes.values()]);
	}

	restore(entries: readonly StoredOutcome[]): void {
		this.#outcomes.clear();
		for (const entry of entries) {
			this.#outcomes.set(entry.changeId, entry);
		}
	}
}
