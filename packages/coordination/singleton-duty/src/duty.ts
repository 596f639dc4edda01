/** The interface of duties, and that of the transport that sends their calls. */

/** A duty: calls that one instance makes at a time, each repeated until it was accepted. */
export type Duty<Call> = {
	readonly name: string;
	/** Returns the call that is due; undefined while none is. */
	findCall(): Call | undefined;
	/** Records that the infrastructure has accepted the call. */
	handleAccepted(call: Call): Promise<void>;
};

export const callOutcomes = {
	accepted: 'accepted',
	/** Too many calls; the next one waits longer. */
	overloaded: 'overloaded',
	/** The infrastructure has seen a higher token. */
	overtaken: 'overtaken',
	/** Any other answer. */
	refused: 'refused',
	/** No whole answer; the call may have taken effect. */
	unanswered: 'unanswered',
	/** The call was not written, because it was not allowed any more. */
	notSent: 'not-sent',
} as const;
export type CallOutcome = typeof callOutcomes[keyof typeof callOutcomes];

export type CallResult = {outcome: CallOutcome; status?: number; reason?: string};

export type SendOptions = {
	/** Name of the instance that makes the call. */
	holder: string;
	fencingToken: number;
	/** Checked right before the call is written, after the connection was opened. */
	canSend: () => boolean;
	/** Time after which the call ends, so that nothing of it arrives later, in milliseconds. */
	timeoutMs: number;
	/** A larger answer counts as none. */
	maxAnswerBytes: number;
	signal?: AbortSignal;
};

export type DutyTransport<Call> = {
	/** Sends the call once, with the same bytes for the same call. Never rejects. */
	send(call: Call, opts: SendOptions): Promise<CallResult>;
};
