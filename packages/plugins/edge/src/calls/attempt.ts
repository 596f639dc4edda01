/** One attempt to send a request to one server. An event stream is forwarded as it arrives; any other response is buffered. */
import {Buffer} from 'node:buffer';
import type {Clock} from '@hickorytrack/clock';
import {
	EndpointClientError, type AnswerLimits, type ResponseHead, type ResponseHandler, type EndpointClient, type OutboundRequest, type SentRequest,
} from '@hickorytrack/endpoint-client';
import {describeError} from '@hickorytrack/errors';
import {ByteCollector} from '@hickorytrack/http-answer/byte-collector';
import type {ReceivedAnswer} from '@hickorytrack/http-answer/answer-reader';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {EventSink} from '../streams/event-relay.js';
import type {AnswerCharge, AnswerHold} from './answer-hold.js';

export const attemptOutcomes = {
	/** A complete response arrived, or a stream was forwarded to its end. */
	answered: 'answered',
	broken: 'broken',
	timedOut: 'timed-out',
	/** Another attempt delivers the answer. */
	replaced: 'replaced',
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
	/** Its events were dropped, because the start of its server was not proved. */
	isUnproved?: boolean;
	/** What was received of the answer; undefined before its head. */
	answer?: ReceivedAnswer;
	/** The answer waited for room in the memory of this instance, which says nothing about the server. */
	isHeldUp?: boolean;
	/** Time since the last byte of the body, or since the start of the attempt, in milliseconds. */
	silentMs: number;
	error?: EndpointClientError;
};

export type AttemptOptions = {
	clock: Clock;
	/** Aborts when the caller disconnects. */
	signal: AbortSignal;
	/** Time after which the attempt is cancelled, in milliseconds. */
	timeoutMs: number;
	/** Ends the attempt when another one delivers the answer. */
	canceller?: AttemptCanceller;
	/** Forwards the events of a stream; without it the response is buffered. */
	relay?: EventSink;
	/** Tells whether a response with this head may be forwarded as a stream. */
	isStream?: (head: ResponseHead) => boolean;
	/** Called with the head of the answer before any of its body. */
	onHead?: (head: ResponseHead) => void;
	onFirstByte?: () => void;
	/** Holds the answer until the caller has it; without it, the answer is held no longer than the attempt. */
	hold?: AnswerHold;
	/** Watches for silence of the server; without it, nothing is reported. */
	silence?: SilenceOptions;
};

/** A silence is reported and ends nothing: the server may be sound and go on. */
export type SilenceOptions = {
	/** Time without a first byte after which the server is checked, in milliseconds; undefined while it may take any time. */
	firstByteMs?: number;
	/** Tells at each check before the first byte whether the server counts as lost. */
	isLost: () => boolean;
	/** Time between two parts of the response after which a silence is reported, in milliseconds. It grows with silences that ended. */
	idleMs?: number;
	/** Called at each check that finds the server silent, with the time since its last byte in milliseconds. */
	onSilent: (silentMs: number) => void;
};

/** Ends the attempts of a run that is no longer needed. */
export class AttemptCanceller {
	#isCancelled = false;
	/** Created for a run that waits for something beside its attempts; few do. */
	#controller: AbortController | undefined;
	#cancelAttempt: (() => void) | undefined;
	#sentRequest: SentRequest | undefined;
	/** The answer of the present attempt waits for room in the memory of this instance. */
	isHeldUp = false;

	get isCancelled(): boolean {
		return this.#isCancelled;
	}

	/** Aborts when the run ends, for what it waits for beside its attempts. */
	get signal(): AbortSignal {
		this.#controller ??= new AbortController();
		if (this.#isCancelled) {
			this.#controller.abort();
		}

		return this.#controller.signal;
	}

	cancel(): void {
		this.#isCancelled = true;
		this.#controller?.abort();
		this.#cancelAttempt?.();
	}

	/** The request of the present attempt was written to its server, which may work on it. */
	get isWritten(): boolean {
		return this.#sentRequest?.isWritten ?? false;
	}

	/** Sets the present attempt and what ends it. */
	setAttempt(sentRequest: SentRequest, cancelAttempt: () => void): void {
		this.#sentRequest = sentRequest;
		this.#cancelAttempt = cancelAttempt;
		if (this.isCancelled) {
			cancelAttempt();
		}
	}
}

/** Returns why an attempt without a usable response failed, for the caller. */
export function describeFailure({outcome, error}: AttemptResult): string {
	return error?.foreignAnswer ? 'the server sent an answer that is not its own' : `the attempt ended as ${outcome}`;
}

