/** One attempt to send a request to one server. An event stream is forwarded as it arrives; any other response is buffered. */
import {Buffer} from 'node:buffer';
import type {Clock} from '@hickorytrack/clock';
import type {
	ResponseHead, ResponseHandler, EndpointClient, EndpointClientError, OutboundRequest, SentRequest,
} from '@hickorytrack/endpoint-client';
import type {EventRelay} from './event-relay.js';

export const attemptOutcomes = {
	/** A complete response arrived, or a stream was forwarded to its end. */
	answered: 'answered',
	broken: 'broken',
	timedOut: 'timed-out',
	/** The first-byte timeout or the idle timeout expired. */
	stalled: 'stalled',
	/** The caller disconnected. */
	cancelled: 'cancelled',
} as const;
export type AttemptOutcome = typeof attemptOutcomes[keyof typeof attemptOutcomes];

export type AttemptResult = {
	outcome: AttemptOutcome;
	head?: ResponseHead;
	/** The buffered body: all of it, or what arrived before the attempt broke. Empty for a forwarded stream. */
	body: Buffer;
	/** False when no byte of the request left this process. */
	isWritten: boolean;
	/** The response was forwarded as a stream. */
	isStreamed: boolean;
	error?: EndpointClientError;
};

export type AttemptOptions = {
	clock: Clock;
	/** Aborts when the caller disconnects. */
	signal: AbortSignal;
	/** Time after which the attempt is cancelled, in milliseconds. */
	timeoutMs: number;
	/** Forwards the events of a stream; without it the response is buffered. */
	relay?: EventRelay;
	/** Tells whether a response with this head may be forwarded as a stream. */
	isStream?: (head: ResponseHead) => boolean;
	onFirstByte?: () => void;
	/** Time without a first byte after which the attempt is cancelled, in milliseconds. */
	firstByteTimeoutMs?: number;
	/** Called when the first-byte timeout expires; when it returns false, the timeout starts again. */
	isLost?: () => boolean;
	/** Time between two chunks of the response after which the attempt is cancelled, in milliseconds. */
	idleTimeoutMs?: number;
};

/** Sends the request and resolves when the attempt has ended, whatever its outcome. Never rejects. */
export async function runAttempt(client: EndpointClient, address: string, opts: AttemptOptions & {request: OutboundRequest}): Promise<AttemptResult> {
	const finished = new AbortController();
	return new Promise(resolve => {
		const collector = new ResponseCollector(opts, result => {
			finished.abort();
			resolve(result);
		});
		const sentRequest = client.send(address, opts.request, collector);
		collector.setSentRequest(sentRequest);
		void collector.watchTimeouts(finished.signal);
		if (opts.signal.aborted) {
			collector.cancel(attemptOutcomes.cancelled);
		}

		opts.signal.addEventListener('abort', () => {
			collector.cancel(attemptOutcomes.cancelled);
		}, {signal: finished.signal});
		void opts.clock.sleep(Math.max(0, opts.timeoutMs), finished.signal).then(() => {
			if (!finished.signal.aborted) {
				collector.cancel(attemptOutcomes.timedOut);
			}
		});
	});
}

class ResponseCollector implements ResponseHandler {
	readonly #opts: AttemptOptions;
	readonly #resolve: (result: AttemptResult) => void;
	readonly #chunks: Buffer[] = [];
	#sentRequest: SentRequest | undefined;
	#head: ResponseHead | undefined;
	#isStreamed = false;
	#cancelOutcome: AttemptOutcome | undefined;
	#isAwaitingFirstByte = true;
	#lastByteAt: number;

	constructor(opts: AttemptOptions, resolve: (result: AttemptResult) => void) {
		this.#opts = opts;
		this.#resolve = resolve;
		this.#lastByteAt = opts.clock.monotonic();
	}

	setSentRequest(sentRequest: SentRequest): void {
		this.#sentRequest = sentRequest;
	}

	/** Cancels the attempt when the first-byte timeout or the idle timeout expires. */
	async watchTimeouts(finished: AbortSignal): Promise<void> {
		const {clock, firstByteTimeoutMs, idleTimeoutMs, isLost} = this.#opts;
		let waitingSince = this.#lastByteAt;
		while (!finished.aborted) {
			const limitMs = this.#isAwaitingFirstByte ? firstByteTimeoutMs : idleTimeoutMs;
			if (limitMs === undefined && idleTimeoutMs === undefined) {
				return;
			}

			waitingSince = Math.max(waitingSince, this.#lastByteAt);
			let idleMs = clock.monotonic() - waitingSince;
			if (limitMs !== undefined && idleMs >= limitMs) {
				if (!this.#isAwaitingFirstByte || !isLost || isLost()) {
					this.cancel(attemptOutcomes.stalled);
					return;
				}

				waitingSince = clock.monotonic();
				idleMs = 0;
			}

			await clock.sleep((limitMs ?? idleTimeoutMs!) - (limitMs === undefined ? 0 : idleMs), finished);
		}
	}

	cancel(outcome: AttemptOutcome): void {
		this.#cancelOutcome = outcome;
		this.#sentRequest?.cancel();
	}

	onHead(head: ResponseHead): void {
		this.#head = head;
		if (this.#opts.relay && (this.#opts.isStream?.(head) ?? false)) {
			this.#isStreamed = true;
			this.#opts.relay.open(head);
		}
	}

	onData(chunk: Buffer): void {
		this.#lastByteAt = this.#opts.clock.monotonic();
		if (this.#isAwaitingFirstByte) {
			this.#isAwaitingFirstByte = false;
			this.#opts.onFirstByte?.();
		}

		if (!this.#isStreamed) {
			this.#chunks.push(Buffer.from(chunk));
			return;
		}

		const {relay} = this.#opts;
		if (!relay!.write(Buffer.from(chunk))) {
			this.#sentRequest?.pause();
			relay!.onDrain(() => {
				this.#sentRequest?.resume();
			});
		}
	}

	onEnd(): void {
		this.#settle({outcome: attemptOutcomes.answered, isWritten: true});
	}

	onFailure(error: EndpointClientError): void {
		this.#settle({outcome: this.#cancelOutcome ?? attemptOutcomes.broken, isWritten: error.isWritten, error});
	}

	#settle(result: Pick<AttemptResult, 'outcome' | 'isWritten' | 'error'>): void {
		this.#resolve({
			...result, head: this.#head, body: Buffer.concat(this.#chunks), isStreamed: this.#isStreamed,
		});
	}
}
