/** Sends the answers of a server, regular ones and those of a server that misbehaves. */
import {Buffer} from 'node:buffer';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {
	countEvents, createEvent, createPlainBody, createStamp,
} from './expected-body.js';
import {formatChunk, formatMessage, type HttpMessage} from './http-message-reader.js';
import type {NamedLimit} from './named-limit.js';
import type {ServerChannel} from './server-channel.js';
import {unframedRate, type ServerFault} from './server-faults.js';
import type {ServerOperations} from './server-operations.js';
import type {RunPace} from './server-slowness.js';

export type Arrival = {
	message: HttpMessage;
	path: string;
	requestId: string;
	/** Counts the arrivals of one start of the server. */
	number: number;
	deadlineAt: number;
};

export type ServerAnswersOptions = {
	/** Version of the software of the server. */
	version: string;
	clock: Clock;
	random: Random;
	faults: ReadonlySet<string>;
	operations: ServerOperations;
	limit: NamedLimit;
	/** Ends the process after a reset of all its connections. */
	crash: () => void;
	/** Ends the process; the system closes its connections. */
	exit: () => void;
};

const maxUsualEventMs = 8;
/** Some streams take longer, so that changes and silences meet them midway. */
const slowFraction = 0.25;
const maxSlowEventMs = 60;
const closeRate = 0.02;
const endlessWriteBytes = 65_536;
/** A truncated stream lacks the end of its last event. */
const truncatedCharacters = 8;

export class ServerAnswers {
	readonly #opts: ServerAnswersOptions;

	constructor(opts: ServerAnswersOptions) {
		this.#opts = opts;
	}

