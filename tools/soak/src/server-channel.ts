/**
 * One connection of a server. It reads requests, sends one answer at a time, and stutters: an answer is sent a second time,
 * just before the next answer on the connection, or after a while, when the next request may be on its way. It is the last
 * answer or an earlier refusal, which may lack its id, be cut inside its head, or come in two parts.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {HttpMessageReader, type HttpMessage} from './http-message-reader.js';
import type {Silence} from './silence.js';

export type ServerChannelOptions = {
	clock: Clock;
	random: Random;
	stutterRate: number;
	silence: Silence;
	/** The connection is closed after an idle time; undefined to keep it. */
	idleMs?: number;
	handle: (channel: ServerChannel, message: HttpMessage) => Promise<void>;
};

export type AnswerBreak = {
	/** Bytes of the answer that are sent, its head included. */
	afterBytes: number;
	by: 'close' | 'reset';
	/** Time between the last bytes and a reset; without any, they may arrive together. */
	delayMs: number;
};

/** Fraction of the late answers that are sent with the next answer; the others are sent between two answers. */
const lateWithNextFraction = 0.5;
const maxStutterMs = 60;
/** Fraction of the late answers that are an earlier refusal of the connection, if there is one. */
const earlierRefusalFraction = 0.5;
const maxKeptRefusals = 8;
const refusalForms = ['whole', 'without-id', 'cut', 'cut-without-id'] as const;
/** Fraction of the late answers between two answers whose end comes with the next answer. */
const splitFraction = 0.3;
const refusalPattern = /^HTTP\/1\.1 [45]\d\d [^]*?\r\nx-not-executed: /;
const idLinePattern = /\r\nx-request-id: [^\r]*/;

export class ServerChannel {
	readonly #socket: Socket;
	readonly #opts: ServerChannelOptions;
	readonly #abortController = new AbortController();
	readonly #reader = new HttpMessageReader();
	#work: Promise<void> = Promise.resolve();
	#late: Buffer | undefined;
	readonly #sent: Buffer[] = [];
	readonly #refusals: string[] = [];
	#break: AnswerBreak | undefined;
	#isBroken = false;
	#hasEnded = false;
	#hasStuttered = false;
	#hasUnknownEnd = false;
	#leftAt: number | undefined;
	#cancelIdle: (() => void) | undefined;

