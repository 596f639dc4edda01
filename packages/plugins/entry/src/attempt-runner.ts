/**
 * Runs one attempt at one agent: submits it, forwards its pieces in order, and resolves its outcome when the connection to
 * the agent breaks. The callers of this module decide on further attempts. An attempt whose engine is silent goes on until
 * another one delivers, or has had the work for a while without ending.
 */
import {AnswerReader} from '@hickorytrack/answer-stream/answer-reader';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import {
	refusalReasons, type AttemptEnd, type AttemptResolution, type PieceBatch, type RefusalReason, type Stall, type WorkSubmission,
} from '@hickorytrack/types/work';
import {Acknowledger} from './acknowledger.js';
import type {EndpointDirectory, EndpointHandle} from './endpoint-directory.js';

const submitTimeoutMs = 2000;
const recoveryTimeoutMs = 3000;
const recoveryPollIntervalMs = 20;
const resolveTimeoutMs = 1000;
const submitFailureBackOffMs = 1000;
/** Time for which two engines work on the same rest of an answer until the second one delivers. */
const takeoverWaitMs = 300;
/** Its agent or engine may be silent for a moment. */
const temporaryBackOffMs = 250;

export type AttemptOutcome =
	| {kind: 'refused'; reason: RefusalReason}
	| {kind: 'ended'; end: AttemptEnd}
	/** The outcome can't be determined. */
	| {kind: 'lost'}
	| {kind: 'stopped'};

const temporaryReasons: ReadonlySet<RefusalReason | undefined> = new Set([refusalReasons.notReady, refusalReasons.tombstone]);

/**
 * Returns whether a refusal says nothing about the request, so that the endpoint may take it a moment later: it was not ready,
 * or the attempt was withdrawn because its agent did not reply.
 */
export function isTemporaryReason(reason: RefusalReason | undefined): boolean {
	return temporaryReasons.has(reason);
}

export function isTemporaryRefusal(outcome: AttemptOutcome): boolean {
	const refusal = outcome.kind === 'ended' ? outcome.end : outcome;
	return refusal.kind === 'refused' && isTemporaryReason(refusal.reason);
}

/** An attempt that its agent has accepted, or may have accepted. */
export type AcceptedAttempt = {
	kind: 'accepted';
	handle: EndpointHandle;
	submission: WorkSubmission;
	connection: PeerConnection;
	reader: AnswerReader;
};

export type AttemptOptions = {
	signal: AbortSignal;
	/** Receives the texts in order; resolves when the caller can receive more. */
	onTexts: (texts: string[]) => Promise<void>;
	/** Submits the rest of the work elsewhere because the engine is silent; returns `undefined` if nobody accepts it. */
	findTakeover?: (stall: Stall) => Promise<AcceptedAttempt | undefined>;
	/** Runs when an attempt has ended that was to take the work over; the one at the silent engine goes on. */
	onTakeoverFailed?: (attempt: AcceptedAttempt, end: AttemptEnd) => void;
	/** Runs when the texts come from this attempt from now on. */
	onTakenOver?: (attempt: AcceptedAttempt, stall: Stall) => void;
};

export class AttemptRunner {
	readonly #context: ProcessContext;
	readonly #endpoints: EndpointDirectory;
	readonly #readers = new Map<string, AnswerReader>();
	readonly #acknowledger: Acknowledger;
	#lastAttemptNumber = 0;

