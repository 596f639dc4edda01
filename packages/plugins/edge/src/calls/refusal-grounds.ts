/**
 * On whose word a request counts as not run: one ground for each call that ended without a run. A refusal without any ground
 * is the edge's own and was made before the request was sent.
 */
import type {AnswerIdentity} from '@hickorytrack/endpoint-client/answer-identity';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {AttemptResult} from './attempt.js';
import type {CallKind} from './call-kinds.js';

export type RefusalGround =
	/** The server stated that it has not run the request; the id is the one that its answer bears. */
	| {call: CallKind; server: string; word: 'server'; status: number; requestId: string | undefined}
	/** No byte of the request was written to the connection. */
	| {call: CallKind; server: string; word: 'connection'; error: string | undefined};

export class RefusalGrounds {
	readonly list: RefusalGround[] = [];
	readonly #identity: AnswerIdentity | undefined;

	constructor(identity: AnswerIdentity | undefined) {
		this.#identity = identity;
	}

	/** Adds a ground if the call ended without a run. */
	add(call: CallKind, server: KnownServer, {result, isNotExecuted}: {result: AttemptResult; isNotExecuted: boolean}): void {
		if (isNotExecuted) {
			this.list.push({
				call, server: server.id, word: 'server', status: result.head!.status, requestId: this.#identity?.readId(result.head!),
			});
		} else if (!result.isWritten) {
			this.list.push({
				call, server: server.id, word: 'connection', error: result.error?.code,
			});
		}
	}
}
