/**
 * Codec for the headers that callers and servers use. A deployment supplies it; the edge itself contains no header
 * names.
 */
import type {Buffer} from 'node:buffer';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {AnswerIdentity} from '@hickorytrack/endpoint-client/answer-identity';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import type {OrderOutcome, ServerStageStatus, StageOrder} from '@hickorytrack/stage-control';

/** Metadata of a caller's request, decoded from its headers. */
export type RequestMetadata = {
	requestId?: string;
	/** How long the caller waits for the response, in milliseconds. */
	waitMs?: number;
	/** Only for requests to a model. */
	prompt?: Prompt;
	/** Id of the last event that the caller received of a broken stream. */
	lastEventId?: string;
	/** Id of the attempt that brought the first event of that stream. */
	begunAs?: string;
	/** Headers to forward, names and values alternating. */
	headers: string[];
};

/** Handle of the KV cache of a prefilled prompt, which its server holds until another server fetches it. */
export type KvHandle = {
	/** IP address and port of the server that holds the KV cache. */
	address: SocketAddress;
	handle: string;
};

/** Metadata that the edge sends to a server in addition to the caller's headers. */
export type ForwardMetadata = {
	server: KnownServer;
	remainingMs: number;
	/** Name of the workspace whose request it is. */
	workspace?: string;
	/** Priority among the requests of the server; 0 is the most urgent. */
	priority?: number;
	/** The server only prefills the prompt; another server generates the response. */
	isPrefillOnly?: boolean;
	kvHandle?: KvHandle;
	/** Address of a server whose prefix cache may hold the beginning of the prompt. */
	prefixCacheAddress?: SocketAddress;
	/** Address of a server that keeps a copy of the request's KV cache while it grows. */
	kvBackupAddress?: SocketAddress;
	/** Id of the event after which the stream resumes. */
	lastEventId?: string;
};

/** What an answer says of the rate that its server takes from all instances together. */
export type LimitStatement =
	| {kind: 'none'}
	| {kind: 'rate'; perSecond: number}
	/** It can't be read. */
	| {kind: 'invalid'; text: string};

/** Metadata of a server's response, decoded from its head. */
export type ResponseMetadata = {
	/** The server states that it did not and will not run the request. */
	isNotExecuted: boolean;
	/** Callers read the status as a promise that the request has not run, whatever the server states. */
	isReadAsNotExecuted: boolean;
	/** The head has the headers with which the server marks its own responses. */
	isAuthentic: boolean;
	/** The server states that it leaves: it serves what it has and takes no new requests. */
	isLeaving: boolean;
	/** Undefined if the answer may be that of another server. */
	limit?: LimitStatement;
	retryAfterMs?: number;
	/** The server rejects the request for lack of capacity and wants no other one of this instance for this time. */
	pauseMs?: number;
};

/** A request that the edge itself sends to a server. */
export type ServerCall = {
	method: string;
	path: string;
	/** Names and values alternating. */
	headers?: string[];
	body?: Buffer;
};

export type DecodeHeadersOptions = {
	/** The configuration has workspaces: neither the caller's key nor a workspace that the caller names is forwarded. */
	hasWorkspaces?: boolean;
};

export type RequestCodec = {
	decodeRequestHeaders(rawHeaders: readonly string[], opts?: DecodeHeadersOptions): RequestMetadata;
	/** Returns the key that the caller presents. It is kept out of the metadata, so that it is neither logged nor forwarded. */
	findKey(rawHeaders: readonly string[]): string | undefined;
	encodeForwardHeaders(headers: readonly string[], metadata: ForwardMetadata): string[];
	/** Creates the proof that an answer belongs to the request with this id. */
	createAnswerIdentity(requestId: string): AnswerIdentity;
	decodeResponseHead(head: ResponseHead): ResponseMetadata;
	/** Decodes the response of a server that has prefilled a prompt. */
	decodeKvHandle(address: SocketAddress, body: string): KvHandle | undefined;
	/** Creates the call that releases a KV cache which no server will fetch. */
	createReleaseCall(handle: KvHandle): ServerCall;
	/** Creates the call that asks a server for its stage status. */
	createStageStatusCall(server: string): ServerCall;
	/** Decodes a server's stage status; undefined when the body is invalid. */
	decodeStageStatus(body: string): ServerStageStatus | undefined;
	/** Decodes the start time from a server's stage status; undefined when the server does not state it. */
	decodeStartTime(body: string): number | undefined;
	/** Creates the call that orders a server to change its stage. */
	createStageOrderCall(server: string, order: StageOrder): ServerCall;
	decodeOrderOutcome(status: number): OrderOutcome;
	/** Headers of a 503 response that tell the caller when to retry. */
	encodeRetryAfter(ms: number): Record<string, string>;
};
