/** The results that callers and operators observe during a cell; input of the invariant checks. */
import type {ServiceRecord, GenerationRecord} from '@hickorytrack/stand-ins/load-generator';

export type GenerationObservation = {
	/** Entry that received the request. */
	entry: string;
	record: GenerationRecord;
};

export type DispatchObservation = {
	key: string;
	entry: string;
	record: ServiceRecord;
};

export type WriteObservation = {
	workspace: string;
	changeId: string;
	/** Share that the change writes; it differs between the writes of a cell and so identifies the version. */
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
	/** Entries that were killed, paused or isolated; their callers may have lost the connection. */
	affectedEntries: Set<string>;
	/** Engines that an injected fault crashed. */
	crashedEngines: Set<string>;
	changeIds: string[];
	notes: string[];
};

export function createObservations(): Observations {
	return {
		generations: [], dispatches: [], writes: [], affectedEntries: new Set(), crashedEngines: new Set(), changeIds: [], notes: [],
	};
}
