/** How often a server of the soak misbehaves, by fault. Each request draws one fault; `stutter` is drawn for each answer. */
import type {Random} from '@hickorytrack/random';

export const serverFaultRates = {
	/** Answers 503 because it has no capacity, at once or after a wait in its queue. */
	refuse: 0.06,
	'refuse-late': 0.02,
	/** Runs the request and resets the connection. */
	lost: 0.004,
	/** Runs the request and sends nothing. */
	silent: 0.001,
	/** Runs the request and sends bytes that are no answer, or ends its answer early. */
	garbage: 0.002,
	truncated: 0.004,
	/** Runs the request and breaks its answer off after any byte, by an orderly close or a reset. */
	'broken-off': 0.015,
	/** Runs the request and sends bytes without an end, in a head or a body. */
	endless: 0.0008,
	/** Runs the request and answers 500. */
	failing: 0.01,
	/** Exits while it runs the request. */
	crash: 0.0004,
	/** Exits after half of an answer without a length, whose connection the system then closes in order; streams get none of it. */
	exit: 0.002,
} as const;
export type ServerFault = keyof typeof serverFaultRates;

/** Fraction of answers that have neither a length nor chunks and end with their connection. */
export const unframedRate = 0.15;

/** Fraction of answers that are sent a second time, late. */
export const stutterRate = 0.12;

/** Returns the fault for one request, or undefined. */
export function selectFault(random: Random, enabled: ReadonlySet<string>): ServerFault | undefined {
	let value = random.next();
	for (const [fault, rate] of Object.entries(serverFaultRates)) {
		value -= enabled.has(fault) ? rate : 0;
		if (value < 0) {
			return fault as ServerFault;
		}
	}

	return undefined;
}
