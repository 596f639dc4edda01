/**
 * One way to the answer of a streaming request: a prefill, if the prompt is handed over, and a generation. A request has a
 * second run while the server of the first one is silent. While a run is on hold it delivers nothing. The table of runs decides
 * which one is on hold and which one ends.
 */
import {Buffer} from 'node:buffer';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {AttemptCanceller} from '../calls/attempt.js';
import type {SendPermit} from '../limits/send-permits.js';
import type {EventRelay, EventSink} from './event-relay.js';
import type {RunEvent} from './stream-runs.js';

/** The rest of most streams, so that a whole answer is noticed while its run is on hold. */
const maxHeldBytes = 64 * 1024;

export type StreamRunOptions = {
	/** Its number in the table of runs. */
	id: number;
	relay: EventRelay;
	/** For the generation. */
	permit?: SendPermit;
	/** The run at a silent server beside which this one was started. */
	predecessor?: StreamRun;
	/** The permit is that of the predecessor. */
	hasLentPermit?: boolean;
	/** Ids of the only servers that may generate; without it, any may. */
	allowedServers?: ReadonlySet<string>;
	/** Called before each delivery; returns false if the stream must not go on with the events of this run. */
	acceptEvents: (run: StreamRun) => boolean;
	/** Reports an event to the table of runs. */
	dispatch: (event: RunEvent) => void;
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
	/** Stops the time after which the table of runs decides without an answer of the server. */
	stopDecisionTimer: (() => void) | undefined;
	isSilenceReported = false;
	readonly #opts: StreamRunOptions;
	readonly #heldEvents: Buffer[] = [];
	#heldBytes = 0;
	readonly #drainListeners: Array<() => void> = [];
	readonly #holdListeners: Array<() => void> = [];
	#isOnHold = false;
	#head: ResponseHead | undefined;
	#isHeadHeld = false;

	constructor(opts: StreamRunOptions) {
		this.#opts = opts;
		this.permit = opts.permit;
	}

	get id(): number {
		return this.#opts.id;
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

	/** Tells whether this run was started beside the other one, or beside one that was. */
	isAfter(other: StreamRun): boolean {
		const {predecessor} = this.#opts;
		return predecessor !== undefined && (predecessor === other || predecessor.isAfter(other));
	}

	/** Gives a permit that was lent back to the run before, unless the request was sent with it. */
	returnPermit(): void {
		const {predecessor, hasLentPermit} = this.#opts;
		if (hasLentPermit && !this.isGenerating && this.permit) {
			predecessor!.permit = this.permit;
			this.permit = undefined;
		}
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
		this.#heldBytes = 0;
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

	/** Ends the hold without what has arrived meanwhile. */
	drop(): void {
		this.#heldEvents.length = 0;
		this.#heldBytes = 0;
		this.#isHeadHeld = false;
		this.release();
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

	/** Tells whether its server has sent a part of the answer while it is on hold. */
	get isHeardOnHold(): boolean {
		return this.#isOnHold && (this.#heldBytes > 0 || this.#isHeadHeld);
	}

	/** Servers of this run and of the runs before it that go on, all of which are silent when a successor is started. */
	listServers(): KnownServer[] {
		return [...this.#listPredecessors(), this].map(({server}) => server).filter(server => server !== undefined);
	}

	#listPredecessors(): StreamRun[] {
		const {predecessor} = this.#opts;
		return predecessor ? [...predecessor.#listPredecessors(), predecessor].filter(({isCancelled}) => !isCancelled) : [];
	}

	/** The response starts with the head of the run that delivers first. */
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
			this.#opts.dispatch({kind: 'accepted', run: this.id});
		} else {
			this.#opts.relay.open(head);
		}
	}

	write(events: Buffer): boolean {
		const {relay, acceptEvents, dispatch} = this.#opts;
		if (this.isCancelled) {
			return true;
		}

		if (this.#isOnHold) {
			this.#heldEvents.push(events);
			this.#heldBytes += events.length;
			return this.#heldBytes < maxHeldBytes;
		}

		if (!acceptEvents(this)) {
			dispatch({kind: 'refuted', run: this.id});
			return true;
		}

		dispatch({kind: 'delivering', run: this.id});
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
