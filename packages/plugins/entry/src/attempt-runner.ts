/**
 * One attempt at one agent: hand it over, pass its pieces on in order, and find out what became of it when the hop
 * breaks. Nothing here decides about another attempt.
 */
import {AnswerReader} from '@hickorytrack/answer-stream/answer-reader';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {
	AttemptEnd, AttemptResolution, PieceBatch, RefusalReason, WorkSubmission,
} from '@hickorytrack/types/work';
import {Acknowledger} from './acknowledger.js';
import type {EndpointDirectory, EndpointHandle} from './endpoint-directory.js';

const submitTimeoutMs = 2000;
const resumeWindowMs = 3000;
const resumePollMs = 20;
const resolveTimeoutMs = 1000;
const shunMs = 1000;

export type AttemptOutcome =
	| {kind: 'refused'; reason: RefusalReason}
	| {kind: 'ended'; end: AttemptEnd}
	/** Nobody can say what became of it. */
	| {kind: 'lost'}
	| {kind: 'stopped'};

export type AttemptOptions = {
	signal: AbortSignal;
	/** Takes the texts in order; it resolves when the caller can take more. */
	onTexts: (texts: string[]) => Promise<void>;
};

export class AttemptRunner {
	readonly #context: ProcessContext;
	readonly #endpoints: EndpointDirectory;
	readonly #readers = new Map<string, AnswerReader>();
	readonly #acknowledger: Acknowledger;
	#lastAttempt = 0;

	constructor(context: ProcessContext, endpoints: EndpointDirectory) {
		this.#context = context;
		this.#endpoints = endpoints;
		this.#acknowledger = new Acknowledger(context.clock);
		context.peers.handle('work.pieces', (batch, connection) => {
			this.#takePieces(batch, connection);
		});
	}

	get open(): number {
		return this.#readers.size;
	}

	/** Returns a name for an attempt that no other process and no later start of this one will use. */
	createAttemptId(): string {
		this.#lastAttempt++;
		return `${this.#context.settings.instance}.${this.#context.member.incarnation.slice(0, 8)}.${this.#lastAttempt}`;
	}

	async run(handle: EndpointHandle, submission: WorkSubmission, opts: AttemptOptions): Promise<AttemptOutcome> {
		const reader = new AnswerReader(submission.attempt);
		this.#readers.set(submission.attempt, reader);
		this.#noteSent(handle, submission);
		try {
			return await this.#hand(handle, submission, {...opts, reader});
		} finally {
			this.#readers.delete(submission.attempt);
			handle.noteFinished(submission.attempt);
		}
	}

	/** Asks the agent what became of an attempt; `undefined` when it can't be asked or has restarted since. */
	async resolve(attempt: string, opts: {endpoint: string; agentIncarnation: string; cancel: boolean}): Promise<ResolvedAttempt | undefined> {
		const record = this.#endpoints.findRecord(opts.endpoint);
		if (!record) {
			return undefined;
		}

		const kept = this.#endpoints.find(opts.endpoint)?.connection;
		const opened = kept ? undefined : await this.#context.peers.connect(record.agentAddress);
		const connection = kept ?? (opened?.isOk() ? opened.value : undefined);
		if (connection?.remote.incarnation !== opts.agentIncarnation) {
			return connection ? {state: 'agent-restarted'} : undefined;
		}

		const reply = await connection.request('work.resolve', {attempt, cancel: opts.cancel}, {timeoutMs: resolveTimeoutMs});
		if (opened?.isOk()) {
			opened.value.close();
		}

		return reply.isOk() ? reply.value : undefined;
	}

	async #hand(handle: EndpointHandle, submission: WorkSubmission, opts: AttemptOptions & {reader: AnswerReader}): Promise<AttemptOutcome> {
		const {connection} = handle;
		if (!connection) {
			return {kind: 'refused', reason: 'not-ready'};
		}

