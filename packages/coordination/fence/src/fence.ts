/**
 * Fencing of orders. Tokens are compared by controller term, endpoint epoch and order number, in this order. A guard that
 * has seen a token refuses everything older, and refuses everything until it holds an epoch: a process that restarted has
 * forgotten what it saw.
 */
import type {FenceToken} from '@hickorytrack/types/endpoint';

export function compareFenceTokens(a: FenceToken, b: FenceToken): number {
	return (a.term - b.term) || (a.epoch - b.epoch) || (a.orderNumber - b.orderNumber);
}

export const fenceVerdicts = {
	admitted: 'admitted', repeated: 'repeated', stale: 'stale', noEpoch: 'no-epoch',
} as const;
export type FenceVerdict = typeof fenceVerdicts[keyof typeof fenceVerdicts];

export class FenceGuard {
	#epoch: number | undefined;
	#highest: FenceToken | undefined;

	get epoch(): number | undefined {
		return this.#epoch;
	}

	get highest(): FenceToken | undefined {
		return this.#highest;
	}

	/** Takes an epoch that a majority of the controllers has committed. An older one changes nothing. */
	updateEpoch(epoch: number): void {
		this.#epoch = Math.max(this.#epoch ?? 0, epoch);
	}

	/** Tells whether a token belongs to the present authority, without remembering it. */
	isCurrent(fence: FenceToken): boolean {
		return fence.epoch === this.#epoch && (!this.#highest || compareFenceTokens(fence, this.#highest) >= 0);
	}

	/** Judges an order and, when it is admitted, remembers its token. */
	checkToken(fence: FenceToken): FenceVerdict {
		if (this.#epoch === undefined) {
			return 'no-epoch';
		}

		if (fence.epoch !== this.#epoch) {
			return 'stale';
		}

		const order = this.#highest ? compareFenceTokens(fence, this.#highest) : 1;
		if (order < 0) {
			return 'stale';
		}

		if (order === 0) {
			return 'repeated';
		}

		this.#highest = fence;
		return 'admitted';
	}
}
