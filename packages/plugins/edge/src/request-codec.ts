/**
 * What the edge needs to know of the headers that callers and servers use. A deployment supplies the codec; the edge
 * itself knows no header by name.
 */
import type {Buffer} from 'node:buffer';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import type {OrderOutcome, ServerStageStatus, StageOrder} from '@hickorytrack/stage-control';

/** What a caller's headers say. */
export type RequestMetadata = {
	requestId?: string;
	/** How long the caller will wait, in milliseconds. */
	waitMs?: number;
	/** Only of requests to a model. */
	prompt?: Prompt;
	/** The last event that the caller has of a stream that broke. */
	lastEventId?: string;
	/** Headers to pass on, names and values in turn. */
	headers: string[];
};

/** Memory of a prompt that was read and waits at its server to be taken. */
export type KvHandle = {
	/** IP and port of the server that holds it. */
	address: string;
	handle: string;
};

/** What the system itself tells a server beside the caller's own headers. */
export type ForwardMetadata = {
	server: KnownServer;
	remainingMs: number;
	/** Rank among the requests of the server; 0 is the most urgent. */
	priority?: number;
	/** Only reads the prompt; another server generates the answer. */
	isPrefillOnly?: boolean;
	kvSource?: KvHandle;
	/** A server whose cache may hold the beginning of the prompt. */
	prefixCacheAddress?: string;
	/** Address of a server that keeps a copy of the run's memory as it grows. */
	kvBackupAddress?: string;
	/** The stream goes on behind this event. */
	lastEventId?: string;
};

/** What a server's answer says beside its body. */
export type ResponseMetadata = {
	requestId?: string;
	/** The server's own word that it did not and will not run the request. */
	isNotExecuted: boolean;
	/** The answer bears the signs of a whole answer of a server. */
	isAuthentic: boolean;
	retryAfterMs?: number;
};

export type ServerCall = {
	method: string;
	path: string;
	/** Names and values in turn. */
	headers?: string[];
	body?: Buffer;
};

export type RequestCodec = {
	decodeRequestHeaders(rawHeaders: readonly string[]): RequestMetadata;
	encodeForwardHeaders(headers: readonly string[], metadata: ForwardMetadata): string[];
	decodeResponseHead(head: ResponseHead): ResponseMetadata;
	/** Reads the answer of a server that has read a prompt. */
	decodeKvHandle(address: string, body: string): KvHandle | undefined;
	/** The call that frees memory nobody will take. */
	createReleaseCall(handle: KvHandle): ServerCall;
	/** The call that asks a server for its condition. */
	createStageStatusCall(server: string): ServerCall;
	/** Reads a server's condition; undefined when the bytes are none. */
	decodeStageStatus(body: string): ServerStageStatus | undefined;
	/** The call that orders a server to change its stage. */
	createStageOrderCall(server: string, order: StageOrder): ServerCall;
	decodeOrderOutcome(status: number): OrderOutcome;
	/** Headers of a refusal that tell the caller when to come back. */
	encodeRetryAfter(ms: number): Record<string, string>;
};
