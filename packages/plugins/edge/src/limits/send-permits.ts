/**
 * The permits with which one caller's request may be sent to servers. Its first run is free, and so is its first prefill
 * once a server has accepted it; every other call needs a retry of the budget, reserved before the call is planned. A call
 * that no server has received changes nothing.
 */
import type {CallerRequest} from '../front/caller-request.js';
import {
	retryKinds, type RetryBudget, type RetryKind, type RetryPermit,
} from './retry-budget.js';

/** Allows one call to one server. A request to a server can't be created without one. */
export class SendPermit {
	readonly kind: RetryKind;
	readonly #opts: {kind: RetryKind; retry?: RetryPermit; isConditional?: boolean; onArrived: () => boolean; onUnused?: () => void};
	#isStarted = false;
	#isFinished = false;

	/**
	 * `onArrived` is called once a server has received the call, for a prefill once it has accepted it, and returns whether it
	 * was the first one. `onUnused` is called when no server has received it.
	 */
	constructor(opts: {kind: RetryKind; retry?: RetryPermit; isConditional?: boolean; onArrived: () => boolean; onUnused?: () => void}) {
		this.kind = opts.kind;
		this.#opts = opts;
	}

	/** Called when the call is sent. */
	start(): void {
		this.#isStarted = true;
		if (!this.#opts.isConditional) {
			this.#opts.retry?.record();
		}
	}

	/** Called with the outcome of the call. Until then, the call counts as one that has arrived. */
	finish({isWritten, isAccepted}: {isWritten: boolean; isAccepted: boolean}): void {
		const {retry, isConditional, onArrived} = this.#opts;
		if (!isWritten) {
			this.#discard();
			return;
		}

		this.#isFinished = true;
		const isFirst = (isAccepted || this.kind !== retryKinds.prefill) && onArrived();
		if (isAccepted && isConditional && isFirst) {
			retry?.release();
		} else {
			retry?.record();
		}
	}

	/** Returns the permit if no call was sent with it. */
	release(): void {
		if (!this.#isStarted) {
			this.#discard();
		}
	}

	#discard(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#opts.retry?.release();
			this.#opts.onUnused?.();
		}
	}
}

export class SendPermits {
	readonly #budget: RetryBudget;
	readonly #request: CallerRequest;
	/** The free run is permitted, is on its way or has arrived. */
	#isFreeRunTaken = false;
	#hasPrefilled = false;

	constructor(budget: RetryBudget, request: CallerRequest) {
		this.#budget = budget;
		this.#request = request;
		budget.recordRequest(request.service);
	}

	/** Returns undefined when the call would be a retry that the budget does not allow. */
	acquire(kind: RetryKind): SendPermit | undefined {
		const isPrefill = kind === retryKinds.prefill;
		if (!isPrefill && !this.#isFreeRunTaken) {
			this.#isFreeRunTaken = true;
			return new SendPermit({
				kind, onArrived: () => true, onUnused: () => {
					this.#isFreeRunTaken = false;
				},
			});
		}

		const isConditional = isPrefill && !this.#hasPrefilled;
		const retry = this.#budget.acquire(this.#request.service, {kind, requestId: this.#request.metadata.requestId, isConditional});
		return retry && new SendPermit({
			kind, retry, isConditional, onArrived: () => {
				const isFirst = isPrefill && !this.#hasPrefilled;
				this.#hasPrefilled ||= isPrefill;
				return isFirst;
			},
		});
	}
}
