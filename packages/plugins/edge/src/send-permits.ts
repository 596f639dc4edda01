/**
 * The permits with which one caller's request may be sent to servers. Its first run is free, and so is its first prefill
 * once a server has accepted it; every other call needs a retry of the budget, reserved before the call is planned. A call
 * that no server has received changes nothing.
 */
import type {CallerRequest} from './caller-request.js';
import {
	retryKinds, type RetryBudget, type RetryKind, type RetryPermit,
} from './retry-budget.js';

/** Allows one call to one server. A request to a server can't be created without one. */
export class SendPermit {
	readonly kind: RetryKind;
	readonly #retry: RetryPermit | undefined;
	readonly #isConditional: boolean;
	readonly #onArrived: () => void;
	#isStarted = false;

	constructor(opts: {kind: RetryKind; retry?: RetryPermit; isConditional?: boolean; onArrived: () => void}) {
		this.kind = opts.kind;
		this.#retry = opts.retry;
		this.#isConditional = opts.isConditional ?? false;
		this.#onArrived = opts.onArrived;
	}

	/** Called when the call is sent. */
	start(): void {
		this.#isStarted = true;
		if (!this.#isConditional) {
			this.#retry?.record();
		}
	}

	/** Called with the outcome of the call. Until then, the call counts as one that has arrived. */
	finish({isWritten, isAccepted}: {isWritten: boolean; isAccepted: boolean}): void {
		if (!isWritten) {
			this.#retry?.release();
			return;
		}

		if (isAccepted || this.kind !== retryKinds.prefill) {
			this.#onArrived();
		}

		if (isAccepted && this.#isConditional) {
			this.#retry?.release();
		} else {
			this.#retry?.record();
		}
	}

	/** Returns the permit if no call was sent with it. */
	release(): void {
		if (!this.#isStarted) {
			this.#retry?.release();
		}
	}
}

export class SendPermits {
	readonly #budget: RetryBudget;
	readonly #request: CallerRequest;
	#hasRun = false;
	#hasPrefilled = false;

	constructor(budget: RetryBudget, request: CallerRequest) {
		this.#budget = budget;
		this.#request = request;
		budget.recordRequest(request.service);
	}

	/** Returns undefined when the call would be a retry that the budget does not allow. */
	acquire(kind: RetryKind): SendPermit | undefined {
		const isPrefill = kind === retryKinds.prefill;
		const onArrived = () => {
			this.#hasPrefilled ||= isPrefill;
			this.#hasRun ||= !isPrefill;
		};

		if (!isPrefill && !this.#hasRun) {
			return new SendPermit({kind, onArrived});
		}

		const isConditional = isPrefill && !this.#hasPrefilled;
		const retry = this.#budget.acquire(this.#request.service, {kind, requestId: this.#request.metadata.requestId, isConditional});
		return retry && new SendPermit({
			kind, retry, isConditional, onArrived,
		});
	}
}