	constructor(socket: Socket, opts: ServerChannelOptions) {
		this.#socket = socket;
		this.#opts = opts;
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#cancelIdle?.();
			this.#leftAt = this.#hasEnded ? undefined : opts.clock.now();
			this.#abortController.abort();
		});
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		this.#startIdleTimer();
	}

	/** Aborts once the connection is gone. */
	get signal(): AbortSignal {
		return this.#abortController.signal;
	}

	/** This side has closed the connection, or will once it sends again. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** An answer has been sent twice. */
	get hasStuttered(): boolean {
		return this.#hasStuttered;
	}

	/** Only the end of the connection ended the last answer. */
	get hasUnknownEnd(): boolean {
		return this.#hasUnknownEnd;
	}

	/** Time at which the other side closed the connection; undefined if this side did, or it is open. */
	get leftAt(): number | undefined {
		return this.#leftAt;
	}

	/** Resolves once everything has been sent, after a silence. */
	async waitForSent(): Promise<void> {
		return new Promise(resolve => {
			this.#opts.silence.run(resolve);
		});
	}

	/** Breaks off the next answer after a number of bytes. */
	planBreak(planned: AnswerBreak): void {
		this.#break = planned;
	}

	/** Sends the same bytes until the other side closes the connection. */
	sendEndlessly(bytes: Buffer): void {
		this.#write(bytes, () => {
			setImmediate(() => {
				this.sendEndlessly(bytes);
			});
		});
	}

	/** Sends a part of an answer. The first part is preceded by the late answer to the request before. */
	send(bytes: Buffer | string): void {
		if (this.#isBroken) {
			return;
		}

		if (this.#late && this.#sent.length === 0) {
			this.#hasStuttered = true;
			this.#write(this.#late);
			this.#late = undefined;
		}

		const sentBytes = this.#sent.reduce((sum, {length}) => sum + length, 0);
		this.#sent.push(Buffer.from(bytes));
		if (this.#break && sentBytes + bytes.length >= this.#break.afterBytes) {
			this.#write(Buffer.from(bytes).subarray(0, Math.max(0, this.#break.afterBytes - sentBytes)));
			this.#applyBreak(this.#break);
		} else {
			this.#write(bytes);
		}
	}

	#write(bytes: Buffer | string, onWritten?: () => void): void {
		this.#opts.silence.run(() => {
			if (!this.#socket.destroyed) {
				this.#socket.write(bytes, onWritten);
			}
		});
	}

	#close(): void {
		this.#hasEnded = true;
		this.#opts.silence.run(() => {
			this.#socket.end();
		});
	}

	#applyBreak({by, delayMs}: AnswerBreak): void {
		this.#isBroken = true;
		if (by === 'close') {
			this.#close();
		} else if (delayMs === 0) {
			this.reset();
		} else {
			this.#opts.clock.startTimer(delayMs, () => {
				this.reset();
			});
		}
	}

	/** Ends the answer. It may be sent once more, late. */
	finish(): void {
		const answer = Buffer.concat(this.#sent.splice(0));
		if (this.#isBroken) {
			return;
		}

		const {clock, random, stutterRate} = this.#opts;
		const isStuttering = random.next() < stutterRate;
		const late = isStuttering ? this.#selectLate(answer) : answer;
		this.#recordRefusal(answer);
		if (!isStuttering) {
			return;
		}

		if (random.next() < lateWithNextFraction) {
			this.#late = late;
			return;
		}

		const firstBytes = random.next() < splitFraction ? Math.floor(random.nextBetween(1, late.length)) : late.length;
		clock.startTimer(random.nextBetween(0, maxStutterMs), () => {
			if (this.#sent.length > 0) {
				this.#late = late;
			} else if (!this.#isBroken) {
				// Within the length that a broken-off answer has declared, other bytes would be its body to any reader.
				this.#hasStuttered = true;
				this.#write(late.subarray(0, firstBytes));
				this.#late = firstBytes < late.length ? late.subarray(firstBytes) : undefined;
			}
		});
	}

	/** Returns the answer, or an earlier refusal in its place. */
	#selectLate(answer: Buffer): Buffer {
		const {random} = this.#opts;
		if (this.#refusals.length === 0 || random.next() >= earlierRefusalFraction) {
			return answer;
		}

		const form = random.select(refusalForms);
		const refusal = random.select(this.#refusals);
		const text = form.endsWith('without-id') ? refusal.replace(idLinePattern, '') : refusal;
		return Buffer.from(form.startsWith('cut') ? this.#truncateHead(text) : text);
	}

	/** Ends a head inside one of its lines, behind the status or the name, where the next answer may look like its rest. */
	#truncateHead(text: string): string {
		const {random} = this.#opts;
		const lines = text.slice(0, text.indexOf('\r\n\r\n')).split('\r\n');
		const last = random.select([...lines.keys()]);
		const line = lines[last]!;
		return [...lines.slice(0, last), line.slice(0, Math.floor(random.nextBetween(line.indexOf(' ') + 1, line.length)))].join('\r\n');
	}

	#recordRefusal(answer: Buffer): void {
		const text = answer.toString('latin1');
		if (refusalPattern.test(text)) {
			this.#refusals.push(text);
			this.#refusals.splice(0, this.#refusals.length - maxKeptRefusals);
		}
	}

	/** Closes the connection; `isUnframed` if nothing else ends the answer. */
	end({isUnframed = false} = {}): void {
		this.#hasUnknownEnd ||= isUnframed;
		if (!this.#isBroken) {
			this.#close();
		}
	}

	/** Closes the connection at once, as the system does when the process has ended. */
	closeAtOnce(): void {
		this.#hasEnded = true;
		this.#socket.destroySoon();
	}

	reset(): void {
		this.#hasEnded = true;
		this.#opts.silence.run(() => {
			// Node.js leaks the handle of a socket that is reset while it ends.
			if (this.#socket.writableEnded) {
				this.#socket.destroy();
			} else {
				this.#socket.resetAndDestroy();
			}
		});
	}

	#receive(chunk: Buffer): void {
		this.#cancelIdle?.();
		try {
			for (const message of this.#reader.push(chunk)) {
				this.#work = this.#work.then(async () => this.#opts.handle(this, message)).then(() => {
					this.#startIdleTimer();
				});
			}
		} catch {
			this.#socket.destroy();
		}
	}

	#startIdleTimer(): void {
		this.#cancelIdle?.();
		if (this.#opts.idleMs !== undefined) {
			this.#cancelIdle = this.#opts.clock.startTimer(this.#opts.idleMs, () => {
				this.#close();
			});
		}
	}
}
