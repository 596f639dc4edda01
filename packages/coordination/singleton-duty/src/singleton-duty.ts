/**
 * Makes the calls to the infrastructure that are the duty of one instance at a time. The holder is the leader of the core, and
 * its term is the fencing token; no other leader ever has the same term.
 *
 * A call of a former leader may still be on its way when the next one is elected. So a leader makes its first call only after it
 * has led for the duration of a lease, a margin and the time-out of a call. Before each call a majority confirms it, and the
 * call is written only shortly after that question, by the monotonic clock and the wall clock: one of them shows that the
 * process stood still, whether it was stopped or its machine suspended. The wait counts within one term, so that a leader that
 * is elected again waits again: another one may have made calls in between.
 */
import type {Clock} from '@hickorytrack/clock';
import type {EventLog} from '@hickorytrack/events';
import {
	callOutcomes, type CallResult, type Duty, type DutyTransport,
} from './duty.js';

/** The leadership of the core, as this instance knows it. */
export type DutyLeadership = {
	/** The term in which this instance leads; undefined while it does not lead. */
	readonly term: number | undefined;
	/** Returns the term once a majority has confirmed that this instance leads. */
	confirm(): Promise<number | undefined>;
};

export type SingletonDutyOptions<Call> = {
	clock: Clock;
	events: Pick<EventLog, 'emit'>;
	/** Called with the outcome of each call, for metrics. */
	onCall?: (duty: string, result: CallResult) => void;
	leadership: DutyLeadership;
	duties: ReadonlyArray<Duty<Call>>;
	transport: DutyTransport<Call>;
	/** Name of this instance, which its calls carry. */
	holder: string;
	/** Time within which the infrastructure obeys no two holders in turn, in milliseconds. */
	leaseMs: number;
	/** Calls that the infrastructure accepts from all instances together. */
	callsPerSecond: number;
};

/** Time-out of one call, in milliseconds. */
export const callTimeoutMs = 1500;
/** Added to the lease, because a call of the former leader may still be in transit. */
const leaseMarginMs = 1000;
/** Time from the question for a confirmation within which the call is written, in milliseconds. */
const maxConfirmationAgeMs = 200;
const maxAnswerBytes = 65_536;
const checkIntervalMs = 50;
/** Wait after a call without an acceptance, in milliseconds. */
const retryDelayMs = 500;
/** Upper bound of the wait after 429; a report is due some seconds after it is first sent. */
const maxBackoffMs = 4000;
/** Failures are reported at most this often, in milliseconds. */
const failureReportIntervalMs = 5000;
const msPerSecond = 1000;

export class SingletonDuty<Call> {
	readonly #opts: SingletonDutyOptions<Call>;
	#held: {term: number; since: number; isReported: boolean} | undefined;
	/** The infrastructure has seen a higher token than this term. */
	#overtakenTerm: number | undefined;
	/** Monotonic time before which no call is made, in milliseconds. */
	#nextCallAt = Number.NEGATIVE_INFINITY;
	#backoffMs = retryDelayMs;
	#failureReportedAt = Number.NEGATIVE_INFINITY;

	constructor(opts: SingletonDutyOptions<Call>) {
		this.#opts = opts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(checkIntervalMs, signal);
			await this.runOnce(signal);
		}
	}

	/** Makes at most one call. */
	async runOnce(signal?: AbortSignal): Promise<void> {
		const {clock, leadership, duties, transport, holder, callsPerSecond, onCall} = this.#opts;
		const {term} = leadership;
		this.#updateTerm(term);
		const duty = this.#canCall() ? duties.find(candidate => candidate.findCall() !== undefined) : undefined;
		if (!duty || term === undefined) {
			return;
		}

		const askedAt = {monotonic: clock.monotonic(), wall: clock.now()};
		const confirmed = await leadership.confirm();
		const canSend = () => leadership.term === term && !signal?.aborted && [clock.monotonic() - askedAt.monotonic, clock.now() - askedAt.wall].every(ms => Math.abs(ms) <= maxConfirmationAgeMs);
		// The confirmation brings the state up to date, so that the call is read again.
		const call = confirmed === term && canSend() ? duty.findCall() : undefined;
		if (call === undefined) {
			return;
		}

		this.#nextCallAt = clock.monotonic() + (msPerSecond / callsPerSecond);
		this.#reportHeld(term);
		const result = await transport.send(call, {
			holder, fencingToken: term, canSend, timeoutMs: callTimeoutMs, maxAnswerBytes, signal,
		});
		onCall?.(duty.name, result);
		await this.#handleResult(duty, call, {term, result});
	}

	dump(): unknown {
		return {term: this.#held?.term, overtakenTerm: this.#overtakenTerm, canCall: this.#canCall()};
	}

	#updateTerm(term: number | undefined): void {
		if (this.#held?.term !== term) {
			this.#held = term === undefined ? undefined : {term, since: this.#opts.clock.monotonic(), isReported: false};
		}
	}

	#canCall(): boolean {
		const now = this.#opts.clock.monotonic();
		return this.#held !== undefined && this.#held.term !== this.#overtakenTerm
			&& now - this.#held.since > this.#opts.leaseMs + leaseMarginMs + callTimeoutMs && now >= this.#nextCallAt;
	}

	async #handleResult(duty: Duty<Call>, call: Call, {term, result}: {term: number; result: CallResult}): Promise<void> {
		const {clock, events} = this.#opts;
		const setWait = (ms: number) => {
			this.#nextCallAt = Math.max(this.#nextCallAt, clock.monotonic() + ms);
		};

		if (result.outcome === callOutcomes.accepted) {
			this.#backoffMs = retryDelayMs;
			await duty.handleAccepted(call);
			return;
		}

		if (result.outcome === callOutcomes.overtaken) {
			this.#overtakenTerm = term;
			events.emit('dutyOvertaken', {duty: duty.name, term});
			return;
		}

		if (result.outcome === callOutcomes.overloaded) {
			setWait(this.#backoffMs);
			this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2);
		} else if (result.outcome !== callOutcomes.notSent) {
			setWait(retryDelayMs);
		}

		if (clock.monotonic() - this.#failureReportedAt >= failureReportIntervalMs) {
			this.#failureReportedAt = clock.monotonic();
			events.emit('dutyCallFailed', {duty: duty.name, term, ...result});
		}
	}

	#reportHeld(term: number): void {
		if (this.#held?.term === term && !this.#held.isReported) {
			this.#held.isReported = true;
			this.#opts.events.emit('dutyHeld', {term});
		}
	}
}
