/**
 * Timing model of a model engine with continuous batching, without I/O. Each time step runs chunked prefill and decodes
 * tokens for every running sequence. The roles prefill and decode raise the speed of their own stage and lower that of the
 * other. The caller supplies the time, so benchmarks with a simulated clock use the model too.
 */

export type ModelRole = 'mixed' | 'prefill' | 'decode';

export type BatchSpeed = {
	prefillTokensPerSecond: number;
	/** Decoded tokens per second over the whole batch. */
	decodeTokensPerSecond: number;
	/** Upper limit of decoded tokens per second for one sequence. */
	sequenceTokensPerSecond: number;
	/** Maximum number of sequences that run concurrently. */
	capacity: number;
};

export type Sequence = {
	id: string;
	/** Sequences with a lower value start first. */
	priority: number;
	prefillLeft: number;
	decodeLeft: number;
	/** Fraction of the next token that is already decoded. */
	partial: number;
};

export type StepResult = {
	/** Number of tokens decoded per sequence; sequences without a new token are omitted. */
	produced: Array<{id: string; count: number}>;
	finished: string[];
};

/** Factors by which each role multiplies the speeds of prefill and decode. */
export const roleFactors: Record<ModelRole, {prefill: number; decode: number}> = {
	mixed: {prefill: 1, decode: 1},
	prefill: {prefill: 1.5, decode: 0.3},
	decode: {prefill: 0.3, decode: 1.5},
};

/** Maximum fraction of a step that prefill may use, by role, while other sequences decode. */
const maximumPrefillFraction: Record<ModelRole, number> = {mixed: 0.5, prefill: 0.9, decode: 0.2};

export class BatchModel {
	readonly speed: BatchSpeed;
	role: ModelRole;
	readonly #waiting: Sequence[] = [];
	readonly #running: Sequence[] = [];

	constructor(speed: BatchSpeed, role: ModelRole = 'mixed') {
		this.speed = speed;
		this.role = role;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	get running(): number {
		return this.#running.length;
	}

	add(sequence: Sequence): void {
		this.#waiting.push(sequence);
		this.#waiting.sort((a, b) => a.priority - b.priority);
	}

	remove(id: string): void {
		for (const list of [this.#waiting, this.#running]) {
			const index = list.findIndex(sequence => sequence.id === id);
			if (index !== -1) {
				list.splice(index, 1);
			}
		}
	}

	has(id: string): boolean {
		return this.#running.some(sequence => sequence.id === id) || this.#waiting.some(sequence => sequence.id === id);
	}

	clear(): void {
		this.#waiting.length = 0;
		this.#running.length = 0;
	}

	/** Advances the model by `seconds`. */
	step(seconds: number): StepResult {
		while (this.#running.length < this.speed.capacity && this.#waiting.length > 0) {
			this.#running.push(this.#waiting.shift()!);
		}

		const prefilling = this.#running.filter(sequence => sequence.prefillLeft > 0);
		const decoding = this.#running.filter(sequence => sequence.prefillLeft <= 0);
		const allowedFraction = this.#computePrefillFraction(prefilling.length, decoding.length);
		const usedFraction = this.#prefill(prefilling, seconds * allowedFraction) / Math.max(seconds, Number.EPSILON);
		return this.#decode(decoding, seconds * (1 - Math.min(allowedFraction, usedFraction)));
	}

	#computePrefillFraction(prefilling: number, decoding: number): number {
		if (prefilling === 0) {
			return 0;
		}

		return decoding === 0 ? 1 : maximumPrefillFraction[this.role];
	}

	/** Runs prefill in the order in which the sequences started and returns the seconds used. */
	#prefill(sequences: readonly Sequence[], seconds: number): number {
		const rate = this.speed.prefillTokensPerSecond * roleFactors[this.role].prefill;
		let remainingSeconds = seconds;
		for (const sequence of sequences) {
			const tokens = Math.min(sequence.prefillLeft, remainingSeconds * rate);
			sequence.prefillLeft -= tokens;
			remainingSeconds -= tokens / rate;
			if (remainingSeconds <= 0) {
				break;
			}
		}

		return seconds - Math.max(0, remainingSeconds);
	}

	#decode(sequences: readonly Sequence[], seconds: number): StepResult {
		const result: StepResult = {produced: [], finished: []};
		const factor = roleFactors[this.role].decode;
		const rate = Math.min(this.speed.sequenceTokensPerSecond, this.speed.decodeTokensPerSecond / Math.max(1, sequences.length)) * factor;
		for (const sequence of sequences) {
			sequence.partial += rate * seconds;
			const count = Math.min(sequence.decodeLeft, Math.floor(sequence.partial));
			if (count > 0) {
				sequence.partial -= count;
				sequence.decodeLeft -= count;
				result.produced.push({id: sequence.id, count});
			}

			if (sequence.decodeLeft <= 0) {
				result.finished.push(sequence.id);
				this.remove(sequence.id);
			}
		}

		return result;
	}
}
