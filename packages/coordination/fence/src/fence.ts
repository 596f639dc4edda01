/**
 * Fencing of orders. Fencing tokens are compared by controller term, endpoint epoch (increased when the endpoint is
 * granted to another agent) and order number, in this order. A guard rejects tokens of another epoch and tokens older
 * than the highest one it has admitted. A new guard rejects all orders until it has an epoch, because a restarted
 * process has lost the highest token.
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

	/**
	 * Adopts an epoch that a majority of the controllers has committed. An epoch lower than the current one is
	 * ignored.
	 */
	updateEpoch(epoch: number): void {
		this.#epoch = Math.max(this.#epoch ?? 0, epoch);
	}

	/**
	 * Tells whether a token has the current epoch and is not older than the highest admitted one. Does not record the
	 * token.
	 */
	isCurrent(token: FenceToken): boolean {
		return token.epoch === this.#epoch && (!this.#highest || compareFenceTokens(token, this.#highest) >= 0);
	}

	/** Checks the fencing token of an order. If the order is admitted, records the token as the highest one. */
	checkToken(token: FenceToken): FenceVerdict {
		if (this.#epoch === undefined) {
			return 'no-epoch';
		}

		if (token.epoch !== this.#epoch) {
			return 'stale';
		}

		const difference = this.#highest ? compareFenceTokens(token, this.#highest) : 1;
		if (difference < 0) {
			return 'stale';
		}

		if (difference === 0) {
			return 'repeated';
		}

		this.#highest = token;
		return 'admitted';
	}
}