		const reply = await connection.request('work.submit', submission, {timeoutMs: submitTimeoutMs});
		if (reply.isErr()) {
			handle.shunnedUntil = this.#context.clock.monotonic() + shunMs;
			return reply.error.sent ? this.#resolveLost(handle, submission, {...opts, connection}) : {kind: 'refused', reason: 'not-ready'};
		}

		handle.noteLoad(reply.value.load, this.#context.clock.monotonic());
		if (!reply.value.accepted) {
			return {kind: 'refused', reason: reply.value.reason};
		}

		await this.#context.steps.onStep('request.handed-to-agent', this.#context.settings.instance);
		return this.#follow(handle, submission, {...opts, connection});
	}

	/** Passes pieces on until the end, going on over a new connection when the present one breaks. */
	async #follow(handle: EndpointHandle, submission: WorkSubmission, opts: AttemptOptions & {reader: AnswerReader; connection: PeerConnection}): Promise<AttemptOutcome> {
		const {reader, signal} = opts;
		let {connection} = opts;
		this.#breakOnClose(reader, connection);
		for (;;) {
			const item = await reader.read(signal);
			if (item === undefined) {
				connection.notify('work.cancel', {attempt: submission.attempt});
				return {kind: 'stopped'};
			}

			if (item.kind === 'texts') {
				await opts.onTexts(item.texts);
				this.#acknowledger.note(connection, submission.attempt, reader.next);
			} else if (item.kind === 'end') {
				this.#acknowledger.note(connection, submission.attempt, reader.next);
				return {kind: 'ended', end: item.end};
			} else {
				const next = await this.#reconnect(handle, {reader, incarnation: connection.remote.incarnation, signal});
				if (!next) {
					return {kind: 'lost'};
				}

				connection = next;
			}
		}
	}

	async #reconnect(handle: EndpointHandle, opts: {reader: AnswerReader; incarnation: string; signal: AbortSignal}): Promise<PeerConnection | undefined> {
		const {clock} = this.#context;
		const until = clock.monotonic() + resumeWindowMs;
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

					this.#breakOnClose(opts.reader, connection);
					return connection;
				}
			}

			await clock.sleep(resumePollMs, opts.signal);
		}

		return undefined;
	}

	/** After a hand-over without a reply: asks the agent, and bars the attempt if it has not begun. */
	async #resolveLost(handle: EndpointHandle, submission: WorkSubmission, opts: AttemptOptions & {reader: AnswerReader; connection: PeerConnection}): Promise<AttemptOutcome> {
		const {clock} = this.#context;
		const until = clock.monotonic() + resumeWindowMs;
		while (clock.monotonic() < until && !opts.signal.aborted) {
			const known = await this.resolve(submission.attempt, {endpoint: handle.endpoint, agentIncarnation: opts.connection.remote.incarnation, cancel: true});
			if (known?.state === 'never-written') {
				return {kind: 'refused', reason: 'tombstone'};
			}

			if (known?.state === 'running' || known?.state === 'ended') {
				opts.reader.setBroken();
				return this.#follow(handle, submission, opts);
			}

			if (known) {
				return {kind: 'lost'};
			}

			await clock.sleep(resumePollMs, opts.signal);
		}

		return {kind: 'lost'};
	}

	#breakOnClose(reader: AnswerReader, connection: PeerConnection): void {
		void connection.closed.then(() => {
			reader.setBroken();
		});
	}

	#takePieces(batch: PieceBatch, connection: PeerConnection): void {
		this.#endpoints.noteLoad(connection.remote.instance, batch.load);
		for (const run of batch.runs) {
			this.#readers.get(run.attempt)?.append(run);
		}
	}

	#noteSent(handle: EndpointHandle, submission: WorkSubmission): void {
		const {work} = submission;
		const isGeneration = work.kind === 'generation';
		handle.noteSent(submission.attempt, {
			sentAt: this.#context.clock.monotonic(),
			prefillTokens: isGeneration ? work.promptTokens : 0,
			decodeTokens: isGeneration ? work.maxTokens : 0,
		});
	}
}

export type ResolvedAttempt =
	| AttemptResolution
	| {state: 'agent-restarted'};