	send(channel: ServerChannel, {requestId}: Arrival, {status, headers, body, fault}: {status: number; headers: Record<string, string>; body: string; fault?: ServerFault}): void {
		const isUnframed = this.#isUnframed();
		const isLast = isUnframed || (this.#opts.faults.has('idle-close') && this.#opts.random.next() < closeRate);
		const bytes = formatMessage(`HTTP/1.1 ${status} Status`, {
			'x-request-id': requestId, ...this.#opts.limit.createHeaders(), ...headers, ...(isLast ? {connection: 'close'} : {}),
		}, body, {isUnframed});
		this.#planBreak(channel, fault, bytes.length);
		channel.send(bytes);
		if (isLast) {
			channel.end({isUnframed});
		} else {
			channel.finish();
		}
	}

	async sendEvents(channel: ServerChannel, {message, path, requestId}: Arrival, {fault, pace}: {fault: ServerFault | undefined; pace: RunPace}): Promise<void> {
		const {clock, random, operations} = this.#opts;
		const count = countEvents(path);
		const first = Number(message.headers['last-event-id'] ?? 0) + 1;
		const backup = message.headers['x-kv-backup'];
		const isUnframed = this.#isUnframed();
		const usualMs = random.next() < slowFraction ? maxSlowEventMs : maxUsualEventMs;
		const format = (text: string) => isUnframed ? text : formatChunk(text);
		const head = formatMessage('HTTP/1.1 200 OK', {
			'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path), 'content-type': 'text/event-stream', ...this.#opts.limit.createHeaders(), ...(isUnframed ? {connection: 'close'} : {'transfer-encoding': 'chunked'}),
		}, '', {isUnframed});
		this.#planBreak(channel, fault, head.length + (Math.max(0, count - first + 1) * format(createEvent(requestId, count, count, this.#opts.version)).length));
		channel.send(head);
		for (let event = first; event <= count && !channel.signal.aborted; event++) {
			const text = createEvent(requestId, event, count, this.#opts.version);
			if (fault === 'truncated' && event === count) {
				channel.send(format(text.slice(0, -truncatedCharacters)));
				channel.reset();
				return;
			}

			channel.send(format(text));
			if (backup !== undefined) {
				void operations.copyKv(backup, requestId);
			}

			const isPaused = event === first + Math.floor((count - first) * (pace.pause?.afterFraction ?? Number.NaN));
			await clock.sleep(random.nextBetween(1, pace.maxEventMs ?? usualMs) + (isPaused ? pace.pause!.ms : 0), isPaused ? channel.signal : undefined);
		}

		if (isUnframed) {
			channel.end({isUnframed});
		} else {
			channel.send(formatChunk(''));
			channel.finish();
		}
	}

	#isUnframed(): boolean {
		const {faults, random} = this.#opts;
		return faults.has('unframed') && random.next() < unframedRate;
	}

	/** Begins to write an answer and crashes: before its head, behind it, between two events or inside one. */
	async sendUntilCrash(channel: ServerChannel, {message, path, requestId}: Arrival): Promise<void> {
		const {clock, random, crash, exit} = this.#opts;
		const isUnframed = this.#isUnframed();
		const count = countEvents(path);
		const first = Number(message.headers['last-event-id'] ?? 0) + 1;
		const event = first <= count ? createEvent(requestId, first, count, this.#opts.version) : '';
		const head = formatMessage('HTTP/1.1 200 OK', {
			'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path), 'content-type': 'text/event-stream', ...this.#opts.limit.createHeaders(), ...(isUnframed ? {connection: 'close'} : {'transfer-encoding': 'chunked'}),
		}, '', {isUnframed});
		const format = (text: string) => isUnframed ? text : formatChunk(text);
		const texts = random.select(event === '' ? [[], [head]] : [[], [head], [head, format(event)], [head, format(event.slice(0, truncatedCharacters))]]);
		for (const text of texts) {
			channel.send(text);

			await clock.sleep(random.nextBetween(0, maxUsualEventMs));
		}

		if (random.next() < 0.5) {
			crash();
		} else {
			exit();
		}
	}

	#planBreak(channel: ServerChannel, fault: ServerFault | undefined, answerBytes: number): void {
		const {random} = this.#opts;
		if (fault === 'broken-off') {
			channel.planBreak({afterBytes: Math.floor(random.nextBetween(0, answerBytes)), by: random.next() < 0.5 ? 'close' : 'reset', delayMs: random.next() < 0.5 ? 0 : random.nextBetween(1, maxUsualEventMs)});
		}
	}

	#sendEndlessly(channel: ServerChannel, {requestId, path}: Arrival): void {
		const head = {'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path)};
		const format = (headers: Record<string, string>) => formatMessage('HTTP/1.1 200 OK', headers, '', {isUnframed: true}).toString();
		const [start, piece] = this.#opts.random.select([
			[format(head), 'x'],
			[format({...head, 'transfer-encoding': 'chunked'}), formatChunk('abcde')],
			[`${format({...head, 'content-type': 'text/event-stream'})}data: `, 'x'],
			['HTTP/1.1 200 OK\r\nX-Any: ', 'x'],
			['', 'x'],
		] as const);
		channel.send(start);
		channel.sendEndlessly(Buffer.from(piece.repeat(endlessWriteBytes / piece.length)));
	}

	/** Returns true if the request gets no regular answer. */
	applyFault(channel: ServerChannel, arrival: Arrival, fault: ServerFault | undefined): boolean {
		const {message, path, requestId} = arrival;
		switch (fault) {
			case 'crash': {
				this.#opts.crash();
				return true;
			}

			case 'exit': {
				if (this.#opts.operations.stage === undefined) {
					const body = createPlainBody(requestId, path);
					channel.send(formatMessage('HTTP/1.1 200 OK', {
						'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path), ...this.#opts.limit.createHeaders(), connection: 'close',
					}, body.slice(0, body.length / 2), {isUnframed: true}));
				}

				this.#opts.exit();
				return true;
			}

			case 'lost': {
				channel.reset();
				return true;
			}

			case 'silent': {
				return true;
			}

			case 'endless': {
				this.#sendEndlessly(channel, arrival);
				return true;
			}

			case 'garbage': {
				channel.send(`${requestId} is no answer\r\n\r\n`);
				channel.end();
				return true;
			}

			case 'truncated': {
				// A stream is truncated while it is sent.
				if (this.#opts.operations.stage !== undefined && message.headers['x-stage'] !== 'prefill') {
					return false;
				}

				const body = createPlainBody(requestId, path);
				channel.send(formatMessage('HTTP/1.1 200 OK', {
					'x-request-id': requestId, 'x-response-stamp': createStamp(requestId, path), ...this.#opts.limit.createHeaders(), 'content-length': String(body.length),
				}, body.slice(0, body.length / 2)));
				channel.end();
				return true;
			}

			default: {
				return false;
			}
		}
	}
}
