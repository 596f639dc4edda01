/** Holds the events of a continued stream until it is proved that they come from the right start of their server. */
import {Buffer} from 'node:buffer';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import type {EventSink} from './event-relay.js';

export type HeldEventsOptions = {
	sink: EventSink;
	/** Called with the head of the answer; the events are passed on if it resolves with true. */
	prove: () => Promise<boolean>;
	/** Called if they are not. */
	onRefuted: () => void;
};

export class HeldEvents implements EventSink {
	isRefuted = false;
	readonly #opts: HeldEventsOptions;
	readonly #events: Buffer[] = [];
	readonly #drainListeners: Array<() => void> = [];
	#isProved = false;
	#isDiscarded = false;
	#proof: Promise<void> | undefined;

	constructor(opts: HeldEventsOptions) {
		this.#opts = opts;
	}

	open(head: ResponseHead): void {
		this.#proof = this.#run(head);
	}

	write(events: Buffer): boolean {
		if (this.#isProved) {
			return this.#opts.sink.write(events);
		}

		this.#events.push(events);
		return false;
	}

	onDrain(listener: () => void): void {
		if (this.#isProved) {
			this.#opts.sink.onDrain(listener);
		} else {
			this.#drainListeners.push(listener);
		}
	}

	/** The answer has broken off: unless it is proved already, it takes no stream over from a server that may be sound. */
	discard(): void {
		this.#isDiscarded = !this.#isProved;
	}

	get isDiscarded(): boolean {
		return this.#isDiscarded;
	}

	/** Resolves when the events that have arrived are passed on or discarded. */
	async settle(): Promise<void> {
		await (this.#isDiscarded ? undefined : this.#proof);
	}

	async #run(head: ResponseHead): Promise<void> {
		const {sink, prove, onRefuted} = this.#opts;
		const isProof = await prove();
		if (this.#isDiscarded) {
			return;
		}

		if (!isProof) {
			this.isRefuted = true;
			onRefuted();
			return;
		}

		this.#isProved = true;
		sink.open(head);
		const canContinue = this.#events.length === 0 || sink.write(Buffer.concat(this.#events));
		for (const listener of this.#drainListeners) {
			if (canContinue) {
				listener();
			} else {
				sink.onDrain(listener);
			}
		}
	}
}
