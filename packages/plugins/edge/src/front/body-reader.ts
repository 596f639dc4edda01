/**
 * Reads the bodies of requests within the part of the account that is theirs. A body whose length is known is read once there
 * is room for all of it, so that no two of them wait for each other; until then its connection is not read. While any waits,
 * the body that has brought nothing for longest is ended.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AccountPart} from '@hickorytrack/byte-account/account-part';
import type {Clock} from '@hickorytrack/clock';
import {describeError} from '@hickorytrack/errors';
import {ByteCollector} from '@hickorytrack/http-answer/byte-collector';
import {onClosed} from '@hickorytrack/lingering-close/on-closed';

export const bodyEnds = {
	broken: 'broken',
	tooLarge: 'too-large',
	/** The caller sent nothing for a while, and others waited for the room. */
	slow: 'slow',
	noRoom: 'no-room',
} as const;
export type BodyEnd = typeof bodyEnds[keyof typeof bodyEnds];

export type BodyReaderOptions = {clock: Clock; part: AccountPart};

export type ReadOptions = {
	maxBytes: number;
	/** Time until the deadline of the request, in milliseconds. */
	waitMs: number;
};

type Exchange = {incoming: IncomingMessage; response: ServerResponse};

/** Time without a byte after which a body may be ended for the sake of others, in milliseconds. */
const slowBodyMs = 1000;
/** Part of the time until its deadline for which a body waits for room; the caller needs the rest for another instance. */
const roomWaitFraction = 0.5;
/** Smaller bodies don't count in the share of their caller's address, so that large ones can't keep them out. */
const smallBodyBytes = 65_536;
/** Memory of a request beside its head and body, while it is open. */
const requestBytes = 4096;

export class BodyReader {
	readonly #opts: BodyReaderOptions;
	/** Bodies that are not complete. */
	readonly #openBodies = new Set<OpenBody>();
	#cancelTimer: (() => void) | undefined;

	constructor(opts: BodyReaderOptions) {
		this.#opts = opts;
	}

	/** Reads a body. Its bytes stay charged until its response has been written or its connection has closed. */
	async read({incoming, response}: Exchange, opts: ReadOptions): Promise<Buffer | BodyEnd> {
		const body = new OpenBody(incoming, {
			...this.#opts, ...opts, onWait: () => {
				this.#endSlow();
			},
		});
		this.#openBodies.add(body);
		onClosed(response, () => {
			body.release();
		});
		try {
			return await body.read();
		} finally {
			this.#openBodies.delete(body);
		}
	}

	/** Ends bodies that have brought nothing for too long, the longest first, as long as others wait for room. */
	#endSlow(): void {
		this.#cancelTimer?.();
		this.#cancelTimer = undefined;
		const {clock, part} = this.#opts;
		if (part.waiting === 0) {
			return;
		}

		let slowest: OpenBody | undefined;
		for (const body of this.#openBodies) {
			if (body.canEnd && (!slowest || body.lastByteAt < slowest.lastByteAt)) {
				slowest = body;
			}
		}

		if (!slowest) {
			// Room that others hold is released without this.
			this.#startTimer(slowBodyMs);
			return;
		}

		const leftMs = slowest.lastByteAt + slowBodyMs - clock.monotonic();
		if (leftMs <= 0) {
			slowest.endSlow();
		}

		this.#startTimer(Math.max(0, leftMs));
	}

	#startTimer(ms: number): void {
		this.#cancelTimer = this.#opts.clock.startTimer(ms, () => {
			this.#endSlow();
		});
	}
}

type OpenBodyOptions = BodyReaderOptions & ReadOptions & {onWait: () => void};

class OpenBody {
	lastByteAt: number;
	readonly #incoming: IncomingMessage;
	readonly #opts: OpenBodyOptions;
	readonly #body = new ByteCollector();
	readonly #declaredBytes: number | undefined;
	readonly #headBytes: number;
	readonly #holder: string | undefined;
	#heldBytes = 0;
	#isReleased = false;
	#isTooLarge = false;
	#cancelWait: (() => void) | undefined;
	#resolve: ((body: Buffer | BodyEnd) => void) | undefined;

	constructor(incoming: IncomingMessage, opts: OpenBodyOptions) {
		this.#incoming = incoming;
		this.#opts = opts;
		this.lastByteAt = opts.clock.monotonic();
		const {'content-length': length, 'transfer-encoding': encoding} = incoming.headers;
		this.#declaredBytes = encoding === undefined ? Number(length ?? 0) : undefined;
		this.#headBytes = requestBytes + measureHead(incoming);
		const isSmall = this.#declaredBytes !== undefined && this.#declaredBytes <= smallBodyBytes;
		this.#holder = isSmall ? undefined : incoming.socket.remoteAddress;
	}

