/** What the callers and operators of a cell saw, for the invariants. */
import type {ServiceRecord, TryRecord} from '@hickorytrack/stand-ins/load-generator';

export type GenerationObservation = {
	/** Entry that the request went through. */
	entry: string;
	record: TryRecord;
};

export type DispatchObservation = {
	key: string;
	entry: string;
	record: ServiceRecord;
};

export type WriteObservation = {
	workspace: string;
	changeId: string;
	/** Share that the change writes, by which versions are told apart. */
	share: number;
	expectedVersion: number;
	outcome: 'accepted' | 'refused' | 'unknown';
	version?: number;
	revision?: number;
};

export type Observations = {
	generations: GenerationObservation[];
	dispatches: DispatchObservation[];
	writes: WriteObservation[];
	/** Entries that were killed, paused or cut off, whose callers may have lost their connection. */
	affectedEntries: Set<string>;
	/** Engines that crashed because a fault made them. */
	crashedEngines: Set<string>;
	changeIds: string[];
	notes: string[];
};

export function createObservations(): Observations {
	return {
		generations: [], dispatches: [], writes: [], affectedEntries: new Set(), crashedEngines: new Set(), changeIds: [], notes: [],
	};
}
