/** Reads the stage of servers and sends stage orders to them. These calls share the connection pool with forwarded requests. */
import {Buffer} from 'node:buffer';
import type {Clock} from '@hickorytrack/clock';
import type {EndpointClient} from '@hickorytrack/endpoint-client';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {
	orderOutcomes, type OrderOutcome, type ServerStageStatus, type StageClient, type StageOrder,
} from '@hickorytrack/stage-control';
import type {RequestCodec, ServerCall} from '../request-codec.js';
import type {ServerLimits} from '../limits/server-limits.js';
import {callKinds, type CallKind} from './call-kinds.js';
import {attemptOutcomes, runAttempt, type AttemptResult} from './attempt.js';

/** A server answers such a call within a few milliseconds; one that does not is called again later. */
const callTimeoutMs = 500;
/** Connections to one server for these calls; only one call runs at a time. */
const connectionLimit = 2;

export class EdgeStageClient implements StageClient {
	readonly #opts: {clock: Clock; client: EndpointClient; codec: RequestCodec; limits: Pick<ServerLimits, 'acquire'>};

	constructor(opts: {clock: Clock; client: EndpointClient; codec: RequestCodec; limits: Pick<ServerLimits, 'acquire'>}) {
		this.#opts = opts;
	}

	async readStatus(server: KnownServer): Promise<ServerStageStatus | undefined> {
		const {codec} = this.#opts;
		const result = await this.#call(server, callKinds.stageStatus, codec.createStageStatusCall(server.id));
		const isSuccessful = result?.outcome === attemptOutcomes.answered && result.head?.status === 200;
		return isSuccessful ? codec.decodeStageStatus(result.body.toString()) : undefined;
	}

	async sendOrder(server: KnownServer, order: StageOrder): Promise<OrderOutcome> {
		const {codec} = this.#opts;
		const result = await this.#call(server, callKinds.stageOrder, codec.createStageOrderCall(server.id, order));
		if (result?.outcome === attemptOutcomes.answered) {
			return codec.decodeOrderOutcome(result.head!.status);
		}

		return result?.isWritten ? orderOutcomes.unknown : orderOutcomes.refused;
	}

	/** Undefined for a server that is at its limit; it is called again later. */
	async #call(server: KnownServer, callKind: CallKind, {method, path, headers, body}: ServerCall): Promise<AttemptResult | undefined> {
		const {clock, client, limits} = this.#opts;
		const {signal} = new AbortController();
		const grant = await limits.acquire(server, {call: callKind, maxWaitMs: 0, signal});
		return grant && runAttempt(client, server.address, {
			clock, signal, timeoutMs: callTimeoutMs, request: {
				recipient: server, callKind, grant, method, path, headers: headers ?? [], body: body ?? Buffer.alloc(0), needsVerifiedConnection: true, connectionLimit,
			},
		});
	}
}
