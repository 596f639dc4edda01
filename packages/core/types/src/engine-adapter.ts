/** The interface between an agent and the engine or plain service that it manages. */
import type {Result} from 'neverthrow';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {EndpointAnnouncement, FencedOrder} from './endpoint.js';
import type {GenerationWork, ServiceAnswer, ServiceWork} from './work.js';

/** Description that an engine returns about itself. */
export type EngineDescription = Omit<EndpointAnnouncement, 'endpoint' | 'availabilityZone'> & {
	/** Requests that the engine takes per second; undefined if it names no limit. */
	maxRequestsPerSecond?: number;
};

export type EngineError = {
	/** Whether the engine may have received any part of the request. */
	readonly written: boolean;
} & HickorytrackError;

export type EngineEvent =
	| {kind: 'texts'; texts: string[]}
	| {kind: 'end'; finishReason: string; promptTokens: number; outputTokens: number; cachedTokens: number}
	| {kind: 'failed'; error: EngineError};

export type GenerateOptions = {
	workspace: string;
	/** Id of the attempt, used for it at the engine. */
	attempt: string;
	priority: number;
	signal: AbortSignal;
	/** Called immediately before the first byte of the request is written. */
	onWrite: () => void;
};

export type CacheEventPage = {
	/** `next` is the sequence number after the last event. A `first` above the requested number means that events are missing. */
	first: number;
	next: number;
	events: Array<{kind: 'stored' | 'evicted'; block: string}>;
};

export type EngineAdapter = {
	/**
	 * Requests the description of the engine. Fails with `ERR_HICKORYTRACK_ENGINE_SILENT` if no answer came in time, which does
	 * not show that the engine is gone, and with another code if it can't be reached.
	 */
	describe(): Promise<Result<EngineDescription, HickorytrackError>>;
	/** Runs a generation; the last event is `end` or `failed`. */
	generate(work: GenerationWork, opts: GenerateOptions): AsyncIterable<EngineEvent>;
	callService(work: ServiceWork, opts: GenerateOptions): Promise<Result<ServiceAnswer, EngineError>>;
	/** Checks on a separate connection whether the engine is still running an attempt. `silent`: no answer came in time. */
	probe(attempt: string): Promise<'running' | 'gone' | 'unreachable' | 'silent'>;
	cancel(attempt: string): Promise<void>;
	/** Sends an order to the engine and resolves once the engine has carried it out. */
	order(order: FencedOrder): Promise<Result<void, HickorytrackError>>;
};

export type EngineAdapterFactory = {
	name: string;
	create(opts: {url: string; service?: string}): EngineAdapter;
};