	constructor(context: ProcessContext, endpoints: EndpointDirectory) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#acknowledger = new Acknowledger(context.clock);
		context.peers.handle('work.pieces', (batch, connection) => {
			this.#handlePieces(batch, connection);
		});
	}

	get openCount(): number {
		return this.#readers.size;
	}

	/** Returns an attempt id that is unique across processes and across restarts of this process. */
	createAttemptId(): string {
		this.#lastAttemptNumber++;
		return `${this.#context.settings.instance}.${this.#context.member.incarnation.slice(0, 8)}.${this.#lastAttemptNumber}`;
	}

	async run(handle: EndpointHandle, submission: WorkSubmission, opts: AttemptOptions): Promise<AttemptOutcome> {
		let current = await this.submit(handle, submission, opts.signal);
		while (current.kind === 'accepted') {
			current = await this.#follow(current, opts);
		}

		return current;
	}

	/** Submits an attempt. If it is accepted, the caller has to run it or cancel it. */
	async submit(handle: EndpointHandle, submission: WorkSubmission, signal: AbortSignal): Promise<AcceptedAttempt | AttemptOutcome> {
		const reader = new AnswerReader(submission.attempt);
		this.#readers.set(submission.attempt, reader);
		this.#recordSent(handle, submission);
		let result: AcceptedAttempt | AttemptOutcome | undefined;
		try {
			result = await this.#sendSubmission(handle, submission, {reader, signal});
			return result;
		} finally {
			if (result?.kind !== 'accepted') {
				this.#finish(handle, submission, result);
			}
		}
	}

	cancel({connection, handle, submission}: AcceptedAttempt): void {
		connection.notify('work.cancel', {attempt: submission.attempt});
		this.#finish(handle, submission);
	}

	/** Follows an attempt to its outcome, or until another one has taken it over. */
	async #follow(accepted: AcceptedAttempt, opts: AttemptOptions): Promise<AcceptedAttempt | AttemptOutcome> {
		let result: AcceptedAttempt | AttemptOutcome | undefined;
		try {
			result = await this.#forwardPieces(accepted, opts);
			return result;
		} finally {
			this.#finish(accepted.handle, accepted.submission, result);
		}
	}

	#finish(handle: EndpointHandle, submission: WorkSubmission, result?: AcceptedAttempt | AttemptOutcome): void {
		this.#readers.delete(submission.attempt);
		handle.recordFinished(submission.attempt);
		if (result && result.kind !== 'accepted' && isTemporaryRefusal(result)) {
			handle.backOffUntil = Math.max(handle.backOffUntil, this.#context.clock.monotonic() + temporaryBackOffMs);
		}
	}

	/** Requests the state of an attempt from its agent. Returns `undefined` if the agent is unknown or does not answer. */
	async resolve(attempt: string, opts: {endpoint: string; agentIncarnation: string; cancel: boolean}): Promise<ResolvedAttempt | undefined> {
		const record = this.#endpoints.findRecord(opts.endpoint);
		if (!record) {
			return undefined;
		}

		const existing = this.#endpoints.find(opts.endpoint)?.connection;
		const opened = existing ? undefined : await this.#context.peers.connect(record.agentAddress);
		const connection = existing ?? (opened?.isOk() ? opened.value : undefined);
		if (connection?.remote.incarnation !== opts.agentIncarnation) {
			return connection ? {state: 'agent-restarted'} : undefined;
		}

		const reply = await connection.request('work.resolve', {attempt, cancel: opts.cancel}, {timeoutMs: resolveTimeoutMs});
		if (opened?.isOk()) {
			opened.value.close();
		}

		return reply.isOk() ? reply.value : undefined;
	}

	async #sendSubmission(handle: EndpointHandle, submission: WorkSubmission, opts: {reader: AnswerReader; signal: AbortSignal}): Promise<AcceptedAttempt | AttemptOutcome> {
		const {connection} = handle;
		if (!connection) {
			return {kind: 'refused', reason: 'not-ready'};
		}

		const reply = await connection.request('work.submit', submission, {timeoutMs: submitTimeoutMs});
		if (reply.isErr()) {
			handle.backOffUntil = this.#context.clock.monotonic() + submitFailureBackOffMs;
			return reply.error.sent ? this.#resolveUnansweredSubmission(handle, submission, {...opts, connection}) : {kind: 'refused', reason: 'not-ready'};
		}

		handle.updateLoad(reply.value.load, this.#context.clock.monotonic());
		if (!reply.value.accepted) {
			return {kind: 'refused', reason: reply.value.reason};
		}

		await this.#context.steps.onStep('request.handed-to-agent', this.#context.settings.instance);
		return {
			kind: 'accepted', handle, submission, connection, reader: opts.reader,
		};
	}

	/** Forwards pieces until the end and resumes over a new connection when the current one breaks. */
	async #forwardPieces(accepted: AcceptedAttempt, opts: AttemptOptions): Promise<AcceptedAttempt | AttemptOutcome> {
		const {handle, submission, reader} = accepted;
		const {signal} = opts;
		let {connection} = accepted;
		this.#watchClose(reader, connection);
		for (;;) {
			const item = await reader.read(signal);
			if (item === undefined) {
				connection.notify('work.cancel', {attempt: submission.attempt});
				return {kind: 'stopped'};
			}

			switch (item.kind) {
				case 'texts': {
					await opts.onTexts(item.texts);
					this.#acknowledger.record(connection, submission.attempt, reader.next);

					break;
				}

				case 'end': {
					this.#acknowledger.record(connection, submission.attempt, reader.next + 1);
					return {kind: 'ended', end: item.end};
				}

				case 'stalled': {
					const takeover = await this.#findTakeover(reader, item.stall, opts);
					if (takeover) {
						connection.notify('work.cancel', {attempt: submission.attempt});
						return takeover;
					}

					break;
				}

				default: {
					const next = await this.#resumeStream(handle, {reader, incarnation: connection.remote.incarnation, signal});
					if (!next) {
						return {kind: 'lost'};
					}

					connection = next;
				}
			}
		}
	}

	/**
	 * Submits the work elsewhere. The attempt keeps it if its engine goes on before another attempt delivers, and while those end
	 * without. One that has crashed its engine decides about the request, which is tried at one engine at a time from then on.
	 */
	async #findTakeover(reader: AnswerReader, stall: Stall, opts: AttemptOptions): Promise<AcceptedAttempt | undefined> {
		for (;;) {
			const takeover = await opts.findTakeover?.(stall);
			if (!takeover) {
				return undefined;
			}

			const isKept = reader.hasProgress || await this.#waitForDelivery(reader, takeover.reader, opts.signal) === 'kept';
			const {end} = takeover.reader;
			const hasFailed = end !== undefined && end.kind !== 'engine-crashed' && !takeover.reader.hasProgress && reader.end === undefined;
			if (hasFailed) {
				this.#acknowledger.record(takeover.connection, takeover.submission.attempt, takeover.reader.next + 1);
				this.#finish(takeover.handle, takeover.submission, {kind: 'ended', end});
				opts.onTakeoverFailed?.(takeover, end);
			} else if (isKept || opts.signal.aborted) {
				this.cancel(takeover);
				return undefined;
			} else {
				opts.onTakenOver?.(takeover, stall);
				return takeover;
			}

			if (reader.hasProgress || opts.signal.aborted) {
				return undefined;
			}
		}
	}

	/** Waits until one of two attempts delivers or ends, or the time has passed. Tells whether the first one goes on. */
	async #waitForDelivery(reader: AnswerReader, other: AnswerReader, signal: AbortSignal): Promise<'kept' | 'moved'> {
		const {clock} = this.#context;
		const until = clock.monotonic() + takeoverWaitMs;
		while (!other.hasProgress && !other.end && !reader.end && clock.monotonic() < until && !signal.aborted) {
			if (reader.hasProgress) {
				return 'kept';
			}

			const finished = new AbortController();
			const either = AbortSignal.any([signal, finished.signal]);
			await Promise.race([reader.waitForMore(either), other.waitForMore(either), clock.sleep(until - clock.monotonic(), either)]);
			finished.abort();
		}

		return other.hasProgress || !reader.hasProgress ? 'moved' : 'kept';
	}

	async #resumeStream(handle: EndpointHandle, opts: {reader: AnswerReader; incarnation: string; signal: AbortSignal}): Promise<PeerConnection | undefined> {
		const {clock} = this.#context;
		const until = clock.monotonic() + recoveryTimeoutMs;
		while (clock.monotonic() < until && !opts.signal.aborted) {
			const {connection} = handle;
			if (connection && connection.remote.incarnation !== opts.incarnation) {
				return undefined;
			}

			if (connection) {
				opts.reader.resume();
				const reply = await connection.request('work.resume', {attempt: opts.reader.attempt, from: opts.reader.next}, {timeoutMs: resolveTimeoutMs});
				if (reply.isOk()) {
					if (!reply.value.known) {
						return undefined;
					}

					this.#watchClose(opts.reader, connection);
					return connection;
				}
			}

			await clock.sleep(recoveryPollIntervalMs, opts.signal);
		}

		return undefined;
	}

	/** Resolves a submission that got no reply: the agent adds a tombstone for the attempt if it has not begun. */
	async #resolveUnansweredSubmission(handle: EndpointHandle, submission: WorkSubmission, opts: {reader: AnswerReader; signal: AbortSignal; connection: PeerConnection}): Promise<AcceptedAttempt | AttemptOutcome> {
		const {clock} = this.#context;
		const until = clock.monotonic() + recoveryTimeoutMs;
		while (clock.monotonic() < until && !opts.signal.aborted) {
			const resolution = await this.resolve(submission.attempt, {endpoint: handle.endpoint, agentIncarnation: opts.connection.remote.incarnation, cancel: true});
			if (resolution?.state === 'never-written') {
				return {kind: 'refused', reason: 'tombstone'};
			}

			if (resolution?.state === 'running' || resolution?.state === 'ended') {
				opts.reader.setBroken();
				return {
					kind: 'accepted', handle, submission, connection: opts.connection, reader: opts.reader,
				};
			}

			if (resolution) {
				return {kind: 'lost'};
			}

			await clock.sleep(recoveryPollIntervalMs, opts.signal);
		}

		return {kind: 'lost'};
	}

	#watchClose(reader: AnswerReader, connection: PeerConnection): void {
		void connection.closed.then(() => {
			reader.setBroken();
		});
	}

	#handlePieces(batch: PieceBatch, connection: PeerConnection): void {
		this.#endpoints.updateLoad(connection.remote.instance, batch.load);
		for (const run of batch.runs) {
			this.#readers.get(run.attempt)?.append(run);
		}
	}

	#recordSent(handle: EndpointHandle, submission: WorkSubmission): void {
		const {work} = submission;
		const isGeneration = work.kind === 'generation';
		handle.recordSent(submission.attempt, {
			sentAt: this.#context.clock.monotonic(),
			prefillTokens: isGeneration ? work.promptTokens : 0,
			decodeTokens: isGeneration ? work.maxTokens : 0,
		});
	}
}

export type ResolvedAttempt =
	| AttemptResolution
	| {state: 'agent-restarted'};