/** Sends the request and resolves when the attempt has ended, whatever its outcome. Never rejects. */
export async function runAttempt(client: EndpointClient, address: SocketAddress, opts: AttemptOptions & {request: OutboundRequest}): Promise<AttemptResult> {
	return new Promise(resolve => {
		const cancelAttempt = () => {
			collector.cancel(attemptOutcomes.cancelled);
		};

		const collector = new ResponseCollector({...opts, limits: client.limits}, result => {
			opts.signal.removeEventListener('abort', cancelAttempt);
			resolve(result);
		});
		opts.signal.addEventListener('abort', cancelAttempt);
		let sentRequest: SentRequest;
		try {
			sentRequest = client.send(address, opts.request, collector);
		} catch (error) {
			opts.request.grant.release();
			collector.onFailure(new EndpointClientError('ERR_HICKORYTRACK_ENDPOINT_REQUEST', `The request to ${address} could not be sent: ${describeError(error)}`, {isWritten: false, cause: error}));
			return;
		}

		collector.setSentRequest(sentRequest);
		collector.startTimers();
		opts.canceller?.setAttempt(sentRequest, () => {
			collector.cancel(attemptOutcomes.replaced);
		});
		if (opts.signal.aborted) {
			cancelAttempt();
		}
	});
}

type CollectorOptions = AttemptOptions & {limits: AnswerLimits};

/** A server that went on after a silence is silent again only after this multiple of it. */
const endedSilenceFactor = 1.5;
/** Upper bound for it, as a multiple of the silence that counts at first: this process may have stood still itself. */
const maxSilenceFactor = 3;

class ResponseCollector implements ResponseHandler {
	readonly #opts: CollectorOptions;
	readonly #resolve: (result: AttemptResult) => void;
	readonly #body = new ByteCollector();
	#cancelDeadlineTimer: (() => void) | undefined;
	#cancelSilenceTimer: (() => void) | undefined;
	#sentRequest: SentRequest | undefined;
	#head: ResponseHead | undefined;
	#isStreamed = false;
	#isSettled = false;
	#cancelOutcome: AttemptOutcome | undefined;
	#isAwaitingFirstByte = true;
	#isReaderPaused = false;
	#charge: AnswerCharge | undefined;
	#chargedBytes = 0;
	#isHeldUp = false;
	#stopWaiting: (() => void) | undefined;
	#waitingSince: number;
	#lastByteAt: number;
	/** Time of the last byte, or of the end of the reader's pause behind it. */
	#listeningSince: number;
	/** A silence was reported since the last byte. */
	#isSilent = false;
	/** Longest silence between two parts of the response after which the server went on, in milliseconds. */
	#longestEndedSilenceMs = 0;

	constructor(opts: CollectorOptions, resolve: (result: AttemptResult) => void) {
		this.#opts = opts;
		this.#resolve = resolve;
		this.#waitingSince = opts.clock.monotonic();
		this.#lastByteAt = this.#waitingSince;
		this.#listeningSince = this.#waitingSince;
	}

	setSentRequest(sentRequest: SentRequest): void {
		this.#sentRequest = sentRequest;
	}

