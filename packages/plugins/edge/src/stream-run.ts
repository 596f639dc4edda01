/**
 * One way to the answer of a streaming request: a prefill, if the prompt is handed over, and a generation. A request has a
 * second run while the server of the first one is silent. The first run that delivers an event ends the others.
 */
import type {Buffer} from 'node:buffer';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {AttemptCanceller} from './attempt.js';
import type {RequestResult} from './caller-request.js';
import type {EventRelay, EventSink} from './event-relay.js';
import type {SendPermit} from './send-permits.js';

/** How a run ended. */
export type RunEnding = {
	/** False for a failure, which the caller gets only if no other run answers. */
	isAnswer: boolean;
	/** Ends the caller's response. */
	finish: () => RequestResult;
};

export type StreamRunOptions = {
	relay: EventRelay;
	/** For the generation. */
	permit?: SendPermit;
	/** The run at a silent server beside which this one was started. */
	predecessor?: StreamRun;
	/** Called before each delivery; returns false if the stream must not go on with the events of this run. */
	acceptEvents: (run: StreamRun) => boolean;
	/** Called when a server accepts the run that was started at it, and for each delivery, before it. */
	onDelivery: (run: StreamRun) => void;
};

export class StreamRun implements EventSink {
	readonly canceller = new AttemptCanceller();
	/** Undefined while the successor of a run uses it. */
	permit: SendPermit | undefined;
	/** The run was sent to a server that generates. */
	isGenerating = false;
	/** Keeps a copy of the KV cache of the generation, from which the stream can resume. */
	backupServer: KnownServer | undefined;
	/** Server of the present attempt. */
	server: KnownServer | undefined;
	/** The run that was started because this one's server is silent. */
	successor: StreamRun | undefined;
	/** Resolves when the last successor has ended. */
	successorEnding: Promise<RunEnding | undefined> | undefined;
	isSilenceReported = false;
	readonly #opts: StreamRunOptions;
	#head: ResponseHead | undefined;

	constructor(opts: StreamRunOptions) {
		this.#opts = opts;
		this.permit = opts.permit;
	}

	get isCancelled(): boolean {
		return this.canceller.isCancelled;
	}

	get hasPredecessor(): boolean {
		return this.#opts.predecessor !== undefined;
	}

	/** The silent servers of the runs before this one, and those that may hold a copy of their KV cache. */
	listEarlierServers(): KnownServer[] {
		const {predecessor} = this.#opts;
		return predecessor ? [...predecessor.listEarlierServers(), predecessor.server, predecessor.backupServer].filter(server => server !== undefined) : [];
	}

	/** Servers of this run and of the runs before it, all of which are silent when a successor is started. */
	listServers(): KnownServer[] {
		const earlier = this.#opts.predecessor?.listServers() ?? [];
		return this.server ? [...earlier, this.server] : earlier;
	}

	/**
	 * The response starts with the head of the run that delivers first. A second server that accepts the request ends the run at
	 * the silent one already now: both must not work on it.
	 */
	open(head: ResponseHead): void {
		// Events that were held until their start was proved may be passed on after another run has delivered.
		if (this.isCancelled) {
			return;
		}

		this.#head = head;
		if (this.hasPredecessor) {
			this.#opts.onDelivery(this);
		} else {
			this.#opts.relay.open(head);
		}
	}

	write(events: Buffer): boolean {
		const {relay, acceptEvents, onDelivery} = this.#opts;
		if (this.isCancelled) {
			return true;
		}

		if (!acceptEvents(this)) {
			this.canceller.cancel();
			return true;
		}

		onDelivery(this);
		this.sendHead();
		return relay.write(events);
	}

	/** Starts the response, also for a stream that ends without an event. */
	sendHead(): void {
		if (this.#head) {
			this.#opts.relay.open(this.#head);
		}
	}

	onDrain(listener: () => void): void {
		this.#opts.relay.onDrain(listener);
	}
}
