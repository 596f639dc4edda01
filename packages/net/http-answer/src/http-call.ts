/**
 * A call to an HTTP server over a connection of its own. Its answer ends without an error only by the verdict of the answer
 * reader, and is limited in size. A reader that is slow holds up the server.
 */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {describeError, HickorytrackError, type ErrorCode} from '@hickorytrack/errors';
import {firstFinalStatus, isValidStatus, type AnswerHead} from './answer-framing.js';
import {AnswerReader, answerVerdicts, type ReceivedAnswer} from './answer-reader.js';
import type {ByteBound} from './byte-budget.js';
import {ByteCollector} from './byte-collector.js';
import {ConnectionWatch} from './connection-watch.js';

export type HttpCallOptions = {
	/** Without it, errors of tasks are printed as warnings. */
	tasks?: BackgroundTasks;
	method?: Dispatcher.HttpMethod;
	headers?: Record<string, string>;
	body?: string;
	signal?: AbortSignal;
	/** Time for the whole call, in milliseconds; without it, the call takes any time. */
	timeoutMs?: number;
	/** A larger body fails the call. Of an event stream, only an open event is limited. */
	maxBodyBytes: number;
	/** Bounds what all whole answers hold together while they are read. */
	budget?: ByteBound;
	/** Checked when the connection is open, right before the request is written; on false nothing is written. */
	canSend?: () => boolean;
	/** A call that ends early resets its connection, so that the system does not go on sending the request. */
	isResetAtEnd?: boolean;
};

export class HttpCallError extends HickorytrackError {}

export type HttpAnswer = AnswerHead & {body: Buffer; received: ReceivedAnswer};

/** Bytes that wait for a slow reader before the server is held up. */
const highWaterBytes = 65_536;
const connectTimeoutMs = 10_000;

export class HttpCall implements Dispatcher.DispatchHandler {
	head: AnswerHead | undefined;
	/** Set when the body has ended without an error. */
	received: ReceivedAnswer | undefined;
	readonly #watch = new ConnectionWatch();
	readonly #client: Client;
	readonly #opts: HttpCallOptions;
	readonly #tasks: BackgroundTasks;
	/** Bytes that the reader has not taken yet. */
	readonly #waiting = new ByteCollector();
	#error: Error | undefined;
	#reader: AnswerReader | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#socket: Socket | undefined;
	#isPaused = false;
	#isClosed = false;
	#onProgress: (() => void) | undefined;