	/** The body holds bytes and is not complete. */
	get canEnd(): boolean {
		return this.#heldBytes > this.#headBytes;
	}

	async read(): Promise<Buffer | BodyEnd> {
		return new Promise((resolve, reject) => {
			this.#resolve = resolve;
			const {maxBytes} = this.#opts;
			// What a listener throws fails its request.
			const createListener = <A extends unknown[]>(listener: (...args: A) => void) => (...args: A) => {
				try {
					listener(...args);
				} catch (error) {
					reject(error instanceof Error ? error : new Error(describeError(error)));
				}
			};

			this.#incoming.on('error', createListener(() => {
				this.#end(bodyEnds.broken);
			}));
			this.#incoming.on('close', createListener(() => {
				this.#end(bodyEnds.broken);
			}));
			this.#incoming.on('end', createListener(() => {
				this.#end(this.#isTooLarge ? bodyEnds.tooLarge : this.#body.drain());
			}));
			this.#isTooLarge = (this.#declaredBytes ?? 0) > maxBytes;
			this.#acquire(this.#headBytes + (this.#isTooLarge ? 0 : this.#declaredBytes ?? 0), createListener(() => {
				this.lastByteAt = this.#opts.clock.monotonic();
				if (!this.#isTooLarge) {
					this.#body.reserve(this.#declaredBytes ?? 0);
				}

				this.#incoming.on('data', createListener((chunk: Buffer) => {
					this.#append(chunk);
				}));
			}));
		});
	}

	/** Ends the body of a slow caller, or one that waits for room itself. */
	endSlow(): void {
		this.#end(this.#cancelWait ? bodyEnds.noRoom : bodyEnds.slow);
	}

	release(): void {
		this.#isReleased = true;
		this.#releaseBytes();
		// The connection of a body that waits for room has closed.
		this.#end(bodyEnds.broken);
	}

	#append(chunk: Buffer): void {
		if (!this.#resolve || this.#isTooLarge) {
			return;
		}

		this.lastByteAt = this.#opts.clock.monotonic();
		this.#body.append(chunk);
		if (this.#body.size > this.#opts.maxBytes) {
			this.#isTooLarge = true;
			this.#body.drain();
			this.#releaseBytes();
		} else if (this.#declaredBytes === undefined) {
			this.#incoming.pause();
			this.#acquire(chunk.length, () => {
				this.#incoming.resume();
			});
		}
	}

	#acquire(bytes: number, onAcquired: () => void): void {
		const {part, waitMs, clock, onWait} = this.#opts;
		if (part.acquire(bytes, this.#holder)) {
			this.#heldBytes += bytes;
			onAcquired();
			return;
		}

		if (bytes > (this.#holder === undefined ? part.limit : part.holderLimit)) {
			this.#end(bodyEnds.noRoom);
			return;
		}

		const cancelTimer = clock.startTimer(waitMs * roomWaitFraction, () => {
			this.#end(bodyEnds.noRoom);
		});
		const stopWaiting = part.wait(bytes, {
			holder: this.#holder, onRoom: () => {
				this.#cancelWait = undefined;
				cancelTimer();
				this.#heldBytes += bytes;
				onAcquired();
			},
		});
		this.#cancelWait = () => {
			stopWaiting();
			cancelTimer();
		};

		onWait();
	}

	#releaseBytes(): void {
		this.#opts.part.release(this.#heldBytes, this.#holder);
		this.#heldBytes = 0;
	}

	#end(body: Buffer | BodyEnd): void {
		if (!this.#resolve) {
			return;
		}

		this.#cancelWait?.();
		this.#cancelWait = undefined;
		if (body === bodyEnds.noRoom || body === bodyEnds.slow) {
			this.#opts.part.recordRefusal();
		}

		if (!Buffer.isBuffer(body)) {
			this.#body.drain();
		}

		if (!Buffer.isBuffer(body) || this.#isReleased) {
			this.#releaseBytes();
		}

		const resolve = this.#resolve;
		this.#resolve = undefined;
		// The rest of the body is read and dropped.
		this.#incoming.resume();
		resolve(body);
	}
}

function measureHead({url, rawHeaders}: IncomingMessage): number {
	let bytes = url!.length;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}
