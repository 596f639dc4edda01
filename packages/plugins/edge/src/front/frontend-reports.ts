/** What the frontend tells about requests that were not forwarded, or not answered completely. */
import type {DropReason} from './caller-request.js';

/** A request that the frontend answered or dropped without forwarding it. */
export type RejectedRequest = {
	requestId: string | undefined;
	host: string | undefined;
	path: string;
	/** `key-unconfirmed` if no configuration here knows the key and the core has not confirmed that none does; `unreadable` for bytes that are no request, or no complete one in time; no id, host or path is known of them. */
	reason: 'body-broken' | 'connection-ended' | 'not-ready' | 'no-route' | 'unknown-key' | 'key-unconfirmed' | 'no-lease' | 'body-too-large' | 'body-slow' | 'no-room' | 'deadline-passed' | 'unmet-expectation' | 'stopping' | 'unreadable';
	/** Status of the answer to unreadable bytes. */
	status?: number;
	/** Version of the configuration in which its route was looked up. */
	routedVersion?: number;
};

/** A request whose handling threw an error. */
export type FailedRequest = {
	requestId: string | undefined;
	path: string;
	error: unknown;
};

/** A request that was read whole and whose connection this side ended, or let end, without a complete answer. */
export type DroppedRequest = {
	requestId: string | undefined;
	host: string | undefined;
	path: string;
	reason: DropReason;
	/** The request was passed on, so that a server may have run it. */
	isForwarded: boolean;
	/** Time since the head of the request had been read. */
	openMs: number;
};
