/** The interface between an agent and the engine or plain service beside it. */
import type {Result} from 'neverthrow';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {EndpointAnnouncement, FencedOrder} from './endpoint.js';
import type {GenerationWork, ServiceAnswer, ServiceWork} from './work.js';

/** What an engine says about itself. */
export type EngineDescription = Omit<EndpointAnnouncement, 'endpoint' | 'availabilityZone'>;

export type EngineError = {
	/** Whether the engine can have seen any of the request. */
	readonly written: boolean;
} & HickorytrackError;

export type EngineEvent =
	| {kind: 'texts'; texts: string[]}
	| {kind: 'end'; finishReason: string; promptTokens: number; outputTokens: number; cachedTokens: number}
	| {kind: 'failed'; error: EngineError};

export type GenerateOptions = {
	workspace: string;
	/** Identity of the attempt at the engine. */
	attempt: string;
	priority: number;
	signal: AbortSignal;
	/** Called once the first byte of the request is about to be written. */
	onWrite: () => void;
};

export type CacheEventPage = {
	/** Sequence number behind the last event. A first number above what was asked for means a gap. */
	first: number;
	next: number;
	events: Array<{kind: 'stored' | 'evicted'; block: string}>;
};

export type EngineAdapter = {
	/** Asks the engine about itself; fails while it is not there. */
	describe(): Promise<Result<EngineDescription, HickorytrackError>>;
	/** Runs a generation; the last event is `end` or `failed`. */
	generate(work: GenerationWork, opts: GenerateOptions): AsyncIterable<EngineEvent>;
	callService(work: ServiceWork, opts: GenerateOptions): Promise<Result<ServiceAnswer, EngineError>>;
	/** Asks on another connection whether the engine still works on an attempt. */
	probe(attempt: string): Promise<'running' | 'gone' | 'unreachable'>;
	cancel(attempt: string): Promise<void>;
	/** Writes an order to the engine and resolves once it is carried out. */
	order(order: FencedOrder): Promise<Result<void, HickorytrackError>>;
};

export type EngineAdapterFactory = {
	name: string;
	create(opts: {url: string; service?: string}): EngineAdapter;
};
