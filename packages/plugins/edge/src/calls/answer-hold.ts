/**
 * The bytes of answers that one request holds in memory. They stay charged until its response has been written to the
 * operating system or its connection has closed. A caller that has not read its answer some time after its deadline is cut off.
 */
import type {ServerResponse} from 'node:http';
import type {AccountPart} from '@hickorytrack/byte-account/account-part';
import type {Clock} from '@hickorytrack/clock';
import {onClosed} from '@hickorytrack/lingering-close/on-closed';

/** Bytes that an attempt holds for one answer. */
export type AnswerCharge = {
	acquire(bytes: number): boolean;
	/** Acquires the bytes once there is room for them, and then calls the listener. Returns a function that ends the wait. */
	wait(bytes: number, onRoom: () => void): () => void;
	release(bytes: number): void;
};

export type AnswerHoldOptions = {
	clock: Clock;
	part: AccountPart;
	response: ServerResponse;
	/** Monotonic time in milliseconds. */
	deadlineAt: number;
	/** Called before the connection of a caller is reset that has not read its answer. */
	onSlowReader: (unreadBytes: number) => void;
};

/** Smaller answers don't count in the share of their caller's address, so that large ones can't keep them out. */
const smallAnswerBytes = 65_536;
/** Time after the deadline for an answer that was written just before it. */
const readAllowanceMs = 350;

export class AnswerHold {
	readonly #opts: AnswerHoldOptions;
	/** Bytes that count in the share of the caller's address, and others. */
	readonly #heldBytes = {shared: 0, small: 0};
	/** The address of the caller, which a closed socket does not know any more. */
	readonly #holder: string | undefined;
	#isClosed = false;
	#isWatched = false;

	constructor(opts: AnswerHoldOptions) {
		this.#opts = opts;
		this.#holder = opts.response.req.socket.remoteAddress;
	}

	/** Begins a charge for an answer of this size. */
	open(expectedBytes: number): AnswerCharge {
		this.#watchResponse();
		const kind = expectedBytes > smallAnswerBytes ? 'shared' : 'small';
		const holder = kind === 'shared' ? this.#holder : undefined;
		const {part} = this.#opts;
		const record = (bytes: number) => {
			if (this.#isClosed) {
				part.release(bytes, holder);
			} else {
				this.#heldBytes[kind] += bytes;
			}
		};

		return {
			acquire(bytes) {
				const isAcquired = part.acquire(bytes, holder);
				if (isAcquired) {
					record(bytes);
				}

				return isAcquired;
			},
			wait: (bytes, onRoom) => part.wait(bytes, {
				holder, onRoom() {
					record(bytes);
					onRoom();
				},
			}),
			release: bytes => {
				if (!this.#isClosed) {
					this.#heldBytes[kind] -= bytes;
					part.release(bytes, holder);
				}
			},
		};
	}

	#watchResponse(): void {
		if (this.#isWatched) {
			return;
		}

		this.#isWatched = true;
		if (this.#opts.response.destroyed || this.#opts.response.req.socket.destroyed) {
			this.#isClosed = true;
			return;
		}

		const {clock, part, response, deadlineAt, onSlowReader} = this.#opts;
		const {socket} = response.req;
		const cancelTimer = clock.startTimer(Math.max(0, deadlineAt - clock.monotonic()) + readAllowanceMs, () => {
			if (response.writableEnded && !response.writableFinished) {
				onSlowReader(this.#heldBytes.shared + this.#heldBytes.small);
				// An orderly close would end an answer without a length.
				socket.resetAndDestroy();
			}
		});
		onClosed(response, () => {
			cancelTimer();
			this.#isClosed = true;
			part.release(this.#heldBytes.shared, this.#holder);
			part.release(this.#heldBytes.small);
		});
	}
}