	/** Cancels the attempt when its timeout expires, and checks for silence. */
	startTimers(): void {
		if (this.#isSettled) {
			return;
		}

		this.#cancelDeadlineTimer = this.#opts.clock.startTimer(this.#opts.timeoutMs, () => {
			this.cancel(attemptOutcomes.timedOut);
		});
		this.#startSilenceTimer();
	}

	/** Time without a byte after which the server is checked; undefined while it may take any time. */
	get #silenceLimitMs(): number | undefined {
		const {firstByteMs, idleMs} = this.#opts.silence ?? {};
		if (this.#isAwaitingFirstByte) {
			return firstByteMs;
		}

		// A silence that was reported is reported again as often as any other.
		return idleMs === undefined || this.#isSilent ? idleMs : Math.max(idleMs, Math.min(idleMs * maxSilenceFactor, this.#longestEndedSilenceMs * endedSilenceFactor));
	}

	#startSilenceTimer(): void {
		const limitMs = this.#silenceLimitMs;
		if (limitMs !== undefined) {
			const silentMs = this.#opts.clock.monotonic() - this.#waitingSince;
			this.#cancelSilenceTimer = this.#opts.clock.startTimer(limitMs - silentMs, () => {
				this.#checkSilence();
			});
		}
	}

	#checkSilence(): void {
		const limitMs = this.#silenceLimitMs;
		if (this.#isSettled || limitMs === undefined) {
			return;
		}

		const now = this.#opts.clock.monotonic();
		if (this.#isReaderPaused) {
			// The caller reads slowly; nothing is known of the server.
			this.#waitingSince = now;
		} else if (now - this.#waitingSince >= limitMs) {
			const {isLost, onSilent} = this.#opts.silence!;
			if (!this.#isAwaitingFirstByte || isLost()) {
				this.#isSilent = !this.#isAwaitingFirstByte;
				onSilent(Math.round(now - this.#lastByteAt));
			}

			this.#waitingSince = now;
		}

		if (!this.#isSettled) {
			this.#startSilenceTimer();
		}
	}

	cancel(outcome: AttemptOutcome, reason?: string): void {
		this.#cancelOutcome = outcome;
		this.#sentRequest?.cancel(reason);
	}

	onHead(head: ResponseHead): void {
		this.#head = head;
		this.#opts.onHead?.(head);
		if (this.#opts.relay && (this.#opts.isStream?.(head) ?? false)) {
			this.#isStreamed = true;
			this.#opts.relay.open(head);
		}
	}

	onData(chunk: Buffer): void {
		const now = this.#opts.clock.monotonic();
		if (this.#isSilent) {
			this.#isSilent = false;
			this.#longestEndedSilenceMs = Math.max(this.#longestEndedSilenceMs, now - this.#listeningSince);
		}

		this.#lastByteAt = now;
		this.#listeningSince = now;
		this.#waitingSince = now;
		if (this.#isAwaitingFirstByte) {
			this.#isAwaitingFirstByte = false;
			this.#cancelSilenceTimer?.();
			this.#startSilenceTimer();
			this.#opts.onFirstByte?.();
		}

		if (!this.#isStreamed) {
			this.#append(chunk);
			return;
		}

		const {relay} = this.#opts;
		if (!relay!.write(Buffer.from(chunk))) {
			this.#pauseReader();
			this.#chargeUnread(chunk.length);
			relay!.onDrain(() => {
				this.#charge?.release(this.#chargedBytes);
				this.#chargedBytes = 0;
				this.#resumeReader();
			});
		}
	}

	#pauseReader(): void {
		this.#isReaderPaused = true;
		this.#sentRequest?.pause();
	}

	#resumeReader(): void {
		this.#isReaderPaused = false;
		this.#listeningSince = this.#opts.clock.monotonic();
		this.#waitingSince = this.#listeningSince;
		this.#sentRequest?.resume();
	}

	/** Charges events that wait for a slow caller. Without room for them, the stream ends here. */
	#chargeUnread(bytes: number): void {
		const {hold} = this.#opts;
		if (!hold) {
			return;
		}

		this.#charge ??= hold.open(bytes);
		if (this.#charge.acquire(bytes)) {
			this.#chargedBytes += bytes;
		} else {
			this.cancel(attemptOutcomes.broken, 'was cancelled: there is no memory left for events that the caller does not read');
		}
	}

	/** Appends a part to the buffered response. One that exceeds the limits is the server's failure. */
	#append(chunk: Buffer): void {
		const {hold, limits: {maxAnswerBytes, budget}} = this.#opts;
		const declaredBytes = Number(this.#head!.headers['content-length'] ?? 0);
		const expectedBytes = Math.max(declaredBytes, this.#body.size + chunk.length);
		const missingBytes = expectedBytes - this.#chargedBytes;
		if (expectedBytes <= maxAnswerBytes) {
			this.#charge ??= hold?.open(expectedBytes);
			if (missingBytes <= 0 || (this.#charge ?? budget).acquire(missingBytes)) {
				this.#chargedBytes += Math.max(0, missingBytes);
				if (this.#body.size === 0) {
					this.#body.reserve(declaredBytes);
				}

				this.#body.append(chunk);
				return;
			}

			if (this.#charge && this.#body.size === 0 && declaredBytes === expectedBytes) {
				this.#body.append(chunk);
				this.#waitForRoom(missingBytes);
				return;
			}
		}

		this.cancel(attemptOutcomes.broken, `was cancelled: its answer has ${expectedBytes} bytes or more; the limit is ${maxAnswerBytes} for one and ${budget.limit} for all`);
	}

	/** Holds up the server until there is room for the whole answer, so that no two answers wait for each other. */
	#waitForRoom(bytes: number): void {
		this.#setHeldUp(true);
		this.#pauseReader();
		this.#stopWaiting = this.#charge!.wait(bytes, () => {
			this.#stopWaiting = undefined;
			this.#chargedBytes += bytes;
			this.#body.reserve(this.#chargedBytes);
			this.#setHeldUp(false);
			this.#resumeReader();
		});
	}

	#setHeldUp(isHeldUp: boolean): void {
		this.#isHeldUp = isHeldUp;
		if (this.#opts.canceller) {
			this.#opts.canceller.isHeldUp = isHeldUp;
		}
	}

	onEnd(answer: ReceivedAnswer): void {
		this.#settle({outcome: attemptOutcomes.answered, isWritten: true, answer});
	}

	onFailure(error: EndpointClientError): void {
		this.#settle({
			outcome: this.#cancelOutcome ?? attemptOutcomes.broken, isWritten: error.isWritten, answer: error.answer, error,
		});
	}

	#settle(result: Pick<AttemptResult, 'outcome' | 'isWritten' | 'answer' | 'error'>): void {
		this.#isSettled = true;
		this.#cancelDeadlineTimer?.();
		this.#cancelSilenceTimer?.();

		this.#stopWaiting?.();
		if (!this.#charge) {
			this.#opts.limits.budget.release(this.#chargedBytes);
		} else if (result.outcome !== attemptOutcomes.answered && !this.#isStreamed) {
			this.#charge.release(this.#chargedBytes);
		}

		this.#resolve({
			...result, isHeldUp: this.#isHeldUp, head: this.#head, body: this.#body.drain(), isStreamed: this.#isStreamed, silentMs: Math.round(this.#opts.clock.monotonic() - this.#lastByteAt),
		});
	}
}