	/** Opens the connection and sends the request. */
	constructor(url: string, opts: HttpCallOptions) {
		this.#opts = opts;
		this.#tasks = opts.tasks ?? new BackgroundTasks();
		const {origin, pathname, search} = new URL(url);
		const connect = buildConnector({timeout: connectTimeoutMs});
		this.#client = new Client(origin, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: (options, callback) => {
				connect(options, (...[error, socket]) => {
					if (error) {
						callback(error, null);
					} else {
						this.#socket = socket;
						this.#watch.watch(socket);
						callback(null, socket);
					}
				});
			},
		});
		this.#client.dispatch({
			path: pathname + search, method: opts.method ?? 'GET', headers: opts.headers, body: opts.body, reset: true,
		}, this);
		this.#listenForAbort();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		// The client writes the request when this method returns, unless it is aborted here.
		if (this.#isClosed || this.#opts.canSend?.() === false) {
			this.#fail('ERR_HICKORYTRACK_CALL_CANCELLED', 'The call was not allowed any more when its connection was open');
			controller.abort(this.#error!);
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: AnswerHead['headers']): void {
		if (!isValidStatus(status)) {
			this.#fail('ERR_HICKORYTRACK_ANSWER_BROKEN', `The answer has the status ${status}, which is not valid`);
			return;
		}

		// An informational response precedes the final one.
		if (status < firstFinalStatus) {
			return;
		}

		this.head = {status, headers};
		this.#reader = new AnswerReader(this.head, {method: this.#opts.method ?? 'GET'});
		this.#onProgress?.();
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#isClosed) {
			return;
		}

		this.#watch.recordBody(chunk.length);
		const bytes = this.#reader!.read(chunk);
		if (this.#reader!.heldBytes > this.#opts.maxBodyBytes) {
			this.#fail('ERR_HICKORYTRACK_ANSWER_TOO_LARGE', `The answer exceeds the limit of ${this.#opts.maxBodyBytes} bytes`);
			return;
		}

		this.#append(bytes);
	}

	onResponseEnd(): void {
		if (this.#isClosed) {
			return;
		}

		const received = this.#reader!.describeEnd(this.#watch.end, {isRequestUnread: this.#watch.isRequestUnread});
		if (received.verdict === answerVerdicts.brokenOff) {
			this.#fail('ERR_HICKORYTRACK_ANSWER_BROKEN', `The answer broke off after ${received.bodyBytes} bytes`);
			return;
		}

		this.#append(this.#reader!.finish());
		this.received = received;
		this.#close();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#error ??= error;
		this.#close();
	}

	/** Waits for the head. Throws what failed the call. */
	async waitForHead(): Promise<AnswerHead> {
		while (!this.head) {
			await this.#waitForProgress();
		}

		return this.head;
	}

	/** Reads the body as it arrives; of an event stream, complete events. Throws when it breaks off or exceeds its limit. */
	async * readBody(): AsyncGenerator<Buffer> {
		try {
			for (;;) {
				if (this.#waiting.size > 0) {
					const bytes = this.#waiting.drain();
					this.#resume();
					yield bytes;
				} else if (this.received) {
					return;
				} else {
					await this.#waitForProgress();
				}
			}
		} finally {
			this.cancel();
		}
	}

	/** Reads the whole answer. Throws when it breaks off or exceeds its limit. */
	async readAll(): Promise<HttpAnswer> {
		const {maxBodyBytes, budget} = this.#opts;
		const body = new ByteCollector();
		let heldBytes = 0;
		try {
			const head = await this.waitForHead();
			for await (const chunk of this.readBody()) {
				if (body.size + chunk.length > maxBodyBytes || budget?.acquire(chunk.length) === false) {
					throw new HttpCallError('ERR_HICKORYTRACK_ANSWER_TOO_LARGE', `The answer exceeds the limit of ${maxBodyBytes} bytes, or all answers together that of ${budget?.limit ?? maxBodyBytes}`);
				}

				heldBytes += chunk.length;
				body.append(chunk);
			}

			return {...head, body: body.drain(), received: this.received!};
		} finally {
			budget?.release(heldBytes);
		}
	}

	/** Closes the connection, so that the server stops work on the call. */
	cancel(): void {
		if (!this.received) {
			this.#fail('ERR_HICKORYTRACK_CALL_CANCELLED', 'The call was cancelled');
		}
	}

	#append(bytes: Buffer): void {
		if (bytes.length === 0) {
			return;
		}

		this.#waiting.append(bytes);
		if (this.#waiting.size > highWaterBytes && !this.#isPaused) {
			this.#isPaused = true;
			this.#watch.pause();
			this.#controller?.pause();
		}

		this.#onProgress?.();
	}

	/** May be called in a callback of another connection. The HTTP client runs one parser at a time, so the reader resumes later. */
	#resume(): void {
		if (!this.#isPaused || this.#waiting.size > highWaterBytes) {
			return;
		}

		this.#isPaused = false;
		queueMicrotask(() => {
			if (this.#isClosed || this.#isPaused) {
				return;
			}

			try {
				this.#watch.resume(() => {
					this.#controller?.resume();
				});
			} catch (error) {
				this.#fail('ERR_HICKORYTRACK_ANSWER_BROKEN', `The answer could not be read on: ${describeError(error)}`);
			}
		});
	}

	async #waitForProgress(): Promise<void> {
		if (this.#error) {
			throw this.#error;
		}

		await new Promise<void>(resolve => {
			this.#onProgress = resolve;
		});
	}

	#listenForAbort(): void {
		const {signal, timeoutMs} = this.#opts;
		const signals = [...(signal ? [signal] : []), ...(timeoutMs === undefined ? [] : [AbortSignal.timeout(timeoutMs)])];
		for (const each of signals) {
			const abort = () => {
				this.#fail('ERR_HICKORYTRACK_CALL_CANCELLED', describeError(each.reason));
			};

			each.addEventListener('abort', abort, {once: true});
			if (each.aborted) {
				abort();
			}
		}
	}

	#fail(code: ErrorCode, message: string): void {
		this.#error ??= new HttpCallError(code, message);
		if (this.#opts.isResetAtEnd) {
			this.#socket?.resetAndDestroy();
		}

		this.#close();
	}

	#close(): void {
		this.#isClosed = true;
		this.#onProgress?.();
		this.#tasks.start('close-call', async () => this.#client.destroy());
	}
}

/** Sends a call and reads its whole answer. Throws when it fails, breaks off or exceeds its limit. */
export async function sendCall(url: string, opts: HttpCallOptions): Promise<HttpAnswer> {
	return new HttpCall(url, opts).readAll();
}
