/**
 * One way to the answer of a streaming request: a prefill, if the prompt is handed over, and a generation. A request has a
 * second run while the server of the first one is silent. Once the second run has been sent to a server that generates, the
 * first one is on hold: it delivers nothing, and goes on only if that server does not take the request.
 */
import {Buffer} from 'node:buffer';
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
	/** Ids of the only servers that may generate; without it, any may. */
	allowedServers?: ReadonlySet<string>;
	/** Called before each delivery; returns false if the stream must not go on with the events of this run. */
	acceptEvents: (run: StreamRun) => boolean;
	/** Called when a server accepts the run that was started at it, and before each delivery. */
	onDelivery: (run: StreamRun) => void;
};

export class StreamRun implements EventSink {
	readonly canceller = new AttemptCanceller();
	/** Undefined while the successor of a run uses it. */
	permit: SendPermit | undefined;
	/** Monotonic time at which the run was last sent to a server that generates, in milliseconds. */
	generatingSince: number | undefined;
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
	readonly #heldEvents: Buffer[] = [];
	readonly #drainListeners: Array<() => void> = [];
	readonly #holdListeners: Array<() => void> = [];
	#isOnHold = false;
	#head: ResponseHead | undefined;
	#isHeadHeld = false;

	constructor(opts: StreamRunOptions) {
		this.#opts = opts;
		this.permit = opts.permit;
	}

	get isCancelled(): boolean {
		return this.canceller.isCancelled;
	}

	get isGenerating(): boolean {
		return this.generatingSince !== undefined;
	}

	get hasPredecessor(): boolean {
		return this.#opts.predecessor !== undefined;
	}

	get allowedServers(): ReadonlySet<string> | undefined {
		return this.#opts.allowedServers;
	}

	/** The runs beside whose silent servers this one was started, as far as they go on. */
	listPredecessors(): StreamRun[] {
		const {predecessor} = this.#opts;
		return predecessor ? [...predecessor.listPredecessors(), predecessor].filter(({isCancelled}) => !isCancelled) : [];
	}

	/** Ends the run, because another one answers. */
	cancel(): void {
		this.canceller.cancel();
		this.#endHold();
	}

	/** Delivers nothing until `release`: another run may answer instead. */
	hold(): void {
		this.#isOnHold = true;
	}

	/** Delivers what has arrived meanwhile, and goes on. */
	release(): void {
		if (!this.#isOnHold || this.isCancelled) {
			return;
		}

		this.#isOnHold = false;
		if (this.#isHeadHeld) {
			this.open(this.#head!);
		}

		const events = this.#heldEvents.splice(0);
		const canContinue = events.length === 0 || this.write(Buffer.concat(events));
		for (const listener of this.#drainListeners.splice(0)) {
			if (canContinue) {
				listener();
			} else {
				this.onDrain(listener);
			}
		}

		this.#endHold();
	}

	/** Resolves when the run is not on hold any more. */
	async waitForRelease(): Promise<void> {
		if (this.#isOnHold && !this.isCancelled) {
			await new Promise<void>(resolve => {
				this.#holdListeners.push(resolve);
			});
		}
	}

	#endHold(): void {
		for (const listener of this.#holdListeners.splice(0)) {
			listener();
		}
	}

	/** The silent servers of the runs before this one, and those that may hold a copy of their KV cache. */
	listEarlierServers(): KnownServer[] {
		const {predecessor} = this.#opts;
		return predecessor ? [...predecessor.listEarlierServers(), predecessor.server, predecessor.backupServer].filter(server => server !== undefined) : [];
	}

	/** Servers of this run and of the runs before it that go on, all of which are silent when a successor is started. */
	listServers(): KnownServer[] {
		return [...this.listPredecessors(), this].map(({server}) => server).filter(server => server !== undefined);
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
		this.#isHeadHeld = this.#isOnHold;
		if (this.#isOnHold) {
			return;
		}

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

		if (this.#isOnHold) {
			this.#heldEvents.push(events);
			return false;
		}

		if (!acceptEvents(this)) {
			this.cancel();
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
		if (this.#isOnHold) {
			this.#drainListeners.push(listener);
		} else {
			this.#opts.relay.onDrain(listener);
		}
	}
}
