/**
 * Proves which start of a server has sent an answer. A server may start again under its id with another version of its
 * software, and requests that are meant for the start before reach it until its first report arrives. A server that says
 * after an answer that it is still the same start has sent the answer as that start. Its reports prove nothing: one that
 * arrives after the answer may have been sent before, by the start before, and held up on a link or in a buffer.
 */
import {Buffer} from 'node:buffer';
import type {Clock} from '@hickorytrack/clock';
import type {EndpointClient} from '@hickorytrack/endpoint-client';
import type {SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {EndpointRegistry, KnownServer} from '@hickorytrack/endpoint-registry';
import {clockSkewMs} from '@hickorytrack/stream-origins/open-stream';
import {attemptOutcomes, runAttempt, type AttemptResult} from '../calls/attempt.js';
import {callKinds} from '../calls/call-kinds.js';
import type {RequestCodec, ServerCall} from '../request-codec.js';
import type {ServerLimits} from '../limits/server-limits.js';

export type StartProofOptions = {
	clock: Clock;
	client: EndpointClient;
	codec: RequestCodec;
	limits: Pick<ServerLimits, 'acquire' | 'isOpen'>;
	registry: Pick<EndpointRegistry, 'find'>;
	getConnectionLimit: (service: string) => number;
};

const defaultMaxWaitMs = 250;
/** Time between two tries while all connections to the server are busy. */
const retryMs = 10;

export const startVerdicts = {
	/** The start that the instance knows has sent the answer. */
	proved: 'proved',
	/** A later start may have sent it. */
	refuted: 'refuted',
	/** The server answers and does not say when it started: only its reports tell. */
	unstated: 'unstated',
	/** This side may not ask it now: its limit or its connections are used up. */
	unasked: 'unasked',
	/** The server does not answer. */
	unknown: 'unknown',
} as const;
export type StartVerdict = typeof startVerdicts[keyof typeof startVerdicts];

export class StartProof {
	readonly #opts: StartProofOptions;

	constructor(opts: StartProofOptions) {
		this.#opts = opts;
	}

	/**
	 * Checks the answer to a request that was sent at this monotonic time. Starts without a start time have an id of their own.
	 * `grant`: the right to ask the server, if it was reserved.
	 */
	async check(server: KnownServer, sentAt: number, {maxWaitMs = defaultMaxWaitMs, grant}: {maxWaitMs?: number; grant?: SendGrant} = {}): Promise<StartVerdict> {
		const {clock, registry} = this.#opts;
		const known = registry.find(server.id);
		if (server.startedAt === 0) {
			return startVerdicts.proved;
		}

		const sentWallTime = clock.now() - (clock.monotonic() - sentAt);
		const isEarlier = (startedAt: number) => sentWallTime < startedAt - clockSkewMs;
		if (known && known.startedAt > server.startedAt) {
			return isEarlier(known.startedAt) ? startVerdicts.proved : startVerdicts.refuted;
		}

		const {isAsked, status} = await this.#readStatus(server, {maxWaitMs, grant, signal: new AbortController().signal});
		if (!isAsked) {
			return startVerdicts.unasked;
		}

		return this.#decideByStatus(status, startedAt => startedAt === server.startedAt || (startedAt > server.startedAt && isEarlier(startedAt)));
	}

	/**
	 * Asks a server for its start before it is sent a request, for this long at most, in milliseconds. One whose limit allows no
	 * such call now counts as the known start.
	 */
	async ask(server: KnownServer, {maxWaitMs, signal}: {maxWaitMs: number; signal: AbortSignal}): Promise<StartVerdict> {
		if (!this.#opts.limits.isOpen(server, 0)) {
			return startVerdicts.proved;
		}

		// The request itself may hold the last grant, and a wait for the next one would keep it from a server that can go on.
		const {isDenied, status} = await this.#readStatus(server, {maxWaitMs, maxGrantWaitMs: 0, signal});
		if (isDenied) {
			return startVerdicts.proved;
		}

		const hasStartTime = server.startedAt !== 0;
		return status !== undefined && !hasStartTime ? startVerdicts.proved : this.#decideByStatus(status, startedAt => startedAt === server.startedAt);
	}

	#decideByStatus(status: string | undefined, isProof: (startedAt: number) => boolean): StartVerdict {
		if (status === undefined) {
			return startVerdicts.unknown;
		}

		const startedAt = this.#opts.codec.decodeStartTime(status);
		if (startedAt === undefined) {
			return startVerdicts.unstated;
		}

		return isProof(startedAt) ? startVerdicts.proved : startVerdicts.refuted;
	}

	/** Without a status if the server does not answer, or was not asked, because its limit denied the call or its connections are busy. */
	async #readStatus(server: KnownServer, {maxWaitMs, maxGrantWaitMs = maxWaitMs, grant, signal}: {maxWaitMs: number; maxGrantWaitMs?: number; grant?: SendGrant; signal: AbortSignal}): Promise<{isAsked: boolean; isDenied: boolean; status?: string}> {
		const {clock} = this.#opts;
		const until = clock.monotonic() + maxWaitMs;
		// A call that was not written has given its grant back.
		for (let reserved = grant; ; reserved = undefined) {
			const timeoutMs = until - clock.monotonic();
			const result = await this.#call(server, {
				timeoutMs, maxGrantWaitMs: Math.min(maxGrantWaitMs, timeoutMs), reserved, signal,
			});
			if (!result?.error?.isBusy || signal.aborted || clock.monotonic() + retryMs >= until) {
				const isAnswered = result?.outcome === attemptOutcomes.answered && result.head?.status === 200;
				return {
					isAsked: result !== undefined && !result.error?.isBusy, isDenied: result === undefined, status: isAnswered ? result.body.toString() : undefined,
				};
			}

			await clock.sleep(retryMs);
		}
	}

	/** Undefined for a server that is at its limit. */
	async #call(server: KnownServer, {timeoutMs, maxGrantWaitMs, reserved, signal}: {timeoutMs: number; maxGrantWaitMs: number; reserved?: SendGrant; signal: AbortSignal}): Promise<AttemptResult | undefined> {
		const {clock, client, codec, limits, getConnectionLimit} = this.#opts;
		const grant = reserved ?? await limits.acquire(server, {call: callKinds.stageStatus, maxWaitMs: maxGrantWaitMs, signal});
		if (!grant) {
			return undefined;
		}

		let call: ServerCall;
		try {
			call = codec.createStageStatusCall(server.id);
		} catch (error) {
			grant.release();
			throw error;
		}

		const {method, path, headers = []} = call;
		return runAttempt(client, server.address, {
			clock, signal, timeoutMs, request: {
				recipient: server, callKind: callKinds.stageStatus, grant, method, path, headers, body: Buffer.alloc(0), needsVerifiedConnection: true, connectionLimit: getConnectionLimit(server.service),
			},
		});
	}
}
